"""State of TCP connections."""

import array
import fcntl
import socket
import termios
import typing

import trio

from foxtailpick.core import clock

POLL_INTERVAL_MS = 10.0

Socket = socket.socket | trio.socket.SocketType


def is_disconnected(sock: Socket) -> bool:
    """Tell whether a connection was reset or timed out.

    A connection that the peer has closed in order is not disconnected as
    long as this side has not closed it, too.

    :param sock: a socket that was connected.
    """
    try:
        sock.getpeername()
    except OSError:
        return True
    return False


def count_unacknowledged(sock: Socket) -> int:
    """Return how many bytes were sent, but not acknowledged by the peer.

    :param sock: a socket that was connected.
    """
    count = array.array('i', [0])
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return count[0]


async def wait_acknowledged(
    sock: Socket,
    has_failed: typing.Callable[[], bool],
    is_sending: typing.Callable[[], bool] = lambda: False,
) -> None:
    """Wait until the peer has acknowledged what is sent to it.

    A peer that has closed its connection acknowledges nothing more, and
    resets the connection instead.

    :param sock: a socket that was connected.
    :param has_failed: whether the connection has failed, which ends the wait.
    :param is_sending: whether a send is in progress.
    """
    # The kernel reports no event for an acknowledgement.
    while is_sending() or count_unacknowledged(sock):
        if has_failed():
            return
        await clock.sleep_ms(POLL_INTERVAL_MS)
