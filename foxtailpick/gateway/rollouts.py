"""Follows orders to roll out versions, and writes what becomes of them."""

import dataclasses
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import restored_store
from foxtailpick.core.dispatch import rollout_exposure
from foxtailpick.core.dispatch import rollout_records
from foxtailpick.core.dispatch import rollout_reports
from foxtailpick.core.dispatch import rollouts as rollouts_lib
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import mirror as mirror_lib
from foxtailpick.gateway import rollout_log
from foxtailpick.gateway import rollout_path
from foxtailpick.gateway import store_layout

# Interval between decisions while an order is under way.
DECISION_INTERVAL_MS = 150.0
# Interval of the check whether the configuration names a service by now.
UNKNOWN_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class _Order:
    """The latest order for a service, as this router sees it.

    :param order: the order.
    :param rollout: its state for the data path.
    :param began_unix_ms: wall clock when this router learned of it.
    :param is_withdrawn: whether it is no longer in the store.
    :param agreed: the final state that the record states, or that another
        router read in it, None before that.
    :param decision: the latest decision on it.
    :param write_at_ms: when to write its state, None if there is no need.
    :param is_writing: whether a task is writing it.
    """

    order: model.RolloutOrder
    rollout: rollouts_lib.Rollout
    began_unix_ms: float
    is_withdrawn: bool = False
    agreed: model.RolloutState | None = None
    decision: rollouts_lib.Decision | None = None
    write_at_ms: float | None = None
    is_writing: bool = False

    def get_wanted(self) -> model.RolloutState:
        """Return the state that its record should have."""
        if self.agreed is not None:
            return self.agreed
        if self.rollout.is_condemned:
            return model.RolloutState.ROLLED_BACK
        action = rollouts_lib.Action.WAIT
        if self.decision is not None:
            action = self.decision.action
        if action is rollouts_lib.Action.COMPLETE:
            return model.RolloutState.COMPLETED
        return model.RolloutState.IN_PROGRESS


class RolloutKeeper:
    """Carries out the orders of the operators together with other routers.

    :param gw: the gateway.
    :param mirror: calls the store.
    :param store: client of the store.
    :param layout: where the store keeps the records.
    :param is_hub: tells whether this router is the hub, or the only one.
    :param wall_ms: function that returns the wall clock, in Unix ms.
    """

    def __init__(
        self,
        gw: context.Gateway,
        mirror: mirror_lib.Mirror,
        store: mirror_lib.Store,
        layout: store_layout.StoreLayout,
        is_hub: typing.Callable[[], bool],
        wall_ms: typing.Callable[[], float],
    ) -> None:
        self._gw = gw
        self._mirror = mirror
        self._store = store
        self._layout = layout
        self._is_hub = is_hub
        self._wall_ms = wall_ms
        self._orders: dict[types.ServiceId, _Order] = {}
        self._unknown: set[types.RolloutId] = set()
        self._has_reader = False

    async def run(self) -> None:
        """Follow orders until cancelled; idle while there is none."""
        state = self._gw.state
        async with trio.open_nursery() as nursery:
            while True:
                changed = state.orders_changed
                interval_ms = self._step(nursery)
                if interval_ms is None:
                    await changed.wait()
                    continue
                with trio.move_on_after(interval_ms / types.SECOND_MS):
                    await changed.wait()

    def list_open(self) -> list[rollouts_lib.Rollout]:
        """Return the roll-outs whose final state is not known."""
        return [
            item.rollout
            for item in self._orders.values()
            if item.agreed is None
        ]

    def list_agreed(
        self,
    ) -> dict[types.RolloutId, model.RolloutState]:
        """Return the final states that were agreed on, by order."""
        return {
            item.order.id: item.agreed
            for item in self._orders.values()
            if item.agreed is not None
        }

    def record_told(
        self, order: types.RolloutId, state: model.RolloutState
    ) -> None:
        """Note the final state of an order that another router knows.

        :param order: the order.
        :param state: the state.
        """
        for service, item in self._orders.items():
            if item.order.id == order and item.agreed is None:
                self._agree(service, item, state, 'router')

    def _step(self, nursery: trio.Nursery) -> float | None:
        """Act on what is known; return when to do so again, None: unneeded."""
        self._update_orders()
        interval_ms = UNKNOWN_INTERVAL_MS if self._unknown else None
        is_open = False
        for service, item in self._orders.items():
            self._read_record(service, item)
            if self._is_settled(service, item):
                continue
            is_open = True
            self._decide(service, item)
            if self._is_write_due(service, item):
                item.is_writing = True
                item.write_at_ms = None
                nursery.start_soon(self._write, service, item)
        if is_open and not self._has_reader:
            self._has_reader = True
            nursery.start_soon(self._read_records)
        return DECISION_INTERVAL_MS if is_open else interval_ms

    def _update_orders(self) -> None:
        """Begin with new orders, and note which are withdrawn."""
        state = self._gw.state
        logged, self._unknown = self._unknown, set()
        for service, order in state.list_orders().items():
            item = self._orders.get(service)
            if order is None:
                if item is not None and not item.is_withdrawn:
                    item.is_withdrawn = True
                    item.rollout.is_condemned |= item.agreed is None
            elif item is None or item.order.id != order.id:
                if self._is_known(service):
                    self._begin(service, order, item)
                else:
                    self._unknown.add(order.id)
                    if order.id not in logged:
                        self._log_unknown(order)
            elif item.is_withdrawn:
                # Listed again by a store that had lacked it.
                item.is_withdrawn = False
                item.rollout.is_condemned = order.duration_ms <= 0

    def _is_known(self, service: types.ServiceId) -> bool:
        cfg = self._gw.state.cfg
        return cfg is not None and service in cfg.services

    def _log_unknown(self, order: model.RolloutOrder) -> None:
        self._gw.log.emit(
            'rollout-invalid',
            service=order.service,
            order=order.id,
            code=errors.ErrorCode.ROLLOUT_INVALID.value,
            why='expected a service of the configuration; the order waits '
            'until it is there',
        )

    def _begin(
        self,
        service: types.ServiceId,
        order: model.RolloutOrder,
        before: _Order | None,
    ) -> None:
        gw = self._gw
        if before is not None and self._is_same(order, before):
            # Written again to a store that had lost it.
            before.order = order
            before.rollout.order = order
            # The hub adds up the evidence by order.
            rollout_reports.repeat_all(before.rollout)
            gw.log.emit('rollout-again', service=service, order=order.id)
            return
        rollout = rollouts_lib.Rollout.from_order(
            order, gw.now_ms(), self._make_bounds()
        )
        rollout.alone_since_ms = gw.state.alone_since_ms
        item = _Order(order, rollout, self._wall_ms())
        self._bar(service, order, before)
        self._orders[service] = item
        gw.rollouts[service] = rollout
        gw.metrics.count('rollouts')
        gw.log.emit(
            'rollout-begun',
            service=service,
            order=order.id,
            version=order.version,
            duration_ms=order.duration_ms,
            is_fresh=gw.state.is_order_fresh(order.id),
            replaces=before.order.id if before else None,
            barred=sorted(gw.barred_versions.get(service, ())),
        )
        if order.duration_ms <= 0:
            rollout.is_condemned = True
            gw.log.emit(
                'rollout-invalid',
                service=service,
                order=order.id,
                code=errors.ErrorCode.ROLLOUT_INVALID.value,
                why='expected a duration above 0 s and of one day at most; '
                'the order is rolled back',
            )

    def _is_same(self, order: model.RolloutOrder, before: _Order) -> bool:
        return (
            self._gw.state.is_copied
            and not before.is_withdrawn
            and restored_store.is_rewritten(order, before.order)
        )

    def _make_bounds(self) -> rollout_exposure.RolloutBounds:
        cfg = self._gw.cfg
        return rollout_exposure.RolloutBounds(
            cfg.exposure_share, cfg.exposure_slack, cfg.rollback_ms
        )

    def _bar(
        self,
        service: types.ServiceId,
        order: model.RolloutOrder,
        before: _Order | None,
    ) -> None:
        """Keep requests away from the version of an unfinished order."""
        barred = set(self._gw.barred_versions.get(service, ()))
        if before is not None:
            if before.agreed is model.RolloutState.COMPLETED:
                barred.discard(before.order.version)
            else:
                barred.add(before.order.version)
        barred.discard(order.version)
        self._gw.barred_versions[service] = frozenset(barred)

    def _read_record(self, service: types.ServiceId, item: _Order) -> None:
        """Follow the record of an order, whatever was believed before."""
        record = self._gw.state.get_record(service)
        if record is None or record.order != item.order.id:
            return
        barred = self._gw.barred_versions.get(service, frozenset())
        self._gw.barred_versions[service] = barred | set(record.barred)
        if not self._gw.state.is_order_fresh(item.order.id):
            self._set_begin(item, record)
        if rollout_records.is_final(record.state):
            if item.agreed is not record.state:
                self._agree(service, item, record.state, 'record')

    def _set_begin(self, item: _Order, record: model.RolloutRecord) -> None:
        """Take the begin of an order that was given some time ago."""
        if item.began_unix_ms == record.began_unix_ms:
            return
        # The wall clocks of two machines may differ.
        passed_ms = self._wall_ms() - record.began_unix_ms
        passed_ms = min(max(0.0, passed_ms), item.order.duration_ms)
        item.began_unix_ms = record.began_unix_ms
        item.rollout.began_ms = self._gw.now_ms() - passed_ms

    def _agree(
        self,
        service: types.ServiceId,
        item: _Order,
        state: model.RolloutState,
        source: str,
    ) -> None:
        gw = self._gw
        gw.metrics.count(f'rollouts_{state.value}')
        gw.log.emit(
            'rollout-final',
            service=service,
            order=item.order.id,
            version=item.order.version,
            state=state.value,
            source=source,
            before=item.agreed.value if item.agreed else None,
            wanted=item.get_wanted().value,
        )
        item.agreed = state
        # The record decides, also against what this router found.
        item.rollout.state = state
        item.rollout.is_condemned = state is model.RolloutState.ROLLED_BACK
        if state is model.RolloutState.COMPLETED:
            barred = gw.barred_versions.get(service, frozenset())
            gw.barred_versions[service] = barred | self._list_old(item)

    def _list_old(self, item: _Order) -> frozenset[types.Version]:
        """Return the other versions of the service's endpoints."""
        return frozenset(
            endpoint.entry.version
            for endpoint in self._gw.state.table.list_all()
            if endpoint.entry.service == item.order.service
            and endpoint.entry.version != item.order.version
        )

    def _is_settled(self, service: types.ServiceId, item: _Order) -> bool:
        """Tell whether nothing is left to read or to write."""
        if not self._gw.state.is_order_certain(service):
            return False
        record = self._gw.state.get_record(service)
        if record is None:
            return False
        if record.order != item.order.id:
            # Another order has been given and withdrawn since.
            return item.is_withdrawn
        return rollout_records.is_final(record.state)

    def _decide(self, service: types.ServiceId, item: _Order) -> None:
        gw = self._gw
        now_ms = gw.now_ms()
        rollout_path.observe_endpoints(gw, item.rollout)
        before = item.decision
        item.decision = rollouts_lib.decide(item.rollout, now_ms)
        item.rollout.is_leaving_old = (
            item.decision.action is rollouts_lib.Action.COMPLETE
        )
        if item.decision.action is rollouts_lib.Action.ROLL_BACK:
            # In effect at once; only the others' word can come first.
            item.rollout.is_condemned = True
        if before is None or (before.action, before.reason) != (
            item.decision.action,
            item.decision.reason,
        ):
            gw.log.emit(
                'rollout-decision',
                service=service,
                order=item.order.id,
                version=item.order.version,
                passed_ms=round(now_ms - item.rollout.began_ms),
                routers=gw.state.router_count,
                **rollout_log.format_decision(item.decision),
            )

    def _is_write_due(self, service: types.ServiceId, item: _Order) -> bool:
        gw = self._gw
        now_ms = gw.now_ms()
        wanted = item.get_wanted()
        record = gw.state.get_record(service)
        plan = rollout_records.plan_record(
            item.order,
            wanted,
            item.began_unix_ms,
            record,
            self._list_old(item),
        )
        is_certain = gw.state.is_order_certain(service)
        if plan is None or item.is_writing or not is_certain:
            item.write_at_ms = None
            return False
        if item.write_at_ms is None:
            item.write_at_ms = now_ms + rollout_records.compute_write_delay_ms(
                self._is_hub(), gw.state.router_count, gw.rng
            )
            if wanted is model.RolloutState.COMPLETED and item.agreed is None:
                item.write_at_ms += item.rollout.leave_ms
        first_ms = item.write_at_ms
        if gw.state.is_copied and item.agreed is None:
            restored_ms = gw.state.restored_ms or 0.0
            first_ms = max(
                first_ms, restored_ms + rollout_records.RESTORED_DELAY_MS
            )
        return now_ms >= first_ms

    async def _read_records(self) -> None:
        """Watch the records until those of all orders are final."""
        state = self._gw.state
        delay_ms = rollout_records.compute_read_delay_ms(
            state.router_count, self._gw.rng
        )
        await trio.sleep(delay_ms / types.SECOND_MS)
        await self._mirror.follow(
            self._layout.rollout_prefix,
            state.replace_rollout_records,
            self._is_open,
        )
        self._has_reader = False

    def _is_open(self) -> bool:
        return any(
            not self._is_settled(service, item)
            for service, item in self._orders.items()
        )

    async def _write(self, service: types.ServiceId, item: _Order) -> None:
        """Write the state of an order, unless the record has a final one."""
        try:
            record = await self._mirror.call(
                lambda: self._write_once(service, item)
            )
        finally:
            item.is_writing = False
        known = self._gw.state.get_record(service)
        if record is None or (known and known.revision >= record.revision):
            return
        # The watch reports it later.
        self._gw.state.apply(model.RolloutRecordItem(service, record))

    async def _write_once(
        self, service: types.ServiceId, item: _Order
    ) -> model.RolloutRecord | None:
        """Read order and record, and write it on the condition that it stays.

        A write that was not answered may have been executed, or may be
        later, so each begins with reading what there is. The responses also
        show if the store has returned from an older copy.

        :returns: the record that is now in the store, None if unknown.
        :raises errors.StoreError: if a call fails.
        """
        gw = self._gw
        order_entry = await self._store.get(
            self._layout.make_order_key(service)
        )
        key = self._layout.rollout_prefix + service
        entry = await self._store.get(key)
        record = self._decode(key, entry)
        is_latest = gw.state.is_order_certain(service)
        if item.is_withdrawn:
            is_latest &= order_entry is None
        else:
            is_latest &= (
                order_entry is not None
                and order_entry.revision == item.order.revision
            )
        plan = rollout_records.plan_record(
            item.order,
            item.get_wanted(),
            item.began_unix_ms,
            record,
            self._list_old(item),
        )
        if plan is None or not is_latest or self._is_replaced(service, item):
            return record
        revision = base.ABSENT if entry is None else entry.revision
        result = await self._store.transact(
            [base.Compare(key, revision)],
            self._layout.encode_rollout(service, plan),
        )
        gw.metrics.count('rollout_writes')
        gw.log.emit(
            'rollout-written',
            service=service,
            order=item.order.id,
            state=plan.state.value,
            before=record.state.value if record else None,
            applied=result.is_applied,
            revision=result.revision,
            barred=plan.barred,
        )
        if not result.is_applied:
            return None
        return dataclasses.replace(plan, revision=result.revision)

    def _is_replaced(self, service: types.ServiceId, item: _Order) -> bool:
        return self._orders.get(service) is not item

    def _decode(
        self, key: str, entry: base.Entry | None
    ) -> model.RolloutRecord | None:
        """Return a record, None if there is none that can be read."""
        if entry is None:
            return None
        try:
            item = self._layout.decode(key, entry.value, entry.revision)
        except ValueError as exc:
            self._gw.log.emit('item-skipped', key=key, error=f'{exc!r:.200}')
            return None
        assert isinstance(item, model.RolloutRecordItem)
        return item.record
