"""Router-side queue of requests above their account's equal share.

Load pattern: one account sends many times its usual rate while all engines
are full. Queued at the engines, its requests would delay all other
accounts; with a lower priority there, they would be preempted mid-stream by
every new request. They are therefore queued at the router, ordered by
priority and arrival, and use only slots that other accounts leave free. A
request that cannot get a slot before its caller gives up is rejected at
once.
"""

import dataclasses
import heapq
import math
import random
import typing

from foxtailpick.core.dispatch import endpoint_table

# Interval between two checks of the queue: a third of the interval between
# two load exchanges, and short enough that few free slots stay unused.
PERIOD_MS = 50.0
# Load counts are up to one exchange interval old. If runs are shorter than
# SHORT_RUN_MS, a single count does not reflect the current load, and a small
# service is briefly full without being overloaded. Its utilization is
# therefore averaged with this time constant.
SHORT_RUN_MS = 250.0
FULLNESS_TIME_MS = 500.0
# Weight of the newest sample in the mean run time.
RUN_WEIGHT = 0.1
# Share of all slots reserved for requests within their account's equal
# share, so that these need not queue.
KEPT_PART = 0.02
# Share of the caller's first-event timeout reserved for the engine to
# process the prompt.
SERVICE_PART = 0.25
# Weight of the newest sample in the mean interval between admissions.
INTERVAL_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class Waiting:
    """Queue of one service's requests at a router.

    :param fullness: mean share of the service's slots in use.
    :param run_ms: mean run time of a request, 0 before the first sample.
    :param items: heap ordered by priority and arrival.
    :param interval_ms: mean time between two admissions, None if unknown.
    :param placed_ms: time of the last admission.
    """

    fullness: float = 0.0
    run_ms: float = 0.0
    items: list[tuple[int, int, typing.Any]] = dataclasses.field(
        default_factory=list
    )
    arrivals: int = 0
    interval_ms: float | None = None
    placed_ms: float = 0.0


def note_run(waiting: Waiting, took_ms: float) -> None:
    """Add a sample to the mean run time.

    :param waiting: queue of the request's service.
    :param took_ms: time from sending the request to its end.
    """
    if not waiting.run_ms:
        waiting.run_ms = took_ms
        return
    waiting.run_ms += RUN_WEIGHT * (took_ms - waiting.run_ms)


def note_fullness(
    waiting: Waiting,
    endpoints: typing.Iterable[endpoint_table.Endpoint],
    now_ms: float,
) -> None:
    """Update the share of slots in use; called once per period.

    :param waiting: queue of the service.
    :param endpoints: endpoints of the service that accept new work.
    :param now_ms: current time.
    """
    usable = _list_usable(endpoints, now_ms)
    places = sum(item.entry.slots for item in usable)
    if not places:
        return
    part = min(1.0, sum(item.load for item in usable) / places)
    weight = 1.0
    if waiting.run_ms < SHORT_RUN_MS:
        weight = PERIOD_MS / FULLNESS_TIME_MS
    waiting.fullness += weight * (part - waiting.fullness)


def find_wait_ms(waiting: Waiting) -> float:
    """Estimate how long a new request would be queued.

    :param waiting: queue of the service.
    """
    if waiting.interval_ms is None:
        return 0.0
    return waiting.interval_ms * len(waiting.items)


def find_longest_ms(patience_ms: float, left_ms: float) -> float:
    """Return how long a request may be queued.

    :param patience_ms: how long its caller waits for a first event.
    :param left_ms: time left until the deadline of the request.
    """
    return (1 - SERVICE_PART) * min(patience_ms, left_ms)


def add(
    waiting: Waiting, priority: int, item: typing.Any, now_ms: float
) -> None:
    """Queue a request.

    :param waiting: queue of the service.
    :param priority: priority of the request, 0 is the most urgent.
    :param item: object that represents the request.
    :param now_ms: current time.
    """
    if not waiting.items:
        # Time with an empty queue does not count towards the interval.
        waiting.placed_ms = now_ms
    waiting.arrivals += 1
    heapq.heappush(waiting.items, (priority, waiting.arrivals, item))


def remove(waiting: Waiting, item: typing.Any) -> None:
    """Drop a request whose caller disconnected or that timed out.

    :param waiting: queue of the service.
    :param item: object that represents the request.
    """
    waiting.items = [entry for entry in waiting.items if entry[2] is not item]
    heapq.heapify(waiting.items)


def take_next(waiting: Waiting, count: int, now_ms: float) -> list[typing.Any]:
    """Remove and return the requests that are admitted now.

    :param waiting: queue of the service.
    :param count: number of free slots.
    :param now_ms: current time.
    """
    taken = [
        heapq.heappop(waiting.items)[2]
        for _ in range(min(count, len(waiting.items)))
    ]
    if taken:
        sample_ms = (now_ms - waiting.placed_ms) / len(taken)
        mean_ms = waiting.interval_ms
        if mean_ms is None:
            waiting.interval_ms = sample_ms
        else:
            waiting.interval_ms = mean_ms + INTERVAL_WEIGHT * (
                sample_ms - mean_ms
            )
        waiting.placed_ms = now_ms
    return taken


def count_free_places(
    endpoints: typing.Iterable[endpoint_table.Endpoint],
    routers: int,
    now_ms: float,
    rng: random.Random,
) -> int:
    """Return this router's share of the free slots.

    The share is rounded up or down at random, so that not all routers
    claim the same slot.

    :param endpoints: endpoints of the service that accept new work.
    :param routers: number of routers sharing them, including this one.
    :param now_ms: current time.
    :param rng: source of random numbers.
    """
    usable = _list_usable(endpoints, now_ms)
    kept = KEPT_PART * sum(item.entry.slots for item in usable)
    free = sum(max(0.0, item.entry.slots - item.load) for item in usable)
    return max(0, math.floor((free - kept) / routers + rng.random()))


def _list_usable(
    endpoints: typing.Iterable[endpoint_table.Endpoint], now_ms: float
) -> list[endpoint_table.Endpoint]:
    return [item for item in endpoints if not item.health.is_paused(now_ms)]
