"""Messages between routers about the memory of endpoints."""

import math
import typing

import cbor2

from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import memory_exchange
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import peer_messages

# Message kinds.
REPORT = 20
TOTALS = 21


class MemoryMessages:
    """Token reports of one router, and of all if it is the hub.

    :param gw: the gateway.
    """

    def __init__(self, gw: context.Gateway) -> None:
        self._gw = gw
        self._sent = memory_exchange.SentTokens()
        self._hub = load_exchange.HubReports()
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
        return [cbor2.dumps([REPORT, self._gw.cfg.name, *made, {}])]

    def _make_report(
        self, now_ms: float
    ) -> tuple[int, dict[types.EndpointId, int]] | None:
        """Return the number and the contents of a report, None if none is due.

        After the last endpoint that was named an empty one follows.
        """
        gw = self._gw
        if (
            not gw.memories
            or now_ms - self._reported_ms < memory_exchange.INTERVAL_MS
        ):
            return None
        services = gw.state.cfg.services if gw.state.cfg else {}
        capacities = {
            name: service.memory_tokens for name, service in services.items()
        }
        number, report = self._sent.next_report(
            gw.state.table, capacities, gw.memories, now_ms
        )
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
        if now_ms - self._totals_ms < memory_exchange.INTERVAL_MS:
            return []
        totals = self._hub.sum_counts(now_ms)
        if not totals:
            return []
        self._totals_ms = now_ms
        numbers = dict(self._hub.list_routers())
        self._sent.apply_totals(
            self._gw.state.table, totals, numbers.get(own_name, 0), now_ms
        )
        packed = cbor2.dumps([totals, {}])
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
        report, _ = peer_messages.check_sums(contents, 0)
        self._hub.record(router, number, report, now_ms)

    def handle_totals(
        self, number: int, contents: list[typing.Any], now_ms: float
    ) -> None:
        """Note what the other routers hold.

        :param number: number of this router's report that the totals contain,
            0 for none.
        :param contents: what follows the head of the message.
        :param now_ms: current time.
        :raises ValueError: if the totals are malformed.
        """
        packed = peer_messages.get_only(contents, bytes)
        totals, _ = peer_messages.check_sums(peer_messages.decode(packed), 0)
        self._sent.apply_totals(self._gw.state.table, totals, number, now_ms)
