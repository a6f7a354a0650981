"""Exchanges in-flight counts with the other routers over UDP.

A lost datagram is superseded by the next one; on a connection, newer
counts would queue behind its retransmission.
"""

import socket
import typing

import cbor2
import trio

from foxtailpick.core.dispatch import announcements
from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import prompt_reports
from foxtailpick.core import types
from foxtailpick.gateway import announced
from foxtailpick.gateway import context
from foxtailpick.gateway import quarantine

# Under the usual load an engine starts about one request in this time, so
# a shorter interval would hardly improve the counts.
EXCHANGE_INTERVAL_MS = 150.0
MAX_DATAGRAM_BYTES = 65_507
# Message kinds. Unknown ones are ignored, so that routers of different
# versions interoperate; kinds 0 and 1 carried no failure counts.
_KIND_COUNTS = 2
_KIND_TOTALS = 3
_KIND_REDIRECT = 4
_KIND_PROMPTS = 5
_KIND_PROMPT_TOTALS = 6
_KIND_DEPARTURES = 7
_KIND_DEPARTURE_TOTALS = 8


class PeerExchange:
    """Load exchange of one router; a context manager that owns the socket.

    Each router sends its counts to the hub, one of the routers, which
    sends the totals back to all.

    :param gw: the gateway.
    :param sock: a bound datagram socket.
    """

    def __init__(
        self, gw: context.Gateway, sock: trio.socket.SocketType
    ) -> None:
        self._gw = gw
        self._sock = sock
        self._hub_reports = load_exchange.HubReports()
        self._hub_selector = load_exchange.HubSelector()
        self._sent_counts = load_exchange.SentCounts()
        self._prompt_reports = prompt_reports.HubPromptReports()
        self._prompt_pacer = prompt_reports.Pacer()
        self._prompt_totals_pacer = prompt_reports.Pacer()
        self._departures = announcements.HubDepartures()
        self._departures_pacer = prompt_reports.Pacer()
        self._departure_totals_pacer = prompt_reports.Pacer()
        # Addresses that reports came from. A router that has just started
        # may not be listed yet.
        self._reporters: dict[types.RouterId, model.Address] = {}

    def __enter__(self) -> 'PeerExchange':
        return self

    def __exit__(self, *exc_info: typing.Any) -> None:
        self._sock.close()

    async def run(self) -> None:
        """Send and receive until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                pause_ms = EXCHANGE_INTERVAL_MS * self._gw.rng.uniform(
                    0.9, 1.1
                )
                await trio.sleep(pause_ms / types.SECOND_MS)
                await self._send()

    async def _send(self) -> None:
        gw = self._gw
        routers = gw.state.list_routers()
        if len(routers) < 2:
            return
        now_ms = gw.now_ms()
        shares = {key: peer.processor_share for key, peer in routers.items()}
        before = self._hub_selector.hub
        hub = self._hub_selector.choose(shares, gw.cfg.name, now_ms)
        if hub != before:
            gw.log.emit('hub-changed', hub=hub, before=before)
        if hub is None:
            return
        number, counts = self._sent_counts.next_counts(gw.state.table)
        outcomes = self._sent_counts.collect_outcomes(gw.state.table, now_ms)
        prompts = gw.prompts.make_report(now_ms)
        departures = announced.make_report(gw, now_ms)
        if hub != gw.cfg.name:
            data = cbor2.dumps(
                [_KIND_COUNTS, gw.cfg.name, number, counts, outcomes]
            )
            await self._send_to(data, routers[hub].address)
            if self._prompt_pacer.is_due(prompts, now_ms):
                data = cbor2.dumps(
                    [_KIND_PROMPTS, gw.cfg.name, number, prompts]
                )
                await self._send_to(data, routers[hub].address)
            if self._departures_pacer.is_due(departures, now_ms):
                data = cbor2.dumps(
                    [_KIND_DEPARTURES, gw.cfg.name, number, departures]
                )
                await self._send_to(data, routers[hub].address)
            return
        self._hub_selector.record_message(now_ms)
        self._hub_reports.record(hub, number, counts, now_ms, outcomes)
        self._prompt_reports.record(hub, prompts, now_ms)
        self._departures.record(hub, departures or (), now_ms)
        await self._send_totals(now_ms)
        await self._send_prompt_totals(now_ms)
        await self._send_departure_totals(now_ms)

    async def _send_totals(self, now_ms: float) -> None:
        gw = self._gw
        sums = self._hub_reports.sum_counts(now_ms)
        outcomes = self._hub_reports.sum_outcomes()
        packed = cbor2.dumps([sums, outcomes])
        for router, number in self._hub_reports.list_routers():
            if router == gw.cfg.name:
                self._apply_totals(sums, outcomes, number, now_ms)
            elif router in self._reporters:
                data = cbor2.dumps([_KIND_TOTALS, gw.cfg.name, number, packed])
                await self._send_to(data, self._reporters[router])

    async def _send_prompt_totals(self, now_ms: float) -> None:
        totals = self._prompt_reports.merge(now_ms)
        if totals is None or not self._prompt_totals_pacer.is_due(
            totals, now_ms
        ):
            return
        gw = self._gw
        data = cbor2.dumps([_KIND_PROMPT_TOTALS, gw.cfg.name, 0, totals])
        for router, _ in self._hub_reports.list_routers():
            if router == gw.cfg.name:
                quarantine.apply_changes(
                    gw, gw.prompts.apply_totals(totals, now_ms)
                )
            elif router in self._reporters:
                await self._send_to(data, self._reporters[router])

    async def _send_departure_totals(self, now_ms: float) -> None:
        totals = self._departures.merge(now_ms)
        if not self._departure_totals_pacer.is_due(totals, now_ms):
            return
        gw = self._gw
        data = cbor2.dumps([_KIND_DEPARTURE_TOTALS, gw.cfg.name, 0, totals])
        for router, _ in self._hub_reports.list_routers():
            if router == gw.cfg.name:
                announced.apply_departures(gw, totals or ())
            elif router in self._reporters:
                await self._send_to(data, self._reporters[router])

    async def _send_to(self, data: bytes, address: model.Address) -> None:
        try:
            await self._sock.sendto(data, address)
        except OSError as exc:
            # The next message carries the complete counts again.
            self._gw.metrics.count('peer_sends_failed')
            self._gw.log.emit_request('peer-send-failed', why=str(exc))

    async def _receive(self) -> None:
        while True:
            try:
                data, address = await self._sock.recvfrom(MAX_DATAGRAM_BYTES)
                await self._handle_message(cbor2.loads(data), address)
            except (OSError, ValueError, TypeError) as exc:
                self._gw.metrics.count('peer_messages_bad')
                self._gw.log.emit_request('peer-message-bad', why=repr(exc))

    async def _handle_message(
        self, message: typing.Any, address: model.Address
    ) -> None:
        kind, router, number, *contents = message
        now_ms = self._gw.now_ms()
        if kind == _KIND_COUNTS:
            counts, outcomes = contents
            self._reporters[router] = address
            self._hub_reports.record(
                router, number, dict(counts), now_ms, dict(outcomes)
            )
            hub = self._hub_selector.hub
            if hub is not None and hub != self._gw.cfg.name:
                name = self._gw.cfg.name
                data = cbor2.dumps([_KIND_REDIRECT, name, number, hub])
                await self._send_to(data, address)
        elif kind == _KIND_TOTALS and router == self._hub_selector.hub:
            self._hub_selector.record_message(now_ms)
            sums, outcomes = cbor2.loads(contents[0])
            self._apply_totals(sums, outcomes, number, now_ms)
        elif kind == _KIND_PROMPTS:
            prompt_reports.check_report(contents[0])
            self._prompt_reports.record(router, contents[0], now_ms)
        elif kind == _KIND_PROMPT_TOTALS and router == self._hub_selector.hub:
            prompt_reports.check_totals(contents[0])
            quarantine.apply_changes(
                self._gw, self._gw.prompts.apply_totals(contents[0], now_ms)
            )
        elif kind == _KIND_DEPARTURES:
            departures = announcements.decode_departures(contents[0])
            self._departures.record(router, departures, now_ms)
        elif (
            kind == _KIND_DEPARTURE_TOTALS and router == self._hub_selector.hub
        ):
            departures = announcements.decode_departures(contents[0])
            announced.apply_departures(self._gw, departures)
        elif kind == _KIND_REDIRECT:
            self._hub_selector.record_redirect(router, contents[0])

    def _apply_totals(
        self,
        sums: load_exchange.Counts,
        outcomes: typing.Mapping[types.EndpointId, typing.Any],
        number: int,
        now_ms: float,
    ) -> None:
        gw = self._gw
        self._sent_counts.apply_counts(gw.state.table, sums, number, now_ms)
        for item in self._sent_counts.apply_outcomes(
            gw.state.table, outcomes, now_ms
        ):
            shared = item.shared_outcomes
            gw.log.emit(
                'endpoint-left-out' if item.is_ejected else 'endpoint-back',
                endpoint=item.id,
                failed=shared.failed if shared else None,
                answered=shared.answered if shared else None,
                reporters=shared.reporters if shared else None,
                own_failed=round(item.health.failed_requests, 1),
                own_answered=round(item.health.started_answers, 1),
            )


def open_socket(address: model.Address) -> trio.socket.SocketType:
    """Open a bound datagram socket.

    :param address: IP address and port.
    """
    sock = trio.socket.socket(type=socket.SOCK_DGRAM)
    # A numeric address needs no name resolution, so a synchronous bind
    # does not block.
    sock._sock.bind(address)
    return sock
