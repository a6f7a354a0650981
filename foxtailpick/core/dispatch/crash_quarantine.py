"""Quarantines prompt parts that crash endpoints.

Load pattern: each request whose prompt has a certain part crashes the
endpoint that begins to answer it (a query of death). Such requests arrive at
any router, and sound requests share their account and their other parts.
Each crash takes all requests of an endpoint with it, and a retry crashes the
next endpoint.

The parts of a request are suspected when the connection to its endpoint
closes before or shortly after the answer began, until any router gets a
sound answer to a request with the same part. A part that is suspected for
several endpoints is quarantined: requests with it are refused. Later, one
request at a time may test it.

Evidence of one router is rare, as the requests arrive at all of them.
Routers report suspects to the hub, which returns sums, and routers with
sound answers to these parts contradict it.
"""

import collections
import dataclasses
import math
import typing

from foxtailpick.core import types

# An endpoint that a request crashes ends this long after the start of the
# answer at most. The start may also be lost with the connection.
BEGUN_MS = 500.0
# An answer of this length is sound; the endpoint has survived its start.
SOUND_MS = 1_000.0
# Ends at nearly the same time have a common cause other than a prompt, such
# as the loss of a failure domain, so they count as one.
MIN_END_GAP_MS = 500.0
# Number of ends from which on a part is quarantined.
MAX_ENDS = 3
END_TTL_MS = 120_000.0
# A part counts as sound for this long after a sound answer, as far as
# retries are concerned.
PROVEN_MS = 120_000.0
# Each failed test makes the next quarantine longer by this factor.
FIRST_QUARANTINE_MS = 15_000.0
QUARANTINE_FACTOR = 3.0
MAX_QUARANTINE_MS = 600_000.0
# A quarantine ends if no test begins for this long after it is due.
EXPIRY_MS = 600_000.0
# A test without a result ends after this time.
TEST_TIMEOUT_MS = 10_000.0
# Routers may begin a test one after the other, so that two seldom do.
TEST_STAGGER_MS = 3_000.0
# Limits of memory and of messages.
MAX_SUSPECTS = 512
MAX_SOUND_PARTS = 4_096
MAX_REPORTED_PARTS = 16
MAX_REPORTED_ENDS = 8
# Reports and totals older than this are ignored.
MAX_AGE_MS = 3_500.0


@dataclasses.dataclass(slots=True)
class Quarantine:
    """The quarantine of a prompt part.

    :param started_ms: when it started.
    :param level: number of failed tests before it.
    :param test_ms: when the latest test began, if any.
    """

    started_ms: float
    level: int = 0
    test_ms: float | None = None

    @property
    def due_ms(self) -> float:
        """Time from which on the part may be tested."""
        factor = QUARANTINE_FACTOR**self.level
        return self.started_ms + min(
            FIRST_QUARANTINE_MS * factor, MAX_QUARANTINE_MS
        )

    def is_under_test(self, now_ms: float) -> bool:
        """Tell whether a test has begun and may still have a result.

        :param now_ms: current time.
        """
        return (
            self.test_ms is not None
            and now_ms - self.test_ms < TEST_TIMEOUT_MS
        )


class Refusal(typing.NamedTuple):
    """Why a request is refused.

    :param part: the quarantined part of its prompt.
    :param due_ms: time until the part may be tested.
    """

    part: types.PartId
    due_ms: float


class Changes(typing.NamedTuple):
    """Parts whose quarantine started, and parts whose quarantine ended."""

    started: list[types.PartId]
    cleared: list[types.PartId]


def is_suspect(answered_ms: float | None, closed_ms: float) -> bool:
    """Tell whether a request may have crashed the endpoint it was sent to.

    :param answered_ms: when its answer began, None if it did not.
    :param closed_ms: when the endpoint closed the connection.
    """
    return answered_ms is None or closed_ms - answered_ms < BEGUN_MS


def count_ends(ends_ms: typing.Iterable[float]) -> int:
    """Count the ends of endpoints; those at nearly one time count as one.

    :param ends_ms: when distinct endpoints ended.
    """
    count = 0
    first_ms = -math.inf
    for end_ms in sorted(ends_ms):
        if end_ms - first_ms >= MIN_END_GAP_MS:
            count += 1
            first_ms = end_ms
    return count


class CrashRecords:
    """What a router knows of prompt parts and the endpoints that ended."""

    def __init__(self) -> None:
        # When endpoints ended under a part, by process.
        self._ends_ms: collections.OrderedDict[
            types.PartId, dict[str, float]
        ] = collections.OrderedDict()
        self._sound_ms: collections.OrderedDict[types.PartId, float] = (
            collections.OrderedDict()
        )
        # The hub's latest word, and when it arrived.
        self._total_ends: dict[types.PartId, int] = {}
        self._total_sound_ms: dict[types.PartId, float] = {}
        self._totals_ms = -math.inf
        self.quarantines: dict[types.PartId, Quarantine] = {}

    def record_end(
        self,
        parts: typing.Iterable[types.PartId],
        endpoint: str,
        closed_ms: float,
        now_ms: float,
    ) -> list[types.PartId]:
        """Record that an endpoint ended under a request that is suspect.

        :param parts: shared parts of the request's prompt.
        :param endpoint: the process of the endpoint.
        :param closed_ms: when it closed the connection.
        :param now_ms: current time.
        :returns: parts whose quarantine starts.
        """
        for part in parts:
            if closed_ms <= self._get_sound_ms(part):
                continue
            self._ends_ms.setdefault(part, {}).setdefault(endpoint, closed_ms)
            self._ends_ms.move_to_end(part)
        while len(self._ends_ms) > MAX_SUSPECTS:
            self._ends_ms.popitem(last=False)
        return self._start_quarantines(now_ms)

    def record_sound(
        self, parts: typing.Iterable[types.PartId], now_ms: float
    ) -> list[types.PartId]:
        """Record a sound answer, which ends each suspicion of its parts.

        :param parts: shared parts of the request's prompt.
        :param now_ms: current time.
        :returns: parts whose quarantine ends.
        """
        cleared = []
        for part in parts:
            self._sound_ms[part] = now_ms
            self._sound_ms.move_to_end(part)
            self._ends_ms.pop(part, None)
            if self.quarantines.pop(part, None):
                cleared.append(part)
        while len(self._sound_ms) > MAX_SOUND_PARTS:
            self._sound_ms.popitem(last=False)
        return cleared

    def find_refusal(
        self,
        parts: typing.Iterable[types.PartId],
        get_rank: typing.Callable[[types.PartId], int],
        now_ms: float,
    ) -> Refusal | None:
        """Return why a request must not be sent, None if it may be.

        :param parts: shared parts of its prompt.
        :param get_rank: returns the rank of this router among those that
            may test a part, 0 for the first.
        :param now_ms: current time.
        """
        if not self.quarantines:
            return None
        for part in parts:
            quarantine = self.quarantines.get(part)
            if quarantine is None:
                continue
            due_ms = quarantine.due_ms + get_rank(part) * TEST_STAGGER_MS
            if now_ms < due_ms or quarantine.is_under_test(now_ms):
                return Refusal(part, max(0.0, due_ms - now_ms))
        return None

    def begin_tests(
        self, parts: typing.Iterable[types.PartId], now_ms: float
    ) -> list[types.PartId]:
        """Record that a request is sent, and tests its quarantined parts.

        :param parts: shared parts of its prompt.
        :param now_ms: current time.
        :returns: the parts that it tests.
        """
        tested = [part for part in parts if part in self.quarantines]
        for part in tested:
            self.quarantines[part].test_ms = now_ms
        return tested

    def fail_tests(
        self, parts: typing.Iterable[types.PartId], now_ms: float
    ) -> list[types.PartId]:
        """Quarantine parts for longer, as their test crashed an endpoint.

        :param parts: the parts that were tested.
        :param now_ms: current time.
        :returns: parts whose quarantine starts again.
        """
        failed = [part for part in parts if part in self.quarantines]
        for part in failed:
            level = self.quarantines[part].level + 1
            self.quarantines[part] = Quarantine(now_ms, level)
        return failed

    def may_crash(
        self,
        parts: typing.Iterable[types.PartId],
        now_ms: float,
    ) -> bool:
        """Tell whether a repeated request may crash another endpoint.

        A part without a recent sound answer may, if an endpoint has ended
        under it, be it this request or another one.

        :param parts: shared parts of its prompt.
        :param now_ms: current time.
        """
        for part in parts:
            if part in self.quarantines:
                return True
            if now_ms - self._get_sound_ms(part) < PROVEN_MS:
                continue
            if any(self.count_ends(part, now_ms)):
                return True
        return False

    def count_ends(self, part: types.PartId, now_ms: float) -> tuple[int, int]:
        """Return the number of ends at this router and at all routers.

        :param part: the prompt part.
        :param now_ms: current time.
        """
        own = count_ends(self._ends_ms.get(part, {}).values())
        return own, self._get_total_ends(part, now_ms)

    def make_report(self, now_ms: float) -> list[typing.Any] | None:
        """Return what this router reports to the hub, None for nothing.

        Times are sent as ages, since clocks differ.

        :param now_ms: current time.
        """
        self._expire(now_ms)
        ends = {
            part: [
                [endpoint, round(now_ms - ms)]
                for endpoint, ms in list(found.items())[-MAX_REPORTED_ENDS:]
            ]
            for part, found in self._list_worst_suspects()
        }
        sound = {
            part: round(now_ms - self._sound_ms[part])
            for part in self._total_ends
            if part in self._sound_ms
        }
        quarantines = {
            part: [
                round(now_ms - item.started_ms),
                item.level,
                None if item.test_ms is None else round(now_ms - item.test_ms),
            ]
            for part, item in self.quarantines.items()
        }
        if not ends and not sound and not quarantines:
            return None
        return [ends, sound, quarantines]

    def apply_totals(
        self,
        totals: typing.Mapping[types.PartId, typing.Any],
        now_ms: float,
    ) -> Changes:
        """Replace the hub's previous totals.

        :param totals: result of `HubCrashReports.merge`.
        :param now_ms: current time.
        """
        self._total_ends = {}
        self._total_sound_ms = {}
        self._totals_ms = now_ms
        cleared = []
        for part, (ends, sound_age_ms, _) in totals.items():
            self._total_ends[part] = ends
            if sound_age_ms is not None:
                sound_ms = now_ms - sound_age_ms
                self._total_sound_ms[part] = sound_ms
                self._drop_ends(part, sound_ms)
                own = self.quarantines.get(part)
                if own is not None and own.started_ms < sound_ms:
                    del self.quarantines[part]
                    cleared.append(part)
        started = self._adopt_quarantines(totals, now_ms)
        return Changes([*started, *self._start_quarantines(now_ms)], cleared)

    def _adopt_quarantines(
        self,
        totals: typing.Mapping[types.PartId, typing.Any],
        now_ms: float,
    ) -> list[types.PartId]:
        started = []
        for part, (_, _, quarantine) in totals.items():
            if quarantine is None:
                continue
            age_ms, level, test_age_ms = quarantine
            if now_ms - age_ms < self._get_sound_ms(part):
                continue
            own = self.quarantines.get(part)
            if own is None or own.level < level:
                own = Quarantine(now_ms - age_ms, level)
                self.quarantines[part] = own
                started.append(part)
            if (
                test_age_ms is not None
                and own.level == level
                and not own.is_under_test(now_ms)
            ):
                # The age includes earlier transfers, so a known test keeps
                # the time at which this router first learned of it.
                own.test_ms = now_ms - test_age_ms
        return started

    def _start_quarantines(self, now_ms: float) -> list[types.PartId]:
        started = []
        for part in {*self._ends_ms, *self._total_ends}:
            if part in self.quarantines:
                continue
            if max(self.count_ends(part, now_ms)) >= MAX_ENDS:
                self.quarantines[part] = Quarantine(now_ms)
                started.append(part)
        return started

    def _list_worst_suspects(
        self,
    ) -> list[tuple[types.PartId, dict[str, float]]]:
        def rank(item: tuple[types.PartId, dict[str, float]]) -> typing.Any:
            ends_ms = item[1].values()
            return count_ends(ends_ms), max(ends_ms)

        return sorted(self._ends_ms.items(), key=rank, reverse=True)[
            :MAX_REPORTED_PARTS
        ]

    def _get_sound_ms(self, part: types.PartId) -> float:
        return max(
            self._sound_ms.get(part, -math.inf),
            self._total_sound_ms.get(part, -math.inf),
        )

    def _get_total_ends(self, part: types.PartId, now_ms: float) -> int:
        if now_ms - self._totals_ms > MAX_AGE_MS:
            return 0
        return self._total_ends.get(part, 0)

    def _drop_ends(self, part: types.PartId, until_ms: float) -> None:
        ends_ms = self._ends_ms.get(part)
        if ends_ms is None:
            return
        for endpoint, end_ms in list(ends_ms.items()):
            if end_ms <= until_ms:
                del ends_ms[endpoint]
        if not ends_ms:
            del self._ends_ms[part]

    def _expire(self, now_ms: float) -> None:
        for part in list(self._ends_ms):
            self._drop_ends(part, now_ms - END_TTL_MS)
        for part, item in list(self.quarantines.items()):
            if now_ms - item.due_ms > EXPIRY_MS:
                del self.quarantines[part]
