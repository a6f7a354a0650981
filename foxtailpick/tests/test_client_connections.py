"""Tests of the bounds on the connections of clients."""

import math
import socket
import types

import pytest
import trio

from foxtailpick.node import client_connections


def make_connections(*waiting_since_ms):
    """Return stand-ins of connections."""
    return [
        types.SimpleNamespace(waiting_since_ms=item)
        for item in waiting_since_ms
    ]


def test_client_that_waits_for_longest_gives_way():
    conns = make_connections(30.0, None, 10.0, 20.0)
    assert client_connections.choose_to_close(conns) is conns[2]


def test_connection_with_work_is_kept():
    assert (
        client_connections.choose_to_close(make_connections(None, None))
        is None
    )


@pytest.mark.parametrize(
    ('max_connections', 'max_descriptors', 'expected'),
    [
        (2_048, math.inf, 2_048),
        (2_048, 1_024, 704),
        (2_048, 256, 128),
        (100, 1_024, 100),
    ],
)
def test_descriptors_are_left_for_links(
    max_connections, max_descriptors, expected
):
    bound = client_connections.bound_connections(
        max_connections, max_descriptors, 320
    )
    assert bound == expected


class Stream:
    """A stand-in of a connection that can be closed."""

    def __init__(self, budget):
        self._budget = budget
        self.is_closed = False

    def close(self):
        """Close the connection."""
        self.is_closed = True
        self._budget.remove(self)


def test_connection_that_holds_most_is_closed():
    budget = client_connections.ReceiveBudget(100)
    small, large = Stream(budget), Stream(budget)
    budget.add(small, 30)
    budget.add(large, 60)
    budget.add(small, 20)
    assert (small.is_closed, large.is_closed) == (False, True)
    budget.release(small, 60)
    assert budget.held_bytes == 0


def test_new_connection_displaces_an_idle_one():
    async def main():
        limit = client_connections.ConnectionLimit(1)
        pairs = [socket.socketpair() for _ in range(2)]
        streams = [
            trio.SocketStream(_make_tcp_like(first)) for first, _ in pairs
        ]
        idle = limit.add(streams[0])
        fresh = limit.add(streams[1])
        assert idle.socket.fileno() == -1
        with fresh.open_request():
            assert fresh.waiting_since_ms is None
            with fresh.read_request():
                assert fresh.waiting_since_ms is not None
        fresh.close()
        for pair in pairs:
            for sock in pair:
                sock.close()

    trio.run(main)


def _make_tcp_like(sock):
    sock.setblocking(False)
    return trio.socket.from_stdlib_socket(sock)
