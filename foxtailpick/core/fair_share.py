"""Weighted fair queueing at a sidecar, by partner and client account.

Backlogged accounts are served in proportion to their agreed shares,
measured in tokens. A running request is charged its prompt and the tokens
generated so far, plus at most `commit_tokens` of its expected output in
advance, so that the order of starts favours neither long nor short answers.
"""

import dataclasses
import typing

from foxtailpick.core import account_queue
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import running_work
from foxtailpick.core import service_rate
from foxtailpick.core import share_audit
from foxtailpick.core import share_tree
from foxtailpick.core import types

MIN_RETRY_AFTER_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class FairQueueOptions:
    """Settings of a fair queue.

    :param max_entries: maximum number of waiting requests, above zero.
    :param commit_tokens: expected output tokens charged in advance.
    :param initial_tokens_per_ms: service rate assumed until one is measured.
    :param pause_lead_tokens: lead over a waiting account above which an
        account's running requests may be paused; at least `commit_tokens`.
    :param pause_slack_ms: minimum slack before the deadline of a request
        that is paused.
    :param max_unread_tokens: prompt tokens in prefill (started requests
        without a first token) at which only accounts below their share of
        the slots start more, so that prompts queue here and not inside the
        engine.
    :param burst_tokens: maximum credit for unused share, per account and per
        partner.
    :param arrival_margin: factor on the predicted wait of an arriving
        request, at least one, so that few are refused after queueing.
    """

    max_entries: int = 1_024
    commit_tokens: float = 32.0
    initial_tokens_per_ms: float = 2.0
    pause_lead_tokens: float = 512.0
    pause_slack_ms: float = 4_000.0
    max_unread_tokens: float = 128.0
    burst_tokens: float = 1_024.0
    arrival_margin: float = 2.0

    def __post_init__(self) -> None:
        """Validate the ranges."""
        if self.max_entries < 1 or self.initial_tokens_per_ms <= 0:
            raise ValueError(
                f'expected at least one entry and a rate above zero, '
                f'got {self}; correct the settings of the queue'
            )
        if self.pause_lead_tokens < self.commit_tokens:
            raise ValueError(
                f'expected pause_lead_tokens of at least commit_tokens, got '
                f'{self}; a paused request would be the next to start'
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A waiting request that was dropped; it has not run and never will.

    :param entry: the request.
    :param code: the cause: its deadline, or a full queue.
    :param retry_after_ms: delay after which a retry may succeed.
    """

    entry: account_queue.QueueEntry
    code: errors.ErrorCode
    retry_after_ms: float


class FairQueue:
    """Queue of one endpoint, with the cost of its running requests.

    :param options: settings of the queue.
    :param share_of: returns the current share of an account.
    :param monitor: checks the fair-share invariant; None to check nothing.
    """

    def __init__(
        self,
        options: FairQueueOptions,
        share_of: share_tree.ShareLookup,
        monitor: invariants.Monitor | None = None,
    ) -> None:
        self._options = options
        self._share_of = share_of
        self._audit = share_audit.ShareAudit(
            monitor or invariants.Monitor(),
            options.pause_lead_tokens + options.burst_tokens,
        )
        self._tree = share_tree.ShareTree(share_of, options.burst_tokens)
        self._expected_speedup = 1.0
        self._rate = service_rate.ServiceRate(options.initial_tokens_per_ms)
        self._queues: dict[types.AccountId, account_queue.AccountQueue] = {}
        self._queued_accounts: dict[types.AttemptId, types.AccountId] = {}
        self._work = running_work.RunningWork(
            self._tree, self._audit, options.commit_tokens
        )
        self._refused: list[Refusal] = []

    def __len__(self) -> int:
        """Return the number of waiting and paused requests."""
        return len(self._queued_accounts)

    def is_running(self, attempt: types.AttemptId) -> bool:
        """Tell whether an attempt is running."""
        return self._work.is_running(attempt)

    def count_running(self, account: types.AccountId) -> int:
        """Return the number of running requests of an account."""
        return self._tree.count_running(account)

    def enqueue(
        self, entry: account_queue.QueueEntry, now_ms: float
    ) -> tuple[Refusal, ...]:
        """Add a request, unless it cannot complete by its deadline.

        A full queue drops the last request of the account with the most
        waiting work relative to its share.

        :param entry: the request.
        :param now_ms: the current time.
        :returns: the refusal of `entry` or of another request, if any.
        """
        queue = self._queues.get(entry.account)
        ahead = 0.0 if queue is None else queue.sum_tokens(entry.priority)
        if ahead:
            ahead += self._tree.compute_lead_over_clock(entry.account)
        wait_ms = self.predict_wait_ms(entry.account, ahead)
        wait_ms *= self._options.arrival_margin
        refusal = _find_deadline_refusal(entry, wait_ms, now_ms)
        if refusal is not None:
            return (refusal,)
        self._find_or_add_queue(entry).append(entry)
        if len(self) - len(self._work.paused) <= self._options.max_entries:
            return ()
        return (self._drop_entry_of_longest_queue(),)

    def pop_next(self, now_ms: float) -> account_queue.QueueEntry | None:
        """Remove the next request to start and charge its account.

        Requests found on the way that can no longer meet their deadline
        are refused; the next `sweep` returns them.

        :param now_ms: the current time.
        :returns: the request; None if the queue is empty or the engine has
            enough prompts in prefill: call again after a first token.
        """
        self._rate.observe(now_ms, 0.0, bool(self._queued_accounts))
        while (account := self._tree.select_next()) is not None:
            if self._is_prefill_limited(account):
                return None
            entry = self._queues[account].pop_first()
            self._update_after_removal(entry)
            if entry.attempt in self._work.paused:
                self._work.resume(entry.attempt)
                return entry
            refusal = _find_deadline_refusal(entry, 0.0, now_ms)
            if refusal is None:
                self._work.start(entry)
                return entry
            self._refused.append(refusal)
        return None

    def sweep(self, now_ms: float) -> tuple[Refusal, ...]:
        """Refuse requests whose deadline can no longer be met.

        Called a few times a second and after a change of shares, so that
        a refusal is sent long before the deadline.

        :param now_ms: the current time.
        :returns: the refusals since the last call.
        """
        for account, queue in list(self._queues.items()):
            self._sweep_queue(account, queue, now_ms)
        for account in list(self._tree.accounts):
            self._tree.remove_if_idle(account)
        self._audit.close_window_if_due(self._share_of, self._queues, now_ms)
        refused, self._refused = self._refused, []
        return tuple(refused)

    def cancel(self, attempt: types.AttemptId) -> bool:
        """Remove a waiting or paused request.

        :param attempt: the attempt to remove.
        :returns: whether the attempt was never started, and so has not run.
        """
        account = self._queued_accounts.get(attempt)
        if account is None:
            return False
        queue = self._queues[account]
        entry = queue.find(attempt)
        queue.remove(entry)
        self._update_after_removal(entry)
        return not self._work.drop_paused(attempt)

    def record_generated(
        self, attempt: types.AttemptId, tokens: float, now_ms: float
    ) -> None:
        """Update the cost of a running request as tokens are generated.

        :param attempt: the running attempt.
        :param tokens: tokens generated since the last call.
        :param now_ms: the current time.
        """
        served = self._work.record_generated(attempt, tokens)
        if served:
            self._rate.observe(now_ms, served, bool(self._queued_accounts))

    def finish(self, attempt: types.AttemptId) -> None:
        """End a running request and refund the unused part of its charge.

        :param attempt: the attempt; unknown attempts are ignored.
        """
        entry = self._work.finish(attempt)
        if entry is not None:
            self._remove_if_idle(entry.account)

    def plan_pause(self, limit: int, now_ms: float) -> types.AttemptId | None:
        """Select a running request to pause in favour of the next one.

        Called when the concurrency limit is reached. Only requests of
        accounts above their share of the slots are paused, and only for an
        account that is below its share or far behind in tokens.

        :param limit: the concurrency limit.
        :param now_ms: the current time; requests close to their deadline
            are not paused.
        :returns: the attempt to pause; None to wait for one to finish.
        """
        waiting_account = self._tree.select_next()
        if waiting_account is None:
            return None
        pausable = self._work.list_pausable(
            now_ms + self._options.pause_slack_ms
        )
        excess = {
            account: self._compute_excess(account, limit)
            for account in dict.fromkeys(entry.account for entry in pausable)
            if account != waiting_account
        }
        max_lead = (
            self._options.commit_tokens
            if self._compute_excess(waiting_account, limit) <= -1
            else self._options.pause_lead_tokens
        )
        candidates = [
            account
            for account in excess
            if excess[account] > 0
            and self._tree.compute_lead(account, waiting_account) > max_lead
        ]
        if not candidates:
            return None
        chosen = max(candidates, key=excess.__getitem__)
        return [
            entry.attempt for entry in pausable if entry.account == chosen
        ][-1]

    def pause(self, attempt: types.AttemptId) -> None:
        """Record that a running request was paused.

        It precedes the waiting requests of its account and priority, and
        `pop_next` returns it again when it is due.

        :param attempt: the running attempt.
        """
        entry = self._work.pause(attempt)
        self._find_or_add_queue(entry).append_paused(entry)

    def charge(self, account: types.AccountId, tokens: float) -> None:
        """Charge cost that belongs to no attempt of this queue.

        :param account: the account to charge.
        :param tokens: the cost; negative for a refund.
        """
        self._tree.charge(account, tokens)

    def set_multipliers(
        self, multipliers: typing.Mapping[types.AccountId, float]
    ) -> None:
        """Set the cost multipliers of accounts above their fleet-wide share.

        :param multipliers: cost factor by account, see `usage`.
        """
        self._tree.set_multipliers(multipliers)
        self._audit.skip_window()

    def apply_shares(
        self, share_of: share_tree.ShareLookup, now_ms: float
    ) -> bool:
        """Apply the shares of a new configuration immediately.

        :param share_of: returns the current share of an account.
        :param now_ms: the current time.
        :returns: whether the share of any tracked account changed.
        """
        self._share_of = share_of
        outstanding = self._work.sum_outstanding()
        is_changed = self._tree.apply_shares(share_of, outstanding)
        if is_changed:
            self._audit.start_window(self._queues, now_ms)
        return is_changed

    def set_expected_speedup(self, factor: float) -> None:
        """Set the factor by which the endpoint is expected to speed up.

        Without it a warming endpoint refuses requests that it could
        complete in time once it is warm.

        :param factor: ratio of expected to current rate, at least one.
        """
        self._expected_speedup = factor

    def predict_wait_ms(
        self, account: types.AccountId, ahead_tokens: float
    ) -> float:
        """Predict the queueing delay of a request.

        :param account: the account of the request.
        :param ahead_tokens: work of the same account ahead of it.
        :returns: the delay in milliseconds, zero with nothing ahead.
        """
        if ahead_tokens <= 0:
            return 0.0
        fraction = self._tree.compute_backlogged_fraction(account)
        return ahead_tokens / (
            fraction * self._rate.tokens_per_ms * self._expected_speedup
        )

    def _sweep_queue(
        self,
        account: types.AccountId,
        queue: account_queue.AccountQueue,
        now_ms: float,
    ) -> None:
        ahead = 0.0
        wait_per_token_ms = self.predict_wait_ms(account, 1.0)
        for entry in queue.list_waiting():
            wait_ms = ahead * wait_per_token_ms
            refusal = _find_deadline_refusal(entry, wait_ms, now_ms)
            if refusal is None:
                ahead += entry.tokens
                continue
            queue.remove(entry)
            self._update_after_removal(entry)
            self._refused.append(refusal)

    def _is_prefill_limited(self, account: types.AccountId) -> bool:
        if self._work.unread_tokens < self._options.max_unread_tokens:
            return False
        return self._compute_excess(account, len(self._work)) >= 0

    def _compute_excess(self, account: types.AccountId, slots: int) -> float:
        """Return by how many slots an account exceeds its share of them."""
        due_slots = self._tree.compute_active_fraction(account) * slots
        return self._tree.count_running(account) - due_slots

    def _find_or_add_queue(
        self, entry: account_queue.QueueEntry
    ) -> account_queue.AccountQueue:
        self._queued_accounts[entry.attempt] = entry.account
        self._tree.set_backlogged(entry.account, True)
        return self._queues.setdefault(
            entry.account, account_queue.AccountQueue()
        )

    def _drop_entry_of_longest_queue(self) -> Refusal:
        account = max(
            (
                other
                for other, queue in self._queues.items()
                if queue.count_waiting()
            ),
            key=lambda other: (
                self._queues[other].sum_tokens()
                / self._tree.compute_backlogged_fraction(other)
            ),
        )
        entry = self._queues[account].pop_last()
        wait_ms = self.predict_wait_ms(
            account, self._queues[account].sum_tokens()
        )
        self._update_after_removal(entry)
        return Refusal(
            entry,
            errors.ErrorCode.ACCOUNT_OVER_SHARE,
            max(wait_ms, MIN_RETRY_AFTER_MS),
        )

    def _update_after_removal(self, entry: account_queue.QueueEntry) -> None:
        del self._queued_accounts[entry.attempt]
        if len(self._queues[entry.account]):
            return
        del self._queues[entry.account]
        self._audit.remove_backlogged(entry.account)
        self._tree.set_backlogged(entry.account, False)
        self._remove_if_idle(entry.account)

    def _remove_if_idle(self, account: types.AccountId) -> None:
        if self._queues or len(self._work):
            self._tree.remove_if_idle(account)
        else:
            self._tree.clear()


def _find_deadline_refusal(
    entry: account_queue.QueueEntry, wait_ms: float, now_ms: float
) -> Refusal | None:
    overrun_ms = now_ms + wait_ms + entry.service_ms - entry.deadline_ms
    if overrun_ms <= 0:
        return None
    return Refusal(
        entry,
        errors.ErrorCode.DEADLINE_EXCEEDED,
        max(min(overrun_ms, wait_ms), MIN_RETRY_AFTER_MS),
    )
