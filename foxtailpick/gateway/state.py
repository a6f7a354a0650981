"""A gateway's view of the configuration, the endpoints and the routers."""

import typing

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import route_table
from foxtailpick.core import types
from foxtailpick.gateway import decision_log


class GatewayState:
    """Configuration, endpoints and routers as last read from the store.

    :param own_id: id of this router.
    :param now_ms: function that returns the current time.
    :param log: log of the state changes.
    """

    def __init__(
        self,
        own_id: types.RouterId,
        now_ms: typing.Callable[[], float],
        log: decision_log.DecisionLog,
    ) -> None:
        self._own_id = own_id
        self._now_ms = now_ms
        self._log = log
        self._routers: dict[types.RouterId, model.RouterEntry] = {}
        self._evacuated: set[types.FailureDomainId] = set()
        self.table = endpoint_table.EndpointTable()
        self.cfg: model.GatewayConfig | None = None
        self.routes = route_table.RouteTable(())
        self.limits = model.Limits()

    @property
    def router_count(self) -> int:
        """Number of routers that share budgets, including this one."""
        return max(1, len(self._routers))

    def list_routers(
        self,
    ) -> typing.Mapping[types.RouterId, model.RouterEntry]:
        """Return the registered routers."""
        return self._routers

    def apply(self, item: model.Item) -> None:
        """Apply one change.

        A removal takes effect immediately: entries that expired during an
        outage of the store do not arrive as changes, they are missing from
        the snapshot that is read after the outage.

        :param item: the change.
        """
        if isinstance(item, model.ConfigItem):
            self._set_config(item.cfg)
        elif isinstance(item, model.EndpointItem):
            self._set_endpoint(item)
        elif isinstance(item, model.EvacuationItem):
            evacuated = set(self._evacuated)
            if item.is_out:
                evacuated.add(item.domain)
            else:
                evacuated.discard(item.domain)
            self._set_evacuated(evacuated)
        else:
            self._set_router(item)

    def replace(
        self,
        items: typing.Sequence[model.Item],
        grace_until_ms: float | None,
    ) -> None:
        """Replace the state by a snapshot of the store.

        :param items: all items of the store.
        :param grace_until_ms: time until which missing endpoints are kept,
            since their entries may have expired during an outage of the
            store; None removes them immediately.
        """
        entries = []
        evacuated = set()
        routers: dict[types.RouterId, model.RouterEntry] = {}
        for item in items:
            if isinstance(item, model.ConfigItem):
                self._set_config(item.cfg)
            elif isinstance(item, model.EndpointItem) and item.entry:
                entries.append(item.entry)
            elif isinstance(item, model.EvacuationItem):
                evacuated.add(item.domain)
            elif isinstance(item, model.RouterItem) and item.entry:
                routers[item.id] = item.entry
        absent = self.table.replace_all(
            entries, self._now_ms(), grace_until_ms
        )
        self._set_evacuated(evacuated)
        if grace_until_ms is None:
            self._routers = routers
        else:
            # Registrations expire in an outage as well. Counting a router
            # that is gone only reduces this router's share of each budget.
            self._routers = {**self._routers, **routers}
        self._log.emit(
            'store-read',
            config=self.cfg.number if self.cfg else None,
            endpoints=len(entries),
            absent=absent,
            routers=self.router_count,
            after_outage=grace_until_ms is not None,
        )

    def expire(self) -> None:
        """Remove endpoints that were not relisted after an outage."""
        for endpoint in self.table.expire_absent(self._now_ms()):
            self._log.emit('endpoint-gone', endpoint=endpoint, why='lapsed')

    def _set_config(self, cfg: model.GatewayConfig | None) -> None:
        if cfg is None:
            return
        if self.cfg is not None and cfg.number <= self.cfg.number:
            return
        self.cfg = cfg
        self.routes = route_table.RouteTable(cfg.routes)
        self.limits = cfg.limits
        self._log.emit(
            'config-applied',
            version=cfg.number,
            routes=len(cfg.routes),
            keys=len(cfg.accounts),
        )

    def _set_endpoint(self, item: model.EndpointItem) -> None:
        now_ms = self._now_ms()
        if item.entry is not None:
            endpoint = self.table.put(item.entry, now_ms)
            self._log.emit(
                'endpoint-listed',
                endpoint=item.id,
                service=item.entry.service,
                domain=item.entry.domain,
                draining=item.entry.is_draining,
                cold_ms=max(0.0, round(endpoint.warm_at_ms - now_ms)),
            )
            return
        self.table.remove(item.id)
        self._log.emit('endpoint-gone', endpoint=item.id, why='removed')

    def _set_evacuated(self, evacuated: set[types.FailureDomainId]) -> None:
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        services = self.cfg.services if self.cfg else {}
        self.table.set_evacuated(evacuated, services, self._now_ms())
        self._log.emit('domains-out', domains=sorted(evacuated))

    def _set_router(self, item: model.RouterItem) -> None:
        if item.entry is not None:
            self._routers[item.id] = item.entry
        elif item.id != self._own_id:
            self._routers.pop(item.id, None)
        self._log.emit('routers', count=self.router_count, changed=item.id)
