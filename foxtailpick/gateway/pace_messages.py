"""Messages between routers about the pace of endpoints."""

import math
import typing

import cbor2

from foxtailpick.core.dispatch import pace_exchange
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import load_reports
from foxtailpick.gateway import peer_messages

# Message kinds.
REPORT = 18
TOTALS = 19


class PaceMessages:
    """Pace reports of one router, and of all if it is the hub.

    :param gw: the gateway.
    """

    def __init__(self, gw: context.Gateway) -> None:
        self._gw = gw
        self._sent = pace_exchange.SentPaces()
        self._hub = pace_exchange.HubPaces()
        self._reported_ms = -math.inf
        self._totals_ms = -math.inf
        self._was_empty = True

    def make_reports(self, now_ms: float) -> list[bytes]:
        """Return the messages to the hub that are due.

        :param now_ms: current time.
        """
        made = self._make_report(now_ms)
        if made is None:
            return []
        return [cbor2.dumps([REPORT, self._gw.cfg.name, *made])]

    def _make_report(
        self, now_ms: float
    ) -> tuple[int, pace_exchange.Report] | None:
        """Return the number and the contents of a report, None if none is due.

        After the last unusual pace an empty one follows.
        """
        table = self._gw.state.table
        if (
            not table.has_paces
            or now_ms - self._reported_ms < pace_exchange.INTERVAL_MS
        ):
            return None
        number, report = self._sent.next_report(table, now_ms)
        if not report and self._was_empty:
            return None
        self._was_empty = not report
        self._reported_ms = now_ms
        return number, report

    def make_totals(self, now_ms: float) -> list[tuple[types.RouterId, bytes]]:
        """Return the totals that are due at the hub, by router.

        :param now_ms: current time.
        """
        own_name = self._gw.cfg.name
        made = self._make_report(now_ms)
        if made is not None:
            self._hub.record(own_name, *made, now_ms)
        if now_ms - self._totals_ms < pace_exchange.INTERVAL_MS:
            return []
        totals = self._hub.merge(now_ms)
        if not totals:
            return []
        self._totals_ms = now_ms
        numbers = dict(self._hub.list_routers())
        self._apply_totals(totals, numbers.get(own_name, 0), now_ms)
        packed = cbor2.dumps(totals)
        return [
            (
                router,
                cbor2.dumps(
                    [TOTALS, own_name, numbers.get(router, 0), packed]
                ),
            )
            for router in self._gw.state.list_routers()
            if router != own_name
        ]

    def handle_report(
        self,
        router: types.RouterId,
        number: int,
        contents: list[typing.Any],
        now_ms: float,
    ) -> None:
        """Store the report of a router at the hub.

        :param router: the router.
        :param number: number of the report.
        :param contents: what follows the head of the message.
        :param now_ms: current time.
        :raises ValueError: if the report is malformed.
        """
        report = pace_exchange.decode_report(peer_messages.get_only(contents))
        self._hub.record(router, number, report, now_ms)

    def handle_totals(
        self, number: int, contents: list[typing.Any], now_ms: float
    ) -> None:
        """Note what the other routers know.

        :param number: number of this router's report that the totals contain,
            0 for none.
        :param contents: what follows the head of the message.
        :param now_ms: current time.
        :raises ValueError: if the totals are malformed.
        """
        packed = peer_messages.get_only(contents, bytes)
        totals = pace_exchange.decode_report(peer_messages.decode(packed))
        self._apply_totals(totals, number, now_ms)

    def _apply_totals(
        self, totals: pace_exchange.Report, number: int, now_ms: float
    ) -> None:
        gw = self._gw
        for endpoint in totals:
            item = gw.state.table.get(endpoint)
            if item is not None:
                load_reports.enable_paces(gw, item)
        self._sent.apply_totals(gw.state.table, totals, number, now_ms)
