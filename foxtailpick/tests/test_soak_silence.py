"""Tests of the soak's silent endpoints and of its check of lost requests.

Run as a program, it is a gateway with a mistake that the soak must find.
"""

import dataclasses
import functools
import tempfile

import pytest
import trio

from foxtailpick.core.dispatch import model
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import endpoint_io
from foxtailpick.gateway import exchange as exchange_lib
from foxtailpick.gateway import http1
from foxtailpick.platform import run as platform_run
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.soak import faults
from foxtailpick.soak import losses
from foxtailpick.soak import plan as plan_lib
from foxtailpick.soak import proxy as proxy_lib
from foxtailpick.soak import record as record_lib
from foxtailpick.soak import run
from foxtailpick.soak import waits
from foxtailpick.soak import world as world_lib

Excuse = losses.Excuse
Fate = losses.Fate
STREAMING = model.RequestKind.STREAMING
PLAN = plan_lib.Plan(is_planned_only=True)
# Silences alone, in a run of a few seconds.
SHORT_SILENCE = dataclasses.replace(
    plan_lib.SILENCE,
    callers=12,
    faults=5,
    fault_window_ms=3_000.0,
    settling_ms=500.0,
)
HASTY_TIMEOUT_S = 0.4


def make_call(**fields):
    values = {
        'id': 'a1',
        'gateway': 'g1',
        'kind': STREAMING,
        'is_resumable': True,
        'route': 'movable',
        'sent_ms': 20_000.0,
        'written_ms': 20_001.0,
        'begun_ms': 20_100.0,
        'ended_ms': 21_200.0,
        'status': 200,
        **fields,
    }
    return record_lib.Call(**values)


def make_record(*calls, runs=(), **fields):
    seen = record_lib.Record(PLAN)
    seen.calls = list(calls)
    seen.runs = list(runs)
    for name, value in fields.items():
        getattr(seen, name).update(value)
    return seen


def make_run(**fields):
    values = {
        'id': 'a1',
        'gateway': 'g1',
        'endpoint': 'e1',
        'domain': 'north',
        'route': 'movable',
        'at_ms': 20_050.0,
        'ended_ms': 21_200.0,
        **fields,
    }
    return record_lib.Run(**values)


NO_STATUS = {'status': 0, 'begun_ms': 0.0}
CROSSED = {**NO_STATUS, 'ended_ms': 20_150.0}


@pytest.mark.parametrize(
    ('fields', 'fate'),
    [
        ({}, Fate.CUT_WITHIN_ANSWER),
        (NO_STATUS, Fate.CUT_BEFORE_STATUS),
        (
            {**NO_STATUS, 'has_disconnected': True, 'has_given_up': True},
            Fate.UNANSWERED,
        ),
    ],
)
def test_loss_is_found(fields, fate):
    seen = make_record(make_call(**fields))
    (breach,) = losses.check(seen)
    assert breach.rule is record_lib.Rule.LOST
    assert fate.value in breach.detail


@pytest.mark.parametrize('status', [200, 429, 502, 503, 504])
def test_whole_answer_is_no_loss(status):
    call = make_call(status=status, is_complete=True)
    assert not losses.check(make_record(call))
    is_success = status == 200
    expected = Fate.ANSWERED if is_success else Fate.REFUSED
    assert losses.find_fate(call) is expected


@pytest.mark.parametrize(
    ('call', 'fields', 'excuse'),
    [
        ({'has_disconnected': True}, {}, Excuse.CALLER_LEFT),
        ({**NO_STATUS, 'written_ms': 0.0}, {}, Excuse.NOT_SENT),
        (CROSSED, {}, Excuse.CROSSED),
        (CROSSED, {'passed_on': {'a1': [('e1', 20_050.0)]}}, None),
        (CROSSED, {'logged': {'a1'}}, None),
        ({'ended_ms': 22_500.0}, {}, Excuse.TIMED_OUT),
        ({'ended_ms': 22_400.0}, {}, None),
        (
            {},
            {
                'timeouts_ms': {
                    'movable': [(0.0, 9_000.0), (19_000.0, 1_200.0)]
                }
            },
            Excuse.TIMED_OUT,
        ),
        (
            {},
            {
                'timeouts_ms': {
                    'movable': [(0.0, 1_200.0), (15_000.0, 9_000.0)]
                }
            },
            None,
        ),
        ({}, {'crashes_ms': {'e1': [21_000.0]}}, Excuse.ENDPOINT_ENDED),
        # The grace period is 4 s; its last sixth begins after 3,333 ms.
        ({}, {'stops': {'g1': [17_500.0]}}, Excuse.GRACE_ENDED),
        ({}, {'stops': {'g1': [18_500.0]}}, None),
        ({}, {'stops': {'g1': [16_900.0]}}, None),
        (
            {'sent_ms': 19_000.0},
            {'stops': {'g1': [16_300.0]}},
            Excuse.GRACE_ENDED,
        ),
        (
            {'sent_ms': 19_000.0},
            {'stops': {'g1': [16_100.0]}},
            None,
        ),
        ({}, {'stops': {'g2': [17_500.0]}}, None),
    ],
)
def test_only_what_the_rule_excuses_is_excused(call, fields, excuse):
    call = make_call(**call)
    seen = make_record(call, runs=[make_run()], **fields)
    assert losses.find_excuse(seen, call) is excuse
    assert bool(losses.check(seen)) is (excuse is None)


def test_stream_is_excused_if_its_last_endpoint_broke_it_off():
    seen = make_record(
        make_call(),
        runs=[make_run(is_broken=True), make_run(endpoint='e2')],
    )
    # The second endpoint went on with it.
    assert losses.find_lost(seen) == seen.calls
    seen.runs[1].is_broken = True
    assert losses.find_excuse(seen, seen.calls[0]) is Excuse.BROKEN_OFF


@pytest.mark.parametrize(
    ('from_ms', 'to_ms', 'excuse'),
    [
        (19_900.0, 21_160.0, Excuse.UNREAD),
        # Sent before, and ended after the gateway ran again.
        (20_010.0, 21_300.0, None),
        (19_900.0, 21_100.0, None),
    ],
)
def test_only_a_gateway_that_did_not_run_has_not_read(from_ms, to_ms, excuse):
    call = make_call(**NO_STATUS)
    seen = make_record(call, holds={'g1': [(from_ms, to_ms)]})
    assert losses.find_excuse(seen, call) is excuse
    seen.overruns = [('g2', to_ms - 1.0)]
    assert losses.find_excuse(seen, call) is excuse
    if from_ms < call.sent_ms:
        # It never ran again.
        seen.overruns = [('g1', to_ms - 1.0)]
        assert losses.find_excuse(seen, call) is Excuse.UNREAD
    seen = make_record(make_call(), holds={'g1': [(from_ms, to_ms)]})
    assert losses.find_lost(seen) == seen.calls


def test_stall_of_the_run_is_not_held_against_a_gateway():
    call = make_call(**NO_STATUS, ended_ms=20_900.0)
    seen = make_record(call)
    assert losses.find_lost(seen) == [call]
    seen.stalls = [(19_000.0, 20_600.0)]
    assert losses.find_lost(seen) == [call]
    seen.stalls = [(20_100.0, 20_820.0)]
    assert losses.find_excuse(seen, call) is Excuse.CROSSED


def test_stall_of_the_run_may_delay_the_end_of_a_grace_period():
    call = make_call(sent_ms=19_000.0, ended_ms=21_400.0)
    seen = make_record(call, runs=[make_run()], stops={'g1': [16_300.0]})
    assert losses.find_lost(seen) == [call]
    seen.stalls = [(20_000.0, 20_050.0)]
    assert losses.find_lost(seen) == [call]
    seen.stalls = [(20_000.0, 20_110.0)]
    assert losses.find_excuse(seen, call) is Excuse.GRACE_ENDED
    # Not if it was sent too late.
    call.sent_ms = 19_400.0
    assert losses.find_lost(seen) == [call]


def test_call_behind_a_stream_that_is_cut_off_shares_its_excuse():
    stream = make_call(id='a0', ended_ms=22_500.0)
    call = make_call(**NO_STATUS, predecessor=stream, ended_ms=22_400.0)
    seen = make_record(stream, call)
    assert losses.find_excuse(seen, call) is Excuse.PREDECESSOR
    stream.ended_ms = 22_400.0
    assert losses.find_lost(seen) == [stream, call]
    stream.is_complete = True
    assert losses.find_lost(seen) == [call]


def test_states_that_a_silence_met_are_counted():
    silence = record_lib.Silence('e1', False, 20_500.0, 21_500.0)
    calls = [
        make_call(id='begun'),
        make_call(id='sent', **NO_STATUS),
        make_call(id='connecting', **NO_STATUS),
        make_call(id='queued', **NO_STATUS),
    ]
    calls.append(make_call(id='read', **NO_STATUS, predecessor=calls[0]))
    arrival = [('e1', 20_050.0)]
    seen = make_record(*calls, passed_on={'begun': arrival, 'sent': arrival})
    seen.silences = [silence]
    placed = {'event': 'placed', 'ms': 20_600.0, 'endpoint': 'e1'}
    lines = {
        'connecting': [placed],
        'queued': [{'event': 'held', 'ms': 20_020.0}],
    }
    counts = losses.count_states(seen, lines)
    assert counts[losses.State.UNREAD] == counts[losses.State.BEGUN] == 0
    del counts[losses.State.UNREAD], counts[losses.State.BEGUN]
    assert set(counts.values()) == {1} and len(counts) == 5


async def ask(conn, request):
    head = http1.format_request(
        b'GET', b'/x', b'h', [(b'X-Attempt-Id', request)], 0
    )
    await conn.send(head)


async def get_status(conn, request):
    await ask(conn, request)
    with trio.fail_after(5.0):
        status, _, _ = await exchange_lib.read_response(conn)
    return status


async def test_silent_endpoint_goes_on_as_if_nothing_had_been(nursery):
    async def script(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await begun.wait()
        await exchange.send_events(3, 4)
        await exchange.end_stream()

    begun = trio.Event()
    standin = endpoint_server.EndpointStandIn(script)
    sock = http1.listen(('127.0.0.1', 0), 16)
    address = sock.getsockname()
    nursery.start_soon(standin.serve, sock)
    conn = await client_lib.ClientConnection.connect(address)
    await ask(conn, b'a1')
    head = await conn.next_event()
    assert head.status == 200
    body = b''
    while body.count(b'id:') < 2:
        body += await conn.next_event()
    with standin.silence():
        begun.set()
        other = await client_lib.ClientConnection.connect(address)
        await ask(other, b'a2')
        with trio.move_on_after(0.1):
            body += await conn.next_event()
        assert len(standin.received) == 1
    body += await exchange_lib.read_body(conn)
    assert body == b''.join(map(endpoint_server.format_event, range(1, 5)))
    assert (await other.next_event()).status == 200
    assert standin.received[1].held_ms >= 90
    conn.close()
    other.close()


async def test_connects_hang_while_they_are_held(nursery):
    async def script(exchange):
        await exchange.answer()

    standin = endpoint_server.EndpointStandIn(script)
    sock = http1.listen(('127.0.0.1', 0), 16)
    proxy = proxy_lib.Proxy(sock.getsockname())
    nursery.start_soon(standin.serve, sock)
    nursery.start_soon(proxy.serve)
    conn = await client_lib.ClientConnection.connect(proxy.address)
    # Until then the connection may still wait to be accepted.
    assert await get_status(conn, b'a0') == 200
    async with proxy.hold_connects():
        with trio.move_on_after(0.1) as scope:
            await client_lib.ClientConnection.connect(proxy.address)
        assert scope.cancelled_caught
        assert await get_status(conn, b'a1') == 200
    later = await client_lib.ClientConnection.connect(proxy.address)
    assert await get_status(later, b'a2') == 200
    conn.close()
    later.close()


def run_hasty_gateway():
    """Run a gateway that takes a short silence for the end of an answer."""
    next_event = endpoint_io.next_event

    async def next_event_in_time(*args):
        with trio.move_on_after(HASTY_TIMEOUT_S):
            return await next_event(*args)
        raise endpoint_io.EndpointConnectionError('silence', False)

    endpoint_io.next_event = next_event_in_time
    platform_run.main()


def test_gateway_that_ends_streams_at_a_silence_is_found(
    monkeypatch, tmp_path
):
    monkeypatch.setattr(tempfile, 'tempdir', str(tmp_path))
    run_silences = functools.partial(
        run.run_seed, 3, SHORT_SILENCE, (faults.silence_endpoints,), ()
    )
    monkeypatch.setattr(world_lib, 'GATEWAY_MODULE', __name__)
    with pytest.raises(run.SoakError):
        run_silences()
    (path,) = tmp_path.glob('*/breaches')
    # These streams stay at their endpoint, which sends the rest.
    assert '(fixed) at g' in path.read_text('utf-8')
    assert Fate.CUT_WITHIN_ANSWER.value in path.read_text('utf-8')
    assert '"state": "begun"' in path.with_name('cases').read_text('utf-8')


@pytest.mark.parametrize('seed', [1])
def test_seeded_run_with_silences(seed):
    run.run_silence(seed)


if __name__ == '__main__':
    run_hasty_gateway()


@pytest.mark.parametrize(
    ('waited_ms', 'end', 'breaches'),
    [
        (800.0, 'overload-refused', 0),
        (1_400.0, 'overload-refused', 1),
        (1_400.0, 'overload-admitted', 1),
        (1_400.0, 'ended', 0),
    ],
)
def test_too_long_a_wait_for_room_is_found(waited_ms, end, breaches):
    lines = {
        'a1': [
            {'ms': 100.0, 'event': 'overload-waits', 'left_ms': 1_000.0},
            {'ms': 100.0 + waited_ms, 'event': end},
        ]
    }
    assert len(waits.check(make_record(), lines)) == breaches
