"""Catching up to the highest number seen: which source to query, when."""

from foxtailpick.core import config_sources
from foxtailpick.core import types

MAX_HOLDERS = 4
RETRY_MS = 20.0
MAX_BACKOFF_FACTOR = 16


class CatchUp:
    """Retry state of a node that is behind.

    :param hedge_ms: delay before the next source is queried as well.
    """

    def __init__(self, hedge_ms: float) -> None:
        self._hedge_ms = hedge_ms
        self._holders: list[str] = []
        self._attempts = 0
        self._due_ms = 0.0
        self.highest_seen = types.ConfigNumber(0)
        self.behind_since_ms = float('inf')

    def observe_number(
        self, number: types.ConfigNumber, peer: str | None, now_ms: float
    ) -> None:
        """Record a number above the one in force.

        :param number: the number.
        :param peer: a node that has it, None if it cannot be queried.
        :param now_ms: the current time.
        """
        if number > self.highest_seen:
            self.highest_seen = number
            self._holders.clear()
            self._attempts = 0
            self._due_ms = now_ms
        if peer is not None and peer not in self._holders:
            self._holders.append(peer)
            del self._holders[:-MAX_HOLDERS]

    def restart(self, now_ms: float) -> None:
        """Count the time behind from now: it began, or there was progress."""
        self.behind_since_ms = now_ms

    @property
    def has_holder(self) -> bool:
        """Whether a peer that has the number is known."""
        return bool(self._holders)

    def retry_soon(self, now_ms: float) -> None:
        """Query the next source soon, after one did not help.

        The delay grows with the number of attempts.
        """
        retry_ms = now_ms + RETRY_MS * min(self._attempts, MAX_BACKOFF_FACTOR)
        self._due_ms = min(self._due_ms, retry_ms)

    def is_due(self, now_ms: float) -> bool:
        """Tell whether to query another source now."""
        return now_ms >= self._due_ms

    def start_attempt(self, now_ms: float) -> bool:
        """Start an attempt; tell whether it is the store's turn.

        Peers go first: one that sent the number has it, and the whole fleet
        would query the store at once.
        """
        self._attempts += 1
        factor = min(2 ** max(self._attempts - 4, 0), MAX_BACKOFF_FACTOR)
        self._due_ms = now_ms + self._hedge_ms * factor
        return self._attempts % 2 == 0

    def pick_peer(
        self, sources: config_sources.Sources, now_ms: float
    ) -> str | None:
        """Return a peer to query, preferably one that sent the number."""
        if self._holders:
            return self._holders.pop()
        sampled = sources.pick_peers(1, now_ms)
        return sampled[0] if sampled else None

    def next_ms(self) -> float:
        """Return when the next attempt is due."""
        return self._due_ms
