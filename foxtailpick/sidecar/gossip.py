"""Exchanges load reports with peers of the pool over UDP.

A lost report does no harm, and connections to the random peers of each
round would cost more than the reports.
"""

import random
import typing

from loguru import logger
import trio

from foxtailpick.core import clock as clock_lib
from foxtailpick.core import load_gossip
from foxtailpick.core import types
from foxtailpick.sidecar import pool_load

MAX_DATAGRAM_BYTES = 1_400
# Keeps peers that started together from sending in lockstep.
JITTER = 0.2


class Gossip:
    """Owns the datagram socket of a sidecar.

    :param load: makes the reports to send and processes received ones.
    :param host: IP address to bind.
    :param port: UDP port, the same as the TCP port of the sidecar.
    :param rng: random source for jitter.
    :param is_counted: returns whether the endpoint counts in the mean at a
        given time.
    """

    def __init__(
        self,
        load: pool_load.PoolLoad,
        host: str,
        port: int,
        rng: random.Random,
        is_counted: typing.Callable[[float], bool],
    ) -> None:
        self._load = load
        self._address = (host, port)
        self._rng = rng
        self._is_counted = is_counted
        self._clock = clock_lib.Clock.from_trio()
        self._fallen = trio.Event()
        self.sent_bytes = 0
        load.on_fall = self._note_fall

    async def run(self) -> None:
        """Send and receive reports until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
            await sock.bind(self._address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send, sock)
                await self._receive(sock)

    def _note_fall(self) -> None:
        self._fallen.set()

    async def _wait(self) -> None:
        """Wait until the next report is due, or the load has fallen."""
        spread = self._rng.uniform(1 - JITTER, 1 + JITTER)
        interval_ms = load_gossip.REPORT_INTERVAL_MS * spread
        await clock_lib.sleep_ms(load_gossip.MIN_REPORT_INTERVAL_MS)
        remaining_ms = interval_ms - load_gossip.MIN_REPORT_INTERVAL_MS
        with trio.move_on_after(remaining_ms / types.SECOND_MS):
            await self._fallen.wait()
        self._fallen = trio.Event()

    async def _send(self, sock: trio.socket.SocketType) -> None:
        while True:
            await self._wait()
            now_ms = self._clock.now()
            data, addresses = self._load.prepare_report(
                self._is_counted(now_ms), now_ms
            )
            for address in addresses:
                await self._send_datagram(sock, data, address)

    async def _send_datagram(
        self, sock: trio.socket.SocketType, data: bytes, address: str
    ) -> None:
        host, port = address.rsplit(':', 1)
        try:
            await sock.sendto(data, (host, int(port)))
            self.sent_bytes += len(data)
        except OSError as exc:
            logger.debug('LOAD report not sent to {}. {}', address, exc)

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # An unreachable peer shows as an error of the next receive.
                logger.debug('LOAD receive failed. {}', exc)
                continue
            self._load.process_datagram(data, self._clock.now())
