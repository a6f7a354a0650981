"""Interprets loads of endpoints that were known some time ago.

Load pattern: part of a service is unavailable, so that the other endpoints
hold almost as much as the limit allows, and many routers place requests by
the same counts. If each of them chose the least loaded endpoint, it would
get the requests of all until the next counts arrive. A router therefore
estimates how many requests the others have sent since the counts were made.
It shares out its own requests so that all routers together bring each
endpoint to the mean in that time. Where counts are fresh, endpoints below the
mean get most of the requests; where they are old, all get nearly the same.
"""

import typing

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core import types

# Age of the counts in a message of the hub when it arrives: half an interval
# of the reports, and the way to the hub and back.
REPORT_AGE_MS = 80.0
# Age that is assumed of loads that are older or unknown.
MAX_AGE_MS = 1_500.0


def estimate_unseen(
    endpoints: typing.Sequence[endpoint_table.Endpoint],
    rate_per_s: float,
    routers: int,
    now_ms: float,
) -> float:
    """Return how many requests of other routers an endpoint has got unseen.

    The others place requests at a rate that is to this router's as their
    requests in flight are to its own: callers are spread unevenly.

    :param endpoints: the candidates, at least one.
    :param rate_per_s: placements of this router at the service, per second.
    :param routers: number of routers, including this one, for a router that
        has no requests in flight.
    :param now_ms: current time.
    """
    ages_ms = [
        MAX_AGE_MS
        if item.load_updated_ms is None
        else min(MAX_AGE_MS, now_ms - item.load_updated_ms + REPORT_AGE_MS)
        for item in endpoints
    ]
    age_s = sum(ages_ms) / len(ages_ms) / types.SECOND_MS
    own = sum(item.running for item in endpoints)
    others = sum(item.remote_load for item in endpoints)
    ratio = others / own if own else routers - 1
    return rate_per_s * ratio * age_s / len(endpoints)


def compute_weights(
    endpoints: typing.Sequence[endpoint_table.Endpoint],
    mean: float,
    unseen: float,
) -> list[float]:
    """Return the shares of the next requests that endpoints should get.

    :param endpoints: the candidates.
    :param mean: their mean load.
    :param unseen: expected requests of other routers that an endpoint has
        got since its load was known.
    """
    level = mean + unseen + 1
    return [max(0.0, level - item.load) for item in endpoints]
