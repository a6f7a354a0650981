"""What a router knows of requests that crash endpoints."""

import collections
import math
import typing

from foxtailpick.core.dispatch import crash_policy
from foxtailpick.core.dispatch import crash_quarantine

END_TTL_MS = 120_000.0
# Routers may begin a test one after the other, so that two seldom do.
TEST_STAGGER_MS = 3_000.0
# A limited number of tests must be known to all routers. One that has not
# heard of them for this long, which is less than the stagger, tests nothing.
MAX_TEST_TOTALS_AGE_MS = 2_000.0
# Limits of memory and of messages.
MAX_QUARANTINES = 512
MAX_REPORTED_ENDS = 8


class Refusal(typing.NamedTuple):
    """Why a request is refused.

    :param signature: its quarantined signature.
    :param due_ms: time until the signature may be tested or is forgotten.
    """

    signature: crash_quarantine.Signature
    due_ms: float


class Changes(typing.NamedTuple):
    """Signatures whose quarantine started, and those whose ended."""

    started: list[crash_quarantine.Signature]
    cleared: list[crash_quarantine.Signature]


class CrashRecords:
    """What a router knows of signatures and the endpoints that ended.

    :param policy: the policy for the kind of the signatures.
    """

    def __init__(
        self, policy: crash_policy.Policy = crash_policy.PARTS
    ) -> None:
        self.policy = policy
        # When endpoints ended under a signature, by process.
        self._ends_ms: collections.OrderedDict[
            crash_quarantine.Signature, dict[str, float]
        ] = collections.OrderedDict()
        self._sound_ms: collections.OrderedDict[
            crash_quarantine.Signature, float
        ] = collections.OrderedDict()
        # The hub's latest word, and when it arrived.
        self._total_ends: dict[crash_quarantine.Signature, int] = {}
        self._total_sound_ms: dict[crash_quarantine.Signature, float] = {}
        self._total_quarantines: set[crash_quarantine.Signature] = set()
        self._totals_ms = -math.inf
        self.quarantines: dict[
            crash_quarantine.Signature, crash_quarantine.Quarantine
        ] = {}

    @property
    def is_watching(self) -> bool:
        """Whether any signature is suspected or quarantined."""
        return bool(self._ends_ms or self._total_ends or self.quarantines)

    def record_end(
        self,
        signatures: typing.Iterable[crash_quarantine.Signature],
        endpoint: str,
        closed_ms: float,
        now_ms: float,
    ) -> list[crash_quarantine.Signature]:
        """Record that an endpoint ended under a request that is suspect.

        :param signatures: signatures of the request.
        :param endpoint: the process of the endpoint.
        :param closed_ms: when it closed the connection.
        :param now_ms: current time.
        :returns: signatures whose quarantine starts.
        """
        for signature in signatures:
            if closed_ms <= self._get_sound_ms(signature):
                continue
            ends_ms = self._ends_ms.setdefault(signature, {})
            ends_ms.setdefault(endpoint, closed_ms)
            self._ends_ms.move_to_end(signature)
        while len(self._ends_ms) > crash_policy.MAX_SUSPECTS:
            # The oldest of those with the fewest ends.
            del self._ends_ms[
                min(self._ends_ms, key=lambda key: len(self._ends_ms[key]))
            ]
        return self._start_quarantines(now_ms)

    def record_sound(
        self,
        signatures: typing.Iterable[crash_quarantine.Signature],
        now_ms: float,
    ) -> list[crash_quarantine.Signature]:
        """Record a sound answer, which ends each suspicion.

        :param signatures: signatures of the request.
        :param now_ms: current time.
        :returns: signatures whose quarantine ends.
        """
        cleared = []
        for signature in signatures:
            if not self.policy.keeps_sound and not self._is_watched(signature):
                continue
            self._sound_ms[signature] = now_ms
            self._sound_ms.move_to_end(signature)
            self._ends_ms.pop(signature, None)
            if self.quarantines.pop(signature, None):
                cleared.append(signature)
        while len(self._sound_ms) > self.policy.max_sound:
            self._sound_ms.popitem(last=False)
        return cleared

    def find_refusal(
        self,
        signatures: typing.Iterable[crash_quarantine.Signature],
        get_rank: typing.Callable[[crash_quarantine.Signature], int],
        now_ms: float,
        is_alone: bool = False,
    ) -> Refusal | None:
        """Return why a request must not be sent, None if it may be.

        :param signatures: its signatures.
        :param get_rank: returns the rank of this router among those that
            may test a signature, 0 for the first.
        :param now_ms: current time.
        :param is_alone: whether there is no other router.
        """
        if not self.quarantines:
            return None
        for signature in signatures:
            quarantine = self.quarantines.get(signature)
            if quarantine is None:
                continue
            quarantine.asked_ms = now_ms
            due_ms = quarantine.due_ms + get_rank(signature) * TEST_STAGGER_MS
            if (
                now_ms >= due_ms
                and not quarantine.is_under_test(now_ms)
                and (is_alone or self._knows_tests(signature, now_ms))
            ):
                continue
            # Before a test is due, others may begin it first.
            if now_ms < quarantine.due_ms:
                due_ms = quarantine.due_ms
            wait_ms = min(
                max(0.0, due_ms - now_ms), crash_quarantine.EXPIRY_MS
            )
            return Refusal(signature, wait_ms)
        return None

    def begin_tests(
        self,
        signatures: typing.Iterable[crash_quarantine.Signature],
        now_ms: float,
        tester: str = '',
    ) -> list[crash_quarantine.Signature]:
        """Record that a request is sent, and tests what is quarantined.

        :param signatures: its signatures.
        :param now_ms: current time.
        :param tester: this router.
        :returns: the signatures that it tests.
        """
        tested = [item for item in signatures if item in self.quarantines]
        for signature in tested:
            quarantine = self.quarantines[signature]
            quarantine.test_ms = quarantine.asked_ms = now_ms
            if self.policy.max_tests is not None:
                # Counts whatever becomes of it, since it has been sent.
                count = quarantine.tests.get(tester, 0) + 1
                quarantine.tests[tester] = count
                quarantine.started_ms = now_ms
        return tested

    def fail_tests(
        self,
        signatures: typing.Iterable[crash_quarantine.Signature],
        now_ms: float,
    ) -> list[crash_quarantine.Signature]:
        """Quarantine signatures for longer, as a test crashed an endpoint.

        :param signatures: those that were tested.
        :param now_ms: current time.
        :returns: signatures whose quarantine starts again.
        """
        failed = [item for item in signatures if item in self.quarantines]
        if self.policy.max_tests is None:
            for signature in failed:
                before = self.quarantines[signature]
                self.quarantines[signature] = crash_quarantine.Quarantine(
                    self.policy,
                    now_ms,
                    {'': before.level + 1},
                    asked_ms=before.asked_ms,
                )
        return failed

    def may_crash(
        self,
        signatures: typing.Iterable[crash_quarantine.Signature],
        now_ms: float,
    ) -> bool:
        """Tell whether a repeated request may crash another endpoint.

        A signature without a recent sound answer may, if endpoints have
        ended under it, be it this request or another one.

        :param signatures: signatures of the request.
        :param now_ms: current time.
        """
        for signature in signatures:
            if signature in self.quarantines:
                return True
            sound_ms = self._get_sound_ms(signature)
            if now_ms - sound_ms < self.policy.proven_ms:
                continue
            ends = max(self.count_ends(signature, now_ms))
            if ends > self.policy.max_repeatable_ends:
                return True
        return False

    def count_ends(
        self, signature: crash_quarantine.Signature, now_ms: float
    ) -> tuple[int, int]:
        """Return the number of ends at this router and at all routers.

        :param signature: the signature.
        :param now_ms: current time.
        """
        own = crash_quarantine.count_ends(
            self._ends_ms.get(signature, {}).values(),
            self.policy.min_end_gap_ms,
        )
        return own, self._get_total_ends(signature, now_ms)

    def make_report(self, now_ms: float) -> list[typing.Any] | None:
        """Return what this router reports to the hub, None for nothing.

        Times are sent as ages, since clocks differ.

        :param now_ms: current time.
        """
        self.expire(now_ms)
        ends = {
            signature: [
                [endpoint, round(now_ms - ms)]
                for endpoint, ms in list(found.items())[-MAX_REPORTED_ENDS:]
            ]
            for signature, found in self._list_worst_suspects()
        }
        sound = {
            signature: round(now_ms - self._sound_ms[signature])
            for signature in self._total_ends
            if signature in self._sound_ms
        }
        quarantines = {
            signature: crash_quarantine.encode_quarantine(item, now_ms)
            for signature, item in self.quarantines.items()
        }
        if not ends and not sound and not quarantines:
            return None
        return [ends, sound, quarantines]

    def apply_totals(
        self,
        totals: typing.Mapping[crash_quarantine.Signature, typing.Any],
        now_ms: float,
        is_continued: bool = False,
    ) -> Changes:
        """Replace the hub's previous totals.

        :param totals: result of `HubCrashReports.merge`.
        :param now_ms: current time.
        :param is_continued: whether they are a further piece of the previous
            ones, which stay.
        """
        if not is_continued:
            self._total_ends = {}
            self._total_sound_ms = {}
            self._total_quarantines = set()
        self._totals_ms = now_ms
        cleared = []
        for signature, (ends, sound_age_ms, quarantine) in totals.items():
            self._total_ends[signature] = ends
            if quarantine is not None:
                self._total_quarantines.add(signature)
            if sound_age_ms is not None:
                sound_ms = now_ms - sound_age_ms
                self._total_sound_ms[signature] = sound_ms
                self._drop_ends(signature, sound_ms)
                own = self.quarantines.get(signature)
                if own is not None and own.started_ms < sound_ms:
                    del self.quarantines[signature]
                    cleared.append(signature)
        started = self._adopt_quarantines(totals, now_ms)
        return Changes([*started, *self._start_quarantines(now_ms)], cleared)

    def expire(self, now_ms: float) -> None:
        """Drop what is too old to be used again.

        :param now_ms: current time.
        """
        for signature in list(self._ends_ms):
            self._drop_ends(signature, now_ms - END_TTL_MS)
        for signature, item in list(self.quarantines.items()):
            if item.is_expired(now_ms):
                del self.quarantines[signature]
        while len(self.quarantines) > MAX_QUARANTINES:
            unasked = min(
                self.quarantines,
                key=lambda key: self.quarantines[key].asked_ms,
            )
            del self.quarantines[unasked]

    def _adopt_quarantines(
        self,
        totals: typing.Mapping[crash_quarantine.Signature, typing.Any],
        now_ms: float,
    ) -> list[crash_quarantine.Signature]:
        started = []
        for signature, (_, _, message) in totals.items():
            if message is None:
                continue
            found = crash_quarantine.decode_quarantine(
                message, self.policy, now_ms
            )
            if found.started_ms < self._get_sound_ms(signature):
                continue
            # The router that knows of the latest request drops it last.
            if found.is_expired(now_ms + 2 * crash_quarantine.ASKED_STEP_MS):
                continue
            own = self.quarantines.get(signature)
            if own is None:
                own = self.quarantines[signature] = found
                started.append(signature)
            elif own.merge(found):
                started.append(signature)
            if (
                found.test_ms is not None
                and own.level == found.level
                and not own.is_under_test(now_ms)
            ):
                # The age includes earlier transfers, so a known test keeps
                # the time at which this router first learned of it.
                own.test_ms = found.test_ms
        return started

    def _start_quarantines(
        self, now_ms: float
    ) -> list[crash_quarantine.Signature]:
        started = []
        # In the order of their records, not that of hashes.
        for signature in dict.fromkeys([*self._ends_ms, *self._total_ends]):
            if signature in self.quarantines:
                continue
            ends = max(self.count_ends(signature, now_ms))
            if ends >= self.policy.max_ends:
                self.quarantines[signature] = crash_quarantine.Quarantine(
                    self.policy, now_ms, asked_ms=now_ms
                )
                started.append(signature)
        return started

    def _list_worst_suspects(
        self,
    ) -> list[tuple[crash_quarantine.Signature, dict[str, float]]]:
        def rank(
            item: tuple[crash_quarantine.Signature, dict[str, float]],
        ) -> typing.Any:
            ends_ms = item[1].values()
            count = crash_quarantine.count_ends(
                ends_ms, self.policy.min_end_gap_ms
            )
            return count, max(ends_ms)

        suspects = list(self._ends_ms.items())
        if len(suspects) <= self.policy.max_reported:
            return suspects
        suspects.sort(key=rank, reverse=True)
        return suspects[: self.policy.max_reported]

    def _is_watched(self, signature: crash_quarantine.Signature) -> bool:
        return (
            signature in self._ends_ms
            or signature in self._total_ends
            or signature in self.quarantines
        )

    def _knows_tests(
        self, signature: crash_quarantine.Signature, now_ms: float
    ) -> bool:
        """Tell whether this router knows what others have tested."""
        return self.policy.max_tests is None or (
            signature in self._total_quarantines
            and now_ms - self._totals_ms <= MAX_TEST_TOTALS_AGE_MS
        )

    def _get_sound_ms(self, signature: crash_quarantine.Signature) -> float:
        return max(
            self._sound_ms.get(signature, -math.inf),
            self._total_sound_ms.get(signature, -math.inf),
        )

    def _get_total_ends(
        self, signature: crash_quarantine.Signature, now_ms: float
    ) -> int:
        if now_ms - self._totals_ms > crash_quarantine.MAX_AGE_MS:
            return 0
        return self._total_ends.get(signature, 0)

    def _drop_ends(
        self, signature: crash_quarantine.Signature, until_ms: float
    ) -> None:
        ends_ms = self._ends_ms.get(signature)
        if ends_ms is None:
            return
        for endpoint, end_ms in list(ends_ms.items()):
            if end_ms <= until_ms:
                del ends_ms[endpoint]
        if not ends_ms:
            del self._ends_ms[signature]
