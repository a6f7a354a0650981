"""Bounds the memory that the requests of all callers take together.

Load pattern: clients that the operators don't control send long bodies or
many headers at once, and most of them stop short of the end and stay, while
ordinary callers send short and long requests. A request that doesn't fit is
refused at once. Unfinished requests without progress give way first, so that
clients that stay don't keep the others out, and short requests have a part
of the memory to themselves.
"""

import dataclasses
import typing

from foxtailpick.core.dispatch import model

MB_BYTES = 1_000_000
# Memory of a process without any requests.
PROCESS_MB = 45.0
# Share of the rest that requests may take.
MEMORY_SHARE = 0.45
# Share of this that only short requests may take, and their size.
RESERVED_SHARE = 0.25
SHORT_BYTES = 65_536
# Memory of a request and of one of its headers, apart from their bytes.
REQUEST_COST_BYTES = 2_048
HEADER_COST_BYTES = 170
# An unfinished request that receives less than this in this time is stalled.
PROGRESS_BYTES = 16_384
STALLED_MS = 1_000.0
# Time until a refused request may find room, mostly that of stalled ones.
RETRY_MS = 800.0


@dataclasses.dataclass(eq=False, slots=True)
class Holding:
    """The memory of one request.

    :param give_way: ends the request, which is unfinished, and releases what
        is kept of it.
    :param progress_ms: when it began, or last received `PROGRESS_BYTES`.
    :param received_bytes: bytes received on its connection at that time.
    :param held_bytes: memory that it takes.
    """

    give_way: typing.Callable[[], None]
    progress_ms: float
    received_bytes: int
    held_bytes: int = 0


@dataclasses.dataclass(slots=True)
class RequestMemory:
    """The memory of all requests of callers.

    :param used_bytes: their sum.
    :param unfinished: those that are still being received.
    """

    used_bytes: int = 0
    unfinished: set[Holding] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on the memory of all requests.

    :param all_bytes: limit for short requests.
    :param long_bytes: limit for the others.
    """

    all_bytes: float
    long_bytes: float

    @classmethod
    def from_config(
        cls, memory_mb: float, limits: model.Limits
    ) -> typing.Self:
        """Return the limits of a process; one request always fits.

        :param memory_mb: memory of the process.
        :param limits: limits on a single request.
        """
        share = compute_free_bytes(memory_mb) * MEMORY_SHARE
        longest = limits.max_body_bytes + compute_cost(
            limits.max_header_bytes, limits.max_header_bytes // 4, 0
        )
        long_bytes = max(share * (1 - RESERVED_SHARE), longest)
        return cls(long_bytes / (1 - RESERVED_SHARE), long_bytes)


def compute_free_bytes(memory_mb: float) -> float:
    """Return what a process has for requests, responses and connections.

    :param memory_mb: its memory.
    """
    return max(0.0, memory_mb - PROCESS_MB) * MB_BYTES


def compute_cost(head_bytes: int, headers: int, body_bytes: int) -> int:
    """Return the memory of a request.

    :param head_bytes: bytes of its target and headers.
    :param headers: number of its headers.
    :param body_bytes: bytes of its body, those announced if there are more.
    """
    objects = REQUEST_COST_BYTES + headers * HEADER_COST_BYTES
    return objects + head_bytes + body_bytes


def take(
    memory: RequestMemory,
    holding: Holding,
    need_bytes: int,
    bounds: Bounds,
    now_ms: float,
) -> bool:
    """Give a request the memory that it needs; tell whether there is room.

    Stalled requests give way if that makes room.

    :param memory: the memory of all requests.
    :param holding: that of this request.
    :param need_bytes: what it needs altogether.
    :param bounds: the limits.
    :param now_ms: current time.
    """
    extra = need_bytes - holding.held_bytes
    limit = bounds.all_bytes
    if need_bytes > SHORT_BYTES:
        limit = bounds.long_bytes
    over = memory.used_bytes + extra - limit
    if extra > 0 and over > 0:
        stalled = choose_stalled(memory, holding, over, now_ms)
        if not stalled:
            return False
        for item in stalled:
            release(memory, item)
            item.give_way()
    memory.used_bytes += extra
    holding.held_bytes = need_bytes
    return True


def choose_stalled(
    memory: RequestMemory, holding: Holding, needed: float, now_ms: float
) -> list[Holding]:
    """Return the stalled requests that make room for another.

    Those without progress for longest come first. None are returned if all
    of them together are too small.

    :param memory: the memory of all requests.
    :param holding: that of the request that needs room.
    :param needed: bytes that are missing.
    :param now_ms: current time.
    """
    stalled = [
        item
        for item in memory.unfinished
        if item is not holding and now_ms - item.progress_ms >= STALLED_MS
    ]
    stalled.sort(key=lambda item: item.progress_ms)
    chosen = []
    for item in stalled:
        chosen.append(item)
        needed -= item.held_bytes
        if needed <= 0:
            return chosen
    return []


def record_received(
    holding: Holding, received_bytes: int, now_ms: float
) -> None:
    """Record what the connection of an unfinished request received.

    :param holding: its memory.
    :param received_bytes: all that was received on the connection.
    :param now_ms: current time.
    """
    if received_bytes - holding.received_bytes >= PROGRESS_BYTES:
        holding.received_bytes = received_bytes
        holding.progress_ms = now_ms


def release(memory: RequestMemory, holding: Holding) -> None:
    """Release the memory of a request that was answered or ended."""
    memory.unfinished.discard(holding)
    memory.used_bytes -= holding.held_bytes
    holding.held_bytes = 0
