"""What routers tell each other of the requests that they run.

Load pattern: many routers share many engines, so that a router hears from
an engine only every few seconds, while hot prompts pile up at one. One
router, the hub, adds up what all run and tells each the sums. The messages
grow with the number of routers, not with its square. Without a hub, or cut
off from it, a router falls back to the reports in responses.
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

# Counts of a router that was not heard of for this long are left out; its
# requests have ended or are told by the next report of each endpoint.
COUNTS_LIFE_MS = 1_500.0
# A hub that is silent for this long is replaced by the next router in the
# order, several messages being lost.
HUB_SILENCE_MS = 700.0
# A replaced hub is tried again after this time.
HUB_PAUSE_MS = 4_000.0
# Counts that were sent and may still be in a sum on its way.
MAX_SENT = 8


_NOTHING: Seen = {}


@dataclasses.dataclass(slots=True)
class _Report:
    number: int
    counts: Counts
    seen: Seen
    heard_ms: float


class LoadBoard:
    """Counts of all routers, kept by the hub."""

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
        """Take in what a router runs.

        :param router: the router.
        :param number: number of its message.
        :param counts: requests that it runs, by endpoint.
        :param now_ms: current time.
        :param seen: requests that failed and were answered, by endpoint,
            where some failed.
        """
        self._reports[router] = _Report(number, counts, seen, now_ms)

    def sum_up(self, now_ms: float) -> dict[types.EndpointId, int]:
        """Return the requests of all routers, by endpoint."""
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
        """Return what routers saw of endpoints that failed somewhere."""
        return shared_health.add_up(
            report.seen for report in self._reports.values()
        )

    def list_routers(self) -> list[tuple[types.RouterId, int]]:
        """Return the routers heard of, with their latest number."""
        return [
            (router, report.number) for router, report in self._reports.items()
        ]


class HubChoice:
    """Chooses the hub that a router reports to."""

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

        The order is the same at all routers: a hub costs processor time,
        so it is a router with much of it, drawn by a hash of its name.

        :param routers: processor share by router.
        :param own_id: this router.
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
        """Record that the hub has answered."""
        self._heard_ms = now_ms


class OwnCounts:
    """What this router told the hub, to be taken out of the sums."""

    def __init__(self) -> None:
        self._sent: dict[int, Counts] = {}
        self._number = 0

    def make(
        self, table: endpoint_table.EndpointTable
    ) -> tuple[int, dict[types.EndpointId, int]]:
        """Return the number and the counts of the next message."""
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
        """Return what this router saw of endpoints that failed somewhere.

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
        """Judge endpoints by what all routers saw.

        :param table: the endpoints.
        :param seen: sums of the hub.
        :param now_ms: current time.
        :returns: endpoints whose use changes.
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
        """Set what others run from the sums of the hub.

        :param table: the endpoints.
        :param sums: requests of all routers, by endpoint.
        :param number: number of our message that the sums contain.
        :param now_ms: current time.
        :returns: whether the sums were of use.
        """
        own = self._sent.get(number)
        if own is None:
            return False
        for item in table.list_all():
            others = sums.get(item.id, 0) - own.get(item.id, 0)
            item.note_others(max(0, others), now_ms)
        return True
