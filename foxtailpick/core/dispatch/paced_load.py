"""Compares loads of endpoints that take different times for the same work.

Load pattern: an endpoint that takes five times as long holds as many requests
as the others, and all of them are late. It gets a smaller share while it is
slow. What is over before it is known, as a machine that is busy for half a
second, is no reason to send requests elsewhere: they follow the lasting pace.
Shares are uneven only downwards: a fast endpoint gets no more requests
than its bound, which counts requests. The order of a prompt's endpoints stays,
so that prompts return once their home is as fast as the others again.
"""

import random
import statistics
import typing

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import request_work
from foxtailpick.core import types

# A plain endpoint that runs fewer requests than it has slots delays none, so
# that its pace matters more than its load. Half of its slots, added to the
# load, lets it get less work the longer it takes, also while it is idle.
IDLE_SLOTS_SHARE = 0.5
# An endpoint counts as slow from this multiple of the usual pace on. Prompts
# that move lose their cache, which costs more than a short delay.
TOLERANCE = 1.3


def has_paces(items: typing.Iterable[endpoint_table.Endpoint]) -> bool:
    """Tell whether the pace of some endpoint is known."""
    return any(item.pace.heard_ms is not None for item in items)


def estimate_time(item: endpoint_table.Endpoint, now_ms: float) -> float:
    """Return how long the next request would take there, in no unit.

    :param item: the endpoint.
    :param now_ms: current time.
    """
    slots = item.entry.slots
    waiting = item.load + IDLE_SLOTS_SHARE * slots
    return item.pace.compute_lasting(now_ms) * waiting / slots


def choose_by_own_requests(
    items: typing.Sequence[endpoint_table.Endpoint],
    now_ms: float,
    rng: random.Random,
) -> endpoint_table.Endpoint:
    """Choose an endpoint where runs are shorter than counts are old.

    The time that the next request would take is estimated by the requests of
    this router alone. Small differences in pace don't matter. Most routers
    have none in flight, so of all endpoints they would choose the same one.

    :param items: some of the candidates, chosen at random, at least one.
    :param now_ms: current time.
    :param rng: source of random numbers, for a choice among equals.
    """

    def estimate(item: endpoint_table.Endpoint) -> float:
        pace = max(1.0, item.pace.compute_lasting(now_ms) / TOLERANCE)
        return pace * (item.running + 1) / item.entry.slots

    return min(items, key=lambda item: (estimate(item), rng.random()))


def record_answer(
    usual: request_work.UsualValue,
    item: endpoint_table.Endpoint,
    items: typing.Sequence[endpoint_table.Endpoint],
    took_ms: float,
    now_ms: float,
) -> None:
    """Learn from an answer that did not wait for a slot.

    An answer of a slow endpoint shows its pace, but not that answers usually
    take longer. If all endpoints are slow, they usually do.

    :param usual: usual time of answers on the route.
    :param item: the endpoint.
    :param items: the endpoints of its service.
    :param took_ms: time of the answer, above 0.
    :param now_ms: current time.
    """
    if usual.is_known and usual.value is not None:
        item.pace.record_answer(took_ms, usual.value, now_ms)
    paces = [other.pace.compute(now_ms) for other in items]
    relative = 1.0
    if paces:
        relative = item.pace.compute(now_ms) / statistics.median(paces)
    usual.observe(took_ms / max(1.0, relative))


def compute_divisors(
    items: typing.Sequence[endpoint_table.Endpoint], now_ms: float
) -> dict[types.EndpointId, float]:
    """Return by how much the bounds of lastingly slow endpoints are divided.

    Paces count relative to the median: if all endpoints are slow, none is
    relieved.

    :param items: the candidates, at least one.
    :param now_ms: current time.
    :returns: divisor by endpoint, above 1; nothing for the others.
    """
    if not has_paces(items):
        return {}
    paces = {item.id: item.pace.compute_lasting(now_ms) for item in items}
    tolerated = statistics.median(paces.values()) * TOLERANCE
    return {
        key: pace / tolerated
        for key, pace in paces.items()
        if pace > tolerated
    }


def adjust_weights(
    items: typing.Sequence[endpoint_table.Endpoint],
    weights: typing.Sequence[float],
    now_ms: float,
) -> list[float]:
    """Return smaller shares for slow endpoints.

    :param items: the candidates.
    :param weights: their shares of the next requests.
    :param now_ms: current time.
    """
    if not items or not has_paces(items):
        return list(weights)
    paces = [item.pace.compute_lasting(now_ms) for item in items]
    usual = statistics.median(paces)
    return [
        weight / max(1.0, pace / usual)
        for weight, pace in zip(weights, paces, strict=True)
    ]
