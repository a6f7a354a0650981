"""TCP proxy on loopback that injects network faults."""

import contextlib
import enum
import socket
import struct
import typing

import trio

from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import http1

# SO_LINGER with a zero timeout: closing the socket sends a reset.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
BACKLOG = 256
# Connections that fill the shortest accept queue: the first may still be
# accepted, the second is queued, and the third is dropped.
FILLERS = 3
FILLER_INTERVAL_MS = 3.0


class Fault(enum.Enum):
    """A network fault.

    `DELAY` delays each chunk of data and `RESET` resets all connections.
    `SILENT` stalls the connections that are open at that moment for good,
    while new ones work; `BLACK_HOLE` stalls all connections while it lasts,
    and `ONE_WAY` only the data sent to clients.
    """

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    ONE_WAY = 'one-way'
    BLACK_HOLE = 'black-hole'


class Proxy:
    """Forwards connections to one address.

    :param target: address to forward to.
    """

    def __init__(self, target: model.Address) -> None:
        self._target = target
        self._sock = http1.listen(('127.0.0.1', 0), BACKLOG)
        self._epoch = 0
        self._open: set[trio.socket.SocketType] = set()
        self.address: model.Address = self._sock.getsockname()
        self.fault = Fault.NONE
        self.delay_ms = 0.0
        self._accepting = trio.CancelScope()
        self._down_ms = 0.0
        self._accepts = trio.Event()
        self._accepts.set()

    def set_fault(self, fault: Fault, delay_ms: float = 0.0) -> None:
        """Start a fault, or end it with `NONE`.

        :param fault: the fault.
        :param delay_ms: delay of each chunk of data, whatever the fault.
        """
        if fault is Fault.SILENT:
            self._epoch += 1
            fault = Fault.NONE
        if fault is Fault.RESET:
            for sock in list(self._open):
                _reset(sock)
        self.fault = fault
        self.delay_ms = delay_ms

    def crash(self, down_ms: float) -> None:
        """Close all connections, and refuse new ones for some time.

        :param down_ms: how long.
        """
        self._down_ms = down_ms
        self._accepting.cancel()
        for sock in list(self._open):
            _reset(sock)

    @contextlib.asynccontextmanager
    async def hold_connects(self) -> typing.AsyncIterator[None]:
        """Let attempts to connect hang meanwhile, as with a full backlog.

        Open connections are not affected.
        """
        self._accepts = trio.Event()
        self._sock.listen(0)
        with contextlib.ExitStack() as stack:
            try:
                for _ in range(FILLERS):
                    filler = stack.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(self.address)
                    await trio.sleep(FILLER_INTERVAL_MS / types.SECOND_MS)
                yield
            finally:
                self._sock.listen(BACKLOG)
                self._accepts.set()

    async def serve(self) -> None:
        """Forward connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with self._sock, trio.CancelScope() as self._accepting:
                    while True:
                        await self._accepts.wait()
                        client, _ = await self._sock.accept()
                        nursery.start_soon(self._serve_one, client)
                # Bound but not listening: connections are refused, and no
                # other process gets the port.
                self._sock = trio.socket.socket()
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                )
                await self._sock.bind(self.address)
                await trio.sleep(self._down_ms / types.SECOND_MS)
                self._sock.listen(BACKLOG)

    async def _serve_one(self, client: trio.socket.SocketType) -> None:
        if self.fault is Fault.RESET:
            _reset(client)
            return
        server = trio.socket.socket()
        socks = {client, server}
        self._open |= socks
        try:
            with client, server:
                await server.connect(self._target)
                async with trio.open_nursery() as nursery:
                    epoch = self._epoch
                    nursery.start_soon(
                        self._pump, client, server, epoch, False, nursery
                    )
                    nursery.start_soon(
                        self._pump, server, client, epoch, True, nursery
                    )
        except (OSError, trio.ClosedResourceError):
            # The target does not accept connections; the client sees a close.
            return
        finally:
            self._open -= socks

    async def _pump(
        self,
        source: trio.socket.SocketType,
        sink: trio.socket.SocketType,
        epoch: int,
        is_response: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while True:
                data = await source.recv(65_536)
                while self._is_stalled(epoch, is_response):
                    await trio.sleep(0.02)
                if not data:
                    break
                if self.delay_ms:
                    await trio.sleep(self.delay_ms / types.SECOND_MS)
                await http1.send_all(sink, data)
        except (OSError, trio.ClosedResourceError):
            # One side failed; reset the other as well.
            _reset(sink)
        nursery.cancel_scope.cancel()

    def _is_stalled(self, epoch: int, is_response: bool) -> bool:
        if epoch != self._epoch or self.fault is Fault.BLACK_HOLE:
            return True
        return self.fault is Fault.ONE_WAY and is_response


def _reset(sock: typing.Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        # The socket is already closed.
        return
    sock.close()
