"""Takes endpoints out of use that fail requests of several routers.

Load pattern: an endpoint fails a part of its requests, or hangs with them,
while its health check is good and most of its answers come. Each of many
routers sends it few requests, so each would lose some of its own before it
knew. Routers tell the hub what they saw of endpoints that failed
somewhere, and get back the sums.

An endpoint may fail the callers of one domain only, and a router may fail
by its own fault. So several routers must have seen failures, good answers
of one's own count more than failures of others, and at most a third of a
service is left out by the word of others.
"""

import dataclasses
import math
import statistics
import typing

from foxtailpick.core import types

# Failures below this are not told: one may happen to any endpoint.
TOLD_FAILURES = 0.5
# Routers that must have seen failures, and how many in all; a single lost
# answer or a router that is cut off does not make an endpoint bad.
MIN_REPORTERS = 2
MIN_FAILURES = 3.0
# Part of the requests that failed.
FAILED_SHARE = 0.2
# Some kinds of request fail everywhere now and then. More than the usual at
# the service by this many standard deviations is no chance.
DEVIATIONS = 4.0
# It is used again once failures, halved each two seconds, are below this.
ENOUGH_FAILURES = 0.7
# Good answers of our own that count more than the failures of others.
OWN_ANSWERS = 3.0
# Messages of the hub in a row that must show unusual failures. The first
# sums lack the good answers of routers that saw no failure, and the silence
# of an engine that reads many prompts is taken back when it answers.
PERSISTENT_TIMES = 4
# Evidence older than this says nothing; several messages are missing then.
MAX_AGE_MS = 1_500.0
# Part of a service that may be left out by the word of others.
MAX_LEFT_OUT = 1 / 3


@dataclasses.dataclass(slots=True)
class Evidence:
    """What routers saw of one endpoint, weighted by age.

    :param failed: requests that it failed or hung with.
    :param answered: requests that it answered.
    :param reporters: routers that saw failures.
    :param heard_ms: when the hub told it.
    :param times: messages of the hub in a row with unusual failures.
    """

    failed: float
    answered: float
    reporters: int
    heard_ms: float = 0.0
    times: int = 0


def is_fresh(evidence: Evidence, now_ms: float) -> bool:
    """Tell whether what was seen still says something.

    :param evidence: what was seen of an endpoint.
    :param now_ms: current time.
    """
    return now_ms - evidence.heard_ms <= MAX_AGE_MS


def add_up(
    reports: typing.Iterable[typing.Mapping[types.EndpointId, typing.Any]],
) -> dict[types.EndpointId, tuple[float, float, int]]:
    """Add up what routers saw, by endpoint.

    :param reports: failed and answered requests, by endpoint and router.
    :returns: failed and answered requests, and routers that saw failures.
    """
    sums: dict[types.EndpointId, tuple[float, float, int]] = {}
    for report in reports:
        for endpoint, (failed, answered) in report.items():
            before = sums.get(endpoint, (0.0, 0.0, 0))
            sums[endpoint] = (
                round(before[0] + failed, 1),
                round(before[1] + answered, 1),
                before[2] + (failed >= TOLD_FAILURES),
            )
    return sums


def find_usual_share(evidence: typing.Iterable[Evidence | None]) -> float:
    """Return the part that usually fails at endpoints of a service.

    The median, so that a few bad endpoints do not count as usual.

    :param evidence: what was seen of each endpoint, None if no failure.
    """
    shares = [
        seen.failed / (seen.failed + seen.answered)
        if seen and seen.failed
        else 0.0
        for seen in evidence
    ]
    return statistics.median(shares) if shares else 0.0


def is_unusual(evidence: Evidence, usual_share: float) -> bool:
    """Tell whether an endpoint fails more than others of its service.

    :param evidence: what all routers saw of it.
    :param usual_share: part that usually fails at endpoints of its service.
    """
    total = evidence.failed + evidence.answered
    usual = usual_share * total
    chance = DEVIATIONS * math.sqrt(usual * (1 - usual_share))
    return (
        evidence.reporters >= MIN_REPORTERS
        and evidence.failed >= MIN_FAILURES
        and evidence.failed >= max(FAILED_SHARE * total, usual + chance)
    )


def is_left_out(
    evidence: Evidence | None,
    was_left_out: bool,
    own_failures: float,
    own_answers: float,
    now_ms: float,
) -> bool:
    """Tell whether an endpoint gets no requests.

    :param evidence: what all routers saw, if anything.
    :param was_left_out: whether it was left out up to now.
    :param own_failures: failures that this router saw.
    :param own_answers: good answers that this router saw.
    :param now_ms: current time.
    """
    if evidence is None or not is_fresh(evidence, now_ms):
        return False
    if own_answers >= OWN_ANSWERS and own_failures < TOLD_FAILURES:
        return False
    if was_left_out:
        return evidence.failed >= ENOUGH_FAILURES
    return evidence.times >= PERSISTENT_TIMES
