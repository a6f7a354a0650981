"""Tests of endpoints that name the rate that they take (Server-Limit)."""

import itertools

import trio

from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import test_announcements

# Requests a second that a limited endpoint takes from all routers.
RATE = 2.0
LIMITED = (b'Server-Limit', b'2.0')
# What the operators allow in 4 s: one and a half times the rate, and five.
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * RATE * WINDOW_S + 5


async def answer_limited(exchange):
    """Answer and name a limit."""
    await exchange.answer(headers=[LIMITED])


def make_script(limits):
    """Return a script that names the limits one after the other, if any."""
    values = itertools.chain(limits, itertools.repeat(None))

    async def answer(exchange):
        value = next(values)
        headers = [] if value is None else [(b'Server-Limit', value)]
        await exchange.answer(headers=headers)

    return answer


async def test_limited_endpoint_gets_no_more_than_it_named():
    async with gateway_harness.open_harness() as harness:
        limited = harness.add_endpoint('p1', 'plain', answer_limited)
        await harness.until_known('p1')
        statuses = await test_announcements.ask_often(harness, 40)
    assert set(statuses) == {200, 503}
    assert len(limited.received) <= MAX_IN_WINDOW
    assert statuses.count(200) == len(limited.received)


async def test_requests_above_a_limit_go_elsewhere():
    async with gateway_harness.open_harness() as harness:
        limited = harness.add_endpoint('p1', 'plain', answer_limited)
        free = harness.add_endpoint(
            'p2', 'plain', gateway_scripts.answer_plainly
        )
        await harness.until_known('p1', 'p2')
        statuses = await test_announcements.ask_often(harness, 60)
    assert set(statuses) == {200}
    assert len(limited.received) <= MAX_IN_WINDOW
    assert len(limited.received) + len(free.received) == 60


async def test_limit_is_told_to_other_routers():
    async with gateway_harness.open_harness() as harness:
        limited = harness.add_endpoint('p1', 'plain', answer_limited)
        await harness.until_known('p1')
        async with gateway_harness.open_harness(
            name='router-2', store=harness.store
        ) as other:
            await other.until_known('p1')
            await harness.until(lambda: harness.gw.state.router_count == 2)
            await test_announcements.ask_often(harness, 3)
            await trio.sleep(0.6)
            await test_announcements.ask_often(other, 40)
    assert len(limited.received) <= MAX_IN_WINDOW
