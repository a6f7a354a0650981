"""Announcements of new numbers: their fan-out and their rate limit."""

import dataclasses
import typing

from foxtailpick.core import config_sources
from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncerOptions:
    """Limits of announcements.

    :param fanout: number of peers notified of a new number.
    :param router_fanout: number of routers notified of a new number.
    :param accept_fanout: number of peers notified by the node that committed
        the patch.
    :param burst: capacity of the token bucket, in announcements.
    :param refill_ms: time to refill one token. Without a token, a number
        spreads by frames and polls alone.
    """

    fanout: int = 6
    router_fanout: int = 3
    accept_fanout: int = 24
    burst: float = 5.0
    refill_ms: float = 2_000.0


class Announcer:
    """Picks the peers to notify; each number is announced at most once.

    :param options: the limits.
    """

    def __init__(self, options: AnnouncerOptions = AnnouncerOptions()) -> None:
        self._options = options
        self._tokens = options.burst
        self._refilled_ms = 0.0
        self._last_announced = types.ConfigNumber(0)
        self._urgent: tuple[str, ...] = ()
        self._routers: tuple[str, ...] = ()
        self._fanout = options.fanout

    def set_routers(self, routers: typing.Iterable[str]) -> None:
        """Replace the routers that can be notified."""
        self._routers = tuple(routers)

    def on_accepted(self, urgent: tuple[str, ...]) -> None:
        """Widen the next announcement, of a number that only this node has.

        :param urgent: peers to notify in any case.
        """
        self._urgent = urgent
        self._fanout = self._options.accept_fanout
        self._tokens = max(self._tokens, 1.0)

    def pick_peers(
        self,
        number: types.ConfigNumber,
        sources: config_sources.Sources,
        now_ms: float,
    ) -> tuple[str, ...]:
        """Return the peers to notify of a number now.

        :param number: the number in force.
        :param sources: the peers.
        :param now_ms: the current time.
        """
        if number <= self._last_announced:
            return ()
        earned = (now_ms - self._refilled_ms) / self._options.refill_ms
        self._tokens = min(self._tokens + earned, self._options.burst)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return ()
        self._tokens -= 1
        self._last_announced = number
        sampled = sources.pick_peers(self._fanout, now_ms)
        routers = sources.sample(self._routers, self._options.router_fanout)
        peers = tuple(dict.fromkeys((*self._urgent, *sampled, *routers)))
        self._urgent = ()
        self._fanout = self._options.fanout
        return peers

    def next_ms(self, number: types.ConfigNumber, now_ms: float) -> float:
        """Return when to retry, infinity if there is nothing to announce."""
        if number <= self._last_announced:
            return float('inf')
        return now_ms + self._options.refill_ms
