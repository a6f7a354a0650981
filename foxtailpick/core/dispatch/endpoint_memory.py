"""Decides whether an endpoint's memory can take a request.

Load pattern: prompts of 800 and of 12,000 tokens come to engines whose memory
holds a few of the long ones beside many short ones. Counted as one each, long
prompts fill the memory of an engine that has free slots; it then preempts
running requests or ends. A long prompt that finds no room waits for it, while
short ones, which fit, are placed. Without a reservation they would take all
room that becomes free, so that it never fits.

A router knows the tokens of its own requests, and how many requests the
others have. These are assumed to have the mean size of its own, unless the
others tell their tokens, as they do once an endpoint fills up.
"""

import dataclasses
import typing

import xxhash

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core import types

# Share of its target latency that a request waits before it reserves room, and
# after which it may use room that others have reserved: it is late otherwise.
RESERVE_AFTER_SHARE = 0.25
# Share of an endpoint's memory that is left for what other routers have sent
# since they told, if there are any.
UNSEEN_SHARE = 0.05
# Share of the time until its caller gives up that a request waits for room.
MAX_WAIT_SHARE = 0.5
# What other routers told is used for this time; some messages may be lost.
TOLD_TTL_MS = 700.0
# Weight of the newest request in the mean size.
SIZE_WEIGHT = 0.05


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for room.

    :param tokens: tokens that it needs.
    :param reserve_ms: time from which on it may reserve room.
    :param until_ms: end of its wait.
    """

    tokens: int
    reserve_ms: float
    until_ms: float


@dataclasses.dataclass(slots=True)
class ServiceMemory:
    """Memory of a service's endpoints, as this router uses it.

    :param mean_tokens: mean size of this router's requests, None before the
        first.
    :param waiters: requests that wait for room, by their id, in the order of
        arrival.
    :param reserved: endpoint where the first waiter has reserved room.
    """

    mean_tokens: float | None = None
    waiters: dict[types.RequestId, Waiter] = dataclasses.field(
        default_factory=dict
    )
    reserved: types.EndpointId | None = None


def record_size(memory: ServiceMemory, tokens: int) -> None:
    """Add a request to the mean size.

    :param memory: the service's memory.
    :param tokens: tokens that the request needs.
    """
    if memory.mean_tokens is None:
        memory.mean_tokens = float(tokens)
    memory.mean_tokens += SIZE_WEIGHT * (tokens - memory.mean_tokens)


def compute_need(tokens: int, capacity: int) -> int:
    """Return the tokens that a request needs.

    The longest possible answer may not fit even alone. It is an upper bound,
    so such a request gets an endpoint that holds no other.

    :param tokens: prompt and longest answer.
    :param capacity: memory of an endpoint, in tokens.
    """
    return min(tokens, capacity)


def is_too_large(prompt_tokens: int, capacity: int) -> bool:
    """Tell whether a request can't run at any endpoint.

    :param prompt_tokens: tokens of its prompt.
    :param capacity: memory of an endpoint, in tokens, 0 if unknown.
    """
    return 0 < capacity < prompt_tokens


def is_told(item: endpoint_table.Endpoint, now_ms: float) -> bool:
    """Tell whether other routers told of late what they hold there.

    :param item: the endpoint.
    :param now_ms: current time.
    """
    return now_ms - item.told_ms < TOLD_TTL_MS


def compute_free(
    item: endpoint_table.Endpoint,
    memory: ServiceMemory,
    capacity: int,
    now_ms: float,
) -> float:
    """Return the tokens that are free at an endpoint.

    :param item: the endpoint.
    :param memory: the service's memory.
    :param capacity: memory of the endpoint, in tokens.
    :param now_ms: current time.
    """
    others = item.remote_load * (memory.mean_tokens or 0.0)
    if is_told(item, now_ms):
        others = item.told_tokens
    if others:
        others += UNSEEN_SHARE * capacity
    return capacity - item.held_tokens - others


def select_with_room(
    items: typing.Sequence[endpoint_table.Endpoint],
    memory: ServiceMemory,
    request: types.RequestId,
    tokens: int,
    capacity: int,
    routers: int,
    now_ms: float,
) -> list[endpoint_table.Endpoint]:
    """Return the endpoints that have room for a request.

    An endpoint where another request has reserved room is used only as far
    as it has more, unless the request has waited for long itself.

    :param items: endpoints of the service that accept new work.
    :param memory: the service's memory.
    :param request: id of the request.
    :param tokens: tokens that it needs.
    :param capacity: memory of an endpoint, in tokens, above 0.
    :param routers: number of routers, including this one.
    :param now_ms: current time.
    """
    free = {
        item.id: compute_free(item, memory, capacity, now_ms) for item in items
    }
    _update_reservation(memory, free, now_ms)
    first = next(iter(memory.waiters), None)
    waiter = memory.waiters.get(request)
    has_waited = waiter is not None and now_ms >= waiter.reserve_ms
    if memory.reserved in free and first is not None and not has_waited:
        free[memory.reserved] -= memory.waiters[first].tokens
    return [
        item
        for item in items
        if tokens <= free[item.id]
        and (
            not is_told(item, now_ms)
            or _is_within_share(item, request, tokens, capacity, routers)
        )
    ]


def begin_wait(
    memory: ServiceMemory,
    request: types.RequestId,
    tokens: int,
    target_ms: float,
    longest_ms: float,
    now_ms: float,
) -> float:
    """Note that a request waits for room; return the time left for it.

    :param memory: the service's memory.
    :param request: id of the request.
    :param tokens: tokens that it needs.
    :param target_ms: target latency of its answer.
    :param longest_ms: how long it may wait.
    :param now_ms: current time.
    """
    waiter = memory.waiters.setdefault(
        request,
        Waiter(
            tokens,
            now_ms + RESERVE_AFTER_SHARE * target_ms,
            now_ms + longest_ms,
        ),
    )
    return max(0.0, waiter.until_ms - now_ms)


def end_wait(memory: ServiceMemory, request: types.RequestId) -> None:
    """Note that a request was placed or refused, or its caller left.

    :param memory: the service's memory.
    :param request: id of the request.
    """
    if memory.waiters and next(iter(memory.waiters)) == request:
        memory.reserved = None
    memory.waiters.pop(request, None)


def compute_max_wait_ms(abandon_after_ms: float, left_ms: float) -> float:
    """Return how long a request waits for room.

    :param abandon_after_ms: time after which its caller gives up.
    :param left_ms: time left until its deadline.
    """
    return max(0.0, MAX_WAIT_SHARE * min(abandon_after_ms, left_ms))


def _is_within_share(
    item: endpoint_table.Endpoint,
    request: types.RequestId,
    tokens: int,
    capacity: int,
    routers: int,
) -> bool:
    """Tell whether this router may use room that all have been told of.

    All routers with waiting requests hear of it at once. Each uses an equal
    share of it until the next totals. A request that is larger than the share
    is admitted with a probability that keeps the sum of all routers.
    """
    told_free = capacity - item.told_tokens - item.told_held_tokens
    share = max(0.0, told_free / routers)
    used = max(0, item.held_tokens - item.told_held_tokens)
    if used + tokens <= share:
        return True
    draw = xxhash.xxh3_64_intdigest(f'{request}\0{item.told_ms}'.encode())
    return used < share and draw / 2**64 * tokens < share - used


def _update_reservation(
    memory: ServiceMemory,
    free: typing.Mapping[types.EndpointId, float],
    now_ms: float,
) -> None:
    """Reserve room for the request that has waited longest."""
    first = next(iter(memory.waiters.values()), None)
    if first is None or now_ms < first.reserve_ms or not free:
        memory.reserved = None
    elif memory.reserved not in free:
        memory.reserved = max(free, key=lambda key: free[key])
