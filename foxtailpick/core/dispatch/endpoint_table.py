"""A router's state of each endpoint: entry, load, health and warm-up."""

import dataclasses
import math
import typing

from foxtailpick.core.dispatch import address_owner
from foxtailpick.core.dispatch import announcements
from foxtailpick.core.dispatch import endpoint_pace
from foxtailpick.core.dispatch import health as health_lib
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rate_share
from foxtailpick.core.dispatch import restored_store
from foxtailpick.core.dispatch import shared_health
from foxtailpick.core import types

# Endpoints whose entries expired during a store outage register again within
# two seconds of its end. An entry still absent after that is removed.
REREGISTRATION_GRACE_MS = 2_000.0
# Up to this share of a service, and any single one, endpoints that are missing
# after an outage are taken for gone. Of more, most entries have expired.
MAX_DEPARTED_SHARE = 0.2
# Most chats send another request within this time, so that a new endpoint
# has the prompts it is the home of in its cache afterwards.
CACHE_FILL_MS = 15_000.0
# After the evacuation of a failure domain, cached prompts are still fetched
# from its endpoints for this long. Work may reach them for 5 s.
EVACUATION_FETCH_MS = 3_000.0


@dataclasses.dataclass(slots=True)
class Endpoint:
    """State of one endpoint at a router.

    :param entry: the latest entry in the store.
    :param running: requests of this router in flight at the endpoint.
    :param connections: connections of this router to it.
    :param remote_load: estimated requests of other routers there.
    :param load_updated_ms: time of that estimate, None before the first.
    :param in_service_ms: since when it is in service, without a restart or
        an evacuation of its domain.
    :param warm_at_ms: end of its warm-up.
    :param cache_filling_until_ms: until when its cache probably lacks
        prompts of which it is the home.
    :param absent_until_ms: until when it is kept although the store does
        not list it.
    :param may_have_left: whether the store lists it no more after an outage,
        without having returned from a copy.
    :param shared_outcomes: request outcomes summed over all routers, None
        if no router reported failures.
    :param is_ejected: whether it is ejected because of them.
    :param is_replaced: whether a later process has its address.
    :param announced: what it announced in its responses.
    :param warmup_share: this router's share of its rate during the warm-up.
    :param pace: how long work takes there.
    :param held_tokens: tokens of this router's requests there.
    :param told_tokens: tokens of other routers' requests there, as told.
    :param told_held_tokens: tokens of this router's requests at that time.
    :param told_ms: when that was told.
    """

    entry: model.EndpointEntry
    running: int = 0
    connections: int = 0
    remote_load: float = 0.0
    load_updated_ms: float | None = None
    in_service_ms: float = 0.0
    warm_at_ms: float = 0.0
    cache_filling_until_ms: float = 0.0
    absent_until_ms: float | None = None
    may_have_left: bool = False
    shared_outcomes: shared_health.SharedOutcomes | None = None
    is_ejected: bool = False
    is_replaced: bool = False
    announced: announcements.Announcement = dataclasses.field(
        default_factory=announcements.Announcement
    )
    health: health_lib.Health = dataclasses.field(
        default_factory=health_lib.Health
    )
    warmup_share: rate_share.RateShare = dataclasses.field(
        default_factory=rate_share.RateShare
    )
    pace: endpoint_pace.EndpointPace = dataclasses.field(
        default_factory=endpoint_pace.EndpointPace
    )
    held_tokens: int = 0
    told_tokens: int = 0
    told_held_tokens: int = 0
    told_ms: float = -math.inf

    @property
    def id(self) -> types.EndpointId:
        """Id of the endpoint."""
        return self.entry.id

    @property
    def load(self) -> float:
        """Estimated requests of all routers, running or queued there."""
        return self.running + self.remote_load

    @property
    def has_free_slot(self) -> bool:
        """Whether a request would run there at once, as far as known."""
        return self.load < self.entry.slots

    def is_cold(self, now_ms: float) -> bool:
        """Tell whether the endpoint is still warming up.

        :param now_ms: current time.
        """
        return now_ms < self.warm_at_ms

    def is_cache_filling(self, now_ms: float) -> bool:
        """Tell whether the endpoint's cache is still being filled.

        :param now_ms: current time.
        """
        return now_ms < self.cache_filling_until_ms

    def update_load(self, report: model.LoadReport, now_ms: float) -> None:
        """Update the load from a report in a response.

        :param report: the reported load.
        :param now_ms: current time.
        """
        self.load_updated_ms = now_ms
        total = report.running + report.waiting
        # The report may be older than requests just sent by this router, so
        # the difference may be negative.
        self.remote_load = max(0.0, total - self.running)

    def compute_load_age_ms(self, now_ms: float) -> int | None:
        """Return the age of the load estimate, None if there is none."""
        if self.load_updated_ms is None:
            return None
        return round(now_ms - self.load_updated_ms)

    def set_remote_load(self, count: float, now_ms: float) -> None:
        """Set the load caused by other routers, as the routers report it.

        The later of this and the endpoint's own report applies. Endpoints
        with many requests report often; for the rest, this is the main
        source.

        :param count: requests of the other routers.
        :param now_ms: current time.
        """
        self.remote_load = count
        self.load_updated_ms = now_ms


def update_ejection(
    item: Endpoint, median_failure_rate: float, now_ms: float
) -> bool:
    """Eject an endpoint, or end its ejection, by the reported outcomes.

    :param item: the endpoint.
    :param median_failure_rate: median failure rate of the service's endpoints.
    :param now_ms: current time.
    :returns: whether the ejection state changed.
    """
    health_lib.decay(item.health, now_ms)
    outcomes = item.shared_outcomes
    if outcomes is not None and not shared_health.is_outlier(
        outcomes, median_failure_rate
    ):
        outcomes.outlier_streak = 0
    before = item.is_ejected
    item.is_ejected = shared_health.is_ejected(
        item.shared_outcomes,
        before,
        item.health.failed_requests,
        item.health.started_answers,
        now_ms,
    )
    return item.is_ejected is not before


def compute_mean_load(endpoints: typing.Iterable[Endpoint]) -> float:
    """Return the mean load of endpoints, 0 if there are none.

    Those that limit the rate of their requests hold little by their own
    word, and don't count unless all do.

    :param endpoints: the endpoints.
    """
    items = list(endpoints)
    free = [item for item in items if not item.announced.rate_limit.is_limited]
    loads = [item.load for item in free or items]
    return sum(loads) / len(loads) if loads else 0.0


class EndpointTable:
    """All endpoints, indexed by service.

    The owner updates the table from entries of the store. The data path
    counts running requests and connections directly in the `Endpoint`
    objects.
    """

    def __init__(self) -> None:
        self._endpoints: dict[types.EndpointId, Endpoint] = {}
        self._by_service: dict[types.ServiceId, list[Endpoint]] = {}
        self._evacuated_ms: dict[types.FailureDomainId, float] = {}
        self._removed = restored_store.RemovedEndpoints()
        # Entries of a copy that are older than what is known.
        self._doubtful: dict[types.EndpointId, model.EndpointEntry] = {}
        self._announcements = announcements.Announcements()
        # Whether endpoints of this deployment state their pace.
        self.has_paces = False

    def get(self, endpoint: types.EndpointId) -> Endpoint | None:
        """Return an endpoint, None if it is unknown."""
        return self._endpoints.get(endpoint)

    def list_service(self, service: types.ServiceId) -> list[Endpoint]:
        """Return the endpoints of a service that accept new work.

        After an outage the entries of some may be missing. Where few are,
        these are left out; where many are, most of them have expired.
        """
        listed = [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if not endpoint.announced.is_leaving and self._is_listed(endpoint)
        ]
        certain = [item for item in listed if not item.may_have_left]
        missing = len(listed) - len(certain)
        if certain and missing <= max(1, MAX_DEPARTED_SHARE * len(listed)):
            return certain
        return listed

    def list_last_resort(
        self, service: types.ServiceId, now_ms: float
    ) -> list[Endpoint]:
        """Return endpoints that announced a short while ago that they leave.

        They still accept requests, for when no other endpoint is left.

        :param service: the service.
        :param now_ms: current time.
        """
        return [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if endpoint.announced.has_left_since(
                announcements.LAST_USE_MS, now_ms
            )
            and self._is_listed(endpoint)
        ]

    def is_sendable(self, endpoint: Endpoint, now_ms: float) -> bool:
        """Tell whether a request that was placed may still be sent.

        The endpoint may have changed while its connection was opened.

        :param endpoint: the endpoint.
        :param now_ms: current time.
        """
        announced = endpoint.announced
        if announced.is_resting(now_ms) or not self._is_listed(endpoint):
            return False
        return not announced.is_leaving or announced.has_left_since(
            announcements.LAST_USE_MS, now_ms
        )

    def _is_listed(self, endpoint: Endpoint) -> bool:
        return (
            self._endpoints.get(endpoint.id) is endpoint
            and not endpoint.is_replaced
            and not endpoint.entry.is_draining
            and endpoint.entry.domain not in self._evacuated_ms
        )

    def compute_mean_load(self, service: types.ServiceId) -> float:
        """Return the mean load of all listed endpoints of a service.

        Includes those that accept no new work. 0 if none is listed.
        """
        return compute_mean_load(self._by_service.get(service, ()))

    def list_leaving(
        self, service: types.ServiceId, now_ms: float
    ) -> list[Endpoint]:
        """Return the endpoints whose cached prompts may still be fetched.

        They accept no new work, since they are draining or the operators
        have just evacuated their failure domain.

        :param service: the service.
        :param now_ms: current time.
        """
        oldest_ms = now_ms - EVACUATION_FETCH_MS
        return [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if (
                endpoint.entry.is_draining
                or endpoint.entry.domain in self._evacuated_ms
                or endpoint.announced.is_leaving
            )
            and (
                not endpoint.announced.is_leaving
                or endpoint.announced.has_left_since(
                    announcements.FETCH_MS, now_ms
                )
            )
            and self._evacuated_ms.get(endpoint.entry.domain, now_ms)
            >= oldest_ms
        ]

    def list_all(self) -> list[Endpoint]:
        """Return all endpoints, including draining and evacuated ones."""
        return list(self._endpoints.values())

    def put(self, entry: model.EndpointEntry, now_ms: float) -> Endpoint:
        """Add an endpoint or update its entry.

        :param entry: the entry.
        :param now_ms: current time.
        """
        entry = self._keep_draining(entry)
        self._removed.discard(entry.incarnation)
        self._doubtful.pop(entry.id, None)
        known = self._endpoints.get(entry.id)
        if known is None or known.entry.started != entry.started:
            if known is not None:
                self._removed.record(known.entry, now_ms)
            known = Endpoint(
                entry,
                in_service_ms=now_ms,
                announced=self._announcements.find(entry.incarnation, now_ms),
            )
            self._endpoints[entry.id] = known
            if entry.warmup_left_ms > 0:
                known.cache_filling_until_ms = now_ms + CACHE_FILL_MS
        known.entry = entry
        known.absent_until_ms = None
        known.may_have_left = False
        known.warm_at_ms = max(known.warm_at_ms, now_ms + entry.warmup_left_ms)
        if entry.warmup_left_ms <= 0:
            known.warm_at_ms = min(known.warm_at_ms, now_ms)
        self._mark_replaced(known)
        self._index()
        return known

    def _keep_draining(
        self, entry: model.EndpointEntry
    ) -> model.EndpointEntry:
        """Return an entry as draining if its process drained before.

        A process that drains ends; what lists it as ready was written
        earlier. Without its start it can't be told from the next one.
        """
        known = self._endpoints.get(entry.id)
        if known is not None and known.entry.started == entry.started:
            has_drained = known.entry.is_draining
        else:
            has_drained = self._removed.has_drained(entry.incarnation)
        if entry.is_draining or not has_drained or not entry.started:
            return entry
        return dataclasses.replace(entry, is_draining=True)

    def _mark_replaced(self, endpoint: Endpoint) -> None:
        """Find out which processes at an endpoint's address have ended."""
        for other in self._endpoints.values():
            if address_owner.is_replaced(other.entry, endpoint.entry):
                other.is_replaced = True
            elif address_owner.is_replaced(endpoint.entry, other.entry):
                endpoint.is_replaced = True

    def record_departure(
        self, endpoint: model.EndpointIncarnation, now_ms: float
    ) -> bool:
        """Note that an endpoint leaves, as it announced to a router.

        :param endpoint: the endpoint and its start; it may not be listed yet.
        :param now_ms: current time.
        :returns: whether that is new.
        """
        announced = self._announcements.find(endpoint, now_ms)
        return announced.record_told(now_ms)

    def remove(self, endpoint: types.EndpointId, now_ms: float) -> None:
        """Remove an endpoint; ignored if it is unknown.

        :param endpoint: its id.
        :param now_ms: current time.
        """
        self._doubtful.pop(endpoint, None)
        if endpoint in self._endpoints:
            self._drop(endpoint, now_ms)

    def replace_all(
        self,
        entries: typing.Iterable[model.EndpointEntry],
        now_ms: float,
        grace_until_ms: float | None = None,
        is_copied: bool = False,
    ) -> list[types.EndpointId]:
        """Update the table from a complete listing of the store.

        :param entries: all entries in the store.
        :param now_ms: current time.
        :param grace_until_ms: until when absent endpoints are kept because
            their entries may have expired during a store outage; None
            removes them at once.
        :param is_copied: whether the listing may be an older copy.
        :returns: ids of the absent endpoints.
        """
        present = {entry.id: entry for entry in entries}
        self._doubtful = {}
        if is_copied:
            self._doubtful = {
                key: entry
                for key, entry in present.items()
                if self._is_outdated(entry)
            }
            present = {
                key: entry
                for key, entry in present.items()
                if key not in self._doubtful
            }
        absent = [key for key in self._endpoints if key not in present]
        for key in absent:
            if grace_until_ms is None:
                self._drop(key, now_ms)
            else:
                self._endpoints[key].absent_until_ms = grace_until_ms
                self._endpoints[key].may_have_left = not is_copied
        for entry in present.values():
            self.put(entry, now_ms)
        return absent

    def expire_absent(self, now_ms: float) -> list[types.EndpointId]:
        """Remove absent endpoints whose grace period has ended.

        :param now_ms: current time.
        :returns: ids of the removed endpoints.
        """
        gone = [
            key
            for key, endpoint in self._endpoints.items()
            if endpoint.absent_until_ms is not None
            and now_ms >= endpoint.absent_until_ms
        ]
        for key in gone:
            self._drop(key, now_ms)
        return gone

    def accept_doubtful(self, now_ms: float) -> list[types.EndpointId]:
        """Use the entries of a copy that have not been removed since.

        :param now_ms: current time.
        :returns: ids of these endpoints.
        """
        doubtful = list(self._doubtful.values())
        for entry in doubtful:
            self.put(entry, now_ms)
        return [entry.id for entry in doubtful]

    def _drop(self, endpoint: types.EndpointId, now_ms: float) -> None:
        known = self._endpoints.pop(endpoint)
        self._removed.record(known.entry, now_ms)
        self._index()

    def _is_outdated(self, entry: model.EndpointEntry) -> bool:
        """Tell whether an entry of a copy is older than what is known."""
        known = self._endpoints.get(entry.id)
        if known is None or known.entry.started != entry.started:
            return entry.incarnation in self._removed
        return known.entry.is_draining and not entry.is_draining

    def set_evacuated(
        self,
        domains: typing.Iterable[types.FailureDomainId],
        services: typing.Mapping[types.ServiceId, model.Service],
        now_ms: float,
        is_just_now: bool = True,
    ) -> None:
        """Set the failure domains that receive no new work.

        Endpoints of a domain that returns to service count as cold: they
        served nothing meanwhile and may have lost their caches.

        :param domains: the domains out of service.
        :param services: the configured services, for their warm-up times.
        :param now_ms: current time.
        :param is_just_now: whether the store has just reported the change;
            otherwise it may be long ago.
        """
        evacuated = set(domains)
        since_ms = now_ms if is_just_now else -math.inf
        back = self._evacuated_ms.keys() - evacuated
        self._evacuated_ms = {
            domain: self._evacuated_ms.get(domain, since_ms)
            for domain in evacuated
        }
        for endpoint in self._endpoints.values():
            service = services.get(endpoint.entry.service)
            if endpoint.entry.domain in back and service is not None:
                endpoint.warm_at_ms = max(
                    endpoint.warm_at_ms, now_ms + service.warmup_ms
                )
                endpoint.in_service_ms = now_ms
                endpoint.cache_filling_until_ms = now_ms + CACHE_FILL_MS

    def _index(self) -> None:
        self._by_service = {}
        for endpoint in self._endpoints.values():
            group = self._by_service.setdefault(endpoint.entry.service, [])
            group.append(endpoint)
