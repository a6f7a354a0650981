"""Tests of which connections give way when descriptors run short."""

import dataclasses

import pytest

from foxtailpick.core.dispatch import connection_room

NOW_MS = 60_000.0


@dataclasses.dataclass
class Connection:
    """A connection of a caller."""

    name: str
    idle_since_ms: float = NOW_MS
    unfinished_since_ms: float | None = None
    is_busy: bool = False
    is_closing: bool = False
    is_rejected: bool = False


OLD_IDLE = Connection('old idle', idle_since_ms=0.0)
IDLE = Connection('idle', idle_since_ms=1_000.0)
OLD_PART = Connection('old part', 0.0, 2_000.0, is_busy=True)
PART = Connection('part', 0.0, 3_000.0, is_busy=True)
FRESH = Connection('fresh', idle_since_ms=NOW_MS - 1.0)
BUSY = Connection('busy', idle_since_ms=0.0, is_busy=True)
CLOSING = Connection('closing', idle_since_ms=0.0, is_closing=True)
REJECTED = Connection('rejected', 0.0, None, is_busy=True, is_rejected=True)


@pytest.mark.parametrize(
    ('conns', 'expected'),
    [
        ([IDLE, OLD_IDLE, PART, FRESH, REJECTED], 'rejected'),
        ([IDLE, OLD_IDLE, PART, FRESH, BUSY], 'old idle'),
        # A fresh connection may bring an ordinary request.
        ([FRESH, PART, OLD_PART, BUSY], 'old part'),
        ([FRESH, BUSY], 'fresh'),
        # One that is about to close isn't chosen again.
        ([CLOSING, IDLE], 'idle'),
    ],
)
def test_connection_that_gives_way(conns, expected):
    for order in (conns, conns[::-1]):
        (victim,) = connection_room.choose_victims(order, 5, NOW_MS)
        assert victim.name == expected


def test_requests_that_are_handled_do_not_give_way():
    conns = [BUSY, CLOSING]
    assert not connection_room.choose_victims(conns, 1, NOW_MS)
    limit = 100
    assert not connection_room.has_room(limit, limit, False)
    assert connection_room.has_room(limit, limit, True)
    assert not connection_room.has_room(2 * limit, limit, True)


@pytest.mark.parametrize('max_descriptors', [400, 1_000, 4_200])
def test_descriptors_suffice_for_all_connections(max_descriptors):
    """Whatever share of them callers have."""
    usable = max_descriptors - connection_room.RESERVED_DESCRIPTORS
    limits = [
        connection_room.compute_caller_limit(max_descriptors),
        *[connection_room.SIDE_CONNECTIONS] * 2,
    ]
    most = sum(limit + connection_room.MAX_CLOSING for limit in limits)
    for accepted in range(most + 1):
        endpoints = connection_room.compute_endpoint_limit(
            max_descriptors, accepted
        )
        assert endpoints >= connection_room.MIN_CONNECTIONS
        total = accepted + endpoints + connection_room.SYSTEM_DESCRIPTORS
        assert total <= usable
