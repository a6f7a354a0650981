"""When a request is turned away, and when its caller may return.

Load pattern: endpoints are cold, gone or full for a moment, and many
callers are turned away at once. They are told different times, so that
they do not come back as one crowd; urgent requests are told shorter ones,
so that they are first to find the places that become free.
"""

import random

from foxtailpick.core.dispatch import placing

# Typical time until an obstacle is gone. Endpoints are listed or removed
# within a heartbeat; a cold one takes the next request of this router
# after a part of a second.
NONE_LISTED_MS = 600.0
COLD_MS = 250.0
TRIED_MS = 300.0
# A full service has ended most of what it runs after the time of an answer.
FULL_MS = 1_000.0
# Part of the target time that a request may wait here for a place. A
# caller is told early enough to be served elsewhere in time.
WAIT_SHARE = 0.125
# Each rank below the most urgent returns this much later.
RANK_FACTOR = 0.5
SPREAD = 0.4
# Callers take up to a third of the time that they have left.
LEFT_SHARE = 0.3

_BASE_MS = {
    placing.Obstacle.NONE_LISTED: NONE_LISTED_MS,
    placing.Obstacle.ALL_COLD: COLD_MS,
    placing.Obstacle.ALL_TRIED: TRIED_MS,
    placing.Obstacle.ALL_FULL: FULL_MS,
}


def find_wait_ms(obstacle: placing.Obstacle, target_ms: float) -> float:
    """Return how long a request may wait here for an obstacle to pass.

    :param obstacle: why no endpoint can be chosen.
    :param target_ms: time within which the answer is wanted.
    """
    if obstacle in (placing.Obstacle.ALL_COLD, placing.Obstacle.ALL_FULL):
        return target_ms * WAIT_SHARE
    return 0.0


def find_retry_after_ms(
    obstacle: placing.Obstacle,
    priority: int,
    left_ms: float,
    rng: random.Random,
) -> float:
    """Return when a caller may come back.

    :param obstacle: why no endpoint can be chosen.
    :param priority: rank, 0 is the most urgent.
    :param left_ms: time that the caller still waits.
    :param rng: source of random numbers.
    """
    base = _BASE_MS[obstacle] * (1 + RANK_FACTOR * priority)
    spread = rng.uniform(1 - SPREAD, 1 + SPREAD)
    return min(base * spread, left_ms * LEFT_SHARE)
