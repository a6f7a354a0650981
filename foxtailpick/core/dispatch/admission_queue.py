"""Router-side queue of requests above their account's equal share.

Load pattern: one account sends many times its usual rate while all engines
are full. Queued at the engines, its requests would delay all other
accounts; with a lower priority there, they would be preempted mid-stream by
every new request. They are therefore queued at the router, ordered by
priority and arrival, and use only slots that other accounts leave free. A
request that cannot get a slot before its caller gives up is refused at
once: on arrival, or as soon as the time since the last admission shows that
the slots it needs will not become free in time.
"""

import dataclasses
import heapq
import math
import random
import typing

from foxtailpick.core.dispatch import endpoint_table

# Interval between two checks of the queue: a third of the interval between
# two load exchanges, and short enough that few free slots stay unused.
CHECK_INTERVAL_MS = 50.0
# Load counts are up to one exchange interval old. If runs are shorter than
# SHORT_RUN_MS, a single count does not reflect the current load, and a small
# service is briefly full without being overloaded. Its utilization is
# therefore averaged with the time constant UTILIZATION_TIME_MS.
SHORT_RUN_MS = 250.0
UTILIZATION_TIME_MS = 500.0
# Weight of the newest sample in the mean run time.
RUN_WEIGHT = 0.1
# Share of all slots reserved for requests within their account's equal
# share, so that these need not queue.
RESERVED_SHARE = 0.02
# Share of the caller's first-event timeout reserved for the engine to
# process the prompt.
PREFILL_SHARE = 0.25
# Weight of the newest sample in the mean interval between admissions.
INTERVAL_WEIGHT = 0.2
# A queued request is hopeless if its expected wait is this multiple of the
# time that it may still wait. With a single slot to wait for, it would be
# admitted in time with a probability of about 0.4.
HOPELESS_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class AdmissionQueue:
    """Queue of one service's requests at a router.

    :param utilization: mean share of the service's slots in use.
    :param mean_run_ms: mean run time of a request, 0 before the first sample.
    :param items: heap ordered by priority and arrival, each with the time
        until which it may be queued.
    :param mean_interval_ms: mean time between two admissions, None if unknown.
    :param admitted_ms: time of the last admission.
    :param is_starved: whether its last requests were refused as hopeless and
        no slot became free since.
    """

    utilization: float = 0.0
    mean_run_ms: float = 0.0
    items: list[tuple[int, int, typing.Any, float]] = dataclasses.field(
        default_factory=list
    )
    arrivals: int = 0
    mean_interval_ms: float | None = None
    admitted_ms: float = 0.0
    is_starved: bool = False


def record_run(queue: AdmissionQueue, took_ms: float) -> None:
    """Add a sample to the mean run time.

    :param queue: queue of the request's service.
    :param took_ms: time from sending the request to its end.
    """
    if not queue.mean_run_ms:
        queue.mean_run_ms = took_ms
        return
    queue.mean_run_ms += RUN_WEIGHT * (took_ms - queue.mean_run_ms)


def update_utilization(
    queue: AdmissionQueue,
    endpoints: typing.Iterable[endpoint_table.Endpoint],
    now_ms: float,
) -> None:
    """Update the share of slots in use; called every `CHECK_INTERVAL_MS`.

    :param queue: queue of the service.
    :param endpoints: endpoints of the service that accept new work.
    :param now_ms: current time.
    """
    usable = _list_usable(endpoints, now_ms)
    slots = sum(item.entry.slots for item in usable)
    if not slots:
        return
    current = min(1.0, sum(item.load for item in usable) / slots)
    weight = 1.0
    if queue.mean_run_ms < SHORT_RUN_MS:
        weight = CHECK_INTERVAL_MS / UTILIZATION_TIME_MS
    queue.utilization += weight * (current - queue.utilization)


def estimate_wait_ms(queue: AdmissionQueue, now_ms: float) -> float:
    """Estimate how long a new request would be queued.

    :param queue: queue of the service.
    :param now_ms: current time.
    """
    return _estimate_interval_ms(queue, now_ms) * len(queue.items)


def _estimate_interval_ms(queue: AdmissionQueue, now_ms: float) -> float:
    """Return the time between two admissions.

    While no slot becomes free, it is at least the time since the last one.
    """
    if not queue.items:
        return 0.0
    return max(queue.mean_interval_ms or 0.0, now_ms - queue.admitted_ms)


def compute_max_wait_ms(abandon_after_ms: float, left_ms: float) -> float:
    """Return how long a request may be queued.

    :param abandon_after_ms: how long its caller waits for a first event.
    :param left_ms: time left until the deadline of the request.
    """
    return (1 - PREFILL_SHARE) * min(abandon_after_ms, left_ms)


def add(
    queue: AdmissionQueue,
    priority: int,
    item: typing.Any,
    until_ms: float,
    now_ms: float,
) -> None:
    """Queue a request.

    :param queue: queue of the service.
    :param priority: priority of the request, 0 is the most urgent.
    :param item: object that represents the request.
    :param until_ms: time until which it may be queued.
    :param now_ms: current time.
    """
    if not queue.items and not queue.is_starved:
        # Time with an empty queue does not count towards the interval.
        queue.admitted_ms = now_ms
    queue.arrivals += 1
    entry = (priority, queue.arrivals, item, until_ms)
    heapq.heappush(queue.items, entry)


def remove(queue: AdmissionQueue, item: typing.Any) -> None:
    """Drop a request whose caller disconnected or that timed out.

    :param queue: queue of the service.
    :param item: object that represents the request.
    """
    queue.items = [entry for entry in queue.items if entry[2] is not item]
    heapq.heapify(queue.items)


def pop_admitted(
    queue: AdmissionQueue, count: int, now_ms: float
) -> list[typing.Any]:
    """Remove and return the requests that are admitted now.

    Also called without queued requests while the queue is starved.

    :param queue: queue of the service.
    :param count: number of free slots.
    :param now_ms: current time.
    """
    if count and not queue.items:
        queue.admitted_ms = now_ms
        queue.is_starved = False
    admitted = [
        heapq.heappop(queue.items)[2]
        for _ in range(min(count, len(queue.items)))
    ]
    if admitted:
        sample_ms = (now_ms - queue.admitted_ms) / len(admitted)
        mean_ms = queue.mean_interval_ms
        if mean_ms is None:
            queue.mean_interval_ms = sample_ms
        else:
            queue.mean_interval_ms = mean_ms + INTERVAL_WEIGHT * (
                sample_ms - mean_ms
            )
        queue.admitted_ms = now_ms
        queue.is_starved = False
    return admitted


def pop_hopeless(queue: AdmissionQueue, now_ms: float) -> list[typing.Any]:
    """Remove and return the requests that will not get a slot in time.

    :param queue: queue of the service.
    :param now_ms: current time.
    """
    interval_ms = _estimate_interval_ms(queue, now_ms)
    kept: list[tuple[int, int, typing.Any, float]] = []
    hopeless = []
    for entry in sorted(queue.items, key=lambda entry: entry[:2]):
        until_ms = entry[3]
        expected_ms = interval_ms * (len(kept) + 1)
        if expected_ms > HOPELESS_FACTOR * (until_ms - now_ms):
            hopeless.append(entry[2])
        else:
            kept.append(entry)
    # A sorted list is a heap.
    queue.items = kept
    if hopeless and not kept:
        queue.is_starved = True
    return hopeless


def count_free_slots(
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
    reserved = RESERVED_SHARE * sum(item.entry.slots for item in usable)
    free = sum(max(0.0, item.entry.slots - item.load) for item in usable)
    return max(0, math.floor((free - reserved) / routers + rng.random()))


def _list_usable(
    endpoints: typing.Iterable[endpoint_table.Endpoint], now_ms: float
) -> list[endpoint_table.Endpoint]:
    return [
        item
        for item in endpoints
        if not item.health.is_paused(now_ms)
        and not item.announced.is_resting(now_ms)
    ]
