"""What endpoints announce of themselves in their responses.

Load pattern: endpoints of a service are replaced one after the other, or
turn requests away while they catch up, and many routers learn it at
different moments. An endpoint that announces that it leaves gets no new
request from this router, whatever the store or other routers say, until it
starts again. One that asks for a rest gets none until the rest is over. Both
are the endpoint's own word and no failure: its health is not affected.

With many routers each of them gets an answer of an engine only every few
seconds, so that many requests reach an endpoint that leaves before the
store shows it. So routers tell each other, through the hub, which endpoints
announced to them that they leave. For a while they repeat what they were
told: the router that read it may restart before the store shows it.
"""

import dataclasses
import typing

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rate_limits
from foxtailpick.core import types

# Longest rest that is believed.
MAX_REST_MS = 600_000.0
# Announcements of incarnations that are not listed are kept for this time.
MEMORY_MS = 600_000.0
# Where all endpoints of a service leave, they are used for this time. It is
# less than the shortest time for which a leaving endpoint accepts requests.
LAST_USE_MS = 1_000.0
# Cached prompts are fetched from a leaving endpoint for this time.
FETCH_MS = 1_000.0
# TTL of a router's report of departures at the hub; it is repeated earlier.
REPORT_TTL_MS = 3_000.0
# What a router was told is repeated for this time after the announcement, so
# that a wrong report ends. The store lists endpoints that leave for seconds.
REPEAT_MS = 60_000.0
# A larger number is no age of an announcement.
MAX_MESSAGE_AGE_MS = 1e12
# Largest number of departures in a report and in the totals.
MAX_REPORTED = 32
MAX_TOTAL = 128

# Id and start of an endpoint, and the age of its announcement in ms: a list,
# as it is sent.
Departure = list[typing.Any]


@dataclasses.dataclass(slots=True)
class Announcement:
    """The latest announcements of one incarnation of an endpoint.

    :param left_ms: when it first announced that it leaves, if it did.
    :param told_ms: when it did so to another router, if it did.
    :param rest_until_ms: end of the rest that it asked for.
    :param rate_limit: the rate of requests that it names.
    """

    left_ms: float | None = None
    told_ms: float | None = None
    rest_until_ms: float = 0.0
    rate_limit: rate_limits.RateLimit = dataclasses.field(
        default_factory=rate_limits.RateLimit
    )

    @property
    def is_leaving(self) -> bool:
        """Whether it announced that it leaves, to any router."""
        return self.left_ms is not None or self.told_ms is not None

    def get_reported_ms(self, now_ms: float) -> float | None:
        """Return when it announced that it leaves, None if not to report.

        :param now_ms: current time.
        """
        if self.left_ms is None and self.told_ms is not None:
            is_recent = now_ms - self.told_ms < REPEAT_MS
            return self.told_ms if is_recent else None
        return self.left_ms

    def is_resting(self, now_ms: float) -> bool:
        """Tell whether it asked for a rest that is not over.

        :param now_ms: current time.
        """
        return now_ms < self.rest_until_ms

    def has_left_since(self, limit_ms: float, now_ms: float) -> bool:
        """Tell whether it announced for the first time not long ago.

        Where it announced only to other routers, it is not known for how
        long it has been leaving, so it stays usable as a last resort.

        :param limit_ms: how long ago it may be.
        :param now_ms: current time.
        """
        if self.left_ms is None:
            return self.told_ms is not None
        return now_ms - self.left_ms < limit_ms

    def record_leaving(self, now_ms: float) -> bool:
        """Note that it leaves; return whether this is new.

        :param now_ms: current time.
        """
        if self.left_ms is not None:
            return False
        self.left_ms = now_ms
        return True

    def record_told(self, announced_ms: float) -> bool:
        """Note that it leaves, as other routers say; return if it is new.

        :param announced_ms: when it announced that, as they say.
        """
        is_new = not self.is_leaving
        if self.told_ms is None:
            self.told_ms = announced_ms
        return is_new

    def record_rest(self, rest_ms: float, now_ms: float) -> float:
        """Note that it asked for a rest; return the time that is kept.

        :param rest_ms: length of the rest.
        :param now_ms: current time.
        """
        kept_ms = min(rest_ms, MAX_REST_MS)
        self.rest_until_ms = max(self.rest_until_ms, now_ms + kept_ms)
        return kept_ms


class Announcements:
    """Announcements by incarnation, also of those not listed any more."""

    def __init__(self) -> None:
        self._by_incarnation: dict[
            model.EndpointIncarnation, Announcement
        ] = {}
        self._used_ms: dict[model.EndpointIncarnation, float] = {}

    def find(
        self, endpoint: model.EndpointIncarnation, now_ms: float
    ) -> Announcement:
        """Return the announcements of an incarnation.

        :param endpoint: the incarnation.
        :param now_ms: current time.
        """
        self._used_ms[endpoint] = now_ms
        for key, used_ms in list(self._used_ms.items()):
            if now_ms - used_ms >= MEMORY_MS:
                del self._used_ms[key]
                self._by_incarnation.pop(key, None)
        return self._by_incarnation.setdefault(endpoint, Announcement())


class HubDepartures:
    """The departures that routers report, kept by the hub."""

    def __init__(self) -> None:
        self._reports: dict[
            types.RouterId, tuple[float, typing.Sequence[Departure]]
        ] = {}

    def record(
        self,
        router: types.RouterId,
        departures: typing.Sequence[Departure],
        now_ms: float,
    ) -> None:
        """Store the report of a router, replacing its previous one.

        :param router: the router.
        :param departures: endpoints that announced to it that they leave.
        :param now_ms: current time.
        """
        self._reports[router] = (now_ms, departures)

    def merge(self, now_ms: float) -> list[Departure] | None:
        """Return the departures that routers reported, None if none.

        :param now_ms: current time.
        """
        self._reports = {
            router: (received_ms, departures)
            for router, (received_ms, departures) in self._reports.items()
            if now_ms - received_ms <= REPORT_TTL_MS
        }
        ages_ms: dict[model.EndpointIncarnation, int] = {}
        for received_ms, departures in self._reports.values():
            for name, started, age_ms in departures:
                total_ms = age_ms + round(now_ms - received_ms)
                known_ms = ages_ms.get((name, started), 0)
                ages_ms[name, started] = max(total_ms, known_ms)
        return _list_latest(ages_ms, MAX_TOTAL)


def make_report(
    left_ms: typing.Mapping[model.EndpointIncarnation, float], now_ms: float
) -> list[Departure] | None:
    """Return the latest departures for the hub, None if there are none.

    :param left_ms: when endpoints announced that they leave.
    :param now_ms: current time.
    """
    ages_ms = {key: round(now_ms - at_ms) for key, at_ms in left_ms.items()}
    return _list_latest(ages_ms, MAX_REPORTED)


def decode_departures(message: typing.Any) -> list[Departure]:
    """Decode departures that another router sent.

    :param message: lists of an endpoint's id, its start and the age of the
        announcement; None if none.
    :raises ValueError: if it has another form.
    """
    if message is None:
        return []
    if not isinstance(message, list) or not all(map(_is_departure, message)):
        raise ValueError(
            f'expected lists of an id, a start and an age, got {message!r:.80}'
        )
    return message


def _is_departure(item: typing.Any) -> bool:
    return (
        isinstance(item, list)
        and [type(part) for part in item] == [str, str, int]
        and 0 <= item[2] <= MAX_MESSAGE_AGE_MS
    )


def _list_latest(
    ages_ms: typing.Mapping[model.EndpointIncarnation, int], limit: int
) -> list[Departure] | None:
    latest = sorted(ages_ms, key=lambda item: (ages_ms[item], item))[:limit]
    return [[*item, ages_ms[item]] for item in latest] or None
