"""The gate of an endpoint: which attempt may run, and when.

Every attempt passes the same checks in the same order. A refusal here is
final for the attempt: it was not run and never will be.
"""

import dataclasses
import random

from loguru import logger

from foxtailpick.core import account_queue
from foxtailpick.core import attempts as attempts_lib
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import fair_share
from foxtailpick.core import invariants
from foxtailpick.core import messages
from foxtailpick.core import propagation
from foxtailpick.core import settings
from foxtailpick.core import share_tree
from foxtailpick.core import slow_start
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.node import config_node as config_node_lib
from foxtailpick.sidecar import pool_load
from foxtailpick.sidecar import work as work_lib

STATE_RETRY_AFTER_MS = 1_000.0
UNKNOWN_SHARE = share_tree.Share(types.PartnerId(''))
MAX_SHARES = 10_000
TOKENS_PER_SLOT = 100.0
TOKENS_OF_CALL = 50.0


Work = work_lib.Work


@dataclasses.dataclass(slots=True)
class Started:
    """An attempt that was let through to the endpoint.

    :param work: the attempt's own message.
    :param ticket: its ticket of the slow start.
    """

    work: Work
    ticket: slow_start.StartTicket


class Gate:
    """Admission of one endpoint.

    :param cfg: settings of the sidecar.
    :param attempts: the attempts of this incarnation.
    :param slow: slow start and life cycle of the endpoint.
    :param pool: its load among its pool.
    :param monitor: checks the promises kept here.
    :param node: the configuration in force.
    """

    def __init__(
        self,
        cfg: settings.SidecarSettings,
        attempts: attempts_lib.AttemptTable,
        slow: slow_start.SlowStart,
        pool: pool_load.PoolLoad,
        monitor: invariants.Monitor,
        node: config_node_lib.ConfigNode,
    ) -> None:
        self.attempts = attempts
        self.slow = slow
        self.pool = pool
        self._endpoint = types.EndpointId(cfg.node.id)
        self._domain = cfg.node.failure_domain
        self._first_token_ms = cfg.limits.first_token
        self._monitor = monitor
        self._node = node
        self._clock = clock_lib.Clock.from_trio()
        self._shares: dict[types.AccountId, share_tree.Share] = {}
        self._queue = fair_share.FairQueue(
            fair_share.FairQueueOptions(), self.find_share, monitor
        )
        self._waiting: dict[types.AttemptId, Work] = {}
        self._paused: dict[types.AttemptId, Started] = {}
        self._given_up: list[tuple[Work, errors.RefusedError]] = []

    @classmethod
    def from_settings(
        cls,
        cfg: settings.SidecarSettings,
        incarnation: types.Incarnation,
        monitor: invariants.Monitor,
        node: config_node_lib.ConfigNode,
    ) -> 'Gate':
        """Create the gate of a sidecar.

        :param cfg: settings of the sidecar.
        :param incarnation: incarnation of this process.
        :param monitor: checks the promises kept here.
        :param node: the configuration in force.
        """
        limit = float(cfg.endpoint.max_running)
        options = slow_start.SlowStartOptions(
            initial_limit=min(
                slow_start.SlowStartOptions().initial_limit, limit
            ),
            max_limit=limit,
            first_token_ms=cfg.limits.first_token,
            tokens_per_slot=TOKENS_PER_SLOT,
        )
        return cls(
            cfg,
            attempts_lib.AttemptTable(incarnation, monitor),
            slow_start.SlowStart.from_options(options, monitor),
            pool_load.PoolLoad(cfg, monitor, random.Random()),
            monitor,
            node,
        )

    @property
    def queue_length(self) -> int:
        """How many attempts wait."""
        return len(self._queue)

    def takes_work(self) -> bool:
        """Tell whether the endpoint is open for new work."""
        is_out = not self._node.current.is_domain_in_service(self._domain)
        return not is_out and self.slow.state not in _CLOSED_STATES

    def counts_in_mean(self, now_ms: float) -> bool:
        """Tell whether peers should count the load of the endpoint.

        :param now_ms: the current time.
        """
        if not self.takes_work():
            return False
        if self.slow.state is types.EndpointState.READY:
            return True
        return self.pool.bears_mean(self.slow.limit(now_ms))

    def find_share(self, account: types.AccountId) -> share_tree.Share:
        """Return the share of an account in the configuration in force."""
        cfg = self._node.current
        if cfg.accounts.is_loaded(account):
            self._shares[account] = _make_share(cfg, account)
        # While a changed chunk of accounts is loaded the last share holds.
        return self._shares.get(account, UNKNOWN_SHARE)

    def apply_config(self) -> None:
        """Put a new configuration in force for what waits and runs."""
        self._queue.apply_shares(self.find_share, self._clock.now())
        self._forget_idle_shares()

    def admit(
        self, work: Work, sent_after_ms: float, now_ms: float
    ) -> attempts_lib.OpenResult:
        """Take in an attempt, which then waits its turn.

        :param work: the attempt's own message.
        :param sent_after_ms: time before which it cannot have been sent.
        :param now_ms: the current time.
        :returns: whether the attempt is new.
        :raises errors.RefusedError: if it will not be run.
        """
        opening = self.attempts.open(
            work.attempt, self.attempts.incarnation, sent_after_ms, now_ms
        )
        if opening is attempts_lib.OpenResult.DUPLICATE:
            return opening
        try:
            self._check_may_run(work)
            self.pool.admit(work, now_ms)
            self._enqueue(work, now_ms)
        except errors.RefusedError as exc:
            self._refuse(work.attempt, now_ms)
            logger.info(
                'GATE refused attempt {} account {}. {}',
                work.attempt,
                work.account,
                exc,
            )
            raise
        return opening

    def pop_ready(self, now_ms: float) -> Started | None:
        """Let the next attempt through if the endpoint can bear it.

        :param now_ms: the current time.
        :returns: the attempt, None if none may start now.
        """
        if not len(self._queue) or not self._is_config_fresh():
            return None
        while self._has_slot(now_ms):
            entry = self._queue.pop_next(now_ms)
            if entry is None:
                return None
            if entry.attempt in self._paused:
                return self._resume(entry.attempt)
            work = self._waiting.pop(entry.attempt)
            try:
                self._check_may_run(work)
            except errors.RefusedError as exc:
                self._queue.finish(entry.attempt)
                self._given_up.append((work, exc))
                continue
            return self._start(work, now_ms)
        return None

    def plan_pause(self, now_ms: float) -> types.AttemptId | None:
        """Find a running stream to pause for one that is due by its share.

        :param now_ms: the current time.
        :returns: the attempt, None to go on as it is.
        """
        limit = self.slow.limit(now_ms)
        if not len(self._queue) or not 0 < limit <= self.slow.in_flight:
            return None
        return self._queue.plan_pause(limit, now_ms)

    def pause(self, started: Started) -> None:
        """Record that a running stream was taken off the engine.

        :param started: the attempt; `pop_ready` returns it again.
        """
        attempt = started.work.attempt
        self._queue.pause(attempt)
        self.slow.on_paused(started.ticket)
        self._paused[attempt] = started
        logger.info(
            'GATE paused attempt {} account {}, above its share.',
            attempt,
            started.work.account,
        )

    def cancel_paused(self, attempt: types.AttemptId, now_ms: float) -> bool:
        """Drop an attempt that is paused.

        :param attempt: the attempt.
        :param now_ms: the current time.
        :returns: whether it was paused; it has run in part.
        """
        started = self._paused.pop(attempt, None)
        if started is None:
            return False
        self._queue.cancel(attempt)
        self.pool.release(attempt)
        verdict = verdict_lib.Verdict.MAY_HAVE_RUN
        self.attempts.finish(attempt, verdict, None, now_ms)
        return True

    def sweep(self, now_ms: float) -> list[tuple[Work, errors.RefusedError]]:
        """Give up waiting attempts that can no longer be answered.

        :param now_ms: the current time.
        :returns: what was given up, with the reason.
        """
        self._queue.set_headroom(self.slow.find_headroom(now_ms))
        refused, self._given_up = self._given_up, []
        for refusal in self._queue.sweep(now_ms):
            work = self._waiting.pop(refusal.entry.attempt)
            refused.append((work, _make_queue_error(refusal)))
        for work in list(self._waiting.values()):
            try:
                self._check_may_run(work)
            except errors.RefusedError as exc:
                self._queue.cancel(work.attempt)
                del self._waiting[work.attempt]
                refused.append((work, exc))
        for work, _ in refused:
            self._refuse(work.attempt, now_ms)
        return refused

    def cancel_waiting(self, attempt: types.AttemptId, now_ms: float) -> bool:
        """Drop an attempt that still waits.

        :param attempt: the attempt.
        :param now_ms: the current time.
        :returns: whether it waited; it was then not run.
        """
        if not self._queue.cancel(attempt):
            return False
        del self._waiting[attempt]
        self._refuse(attempt, now_ms)
        return True

    def record_first_token(
        self, started: Started, hit_ratio: float | None, now_ms: float
    ) -> None:
        """Record the first sign of an answer."""
        if isinstance(started.work, messages.OpenCall):
            self.slow.on_generated(TOKENS_OF_CALL)
        self.slow.on_first_token(started.ticket, now_ms, hit_ratio)

    def record_generated(
        self, started: Started, tokens: int, now_ms: float
    ) -> None:
        """Record tokens generated for a running attempt."""
        self._queue.record_generated(started.work.attempt, tokens, now_ms)
        self.slow.on_generated(tokens)

    def finish(
        self,
        started: Started,
        verdict: verdict_lib.Verdict,
        answer: bytes | None,
        is_engine_fault: bool,
        now_ms: float,
    ) -> None:
        """Record the end of a running attempt.

        :param started: the attempt.
        :param verdict: what became of it.
        :param answer: a small whole answer to keep, None for none.
        :param is_engine_fault: whether the endpoint failed.
        :param now_ms: the current time.
        """
        self.release(started, is_engine_fault, now_ms)
        self.attempts.finish(started.work.attempt, verdict, answer, now_ms)

    def release(
        self, started: Started, is_engine_fault: bool, now_ms: float
    ) -> None:
        """Give back what a running attempt held of the endpoint.

        :param started: the attempt.
        :param is_engine_fault: whether the endpoint failed.
        :param now_ms: the current time.
        """
        self._queue.finish(started.work.attempt)
        self.pool.release(started.work.attempt)
        if is_engine_fault:
            self.slow.on_failed(started.ticket, now_ms)
        else:
            self.slow.on_completed(started.ticket)

    def _has_slot(self, now_ms: float) -> bool:
        if self._paused and self.slow.state is types.EndpointState.DRAINING:
            # What has begun is finished, and nothing else is let in.
            return not self._waiting
        return self.slow.in_flight < self.slow.limit(now_ms)

    def _resume(self, attempt: types.AttemptId) -> Started:
        started = self._paused.pop(attempt)
        self.slow.on_resumed(started.ticket)
        return started

    def _forget_idle_shares(self) -> None:
        if len(self._shares) > MAX_SHARES:
            self._shares.clear()

    def _refuse(self, attempt: types.AttemptId, now_ms: float) -> None:
        self.pool.release(attempt)
        self.attempts.refuse(attempt, now_ms)

    def _is_config_fresh(self) -> bool:
        admission = self._node.check_admission()
        return admission is propagation.Admission.ADMIT

    def _check_may_run(self, work: Work) -> None:
        cfg = self._node.current
        if not cfg.is_domain_in_service(self._domain):
            raise errors.RefusedError(
                errors.ErrorCode.DOMAIN_OUT_OF_SERVICE,
                f'expected failure domain {self._domain} in service, it is '
                f'out in configuration {cfg.number}; try another endpoint',
            )
        if self.slow.state in _CLOSED_STATES:
            raise errors.RefusedError(
                errors.ErrorCode.ENDPOINT_DRAINING,
                f'expected {self._endpoint} to take work, it is '
                f'{self.slow.state.value}; try another endpoint',
                retry_after_ms=STATE_RETRY_AFTER_MS,
            )
        if not cfg.accounts.is_loaded(work.account):
            return
        account = cfg.accounts.get(work.account)
        if account is None or not account.may_use_endpoint(self._endpoint):
            raise errors.RefusedError(
                errors.ErrorCode.ACCOUNT_UNKNOWN,
                f'expected an account that may use {self._endpoint}, got '
                f'{work.account}; try another endpoint',
            )

    def _enqueue(self, work: Work, now_ms: float) -> None:
        entry = _make_entry(work, self._first_token_ms, now_ms)
        self._waiting[work.attempt] = work
        for refusal in self._queue.enqueue(entry, now_ms):
            refused = self._waiting.pop(refusal.entry.attempt)
            exc = _make_queue_error(refusal)
            if refused is work:
                raise exc
            self._given_up.append((refused, exc))

    def _start(self, work: Work, now_ms: float) -> Started:
        cfg = self._node.current
        self._monitor.check(
            invariants.Invariant.DOMAIN_OUT,
            cfg.is_domain_in_service(self._domain),
            lambda: f'{work.attempt} started in {self._domain}',
        )
        self._monitor.check(
            invariants.Invariant.LEAVING,
            self.slow.state not in _CLOSED_STATES,
            lambda: f'{work.attempt} started while {self.slow.state}',
        )
        # A call under a claim starts when the claim is won.
        if not work_lib.needs_claim(work):
            self.attempts.start(work.attempt)
        return Started(work, self.slow.on_started(now_ms))


_CLOSED_STATES = frozenset(
    {types.EndpointState.DRAINING, types.EndpointState.GONE}
)


def _make_share(
    cfg: configuration.Configuration, account: types.AccountId
) -> share_tree.Share:
    found = cfg.accounts.get(account)
    if found is None:
        return UNKNOWN_SHARE
    partner = cfg.partners[found.partner]
    return share_tree.Share(found.partner, partner.share, found.share)


def _make_entry(
    work: Work, first_token_ms: float, now_ms: float
) -> account_queue.QueueEntry:
    deadline_ms = now_ms + work.deadline_ms
    if isinstance(work, messages.OpenCall):
        return account_queue.QueueEntry(
            work.attempt,
            work.account,
            prompt_tokens=work_lib.CALL_TOKENS,
            deadline_ms=deadline_ms,
        )
    return account_queue.QueueEntry(
        work.attempt,
        work.account,
        work.priority,
        prompt_tokens=work.prompt_tokens,
        expected_tokens=work.max_tokens - work.resume_from,
        deadline_ms=deadline_ms,
        service_ms=first_token_ms,
        is_pausable=True,
    )


def _make_queue_error(refusal: fair_share.Refusal) -> errors.RefusedError:
    return errors.RefusedError(
        refusal.code,
        f'expected room before the deadline of {refusal.entry.attempt}, '
        f'found none; try again after the time given',
        retry_after_ms=refusal.retry_after_ms,
    )
