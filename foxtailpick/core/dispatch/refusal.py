"""Decides when a request is refused and when its caller may retry.

Load pattern: endpoints are briefly cold, gone or full, and many callers are
refused at once. The retry times have jitter, so that the callers do not
return at the same moment. Urgent requests get shorter times, so that they
reach freed slots first. Where endpoints limit the rate of their requests, the
callers that were refused return one after the other at that rate.
"""

import dataclasses
import random

from foxtailpick.core.dispatch import placing
from foxtailpick.core import types

# Typical time until an obstacle has passed. Endpoints are listed or removed
# within a heartbeat; a cold one accepts the next request of this router
# after a fraction of a second.
NONE_LISTED_MS = 600.0
COLD_MS = 250.0
TRIED_MS = 300.0
# A full service completes most running requests within the duration of an
# answer.
FULL_MS = 1_000.0
# After a rest of all endpoints of a service its callers return within this
# time, the most urgent ones first.
RESTED_SPREAD_MS = 500.0
# Share of the target latency that a request may wait for a slot, so that a
# refused caller can still be served elsewhere in time.
WAIT_SHARE = 0.125
# Added retry time per priority level below the most urgent, as a factor.
PRIORITY_FACTOR = 0.5
# Jitter of retry times, as a factor.
JITTER = 0.4
# A router that has just started reads its configuration within this time; a
# large one takes a second over a slow link.
CONFIG_LOAD_MS = 2_000.0
# Longest wait of a request for it, also as a share of the caller's time.
MAX_CONFIG_WAIT_MS = 1_200.0
MAX_CONFIG_WAIT_SHARE = 0.4
# Callers accept a retry time of up to a third of the time they have left.
MAX_RETRY_SHARE = 0.3

_BASE_MS = {
    placing.Obstacle.NONE_LISTED: NONE_LISTED_MS,
    placing.Obstacle.ALL_COLD: COLD_MS,
    placing.Obstacle.ALL_TRIED: TRIED_MS,
    placing.Obstacle.ALL_FULL: FULL_MS,
    placing.Obstacle.ALL_RESTING: RESTED_SPREAD_MS,
    placing.Obstacle.ALL_LIMITED: TRIED_MS,
    placing.Obstacle.NO_MEMORY: FULL_MS,
}


@dataclasses.dataclass(slots=True)
class ReturnSchedule:
    """When the callers return that were refused because of rate limits.

    :param next_ms: when the next one may return.
    """

    next_ms: float = 0.0


def schedule_return(
    schedule: ReturnSchedule,
    rate_per_s: float,
    left_ms: float,
    now_ms: float,
) -> float:
    """Return the time until a refused request may be served, in ms.

    A caller that does not wait for so long takes no place of others.

    :param schedule: the schedule of its service at this router.
    :param rate_per_s: requests per second that limited endpoints take from
        this router, above 0.
    :param left_ms: time left until the deadline of the request.
    :param now_ms: current time.
    """
    interval_ms = types.SECOND_MS / rate_per_s
    return_ms = max(schedule.next_ms, now_ms) + interval_ms
    wait_ms = return_ms - now_ms
    if wait_ms <= MAX_RETRY_SHARE * left_ms:
        schedule.next_ms = return_ms
    return wait_ms


def compute_max_wait_ms(
    obstacle: placing.Obstacle, target_ms: float, rest_ms: float = 0.0
) -> float:
    """Return how long a request may wait for an obstacle to pass.

    :param obstacle: why no endpoint can be chosen.
    :param target_ms: target latency of the route.
    :param rest_ms: time until the first endpoint's rest is over.
    """
    longest_ms = target_ms * WAIT_SHARE
    if obstacle is placing.Obstacle.ALL_RESTING and rest_ms > longest_ms:
        return 0.0
    if obstacle in (
        placing.Obstacle.ALL_COLD,
        placing.Obstacle.ALL_FULL,
        placing.Obstacle.ALL_RESTING,
    ):
        return longest_ms
    return 0.0


def compute_config_wait_ms(age_ms: float, left_ms: float | None) -> float:
    """Return how long a request may wait for the first configuration.

    Load pattern: all routers restart at once, and callers reach them before
    any knows its configuration. Most callers repeat a refused request only
    once, possibly at another router that has just started. A router that
    has none for longer expects none, and refuses at once.

    :param age_ms: time since the start of the router.
    :param left_ms: time that the caller waits for an answer, if stated.
    """
    wait_ms = min(CONFIG_LOAD_MS - age_ms, MAX_CONFIG_WAIT_MS)
    if left_ms is not None:
        wait_ms = min(wait_ms, MAX_CONFIG_WAIT_SHARE * left_ms)
    return max(0.0, wait_ms)


def compute_retry_after_ms(
    obstacle: placing.Obstacle,
    priority: int,
    left_ms: float,
    rng: random.Random,
    expected_ms: float = 0.0,
) -> float:
    """Return the time after which a caller may retry.

    :param obstacle: why no endpoint can be chosen.
    :param priority: priority of the request, 0 is the most urgent.
    :param left_ms: time left until the deadline of the request.
    :param rng: source of random numbers.
    :param expected_ms: expected time until the obstacle has passed, if it
        is longer than usual.
    """
    usual = _BASE_MS[obstacle] * (1 + PRIORITY_FACTOR * priority)
    base = max(usual, expected_ms)
    retry_ms = base * rng.uniform(1 - JITTER, 1 + JITTER)
    if obstacle is placing.Obstacle.ALL_LIMITED:
        # The true time, also for callers that will not wait for so long.
        return max(usual, expected_ms) * rng.uniform(1, 1 + JITTER)
    if obstacle is placing.Obstacle.ALL_RESTING:
        # Callers that return earlier would only be refused again.
        retry_ms = expected_ms + usual * rng.random()
    if left_ms <= 0:
        return retry_ms
    return min(retry_ms, left_ms * MAX_RETRY_SHARE)
