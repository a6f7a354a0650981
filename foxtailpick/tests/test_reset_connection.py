"""Tests of a connection that ends differently for each of its tasks.

A socket reports a reset to one call only. The calls after it get the end of
the stream, as after a close.
"""

import contextlib
import errno
import socket
import time

import pytest
import trio
import trio.testing

from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import exchange
from foxtailpick.gateway import http1
from foxtailpick.tests import cutting_server

PART = b'part of the body'
# On loopback what is sent arrives at once, what is reset too.
ARRIVAL_S = 0.02


@contextlib.asynccontextmanager
async def open_connection():
    """Yield a connection, and the socket of its server."""
    with cutting_server.listen() as listener:
        conn = await client_lib.ClientConnection.connect(
            listener.getsockname()
        )
        peer, _ = await listener.accept()
        with peer, contextlib.closing(conn):
            yield conn, peer._sock


async def fill(conn):
    """Send until the connection takes no more."""
    with trio.move_on_after(cutting_server.FILL_S):
        await conn.send(cutting_server.LONG_BODY)


async def read_part(conn, peer, start=cutting_server.UNFRAMED):
    peer.send(start + PART)
    head = await conn.next_event()
    assert head.status == 200
    assert await conn.next_event() == PART


def end_and_wait(end, peer):
    """End a connection while no task of the client runs."""
    end(peer)
    time.sleep(ARRIVAL_S)


ENDS = pytest.mark.parametrize(
    'end', [cutting_server.reset, cutting_server.close]
)


@ENDS
async def test_reset_reported_to_a_send_ends_an_answer_as_whole(end):
    async with open_connection() as (conn, peer):
        await fill(conn)
        await read_part(conn, peer)
        end_and_wait(end, peer)
        with pytest.raises(http1.BrokenConnectionError):
            await conn.send(PART)
        with pytest.raises(client_lib.AnswerResetError):
            await conn.next_event()
        assert not conn.is_clean


@ENDS
async def test_reset_reported_to_a_send_in_progress_ends_an_answer_as_whole(
    end,
):
    """The reader runs before the sender has handled its failure."""
    ended = []
    async with open_connection() as (conn, peer):
        await fill(conn)
        await read_part(conn, peer)

        async def read():
            try:
                ended.append(await conn.next_event())
            except client_lib.AnswerResetError:
                ended.append('reset')

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.testing.wait_all_tasks_blocked()
            end_and_wait(end, peer)
            with pytest.raises(http1.BrokenConnectionError):
                await conn.send(PART)
    assert ended == ['reset']


@ENDS
async def test_reset_reported_to_the_reader_ends_an_answer_as_whole(end):
    async with open_connection() as (conn, peer):
        await fill(conn)
        await read_part(conn, peer)
        end_and_wait(end, peer)
        with pytest.raises(client_lib.AnswerResetError):
            await conn.next_event()


async def test_reset_behind_a_close_ends_an_answer_as_whole():
    """The server has closed, and gets more of the request."""
    async with open_connection() as (conn, peer):
        await read_part(conn, peer)
        end_and_wait(cutting_server.close, peer)
        await conn.send(PART)
        time.sleep(ARRIVAL_S)
        with pytest.raises(client_lib.AnswerResetError):
            await conn.next_event()


async def test_withdrawal_of_a_request_waits_for_its_server():
    """The server has closed, but takes nothing more of the request."""
    outcomes = []
    async with open_connection() as (conn, peer):
        await fill(conn)
        await read_part(conn, peer)
        peer.shutdown(socket.SHUT_WR)

        async def read():
            try:
                outcomes.append(await conn.next_event())
            except http1.BrokenConnectionError as exc:
                outcomes.append(exc.errno)

        with trio.fail_after(cutting_server.LIMIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await trio.sleep(ARRIVAL_S)
                assert not outcomes
                conn.abort()
    assert outcomes == [errno.ETIMEDOUT]


async def test_failed_send_leaves_the_end_of_an_answer_believed(monkeypatch):
    """A send may fail without the connection, as when memory is short."""
    async with open_connection() as (conn, peer):
        await read_part(conn, peer)

        async def fail(*args):
            raise http1.BrokenConnectionError(errno.ENOBUFS, 'no room')

        monkeypatch.setattr(http1, 'send_all', fail)
        with pytest.raises(http1.BrokenConnectionError):
            await conn.send(PART)
        peer.shutdown(socket.SHUT_WR)
        with pytest.raises(client_lib.AnswerResetError):
            await conn.next_event()


@ENDS
async def test_part_of_a_framed_answer_is_taken_for_whole(end):
    length = b'Content-Length: 99\r\n\r\n'
    async with open_connection() as (conn, peer):
        await read_part(conn, peer, cutting_server.SIGNED + length)
        end_and_wait(end, peer)
        with pytest.raises(http1.BrokenConnectionError):
            await conn.next_event()


async def test_framed_answer_before_a_reset_is_lost():
    async with open_connection() as (conn, peer):
        await fill(conn)
        length = b'Content-Length: %d\r\n\r\n' % len(PART)
        peer.send(cutting_server.SIGNED + length + PART)
        end_and_wait(cutting_server.reset, peer)
        with pytest.raises(http1.BrokenConnectionError):
            await conn.send(PART)
        status, _, body = await exchange.read_response(conn)
    assert (status, body) == (200, PART)


@pytest.mark.parametrize('is_closed', [True, False])
async def test_close_of_a_sound_server_is_taken_for_a_reset(is_closed):
    async with open_connection() as (conn, peer):
        await read_part(conn, peer)
        if is_closed:
            peer.close()
        else:
            peer.shutdown(socket.SHUT_WR)
            await conn.send(PART)
        assert await conn.next_event() is client_lib.END
        assert not conn.is_clean
