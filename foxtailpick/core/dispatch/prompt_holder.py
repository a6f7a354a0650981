"""Finds the endpoints that probably have a prompt cached.

Load pattern: prompts that overflow from their home endpoint, or whose home
has just started or leaves, would be processed again elsewhere. They are
fetched from the endpoint that had them before.
"""

import typing

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core import ring

# Endpoints that came into service within this time of each other started
# together, so that none of them was the home of a prompt before the other.
SAME_START_MS = 1_000.0


def find_holder(
    chosen: endpoint_table.Endpoint,
    endpoints: typing.Sequence[endpoint_table.Endpoint],
    leaving: typing.Sequence[endpoint_table.Endpoint],
    prefix: str,
    now_ms: float,
) -> endpoint_table.Endpoint | None:
    """Return another endpoint that probably has the prompt cached.

    This is the home endpoint of the prompt or, if the chosen endpoint is
    the home but has just started, the home before it did.
    An endpoint that fails part of its requests still has its cache. One that
    does not respond is skipped, because the request would wait for its
    reply.

    :param chosen: endpoint of the request.
    :param endpoints: endpoints of the service that accept new work.
    :param leaving: those that accept none, but still hand out prompts.
    :param prefix: id of the prompt part that determines affinity.
    :param now_ms: current time.
    """
    reachable = [
        item
        for item in endpoints
        if item.health.is_partly_failing(now_ms)
        or not item.health.is_suspect(now_ms)
    ]
    responding = [
        item for item in leaving if not item.health.is_suspect(now_ms)
    ]
    # A cold endpoint has few prompts, and must not get more work. Neither
    # must one that limits its requests.
    holders = [
        item
        for item in [*reachable, *responding]
        if item is not chosen
        and not item.is_cold(now_ms)
        and not item.announced.rate_limit.is_limited
    ]
    ranked = rank_homes([chosen, *holders], prefix)
    if ranked[0] is not chosen:
        return ranked[0]
    if not chosen.is_cache_filling(now_ms) or len(ranked) == 1:
        return None
    started_ms = chosen.in_service_ms - SAME_START_MS
    earlier = [item for item in ranked if item.in_service_ms < started_ms]
    return earlier[0] if earlier else ranked[1]


def rank_homes(
    items: typing.Sequence[endpoint_table.Endpoint], prefix: str
) -> list[endpoint_table.Endpoint]:
    """Return endpoints in the order in which they are homes of a prompt.

    :param items: the endpoints.
    :param prefix: id of the prompt part that determines affinity.
    """
    by_id = {item.id: item for item in items}
    capacities = {item.id: float(item.entry.slots) for item in items}
    return [by_id[key] for key in ring.rank_by_rendezvous(prefix, capacities)]
