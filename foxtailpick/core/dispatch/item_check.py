"""Checks items of the store that other writers may have written.

A decoded entry has fields of the right types; this module checks that their
values can be used. The decisions rely on it: an infinite load or processor
share would raise errors far from the entry that causes them.
"""

import ipaddress
import math

from foxtailpick.core.dispatch import model

MAX_PORT = 65_535
MAX_SLOTS = 1_000_000


def check_item(item: model.Item | None) -> None:
    """Check the values of an item.

    :param item: the decoded item, None for one that is not used.
    :raises ValueError: if it names no endpoint or router to use.
    """
    if isinstance(item, model.EndpointItem):
        _check(bool(item.id) and item.id.isprintable(), 'an id', item.id)
        if item.entry is not None:
            _check_endpoint(item.entry)
    elif isinstance(item, model.RolloutItem) and item.order is not None:
        duration_ms = item.order.duration_ms
        _check(0 <= duration_ms < math.inf, 'a finite duration', duration_ms)
    elif isinstance(item, model.RouterItem) and item.entry is not None:
        share = item.entry.processor_share
        _check(0 < share < math.inf, 'a processor share above 0', share)
        _check_address(item.entry.address)


def _check_endpoint(entry: model.EndpointEntry) -> None:
    _check_address(entry.address)
    _check(entry.slots <= MAX_SLOTS, f'at most {MAX_SLOTS} slots', entry.slots)
    _check(
        0 <= entry.warmup_left_ms < math.inf,
        'a finite warm-up',
        entry.warmup_left_ms,
    )


def _check_address(address: model.Address) -> None:
    host, port = address
    # Raises a ValueError itself.
    ipaddress.IPv4Address(host)
    _check(0 < port <= MAX_PORT, f'a port up to {MAX_PORT}', port)


def _check(is_valid: bool, expected: str, got: object) -> None:
    if not is_valid:
        raise ValueError(f'expected {expected}, got {got!r:.80}')
