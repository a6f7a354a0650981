"""Network between routers and one sidecar: forwards TCP and UDP.

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
class _Passage:
    is_silent: bool = False


class Network:
    """Forwards TCP connections and UDP datagrams to one address.

    :param target: `host:port` to forward to; may be changed.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ''
        self.is_cut = False
        self._passages: list[_Passage] = []

    def silence_open(self) -> int:
        """Drop all further data of the open connections.

        :returns: how many connections were open.
        """
        for passage in self._passages:
            passage.is_silent = True
        return len(self._passages)

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
                if not self.is_cut:
                    await sock.sendto(data, (host, int(port)))

    async def _forward(self, near: trio.SocketStream) -> None:
        if self.is_cut:
            await near.aclose()
            return
        host, port = self.target.rsplit(':', 1)
        passage = _Passage()
        self._passages.append(passage)
        try:
            async with (
                near,
                await trio.open_tcp_stream(host, int(port)) as far,
            ):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        _pump, near, far, passage, nursery.cancel_scope
                    )
                    await _pump(far, near, passage, nursery.cancel_scope)
        except OSError:
            pass
        finally:
            self._passages.remove(passage)


async def _pump(
    source: trio.SocketStream,
    sink: trio.SocketStream,
    passage: _Passage,
    scope: trio.CancelScope,
) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await source.receive_some(RECEIVE_BYTES):
            if not passage.is_silent:
                await sink.send_all(data)
    # A silent connection does not forward the close of either side.
    if passage.is_silent:
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
