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
request at a time may test it. A policy for each kind of signature
(`crash_policy`) says what counts and how often it is tested; `crash_records`
keeps what a router knows.

Evidence of one router is rare, as the requests arrive at all of them.
Routers report suspects to the hub, which returns sums, and routers with
sound answers to these signatures contradict it.
"""

import dataclasses
import hashlib
import math
import typing

from foxtailpick.core.dispatch import crash_policy

# Id of a prompt part, or hash of a whole request.
Signature = typing.NewType('Signature', str)

# An endpoint that a request crashes ends this long after the start of the
# answer at most. The start may also be lost with the connection.
BEGUN_MS = 500.0
# An answer of this length is sound; the endpoint has survived its start.
SOUND_MS = 1_000.0
MAX_QUARANTINE_MS = 600_000.0
# A quarantine ends if no request has its signature for this long after a test
# is due.
EXPIRY_MS = 600_000.0
# The age of the latest request is sent in these steps, rounded up, so that
# it is no news each time.
ASKED_STEP_MS = 10_000.0
# A test without a result ends after this time.
TEST_TIMEOUT_MS = 10_000.0
# Reports and totals older than this are ignored.
MAX_AGE_MS = 3_500.0
_SIGNATURE_BYTES = 6
_PROCESS_BYTES = 4


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

    policy: crash_policy.Policy
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
        """Tell whether no request has had its signature for a long time.

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


def shorten_process(process: str) -> str:
    """Return a short hash of a process, for reports of many suspects.

    :param process: name of the process of an endpoint.
    """
    data = process.encode()
    return hashlib.blake2b(data, digest_size=_PROCESS_BYTES).hexdigest()


def is_suspect(answered_ms: float | None, closed_ms: float) -> bool:
    """Tell whether a request may have crashed the endpoint it was sent to.

    :param answered_ms: when its answer began, None if it did not.
    :param closed_ms: when the endpoint closed the connection.
    """
    return answered_ms is None or closed_ms - answered_ms < BEGUN_MS


def count_ends(
    ends_ms: typing.Iterable[float],
    min_gap_ms: float = crash_policy.MIN_END_GAP_MS,
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
    message: typing.Sequence[typing.Any],
    policy: crash_policy.Policy,
    now_ms: float,
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
