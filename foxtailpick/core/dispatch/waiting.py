"""How requests beyond an account's part wait for a place.

Load pattern: one account sends many times its usual while all engines are
full. In the queues of the engines its requests would delay everybody's;
behind others in rank, they would be preempted in the middle of their
streams by each one that comes. So they wait at the router, by rank and
age, and take the places that the others leave free. One that cannot get a
place before its caller leaves is turned away at once.
"""

import dataclasses
import heapq
import math
import random
import typing

from foxtailpick.core.dispatch import endpoint_table

# How often waiting requests are looked at: often enough that a free place
# costs little, and a third of the time between exchanges of counts.
PERIOD_MS = 50.0
# Counts are up to an exchange old. Where runs are shorter than this, one
# count says nothing of the places taken now; only their mean over this time
# does, since a small service is full for moments without any overload.
SHORT_RUN_MS = 250.0
FULLNESS_TIME_MS = 500.0
# Weight of the newest run in their mean length.
RUN_WEIGHT = 0.1
# Places kept free for the requests within the accounts' parts, as a part of
# all, so that these need not wait for one.
KEPT_PART = 0.02
# Part of the time that a caller waits for a first event which is kept for
# the engine to read the prompt.
SERVICE_PART = 0.25
# Weight of the newest interval between two places in their mean.
INTERVAL_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class Waiting:
    """Requests of one service that wait at a router.

    :param fullness: mean part of the service's places that is taken.
    :param run_ms: mean length of a run, 0 before the first.
    :param items: a heap by rank and order of arrival.
    :param interval_ms: mean time between two places, None if unknown.
    :param placed_ms: when the last one got its place.
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
    """Take in the length of a run.

    :param waiting: the requests of its service that wait.
    :param took_ms: time from its sending to its end.
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
    """Follow the part of the places that is taken, once a period.

    :param waiting: the requests of a service that wait.
    :param endpoints: endpoints of the service that may take new work.
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
    """Return how long one more request would wait for its place.

    :param waiting: the requests that wait already.
    """
    if waiting.interval_ms is None:
        return 0.0
    return waiting.interval_ms * len(waiting.items)


def find_longest_ms(patience_ms: float, left_ms: float) -> float:
    """Return how long a request may wait for a place.

    :param patience_ms: how long its caller waits for a first event.
    :param left_ms: time that is left for the whole answer.
    """
    return (1 - SERVICE_PART) * min(patience_ms, left_ms)


def add(
    waiting: Waiting, priority: int, item: typing.Any, now_ms: float
) -> None:
    """Let a request wait.

    :param waiting: the requests that wait already.
    :param priority: its rank, 0 is the most urgent.
    :param item: what stands for it.
    :param now_ms: current time.
    """
    if not waiting.items:
        # The time without any request says nothing about places.
        waiting.placed_ms = now_ms
    waiting.arrivals += 1
    heapq.heappush(waiting.items, (priority, waiting.arrivals, item))


def remove(waiting: Waiting, item: typing.Any) -> None:
    """Forget a request whose caller left or that waited too long.

    :param waiting: the requests that wait.
    :param item: what stands for it.
    """
    waiting.items = [entry for entry in waiting.items if entry[2] is not item]
    heapq.heapify(waiting.items)


def take_next(waiting: Waiting, count: int, now_ms: float) -> list[typing.Any]:
    """Return the requests that get a place now.

    :param waiting: the requests that wait.
    :param count: free places for them.
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
    """Return this router's part of the places that are free.

    Parts below one are drawn by chance, so that many routers do not all
    take the same place.

    :param endpoints: endpoints of the service that may take new work.
    :param routers: routers that share them, this one included.
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
