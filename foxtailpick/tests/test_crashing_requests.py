"""Tests of gateways whose servers crash on one request that comes again."""

import functools

import pytest
import trio

from foxtailpick.core.dispatch import crash_policy
from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.gateway import quarantine
from foxtailpick.gateway import state as state_lib

from foxtailpick.tests import crashing_fleet
from foxtailpick.tests import gateway_harness

GATEWAYS = 4
SERVERS = 3
DOWN_MS = 1_500.0
# From this time after the third crash on, at most three further copies of
# the request may reach servers.
CONTACT_MS = 3_000.0
CRASHES_TO_LEARN = 3
MAX_SENT_LATER = 3


def check_is_contained(fleet):
    """Check what became of requests after the third crash."""
    assert len(fleet.crashed_ms) >= CRASHES_TO_LEARN
    third_ms = sorted(fleet.crashed_ms)[CRASHES_TO_LEARN - 1]
    sent_later = fleet.count_sent_after(third_ms + CONTACT_MS)
    assert sent_later <= MAX_SENT_LATER
    after = fleet.compute_sound_share(
        third_ms + CONTACT_MS + DOWN_MS, fleet.now_ms()
    )
    assert after >= 0.95
    statuses = [
        status
        for began_ms, status in fleet.bad_answers
        if began_ms > third_ms + CONTACT_MS
    ]
    assert len(statuses) > 10
    assert statuses.count(503) >= len(statuses) - sent_later


@pytest.mark.parametrize('route', ['safe', 'unsafe'])
async def test_request_that_crashes_servers_is_contained(route):
    async def check(fleet):
        ask = functools.partial(fleet.ask_plain, route=route)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, nursery, 11_000, 40, False, ask)
            await trio.sleep(0.5)
            await fleet.send(nursery, 10_000, 150, True, ask)
        check_is_contained(fleet)

    await crashing_fleet.run_with_fleet(
        check, GATEWAYS, SERVERS, 'plain', DOWN_MS
    )


async def test_stream_that_crashes_engines_is_contained():
    """Sound streams with the same prompt parts are served."""

    async def check(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                fleet.send, nursery, 9_000, 40, False, fleet.ask_alike
            )
            await trio.sleep(0.5)
            await fleet.send(nursery, 8_000, 150, True, fleet.ask_alike)
        check_is_contained(fleet)

    await crashing_fleet.run_with_fleet(
        check, GATEWAYS, SERVERS, down_ms=DOWN_MS
    )


async def learn(fleet):
    """Send the request until all gateways have it in quarantine."""
    while not all(
        harness.gw.request_records.quarantines for harness in fleet.harnesses
    ):
        await fleet.ask_plain(True)
        await trio.sleep(0.05)


async def test_end_is_seen_if_the_listener_closes_last():
    async def check(fleet):
        fleet.listens_ms = 10.0
        for _ in range(2):
            await fleet.ask_plain(True)
        (records,) = (item.gw.request_records for item in fleet.harnesses)
        assert len(records.quarantines) == 1

    await crashing_fleet.run_with_fleet(check, 1, SERVERS, 'plain', 5_000.0)


async def test_refusal_says_when_a_test_is_due():
    async def check(fleet):
        await learn(fleet)
        harness = fleet.harnesses[0]
        (found,) = harness.gw.request_records.quarantines.values()
        found.started_ms = harness.gw.now_ms()
        sent = len(fleet.bad_sent_ms)
        answer = await harness.ask(
            f'/safe/x?{crashing_fleet.CRASHING_QUERY}', X_Attempt_Id='late'
        )
        assert answer.status == 503
        assert len(fleet.bad_sent_ms) == sent
        wait_s = (found.due_ms - harness.gw.now_ms()) / 1_000
        assert wait_s <= float(answer.headers[b'retry-after']) <= wait_s * 1.5

    await crashing_fleet.run_with_fleet(check, 2, SERVERS, 'plain')


@pytest.mark.parametrize('name', ['router-late0', 'router-late1'])
async def test_gateway_that_starts_learns_with_its_first_exchange(
    name, monkeypatch
):
    """The others read of it some seconds later; the first one is a hub."""
    list_routers = state_lib.GatewayState.list_routers

    def list_known(state):
        routers = dict(list_routers(state))
        if state in known:
            routers.pop(name, None)
        return routers

    known = []

    async def check(fleet):
        known.extend(harness.gw.state for harness in fleet.harnesses)
        monkeypatch.setattr(state_lib.GatewayState, 'list_routers', list_known)
        await learn(fleet)
        records = fleet.harnesses[0].gw.request_records
        for _ in range(crash_policy.REQUESTS.max_tests):
            now_ms = fleet.now_ms()
            records.begin_tests(records.quarantines, now_ms, 'router-1')
        # The totals have no news and are repeated at intervals.
        await trio.sleep(2.5)
        async with gateway_harness.open_harness(
            name=name, store=fleet.harnesses[0].store
        ) as late:
            await late.until_known(*fleet.engines)
            gw = late.gw
            await late.until(lambda: gw.request_records.quarantines)
            (found,) = gw.request_records.quarantines.values()
            assert found.level == crash_policy.REQUESTS.max_tests
            answer = await late.ask(f'/safe/x?{crashing_fleet.CRASHING_QUERY}')
            assert answer.status == 503

    await crashing_fleet.run_with_fleet(check, 2, SERVERS, 'plain')


@pytest.mark.parametrize(
    ('service', 'path', 'status', 'disconnects'),
    [('plain', '/safe/x', 200, 0), ('engine', '/fixed/x', 502, 1)],
)
async def test_only_streams_are_withdrawn(service, path, status, disconnects):
    """A plain request may already run, and its answer clears it."""

    async def serve(exchange):
        begun.set()
        await asked.wait()
        await exchange.answer()

    begun, asked = trio.Event(), trio.Event()
    answers = []
    async with gateway_harness.open_harness() as harness:
        standin = harness.add_endpoint('e1', service, serve)
        await harness.until_known('e1')
        records = harness.gw.request_records

        async def ask():
            answers.append(await harness.ask(path, b'POST', b'data'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await begun.wait()
            (attempt,) = harness.gw.attempts
            signature = attempt.job.signature
            now_ms = harness.gw.now_ms()
            totals = {signature: [3, None, None]}
            quarantine.apply_changes(
                harness.gw, records, records.apply_totals(totals, now_ms)
            )
            assert list(records.quarantines) == [signature]
            await trio.sleep(0.1)
            asked.set()
        assert [answer.status for answer in answers] == [status]
        assert standin.disconnects == disconnects
        assert bool(records.quarantines) is (status != 200)


async def test_request_is_hashed_only_while_one_is_suspected(monkeypatch):
    """A body may be long."""

    async def serve(exchange):
        await exchange.answer()

    def fail(*fields):
        raise AssertionError(fields)

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'plain', serve)
        await harness.until_known('e1')
        monkeypatch.setattr(crash_quarantine, 'compute_signature', fail)
        answer = await harness.ask('/safe/x')
        assert answer.status == 200
