"""Chooses an endpoint where runs are shorter than counts are old.

Load pattern: a plain service with a few servers of six slots, each run taking
80 ms, and counts that are 80 to 300 ms old. Nothing that was in flight when
the counts were made still is. All routers send to the server with the lowest
count until the next counts arrive, so that it rejects requests while others
have free slots. A router knows its own requests at once, and they last longer
at a slow or busy server.
"""

import random
import typing

from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import endpoint_table


def has_stale_counts(mean_run_ms: float) -> bool:
    """Tell whether runs end before other routers know of them.

    :param mean_run_ms: mean run time of a request, 0 if unknown.
    """
    return 0 < mean_run_ms < admission_queue.SHORT_RUN_MS


def choose_by_own_requests(
    endpoints: typing.Sequence[endpoint_table.Endpoint], rng: random.Random
) -> endpoint_table.Endpoint:
    """Return the endpoint with the fewest requests of this router.

    Relative to its slots; at random among equals.

    :param endpoints: the candidates, at least one.
    :param rng: source of random numbers.
    """
    return min(
        endpoints,
        key=lambda item: (item.running / item.entry.slots, rng.random()),
    )
