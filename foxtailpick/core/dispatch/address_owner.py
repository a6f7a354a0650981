"""Decides which of two endpoints listed at one address has ended.

Load pattern: a failure domain loses power, and its endpoints return together
at their old addresses as new processes. The entries of the old ones stay
listed until they expire, some seconds later. Requests placed by them reach
the new processes, which refuse them; after a few such attempts a request is
given up although there is room for it.
"""

from foxtailpick.core.dispatch import model


def is_replaced(
    entry: model.EndpointEntry, other: model.EndpointEntry
) -> bool:
    """Tell whether another process has taken an endpoint's address.

    Only one process listens at an address, so the one that started earlier
    has ended.

    :param entry: entry of the endpoint.
    :param other: any other entry.
    """
    if entry.address != other.address:
        return False
    started_ms = _parse_start(entry)
    other_ms = _parse_start(other)
    if started_ms is None or other_ms is None:
        return False
    return started_ms < other_ms


def _parse_start(entry: model.EndpointEntry) -> int | None:
    """Return the Unix time of the start in ms, None if it isn't stated."""
    return int(entry.started) if entry.started.isdecimal() else None
