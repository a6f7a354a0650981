"""Started requests of an endpoint and the tokens charged for them."""

import dataclasses
import typing

from foxtailpick.core import account_queue
from foxtailpick.core import share_audit
from foxtailpick.core import share_tree
from foxtailpick.core import types


@dataclasses.dataclass(slots=True)
class StartedRequest:
    """A running or paused request.

    :param entry: the request as it was queued.
    :param generated_tokens: tokens generated so far.
    :param charged_tokens: tokens charged so far.
    :param is_unread: whether its first token is outstanding, so that the
        prompt counts as not yet processed.
    """

    entry: account_queue.QueueEntry
    generated_tokens: float = 0.0
    charged_tokens: float = 0.0
    is_unread: bool = True

    @property
    def done_tokens(self) -> float:
        """Return the cost of the work done so far, in tokens."""
        return self.entry.prompt_tokens + self.generated_tokens

    @property
    def remaining_ms(self) -> float:
        """Return the expected remaining run time, without pauses."""
        expected = max(self.entry.expected_tokens, 1.0)
        remaining = max(1.0 - self.generated_tokens / expected, 0.0)
        return remaining * self.entry.service_ms


class RunningWork:
    """Running and paused requests of one endpoint.

    `unread_tokens` is the number of prompt tokens of running requests that
    have no first token yet.

    :param tree: share tree to which the cost is charged.
    :param audit: counter of the tokens served.
    :param commit_tokens: expected tokens charged ahead of generation.
    """

    def __init__(
        self,
        tree: share_tree.ShareTree,
        audit: share_audit.ShareAudit,
        commit_tokens: float,
    ) -> None:
        self._tree = tree
        self._audit = audit
        self._commit_tokens = commit_tokens
        self._running: dict[types.AttemptId, StartedRequest] = {}
        self._paused: dict[types.AttemptId, StartedRequest] = {}
        self.unread_tokens = 0.0

    def __len__(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def paused(self) -> typing.Collection[types.AttemptId]:
        """Return the paused attempts."""
        return self._paused.keys()

    def is_running(self, attempt: types.AttemptId) -> bool:
        """Tell whether an attempt is running."""
        return attempt in self._running

    def list_pausable(
        self, resumed_ms: float
    ) -> list[account_queue.QueueEntry]:
        """Return the running requests that may be paused, oldest first.

        :param resumed_ms: assumed time of resumption; they must still be
            able to meet their deadlines then.
        """
        return [
            running.entry
            for running in self._running.values()
            if running.entry.is_pausable
            and resumed_ms + running.remaining_ms <= running.entry.deadline_ms
        ]

    def start(self, entry: account_queue.QueueEntry) -> None:
        """Add a started request and charge it."""
        running = StartedRequest(entry)
        self.unread_tokens += entry.prompt_tokens
        self._audit.record(entry.account, entry.prompt_tokens)
        if not entry.is_pausable:
            self._audit.skip_window()
        self._add(running)

    def resume(self, attempt: types.AttemptId) -> None:
        """Resume a paused request and charge it again."""
        self._add(self._paused.pop(attempt))

    def pause(self, attempt: types.AttemptId) -> account_queue.QueueEntry:
        """Pause a running request and refund the unused charge.

        :raises KeyError: if it is not running.
        """
        running = self._remove(attempt)
        self._paused[attempt] = running
        return running.entry

    def drop_paused(self, attempt: types.AttemptId) -> bool:
        """Drop a paused request.

        :returns: whether it was paused.
        """
        return self._paused.pop(attempt, None) is not None

    def record_generated(
        self, attempt: types.AttemptId, tokens: float
    ) -> float:
        """Record generated tokens and correct the charge of a request.

        :returns: tokens served; the prompt is included with the first token,
            since the backlog of waiting requests includes prompts too.
        """
        running = self._running.get(attempt)
        if running is None:
            return 0.0
        prompt_tokens = running.entry.prompt_tokens
        served = tokens + (prompt_tokens if running.is_unread else 0.0)
        self._mark_prompt_read(running)
        running.generated_tokens += tokens
        self._audit.record(running.entry.account, tokens)
        self._charge(running)
        return served

    def finish(
        self, attempt: types.AttemptId
    ) -> account_queue.QueueEntry | None:
        """End a running request and refund the unused charge.

        :returns: the request, None if it was not running.
        """
        if attempt not in self._running:
            return None
        return self._remove(attempt).entry

    def sum_outstanding(self) -> dict[types.AccountId, float]:
        """Return the tokens charged but not yet processed, by account."""
        outstanding: dict[types.AccountId, float] = {}
        for running in self._running.values():
            account = running.entry.account
            remaining = max(running.charged_tokens - running.done_tokens, 0.0)
            outstanding[account] = outstanding.get(account, 0.0) + remaining
        return outstanding

    def _add(self, running: StartedRequest) -> None:
        self._running[running.entry.attempt] = running
        self._tree.add_running(running.entry.account, 1)
        self._charge(running)

    def _remove(self, attempt: types.AttemptId) -> StartedRequest:
        running = self._running.pop(attempt)
        account = running.entry.account
        self._mark_prompt_read(running)
        self._tree.charge(
            account, running.done_tokens - running.charged_tokens
        )
        self._tree.add_running(account, -1)
        running.charged_tokens = running.done_tokens
        return running

    def _mark_prompt_read(self, running: StartedRequest) -> None:
        if running.is_unread:
            running.is_unread = False
            self.unread_tokens -= running.entry.prompt_tokens

    def _charge(self, running: StartedRequest) -> None:
        ahead = running.generated_tokens + self._commit_tokens
        total = running.entry.prompt_tokens + max(
            min(running.entry.expected_tokens, ahead), running.generated_tokens
        )
        self._tree.charge(
            running.entry.account, total - running.charged_tokens
        )
        running.charged_tokens = total
