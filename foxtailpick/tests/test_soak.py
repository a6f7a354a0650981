"""Tests of the invariant checks of the soak, and short seeded runs."""

import contextlib
import random
import signal
import socket
import subprocess
import sys

import pytest
import trio
import trio.testing

from foxtailpick.core.dispatch import model
from foxtailpick.soak import events
from foxtailpick.soak import plan
from foxtailpick.soak import proxy
from foxtailpick.soak import record
from foxtailpick.soak import resumption
from foxtailpick.soak import run
from foxtailpick.soak import world
from foxtailpick.tests import gateway_harness

UNSAFE = model.RequestKind.UNSAFE
SAFE = model.RequestKind.SAFE


def make_call(kind=UNSAFE, **fields):
    values = {
        'id': 'a1',
        'gateway': 'g1',
        'kind': kind,
        'is_resumable': False,
        'route': 'r',
        'sent_ms': 20_000.0,
        'ended_ms': 20_100.0,
        'status': 200,
        'is_complete': True,
        'signature': 'e1/a1',
        'body': b'x',
        'expected': b'x',
        **fields,
    }
    return record.Call(**values)


def make_run(**fields):
    values = {
        'id': 'a1',
        'gateway': 'g1',
        'endpoint': 'e1',
        'domain': 'north',
        'route': 'r',
        'at_ms': 20_050.0,
        'ended_ms': 20_090.0,
        **fields,
    }
    return record.Run(**values)


def find_rules(call=None, runs=None, **fields):
    seen = record.Record()
    seen.recovery_from_ms = 0.0
    seen.calls = [call or make_call()]
    seen.runs = [make_run()] if runs is None else runs
    for name, value in fields.items():
        getattr(seen, name).update(value)
    return {breach.rule for breach in seen.check()}


def test_correct_call_has_no_violation():
    assert find_rules() == set()


@pytest.mark.parametrize(
    ('call', 'runs', 'rule'),
    [
        ({}, [make_run(), make_run(endpoint='e2')], record.Rule.TWICE),
        ({'status': 503}, None, record.Rule.REFUSED),
        ({'signature': 'e1/a2'}, None, record.Rule.MIXED),
        ({'body': b'y'}, None, record.Rule.MIXED),
        ({'body': b'y', 'is_complete': False}, None, record.Rule.ORDER),
        ({'status': 404}, [], record.Rule.CONFIG),
    ],
)
def test_violation_by_a_call_is_found(call, runs, rule):
    assert rule in find_rules(make_call(**call), runs)


@pytest.mark.parametrize(
    ('fields', 'rule'),
    [
        ({'removed_ms': {'e1': 18_000.0}}, record.Rule.DRAIN),
        ({'dropped_routes': {'r': 18_000.0}}, record.Rule.CONFIG),
        ({'stops': {'g1': [20_050.0]}}, record.Rule.LOST),
    ],
)
def test_violation_during_planned_work_is_found(fields, rule):
    call = make_call(status=0, is_complete=False, body=b'')
    assert rule in find_rules(call, **fields)
    # None of these rules applies to a recently disrupted gateway.
    disrupted = {'disruptions': {'g1': [(17_000.0, 20_200.0)]}}
    assert rule not in find_rules(call, **fields, **disrupted)


def test_run_in_a_domain_out_of_service_is_found():
    seen = record.Record()
    seen.runs = [make_run()]
    seen.evacuated = [('north', 15_000.0, 21_000.0)]
    assert record.Rule.EVACUATION in {item.rule for item in seen.check()}


def test_request_after_an_announced_departure_is_found():
    seen = record.Record()
    seen.runs = [make_run()]
    seen.leaving_ms = {('g1', 'e1', 0): 18_000.0}
    assert record.Rule.DRAIN in {item.rule for item in seen.check()}
    # A new process of the endpoint is not leaving.
    seen.runs = [make_run(start=1)]
    assert record.Rule.DRAIN not in {item.rule for item in seen.check()}
    seen.runs = [make_run()]
    seen.record_disruption('g1', 19_000.0, 19_100.0)
    assert record.Rule.DRAIN not in {item.rule for item in seen.check()}


def test_third_request_in_a_rest_is_found():
    seen = record.Record()
    seen.rests = [record.Rest('g1', 'e1', 10_000.0, 12_000.0)]
    early = ('g1', 'e1', 10_400.0)
    late = ('g1', 'e1', 11_000.0)
    seen.arrivals = [early, early, early, late, late, ('g2', 'e1', 11_000.0)]
    assert record.Rule.REST not in {item.rule for item in seen.check()}
    seen.arrivals.append(late)
    assert record.Rule.REST in {item.rule for item in seen.check()}


def test_requests_above_a_rate_limit_are_found():
    seen = record.Record()
    limit = record.RateLimit('e1', 1.0, 10_000.0)
    limit.told_ms = {'g1': 10_100.0, 'g2': 13_400.0}
    seen.rate_limits = [limit]
    # Before the limit has to be kept, and from a gateway that just knows.
    seen.arrivals = [('g1', 'e1', 12_000.0)] * 20
    seen.arrivals += [('g2', 'e1', 13_500.0)] * 20
    # Six in 4 s, and five.
    seen.arrivals += [('g1', 'e1', 14_000.0 + 300 * n) for n in range(11)]
    assert record.Rule.LIMIT not in {item.rule for item in seen.check()}
    seen.arrivals.append(('g2', 'e1', 15_000.0))
    assert record.Rule.LIMIT in {item.rule for item in seen.check()}
    seen.record_disruption('g2', 14_900.0, 14_950.0)
    assert record.Rule.LIMIT not in {item.rule for item in seen.check()}


def make_regress(item, status, **starts):
    """Return calls that ran, were refused and ran again at one gateway."""
    seen = record.Record()
    seen.recovery_from_ms = 0.0
    seen.calls = [
        make_call(id='a1', sent_ms=10_000.0, ended_ms=10_100.0, **item),
        make_call(
            id='a2',
            sent_ms=13_000.0,
            ended_ms=13_100.0,
            status=status,
            **item,
        ),
        make_call(id='a3', sent_ms=13_400.0, ended_ms=13_500.0, **item),
    ]
    seen.runs = [make_run(id='a1'), make_run(id='a3')]
    seen.starts.update(starts)
    return seen


@pytest.mark.parametrize(
    ('item', 'status', 'dropped'),
    [
        ({'route': 'r9'}, 404, {'dropped_routes': {'r9': 12_000.0}}),
        ({'key': 'k9'}, 401, {'revoked_keys': {'k9': 12_000.0}}),
    ],
)
def test_return_to_an_older_configuration_is_found(item, status, dropped):
    def find(seen):
        for name, value in dropped.items():
            getattr(seen, name).update(value)
        return {breach.rule for breach in seen.check()}

    assert record.Rule.REGRESS in find(make_regress(item, status))
    # The status refused something else.
    assert record.Rule.REGRESS not in find(
        make_regress(item, {404: 401, 401: 404}[status])
    )
    # A new process may know an older copy of the store only.
    seen = make_regress(item, status, g1=[13_200.0])
    assert record.Rule.REGRESS not in find(seen)


def test_use_of_a_revoked_key_is_found():
    call = make_call(key='k9')
    run = make_run()
    revoked = {'revoked_keys': {'k9': 15_010.0}}
    assert record.Rule.CONFIG not in find_rules(call, [run], **revoked)
    revoked = {'revoked_keys': {'k9': 14_900.0}}
    assert record.Rule.CONFIG in find_rules(call, [run], **revoked)


def test_crashing_prompts_that_are_not_contained_are_found():
    seen = record.Record()
    part = seen.crashing_parts['crash1']
    part.crashes_ms = [1_000.0, 1_500.0, 2_000.0, 2_500.0, 3_000.0]
    part.arrivals = [('g1', 6_000.0)] * 9 + [('g1', 6_100.0)] * 3
    assert record.Rule.CRASH not in {item.rule for item in seen.check()}
    part.arrivals.append(('g2', 6_200.0))
    assert record.Rule.CRASH in {item.rule for item in seen.check()}
    seen.record_disruption('g2', 4_000.0, 4_100.0)
    assert record.Rule.CRASH not in {item.rule for item in seen.check()}


def test_crashing_requests_that_are_not_contained_are_found():
    """They have to be contained after fewer crashes than prompts."""
    seen = record.Record()
    part = seen.crashing_parts['crash1']
    part.crashes_ms = [1_000.0, 1_100.0, 1_200.0]
    part.arrivals = [('g1', 6_000.0)] * 4
    assert record.Rule.CRASH not in {item.rule for item in seen.check()}
    part.crashes_to_learn = record.CRASHES_OF_REQUEST_TO_LEARN
    assert record.Rule.CRASH in {item.rule for item in seen.check()}
    part.arrivals.pop()
    assert record.Rule.CRASH not in {item.rule for item in seen.check()}


def test_safe_call_may_run_twice():
    runs = [make_run(), make_run(endpoint='e2')]
    assert find_rules(make_call(SAFE), runs) == set()


def test_run_for_a_disconnected_caller_is_found():
    call = make_call(
        SAFE, status=0, is_complete=False, body=b'', has_disconnected=True
    )
    other = make_call(id='a2', signature='e1/a2')
    seen = record.Record()
    seen.recovery_from_ms = 0.0
    seen.calls = [call, other]
    seen.runs = [make_run(ended_ms=None), make_run(id='a2')]
    assert {item.rule for item in seen.check()} == {record.Rule.GONE}


async def gets_response(conn):
    with trio.move_on_after(0.3):
        try:
            await conn.send(gateway_harness.format_ask('/safe/x'))
            return (await gateway_harness.read_answer(conn)).status == 200
        except OSError:
            return False
    return False


@pytest.mark.parametrize(
    'fault', [proxy.Fault.BLACK_HOLE, proxy.Fault.SILENT, proxy.Fault.RESET]
)
async def test_proxy_faults_break_open_connections(fault):
    async def answer(exchange):
        await exchange.answer()

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        fault_proxy = proxy.Proxy(harness.address)
        harness.nursery.start_soon(fault_proxy.serve)
        harness.address = fault_proxy.address
        conn = await harness.send('/safe/x')
        assert (await gateway_harness.read_answer(conn)).status == 200
        fault_proxy.set_fault(fault)
        assert not await gets_response(conn)
        fault_proxy.set_fault(proxy.Fault.NONE)
        assert (await harness.ask('/safe/x')).status == 200
        conn.close()


async def test_port_of_a_crashed_endpoint_stays_reserved(nursery):
    fault_proxy = proxy.Proxy(('127.0.0.1', 1))
    nursery.start_soon(fault_proxy.serve)
    await trio.testing.wait_all_tasks_blocked()
    fault_proxy.crash(100.0)
    await trio.testing.wait_all_tasks_blocked(0.01)
    with trio.socket.socket() as sock, pytest.raises(ConnectionRefusedError):
        await sock.connect(fault_proxy.address)
    with trio.socket.socket() as sock, pytest.raises(OSError):
        await sock.bind(fault_proxy.address)
    await trio.sleep(0.2)
    with trio.socket.socket() as sock:
        await sock.connect(fault_proxy.address)


def make_stream(request, writers, **fields):
    body = b''.join(
        events.format_event(number, version)
        for number, version in enumerate(writers, 1)
    )
    return make_call(
        model.RequestKind.STREAMING,
        id=request,
        is_resumable=True,
        body=body,
        **fields,
    )


@pytest.mark.parametrize(
    ('call', 'is_found'),
    [
        (make_stream('a1', ['v1', 'v1']), False),
        (make_stream('a1', ['v7', 'v7']), False),
        (make_stream('a1', ['v1', 'v7']), True),
        (make_stream('a1', ['v7'], resumes='a0', versions=('v1',)), True),
    ],
)
def test_stream_joined_of_two_versions_is_found(call, is_found):
    seen = record.Record()
    seen.calls = [call]
    rules = [breach.rule for breach in resumption.check(seen)]
    assert rules == ([record.Rule.ORDER] if is_found else [])


@pytest.mark.parametrize(
    ('endpoints', 'is_found'), [(1, False), (2, True), (3, True)]
)
def test_streams_that_do_not_go_on_are_found(endpoints, is_found):
    seen = record.Record()
    seen.recovery_from_ms = 0.0
    seen.calls = [make_stream('a1', ['v1'])] + [
        make_stream(
            f'a1-r{number}',
            [],
            status=503,
            resumes='a1',
            versions=('v1',),
            version_endpoints=endpoints,
        )
        for number in range(12)
    ]
    rules = [breach.rule for breach in resumption.check(seen)]
    assert rules == ([record.Rule.LOST] if is_found else [])


def test_events_of_a_version_are_compared_without_it():
    event = events.format_event(3, 'v7')
    plain = events.format_event(3, events.FIRST_VERSION)
    assert events.list_versions(event) == ['v7']
    assert events.strip_versions(event) == plain
    assert plain.startswith(events.strip_versions(event[:-3]))


def test_padded_events_are_those_without_padding():
    event = events.format_event(3, 'v7', 200)
    assert len(event) > 200
    assert events.list_versions(event) == ['v7']
    assert events.find_last_event(event) == 3
    plain = events.format_event(3, padding_bytes=200)
    assert events.strip_versions(event) == plain


def test_port_that_only_closed_connections_hold_is_free():
    """As gateways of an earlier run leave it for a minute."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for port in range(19_000, 19_800, 4):
            with contextlib.suppress(OSError):
                listener.bind(('127.0.0.1', port))
                break
        listener.listen()
        with socket.create_connection(('127.0.0.1', port)) as caller:
            conn, _ = listener.accept()
            # The side that closes first keeps the port.
            conn.close()
            assert caller.recv(1) == b''
        with pytest.raises(OSError):
            world._find_ports(iter([port]))
    assert world._find_ports(iter([port])) == list(range(port, port + 4))


async def test_crashed_engine_that_left_does_not_register_again(
    nursery, tmp_path, autojump_clock
):
    """Also while a restored store still lists it."""
    with world.World(
        nursery, random.Random(1), tmp_path, plan.Plan()
    ) as soak_world:
        endpoint = soak_world.add_endpoint('engine')
        copy = soak_world.store.take_copy()
        soak_world.remove_endpoint(endpoint)
        soak_world.store.restore(copy)
        soak_world.crash_endpoint(endpoint)
        await trio.sleep(2 * world.CRASH_DOWN_MS / 1_000)
        key = f'servers/{endpoint.id}'
        assert soak_world.store.items[key] is copy.items[key]
        nursery.cancel_scope.cancel()


_IGNORE_SIGTERM = """
import signal
signal.signal(signal.SIGTERM, signal.SIG_IGN)
print(flush=True)
signal.pause()
"""


async def test_gateway_that_outlives_its_grace_period_is_killed(
    nursery, tmp_path
):
    command = [sys.executable, '-c', _IGNORE_SIGTERM]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    log = (tmp_path / 'g1.log').open('wb')
    gateway = world.Gateway(
        'g1', tmp_path / 'g1.boot', ('127.0.0.1', 1), None, log, process
    )
    with (
        process.stdout as output,
        world.World(
            nursery, random.Random(1), tmp_path, plan.Plan(grace_ms=200.0)
        ) as soak_world,
    ):
        soak_world.gateways.append(gateway)
        assert output.readline() == b'\n'
        soak_world.record.starts['g1'].append(world.now_ms())
        soak_world.stop_gateway(gateway)
        # It is no stop of its own.
        soak_world.stop_gateway(gateway)
        await trio.sleep(0.5)
        assert process.wait(5.0) == -signal.SIGKILL
        (stop_ms,) = soak_world.record.stops['g1']
        ((name, end_ms),) = soak_world.record.overruns
        assert name == 'g1' and end_ms >= stop_ms + 200.0
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('seed', [5])
def test_seeded_run_with_two_versions(seed):
    run.run_versions(seed)


@pytest.mark.parametrize('seed', [1, 2])
def test_seeded_run_of_real_processes(seed):
    run.run_seed(seed)


@pytest.mark.parametrize('seed', [2])
def test_seeded_run_with_departures(seed):
    run.run_departures(seed)
