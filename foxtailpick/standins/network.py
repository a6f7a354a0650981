"""Network in front of one address: forwards TCP and UDP.

Open connections can be made silent for good while new ones work, as happens
when a device on the path loses its connection state.
"""

import contextlib
import dataclasses
import typing

import trio

LOOPBACK = '127.0.0.1'
RECEIVE_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class _Connection:
    is_silent: bool = False


class Network:
    """Forwards TCP connections and UDP datagrams to one address.

    While `is_partitioned` is set, it closes new connections and drops
    datagrams; open connections are not affected.

    :param target: `host:port` to forward to; may be changed.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ''
        self.is_partitioned = False
        self._connections: list[_Connection] = []

    def silence_open_connections(self) -> int:
        """Drop all further data of the open connections.

        :returns: how many connections were open.
        """
        for connection in self._connections:
            connection.is_silent = True
        return len(self._connections)

    async def serve(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward connections and datagrams until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
            await sock.bind((LOOPBACK, port))
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward_datagrams, sock)
                await trio.serve_listeners(self._forward, listeners)

    async def _forward_datagrams(self, sock: trio.socket.SocketType) -> None:
        while True:
            with contextlib.suppress(OSError):
                data, _ = await sock.recvfrom(RECEIVE_BYTES)
                host, port = self.target.rsplit(':', 1)
                if not self.is_partitioned:
                    await sock.sendto(data, (host, int(port)))

    async def _forward(self, client: trio.SocketStream) -> None:
        if self.is_partitioned:
            await client.aclose()
            return
        host, port = self.target.rsplit(':', 1)
        connection = _Connection()
        self._connections.append(connection)
        try:
            async with (
                client,
                await trio.open_tcp_stream(host, int(port)) as server,
            ):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        _pump, client, server, connection, nursery.cancel_scope
                    )
                    await _pump(
                        server, client, connection, nursery.cancel_scope
                    )
        except OSError:
            pass
        finally:
            self._connections.remove(connection)


async def _pump(
    source: trio.SocketStream,
    sink: trio.SocketStream,
    connection: _Connection,
    scope: trio.CancelScope,
) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await source.receive_some(RECEIVE_BYTES):
            if not connection.is_silent:
                await sink.send_all(data)
    # A silent connection does not forward the close of either side.
    if connection.is_silent:
        await trio.sleep_forever()
    scope.cancel()


@contextlib.asynccontextmanager
async def open_network(target: str) -> typing.AsyncIterator[Network]:
    """Run a network until the context exits.

    :param target: `host:port` to forward to.
    """
    network = Network(target)
    async with trio.open_nursery() as nursery:
        await nursery.start(network.serve)
        yield network
        nursery.cancel_scope.cancel()
