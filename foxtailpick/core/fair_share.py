"""Fair queueing at the sidecar, by partner and client account.

Accounts with queued work are served in proportion to the agreed shares,
measured in tokens. A running request is charged its prompt and what it has
generated, and in advance at most `commit_tokens` of what it is expected to
generate, so neither long nor short answers gain from the order of starts.
"""

import collections
import dataclasses
import typing

from foxtailpick.core import account_queue
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import service_rate
from foxtailpick.core import share_audit
from foxtailpick.core import share_tree
from foxtailpick.core import types

MIN_RETRY_AFTER_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class FairQueueOptions:
    """Settings of a fair queue.

    :param max_entries: requests that may wait at a time, above zero.
    :param commit_tokens: expected tokens charged ahead of generation.
    :param initial_tokens_per_ms: service rate until one was observed.
    :param pause_lead_tokens: how far an account may be ahead of one that
        waits before running requests of it are paused, at least
        `commit_tokens`.
    :param max_unread_tokens: prompt tokens of started requests without a
        first token, from which on only accounts with less than their part
        of the slots start more: prompts wait here, not inside the engine.
    :param burst_tokens: unused part that an account may save up.
    """

    max_entries: int = 1_024
    commit_tokens: float = 32.0
    initial_tokens_per_ms: float = 2.0
    pause_lead_tokens: float = 512.0
    max_unread_tokens: float = 128.0
    burst_tokens: float = 1_024.0

    def __post_init__(self) -> None:
        """Check the ranges."""
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
    """A waiting request that is given up; it was not run and never will.

    :param entry: the request.
    :param code: why: its deadline, or no room in the queue.
    :param retry_after_ms: when another try may succeed, in milliseconds.
    """

    entry: account_queue.QueueEntry
    code: errors.ErrorCode
    retry_after_ms: float


@dataclasses.dataclass(slots=True)
class _Running:
    entry: account_queue.QueueEntry
    generated: float = 0.0
    charged: float = 0.0
    is_unread: bool = True

    @property
    def done(self) -> float:
        return self.entry.prompt_tokens + self.generated


class FairQueue:
    """Requests that wait for one endpoint, and the cost of those running.

    :param options: its settings.
    :param share_of: gives the share of an account in force.
    :param monitor: checks the promise on shares; None to check nothing.
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
        self._rate = service_rate.ServiceRate(options.initial_tokens_per_ms)
        self._queues: dict[types.AccountId, account_queue.AccountQueue] = {}
        self._accounts: dict[types.AttemptId, types.AccountId] = {}
        self._running: dict[types.AttemptId, _Running] = {}
        self._paused: dict[types.AttemptId, _Running] = {}
        self._refused: list[Refusal] = []
        self._unread_tokens = 0.0

    def __len__(self) -> int:
        """Return how many requests wait or are paused."""
        return len(self._accounts)

    def is_running(self, attempt: types.AttemptId) -> bool:
        """Tell whether an attempt was started and has not finished."""
        return attempt in self._running

    def count_running(self, account: types.AccountId) -> int:
        """Return how many requests of an account run."""
        return sum(
            running.entry.account == account
            for running in self._running.values()
        )

    def enqueue(
        self, entry: account_queue.QueueEntry, now_ms: float
    ) -> tuple[Refusal, ...]:
        """Add a request, unless it cannot be answered by its deadline.

        A full queue gives up the last request of the account that waits
        with the most work for its share.

        :param entry: the request.
        :param now_ms: the current time.
        :returns: what is refused: nothing, `entry`, or another request.
        """
        queue = self._queues.get(entry.account)
        ahead = 0.0 if queue is None else queue.count_tokens(entry.priority)
        refusal = self._find_deadline_refusal(entry, ahead, now_ms)
        if refusal is not None:
            return (refusal,)
        self._find_or_add_queue(entry).append(entry)
        if len(self) - len(self._paused) <= self._options.max_entries:
            return ()
        return (self._drop_entry_of_longest_queue(),)

    def pop_next(self, now_ms: float) -> account_queue.QueueEntry | None:
        """Take the request that starts next and charge it.

        Requests met on the way that can no longer be answered in time are
        refused; the next `sweep` returns them.

        :param now_ms: the current time.
        :returns: the request, None if nothing waits, or if the engine has
            enough prompts to read; call again after a first token.
        """
        self._rate.observe(now_ms, 0.0, bool(self._accounts))
        while (account := self._tree.select()) is not None:
            if self._is_held_for_prompts(account):
                return None
            entry = self._queues[account].pop_first()
            self._note_removal(entry)
            if entry.attempt in self._paused:
                self._resume(entry)
                return entry
            refusal = self._find_deadline_refusal(entry, 0.0, now_ms)
            if refusal is None:
                self._start(entry)
                return entry
            self._refused.append(refusal)
        return None

    def sweep(self, now_ms: float) -> tuple[Refusal, ...]:
        """Give up requests whose deadline can no longer be met.

        Called a few times a second and after a change of shares, so that
        a refusal comes long before the deadline.

        :param now_ms: the current time.
        :returns: what is refused since the last call.
        """
        for queue in list(self._queues.values()):
            ahead = 0.0
            for entry in queue.list_waiting():
                refusal = self._find_deadline_refusal(entry, ahead, now_ms)
                if refusal is None:
                    ahead += entry.tokens
                    continue
                queue.remove(entry)
                self._note_removal(entry)
                self._refused.append(refusal)
        for account in list(self._tree.accounts):
            self._forget_if_idle(account)
        self._audit.close_if_due(self._share_of, self._queues, now_ms)
        refused, self._refused = self._refused, []
        return tuple(refused)

    def cancel(self, attempt: types.AttemptId) -> bool:
        """Remove a request that waits or is paused.

        :param attempt: the attempt to remove.
        :returns: whether it was never started, so that it was not run.
        """
        account = self._accounts.get(attempt)
        if account is None:
            return False
        queue = self._queues[account]
        entry = queue.find(attempt)
        queue.remove(entry)
        self._note_removal(entry)
        return self._paused.pop(attempt, None) is None

    def record_generated(
        self, attempt: types.AttemptId, tokens: float, now_ms: float
    ) -> None:
        """Correct the cost of a running request as tokens are generated.

        :param attempt: the running attempt.
        :param tokens: tokens generated since the last call.
        :param now_ms: the current time.
        """
        running = self._running.get(attempt)
        if running is None:
            return
        served = tokens
        if running.is_unread:
            # What waits is counted with its prompts, so what is served is.
            served += running.entry.prompt_tokens
        self._note_prompt_read(running)
        running.generated += tokens
        self._audit.record(running.entry.account, tokens)
        self._rate.observe(now_ms, served, bool(self._accounts))
        self._charge_running(running, running.entry.expected_tokens)

    def finish(self, attempt: types.AttemptId) -> None:
        """End a running request and give back what it did not use.

        :param attempt: the attempt; an unknown one is no error.
        """
        running = self._running.pop(attempt, None)
        if running is None:
            return
        self._note_prompt_read(running)
        self._charge_running(running, running.generated)
        self._forget_if_idle(running.entry.account)

    def plan_pause(self, limit: int) -> types.AttemptId | None:
        """Find a running request to pause for the one that goes next.

        Called when as many requests run as may. Only requests of accounts
        with more than their part of the slots are paused, for an account
        with less than its part or one that is far behind in tokens.

        :param limit: requests that may run at a time.
        :returns: the attempt to pause, None to wait for one to finish.
        """
        waiting = self._tree.select()
        if waiting is None:
            return None
        counts = self._count_running_by_account()
        active = counts.keys() | self._queues.keys()
        excess = {
            account: counts[account]
            - limit * self._tree.compute_fraction(account, active)
            for account in active
        }
        max_lead = (
            self._options.commit_tokens
            if excess[waiting] <= -1
            else self._options.pause_lead_tokens
        )
        candidates = [
            running
            for running in self._running.values()
            if running.entry.is_pausable
            and excess[running.entry.account] > 0
            and running.entry.account != waiting
            and self._tree.compute_lead(running.entry.account, waiting)
            > max_lead
        ]
        if not candidates:
            return None
        account = max(
            {running.entry.account for running in candidates},
            key=excess.__getitem__,
        )
        return [
            running.entry.attempt
            for running in candidates
            if running.entry.account == account
        ][-1]

    def pause(self, attempt: types.AttemptId) -> None:
        """Record that a running request was taken off the engine.

        It goes before what its account has waiting in its class, and
        `pop_next` returns it again when its turn comes.

        :param attempt: the running attempt.
        """
        running = self._running.pop(attempt)
        self._note_prompt_read(running)
        self._paused[attempt] = running
        self._tree.charge(
            running.entry.account, running.done - running.charged
        )
        running.charged = running.done
        self._find_or_add_queue(running.entry).append_paused(running.entry)

    def charge(self, account: types.AccountId, tokens: float) -> None:
        """Add cost that belongs to no attempt of this queue.

        :param account: the account concerned.
        :param tokens: the cost; below zero to give some back.
        """
        self._tree.charge(account, tokens)

    def set_multipliers(
        self, multipliers: typing.Mapping[types.AccountId, float]
    ) -> None:
        """Set the fleet-wide correction of heavy accounts.

        :param multipliers: factor on the cost of an account, see `usage`.
        """
        self._tree.set_multipliers(multipliers)
        self._audit.excuse()

    def apply_shares(
        self, share_of: share_tree.ShareLookup, now_ms: float
    ) -> bool:
        """Put the shares of a new configuration in force at once.

        :param share_of: gives the share of an account in force.
        :param now_ms: the current time.
        :returns: whether a share of an account with work has changed.
        """
        outstanding: dict[types.AccountId, float] = {}
        for running in self._running.values():
            account = running.entry.account
            left = max(running.charged - running.done, 0.0)
            outstanding[account] = outstanding.get(account, 0.0) + left
        self._share_of = share_of
        is_changed = self._tree.apply_shares(share_of, outstanding)
        if is_changed:
            self._audit.restart(self._queues, now_ms)
        return is_changed

    def predict_wait_ms(
        self, account: types.AccountId, ahead_tokens: float
    ) -> float:
        """Predict how long an account waits for work ahead of it.

        :param account: the account.
        :param ahead_tokens: its own work that goes first.
        :returns: milliseconds, zero with nothing ahead.
        """
        if ahead_tokens <= 0:
            return 0.0
        active = [other for other, queue in self._queues.items() if len(queue)]
        fraction = self._tree.compute_fraction(account, active)
        return ahead_tokens / (fraction * self._rate.tokens_per_ms)

    def _is_held_for_prompts(self, account: types.AccountId) -> bool:
        if self._unread_tokens < self._options.max_unread_tokens:
            return False
        counts = self._count_running_by_account()
        active = counts.keys() | self._queues.keys()
        part = self._tree.compute_fraction(account, active) * len(
            self._running
        )
        return counts[account] >= part

    def _count_running_by_account(
        self,
    ) -> collections.Counter[types.AccountId]:
        return collections.Counter(
            running.entry.account for running in self._running.values()
        )

    def _find_deadline_refusal(
        self,
        entry: account_queue.QueueEntry,
        ahead_tokens: float,
        now_ms: float,
    ) -> Refusal | None:
        wait_ms = self.predict_wait_ms(entry.account, ahead_tokens)
        late_ms = now_ms + wait_ms + entry.service_ms - entry.deadline_ms
        if late_ms <= 0:
            return None
        return Refusal(
            entry,
            errors.ErrorCode.DEADLINE_EXCEEDED,
            max(min(late_ms, wait_ms), MIN_RETRY_AFTER_MS),
        )

    def _find_or_add_queue(
        self, entry: account_queue.QueueEntry
    ) -> account_queue.AccountQueue:
        self._accounts[entry.attempt] = entry.account
        self._tree.set_backlogged(entry.account, True)
        return self._queues.setdefault(
            entry.account, account_queue.AccountQueue()
        )

    def _drop_entry_of_longest_queue(self) -> Refusal:
        active = list(self._queues)
        account = max(
            (other for other in active if self._queues[other].count_waiting()),
            key=lambda other: (
                self._queues[other].count_tokens()
                / self._tree.compute_fraction(other, active)
            ),
        )
        entry = self._queues[account].pop_last()
        wait_ms = self.predict_wait_ms(
            account, self._queues[account].count_tokens()
        )
        self._note_removal(entry)
        return Refusal(
            entry,
            errors.ErrorCode.ACCOUNT_OVER_SHARE,
            max(wait_ms, MIN_RETRY_AFTER_MS),
        )

    def _note_removal(self, entry: account_queue.QueueEntry) -> None:
        del self._accounts[entry.attempt]
        if len(self._queues[entry.account]):
            return
        del self._queues[entry.account]
        self._audit.note_empty(entry.account)
        self._tree.set_backlogged(entry.account, False)
        self._forget_if_idle(entry.account)

    def _start(self, entry: account_queue.QueueEntry) -> None:
        running = _Running(entry)
        self._running[entry.attempt] = running
        self._unread_tokens += entry.prompt_tokens
        self._audit.record(entry.account, entry.prompt_tokens)
        if not entry.is_pausable:
            self._audit.excuse()
        self._charge_running(running, entry.expected_tokens)

    def _note_prompt_read(self, running: _Running) -> None:
        if running.is_unread:
            running.is_unread = False
            self._unread_tokens -= running.entry.prompt_tokens

    def _resume(self, entry: account_queue.QueueEntry) -> None:
        running = self._paused.pop(entry.attempt)
        self._running[entry.attempt] = running
        self._charge_running(running, entry.expected_tokens)

    def _charge_running(self, running: _Running, expected: float) -> None:
        ahead = running.generated + self._options.commit_tokens
        total = running.entry.prompt_tokens + max(
            min(expected, ahead), running.generated
        )
        self._tree.charge(running.entry.account, total - running.charged)
        running.charged = total

    def _forget_if_idle(self, account: types.AccountId) -> None:
        if account in self._queues or self.count_running(account):
            return
        if self._queues or self._running:
            self._tree.forget(account)
        else:
            self._tree.forget_all()
