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
import typing

from foxtailpick.core.dispatch import endpoint_table

# How often waiting requests are looked at: often enough that a free place
# costs little, and a third of the time between exchanges of counts.
PERIOD_MS = 50.0
# Part of the time that a caller waits for a first event which is kept for
# the engine to read the prompt.
SERVICE_PART = 0.25
# Weight of the newest interval between two places in their mean.
INTERVAL_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class Waiting:
    """Requests of one service that wait at a router.

    :param items: a heap by rank and order of arrival.
    :param interval_ms: mean time between two places, None if unknown.
    :param placed_ms: when the last one got its place.
    """

    items: list[tuple[int, int, typing.Any]] = dataclasses.field(
        default_factory=list
    )
    arrivals: int = 0
    interval_ms: float | None = None
    placed_ms: float = 0.0


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
) -> int:
    """Return this router's part of the places that are free.

    :param endpoints: endpoints of the service that may take new work.
    :param routers: routers that share them, this one included.
    :param now_ms: current time.
    """
    free = sum(
        max(0.0, item.entry.slots - item.load)
        for item in endpoints
        if not item.health.is_paused(now_ms)
    )
    if free < 1:
        return 0
    return max(1, round(free / routers))
