"""Tests of gateways whose engines crash on a part of some prompts."""

import trio

from foxtailpick.tests import crashing_fleet

GATEWAYS = 4
ENGINES = 6
# From this time after the fifth crash on, at most three further requests
# with the part may reach engines.
CONTACT_MS = 3_000.0
CRASHES_TO_LEARN = 5
MAX_SENT_LATER = 3


async def test_prompts_that_crash_engines_are_contained():
    async def check(fleet):
        started_ms = fleet.now_ms()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, nursery, 7_000, 25, False)
            await trio.sleep(1)
            await fleet.send(nursery, 6_000, 150, True)
        assert len(fleet.crashed_ms) >= 2
        if len(fleet.crashed_ms) >= CRASHES_TO_LEARN:
            fifth_ms = sorted(fleet.crashed_ms)[CRASHES_TO_LEARN - 1]
            later = fleet.count_sent_after(fifth_ms + CONTACT_MS)
            assert later <= MAX_SENT_LATER
        before = fleet.compute_sound_share(started_ms, started_ms + 1_000)
        after = fleet.compute_sound_share(
            started_ms + 5_000, started_ms + 7_000
        )
        assert after >= before / 2
        refused = {status for _, status in fleet.bad_answers[-5:]}
        assert refused == {503}

    await crashing_fleet.run_with_fleet(check, GATEWAYS, ENGINES)


async def test_request_that_crashes_an_engine_is_not_repeated():
    async def check(fleet):
        await fleet.ask(True)
        assert len(fleet.bad_sent_ms) == 1
        assert fleet.bad_answers[0][1] in (0, 502)

    await crashing_fleet.run_with_fleet(check, 1, 2)
