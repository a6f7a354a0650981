"""Keeps the limits that endpoints name for the rate of their requests.

Load pattern: endpoints in need name the requests a second that they take
from all routers together, while the load goes on. What an endpoint can't
take goes to others or is refused. Routers have requests for it at different
rates, and each gets few, so equal parts of a small rate would be left unused
by most of them. Routers therefore tell each other, through the hub, how many
requests they have for a limited endpoint, and each sends the same share of
its own, chosen at random. They also tell how many they sent, which ends a
random excess. Without fresh totals a router assumes that all do as it does.
After the loss or the return of a hub there may be two for some seconds. Totals
name how many routers they contain, and the others count as these.

A limit is the word of the endpoint, in its answers. The latest word applies,
of whichever router it was read by, so a limit is over with the first answer
that doesn't name it. An endpoint that names a rate of almost nothing is still
asked from time to time, since only its answers can end the limit.
"""

import collections
import dataclasses
import math
import random
import typing

from foxtailpick.core.dispatch import decayed_rate
from foxtailpick.core.dispatch import model
from foxtailpick.core import types

# Usable share of a limit, as the demand at other routers is known late.
USABLE_SHARE = 0.85
# Requests a second that all routers together send to an endpoint whatever it
# names. Five in 4 s are tolerated at any limit.
MIN_PER_S = 0.25
# Sent requests are counted for this time. In it, at most so many times the
# limit and so many more are sent; one and a half times and five are tolerated.
WINDOW_MS = 4_000.0
WINDOW_MULTIPLE = 1.15
WINDOW_SLACK = 2.0
# Totals of the hub are used for this time.
TOTALS_TTL_MS = 1_500.0
# Shortest time between two totals that the hub sends.
TOTALS_INTERVAL_MS = 140.0
# A router reports what it read from an endpoint for this time.
REPORT_TTL_MS = 3_000.0
# Largest number of endpoints in a report and in the totals.
MAX_REPORTED = 64
# A larger number is no age and no rate.
MAX_MESSAGE_NUMBER = 1e12

# A list, as it is sent: id and start of an endpoint, the rate that it named
# (None: no limit), the age of that word in ms (None: not read by this router),
# the requests a second that routers have for it, and the number sent in the
# window.
Statement = list[typing.Any]


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The limit of one incarnation of an endpoint, and this router's share.

    :param per_s: requests per second from all routers, None if not limited.
    :param stated_ms: when a router read that from an answer.
    :param own_ms: when this router last read an answer that tells, None if
        it did not.
    :param own_per_s: what that answer named.
    :param wanted: requests that this router has for it, also before it
        names a limit.
    :param reported_per_s: their rate in the latest report to the hub.
    :param others_per_s: rate of the other routers' requests for it.
    :param others_ms: when the hub told that.
    :param reporters: number of routers that the hub's totals contain,
        including this one; None if they contain all.
    :param sent_ms: when this router sent requests in the window.
    :param reported_sent: their number in the latest report to the hub.
    :param others_sent: requests that the other routers sent in the window.
    """

    per_s: float | None = None
    stated_ms: float = -math.inf
    own_ms: float | None = None
    own_per_s: float | None = None
    wanted: decayed_rate.DecayedRate = dataclasses.field(
        default_factory=decayed_rate.DecayedRate
    )
    reported_per_s: float = 0.0
    others_per_s: float = 0.0
    others_ms: float = -math.inf
    reporters: int | None = None
    sent_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    reported_sent: int = 0
    others_sent: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the endpoint limits the rate of its requests."""
        return self.per_s is not None

    def record(
        self, per_s: float | None, sent_ms: float, now_ms: float
    ) -> bool:
        """Note what an answer names; return whether the limit changed.

        :param per_s: the rate that it names, None if it names none.
        :param sent_ms: when its request was sent. An answer without a limit
            to an earlier request may have been overtaken by one with it.
        :param now_ms: current time.
        """
        if per_s is None and (not self.is_limited or sent_ms < self.stated_ms):
            return False
        self.own_ms = now_ms
        self.own_per_s = per_s
        return self._set(per_s, now_ms)

    def record_told(
        self, per_s: float | None, age_ms: float, now_ms: float
    ) -> bool:
        """Note what another router read; return whether the limit changed.

        :param per_s: the rate that an answer named, None if it named none.
        :param age_ms: how long ago that was.
        :param now_ms: current time.
        """
        if now_ms - age_ms <= self.stated_ms:
            return False
        return self._set(per_s, now_ms - age_ms)

    def _set(self, per_s: float | None, stated_ms: float) -> bool:
        is_changed = per_s != self.per_s
        self.per_s = per_s
        self.stated_ms = stated_ms
        return is_changed


def admit(
    limit: RateLimit, routers: int, now_ms: float, rng: random.Random
) -> bool:
    """Tell whether a request may be sent to a limited endpoint now.

    A request that may be sent counts as sent.

    :param limit: the limit.
    :param routers: number of routers, including this one.
    :param now_ms: current time.
    :param rng: source of random numbers.
    """
    limit.wanted.record(now_ms)
    wanted_per_s = max(
        limit.wanted.compute_per_s(now_ms),
        _estimate_wanted_per_s(limit, routers, now_ms),
    )
    usable_per_s = _get_usable_per_s(limit)
    if _is_window_full(limit, routers, now_ms):
        return False
    if rng.random() * wanted_per_s >= usable_per_s:
        return False
    limit.sent_ms.append(now_ms)
    return True


def compute_share_per_s(
    limit: RateLimit, routers: int, now_ms: float
) -> float:
    """Return the requests a second that this router may send, above 0.

    :param limit: the limit of an endpoint that names one.
    :param routers: number of routers, including this one.
    :param now_ms: current time.
    """
    usable_per_s = _get_usable_per_s(limit)
    if not _has_totals(limit, now_ms) or limit.reported_per_s <= 0:
        return usable_per_s / routers
    # At the time of a report the own rate is known as that of the others is;
    # now, at a request or after a pause, it would be too high or too low.
    wanted_per_s = _estimate_wanted_per_s(limit, routers, now_ms)
    return usable_per_s * limit.reported_per_s / wanted_per_s


def _get_usable_per_s(limit: RateLimit) -> float:
    return USABLE_SHARE * max(limit.per_s or 0.0, MIN_PER_S)


def _has_totals(limit: RateLimit, now_ms: float) -> bool:
    return now_ms - limit.others_ms <= TOTALS_TTL_MS


def _estimate_wanted_per_s(
    limit: RateLimit, routers: int, now_ms: float
) -> float:
    """Return the rate of the requests of all routers for the endpoint."""
    if _has_totals(limit, now_ms):
        reported_per_s = limit.reported_per_s + limit.others_per_s
        return reported_per_s * _count_per_reporter(limit, routers)
    return limit.wanted.compute_per_s(now_ms) * routers


def _count_per_reporter(limit: RateLimit, routers: int) -> float:
    """Return how many routers each one in the hub's totals stands for."""
    if limit.reporters is None:
        return 1.0
    return max(1.0, routers / limit.reporters)


def _is_window_full(limit: RateLimit, routers: int, now_ms: float) -> bool:
    """Tell whether as many were sent lately as the limit allows at most."""
    own = _count_sent(limit, now_ms)
    total: float = own * routers
    if _has_totals(limit, now_ms):
        total = own + limit.others_sent
        total *= _count_per_reporter(limit, routers)
    rate_per_s = max(limit.per_s or 0.0, MIN_PER_S)
    allowed = rate_per_s * WINDOW_MULTIPLE * WINDOW_MS / types.SECOND_MS
    return total + 1 > allowed + WINDOW_SLACK


def _count_sent(limit: RateLimit, now_ms: float) -> int:
    while limit.sent_ms and limit.sent_ms[0] <= now_ms - WINDOW_MS:
        limit.sent_ms.popleft()
    return len(limit.sent_ms)


class HubLimits:
    """What routers report of limited endpoints, kept by the hub."""

    def __init__(self) -> None:
        self._reports: dict[
            types.RouterId, tuple[float, typing.Sequence[Statement]]
        ] = {}

    @property
    def router_count(self) -> int:
        """Number of routers in the latest totals."""
        return len(self._reports)

    def record(
        self,
        router: types.RouterId,
        statements: typing.Sequence[Statement],
        now_ms: float,
    ) -> None:
        """Store the report of a router, replacing its previous one.

        :param router: the router.
        :param statements: what it reports.
        :param now_ms: current time.
        """
        self._reports[router] = (now_ms, statements)

    def merge(self, now_ms: float) -> list[Statement]:
        """Return the latest word of each endpoint and the summed demand.

        :param now_ms: current time.
        """
        self._reports = {
            router: report
            for router, report in self._reports.items()
            if now_ms - report[0] <= TOTALS_TTL_MS
        }
        merged: dict[model.EndpointIncarnation, Statement] = {}
        for received_ms, statements in self._reports.values():
            for name, started, per_s, age_ms, wanted_per_s, sent in statements:
                known = merged.setdefault(
                    (name, started), [name, started, None, None, 0.0, 0]
                )
                known[4] += wanted_per_s
                known[5] += sent
                if age_ms is None:
                    continue
                total_ms = age_ms + round(now_ms - received_ms)
                if known[3] is None or total_ms < known[3]:
                    known[2:4] = per_s, total_ms
        return [merged[key] for key in sorted(merged)][:MAX_REPORTED]


def make_statement(
    endpoint: model.EndpointIncarnation, limit: RateLimit, now_ms: float
) -> Statement | None:
    """Return what to report of an endpoint, None if nothing.

    :param endpoint: the endpoint.
    :param limit: its limit.
    :param now_ms: current time.
    """
    is_recent = (
        limit.own_ms is not None and now_ms - limit.own_ms <= REPORT_TTL_MS
    )
    if not is_recent and not limit.is_limited:
        return None
    limit.reported_per_s = 0.0
    if limit.is_limited:
        limit.reported_per_s = round(limit.wanted.compute_per_s(now_ms), 2)
    limit.reported_sent = _count_sent(limit, now_ms)
    age_ms = None
    if is_recent and limit.own_ms is not None:
        age_ms = round(now_ms - limit.own_ms)
    return [
        *endpoint,
        limit.own_per_s,
        age_ms,
        limit.reported_per_s,
        limit.reported_sent,
    ]


def apply_statement(
    limit: RateLimit,
    statement: Statement,
    reporters: int | None,
    now_ms: float,
) -> bool:
    """Apply the totals of an endpoint; return whether its limit changed.

    :param limit: its limit.
    :param statement: the totals.
    :param reporters: number of routers that the totals contain, None if all.
    :param now_ms: current time.
    """
    _, _, per_s, age_ms, wanted_per_s, sent = statement
    limit.others_per_s = max(0.0, wanted_per_s - limit.reported_per_s)
    limit.others_sent = max(0, sent - limit.reported_sent)
    limit.others_ms = now_ms
    limit.reporters = reporters
    return age_ms is not None and limit.record_told(per_s, age_ms, now_ms)


def decode_statements(message: typing.Any) -> list[Statement]:
    """Decode statements that another router sent.

    :param message: lists of an endpoint's id, its start, its limit, the age
        of that, a rate and a number.
    :raises ValueError: if it has another form.
    """
    if not isinstance(message, list) or not all(map(_is_statement, message)):
        raise ValueError(
            f'expected lists of an id, a start, a limit, its age, a rate and '
            f'a number, got {message!r:.80}'
        )
    return message


def _is_statement(item: typing.Any) -> bool:
    return (
        isinstance(item, list)
        and len(item) == 6
        and isinstance(item[0], str)
        and isinstance(item[1], str)
        and all(part is None or _is_number(part) for part in item[2:4])
        and all(map(_is_number, item[4:]))
    )


def _is_number(value: typing.Any) -> bool:
    # nan is not within any bounds, and a bool is no number here.
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 <= value <= MAX_MESSAGE_NUMBER
    )
