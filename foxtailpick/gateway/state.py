"""A gateway's view of the configuration, the endpoints and the routers."""

import typing

import trio

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import restored_store
from foxtailpick.core.dispatch import route_table
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import decision_log

# A router is kept until it has been missing from the list for this long: a
# lapsed lease is replaced at the next renewal, and a list may be some seconds
# old.
ROUTER_GRACE_MS = 10_000.0


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
        self._router_missing_ms: dict[types.RouterId, float] = {}
        self._evacuated: set[types.FailureDomainId] = set()
        # Out of service, but missing in a store restored from a copy.
        self._unlisted: set[types.FailureDomainId] = set()
        # The latest order for each service, None if it was withdrawn.
        self._orders: dict[types.ServiceId, model.RolloutOrder | None] = {}
        # What a restored store lists in place of these.
        self._doubtful_orders: dict[
            types.ServiceId, model.RolloutOrder | None
        ] = {}
        self._records: dict[types.ServiceId, model.RolloutRecord] = {}
        # Whether the orders are those of an era before the store's return.
        self._is_era_over = False
        # Orders that a watch reported just after they were given.
        self._fresh: set[types.RolloutId] = set()
        self._orders_changed = trio.Event()
        self._endpoints_changed = trio.Event()
        self._restored_ms: float | None = None
        # Since when this router knows of no other, None if it does.
        self.alone_since_ms: float | None = None
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

    @property
    def is_copied(self) -> bool:
        """Whether the store may lack what was written before its return."""
        return restored_store.is_copy(self._restored_ms, self._now_ms())

    @property
    def restored_ms(self) -> float | None:
        """Time of the store's last return from an older copy, if any."""
        return self._restored_ms

    @property
    def orders_changed(self) -> trio.Event:
        """Set once an order or the record of one has changed."""
        return self._orders_changed

    @property
    def endpoints_changed(self) -> trio.Event:
        """Set once a process or the configuration has been added."""
        return self._endpoints_changed

    def list_orders(
        self,
    ) -> typing.Mapping[types.ServiceId, model.RolloutOrder | None]:
        """Return the latest order for each service, None if withdrawn."""
        return self._orders

    def is_order_certain(self, service: types.ServiceId) -> bool:
        """Tell whether the store has the latest order that is known.

        :param service: the service of the order.
        """
        return not self._is_era_over and service not in self._doubtful_orders

    def is_order_fresh(self, order: types.RolloutId) -> bool:
        """Tell whether an order was read just after it was given.

        :param order: the order, the latest one for its service.
        """
        return order in self._fresh

    def get_record(
        self, service: types.ServiceId
    ) -> model.RolloutRecord | None:
        """Return the record of a service's roll-out, as last read."""
        return self._records.get(service)

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
            self._unlisted.discard(item.domain)
            if item.is_out:
                evacuated.add(item.domain)
            else:
                evacuated.discard(item.domain)
            self._set_evacuated(evacuated, is_just_now=True)
        elif isinstance(item, model.RolloutItem):
            self._doubtful_orders.pop(item.service, None)
            self._log_invalid(item)
            if item.order is not None:
                self._fresh.add(item.order.id)
            self._set_orders({**self._orders, item.service: item.order})
        elif isinstance(item, model.RolloutRecordItem):
            self._set_record(item)

    def replace_rollout_records(
        self, items: typing.Sequence[model.Item]
    ) -> None:
        """Replace the records of roll-outs.

        :param items: all of them.
        """
        self._records = {}
        for item in items:
            if isinstance(item, model.RolloutRecordItem):
                self._set_record(item)

    def replace_operator_items(
        self, items: typing.Sequence[model.Item]
    ) -> None:
        """Replace what the operators wrote.

        :param items: all of it.
        """
        listed = set()
        orders: dict[types.ServiceId, model.RolloutOrder] = {}
        for item in items:
            if isinstance(item, model.ConfigItem):
                self._set_config(item.cfg)
            elif isinstance(item, model.EvacuationItem):
                listed.add(item.domain)
            elif isinstance(item, model.RolloutItem):
                self._log_invalid(item)
                if item.order is not None:
                    orders[item.service] = item.order
        evacuated, self._unlisted = restored_store.select_evacuated(
            listed,
            self._evacuated,
            self.is_copied,
        )
        self._is_era_over = False
        listed_orders, self._doubtful_orders = restored_store.select_orders(
            orders, self._orders, self.is_copied
        )
        self._set_orders({**dict.fromkeys(self._orders), **listed_orders})
        if self._unlisted:
            self._log.emit('domains-kept-out', domains=sorted(self._unlisted))
        self._set_evacuated(evacuated, is_just_now=False)

    def replace_endpoints(
        self,
        items: typing.Sequence[model.Item],
        grace_until_ms: float | None,
    ) -> None:
        """Replace the endpoints by those of a snapshot.

        :param items: their items.
        :param grace_until_ms: time until which missing endpoints are kept,
            since their entries may have expired during an outage of the
            store; None removes them immediately.
        """
        entries = [
            item.entry
            for item in items
            if isinstance(item, model.EndpointItem) and item.entry
        ]
        now_ms = self._now_ms()
        absent = self.table.replace_all(
            entries, now_ms, grace_until_ms, self.is_copied
        )
        self._log.emit(
            'endpoints-read',
            config=self.cfg.number if self.cfg else None,
            endpoints=len(entries),
            absent=absent,
            after_outage=grace_until_ms is not None,
            after_restore=self.is_copied,
        )
        self._wake_for_endpoints()

    def replace_routers(self, items: typing.Sequence[model.Item]) -> None:
        """Update the routers from a list that may be some seconds old.

        A router that is missing is kept for a while, since registrations
        expire in an outage as well. Counting a router that is gone only
        reduces this router's share of each budget.

        :param items: their items.
        """
        now_ms = self._now_ms()
        before = set(self._routers)
        listed = {
            item.id: item.entry
            for item in items
            if isinstance(item, model.RouterItem) and item.entry
        }
        self._routers.update(listed)
        missing = before - listed.keys() - {self._own_id}
        self._router_missing_ms = {
            router: self._router_missing_ms.get(router, now_ms)
            for router in missing
        }
        for router, since_ms in list(self._router_missing_ms.items()):
            if now_ms - since_ms >= ROUTER_GRACE_MS:
                del self._routers[router]
                del self._router_missing_ms[router]
        if self.router_count > 1:
            self.alone_since_ms = None
        elif self.alone_since_ms is None:
            self.alone_since_ms = now_ms
        changed = before.symmetric_difference(self._routers)
        if changed:
            self._log.emit(
                'routers', count=self.router_count, changed=sorted(changed)
            )

    def record_restored_store(self) -> None:
        """Note that the store has just returned from an older copy."""
        self._restored_ms = self._now_ms()
        self._is_era_over = True
        self._records = {}
        self._wake()

    def expire(self) -> None:
        """End what was kept for a while after an outage.

        Endpoints that were not listed again are removed. Once all has been
        written again to a restored store, what it lists applies: failure
        domains that it does not list return to service, and endpoints that
        seemed outdated are used.
        """
        for endpoint in self.table.expire_absent(self._now_ms()):
            self._log.emit('endpoint-gone', endpoint=endpoint, why='lapsed')
        if self.is_copied:
            return
        for endpoint in self.table.accept_doubtful(self._now_ms()):
            self._log.emit('endpoint-accepted', endpoint=endpoint)
        if self._unlisted:
            evacuated = self._evacuated - self._unlisted
            self._unlisted = set()
            self._set_evacuated(evacuated, is_just_now=True)
        if self._doubtful_orders:
            doubtful, self._doubtful_orders = self._doubtful_orders, {}
            self._set_orders({**self._orders, **doubtful})

    def _log_invalid(self, item: model.RolloutItem) -> None:
        if item.error:
            self._log.emit(
                'rollout-invalid',
                service=item.service,
                code=errors.ErrorCode.ROLLOUT_INVALID.value,
                why=item.error,
            )

    def _set_orders(
        self,
        orders: dict[types.ServiceId, model.RolloutOrder | None],
    ) -> None:
        before, self._orders = self._orders, orders
        if orders != before:
            self._wake()
        self._fresh &= {order.id for order in orders.values() if order}
        for service, order in orders.items():
            if order == before.get(service):
                continue
            self._log.emit(
                'rollout-ordered' if order else 'rollout-withdrawn',
                service=service,
                order=order.id if order else None,
                version=order.version if order else None,
                duration_ms=order.duration_ms if order else None,
                after_restore=self.is_copied,
            )

    def _wake(self) -> None:
        self._orders_changed.set()
        self._orders_changed = trio.Event()

    def _wake_for_endpoints(self) -> None:
        self._endpoints_changed.set()
        self._endpoints_changed = trio.Event()

    def _set_record(self, item: model.RolloutRecordItem) -> None:
        if item.record is None:
            self._records.pop(item.service, None)
        else:
            self._records[item.service] = item.record
        self._wake()

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
        self._wake_for_endpoints()

    def _set_endpoint(self, item: model.EndpointItem) -> None:
        now_ms = self._now_ms()
        if item.entry is not None:
            known = self.table.get(item.id)
            endpoint = self.table.put(item.entry, now_ms)
            if endpoint is not known:
                self._wake_for_endpoints()
            self._log.emit(
                'endpoint-listed',
                endpoint=item.id,
                started=item.entry.started,
                sequence=item.entry.sequence,
                service=item.entry.service,
                domain=item.entry.domain,
                draining=endpoint.entry.is_draining,
                cold_ms=max(0.0, round(endpoint.warm_at_ms - now_ms)),
            )
            return
        self.table.remove(item.id, now_ms)
        self._log.emit('endpoint-gone', endpoint=item.id, why='removed')

    def _set_evacuated(
        self, evacuated: set[types.FailureDomainId], is_just_now: bool
    ) -> None:
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        services = self.cfg.services if self.cfg else {}
        self.table.set_evacuated(
            evacuated, services, self._now_ms(), is_just_now
        )
        self._log.emit('domains-out', domains=sorted(evacuated))
