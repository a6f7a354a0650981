"""Exchange of per-endpoint load between routers through a hub.

Load pattern: many routers share many engines, so that each router gets a
response from an engine only every few seconds, while requests for hot
prompts accumulate at one engine. One router, the hub, sums the requests in
flight of all routers and sends the totals to each. The number of messages
grows linearly with the number of routers, not with its square. Without a
reachable hub, a router falls back to the load reports in responses.
"""

import dataclasses
import typing

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import health as health_lib
from foxtailpick.core.dispatch import shared_health
from foxtailpick.core import ring
from foxtailpick.core import types

Counts = typing.Mapping[types.EndpointId, int]
Seen = typing.Mapping[types.EndpointId, tuple[float, float]]

# TTL of a router's counts at the hub. Requests of a silent router have
# ended, or appear in the next load report of each endpoint.
COUNTS_LIFE_MS = 1_500.0
# A hub that sends nothing for this long, which takes several lost messages,
# is replaced by the next router in the order.
HUB_SILENCE_MS = 700.0
# Time until a replaced hub is tried again.
HUB_PAUSE_MS = 4_000.0
# Number of sent counts kept because totals in flight may contain them.
MAX_SENT = 8


_NOTHING: Seen = {}


@dataclasses.dataclass(slots=True)
class _Report:
    number: int
    counts: Counts
    seen: Seen
    heard_ms: float


class LoadBoard:
    """The latest report of each router, kept by the hub."""

    def __init__(self) -> None:
        self._reports: dict[types.RouterId, _Report] = {}

    def take(
        self,
        router: types.RouterId,
        number: int,
        counts: Counts,
        now_ms: float,
        seen: Seen = _NOTHING,
    ) -> None:
        """Store the report of a router, replacing its previous one.

        :param router: the router.
        :param number: sequence number of its message.
        :param counts: its requests in flight, by endpoint.
        :param now_ms: current time.
        :param seen: failed and answered requests by endpoint, only for
            endpoints with failures.
        """
        self._reports[router] = _Report(number, counts, seen, now_ms)

    def sum_up(self, now_ms: float) -> dict[types.EndpointId, int]:
        """Return the requests in flight of all routers, by endpoint.

        Reports older than their TTL are removed first.
        """
        sums: dict[types.EndpointId, int] = {}
        for router, report in list(self._reports.items()):
            if now_ms - report.heard_ms > COUNTS_LIFE_MS:
                del self._reports[router]
                continue
            for endpoint, count in report.counts.items():
                sums[endpoint] = sums.get(endpoint, 0) + count
        return sums

    def sum_up_seen(
        self,
    ) -> dict[types.EndpointId, tuple[float, float, int]]:
        """Return the summed request outcomes of endpoints with failures."""
        return shared_health.add_up(
            report.seen for report in self._reports.values()
        )

    def list_routers(self) -> list[tuple[types.RouterId, int]]:
        """Return the known routers with their latest sequence numbers."""
        return [
            (router, report.number) for router, report in self._reports.items()
        ]


class HubChoice:
    """Selects the hub that a router reports to."""

    def __init__(self) -> None:
        self._avoided_until_ms: dict[types.RouterId, float] = {}
        self.hub: types.RouterId | None = None
        self._heard_ms = 0.0

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
        if hub is not None and now_ms - self._heard_ms > HUB_SILENCE_MS:
            self._avoided_until_ms[hub] = now_ms + HUB_PAUSE_MS
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
            self._heard_ms = now_ms
        return best

    def note_heard(self, now_ms: float) -> None:
        """Record a message from the hub.

        :param now_ms: current time.
        """
        self._heard_ms = now_ms


class OwnCounts:
    """Counts sent to the hub, subtracted again from its totals."""

    def __init__(self) -> None:
        self._sent: dict[int, Counts] = {}
        self._number = 0

    def make(
        self, table: endpoint_table.EndpointTable
    ) -> tuple[int, dict[types.EndpointId, int]]:
        """Return the sequence number and the counts of the next message."""
        self._number += 1
        counts = {
            item.id: item.running for item in table.list_all() if item.running
        }
        self._sent[self._number] = counts
        self._sent.pop(self._number - MAX_SENT, None)
        return self._number, counts

    def make_seen(
        self, table: endpoint_table.EndpointTable, now_ms: float
    ) -> dict[types.EndpointId, tuple[float, float]]:
        """Return failed and answered requests at this router, by endpoint.

        Contains only endpoints that failed requests of some router.

        :param table: the endpoints.
        :param now_ms: current time.
        """
        seen = {}
        for item in table.list_all():
            health_lib.decay(item.health, now_ms)
            failed = item.health.broken
            if failed >= shared_health.TOLD_FAILURES or item.evidence:
                answered = round(item.health.begun, 1)
                seen[item.id] = (round(failed, 1), answered)
        return seen

    def apply_seen(
        self,
        table: endpoint_table.EndpointTable,
        seen: typing.Mapping[types.EndpointId, typing.Any],
        now_ms: float,
    ) -> list[endpoint_table.Endpoint]:
        """Update ejections from the outcomes of all routers.

        :param table: the endpoints.
        :param seen: summed outcomes from the hub, by endpoint.
        :param now_ms: current time.
        :returns: endpoints whose ejection state changed.
        """
        services: dict[types.ServiceId, list[endpoint_table.Endpoint]] = {}
        for item in table.list_all():
            services.setdefault(item.entry.service, []).append(item)
            told = seen.get(item.id)
            times = 1 + (item.evidence.times if item.evidence else 0)
            item.evidence = None
            if told is not None:
                item.evidence = shared_health.Evidence(*told, now_ms, times)
        changed = []
        for items in services.values():
            usual = shared_health.find_usual_share(
                item.evidence for item in items
            )
            changed.extend(
                item
                for item in items
                if endpoint_table.judge_evidence(item, usual, now_ms)
            )
        return changed

    def apply(
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
            others = sums.get(item.id, 0) - own.get(item.id, 0)
            item.note_others(max(0, others), now_ms)
        return True
