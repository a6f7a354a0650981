"""Queue of the waiting and paused requests of one client account."""

import dataclasses
import itertools

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A request queued for an endpoint.

    :param attempt: the attempt.
    :param account: the client account that is charged.
    :param priority: priority within the account.
    :param prompt_tokens: prompt tokens that the engine must prefill.
    :param expected_tokens: expected number of generated tokens.
    :param deadline_ms: when the answer must be complete.
    :param service_ms: expected service time once started.
    :param is_pausable: whether it may be paused once started; true only
        for streams that the engine can resume, never for plain calls.
    """

    attempt: types.AttemptId
    account: types.AccountId
    priority: types.Priority = types.Priority.NORMAL
    prompt_tokens: float = 1.0
    expected_tokens: float = 0.0
    deadline_ms: float = float('inf')
    service_ms: float = 0.0
    is_pausable: bool = False

    @property
    def tokens(self) -> float:
        """Return the expected cost in tokens."""
        return self.prompt_tokens + self.expected_tokens


class AccountQueue:
    """Requests ordered by priority, paused before waiting, then by age.

    Paused requests have run in part, so they are never refused.
    """

    def __init__(self) -> None:
        self._waiting: dict[types.Priority, _Entries] = {
            priority: {} for priority in sorted(types.Priority)
        }
        self._paused: dict[types.Priority, _Entries] = {
            priority: {} for priority in self._waiting
        }
        self._tokens = dict.fromkeys(self._waiting, 0.0)

    def __len__(self) -> int:
        """Return the number of waiting and paused requests."""
        return self.count_waiting() + sum(map(len, self._paused.values()))

    def count_waiting(self) -> int:
        """Return the number of requests that were never started."""
        return sum(map(len, self._waiting.values()))

    def append(self, entry: QueueEntry) -> None:
        """Add a request behind those of its priority."""
        self._waiting[entry.priority][entry.attempt] = entry
        self._tokens[entry.priority] += entry.tokens

    def append_paused(self, entry: QueueEntry) -> None:
        """Add a request that was started and then paused."""
        self._paused[entry.priority][entry.attempt] = entry

    def find(self, attempt: types.AttemptId) -> QueueEntry:
        """Return a waiting or paused request.

        :raises KeyError: if it is not in the queue.
        """
        for entries in (*self._waiting.values(), *self._paused.values()):
            if attempt in entries:
                return entries[attempt]
        raise KeyError(attempt)

    def remove(self, entry: QueueEntry) -> None:
        """Remove a waiting or paused request."""
        if self._paused[entry.priority].pop(entry.attempt, None):
            return
        del self._waiting[entry.priority][entry.attempt]
        self._tokens[entry.priority] -= entry.tokens

    def pop_first(self) -> QueueEntry:
        """Remove and return the first request.

        :raises IndexError: if the queue is empty.
        """
        for priority, waiting in self._waiting.items():
            entries = self._paused[priority] or waiting
            if entries:
                entry = next(iter(entries.values()))
                self.remove(entry)
                return entry
        raise IndexError('expected a request, got an empty queue')

    def pop_last(self) -> QueueEntry:
        """Remove and return the last waiting request.

        :raises IndexError: if none is waiting.
        """
        entry = self.list_waiting()[-1]
        self.remove(entry)
        return entry

    def list_waiting(self) -> list[QueueEntry]:
        """Return the requests that were never started, in order."""
        return list(
            itertools.chain.from_iterable(
                entries.values() for entries in self._waiting.values()
            )
        )

    def sum_tokens(
        self, priority: types.Priority = types.Priority.BATCH
    ) -> float:
        """Return the expected cost of the waiting requests, in tokens.

        :param priority: the lowest priority to include.
        """
        return sum(
            tokens
            for other, tokens in self._tokens.items()
            if other <= priority
        )


_Entries = dict[types.AttemptId, QueueEntry]
