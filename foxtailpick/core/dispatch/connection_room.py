"""Decides which connections give way when descriptors run short.

Load pattern: clients open more connections than the process has descriptors
for, and keep them open: idle, or with requests that never end. An ordinary
request arrives within milliseconds of its connection, so that connections on
which nothing is complete after a while give way to new ones. A connection
whose request is being handled does not.
"""

import heapq
import math
import typing

# Descriptors for files and listening sockets, as stated by the operators.
RESERVED_DESCRIPTORS = 200
# Fraction of the others for callers' connections; relaying a request takes a
# further descriptor.
CALLER_DESCRIPTOR_SHARE = 0.6
# Descriptors of listeners, signals, messages of peers and calls to the store.
SYSTEM_DESCRIPTORS = 24
# Limit of the connections of the listeners for readiness and for metrics: a
# few load balancers and collectors, with some that are left over.
SIDE_CONNECTIONS = 8
# Connections that are served however low the limit of descriptors is.
MIN_CONNECTIONS = 16
# Connections beyond the limit while those that give way are being closed.
MAX_CLOSING = 4
# An idle connection that is younger may be about to bring a request.
FRESH_MS = 1_000.0
# Connections that give way at a time, as a fraction of the limit.
BATCH_SHARE = 1 / 64


class Connection(typing.Protocol):
    """A connection of a caller.

    :param idle_since_ms: when its last response was complete, or when it was
        accepted.
    :param unfinished_since_ms: since when it holds only a part of a request,
        None if it holds none or other requests too.
    :param is_busy: whether a request was read, also in part, and not yet
        answered.
    :param is_closing: whether it is about to be closed.
    :param is_rejected: whether its last request was rejected, and it is only
        kept until the caller has read why.
    """

    idle_since_ms: float
    unfinished_since_ms: float | None
    is_busy: bool
    is_closing: bool
    is_rejected: bool


def compute_caller_limit(max_descriptors: int) -> int:
    """Return the limit of callers' connections.

    :param max_descriptors: limit of descriptors of the process.
    """
    usable = max_descriptors - RESERVED_DESCRIPTORS
    return max(0, math.ceil(CALLER_DESCRIPTOR_SHARE * usable))


def compute_endpoint_limit(max_descriptors: int, accepted: int) -> int:
    """Return the limit of connections to endpoints.

    :param max_descriptors: limit of descriptors of the process.
    :param accepted: open connections that listeners have accepted.
    """
    usable = max_descriptors - RESERVED_DESCRIPTORS - SYSTEM_DESCRIPTORS
    return max(MIN_CONNECTIONS, usable - accepted)


def choose_victims(
    conns: typing.Collection[Connection], limit: int, now_ms: float
) -> list[typing.Any]:
    """Return the connections that give way to new ones.

    Rejected ones go first, then those idle for a while, unfinished requests,
    and idle ones that are fresh; the longest first.

    :param conns: the open connections, of which there are too many.
    :param limit: limit of their number.
    :param now_ms: current time.
    """
    ranked = []
    for number, conn in enumerate(conns):
        rank = _rank(conn, now_ms)
        if rank is not None:
            ranked.append((*rank, number, conn))
    batch = max(1, math.floor(BATCH_SHARE * limit))
    return [item[-1] for item in heapq.nsmallest(batch, ranked)]


def _rank(conn: Connection, now_ms: float) -> tuple[int, float] | None:
    """Return what connections are ordered by, None for one that stays."""
    if conn.is_rejected:
        return 0, conn.idle_since_ms
    since_ms = conn.unfinished_since_ms
    if since_ms is not None:
        return 2, since_ms
    if conn.is_busy or conn.is_closing:
        return None
    is_fresh = now_ms - conn.idle_since_ms < FRESH_MS
    return 3 if is_fresh else 1, conn.idle_since_ms


def has_room(count: int, limit: int, gives_way: bool) -> bool:
    """Tell whether another connection is accepted.

    :param count: number of open connections.
    :param limit: limit of their number.
    :param gives_way: whether an open connection gives way to it.
    """
    return count < limit + (MAX_CLOSING if gives_way else 0)
