"""Tests of roll-outs of a version through gateways, over loopback sockets."""

import contextlib
import dataclasses
import functools
import itertools
import json
import random

from loguru import logger
import pytest
import trio

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import rollout_choice
from foxtailpick.core.dispatch import rollout_evidence
from foxtailpick.core.dispatch import rollouts
from foxtailpick.core import ring
from foxtailpick.platform import items
from foxtailpick.platform.standins import rollout_operator
from foxtailpick.platform.standins import store_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

SERVICE = 'plain'
# Longer than what a busy machine adds, so that a slow version is slow there.
WORK_MS = 25.0
DURATION_S = 12
# Most that a bad version may get, as the operators' documentation says.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
COMPLETED = model.RolloutState.COMPLETED
ROLLED_BACK = model.RolloutState.ROLLED_BACK
FAULTS = {
    'failing': rollout_operator.Fault(failing_share=0.4),
    'slow': rollout_operator.Fault(slowness=10.0),
    'later': rollout_operator.Fault(failing_share=0.5, after_ms=1_500.0),
    'one-route': rollout_operator.Fault(failing_share=0.6, prefix='/unsafe/'),
}


@pytest.fixture
def log_lines():
    """Return a function that returns what was logged so far."""
    lines = []
    sink = logger.add(lines.append, format='{message}')
    yield lambda: ''.join(lines)
    logger.remove(sink)


class Load:
    """Callers who send requests to gateways until they are told to stop.

    :param harnesses: the gateways.
    """

    def __init__(self, harnesses):
        self.harnesses = harnesses
        self.statuses = []
        self.numbers = itertools.count()

    async def run(self, callers=12):
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(self._ask_often)

    async def _ask_often(self):
        while True:
            number = next(self.numbers)
            harness = self.harnesses[number % len(self.harnesses)]
            path = '/safe/x' if number % 3 else '/unsafe/x'
            answer = await harness.ask(path, X_Attempt_Id=f'a{number}')
            self.statuses.append(answer.status)


class Fleet:
    """Endpoints of two versions at a store.

    :param harness: the gateway whose store they register at.
    """

    def __init__(self, harness):
        self.harness = harness
        self.rng = random.Random(1)
        self.standins = {}

    def start(self, version, fault=rollout_operator.SOUND, count=2):
        """Start endpoints of a version."""
        for number in range(count):
            endpoint = f'{version}-{number}'
            script = rollout_operator.make_script(WORK_MS, fault, self.rng)
            self.standins[endpoint] = self.harness.add_endpoint(
                endpoint, SERVICE, script, version=version
            )

    def count(self, version):
        """Return the number of requests that a version got."""
        return sum(
            len(standin.received)
            for endpoint, standin in self.standins.items()
            if endpoint.startswith(f'{version}-')
        )

    async def stop(self, version):
        """Stop the endpoints of a version at once, without draining."""
        for endpoint, standin in self.standins.items():
            if endpoint.startswith(f'{version}-'):
                standin.crash(60_000.0)

    async def until_known(self, *harnesses):
        """Wait until gateways know all endpoints."""
        for harness in harnesses:
            await harness.until_known(*self.standins)


@contextlib.asynccontextmanager
async def open_fleet(gateways=1):
    """Yield gateways that share a store, endpoints and an operator."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(gateway_harness.open_harness())
        harnesses = [first]
        for number in range(1, gateways):
            harnesses.append(
                await stack.enter_async_context(
                    gateway_harness.open_harness(
                        name=f'router-{number + 1}', store=first.store
                    )
                )
            )
        for harness in harnesses:
            await harness.until(
                lambda harness=harness: (
                    harness.gw.state.router_count == gateways
                )
            )
        if gateways == 1:
            # As one that has read the list of routers for a while.
            await first.until(lambda: first.gw.state.alone_since_ms)
            first.gw.state.alone_since_ms -= rollouts.LONE_MS
        fleet = Fleet(first)
        fleet.start('v1')
        await fleet.until_known(*harnesses)
        yield harnesses, fleet, rollout_operator.RolloutOperator(first.store)


def get_state(harness):
    """Return the state of the roll-out at a gateway."""
    return harness.gw.rollouts[SERVICE].state


@pytest.mark.parametrize('gateways', [1, 3])
async def test_good_version_is_completed_without_a_caller_noticing(gateways):
    async with open_fleet(gateways) as (harnesses, fleet, operator):
        load = Load(harnesses)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(0.3)
            fleet.start('v2')
            operator.order(SERVICE, 'v2', DURATION_S)
            with trio.fail_after(DURATION_S):
                state = await operator.wait_for_final(SERVICE, 'v2')
            assert state is COMPLETED
            await fleet.stop('v1')
            before = fleet.count('v2')
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        assert set(load.statuses) == {200}
        assert fleet.count('v2') > before
        assert [get_state(item) for item in harnesses] == [
            COMPLETED
        ] * gateways
        states = operator.list_states(SERVICE)
        assert states == [('in_progress', 'v2'), ('completed', 'v2')]


@pytest.mark.parametrize('kind', FAULTS)
@pytest.mark.parametrize('gateways', [1, 3])
async def test_bad_version_is_rolled_back(kind, gateways):
    async with open_fleet(gateways) as (harnesses, fleet, operator):
        load = Load(harnesses)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(0.3)
            before = fleet.count('v1')
            fleet.start('v2', FAULTS[kind])
            operator.order(SERVICE, 'v2', DURATION_S)
            with trio.fail_after(DURATION_S):
                state = await operator.wait_for_final(SERVICE, 'v2')
            assert state is ROLLED_BACK
            await trio.sleep(0.5)
            exposed = fleet.count('v2')
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        total = fleet.count('v1') + fleet.count('v2') - before
        assert fleet.count('v2') == exposed
        assert exposed <= EXPOSURE_SHARE * total + EXPOSURE_SLACK
        states = operator.list_states(SERVICE)
        assert states == [('in_progress', 'v2'), ('rolled_back', 'v2')]


async def run_gateway(
    name, store, scopes, task_status=trio.TASK_STATUS_IGNORED
):
    """Run a gateway that can be killed."""
    with trio.CancelScope() as scopes[name]:
        async with gateway_harness.open_harness(
            name=name, store=store
        ) as harness:
            task_status.started(harness)
            await trio.sleep_forever()


@pytest.mark.parametrize('kind', ['sound', 'failing'])
async def test_hub_is_killed_midway(kind):
    """The others carry the order out; callers of the hub go elsewhere."""
    names = ['router-1', 'router-2', 'router-3']
    hub = ring.rank_by_rendezvous('hub', dict.fromkeys(names, 1.0))[0]
    standin = store_server.PlatformStoreStandIn()
    standin.put('op/config', gateway_harness.make_config())
    fault = FAULTS.get(kind, rollout_operator.SOUND)
    scopes = {}
    async with trio.open_nursery() as nursery:
        harnesses = {
            name: await nursery.start(
                functools.partial(run_gateway, name, standin, scopes)
            )
            for name in names
        }
        others = [harnesses[name] for name in names if name != hub]
        fleet = Fleet(others[0])
        fleet.start('v1')
        for harness in harnesses.values():
            await harness.until(
                lambda h=harness: h.gw.state.router_count == len(names)
            )
            await fleet.until_known(harness)
        operator = rollout_operator.RolloutOperator(standin)
        load = Load(others)
        nursery.start_soon(load.run)
        await trio.sleep(0.3)
        fleet.start('v2', fault)
        operator.order(SERVICE, 'v2', DURATION_S)
        await others[0].until(lambda: operator.list_states(SERVICE))
        scopes[hub].cancel()
        with trio.fail_after(DURATION_S):
            state = await operator.wait_for_final(SERVICE, 'v2')
        assert state is (COMPLETED if kind == 'sound' else ROLLED_BACK)
        assert len(operator.list_states(SERVICE)) == 2
        nursery.cancel_scope.cancel()


async def test_gateway_that_starts_midway_learns_begin_and_state():
    async with open_fleet() as ((harness,), fleet, operator):
        fleet.start('v2')
        operator.order(SERVICE, 'v2', 60)
        await harness.until(lambda: operator.list_states(SERVICE))
        began_ms = harness.gw.rollouts[SERVICE].began_ms
        await trio.sleep(2)
        async with gateway_harness.open_harness(
            name='router-2', store=harness.store
        ) as other:
            await fleet.until_known(other)
            await other.until(lambda: SERVICE in other.gw.rollouts)
            await other.until(
                lambda: other.gw.state.get_record(SERVICE) is not None
            )
            await trio.sleep(0.3)
            # Both read the same clock here.
            late_ms = other.gw.rollouts[SERVICE].began_ms - began_ms
            assert abs(late_ms) < 500
        assert operator.list_states(SERVICE) == [('in_progress', 'v2')]


async def test_gateway_that_starts_later_knows_the_end():
    async with open_fleet() as ((harness,), fleet, operator):
        fleet.start('v2')
        operator.order(SERVICE, 'v2', 0)
        await operator.wait_for_final(SERVICE, 'v2')
        async with gateway_harness.open_harness(
            name='router-2', store=harness.store
        ) as other:
            await fleet.until_known(other)
            await other.until(
                lambda: (
                    SERVICE in other.gw.rollouts
                    and get_state(other) is ROLLED_BACK
                )
            )
            before = fleet.count('v2')
            for _ in range(20):
                assert (await other.ask('/safe/x')).status == 200
            assert fleet.count('v2') == before


async def test_withdrawn_order_is_rolled_back():
    async with open_fleet() as ((harness,), fleet, operator):
        fleet.start('v2')
        operator.order(SERVICE, 'v2', 60)
        await harness.until(lambda: operator.list_states(SERVICE))
        operator.withdraw(SERVICE)
        with trio.fail_after(gateway_harness.LIMIT_S):
            state = await operator.wait_for_final(SERVICE, 'v2')
        assert state is ROLLED_BACK
        before = fleet.count('v2')
        for _ in range(20):
            assert (await harness.ask('/safe/x')).status == 200
        assert fleet.count('v2') == before


def write_record(harness, state):
    """Write the final state of the order under way, as another router."""
    record = dataclasses.replace(
        harness.gw.state.get_record(SERVICE), state=state, barred=('v1',)
    )
    for item in items.LAYOUT.encode_rollout(SERVICE, record):
        harness.store.put(item.key, item.value)


async def test_record_decides_and_a_completed_order_outlasts_its_removal():
    async with open_fleet() as ((harness,), fleet, operator):
        fleet.start('v2')
        operator.order(SERVICE, 'v2', 60)
        await harness.until(lambda: harness.gw.state.get_record(SERVICE))
        # Found bad here, and completed by the others.
        rollout = harness.gw.rollouts[SERVICE]
        write_record(harness, COMPLETED)
        rollout.is_condemned = True
        await harness.until(lambda: get_state(harness) is COMPLETED)
        assert not rollout.is_condemned
        operator.withdraw(SERVICE)
        await harness.until(
            lambda: harness.gw.state.list_orders()[SERVICE] is None
        )
        await trio.sleep(0.5)
        assert not rollout.is_condemned
        before = fleet.count('v1')
        for _ in range(20):
            assert (await harness.ask('/safe/x')).status == 200
        assert fleet.count('v1') == before
        assert operator.list_states(SERVICE)[-1] == ('completed', 'v2')
        # A version that comes without an order.
        fleet.start('v3')
        await fleet.until_known(harness)
        for _ in range(40):
            assert (await harness.ask('/safe/x')).status == 200
        assert fleet.count('v3') > 0
        assert fleet.count('v1') == before


async def test_replaced_order_ends_without_an_answer_of_its_own():
    async with open_fleet() as ((harness,), fleet, operator):
        fleet.start('v2')
        operator.order(SERVICE, 'v2', 60)
        await harness.until(lambda: operator.list_states(SERVICE))
        fleet.start('v3')
        operator.order(SERVICE, 'v3', 60)
        await harness.until(
            lambda: ('in_progress', 'v3') in operator.list_states(SERVICE)
        )
        # Neither the old version nor the new one: nobody found it good.
        before = fleet.count('v2')
        for _ in range(20):
            assert (await harness.ask('/safe/x')).status == 200
        assert fleet.count('v2') == before
        record = harness.gw.state.get_record(SERVICE)
        assert record.barred == ('v2',)
        operator.order(SERVICE, 'v1', 60)
        await harness.until(
            lambda: ('in_progress', 'v1') in operator.list_states(SERVICE)
        )
        before_v1 = fleet.count('v1')
        for _ in range(20):
            assert (await harness.ask('/safe/x')).status == 200
        assert fleet.count('v1') == before_v1 + 20
        assert fleet.count('v2') == before


async def test_repeated_order_is_a_new_one_after_a_roll_back():
    async with open_fleet() as ((harness,), fleet, operator):
        fleet.start('v2')
        operator.order(SERVICE, 'v2', -1)
        await operator.wait_for_final(SERVICE, 'v2')
        operator.order(SERVICE, 'v2', 60)
        await harness.until(lambda: len(operator.list_states(SERVICE)) == 2)
        assert operator.list_states(SERVICE) == [
            ('rolled_back', 'v2'),
            ('in_progress', 'v2'),
        ]


async def test_order_for_the_version_in_force_is_no_outage():
    async with open_fleet() as ((harness,), fleet, operator):
        operator.order(SERVICE, 'v1', 60)
        await harness.until(lambda: operator.list_states(SERVICE))
        for _ in range(20):
            assert (await harness.ask('/safe/x')).status == 200
        operator.withdraw(SERVICE)
        await operator.wait_for_final(SERVICE, 'v1')
        for _ in range(20):
            assert (await harness.ask('/safe/x')).status == 200


@pytest.mark.parametrize('duration', [0, -3, 1e9, 'soon', None, True, []])
async def test_order_with_an_unusable_duration_is_rolled_back(duration):
    async with open_fleet() as ((harness,), fleet, operator):
        fleet.start('v2')
        operator.order(SERVICE, 'v2', duration)
        with trio.fail_after(gateway_harness.LIMIT_S):
            state = await operator.wait_for_final(SERVICE, 'v2')
        assert state is ROLLED_BACK


@pytest.mark.parametrize(
    'value',
    [
        b'\xff',
        b'[' * 100_000,
        b'7',
        json.dumps({'service': 'engine', 'to': 'v2', 'duration_s': 9}),
        json.dumps({'service': SERVICE, 'duration_s': 9}),
        json.dumps({'service': SERVICE, 'to': '', 'duration_s': 9}),
        json.dumps({'service': SERVICE, 'to': [], 'duration_s': 9}),
        json.dumps({'service': SERVICE, 'to': 'v' * 999, 'duration_s': 9}),
    ],
)
async def test_unreadable_order_is_logged_and_not_answered(value, log_lines):
    value = value if isinstance(value, bytes) else value.encode()
    async with open_fleet() as ((harness,), fleet, operator):
        harness.store.put(f'op/rollout/{SERVICE}', value)
        await harness.until(lambda: 'FTP-307' in log_lines())
        assert (await harness.ask('/safe/x')).status == 200
        assert not operator.list_states(SERVICE)
        assert SERVICE not in harness.gw.rollouts


async def test_order_for_an_unknown_service_waits_for_it(log_lines):
    async with open_fleet() as ((harness,), fleet, operator):
        operator.order('unheard', 'v2', 60)
        await harness.until(lambda: 'FTP-307' in log_lines())
        assert not operator.list_states('unheard')
        cfg = gateway_harness.make_config(2)
        cfg['services'].append({'name': 'unheard'})
        harness.store.put('op/config', cfg)
        await harness.until(lambda: operator.list_states('unheard'))


async def test_without_an_order_nothing_is_called_for():
    async with open_fleet(2) as (harnesses, _, _):
        # Until the endpoints' entries have been read.
        await trio.sleep(1)
        calls = harnesses[0].store.calls
        before = {name: calls.count(name) for name in set(calls)}
        load = Load(harnesses)
        with trio.move_on_after(1.5):
            await load.run()
        new = {
            name
            for name in set(calls)
            if calls.count(name) > before.get(name, 0)
        }
        assert new <= {'kv-range'} | {
            name for name in calls if name.startswith('kv-keep')
        }
        assert not any(item.gw.rollouts for item in harnesses)


async def test_gateway_without_the_store_learns_the_end_from_others():
    async with open_fleet(2) as (harnesses, fleet, operator):
        fleet.start('v2')
        await fleet.until_known(*harnesses)
        operator.order(SERVICE, 'v2', 30)
        for harness in harnesses:
            await harness.until(lambda h=harness: SERVICE in h.gw.rollouts)
        cut, other = harnesses
        # The record is no longer read there.
        cut.gw.state.apply = lambda item: None
        cut.gw.state.replace_rollout_records = lambda items: None
        operator.withdraw(SERVICE)
        await other.until(lambda: get_state(other) is ROLLED_BACK)
        await cut.until(lambda: get_state(cut) is ROLLED_BACK)


async def test_reused_address_runs_nothing_of_others():
    async def answer_own(exchange):
        if exchange.is_for('v2-0'):
            await exchange.answer()
        else:
            await exchange.answer(421, b'', is_signed=False)

    async with open_fleet() as ((harness,), fleet, operator):
        operator.order(SERVICE, 'v2', 60)
        await harness.until(lambda: SERVICE in harness.gw.rollouts)
        # An endpoint of the old version is gone; one of another service has
        # its address before the store removes its entry.
        fleet.standins['v1-0'].script = answer_own
        rollout = harness.gw.rollouts[SERVICE]
        for number in range(30):
            answer = await harness.ask('/unsafe/x', X_Attempt_Id=f'a{number}')
            assert answer.status == 200
        gw = harness.gw
        assert rollout.exposure.sent == 30
        assert not any(
            tally.failures for tally in rollout.evidence.tallies.values()
        )
        assert not gw.end_checks
        assert not gw.metrics.counters['signature_quarantines']
        assert gw.state.table.get('v1-1').health.failures == 0


async def test_prompts_are_not_fetched_from_a_version_that_was_rolled_back(
    monkeypatch,
):
    choose = placing.choose_within_limits
    leaving = []

    def note(endpoints, query, rng):
        leaving.extend(item.entry.version for item in query.leaving)
        return choose(endpoints, query, rng)

    monkeypatch.setattr(placing, 'choose_within_limits', note)
    async with open_fleet() as ((harness,), fleet, operator):
        for version in ('v1', 'v2'):
            harness.add_endpoint(
                f'{version}-gone',
                SERVICE,
                gateway_scripts.answer_plainly,
                version=version,
                state='draining',
            )
        await harness.until_known('v1-gone', 'v2-gone')
        operator.order(SERVICE, 'v2', 0)
        await operator.wait_for_final(SERVICE, 'v2')
        await harness.until(lambda: get_state(harness) is ROLLED_BACK)
        assert (await harness.ask('/safe/x')).status == 200
    assert leaving == ['v1']


async def answer_stream(exchange):
    """Send a stream whose second half comes late."""
    await exchange.begin_stream()
    await exchange.send_events(1, 2)
    await trio.sleep(0.1)
    await exchange.send_events(3, 4)
    await exchange.end_stream()


async def test_streams_count_by_their_begin_and_as_a_whole():
    async with open_fleet() as ((harness,), _, operator):
        harness.add_endpoint('e1', 'engine', answer_stream, version='v1')
        harness.add_endpoint('e2', 'engine', answer_stream, version='v2')
        await harness.until_known('e1', 'e2')
        operator.order('engine', 'v2', 60)
        await harness.until(lambda: 'engine' in harness.gw.rollouts)
        for number in range(5):
            answer = await harness.ask('/fixed/x', X_Attempt_Id=f's{number}')
            assert answer.status == 200
        tallies = harness.gw.rollouts['engine'].evidence.tallies
        slowest = {
            rollout_evidence.is_whole(route): max(tally.classes)
            for (_, route, _), tally in tallies.items()
        }
        late = rollout_evidence.find_class(100.0)
        assert slowest[False] < late <= slowest[True]


async def test_request_is_not_sent_after_a_verdict_while_it_connects(
    monkeypatch,
):
    def select_new(rollout, endpoints, *_):
        return [
            item
            for item in endpoints
            if rollout.is_new(item) is not rollout.is_condemned
        ]

    monkeypatch.setattr(rollout_choice, 'select_endpoints', select_new)
    async with open_fleet() as ((harness,), fleet, operator):
        fleet.start('v2')
        await fleet.until_known(harness)
        operator.order(SERVICE, 'v2', 60)
        await harness.until(lambda: SERVICE in harness.gw.rollouts)
        gw = harness.gw
        rollout = gw.rollouts[SERVICE]
        acquire = gw.pool.acquire
        acquired = []

        async def condemn(endpoint):
            conn = await acquire(endpoint)
            acquired.append(endpoint.entry.version)
            rollout.is_condemned = True
            return conn

        gw.pool.acquire = condemn
        assert (await harness.ask('/unsafe/x')).status == 200
        assert acquired == ['v2', 'v1']
        assert fleet.count('v2') == 0
        assert rollout.exposure.sent_new == 0
        assert rollout.exposure.sent == 1


async def test_bad_version_gets_nothing_when_the_old_one_is_gone():
    async with open_fleet() as (harnesses, fleet, operator):
        (harness,) = harnesses
        fleet.start('v2')
        await fleet.until_known(harness)
        operator.order(SERVICE, 'v2', DURATION_S)
        await harness.until(lambda: SERVICE in harness.gw.rollouts)
        harness.gw.rollouts[SERVICE].is_condemned = True
        for endpoint in list(fleet.standins):
            if endpoint.startswith('v1-'):
                harness.store.remove(f'servers/{endpoint}')
                await harness.until(
                    lambda name=endpoint: (
                        harness.gw.state.table.get(name) is None
                    )
                )
        answer = await harness.ask('/unsafe/x', X_Attempt_Id='a-last')
    assert answer.status == 503
    assert fleet.count('v2') == 0
