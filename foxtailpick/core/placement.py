"""Placement of chats by consistent hashing over the member list.

Routers share no table: with the same list they compute the same order. An
endpoint that drops out of the list keeps its place for a short hold, since
lists lag and endpoints flap; its sidecar refuses work it must not take.
"""

import itertools
import typing

from foxtailpick.adapters import base
from foxtailpick.core import candidates
from foxtailpick.core import decision as decision_lib
from foxtailpick.core import ring as ring_lib
from foxtailpick.core import types

FLAP_HOLD_MS = 4_000.0
LOOKAHEAD_ENDPOINTS = 16
MAX_RENDEZVOUS_ENDPOINTS = 32

ModelMap = typing.Mapping[types.EndpointId, frozenset[types.ModelId]]
PoolKey = tuple[types.ServiceId, types.ModelId | None, types.RegionId]


class PlacementTable:
    """The members and the hash rings computed from them.

    :param flap_hold_ms: how long an endpoint that dropped out of the list
        keeps its place, in milliseconds.
    """

    def __init__(self, flap_hold_ms: float = FLAP_HOLD_MS) -> None:
        self._flap_hold_ms = flap_hold_ms
        self._members: dict[types.EndpointId, base.Member] = {}
        self._models: dict[
            types.EndpointId, frozenset[types.ModelId | None]
        ] = {}
        self._absent_since_ms: dict[types.EndpointId, float] = {}
        self._regions: set[types.RegionId] = set()
        self._rings: dict[PoolKey, ring_lib.Ring] = {}

    @classmethod
    def from_members(
        cls,
        members: typing.Iterable[base.Member],
        models: ModelMap | None = None,
        now_ms: float = 0.0,
        flap_hold_ms: float = FLAP_HOLD_MS,
    ) -> 'PlacementTable':
        """Build a table.

        :param members: the member list.
        :param models: served models by endpoint; plain services have none.
        :param now_ms: the current time.
        :param flap_hold_ms: see the class.
        """
        table = cls(flap_hold_ms)
        table.update(members, models, now_ms)
        return table

    def update(
        self,
        members: typing.Iterable[base.Member],
        models: ModelMap | None,
        now_ms: float,
    ) -> None:
        """Apply a newer member list; only the affected rings are updated.

        :param members: the member list.
        :param models: served models by endpoint; plain services have none.
        :param now_ms: the current time.
        """
        models = models or {}
        listed = {member.endpoint: member for member in members}
        for endpoint, member in listed.items():
            self._absent_since_ms.pop(endpoint, None)
            self._put(member, frozenset(models.get(endpoint, ())))
        for endpoint in self._members.keys() - listed.keys():
            self._absent_since_ms.setdefault(endpoint, now_ms)
        self.expire_absent(now_ms)
        self._regions = {member.region for member in self._members.values()}

    def expire_absent(self, now_ms: float) -> None:
        """Remove endpoints whose hold has expired.

        :param now_ms: the current time.
        """
        for endpoint, since_ms in list(self._absent_since_ms.items()):
            if now_ms - since_ms >= self._flap_hold_ms:
                del self._absent_since_ms[endpoint]
                self._drop(endpoint)

    def get_member(self, endpoint: types.EndpointId) -> base.Member | None:
        """Return a member, None if it is unknown or its hold has expired.

        :param endpoint: the endpoint.
        """
        return self._members.get(endpoint)

    def serves(
        self, endpoint: types.EndpointId, model: types.ModelId | None
    ) -> bool:
        """Tell whether a known endpoint serves a model.

        :param endpoint: the endpoint.
        :param model: the model; None, for a plain service, is always served.
        """
        return model is None or model in self._models[endpoint]

    def list_other_regions(
        self, own: types.RegionId, key: str
    ) -> list[types.RegionId]:
        """Return the regions other than a router's own, ranked for a key.

        :param own: the region of the router.
        :param key: the chat.
        """
        others = {region: 1.0 for region in self._regions if region != own}
        return ring_lib.rank_by_rendezvous(key, others)

    def walk_pool(
        self, pool: PoolKey, key: str
    ) -> typing.Iterator[types.EndpointId]:
        """Yield the endpoints of a pool in preference order for a key.

        :param pool: service, model and region.
        :param key: the chat.
        """
        ring = self._rings.get(pool)
        if ring is None:
            ring = self._build_ring(pool)
            # Callers may name any model; unknown ones must not fill memory.
            if len(ring):
                self._rings[pool] = ring
        return ring.walk(key)

    def _put(
        self, member: base.Member, models: frozenset[types.ModelId]
    ) -> None:
        endpoint = member.endpoint
        known = self._members.get(endpoint)
        if known == member and self._models[endpoint] == models:
            return
        if known is not None and self._has_changed_pools(
            known, member, models
        ):
            self._drop(endpoint)
        self._members[endpoint] = member
        self._models[endpoint] = models
        for pool, ring in self._rings.items():
            if self._is_in_pool(member, pool):
                ring.add(endpoint, member.capacity)

    def _has_changed_pools(
        self,
        known: base.Member,
        member: base.Member,
        models: frozenset[types.ModelId],
    ) -> bool:
        return (
            known.service != member.service
            or known.region != member.region
            or self._models[member.endpoint] != models
        )

    def _drop(self, endpoint: types.EndpointId) -> None:
        for ring in self._rings.values():
            ring.remove(endpoint)
        del self._members[endpoint]
        del self._models[endpoint]

    def _build_ring(self, pool: PoolKey) -> ring_lib.Ring:
        ring = ring_lib.Ring()
        ring.add_many(
            {
                member.endpoint: member.capacity
                for member in self._members.values()
                if self._is_in_pool(member, pool)
            }
        )
        return ring

    def _is_in_pool(self, member: base.Member, pool: PoolKey) -> bool:
        service, model, region = pool
        return (
            member.service == service
            and member.region == region
            and self.serves(member.endpoint, model)
        )


def choose_endpoints(
    table: PlacementTable, req: decision_lib.PlacementRequest
) -> decision_lib.Decision:
    """Choose the endpoints to try for a request, in order.

    :param table: the members.
    :param req: the request.
    """
    selection = candidates.Selection(table, req)
    if req.hint is not None:
        selection.consider_hint(req.hint)
    _consider_pool(selection, _rank_pool(table, req, req.region))
    if not selection.is_full:
        for region in table.list_other_regions(req.region, req.key):
            order = _rank_pool(table, req, region)
            _consider_other_region(selection, order)
    return selection.build_decision()


def _rank_pool(
    table: PlacementTable,
    req: decision_lib.PlacementRequest,
    region: types.RegionId,
) -> typing.Iterator[types.EndpointId]:
    allowed = req.allowed
    if allowed is not None and len(allowed) <= MAX_RENDEZVOUS_ENDPOINTS:
        # The size of the configured set is compared, not the number of its
        # live endpoints: the method must not change when one of them flaps.
        return _rank_small_set(table, req, region)
    order = table.walk_pool((req.service, req.model, region), req.key)
    if allowed is None:
        return order
    return (endpoint for endpoint in order if endpoint in allowed)


def _rank_small_set(
    table: PlacementTable,
    req: decision_lib.PlacementRequest,
    region: types.RegionId,
) -> typing.Iterator[types.EndpointId]:
    members = (table.get_member(endpoint) for endpoint in req.allowed)
    capacities = {
        member.endpoint: member.capacity
        for member in members
        if member is not None and member.region == region
    }
    return iter(ring_lib.rank_by_rendezvous(req.key, capacities))


def _consider_pool(
    selection: candidates.Selection,
    order: typing.Iterator[types.EndpointId],
) -> None:
    reason = decision_lib.ChoiceReason.HOME
    for endpoint in order:
        selection.consider(endpoint, reason)
        reason = decision_lib.ChoiceReason.NEXT
        if selection.is_full:
            break
    if selection.is_full and selection.is_in_one_domain:
        ahead = itertools.islice(order, LOOKAHEAD_ENDPOINTS)
        selection.spread_over_domains(ahead)


def _consider_other_region(
    selection: candidates.Selection,
    order: typing.Iterator[types.EndpointId],
) -> None:
    for endpoint in order:
        if selection.is_full:
            return
        selection.consider(endpoint, decision_lib.ChoiceReason.OTHER_REGION)
