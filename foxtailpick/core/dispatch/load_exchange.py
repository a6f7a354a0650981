"""Exchange of per-endpoint load between routers through a hub.

Load pattern: many routers share many engines, so that each router gets a
response from an engine only every few seconds, while requests for hot prompts
accumulate at one engine. One router, the hub, sums the requests in flight of
all routers and sends the totals to each. The number of messages grows linearly
with the number of routers, not with its square. While part of a service is
unavailable, the others are close to their limit, and counts are exchanged at
shorter intervals, as far as the hub can handle them. A router that is taken
for the hub and is not names the hub it knows. Without a reachable hub, a
router falls back to the load reports in responses.
"""

import dataclasses
import typing

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import health as health_lib
from foxtailpick.core.dispatch import shared_health
from foxtailpick.core import ring
from foxtailpick.core import types

Counts = typing.Mapping[types.EndpointId, int]
Outcomes = typing.Mapping[types.EndpointId, tuple[float, float]]

# TTL of a router's counts at the hub. Requests of a silent router have
# ended, or appear in the next load report of each endpoint.
COUNTS_TTL_MS = 1_500.0
# A hub that sends nothing for this long, which takes several lost messages,
# is replaced by the next router in the order.
HUB_TIMEOUT_MS = 700.0
# Time until a replaced hub is tried again.
HUB_BACKOFF_MS = 4_000.0
# Interval of the exchange. Under the usual load an engine starts about one
# request in this time, so a shorter interval would hardly improve the counts.
INTERVAL_MS = 150.0
# Interval while the load bound leaves little room above the mean.
FAST_INTERVAL_MS = 50.0
# Shortest interval for each router, since the hub reads a message of each and
# writes one to each.
FAST_INTERVAL_PER_ROUTER_MS = 3.0
# Number of sent counts kept because totals in flight may contain them.
MAX_SENT_COUNTS = 8


_NO_OUTCOMES: Outcomes = {}


@dataclasses.dataclass(slots=True)
class _Report:
    number: int
    counts: Counts
    outcomes: Outcomes
    received_ms: float


class HubReports:
    """The latest report of each router, kept by the hub."""

    def __init__(self) -> None:
        self._reports: dict[types.RouterId, _Report] = {}

    def record(
        self,
        router: types.RouterId,
        number: int,
        counts: Counts,
        now_ms: float,
        outcomes: Outcomes = _NO_OUTCOMES,
    ) -> None:
        """Store the report of a router, replacing its previous one.

        :param router: the router.
        :param number: sequence number of its message.
        :param counts: its requests in flight, by endpoint.
        :param now_ms: current time.
        :param outcomes: failed and answered requests by endpoint, only for
            endpoints with failures.
        """
        self._reports[router] = _Report(number, counts, outcomes, now_ms)

    def sum_counts(self, now_ms: float) -> dict[types.EndpointId, int]:
        """Return the requests in flight of all routers, by endpoint.

        Reports older than their TTL are removed first.
        """
        sums: dict[types.EndpointId, int] = {}
        for router, report in list(self._reports.items()):
            if now_ms - report.received_ms > COUNTS_TTL_MS:
                del self._reports[router]
                continue
            for endpoint, count in report.counts.items():
                sums[endpoint] = sums.get(endpoint, 0) + count
        return sums

    def sum_outcomes(
        self,
    ) -> dict[types.EndpointId, tuple[float, float, int]]:
        """Return the summed request outcomes of endpoints with failures."""
        return shared_health.sum_reports(
            report.outcomes for report in self._reports.values()
        )

    def list_routers(self) -> list[tuple[types.RouterId, int]]:
        """Return the known routers with their latest sequence numbers."""
        return [
            (router, report.number) for router, report in self._reports.items()
        ]


def compute_interval_ms(routers: int, needs_fresh_counts: bool) -> float:
    """Return the time between two messages of a router.

    :param routers: number of routers.
    :param needs_fresh_counts: whether a load bound leaves little room.
    """
    if not needs_fresh_counts:
        return INTERVAL_MS
    shortest_ms = max(FAST_INTERVAL_MS, FAST_INTERVAL_PER_ROUTER_MS * routers)
    return min(INTERVAL_MS, shortest_ms)


class HubSelector:
    """Selects the hub that a router reports to."""

    def __init__(self) -> None:
        self._avoided_until_ms: dict[types.RouterId, float] = {}
        self.hub: types.RouterId | None = None
        self._last_message_ms = 0.0

    def choose(
        self,
        routers: typing.Mapping[types.RouterId, float],
        own_id: types.RouterId,
        now_ms: float,
    ) -> types.RouterId | None:
        """Return the hub to report to.

        All routers use the same order. Being the hub takes processor time,
        so the hub is one of the routers with the largest processor share,
        selected by a hash of its id.

        :param routers: processor share by router.
        :param own_id: id of this router.
        :param now_ms: current time.
        """
        hub = self.hub
        if hub is not None and now_ms - self._last_message_ms > HUB_TIMEOUT_MS:
            self._avoided_until_ms[hub] = now_ms + HUB_BACKOFF_MS
            hub = None
        usable = [
            router
            for router in routers
            if router == own_id
            or self._avoided_until_ms.get(router, 0.0) <= now_ms
        ]
        if not usable:
            self.hub = None
            return None
        largest = max(routers[router] for router in usable)
        equals = {
            router: 1.0 for router in usable if routers[router] == largest
        }
        best = types.RouterId(ring.rank_by_rendezvous('hub', equals)[0])
        if best != self.hub:
            self.hub = best
            self._last_message_ms = now_ms
        return best

    def record_message(self, now_ms: float) -> None:
        """Record a message from the hub.

        :param now_ms: current time.
        """
        self._last_message_ms = now_ms

    def record_redirect(
        self, sender: types.RouterId, hub: types.RouterId
    ) -> None:
        """Use a hub again that the chosen router reports to itself.

        After a restart of many routers, those that stayed up avoid the old
        hub, while the restarted ones report to it. Without the redirect they
        would try one restarted router after the other.

        :param sender: router that refuses to be the hub.
        :param hub: the hub that it reports to.
        """
        if sender == self.hub:
            self._avoided_until_ms.pop(hub, None)


class SentCounts:
    """Counts sent to the hub, subtracted again from its totals."""

    def __init__(self) -> None:
        self._sent: dict[int, Counts] = {}
        self._number = 0

    def next_counts(
        self, table: endpoint_table.EndpointTable
    ) -> tuple[int, dict[types.EndpointId, int]]:
        """Return the sequence number and the counts of the next message."""
        self._number += 1
        counts = {
            item.id: item.running for item in table.list_all() if item.running
        }
        self._sent[self._number] = counts
        self._sent.pop(self._number - MAX_SENT_COUNTS, None)
        return self._number, counts

    def collect_outcomes(
        self, table: endpoint_table.EndpointTable, now_ms: float
    ) -> dict[types.EndpointId, tuple[float, float]]:
        """Return failed and answered requests at this router, by endpoint.

        Contains only endpoints that failed requests of some router.

        :param table: the endpoints.
        :param now_ms: current time.
        """
        outcomes = {}
        for item in table.list_all():
            health_lib.decay(item.health, now_ms)
            failed = item.health.failed_requests
            if (
                failed >= shared_health.MIN_REPORTED_FAILURES
                or item.shared_outcomes
            ):
                answered = round(item.health.started_answers, 1)
                outcomes[item.id] = (round(failed, 1), answered)
        return outcomes

    def apply_outcomes(
        self,
        table: endpoint_table.EndpointTable,
        outcomes: typing.Mapping[types.EndpointId, typing.Any],
        now_ms: float,
    ) -> list[endpoint_table.Endpoint]:
        """Update ejections from the outcomes of all routers.

        :param table: the endpoints.
        :param outcomes: summed outcomes from the hub, by endpoint.
        :param now_ms: current time.
        :returns: endpoints whose ejection state changed.
        """
        services: dict[types.ServiceId, list[endpoint_table.Endpoint]] = {}
        for item in table.list_all():
            services.setdefault(item.entry.service, []).append(item)
            totals = outcomes.get(item.id)
            streak = 1 + (
                item.shared_outcomes.outlier_streak
                if item.shared_outcomes
                else 0
            )
            item.shared_outcomes = None
            if totals is not None:
                item.shared_outcomes = shared_health.SharedOutcomes(
                    *totals, now_ms, streak
                )
        changed = []
        for items in services.values():
            median_rate = shared_health.compute_median_failure_rate(
                item.shared_outcomes for item in items
            )
            changed.extend(
                item
                for item in items
                if endpoint_table.update_ejection(item, median_rate, now_ms)
            )
        return changed

    def apply_counts(
        self,
        table: endpoint_table.EndpointTable,
        sums: Counts,
        number: int,
        now_ms: float,
    ) -> bool:
        """Set the load caused by other routers from the hub's totals.

        :param table: the endpoints.
        :param sums: requests in flight of all routers, by endpoint.
        :param number: sequence number of this router's message that the
            totals include.
        :param now_ms: current time.
        :returns: False if the counts of that message are no longer kept.
        """
        own = self._sent.get(number)
        if own is None:
            return False
        for item in table.list_all():
            remote = sums.get(item.id, 0) - own.get(item.id, 0)
            item.set_remote_load(max(0, remote), now_ms)
        return True
