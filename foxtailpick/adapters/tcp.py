"""State of TCP connections."""

import socket

import trio


def is_disconnected(sock: socket.socket | trio.socket.SocketType) -> bool:
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
