"""Tests of the sums that routers exchange under overload."""

import random

import cbor2
import pytest

from foxtailpick.core.dispatch import overload
from foxtailpick.core.dispatch import overload_usage
from foxtailpick.core.dispatch import prompt_backlog
from foxtailpick.gateway import overload_exchange
from foxtailpick.tests import test_peer_messages

SERVICE = 'engine'
INTERVAL_MS = 150.0


def make_usage(work, now_ms=0.0):
    usage = overload_usage.Usage()
    for account, cost in work.items():
        overload_usage.record_work(usage, account, cost, now_ms)
    return usage


def exchange(usages, waiting, now_ms, rng, loss=0.0):
    """Exchange the sums of all routers once, with lost messages."""
    hub = overload_usage.HubSums()
    sent = {}
    for router, usage in enumerate(usages):
        report = {
            SERVICE: overload_usage.make_sums(
                waiting[router],
                prompt_backlog.PromptBacklog(),
                usage,
                now_ms,
            )
        }
        sent[router] = overload_usage.SentReports()
        sent[router].record(1, report)
        if rng.random() >= loss:
            report = overload_usage.decode(
                cbor2.loads(cbor2.dumps(overload_usage.encode(report)))
            )
            hub.record(router, 1, report, now_ms)
    totals = hub.merge(now_ms)
    for router, _ in hub.list_routers(now_ms):
        if rng.random() >= loss:
            others = sent[router].subtract(1, totals)
            usages[router].others = others[SERVICE]
            usages[router].updated_ms = now_ms


@pytest.mark.parametrize('routers', [4, 68])
def test_account_is_above_its_share_whatever_routers_it_meets(routers):
    """A surge meets few of the routers, where nobody else is."""
    usages = [
        make_usage(
            {'hot': 9_000.0} if router < 2 else {f'a{router % 8}': 100.0}
        )
        for router in range(routers)
    ]
    alone = overload_usage.compute_ratios(usages[0].compute_work(0.0))
    assert alone['hot'] == 1.0
    exchange(usages, [{}] * routers, 0.0, random.Random(1))
    for usage in usages:
        ratios = overload_usage.compute_ratios(usage.compute_work(10.0))
        assert ratios['hot'] > 2


@pytest.mark.parametrize('routers', [4, 68])
@pytest.mark.parametrize('loss', [0.0, 0.2])
def test_routers_together_use_the_room(routers, loss):
    """Half of them have requests that wait, the first one most of them."""
    rng = random.Random(routers)
    waiting = [
        {0: 40, 2: 10} if router == 0 else {1: 2} if router % 2 else {}
        for router in range(routers)
    ]
    usages = [overload_usage.Usage() for _ in range(routers)]
    exchange(usages, waiting, 0.0, rng, loss)
    parts = [
        overload_usage.compute_part(
            20.0, waiting[router], usages[router], routers, 100.0
        )
        for router in range(routers)
    ]
    assert 0 < sum(parts) < 1.35
    if not loss:
        assert sum(parts) == pytest.approx(1.0)
        # The most urgent level takes all but the common room.
        total = sum(sum(item.values()) for item in waiting)
        assert parts[0] == pytest.approx(0.85 + 0.15 * 50 / total)


def test_old_sums_give_way_to_an_equal_part():
    usage = make_usage({'a': 100.0})
    usage.others = overload_usage.Sums({0: 90}, {'b': 900.0})
    usage.updated_ms = 0.0
    waiting = {0: 10}
    now_ms = overload_usage.TTL_MS
    part = overload_usage.compute_part(10.0, waiting, usage, 4, now_ms)
    assert part == pytest.approx(0.1)
    assert 'b' in usage.compute_work(now_ms)
    now_ms += 1
    assert overload_usage.compute_part(10.0, waiting, usage, 4, now_ms) == 0.25
    assert 'b' not in usage.compute_work(now_ms)


def test_prompts_of_all_routers_count():
    backlog = prompt_backlog.PromptBacklog(tokens=1_000.0, requests=5.0)
    backlog.record_first_event(500, 300.0, 0.0)
    load = overload.Load(64, 10.0, 10.0)
    usage = overload_usage.Usage()
    alone = overload_usage.add_backlog(load, backlog, usage, 4, False, 0.0)
    assert alone.unread == 4_000
    usage.others = overload_usage.Sums(unread=500.0, read_per_s=900.0)
    usage.updated_ms = 0.0
    known = overload_usage.add_backlog(load, backlog, usage, 4, False, 0.0)
    assert known.unread == 1_500
    assert known.read_per_s == pytest.approx(alone.read_per_s / 4 + 900)


@pytest.mark.parametrize(
    'content',
    [
        7,
        [],
        {SERVICE: 7},
        {7: [{}, {}, 1.0, 1.0]},
        {SERVICE: [{}, {}]},
        {SERVICE: [{}, {}, 1.0]},
        {SERVICE: [{'0': 1}, {}, 1.0, 1.0]},
        {SERVICE: [{0: -1}, {}, 1.0, 1.0]},
        {SERVICE: [{0: 10**400}, {}, 1.0, 1.0]},
        {SERVICE: [{}, {'a': float('nan')}, 1.0, 1.0]},
        {SERVICE: [{}, {7: 1.0}, 1.0, 1.0]},
        {SERVICE: [{}, {}, float('inf'), 1.0]},
        {SERVICE: [{}, {}, 1.0, 1.0, 1.0]},
        {SERVICE: [{level: 1 for level in range(99)}, {}, 1.0, 1.0]},
        {SERVICE: [{}, {str(n): 1 for n in range(99)}, 1.0, 1.0]},
        {str(number): [{}, {}, 1.0, 1.0] for number in range(99)},
    ],
)
def test_malformed_sums_are_rejected(content):
    with pytest.raises(ValueError):
        overload_usage.decode(content)


async def test_reports_are_sent_only_under_overload(autojump_clock):
    async with test_peer_messages.open_exchange(own_share=2.0) as (gw, *_):
        exchanged = overload_exchange.OverloadExchange(gw)
        order = gw.get_order(SERVICE)
        assert exchanged.make_reports(1) == []
        order.detector.is_overloaded = True
        for number in range(60):
            account = f'account-{number}-with-a-long-name' * 3
            overload_usage.record_work(order.usage, account, 1e9, gw.now_ms())
        (data,) = exchanged.make_reports(2)
        assert len(data) <= overload_exchange.MAX_MESSAGE_BYTES
        order.detector.is_overloaded = False
        # Once more, so that the others learn that nothing waits.
        assert len(exchanged.make_reports(3)) == 1
        assert exchanged.make_reports(4) == []


async def test_hub_sends_totals_to_routers_that_report():
    async with test_peer_messages.open_exchange(own_share=2.0) as (gw, *_):
        hub = overload_exchange.OverloadExchange(gw)
        gw.get_order(SERVICE).detector.is_overloaded = True
        sums = overload_usage.Sums({0: 7}, {'hot': 5_000.0}, 10.0, 20.0)
        hub.record_report(
            'router-2', 5, overload_usage.encode({SERVICE: sums})
        )
        ((router, data),) = hub.make_totals(1)
        assert router == 'router-2'
        kind, _, number, content = cbor2.loads(data)
        assert (kind, number) == (overload_exchange.TOTALS_KIND, 5)
        assert overload_usage.decode(content)[SERVICE] == sums
        usage = gw.get_order(SERVICE).usage
        assert usage.others == sums
        assert usage.is_current(gw.now_ms())
