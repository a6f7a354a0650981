"""Carries out what an endpoint is ordered to do; one for each sidecar.

An endpoint that checks fencing numbers refuses an older holder's order.
One that ignores them is safe by time: only the holder of the slot's lease
sends, only while the lease outlasts the longest flight of an order, and
only after the longest flight of any order sent before.
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

# From waking up for a load to its start, beyond the flight of an order.
PREPARATION_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyOptions:
    """How orders are carried out.

    :param is_checking_fencing: whether the endpoint refuses an old number.
    :param flight_ms: longest time from sending an order to its arrival.
    :param poll_ms: time between two looks at the wanted state.
    :param peers: endpoints that may want to load at once.
    """

    is_checking_fencing: bool = False
    flight_ms: float = 2_000.0
    poll_ms: float = 30_000.0
    peers: int = 1


class OrderApplier:
    """The only sender of orders to one endpoint.

    :param endpoint: the endpoint.
    :param holder: name of this process, with its incarnation.
    :param book: the wanted states.
    :param kv: the store, for the slot's lease.
    :param engine: the endpoint.
    :param schedule: spreads loads, None where nothing limits them.
    :param monitor: checks that an old order is never sent.
    :param rng: spreads polls.
    :param options: see there.
    :param lease_options: times of the slot's lease.
    """

    def __init__(
        self,
        endpoint: types.EndpointId,
        holder: str,
        book: orders.OrderBook,
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
        self._book = book
        self._kv = kv
        self._engine = engine
        self._schedule = schedule
        self._monitor = monitor
        self._rng = rng
        self._options = options or ApplyOptions()
        self._lease_options = lease_options or leases.LeaseOptions()
        self._clock = clock_lib.Clock.from_trio()
        self._sent_number = 0
        self._woken = trio.Event()
        # What this process knows to be done; a replaced one starts anew.
        self.done = orders.WantedState()

    def wake(self) -> None:
        """Look at the wanted state now."""
        self._woken.set()

    async def run(self) -> typing.NoReturn:
        """Look at the wanted state again and again and carry it out."""
        while True:
            try:
                await self.apply_once()
            except errors.FoxtailError as exc:
                logger.warning('ORDER {} put off. {}', self._endpoint, exc)
            wait_ms = self._options.poll_ms * self._rng.uniform(0.5, 1.5)
            with trio.move_on_after(wait_ms / types.SECOND_MS):
                await self._woken.wait()
            self._woken = trio.Event()

    async def apply_once(self) -> bool:
        """Carry out what is missing now.

        :returns: whether the wanted state is reached.
        :raises errors.FoxtailError: if the store or the endpoint fails.
        """
        while True:
            wanted = await self._book.read(self._endpoint)
            steps = orders.plan_steps(wanted, self.done)
            if not steps:
                return True
            if not await self._carry_out(steps[0], wanted):
                return False

    async def _carry_out(
        self, step: orders.Step, wanted: orders.WantedState
    ) -> bool:
        span = await self._reserve_load(step)
        holding = leases.hold_lease(
            self._kv,
            self._book.get_slot_key(self._endpoint),
            self._holder,
            self._clock,
            self._lease_options,
        )
        async with holding as lease:
            await self._wait_for_older_orders()
            newest = await self._book.read(self._endpoint)
            if newest != wanted:
                self._log(step, wanted, 'Put off: the wanted state changed')
                return True
            if span and not await self._schedule.wait_for_start(span):
                self._log(step, wanted, 'Put off: its span has passed')
                return True
            return await self._send(step, wanted, lease)

    async def _reserve_load(
        self, step: orders.Step
    ) -> weight_loads.Reservation | None:
        if self._schedule is None or not step.is_load:
            return None
        lead_ms = self._options.flight_ms + PREPARATION_MS
        span = await self._schedule.reserve(
            self._endpoint, self._options.peers, lead_ms
        )
        wait_ms = span.start_ms - self._schedule.now() - lead_ms
        await clock_lib.sleep_ms(wait_ms)
        return span

    async def _wait_for_older_orders(self) -> None:
        """Wait until no order sent before the lease can still arrive."""
        if not self._options.is_checking_fencing:
            await clock_lib.sleep_ms(self._options.flight_ms)

    async def _send(
        self,
        step: orders.Step,
        wanted: orders.WantedState,
        lease: leases.Lease,
    ) -> bool:
        order = base.Order(step.kind, step.target, lease.fencing)
        # Nothing is awaited between these checks and the sending.
        now_ms = self._clock.now()
        lease.require_valid(now_ms + self._options.flight_ms)
        self._check_is_newest(wanted, lease, now_ms)
        self._sent_number = wanted.number
        try:
            await self._engine.send_order(order)
        except errors.RequestError as exc:
            self._log(step, wanted, f'Failed: {exc}')
            if exc.verdict is not verdict_lib.Verdict.NOT_RUN:
                # The order may still arrive; the lease is kept until then.
                await clock_lib.sleep_ms(self._options.flight_ms)
            return False
        self.done = dataclasses.replace(
            self.done.with_order(step.kind, step.target), number=wanted.number
        )
        self._log(step, wanted, f'Done with fencing {lease.fencing}')
        return True

    def _check_is_newest(
        self, wanted: orders.WantedState, lease: leases.Lease, now_ms: float
    ) -> None:
        is_held = lease.is_valid(now_ms)
        self._monitor.check(
            invariants.Invariant.FENCING,
            is_held and wanted.number >= self._sent_number,
            lambda: (
                f'{self._holder} sends change {wanted.number} after '
                f'{self._sent_number}, lease held: {is_held}'
            ),
        )

    def _log(
        self, step: orders.Step, wanted: orders.WantedState, outcome: str
    ) -> None:
        logger.info(
            'ORDER {} {} {}. Change {} by {}. {}.',
            self._endpoint,
            step.kind.value,
            step.target,
            wanted.number,
            wanted.issuer,
            outcome,
        )
