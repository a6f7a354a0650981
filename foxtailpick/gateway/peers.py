"""Exchanges in-flight counts with the other routers over UDP.

A lost datagram is superseded by the next one; on a connection, newer
counts would queue behind its retransmission.
"""

import dataclasses
import socket
import typing

import cbor2
import trio

from foxtailpick.core.dispatch import announcements
from foxtailpick.core.dispatch import crash_records
from foxtailpick.core.dispatch import crash_reports
from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rate_limits
from foxtailpick.core.dispatch import unlisted_routers
from foxtailpick.core import types
from foxtailpick.gateway import announced
from foxtailpick.gateway import context
from foxtailpick.gateway import load_watch
from foxtailpick.gateway import memory_messages
from foxtailpick.gateway import overload_exchange
from foxtailpick.gateway import pace_messages
from foxtailpick.gateway import peer_messages
from foxtailpick.gateway import quarantine
from foxtailpick.gateway import rollout_exchange

MAX_DATAGRAM_BYTES = 65_507
# Outcomes of requests are applied at the usual interval of the exchange, less
# its jitter.
MIN_OUTCOMES_INTERVAL_MS = 0.8 * load_exchange.INTERVAL_MS
# Message kinds. Unknown ones are ignored, so that routers of different
# versions interoperate; kinds 0 and 1 carried no failure counts.
_KIND_COUNTS = 2
_KIND_TOTALS = 3
_KIND_REDIRECT = 4
_KIND_PARTS = 5
_KIND_PART_TOTALS = 6
_KIND_REQUESTS = 7
_KIND_REQUEST_TOTALS = 8
_KIND_QUERY = 9
_KIND_DEPARTURES = 10
_KIND_DEPARTURE_TOTALS = 11
_KIND_LIMITS = 12
_KIND_LIMIT_TOTALS = 13
# A hub asks so many of the routers that don't report to it at a time.
MAX_QUERIES = 4


@dataclasses.dataclass(slots=True)
class _CrashExchange:
    """Exchange of the evidence about signatures of one kind.

    :param records: what this router knows.
    :param report_kind: message kind of the reports.
    :param totals_kind: message kind of the totals.
    :param hub_reports: reports of all routers, if this one is the hub.
    :param pacer: paces the reports.
    :param totals_pacer: paces the totals.
    :param sent: number of totals sent as the hub.
    :param received: number of the totals received last.
    """

    records: crash_records.CrashRecords
    report_kind: int
    totals_kind: int
    hub_reports: crash_reports.HubCrashReports
    pacer: crash_reports.Pacer = dataclasses.field(
        default_factory=crash_reports.Pacer
    )
    totals_pacer: crash_reports.Pacer = dataclasses.field(
        default_factory=crash_reports.Pacer
    )
    sent: int = 0
    received: int | None = None

    @classmethod
    def from_records(
        cls,
        records: crash_records.CrashRecords,
        report_kind: int,
        totals_kind: int,
    ) -> '_CrashExchange':
        """Return the exchange of some records."""
        hub_reports = crash_reports.HubCrashReports(records.policy)
        return cls(records, report_kind, totals_kind, hub_reports)

    @property
    def is_split(self) -> bool:
        """Whether messages are split; earlier versions expect whole ones."""
        return self.report_kind != _KIND_PARTS


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
        self._load_watch = load_watch.LoadWatch(gw)
        self._overload = overload_exchange.OverloadExchange(gw)
        self._outcomes_ms = 0.0
        self._crash_exchanges = (
            _CrashExchange.from_records(
                gw.part_records, _KIND_PARTS, _KIND_PART_TOTALS
            ),
            _CrashExchange.from_records(
                gw.request_records, _KIND_REQUESTS, _KIND_REQUEST_TOTALS
            ),
        )
        self._departures = announcements.HubDepartures()
        self._limits = rate_limits.HubLimits()
        self._limits_ms = 0.0
        self._paces = pace_messages.PaceMessages(gw)
        self._memory = memory_messages.MemoryMessages(gw)
        self.rollouts: rollout_exchange.RolloutExchange | None = None
        self._departures_pacer = crash_reports.Pacer()
        self._departure_totals_pacer = crash_reports.Pacer()
        # Addresses that reports came from. A router that has just started
        # may not be listed yet.
        self._reporters: dict[types.RouterId, model.Address] = {}
        self._report_numbers: dict[types.RouterId, int] = {}
        self._unlisted = unlisted_routers.UnlistedRouters()

    def __enter__(self) -> 'PeerExchange':
        return self

    def __exit__(self, *exc_info: typing.Any) -> None:
        self._sock.close()

    @property
    def is_hub(self) -> bool:
        """Whether this router is the hub, or the only one."""
        gw = self._gw
        return gw.state.router_count < 2 or (
            self._hub_selector.hub == gw.cfg.name
        )

    async def run(self) -> None:
        """Send and receive until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                interval_ms = load_exchange.compute_interval_ms(
                    self._gw.state.router_count,
                    self._load_watch.needs_fresh_counts(),
                )
                pause_ms = interval_ms * self._gw.rng.uniform(0.9, 1.1)
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
            for crashes in self._crash_exchanges:
                crashes.pacer.reset()
            if self.rollouts is not None:
                self.rollouts.repeat_all()
        if hub is None:
            return
        number, counts = self._sent_counts.next_counts(gw.state.table)
        outcomes = self._sent_counts.collect_outcomes(gw.state.table, now_ms)
        departures = announced.make_report(gw, now_ms)
        limits = announced.make_limit_report(gw, now_ms)
        if hub != gw.cfg.name:
            data = cbor2.dumps(
                [_KIND_COUNTS, gw.cfg.name, number, counts, outcomes]
            )
            await self._send_to(data, routers[hub].address)
            for crashes in self._crash_exchanges:
                await self._send_crash_report(
                    crashes, number, routers[hub].address, now_ms
                )
            if self._departures_pacer.is_due(departures, now_ms):
                data = cbor2.dumps(
                    [_KIND_DEPARTURES, gw.cfg.name, number, departures]
                )
                await self._send_to(data, routers[hub].address)
            if limits:
                data = cbor2.dumps([_KIND_LIMITS, gw.cfg.name, number, limits])
                await self._send_to(data, routers[hub].address)
            for data in (
                *self._overload.make_reports(number),
                *self._paces.make_reports(now_ms),
                *self._memory.make_reports(now_ms),
            ):
                await self._send_to(data, routers[hub].address)
            if self.rollouts is not None:
                for data in self.rollouts.make_reports(now_ms):
                    await self._send_to(data, routers[hub].address)
            return
        self._hub_selector.record_message(now_ms)
        self._hub_reports.record(hub, number, counts, now_ms, outcomes)
        await self._send_totals(now_ms)
        await self._send_queries(number, routers)
        for crashes in self._crash_exchanges:
            report = crashes.records.make_report(now_ms)
            crashes.hub_reports.record(hub, report, now_ms)
            await self._send_crash_totals(crashes, now_ms)
        self._departures.record(hub, departures or (), now_ms)
        await self._send_departure_totals(now_ms)
        self._limits.record(hub, limits, now_ms)
        await self._send_limit_totals(now_ms)
        for router, data in (
            *self._overload.make_totals(number),
            *self._paces.make_totals(now_ms),
            *self._memory.make_totals(now_ms),
        ):
            if router in self._reporters:
                await self._send_to(data, self._reporters[router])
        await self._send_rollout_totals(now_ms)

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

    async def _send_queries(
        self,
        number: int,
        routers: typing.Mapping[types.RouterId, model.RouterEntry],
    ) -> None:
        """Ask routers that don't report what they know of crashes.

        They read of a new router some seconds later than it reads of them.
        If it is to be the hub, it would know nothing until then.
        """
        reporting = {name for name, _ in self._hub_reports.list_routers()}
        silent = [name for name in routers if name not in reporting]
        if not silent:
            return
        first = number * MAX_QUERIES % len(silent)
        count = min(MAX_QUERIES, len(silent))
        data = cbor2.dumps([_KIND_QUERY, self._gw.cfg.name, number])
        for name in [*silent, *silent][first : first + count]:
            await self._send_to(data, routers[name].address)

    async def _answer_query(self, number: int, address: model.Address) -> None:
        for crashes in self._crash_exchanges:
            report = crashes.records.make_report(self._gw.now_ms())
            if report is not None:
                await self._send_pieces(crashes, number, report, address)

    async def _send_crash_report(
        self,
        crashes: _CrashExchange,
        number: int,
        address: model.Address,
        now_ms: float,
    ) -> None:
        report = crashes.records.make_report(now_ms)
        if not crashes.pacer.is_due(report, now_ms):
            return
        await self._send_pieces(crashes, number, report, address)

    async def _send_pieces(
        self,
        crashes: _CrashExchange,
        number: int,
        report: list[typing.Any] | None,
        address: model.Address,
    ) -> None:
        pieces = [report]
        if report is not None and crashes.is_split:
            pieces = crash_reports.split_message(report)
        for piece in pieces:
            data = cbor2.dumps(
                [crashes.report_kind, self._gw.cfg.name, number, piece]
            )
            await self._send_to(data, address)

    async def _send_crash_totals(
        self, crashes: _CrashExchange, now_ms: float
    ) -> None:
        totals = crashes.hub_reports.merge(now_ms)
        if totals is None or not crashes.totals_pacer.is_due(totals, now_ms):
            return
        gw = self._gw
        crashes.sent += 1
        pieces = [totals]
        if crashes.is_split:
            pieces = [
                piece for (piece,) in crash_reports.split_message([totals])
            ]
        for router, _ in self._hub_reports.list_routers():
            if router == gw.cfg.name:
                self._apply_crash_totals(crashes, totals, crashes.sent, now_ms)
            elif router in self._reporters:
                for piece in pieces:
                    data = cbor2.dumps(
                        [crashes.totals_kind, gw.cfg.name, crashes.sent, piece]
                    )
                    await self._send_to(data, self._reporters[router])

    def _apply_crash_totals(
        self,
        crashes: _CrashExchange,
        totals: dict[typing.Any, typing.Any],
        number: int,
        now_ms: float,
    ) -> None:
        is_continued = crashes.is_split and number == crashes.received
        crashes.received = number
        changes = crashes.records.apply_totals(totals, now_ms, is_continued)
        quarantine.apply_changes(self._gw, crashes.records, changes)

    def _welcome(
        self, router: types.RouterId, number: int, address: model.Address
    ) -> None:
        """Note where a router is; tell one that has started what is known."""
        before = self._reporters.get(router)
        self._reporters[router] = address
        last_number = self._report_numbers.get(router, 0)
        self._report_numbers[router] = number
        if before == address and number >= last_number:
            return
        for crashes in self._crash_exchanges:
            crashes.totals_pacer.reset()

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

    async def _send_limit_totals(self, now_ms: float) -> None:
        if now_ms - self._limits_ms < rate_limits.TOTALS_INTERVAL_MS:
            return
        totals = self._limits.merge(now_ms)
        if not totals:
            return
        self._limits_ms = now_ms
        gw = self._gw
        reporters = self._limits.router_count
        data = cbor2.dumps(
            [_KIND_LIMIT_TOTALS, gw.cfg.name, reporters, totals]
        )
        for router, _ in self._hub_reports.list_routers():
            if router == gw.cfg.name:
                announced.apply_limits(gw, totals, reporters)
            elif router in self._reporters:
                await self._send_to(data, self._reporters[router])

    async def _send_rollout_totals(self, now_ms: float) -> None:
        if self.rollouts is None:
            return
        for data in self.rollouts.make_totals(now_ms):
            for router, _ in self._hub_reports.list_routers():
                if router in self._reporters:
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
                message = peer_messages.check_head(peer_messages.decode(data))
                self._check_sender(message, len(data))
                await self._handle_message(message, address)
            except (OSError, ValueError) as exc:
                self._gw.metrics.count('peer_messages_bad')
                self._gw.log.emit_request('peer-message-bad', why=repr(exc))

    def _check_sender(self, message: list[typing.Any], size: int) -> None:
        """Check whether what a message says may be kept.

        :raises ValueError: if too much is kept of routers not listed.
        """
        kind, router = message[:2]
        if router in self._gw.state.list_routers():
            self._unlisted.record_listed(router)
        elif not (
            isinstance(kind, int) and self._unlisted.admit(router, kind, size)
        ):
            raise ValueError(
                f'expected a listed router, got {router!r:.80} beside many '
                f'others that are not listed'
            )

    async def _handle_message(
        self, message: list[typing.Any], address: model.Address
    ) -> None:
        kind, router, number, *contents = message
        now_ms = self._gw.now_ms()
        if kind == _KIND_COUNTS:
            counts, outcomes = peer_messages.check_sums(contents, 2)
            self._welcome(router, number, address)
            self._hub_reports.record(router, number, counts, now_ms, outcomes)
            hub = self._hub_selector.hub
            if hub is not None and hub != self._gw.cfg.name:
                name = self._gw.cfg.name
                data = cbor2.dumps([_KIND_REDIRECT, name, number, hub])
                await self._send_to(data, address)
        elif kind == _KIND_TOTALS and router == self._hub_selector.hub:
            packed = peer_messages.get_only(contents, bytes)
            sums, outcomes = peer_messages.check_sums(
                peer_messages.decode(packed), 3
            )
            self._hub_selector.record_message(now_ms)
            self._apply_totals(sums, outcomes, number, now_ms)
        elif kind == _KIND_DEPARTURES:
            departures = announcements.decode_departures(
                peer_messages.get_only(contents)
            )
            self._departures.record(router, departures, now_ms)
        elif (
            kind == _KIND_DEPARTURE_TOTALS and router == self._hub_selector.hub
        ):
            departures = announcements.decode_departures(
                peer_messages.get_only(contents)
            )
            announced.apply_departures(self._gw, departures)
        elif kind == _KIND_LIMITS:
            statements = rate_limits.decode_statements(
                peer_messages.get_only(contents)
            )
            self._limits.record(router, statements, now_ms)
        elif kind == _KIND_LIMIT_TOTALS and router == self._hub_selector.hub:
            statements = rate_limits.decode_statements(
                peer_messages.get_only(contents)
            )
            # Earlier versions send 0 for the number of routers.
            reporters = peer_messages.check_count(number) or None
            announced.apply_limits(self._gw, statements, reporters)
        elif kind == overload_exchange.REPORT_KIND:
            self._overload.record_report(
                router, number, peer_messages.get_only(contents)
            )
        elif (
            kind == overload_exchange.TOTALS_KIND
            and router == self._hub_selector.hub
        ):
            self._overload.apply_totals(
                number, peer_messages.get_only(contents)
            )
        elif kind == pace_messages.REPORT:
            self._paces.handle_report(router, number, contents, now_ms)
        elif kind == pace_messages.TOTALS and router == self._hub_selector.hub:
            self._paces.handle_totals(number, contents, now_ms)
        elif kind == memory_messages.REPORT:
            self._memory.handle_report(router, number, contents, now_ms)
        elif (
            kind == memory_messages.TOTALS and router == self._hub_selector.hub
        ):
            self._memory.handle_totals(number, contents, now_ms)
        elif kind == _KIND_REDIRECT:
            hub = types.RouterId(peer_messages.get_only(contents, str))
            self._hub_selector.record_redirect(router, hub)
        elif kind == _KIND_QUERY:
            await self._answer_query(number, address)
        if self.rollouts is not None:
            is_hub = router == self._hub_selector.hub
            self.rollouts.handle(kind, router, contents, is_hub, now_ms)
        for crashes in self._crash_exchanges:
            policy = crashes.records.policy
            if kind == crashes.report_kind:
                report = peer_messages.get_only(contents)
                crash_reports.check_report(report, policy)
                crashes.hub_reports.record(
                    router,
                    report,
                    now_ms,
                    number if crashes.is_split else None,
                )
            elif (
                kind == crashes.totals_kind
                and router == self._hub_selector.hub
            ):
                totals = peer_messages.get_only(contents)
                crash_reports.check_totals(totals, policy)
                self._apply_crash_totals(crashes, totals, number, now_ms)

    def _apply_totals(
        self,
        sums: load_exchange.Counts,
        outcomes: typing.Mapping[types.EndpointId, typing.Any],
        number: int,
        now_ms: float,
    ) -> None:
        gw = self._gw
        self._sent_counts.apply_counts(gw.state.table, sums, number, now_ms)
        self._load_watch.report()
        # Ejection counts messages, which come faster at times.
        if now_ms - self._outcomes_ms < MIN_OUTCOMES_INTERVAL_MS:
            return
        self._outcomes_ms = now_ms
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
