"""Catching up to the highest number seen: which source to query, when."""

from foxtailpick.core import config_sources
from foxtailpick.core import types

MAX_SPEAKERS = 4
RETRY_MS = 20.0
MAX_BACKOFF = 16


class CatchUp:
    """Retry state of a node that is behind.

    :param hedge_ms: delay before the next source is queried as well.
    """

    def __init__(self, hedge_ms: float) -> None:
        self._hedge_ms = hedge_ms
        self._speakers: list[str] = []
        self._tries = 0
        self._due_ms = 0.0
        self.heard = types.ConfigNumber(0)
        self.since_ms = float('inf')

    def hear(
        self, number: types.ConfigNumber, peer: str | None, now_ms: float
    ) -> None:
        """Record a number above the one in force.

        :param number: the number.
        :param peer: a node that has it, None if it cannot be queried.
        :param now_ms: the current time.
        """
        if number > self.heard:
            self.heard = number
            self._speakers.clear()
            self._tries = 0
            self._due_ms = now_ms
        if peer is not None and peer not in self._speakers:
            self._speakers.append(peer)
            del self._speakers[:-MAX_SPEAKERS]

    def restart(self, now_ms: float) -> None:
        """Restart the time behind, at the start or after progress."""
        self.since_ms = now_ms

    @property
    def has_speaker(self) -> bool:
        """Whether a peer that has the number is known."""
        return bool(self._speakers)

    def retry_soon(self, now_ms: float) -> None:
        """Query the next source soon, after one did not help.

        The delay grows with the number of attempts.
        """
        soon_ms = now_ms + RETRY_MS * min(self._tries, MAX_BACKOFF)
        self._due_ms = min(self._due_ms, soon_ms)

    def is_due(self, now_ms: float) -> bool:
        """Tell whether to query another source now."""
        return now_ms >= self._due_ms

    def start_try(self, now_ms: float) -> bool:
        """Start an attempt; tell whether it is the store's turn.

        Peers go first: one that sent the number has it, and the whole fleet
        would query the store at once.
        """
        self._tries += 1
        backoff = min(2 ** max(self._tries - 4, 0), MAX_BACKOFF)
        self._due_ms = now_ms + self._hedge_ms * backoff
        return self._tries % 2 == 0

    def pick_peer(
        self, sources: config_sources.Sources, now_ms: float
    ) -> str | None:
        """Return a peer to query, preferably one that sent the number."""
        if self._speakers:
            return self._speakers.pop()
        drawn = sources.pick_peers(1, now_ms)
        return drawn[0] if drawn else None

    def next_ms(self) -> float:
        """Return when the next attempt is due."""
        return self._due_ms
