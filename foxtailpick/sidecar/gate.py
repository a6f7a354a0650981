"""Admission control of an endpoint: which attempt may run, and when.

Every attempt passes the same checks in the same order. A refused attempt
has not run and is never run later.
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
from foxtailpick.core import slow_start as slow_start_lib
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.node import config_node as config_node_lib
from foxtailpick.sidecar import pool_load
from foxtailpick.sidecar import work as work_lib

STATE_RETRY_AFTER_MS = 1_000.0
UNKNOWN_SHARE = share_tree.Share(types.PartnerId(''))
MAX_CACHED_SHARES = 10_000
TOKENS_PER_SLOT = 100.0
TOKENS_PER_CALL = 50.0


Work = work_lib.Work


@dataclasses.dataclass(slots=True)
class StartedAttempt:
    """An attempt that was started at the endpoint.

    :param work: the message that opened the attempt.
    :param ticket: the slot it takes under the slow-start limit.
    """

    work: Work
    ticket: slow_start_lib.StartTicket


class Gate:
    """Admission control of one endpoint.

    :param cfg: settings of the sidecar.
    :param attempts: attempts of this incarnation.
    :param slow_start: slow start and lifecycle state of the endpoint.
    :param pool: bounds the load against the mean of the pool.
    :param monitor: checks the invariants.
    :param node: holds the configuration in force.
    """

    def __init__(
        self,
        cfg: settings.SidecarSettings,
        attempts: attempts_lib.AttemptTable,
        slow_start: slow_start_lib.SlowStart,
        pool: pool_load.PoolLoad,
        monitor: invariants.Monitor,
        node: config_node_lib.ConfigNode,
    ) -> None:
        self.attempts = attempts
        self.slow_start = slow_start
        self.pool = pool
        self._endpoint = types.EndpointId(cfg.node.id)
        self._domain = cfg.node.failure_domain
        self._first_token_ms = cfg.limits.first_token
        self._monitor = monitor
        self._node = node
        self._clock = clock_lib.Clock.from_trio()
        self._cached_shares: dict[types.AccountId, share_tree.Share] = {}
        self._queue = fair_share.FairQueue(
            fair_share.FairQueueOptions(), self.find_share, monitor
        )
        self._waiting: dict[types.AttemptId, Work] = {}
        self._paused: dict[types.AttemptId, StartedAttempt] = {}
        self._pending_refusals: list[tuple[Work, errors.RefusedError]] = []

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
        :param monitor: checks the invariants.
        :param node: holds the configuration in force.
        """
        limit = float(cfg.endpoint.max_running)
        options = slow_start_lib.SlowStartOptions(
            initial_limit=min(
                slow_start_lib.SlowStartOptions().initial_limit, limit
            ),
            max_limit=limit,
            first_token_ms=cfg.limits.first_token,
            tokens_per_slot=TOKENS_PER_SLOT,
        )
        return cls(
            cfg,
            attempts_lib.AttemptTable(incarnation, monitor),
            slow_start_lib.SlowStart.from_options(options, monitor),
            pool_load.PoolLoad(cfg, monitor, random.Random()),
            monitor,
            node,
        )

    @property
    def queue_length(self) -> int:
        """Number of waiting attempts."""
        return len(self._queue)

    def accepts_work(self) -> bool:
        """Return whether the endpoint accepts new work."""
        is_domain_out = not self._node.current.is_domain_in_service(
            self._domain
        )
        return (
            not is_domain_out and self.slow_start.state not in _CLOSED_STATES
        )

    def counts_in_mean(self, now_ms: float) -> bool:
        """Return whether peers should include the endpoint in the mean load.

        :param now_ms: current time.
        """
        if not self.accepts_work():
            return False
        if self.slow_start.state is types.EndpointState.READY:
            return True
        return self.pool.can_carry_mean(self.slow_start.limit(now_ms))

    def find_share(self, account: types.AccountId) -> share_tree.Share:
        """Return the share of an account, from the configuration in force."""
        cfg = self._node.current
        if cfg.accounts.is_loaded(account):
            self._cached_shares[account] = _make_share(cfg, account)
        # While a changed chunk of accounts loads, the last share applies.
        return self._cached_shares.get(account, UNKNOWN_SHARE)

    def apply_config(self) -> None:
        """Apply the new shares to waiting and running attempts."""
        self._queue.apply_shares(self.find_share, self._clock.now())
        self._limit_cached_shares()

    def admit(
        self, work: Work, sent_after_ms: float, now_ms: float
    ) -> attempts_lib.OpenResult:
        """Admit an attempt to the queue.

        :param work: the message that opened the attempt.
        :param sent_after_ms: earliest time at which it can have been sent.
        :param now_ms: current time.
        :returns: whether the attempt is new.
        :raises errors.RefusedError: if the attempt will not run.
        """
        result = self.attempts.open(
            work.attempt, self.attempts.incarnation, sent_after_ms, now_ms
        )
        if result is attempts_lib.OpenResult.DUPLICATE:
            return result
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
        return result

    def pop_ready(self, now_ms: float) -> StartedAttempt | None:
        """Start the next attempt if the endpoint has a free slot.

        :param now_ms: current time.
        :returns: the started or resumed attempt, None if none may start.
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
                self._pending_refusals.append((work, exc))
                continue
            return self._start(work, now_ms)
        return None

    def plan_pause(self, now_ms: float) -> types.AttemptId | None:
        """Choose a running stream to preempt for an account below its share.

        :param now_ms: current time.
        :returns: the attempt to pause, None for none.
        """
        limit = self.slow_start.limit(now_ms)
        if not len(self._queue) or not 0 < limit <= self.slow_start.in_flight:
            return None
        return self._queue.plan_pause(limit, now_ms)

    def pause(self, started: StartedAttempt) -> None:
        """Record that a running stream was cancelled at the engine.

        :param started: the attempt; `pop_ready` returns it to be resumed.
        """
        attempt = started.work.attempt
        self._queue.pause(attempt)
        self.slow_start.on_paused(started.ticket)
        self._paused[attempt] = started
        logger.info(
            'GATE paused attempt {} account {}, above its share.',
            attempt,
            started.work.account,
        )

    def cancel_paused(self, attempt: types.AttemptId, now_ms: float) -> bool:
        """Cancel a paused attempt.

        :param attempt: the attempt.
        :param now_ms: current time.
        :returns: whether it was paused, and so has partly run.
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
        """Refuse waiting attempts that cannot run in time or no longer may.

        :param now_ms: current time.
        :returns: the refused attempts, with the reason.
        """
        self._queue.set_expected_speedup(
            self.slow_start.compute_expected_speedup(now_ms)
        )
        refused, self._pending_refusals = self._pending_refusals, []
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
        """Cancel a waiting attempt.

        :param attempt: the attempt.
        :param now_ms: current time.
        :returns: whether it was waiting, and so has not run.
        """
        if not self._queue.cancel(attempt):
            return False
        del self._waiting[attempt]
        self._refuse(attempt, now_ms)
        return True

    def record_first_token(
        self, started: StartedAttempt, hit_ratio: float | None, now_ms: float
    ) -> None:
        """Record the first token, or the answer of a plain call."""
        if isinstance(started.work, messages.OpenCall):
            self.slow_start.on_generated(TOKENS_PER_CALL)
        self.slow_start.on_first_token(started.ticket, now_ms, hit_ratio)

    def record_generated(
        self, started: StartedAttempt, tokens: int, now_ms: float
    ) -> None:
        """Record tokens generated for a running attempt."""
        self._queue.record_generated(started.work.attempt, tokens, now_ms)
        self.slow_start.on_generated(tokens)

    def finish(
        self,
        started: StartedAttempt,
        verdict: verdict_lib.Verdict,
        answer: bytes | None,
        is_engine_fault: bool,
        now_ms: float,
    ) -> None:
        """Record the end of a running attempt.

        :param started: the attempt.
        :param verdict: whether it ran.
        :param answer: a small complete answer to retain, None for none.
        :param is_engine_fault: whether the endpoint failed.
        :param now_ms: current time.
        """
        self.release(started, is_engine_fault, now_ms)
        self.attempts.finish(started.work.attempt, verdict, answer, now_ms)

    def release(
        self, started: StartedAttempt, is_engine_fault: bool, now_ms: float
    ) -> None:
        """Release the slot and the load of a running attempt.

        :param started: the attempt.
        :param is_engine_fault: whether the endpoint failed.
        :param now_ms: current time.
        """
        self._queue.finish(started.work.attempt)
        self.pool.release(started.work.attempt)
        if is_engine_fault:
            self.slow_start.on_failed(started.ticket, now_ms)
        else:
            self.slow_start.on_completed(started.ticket)

    def _has_slot(self, now_ms: float) -> bool:
        if (
            self._paused
            and self.slow_start.state is types.EndpointState.DRAINING
        ):
            # Paused streams are resumed to the end; nothing else starts.
            return not self._waiting
        return self.slow_start.in_flight < self.slow_start.limit(now_ms)

    def _resume(self, attempt: types.AttemptId) -> StartedAttempt:
        started = self._paused.pop(attempt)
        self.slow_start.on_resumed(started.ticket)
        return started

    def _limit_cached_shares(self) -> None:
        if len(self._cached_shares) > MAX_CACHED_SHARES:
            self._cached_shares.clear()

    def _refuse(self, attempt: types.AttemptId, now_ms: float) -> None:
        self.pool.release(attempt)
        self.attempts.refuse(attempt, now_ms)

    def _is_config_fresh(self) -> bool:
        admission = self._node.check_admission()
        return admission is propagation.AdmissionCheck.ADMIT

    def _check_may_run(self, work: Work) -> None:
        cfg = self._node.current
        if not cfg.is_domain_in_service(self._domain):
            raise errors.RefusedError(
                errors.ErrorCode.DOMAIN_OUT_OF_SERVICE,
                f'expected failure domain {self._domain} in service, it is '
                f'out in configuration {cfg.number}; try another endpoint',
            )
        if self.slow_start.state in _CLOSED_STATES:
            raise errors.RefusedError(
                errors.ErrorCode.ENDPOINT_DRAINING,
                f'expected {self._endpoint} to accept work, it is '
                f'{self.slow_start.state.value}; try another endpoint',
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
            self._pending_refusals.append((refused, exc))

    def _start(self, work: Work, now_ms: float) -> StartedAttempt:
        cfg = self._node.current
        self._monitor.check(
            invariants.Invariant.DOMAIN_OUT,
            cfg.is_domain_in_service(self._domain),
            lambda: f'{work.attempt} started in {self._domain}',
        )
        self._monitor.check(
            invariants.Invariant.LEAVING,
            self.slow_start.state not in _CLOSED_STATES,
            lambda: f'{work.attempt} started while {self.slow_start.state}',
        )
        # A call that needs a claim starts once the claim is acquired.
        if not work_lib.needs_claim(work):
            self.attempts.start(work.attempt)
        return StartedAttempt(work, self.slow_start.on_started(now_ms))


_CLOSED_STATES = frozenset(
    {types.EndpointState.DRAINING, types.EndpointState.GONE}
)


def _make_share(
    cfg: configuration.Configuration, account: types.AccountId
) -> share_tree.Share:
    account_cfg = cfg.accounts.get(account)
    if account_cfg is None:
        return UNKNOWN_SHARE
    partner = cfg.partners[account_cfg.partner]
    return share_tree.Share(
        account_cfg.partner, partner.share, account_cfg.share
    )


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
        f'expected a free slot before the deadline of '
        f'{refusal.entry.attempt}, got none; retry after the given time',
        retry_after_ms=refusal.retry_after_ms,
    )
