"""Quarantines what requests that crash endpoints have in common.

Load pattern: each request whose prompt has a certain part crashes the
endpoint that begins to answer it, or one request does so that comes again
and again (a query of death). Such requests arrive at any router, and sound
requests share their account, path and other parts. Each crash takes all
requests of an endpoint with it, and a retry crashes the next endpoint.

A request has several signatures: the shared parts of its prompt, and a hash
of the whole request. They are suspected when the connection to its endpoint
closes before or shortly after the answer began, until any router gets a
sound answer to a request with the same signature. One that is suspected for
several endpoints is quarantined: requests with it are refused. Later, one
request at a time may test it. A policy for each kind of signature says what
counts and how often it is tested.

Evidence of one router is rare, as the requests arrive at all of them.
Routers report suspects to the hub, which returns sums, and routers with
sound answers to these signatures contradict it.
"""

import collections
import dataclasses
import hashlib
import math
import typing

# Id of a prompt part, or hash of a whole request.
Signature = typing.NewType('Signature', str)

# An endpoint that a request crashes ends this long after the start of the
# answer at most. The start may also be lost with the connection.
BEGUN_MS = 500.0
# An answer of this length is sound; the endpoint has survived its start.
SOUND_MS = 1_000.0
# Ends at nearly the same time have a common cause other than a prompt, such
# as the loss of a failure domain, so they count as one.
MIN_END_GAP_MS = 500.0
END_TTL_MS = 120_000.0
MAX_QUARANTINE_MS = 600_000.0
# A quarantine ends if nobody asks for it for this long after a test is due.
EXPIRY_MS = 600_000.0
# The age of the latest request is sent in these steps, rounded up, so that
# it is no news each time.
ASKED_STEP_MS = 10_000.0
# A test without a result ends after this time.
TEST_TIMEOUT_MS = 10_000.0
# Routers may begin a test one after the other, so that two seldom do.
TEST_STAGGER_MS = 3_000.0
# A limited number of tests must be known to all routers. One that has not
# heard of them for this long, which is less than the stagger, tests nothing.
MAX_TEST_TOTALS_AGE_MS = 2_000.0
# Limits of memory and of messages.
MAX_SUSPECTS = 512
MAX_QUARANTINES = 512
MAX_REPORTED_ENDS = 8
# Reports and totals older than this are ignored.
MAX_AGE_MS = 3_500.0
_SIGNATURE_BYTES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How signatures of one kind are treated.

    :param name: the kind, in log events and metrics.
    :param label: name of a signature in log lines.
    :param min_end_gap_ms: ends closer in time than this count as one.
    :param max_ends: number of ends from which on it is quarantined.
    :param max_repeatable_ends: number of ends up to which a request without
        a sound answer may be repeated.
    :param proven_ms: a signature counts as sound for this long after a sound
        answer, as far as retries are concerned.
    :param first_quarantine_ms: time until the first test.
    :param quarantine_factor: each test makes the time until the next one
        longer by this factor.
    :param max_tests: number of tests in all of the fleet, None for as many
        as fail one after the other.
    :param keeps_sound: whether sound answers are recorded before there is a
        suspicion.
    :param max_sound: number of signatures whose sound answers are recorded.
    :param max_reported: number of suspects in a report.
    :param min_listed_ends: number of ends from which on totals list it.
    :param max_listed: number of signatures in the totals.
    """

    name: str
    label: str
    min_end_gap_ms: float
    max_ends: int
    max_repeatable_ends: int
    proven_ms: float
    first_quarantine_ms: float
    quarantine_factor: float
    max_tests: int | None
    keeps_sound: bool
    max_sound: int
    max_reported: int
    min_listed_ends: int
    max_listed: int


# No two requests with a crashing part are alike, and each endpoint that ends
# makes suspects of all parts of its requests.
PARTS = Policy(
    name='prompt',
    label='part',
    min_end_gap_ms=MIN_END_GAP_MS,
    max_ends=3,
    max_repeatable_ends=0,
    proven_ms=120_000.0,
    first_quarantine_ms=15_000.0,
    quarantine_factor=3.0,
    max_tests=None,
    keeps_sound=True,
    max_sound=4_096,
    max_reported=16,
    min_listed_ends=1,
    max_listed=32,
)
# One request may be at several endpoints at once, all of which it crashes.
# That distinct endpoints end under the same request is seldom by chance.
REQUESTS = Policy(
    name='signature',
    label='signature',
    min_end_gap_ms=0.0,
    max_ends=3,
    max_repeatable_ends=1,
    proven_ms=0.0,
    first_quarantine_ms=6_000.0,
    quarantine_factor=5.0,
    max_tests=2,
    keeps_sound=False,
    max_sound=512,
    max_reported=MAX_SUSPECTS,
    min_listed_ends=2,
    max_listed=64,
)


@dataclasses.dataclass(slots=True)
class Quarantine:
    """The quarantine of a signature.

    :param policy: the policy for its kind.
    :param started_ms: when it started, or started again after a test.
    :param tests: number of tests by router where the policy limits it;
        otherwise the number of those that failed, under an empty name.
    :param test_ms: when the latest test began, if any.
    :param asked_ms: when a request with the signature came last.
    """

    policy: Policy
    started_ms: float
    tests: dict[str, int] = dataclasses.field(default_factory=dict)
    test_ms: float | None = None
    asked_ms: float = -math.inf

    @property
    def level(self) -> int:
        """Number of tests before it."""
        return sum(self.tests.values())

    @property
    def due_ms(self) -> float:
        """Time from which on the signature may be tested; may be infinite."""
        policy = self.policy
        if policy.max_tests is not None and self.level >= policy.max_tests:
            return math.inf
        factor = policy.quarantine_factor**self.level
        return self.started_ms + min(
            policy.first_quarantine_ms * factor, MAX_QUARANTINE_MS
        )

    def is_under_test(self, now_ms: float) -> bool:
        """Tell whether a test has begun and may still have a result.

        :param now_ms: current time.
        """
        return (
            self.test_ms is not None
            and now_ms - self.test_ms < TEST_TIMEOUT_MS
        )

    def is_expired(self, now_ms: float) -> bool:
        """Tell whether nobody has asked for it for a long time.

        :param now_ms: current time.
        """
        last_ms = max(self.started_ms, self.asked_ms)
        if math.isfinite(self.due_ms):
            last_ms = max(last_ms, self.due_ms)
        return now_ms - last_ms > EXPIRY_MS

    def merge(self, other: 'Quarantine') -> bool:
        """Add what another router knows of the same quarantine.

        Times of other routers come by way of ages, which leave out the
        transfer, so own ones are kept where the tests are the same.

        :param other: the quarantine as known there.
        :returns: whether tests were added.
        """
        self.asked_ms = max(self.asked_ms, other.asked_ms)
        tests = dict(self.tests)
        for tester, count in other.tests.items():
            tests[tester] = max(tests.get(tester, 0), count)
        if tests == self.tests:
            return False
        self.tests = tests
        self.started_ms = max(self.started_ms, other.started_ms)
        self.test_ms = None
        return True


class Refusal(typing.NamedTuple):
    """Why a request is refused.

    :param signature: its quarantined signature.
    :param due_ms: time until the signature may be tested or is forgotten.
    """

    signature: Signature
    due_ms: float


class Changes(typing.NamedTuple):
    """Signatures whose quarantine started, and those whose ended."""

    started: list[Signature]
    cleared: list[Signature]


def compute_signature(
    method: bytes, host: str, target: bytes, caller: str, body: bytes
) -> Signature:
    """Return a hash of a whole request, the same in all routers.

    What differs when the request comes again is left out, such as the id of
    the attempt and the deadline.

    :param method: the method.
    :param host: the host, in lower case.
    :param target: path and query.
    :param caller: the client account, or what else tells callers apart.
    :param body: the body.
    """
    digest = hashlib.blake2b(digest_size=_SIGNATURE_BYTES)
    for item in (method, host.encode(), target, caller.encode(), body):
        digest.update(len(item).to_bytes(8, 'big'))
        digest.update(item)
    return Signature(digest.hexdigest())


def is_suspect(answered_ms: float | None, closed_ms: float) -> bool:
    """Tell whether a request may have crashed the endpoint it was sent to.

    :param answered_ms: when its answer began, None if it did not.
    :param closed_ms: when the endpoint closed the connection.
    """
    return answered_ms is None or closed_ms - answered_ms < BEGUN_MS


def count_ends(
    ends_ms: typing.Iterable[float], min_gap_ms: float = MIN_END_GAP_MS
) -> int:
    """Count the ends of endpoints; those at nearly one time count as one.

    :param ends_ms: when distinct endpoints ended.
    :param min_gap_ms: ends closer in time than this count as one.
    """
    count = 0
    first_ms = -math.inf
    for end_ms in sorted(ends_ms):
        if end_ms - first_ms >= min_gap_ms:
            count += 1
            first_ms = end_ms
    return count


class CrashRecords:
    """What a router knows of signatures and the endpoints that ended.

    :param policy: the policy for the kind of the signatures.
    """

    def __init__(self, policy: Policy = PARTS) -> None:
        self.policy = policy
        # When endpoints ended under a signature, by process.
        self._ends_ms: collections.OrderedDict[Signature, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._sound_ms: collections.OrderedDict[Signature, float] = (
            collections.OrderedDict()
        )
        # The hub's latest word, and when it arrived.
        self._total_ends: dict[Signature, int] = {}
        self._total_sound_ms: dict[Signature, float] = {}
        self._total_quarantines: set[Signature] = set()
        self._totals_ms = -math.inf
        self.quarantines: dict[Signature, Quarantine] = {}

    @property
    def is_watching(self) -> bool:
        """Whether any signature is suspected or quarantined."""
        return bool(self._ends_ms or self._total_ends or self.quarantines)

    def record_end(
        self,
        signatures: typing.Iterable[Signature],
        endpoint: str,
        closed_ms: float,
        now_ms: float,
    ) -> list[Signature]:
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
        while len(self._ends_ms) > MAX_SUSPECTS:
            # The oldest of those with the fewest ends.
            del self._ends_ms[
                min(self._ends_ms, key=lambda key: len(self._ends_ms[key]))
            ]
        return self._start_quarantines(now_ms)

    def record_sound(
        self, signatures: typing.Iterable[Signature], now_ms: float
    ) -> list[Signature]:
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
        signatures: typing.Iterable[Signature],
        get_rank: typing.Callable[[Signature], int],
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
            wait_ms = min(max(0.0, due_ms - now_ms), EXPIRY_MS)
            return Refusal(signature, wait_ms)
        return None

    def begin_tests(
        self,
        signatures: typing.Iterable[Signature],
        now_ms: float,
        tester: str = '',
    ) -> list[Signature]:
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
        self, signatures: typing.Iterable[Signature], now_ms: float
    ) -> list[Signature]:
        """Quarantine signatures for longer, as a test crashed an endpoint.

        :param signatures: those that were tested.
        :param now_ms: current time.
        :returns: signatures whose quarantine starts again.
        """
        failed = [item for item in signatures if item in self.quarantines]
        if self.policy.max_tests is None:
            for signature in failed:
                before = self.quarantines[signature]
                self.quarantines[signature] = Quarantine(
                    self.policy,
                    now_ms,
                    {'': before.level + 1},
                    asked_ms=before.asked_ms,
                )
        return failed

    def may_crash(
        self,
        signatures: typing.Iterable[Signature],
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
        self, signature: Signature, now_ms: float
    ) -> tuple[int, int]:
        """Return the number of ends at this router and at all routers.

        :param signature: the signature.
        :param now_ms: current time.
        """
        own = count_ends(
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
            signature: encode_quarantine(item, now_ms)
            for signature, item in self.quarantines.items()
        }
        if not ends and not sound and not quarantines:
            return None
        return [ends, sound, quarantines]

    def apply_totals(
        self,
        totals: typing.Mapping[Signature, typing.Any],
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
        totals: typing.Mapping[Signature, typing.Any],
        now_ms: float,
    ) -> list[Signature]:
        started = []
        for signature, (_, _, message) in totals.items():
            if message is None:
                continue
            found = decode_quarantine(message, self.policy, now_ms)
            if found.started_ms < self._get_sound_ms(signature):
                continue
            # The router that knows of the latest request drops it last.
            if found.is_expired(now_ms + 2 * ASKED_STEP_MS):
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

    def _start_quarantines(self, now_ms: float) -> list[Signature]:
        started = []
        for signature in {*self._ends_ms, *self._total_ends}:
            if signature in self.quarantines:
                continue
            ends = max(self.count_ends(signature, now_ms))
            if ends >= self.policy.max_ends:
                self.quarantines[signature] = Quarantine(
                    self.policy, now_ms, asked_ms=now_ms
                )
                started.append(signature)
        return started

    def _list_worst_suspects(
        self,
    ) -> list[tuple[Signature, dict[str, float]]]:
        def rank(item: tuple[Signature, dict[str, float]]) -> typing.Any:
            ends_ms = item[1].values()
            count = count_ends(ends_ms, self.policy.min_end_gap_ms)
            return count, max(ends_ms)

        worst = sorted(self._ends_ms.items(), key=rank, reverse=True)
        return worst[: self.policy.max_reported]

    def _is_watched(self, signature: Signature) -> bool:
        return (
            signature in self._ends_ms
            or signature in self._total_ends
            or signature in self.quarantines
        )

    def _knows_tests(self, signature: Signature, now_ms: float) -> bool:
        """Tell whether this router knows what others have tested."""
        return self.policy.max_tests is None or (
            signature in self._total_quarantines
            and now_ms - self._totals_ms <= MAX_TEST_TOTALS_AGE_MS
        )

    def _get_sound_ms(self, signature: Signature) -> float:
        return max(
            self._sound_ms.get(signature, -math.inf),
            self._total_sound_ms.get(signature, -math.inf),
        )

    def _get_total_ends(self, signature: Signature, now_ms: float) -> int:
        if now_ms - self._totals_ms > MAX_AGE_MS:
            return 0
        return self._total_ends.get(signature, 0)

    def _drop_ends(self, signature: Signature, until_ms: float) -> None:
        ends_ms = self._ends_ms.get(signature)
        if ends_ms is None:
            return
        for endpoint, end_ms in list(ends_ms.items()):
            if end_ms <= until_ms:
                del ends_ms[endpoint]
        if not ends_ms:
            del self._ends_ms[signature]


def encode_quarantine(item: Quarantine, now_ms: float) -> list[typing.Any]:
    """Return a quarantine as it is sent, with ages instead of times.

    :param item: the quarantine.
    :param now_ms: current time.
    """
    age_ms = round(now_ms - item.started_ms)
    test_age_ms = None
    if item.test_ms is not None:
        test_age_ms = round(now_ms - item.test_ms)
    if item.policy.max_tests is None:
        return [age_ms, item.level, test_age_ms]
    asked_ms = max(item.asked_ms, item.started_ms)
    steps = (now_ms - asked_ms) // ASKED_STEP_MS + 1
    asked_age_ms = round(steps * ASKED_STEP_MS)
    return [age_ms, dict(item.tests), test_age_ms, asked_age_ms]


def decode_quarantine(
    message: typing.Sequence[typing.Any], policy: Policy, now_ms: float
) -> Quarantine:
    """Return a quarantine as it was received.

    :param message: result of `encode_quarantine`, of a checked form.
    :param policy: the policy for the kind of its signature.
    :param now_ms: time at which it was received.
    """
    age_ms, tests, test_age_ms, *asked_age_ms = message
    if policy.max_tests is None:
        tests = {'': tests} if tests else {}
    return Quarantine(
        policy,
        now_ms - age_ms,
        dict(tests),
        None if test_age_ms is None else now_ms - test_age_ms,
        now_ms - asked_age_ms[0] if asked_age_ms else -math.inf,
    )
