"""Decides when paces of endpoints are sent to the hub, and back."""

import math

from foxtailpick.core.dispatch import pace_exchange
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import load_reports


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

    def make_report(
        self, now_ms: float
    ) -> tuple[int, pace_exchange.Report] | None:
        """Return the number and the contents of a report, None if none is due.

        After the last unusual pace an empty one follows.

        :param now_ms: current time.
        """
        if not self._gw.state.table.has_paces:
            return None
        if now_ms - self._reported_ms < pace_exchange.INTERVAL_MS:
            return None
        number, report = self._sent.next_report(self._gw.state.table, now_ms)
        if not report and self._was_empty:
            return None
        self._was_empty = not report
        self._reported_ms = now_ms
        return number, report

    def record(
        self,
        router: types.RouterId,
        number: int,
        report: pace_exchange.Report,
        now_ms: float,
    ) -> None:
        """Store the report of a router at the hub.

        :param router: the router.
        :param number: number of the report.
        :param report: its contents.
        :param now_ms: current time.
        """
        self._hub.record(router, number, report, now_ms)

    def make_totals(
        self, now_ms: float
    ) -> tuple[pace_exchange.Report, dict[types.RouterId, int]] | None:
        """Return the totals of the hub, None if none are due.

        :param now_ms: current time.
        :returns: the totals, and the number of the report of each router that
            they contain.
        """
        if now_ms - self._totals_ms < pace_exchange.INTERVAL_MS:
            return None
        totals = self._hub.merge(now_ms)
        if not totals:
            return None
        self._totals_ms = now_ms
        return totals, dict(self._hub.list_routers())

    def apply_totals(
        self, totals: pace_exchange.Report, number: int, now_ms: float
    ) -> None:
        """Note what the other routers know.

        :param totals: the totals of the hub.
        :param number: number of this router's report that they contain, 0 for
            none.
        :param now_ms: current time.
        """
        gw = self._gw
        for endpoint in totals:
            item = gw.state.table.get(endpoint)
            if item is not None:
                load_reports.enable_paces(gw, item)
        self._sent.apply_totals(gw.state.table, totals, number, now_ms)
