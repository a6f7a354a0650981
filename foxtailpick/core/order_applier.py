"""Reconciles an endpoint with its desired state, in the sidecar.

An endpoint that checks fencing numbers rejects orders of earlier lease
holders. One that ignores them is protected by timing: only the holder of
the endpoint's lease sends, only while the lease outlasts the maximum
delivery time of an order, and only after the maximum delivery time of any
earlier order has passed.
"""

import dataclasses
import random
import typing

from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import leases
from foxtailpick.core import orders
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.core import weight_loads

# Time for acquiring the lease and reading the state before a load starts,
# in addition to the delivery time of an order.
PREPARATION_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Settings of an `OrderApplier`.

    :param is_checking_fencing: whether the endpoint rejects outdated
        fencing numbers.
    :param max_delivery_ms: longest time from sending an order to its
        delivery.
    :param poll_ms: mean interval between reads of the desired state.
    :param peers: endpoints that may load weights at the same time.
    """

    is_checking_fencing: bool = False
    max_delivery_ms: float = 2_000.0
    poll_ms: float = 30_000.0
    peers: int = 1


class OrderApplier:
    """The only sender of orders to one endpoint.

    :param endpoint: the endpoint.
    :param holder: name of this process, including its incarnation.
    :param order_store: the desired states.
    :param kv: the store, for the endpoint's lease.
    :param engine: client of the endpoint.
    :param schedule: schedule of loads, None if loads are not limited.
    :param monitor: checks that an outdated order is never sent.
    :param rng: source of the poll jitter.
    :param options: settings.
    :param lease_options: settings of the endpoint's lease.
    """

    def __init__(
        self,
        endpoint: types.EndpointId,
        holder: str,
        order_store: orders.OrderStore,
        kv: base.KeyValue,
        engine: base.Engine,
        schedule: weight_loads.WeightSchedule | None,
        monitor: invariants.Monitor,
        rng: random.Random,
        options: ApplyOptions | None = None,
        lease_options: leases.LeaseOptions | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._holder = holder
        self._order_store = order_store
        self._kv = kv
        self._engine = engine
        self._schedule = schedule
        self._monitor = monitor
        self._rng = rng
        self._options = options or ApplyOptions()
        self._lease_options = lease_options or leases.LeaseOptions()
        self._clock = clock_lib.Clock.from_trio()
        self._sent_number = 0
        self._wake_event = trio.Event()
        # The state that this process has applied; empty after a restart.
        self.applied = orders.DesiredState()

    def wake(self) -> None:
        """Read and apply the desired state without waiting for the poll."""
        self._wake_event.set()

    async def run(self) -> typing.NoReturn:
        """Poll and apply the desired state until cancelled."""
        while True:
            try:
                await self.apply_once()
            except errors.FoxtailError as exc:
                logger.warning('ORDER {} put off. {}', self._endpoint, exc)
            wait_ms = self._options.poll_ms * self._rng.uniform(0.5, 1.5)
            with trio.move_on_after(wait_ms / types.SECOND_MS):
                await self._wake_event.wait()
            self._wake_event = trio.Event()

    async def apply_once(self) -> bool:
        """Send the missing orders.

        :returns: whether the desired state is reached.
        :raises errors.FoxtailError: if the store or the endpoint fails.
        """
        while True:
            desired = await self._order_store.read(self._endpoint)
            steps = orders.plan_steps(desired, self.applied)
            if not steps:
                return True
            if not await self._apply_step(steps[0], desired):
                return False

    async def _apply_step(
        self, step: orders.Step, desired: orders.DesiredState
    ) -> bool:
        reservation = await self._reserve_load(step)
        holding = leases.hold_lease(
            self._kv,
            self._order_store.get_lease_key(self._endpoint),
            self._holder,
            self._clock,
            self._lease_options,
        )
        async with holding as lease:
            await self._wait_for_older_orders()
            newest = await self._order_store.read(self._endpoint)
            if newest != desired:
                self._log(step, desired, 'Put off: the wanted state changed')
                return True
            if reservation and not await self._schedule.wait_for_start(
                reservation
            ):
                self._log(step, desired, 'Put off: its span has passed')
                return True
            return await self._send(step, desired, lease)

    async def _reserve_load(
        self, step: orders.Step
    ) -> weight_loads.Reservation | None:
        if self._schedule is None or not step.is_load:
            return None
        lead_ms = self._options.max_delivery_ms + PREPARATION_MS
        reservation = await self._schedule.reserve(
            self._endpoint, self._options.peers, lead_ms
        )
        wait_ms = reservation.start_ms - self._schedule.now() - lead_ms
        await clock_lib.sleep_ms(wait_ms)
        return reservation

    async def _wait_for_older_orders(self) -> None:
        """Wait until no order sent before the lease can still be delivered."""
        if not self._options.is_checking_fencing:
            await clock_lib.sleep_ms(self._options.max_delivery_ms)

    async def _send(
        self,
        step: orders.Step,
        desired: orders.DesiredState,
        lease: leases.Lease,
    ) -> bool:
        order = base.Order(step.kind, step.target, lease.fencing)
        # There must be no await between these checks and the send.
        now_ms = self._clock.now()
        lease.require_valid(now_ms + self._options.max_delivery_ms)
        self._check_is_newest(desired, lease, now_ms)
        self._sent_number = desired.number
        try:
            await self._engine.send_order(order)
        except errors.RequestError as exc:
            self._log(step, desired, f'Failed: {exc}')
            if exc.verdict is not verdict_lib.Verdict.NOT_RUN:
                # The order may still be delivered; keep the lease until then.
                await clock_lib.sleep_ms(self._options.max_delivery_ms)
            return False
        self.applied = dataclasses.replace(
            self.applied.with_order(step.kind, step.target),
            number=desired.number,
        )
        self._log(step, desired, f'Done with fencing {lease.fencing}')
        return True

    def _check_is_newest(
        self, desired: orders.DesiredState, lease: leases.Lease, now_ms: float
    ) -> None:
        is_held = lease.is_valid(now_ms)
        self._monitor.check(
            invariants.Invariant.FENCING,
            is_held and desired.number >= self._sent_number,
            lambda: (
                f'{self._holder} sends change {desired.number} after '
                f'{self._sent_number}, lease held: {is_held}'
            ),
        )

    def _log(
        self, step: orders.Step, desired: orders.DesiredState, outcome: str
    ) -> None:
        logger.info(
            'ORDER {} {} {}. Change {} by {}. {}.',
            self._endpoint,
            step.kind.value,
            step.target,
            desired.number,
            desired.issuer,
            outcome,
        )
