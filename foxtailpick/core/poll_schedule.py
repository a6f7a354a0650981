"""Schedule of the polls for the newest number, and their targets."""

import dataclasses
import random

from foxtailpick.core import types

RETRY_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class PollOptions:
    """Options of polling.

    :param mean_ms: mean interval between polls of one node.
    :param jitter: fraction of the interval by which it varies either way.
    :param store_polls_per_s: rate of polls of the whole fleet that go to the
        store; the others go to peers.
    """

    mean_ms: float = 8_000.0
    jitter: float = 0.25
    store_polls_per_s: float = 100.0


class PollSchedule:
    """The next poll of one node.

    :param rng: source of jitter.
    :param options: interval, jitter and rate limit.
    """

    def __init__(
        self, rng: random.Random, options: PollOptions = PollOptions()
    ) -> None:
        self._rng = rng
        self._options = options
        self._is_started = False
        self.due_ms = 0.0

    def start(self, now_ms: float) -> bool:
        """Start a poll if one is due; tell whether it is.

        The first poll is due at a random time, so that nodes that start
        together do not poll together.

        :param now_ms: the current time.
        """
        if not self._is_started:
            self._is_started = True
            spread_ms = self._rng.uniform(0, self._options.mean_ms)
            self.due_ms = now_ms + spread_ms
        if now_ms < self.due_ms:
            return False
        jitter = self._options.jitter
        factor = 1 + self._rng.uniform(-jitter, jitter)
        self.due_ms = now_ms + self._options.mean_ms * factor
        return True

    def retry_soon(self, now_ms: float) -> None:
        """Bring the next poll forward, because no source was available."""
        self.due_ms = min(self.due_ms, now_ms + RETRY_MS)

    def is_store_turn(self, fleet_size: int) -> bool:
        """Tell whether the poll goes to the store.

        The fraction that does shrinks as the fleet grows, so that the
        fleet's reads of the store stay below a fixed rate.

        :param fleet_size: number of known nodes of the fleet.
        """
        fraction = compute_store_fraction(
            self._options.store_polls_per_s, fleet_size, self._options.mean_ms
        )
        return self._rng.random() < fraction


def compute_store_fraction(
    budget_per_s: float, fleet_size: int, interval_ms: float
) -> float:
    """Return the fraction of the fleet's queries that may go to the store.

    :param budget_per_s: reads per second allowed for these queries.
    :param fleet_size: number of nodes.
    :param interval_ms: interval between queries of one node.
    """
    queries_per_s = fleet_size / (interval_ms / types.SECOND_MS)
    return min(budget_per_s / queries_per_s, 1.0)
