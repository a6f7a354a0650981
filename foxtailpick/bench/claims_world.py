"""Simulated sidecars, store and service that are driven step by step.

The claim engine, the attempt table and the store state are the production
classes. At each suspension point of a coroutine the driver picks the outcome
of the pending operation: a Hypothesis state machine in the tests, a seeded
generator in the soak. There is no event loop, so a run depends only on the
picks.
"""

import dataclasses
import typing

from foxtailpick.bench import stepped_store
from foxtailpick.core import attempts
from foxtailpick.core import claim_leases
from foxtailpick.core import claim_records
from foxtailpick.core import claimed_attempts
from foxtailpick.core import claims
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick import history
from foxtailpick.standins import keyvalue

Verdict = verdict_lib.Verdict
LEASE_TIMES = claim_leases.LeaseTimes(
    retention_ms=10_000_000.0, span_ms=100_000.0, max_claim_age_ms=5_000.0
)
ATTEMPT_LIMITS = attempts.AttemptLimits(
    max_attempts=6, max_unopened=3, retention_ms=20_000.0
)
MAX_STEPS_TO_DRAIN = 10_000


OpOutcome = stepped_store.OpOutcome
Operation = stepped_store.Operation


@dataclasses.dataclass(slots=True)
class SentCall:
    """A call sent from a router to a sidecar.

    :param call: id of the call and of its attempt.
    :param key: idempotency key of the call.
    :param body: request body.
    :param slot: index of the sidecar.
    :param incarnation: incarnation of the sidecar that it is addressed to.
    :param sent_ms: time of sending.
    :param is_returned: whether the caller has received the outcome.
    """

    call: types.AttemptId
    key: claim_records.ClaimKey
    body: bytes
    slot: int
    incarnation: types.Incarnation
    sent_ms: float
    is_returned: bool = False


@dataclasses.dataclass(slots=True)
class Task:
    """A coroutine of a sidecar.

    :param coroutine: the suspended coroutine.
    :param slot: index of the sidecar.
    :param operation: pending operation, None before the first step.
    """

    coroutine: typing.Coroutine
    slot: int
    operation: Operation | None = None


class Sidecar:
    """One incarnation of a sidecar with production tables.

    :param slot: index of the sidecar.
    :param incarnation: incarnation id.
    :param world: simulation that it belongs to.
    """

    def __init__(
        self, slot: int, incarnation: types.Incarnation, world: 'ClaimsWorld'
    ) -> None:
        owner = claim_records.ClaimOwner(
            types.EndpointId(f'e{slot}'), incarnation
        )
        self.incarnation = incarnation
        self.table = attempts.AttemptTable(
            incarnation, world.monitor, ATTEMPT_LIMITS
        )
        self.engine = claims.ClaimEngine(
            stepped_store.SteppedKeyValue(world.state, world.delayed),
            owner,
            world.clock,
            world.monitor,
            LEASE_TIMES,
            world.claim_limits,
        )


class ClaimsWorld:
    """State of one simulation run and the steps that change it.

    Steps with a `pick` parameter use it modulo the number of candidates and
    do nothing if there are none.

    :param slots: number of sidecars.
    :param is_save_awaited: whether results are stored before the reply.
    """

    def __init__(self, slots: int = 2, is_save_awaited: bool = False) -> None:
        self.claim_limits = claims.ClaimLimits(
            max_records=4, cache_ms=3_000.0, is_save_awaited=is_save_awaited
        )
        self.clock = clock_lib.ManualClock()
        self.monitor = invariants.Monitor(is_strict=True)
        self.state = keyvalue.KeyValueState(self.clock.now)
        self.delayed: list[Operation] = []
        self.events: list[history.CallEvent] = []
        self.in_flight: list[SentCall] = []
        self.sent: list[SentCall] = []
        self.tasks: list[Task] = []
        self._incarnations = 0
        self.sidecars: list[Sidecar] = []
        for slot in range(slots):
            self.sidecars.append(self._make_sidecar(slot))

    def send(self, key: str, body: bytes, slot: int) -> SentCall:
        """Send a call to a sidecar; any router may send to any sidecar."""
        slot %= len(self.sidecars)
        sent_call = SentCall(
            types.AttemptId(f'c{len(self.sent)}'),
            claim_records.ClaimKey('acc', 'svc', types.IdempotencyKey(key)),
            body,
            slot,
            self.sidecars[slot].incarnation,
            self.clock.now(),
        )
        self.sent.append(sent_call)
        self.in_flight.append(sent_call)
        self._record(history.CallInvoked, sent_call.call, key, body)
        return sent_call

    def deliver(self, pick: int, is_duplicated: bool) -> None:
        """Deliver a frame; a duplicated one also stays in flight."""
        if not self.in_flight:
            return
        index = pick % len(self.in_flight)
        sent_call = self.in_flight[index]
        if not is_duplicated:
            del self.in_flight[index]
        table = self.sidecars[sent_call.slot].table
        try:
            open_result = table.open(
                sent_call.call,
                sent_call.incarnation,
                sent_call.sent_ms,
                self.clock.now(),
            )
        except errors.RefusedError as exc:
            self._record_return(sent_call, exc.verdict, None)
            return
        if open_result is attempts.OpenResult.NEW:
            self._spawn(self._serve(sent_call), sent_call.slot)

    def query(self, pick: int) -> None:
        """Query the state of a call, as a router does after a timeout."""
        unknown = [item for item in self.sent if not item.is_returned]
        if not unknown:
            return
        sent_call = unknown[pick % len(unknown)]
        report = self.sidecars[sent_call.slot].table.query(
            sent_call.call,
            sent_call.incarnation,
            self.clock.now() - sent_call.sent_ms,
            self.clock.now(),
        )
        if report.verdict is not Verdict.MAY_HAVE_RUN:
            self._record_return(sent_call, report.verdict, report.answer)

    def step(self, pick: int, outcome: OpOutcome) -> None:
        """Complete the pending operation of a task and run to its next one."""
        if self.tasks:
            self._advance(self.tasks[pick % len(self.tasks)], outcome)

    def cancel(self, pick: int, outcome: OpOutcome) -> None:
        """Cancel a task; `outcome` applies to its pending operation."""
        if self.tasks:
            self._cancel_task(self.tasks[pick % len(self.tasks)], outcome)

    def crash(self, slot: int, outcome: OpOutcome) -> None:
        """Replace a sidecar by a new incarnation with empty tables."""
        slot %= len(self.sidecars)
        for task in [item for item in self.tasks if item.slot == slot]:
            self._cancel_task(task, outcome)
        self.sidecars[slot] = self._make_sidecar(slot)

    def flush_pending(self, slot: int) -> None:
        """Start writing the pending results of a sidecar to the store."""
        slot %= len(self.sidecars)
        self._spawn(self._flush_pending(self.sidecars[slot]), slot)

    def apply_delayed(self, pick: int) -> None:
        """Apply a delayed operation whose reply was lost earlier."""
        if not self.delayed:
            return
        operation = self.delayed.pop(pick % len(self.delayed))
        try:
            operation()
        except errors.StoreError:
            return

    def drain(self) -> None:
        """End all faults, finish all work and retry every key."""
        self.state.bring_up()
        while self.in_flight:
            self.deliver(0, False)
        self._finish_tasks()
        while self.delayed:
            self.apply_delayed(0)
        for index in range(len(self.sent)):
            self.query(index)
        for item in list(self.sent):
            self._retry(item)
        for slot in range(len(self.sidecars)):
            self.flush_pending(slot)
        self._finish_tasks()

    def count_pending(self) -> int:
        """Return the number of keys with results not yet in the store."""
        return sum(sidecar.engine.pending for sidecar in self.sidecars)

    def find_breaches(self) -> list[history.Breach]:
        """Return the rule violations in the history so far."""
        return history.check_calls(self.events)

    def _retry(self, item: SentCall) -> None:
        # Expires the earlier attempts from the tables.
        self.clock.advance(ATTEMPT_LIMITS.retention_ms)
        self.send(item.key.key, item.body, item.slot + 1)
        self.deliver(0, False)
        self._finish_tasks()

    def _finish_tasks(self) -> None:
        for _ in range(MAX_STEPS_TO_DRAIN):
            if not self.tasks:
                return
            self.step(0, OpOutcome.DONE)
        raise TimeoutError(
            f'expected all tasks to end within {MAX_STEPS_TO_DRAIN} steps, '
            f'{len(self.tasks)} are still running; look for a loop'
        )

    def _make_sidecar(self, slot: int) -> Sidecar:
        self._incarnations += 1
        name = types.Incarnation(f'i{self._incarnations}')
        return Sidecar(slot, name, self)

    async def _serve(self, sent_call: SentCall) -> None:
        sidecar = self.sidecars[sent_call.slot]
        try:
            report = await claimed_attempts.serve_attempt(
                sidecar.table,
                sidecar.engine,
                sent_call.call,
                sent_call.key,
                sent_call.body,
                lambda: self._call_service(sent_call),
                self.clock,
            )
        except errors.InvariantError:
            raise
        except errors.FoxtailError as exc:
            self._record_return(sent_call, exc.verdict, None)
        else:
            self._record_return(sent_call, report.verdict, report.answer)

    async def _flush_pending(self, sidecar: Sidecar) -> None:
        try:
            await sidecar.engine.flush_pending()
        except errors.StoreError:
            return

    async def _call_service(self, sent_call: SentCall) -> bytes:
        key = sent_call.key.key
        answer = f'{key} {sent_call.call}'.encode()

        def run() -> None:
            self._record(history.CallRan, sent_call.call, key, answer)

        outcome = await stepped_store.wait_for_outcome(run)
        if outcome is OpOutcome.REFUSED:
            raise errors.RequestError(
                errors.ErrorCode.ENDPOINT_FAILED, 'connection refused'
            )
        if outcome is OpOutcome.LATE:
            self.delayed.append(run)
        elif outcome is not OpOutcome.REQUEST_LOST:
            run()
        if outcome is OpOutcome.DONE:
            return answer
        raise errors.RequestError(
            errors.ErrorCode.ENDPOINT_FAILED,
            'connection lost',
            Verdict.MAY_HAVE_RUN,
        )

    def _spawn(self, coroutine: typing.Coroutine, slot: int) -> None:
        task = Task(coroutine, slot)
        self.tasks.append(task)
        self._advance(task, None)

    def _advance(self, task: Task, outcome: OpOutcome | None) -> None:
        try:
            task.operation = task.coroutine.send(outcome)
        except StopIteration:
            self.tasks.remove(task)

    def _cancel_task(self, task: Task, outcome: OpOutcome) -> None:
        self.tasks.remove(task)
        if outcome in (OpOutcome.DONE, OpOutcome.REPLY_LOST):
            self.delayed.append(task.operation)
            self.apply_delayed(len(self.delayed) - 1)
        elif outcome is OpOutcome.LATE:
            self.delayed.append(task.operation)
        task.coroutine.close()

    def _record_return(
        self, sent_call: SentCall, verdict: Verdict, answer: bytes | None
    ) -> None:
        if sent_call.is_returned:
            return
        sent_call.is_returned = True
        self._record(history.CallReturned, sent_call.call, verdict, answer)

    def _record(self, event_type: type, *fields: object) -> None:
        self.events.append(event_type(float(len(self.events)), *fields))
