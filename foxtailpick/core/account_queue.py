"""The waiting requests of one client account, by priority."""

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
    """

    attempt: types.AttemptId
    account: types.AccountId
    priority: types.Priority = types.Priority.NORMAL
    prompt_tokens: float = 1.0
    expected_tokens: float = 0.0
    deadline_ms: float = float('inf')
    service_ms: float = 0.0

    @property
    def tokens(self) -> float:
        """Return the expected cost in tokens."""
        return self.prompt_tokens + self.expected_tokens


class AccountQueue:
    """Waiting requests, in the order of priority, then of arrival."""

    def __init__(self) -> None:
        self._classes: dict[
            types.Priority, dict[types.AttemptId, QueueEntry]
        ] = {priority: {} for priority in sorted(types.Priority)}
        self._tokens = dict.fromkeys(self._classes, 0.0)

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._classes.values()))

    def append(self, entry: QueueEntry) -> None:
        """Add a request behind those of its class."""
        self._classes[entry.priority][entry.attempt] = entry
        self._tokens[entry.priority] += entry.tokens

    def find(self, attempt: types.AttemptId) -> QueueEntry:
        """Return a waiting request.

        :raises KeyError: if it does not wait here.
        """
        for entries in self._classes.values():
            if attempt in entries:
                return entries[attempt]
        raise KeyError(attempt)

    def remove(self, entry: QueueEntry) -> None:
        """Remove a waiting request."""
        del self._classes[entry.priority][entry.attempt]
        self._tokens[entry.priority] -= entry.tokens

    def pop_first(self) -> QueueEntry:
        """Remove and return the request that goes first.

        :raises StopIteration: if none waits.
        """
        entry = next(iter(self.list_entries()))
        self.remove(entry)
        return entry

    def pop_last(self) -> QueueEntry:
        """Remove and return the request that would go last.

        :raises IndexError: if none waits.
        """
        entry = self.list_entries()[-1]
        self.remove(entry)
        return entry

    def list_entries(self) -> list[QueueEntry]:
        """Return the waiting requests, the first one first."""
        return list(
            itertools.chain.from_iterable(
                entries.values() for entries in self._classes.values()
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
