"""Keeps in the store which endpoints announced that they leave.

Routers tell each other of departures, but all of them may restart before the
store lists one. What is kept ends with its lease: a wrong report isn't
believed for longer than one of another router.
"""

import functools

import trio

from foxtailpick.core.dispatch import announcements
from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import mirror as mirror_lib
from foxtailpick.gateway import store_layout

# Departures in one write; the store takes 32 entries.
MAX_WRITTEN = 32


class DepartureKeeper:
    """Writes the departures that this router reads, and reads all at start.

    :param gw: the gateway.
    :param mirror: calls the store.
    :param store: client of the store.
    :param layout: where the store keeps departures.
    :param min_lease_ms: shortest lease that the store grants.
    """

    def __init__(
        self,
        gw: context.Gateway,
        mirror: mirror_lib.Mirror,
        store: mirror_lib.Store,
        layout: store_layout.StoreLayout,
        min_lease_ms: float,
    ) -> None:
        self._gw = gw
        self._mirror = mirror
        self._store = store
        self._layout = layout
        self._lease_ms = max(announcements.REPEAT_MS, min_lease_ms)

    async def run(self) -> None:
        """Keep departures until cancelled; idle while there are none."""
        await self._mirror.call(self._read)
        gw = self._gw
        while True:
            await gw.departure_read.wait()
            gw.departure_read = trio.Event()
            while gw.departures:
                departures = list(gw.departures)[:MAX_WRITTEN]
                await self._mirror.call(
                    functools.partial(self._write, departures)
                )
                gw.departures.difference_update(departures)

    async def _read(self) -> None:
        gw = self._gw
        snapshot = await self._store.read_snapshot(
            self._layout.departure_prefix
        )
        for item in self._mirror.decode_entries(snapshot):
            if not isinstance(item, model.DepartureItem):
                continue
            if gw.state.table.record_departure(item.endpoint, gw.now_ms()):
                name, started = item.endpoint
                gw.metrics.count('endpoint_departures_kept')
                gw.log.emit(
                    'endpoint-leaving',
                    endpoint=name,
                    started=started,
                    source='store',
                )

    async def _write(
        self, departures: list[model.EndpointIncarnation]
    ) -> None:
        lease: types.LeaseId = await self._store.grant_lease(self._lease_ms)
        await self._store.transact(
            [],
            [
                self._layout.encode_departure(endpoint, lease)
                for endpoint in departures
            ],
        )
        self._gw.metrics.count('departure_writes')
