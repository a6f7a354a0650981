"""Exchanges what waits under overload with the other routers, by the hub.

Messages are sent only while a service is overloaded, one for each service,
each in one datagram.
"""

import typing

import cbor2

from foxtailpick.core.dispatch import overload_usage
from foxtailpick.core import types
from foxtailpick.gateway import context

REPORT_KIND = 16
TOTALS_KIND = 17
# A datagram that isn't split on its way.
MAX_MESSAGE_BYTES = 1_400

Message = tuple[types.RouterId, bytes]


class OverloadExchange:
    """This router's part in the exchange.

    :param gw: the gateway.
    """

    def __init__(self, gw: context.Gateway) -> None:
        self._gw = gw
        self._sent = overload_usage.SentReports()
        self._hub_sums = overload_usage.HubSums()
        self._reported: set[types.ServiceId] = set()

    def make_reports(self, number: int) -> list[bytes]:
        """Return the messages to the hub.

        A service that is overloaded no more is reported once more, so that
        the others learn that nothing waits here.

        :param number: sequence number of the counts that they go with.
        """
        report = self._make_report()
        self._sent.record(number, report)
        return self._encode(REPORT_KIND, number, report)

    def make_totals(self, number: int) -> list[Message]:
        """Apply the totals, as the hub; return the messages to others.

        :param number: sequence number of this router's own counts.
        """
        gw = self._gw
        now_ms = gw.now_ms()
        report = self._make_report()
        self._sent.record(number, report)
        if report:
            self._hub_sums.record(gw.cfg.name, number, report, now_ms)
        totals = self._hub_sums.merge(now_ms)
        messages: list[Message] = []
        for router, sent in self._hub_sums.list_routers(now_ms):
            if router == gw.cfg.name:
                self._apply(sent, totals)
                continue
            messages.extend(
                (router, data)
                for data in self._encode(TOTALS_KIND, sent, totals)
            )
        return messages

    def record_report(
        self, router: types.RouterId, number: int, content: typing.Any
    ) -> None:
        """Record a report, as the hub.

        :param router: router that it is of.
        :param number: its sequence number.
        :param content: the report, decoded.
        :raises ValueError: if it is malformed.
        """
        report = overload_usage.decode(content)
        self._hub_sums.record(router, number, report, self._gw.now_ms())

    def apply_totals(self, number: int, content: typing.Any) -> None:
        """Apply totals of the hub.

        :param number: sequence number of this router's report in them.
        :param content: the totals, decoded.
        :raises ValueError: if they are malformed.
        """
        self._apply(number, overload_usage.decode(content))

    def _make_report(self) -> overload_usage.Report:
        gw = self._gw
        now_ms = gw.now_ms()
        overloaded = {
            service
            for service, order in gw.orders.items()
            if order.detector.is_overloaded
        }
        services = overloaded | self._reported
        self._reported = overloaded
        return {
            service: overload_usage.make_sums(
                gw.orders[service].count_waiting(),
                gw.orders[service].backlog,
                gw.orders[service].usage,
                now_ms,
            )
            for service in services
        }

    def _apply(self, number: int, totals: overload_usage.Report) -> None:
        others = self._sent.subtract(number, totals)
        if others is None:
            return
        now_ms = self._gw.now_ms()
        for service, sums in others.items():
            order = self._gw.orders.get(service)
            if order is not None:
                order.usage.others = sums
                order.usage.updated_ms = now_ms

    def _encode(
        self, kind: int, number: int, report: overload_usage.Report
    ) -> list[bytes]:
        messages = []
        for service, sums in report.items():
            # The accounts with least work are left out until it fits.
            for count in (overload_usage.MAX_ACCOUNTS, 16, 8, 4, 0):
                part = {service: overload_usage.keep_heaviest(sums, count)}
                content = overload_usage.encode(part)
                data = cbor2.dumps([kind, self._gw.cfg.name, number, content])
                if len(data) <= MAX_MESSAGE_BYTES:
                    messages.append(data)
                    break
            else:
                self._gw.metrics.count('overload_reports_too_long')
        return messages
