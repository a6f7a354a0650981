"""The waiting and paused requests of one client account, by priority."""

import dataclasses
import itertools

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A request that waits for an endpoint.

    :param attempt: the attempt.
    :param account: the client account that pays for it.
    :param priority: its class within the account.
    :param prompt_tokens: prompt tokens that the engine must read.
    :param expected_tokens: tokens that it is expected to generate.
    :param deadline_ms: when the answer must be complete.
    :param service_ms: time that the answer takes once started.
    :param is_pausable: whether it may be paused once started: a stream
        that the engine resumes, never a plain call.
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
    """Requests of an account, by priority, paused ones first, then by age.

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
        """Return how many requests wait or are paused."""
        return self.count_waiting() + sum(map(len, self._paused.values()))

    def count_waiting(self) -> int:
        """Return how many requests wait and were never started."""
        return sum(map(len, self._waiting.values()))

    def append(self, entry: QueueEntry) -> None:
        """Add a request behind those of its class."""
        self._waiting[entry.priority][entry.attempt] = entry
        self._tokens[entry.priority] += entry.tokens

    def append_paused(self, entry: QueueEntry) -> None:
        """Add a request that was started before."""
        self._paused[entry.priority][entry.attempt] = entry

    def find(self, attempt: types.AttemptId) -> QueueEntry:
        """Return a request that waits or is paused.

        :raises KeyError: if it is not here.
        """
        for entries in (*self._waiting.values(), *self._paused.values()):
            if attempt in entries:
                return entries[attempt]
        raise KeyError(attempt)

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request that waits or is paused."""
        if self._paused[entry.priority].pop(entry.attempt, None):
            return
        del self._waiting[entry.priority][entry.attempt]
        self._tokens[entry.priority] -= entry.tokens

    def pop_first(self) -> QueueEntry:
        """Remove and return the request that goes first.

        :raises IndexError: if there is none.
        """
        for priority, waiting in self._waiting.items():
            entries = self._paused[priority] or waiting
            if entries:
                entry = next(iter(entries.values()))
                self.remove(entry)
                return entry
        raise IndexError('expected a request, got an empty queue')

    def pop_last(self) -> QueueEntry:
        """Remove and return the waiting request that would go last.

        :raises IndexError: if none waits.
        """
        entry = self.list_waiting()[-1]
        self.remove(entry)
        return entry

    def list_waiting(self) -> list[QueueEntry]:
        """Return the requests never started, the first one first."""
        return list(
            itertools.chain.from_iterable(
                entries.values() for entries in self._waiting.values()
            )
        )

    def count_tokens(
        self, priority: types.Priority = types.Priority.BATCH
    ) -> float:
        """Return the expected cost of what waits.

        :param priority: the lowest class to count.
        """
        return sum(
            tokens
            for other, tokens in self._tokens.items()
            if other <= priority
        )


_Entries = dict[types.AttemptId, QueueEntry]
