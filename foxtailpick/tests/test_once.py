"""Tests of non-idempotent calls under a claim in the sidecar."""

import types

import pytest

from foxtailpick.adapters import base
from foxtailpick.core import attempts
from foxtailpick.core import clock
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import settings
from foxtailpick.core import verdict
from foxtailpick.sidecar import gate as gate_lib
from foxtailpick.sidecar import once
from foxtailpick.sidecar import worker as worker_lib
from foxtailpick.standins import keyvalue

LARGE = attempts.AttemptLimits().max_answer_bytes + 1


class StubGate:
    """The part of the gate that calls under a claim use."""

    def __init__(self, monitor):
        self.attempts = attempts.AttemptTable('i1', monitor)
        self.pool = types.SimpleNamespace(load=0.0, mean=0.0)
        self.slow_start = types.SimpleNamespace(state=None)
        self.faults = []
        self.first_tokens = 0

    def record_first_token(self, started, hit_ratio, now_ms):
        self.first_tokens += 1

    def release(self, started, is_engine_fault, now_ms):
        self.faults.append(is_engine_fault)


@pytest.fixture
def gate(monitor):
    return StubGate(monitor)


@pytest.fixture
def state(manual_clock):
    return keyvalue.KeyValueState(manual_clock.now)


@pytest.fixture
async def runner(gate, state, monitor, nursery):
    store = keyvalue.MemoryKeyValue(state)
    runner = once.AtMostOnceRunner(gate, store, 'e1', monitor, 20.0)
    nursery.start_soon(runner.run_commits)
    return runner


def make_work(gate, attempt='a', key='k'):
    gate.attempts.open(attempt, 'i1', 0.0, 0.0)
    return messages.OpenCall(
        attempt=attempt,
        request='r',
        account='acc',
        service='svc',
        method='POST',
        path='/bookings',
        key=key,
        is_idempotent=False,
        content_type='text/plain',
        deadline_ms=1_000.0,
        body=b'hut',
        mean_load=None,
        candidates=(),
    )


async def test_answer_too_large_to_retain_is_returned(
    autojump_clock, gate, runner
):
    async def call(work):
        return messages.Answer(work.attempt, 200, 'text/plain', b'x' * LARGE)

    for attempt in 'ab':
        answer = await runner.run(make_work(gate, attempt), call)
        assert (answer.attempt, len(answer.body)) == (attempt, LARGE)


@pytest.mark.parametrize('key', ['', 'k' * 999])
async def test_invalid_key_refuses_the_attempt(
    autojump_clock, gate, runner, key
):
    with pytest.raises(errors.RequestError):
        await runner.run(make_work(gate, key=key), None)
    report = gate.attempts.query('a', 'i1', 0.0, 0.0)
    assert report.state is attempts.AttemptState.REFUSED
    assert report.verdict is verdict.Verdict.NOT_RUN


class StubService:
    """A service whose first answers are lost."""

    def __init__(self, failures):
        self.failures = failures
        self.calls = 0

    async def call(self, method, path, body, headers):
        self.calls += 1
        if self.failures:
            self.failures -= 1
            raise errors.RequestError(
                errors.ErrorCode.ENDPOINT_FAILED,
                'lost',
                verdict.Verdict.MAY_HAVE_RUN,
            )
        return base.ServiceAnswer(200, (), b'booked')


@pytest.mark.parametrize(
    ('failures', 'faults', 'first_tokens'),
    [(0, [False, False], 1), (1, [True, False], 0)],
)
async def test_repeated_call_records_no_fault_and_no_first_token(
    autojump_clock, gate, runner, failures, faults, first_tokens
):
    limits = settings.LimitSettings()
    service = StubService(failures)
    worker = worker_lib.Worker(gate, limits, None, service, runner)
    for attempt in 'ab':
        work = make_work(gate, attempt)
        started = gate_lib.StartedAttempt(work, None)
        run = worker.table.add(work, clock.Clock.from_trio().now())
        await worker._run_once(run, started)
    assert gate.faults == faults
    assert gate.first_tokens == first_tokens


async def test_call_is_not_run_after_its_deadline(
    autojump_clock, gate, state, runner
):
    service = StubService(0)
    limits = settings.LimitSettings()
    worker = worker_lib.Worker(gate, limits, None, service, runner)
    state.faults.delay_ms = 600.0
    now_ms = clock.Clock.from_trio().now()
    work = make_work(gate)
    run = worker.table.add(work, now_ms)
    await worker._run_once(run, gate_lib.StartedAttempt(work, None))
    assert run.end.code is errors.ErrorCode.DEADLINE_EXCEEDED
    assert run.end.verdict is verdict.Verdict.NOT_RUN
    assert gate.faults == [False]
    assert service.calls == 0
    work = make_work(gate, 'b')
    run = worker.table.add(work, clock.Clock.from_trio().now() + 5_000.0)
    await worker._run_once(run, gate_lib.StartedAttempt(work, None))
    assert run.end.body == b'booked'
