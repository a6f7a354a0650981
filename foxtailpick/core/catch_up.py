"""The highest number heard of, and whom to ask for it next."""

from foxtailpick.core import config_sources
from foxtailpick.core import types

MAX_SPEAKERS = 4
RETRY_MS = 20.0
MAX_BACKOFF = 16


class CatchUp:
    """What a node that is behind knows and tries.

    :param hedge_ms: wait for a source before the next one is asked too.
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
        :param peer: who holds it, None if it cannot be asked.
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
        """Count the time behind from now, because it began or got shorter."""
        self.since_ms = now_ms

    @property
    def has_speaker(self) -> bool:
        """Whether a peer is known that holds the number."""
        return bool(self._speakers)

    def retry_soon(self, now_ms: float) -> None:
        """Ask the next source soon, because one did not help."""
        soon_ms = now_ms + RETRY_MS * min(self._tries, MAX_BACKOFF)
        self._due_ms = min(self._due_ms, soon_ms)

    def is_due(self, now_ms: float) -> bool:
        """Tell whether another source is to be asked now."""
        return now_ms >= self._due_ms

    def start_try(self, now_ms: float) -> bool:
        """Begin a try; tell whether it is the store's turn.

        Peers go first: the one that spoke holds the number, and the store
        would be asked by the whole fleet at once.
        """
        self._tries += 1
        backoff = min(2 ** max(self._tries - 4, 0), MAX_BACKOFF)
        self._due_ms = now_ms + self._hedge_ms * backoff
        return self._tries % 2 == 0

    def pick_peer(
        self, sources: config_sources.Sources, now_ms: float
    ) -> str | None:
        """Return a peer to ask, one that spoke if there is one."""
        if self._speakers:
            return self._speakers.pop()
        drawn = sources.pick_peers(1, now_ms)
        return drawn[0] if drawn else None

    def next_ms(self) -> float:
        """Return when the next try is due."""
        return self._due_ms
