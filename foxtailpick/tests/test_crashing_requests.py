"""Tests of gateways whose servers crash on one request that comes again."""

import functools

import pytest
import trio

from foxtailpick.tests import crashing_fleet

GATEWAYS = 4
SERVERS = 3
DOWN_MS = 1_500.0
# From this time after the third crash on, at most three further copies of
# the request may reach servers.
CONTACT_MS = 3_000.0
CRASHES_TO_LEARN = 3
MAX_SENT_LATER = 3


@pytest.mark.parametrize('route', ['safe', 'unsafe'])
async def test_request_that_crashes_servers_is_contained(route):
    async def check(fleet):
        ask = functools.partial(fleet.ask_plain, route=route)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, nursery, 11_000, 40, False, ask)
            await trio.sleep(0.5)
            await fleet.send(nursery, 10_000, 150, True, ask)
        assert len(fleet.crashed_ms) >= CRASHES_TO_LEARN
        third_ms = sorted(fleet.crashed_ms)[CRASHES_TO_LEARN - 1]
        assert fleet.count_sent_after(third_ms + CONTACT_MS) <= MAX_SENT_LATER
        after = fleet.compute_sound_share(
            third_ms + CONTACT_MS + DOWN_MS, fleet.now_ms()
        )
        assert after >= 0.95
        refused = {status for _, status in fleet.bad_answers[-5:]}
        assert refused == {503}

    await crashing_fleet.run_with_fleet(
        check, GATEWAYS, SERVERS, 'plain', DOWN_MS
    )
