"""Outlier detection: ejects endpoints that fail requests of several routers.

Load pattern: an endpoint fails part of its requests, or hangs on them,
while it passes its health check and answers most requests. With many
routers, each sends it few requests and would lose some before detecting the
fault alone. Routers therefore report the outcomes at endpoints with
failures to the hub and receive the totals.

An endpoint may fail only the callers of one failure domain, and failures
may be caused by a router itself. Therefore several routers must see
failures, a router's own good answers outweigh failures seen by others, and
at most a third of a service is ejected on reports of other routers.
"""

import dataclasses
import math
import statistics
import typing

from foxtailpick.core import types

# Failures below this are not reported: any endpoint may fail once.
MIN_REPORTED_FAILURES = 0.5
# Minimum number of routers that saw failures, and of failures in total, so
# that a single lost answer or an isolated router ejects no endpoint.
MIN_REPORTERS = 2
MIN_FAILURES = 3.0
# Minimum failure rate of an ejected endpoint.
MIN_FAILURE_RATE = 0.2
# Some kinds of request occasionally fail at every endpoint. An outlier
# exceeds the median failure rate of its service by this many standard
# deviations.
DEVIATIONS = 4.0
# An ejection ends once the failures, halved every two seconds, are below
# this.
EJECTION_END_FAILURES = 0.7
# Good answers to this router that outweigh the failures seen by others.
MIN_OWN_ANSWERS = 3.0
# Consecutive hub messages that must show an outlier. The first totals lack
# the good answers of routers without failures, and the silence of an engine
# that processes many prompts counts as a failure until it answers.
MIN_OUTLIER_STREAK = 4
# Outcomes older than this are stale: several hub messages are missing.
MAX_AGE_MS = 1_500.0
# Largest share of a service that may be ejected.
MAX_EJECTED_SHARE = 1 / 3


@dataclasses.dataclass(slots=True)
class SharedOutcomes:
    """Request outcomes at one endpoint, summed over routers, decayed by age.

    :param failed: requests that it failed or did not answer in time.
    :param answered: requests that it answered.
    :param reporters: number of routers that saw failures.
    :param received_ms: when the hub's message was received.
    :param outlier_streak: consecutive hub messages that show an outlier.
    """

    failed: float
    answered: float
    reporters: int
    received_ms: float = 0.0
    outlier_streak: int = 0


def is_recent(outcomes: SharedOutcomes, now_ms: float) -> bool:
    """Tell whether outcomes are recent enough to act on.

    :param outcomes: outcomes at an endpoint.
    :param now_ms: current time.
    """
    return now_ms - outcomes.received_ms <= MAX_AGE_MS


def sum_reports(
    reports: typing.Iterable[typing.Mapping[types.EndpointId, typing.Any]],
) -> dict[types.EndpointId, tuple[float, float, int]]:
    """Sum the outcomes of all routers, by endpoint.

    :param reports: failed and answered requests by endpoint, one mapping
        per router.
    :returns: failed requests, answered requests and number of routers that
        saw failures.
    """
    sums: dict[types.EndpointId, tuple[float, float, int]] = {}
    for report in reports:
        for endpoint, (failed, answered) in report.items():
            before = sums.get(endpoint, (0.0, 0.0, 0))
            sums[endpoint] = (
                round(before[0] + failed, 1),
                round(before[1] + answered, 1),
                before[2] + (failed >= MIN_REPORTED_FAILURES),
            )
    return sums


def compute_median_failure_rate(
    outcomes: typing.Iterable[SharedOutcomes | None],
) -> float:
    """Return the median failure rate of the endpoints of a service.

    Unlike the mean, the median is not shifted by a few bad endpoints.

    :param outcomes: outcomes of each endpoint, None without failures.
    """
    rates = [
        item.failed / (item.failed + item.answered)
        if item and item.failed
        else 0.0
        for item in outcomes
    ]
    return statistics.median(rates) if rates else 0.0


def is_outlier(outcomes: SharedOutcomes, median_failure_rate: float) -> bool:
    """Tell whether an endpoint fails more than others of its service.

    :param outcomes: its outcomes at all routers.
    :param median_failure_rate: median failure rate of the service's endpoints.
    """
    total = outcomes.failed + outcomes.answered
    expected = median_failure_rate * total
    margin = DEVIATIONS * math.sqrt(expected * (1 - median_failure_rate))
    return (
        outcomes.reporters >= MIN_REPORTERS
        and outcomes.failed >= MIN_FAILURES
        and outcomes.failed >= max(MIN_FAILURE_RATE * total, expected + margin)
    )


def is_ejected(
    outcomes: SharedOutcomes | None,
    was_ejected: bool,
    own_failures: float,
    own_answers: float,
    now_ms: float,
) -> bool:
    """Tell whether an endpoint is ejected.

    :param outcomes: its outcomes at all routers, None without failures.
    :param was_ejected: whether it is ejected already.
    :param own_failures: failures seen by this router, decayed by age.
    :param own_answers: good answers to this router, decayed by age.
    :param now_ms: current time.
    """
    if outcomes is None or not is_recent(outcomes, now_ms):
        return False
    if own_answers >= MIN_OWN_ANSWERS and own_failures < MIN_REPORTED_FAILURES:
        return False
    if was_ejected:
        return outcomes.failed >= EJECTION_END_FAILURES
    return outcomes.outlier_streak >= MIN_OUTLIER_STREAK
