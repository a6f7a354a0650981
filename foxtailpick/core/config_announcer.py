"""When a node tells peers of a new number, and how many."""

import dataclasses
import typing

from foxtailpick.core import config_sources
from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncerOptions:
    """Bounds of announcements.

    :param fanout: peers told of a new number.
    :param listener_fanout: routers told of a new number.
    :param accept_fanout: peers told by the node that accepted the patch.
    :param burst: announcements at once.
    :param refill_ms: time in which one more is earned. A node that may not
        announce leaves it to frames and polls.
    """

    fanout: int = 6
    listener_fanout: int = 3
    accept_fanout: int = 24
    burst: float = 5.0
    refill_ms: float = 2_000.0


class Announcer:
    """Picks the peers to tell; each number is told at most once.

    :param options: the bounds.
    """

    def __init__(self, options: AnnouncerOptions = AnnouncerOptions()) -> None:
        self._options = options
        self._left = options.burst
        self._counted_ms = 0.0
        self._told = types.ConfigNumber(0)
        self._urgent: tuple[str, ...] = ()
        self._listeners: tuple[str, ...] = ()
        self._fanout = options.fanout

    def set_listeners(self, listeners: typing.Iterable[str]) -> None:
        """Replace the routers that can be told."""
        self._listeners = tuple(listeners)

    def on_accepted(self, urgent: tuple[str, ...]) -> None:
        """Tell more peers of the next number, which nobody else knows.

        :param urgent: peers to tell in any case.
        """
        self._urgent = urgent
        self._fanout = self._options.accept_fanout
        self._left = max(self._left, 1.0)

    def pick_peers(
        self,
        number: types.ConfigNumber,
        sources: config_sources.Sources,
        now_ms: float,
    ) -> tuple[str, ...]:
        """Return the peers to tell of a number now.

        :param number: the number in force.
        :param sources: the peers.
        :param now_ms: the current time.
        """
        if number <= self._told:
            return ()
        earned = (now_ms - self._counted_ms) / self._options.refill_ms
        self._left = min(self._left + earned, self._options.burst)
        self._counted_ms = now_ms
        if self._left < 1:
            return ()
        self._left -= 1
        self._told = number
        drawn = sources.pick_peers(self._fanout, now_ms)
        heard = sources.sample(self._listeners, self._options.listener_fanout)
        peers = tuple(dict.fromkeys((*self._urgent, *drawn, *heard)))
        self._urgent = ()
        self._fanout = self._options.fanout
        return peers

    def next_ms(self, number: types.ConfigNumber, now_ms: float) -> float:
        """Return when to look again, infinity if there is nothing to tell."""
        if number <= self._told:
            return float('inf')
        return now_ms + self._options.refill_ms
