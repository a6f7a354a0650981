"""Tests of the exchange of paces between routers."""

import pytest

from foxtailpick.core.dispatch import endpoint_pace
from foxtailpick.core.dispatch import pace_exchange
from foxtailpick.tests import test_dispatch


class Router:
    def __init__(self, count=4):
        self.table = test_dispatch.make_table(count)
        self.sent = pace_exchange.SentPaces()

    def state(self, endpoint, pace, now_ms):
        self.table.get(endpoint).pace.record_stated(pace, now_ms)

    def compute(self, endpoint, now_ms):
        return self.table.get(endpoint).pace.compute(now_ms)


def exchange(hub, routers, now_ms):
    for number, router in enumerate(routers):
        sequence, report = router.sent.next_report(router.table, now_ms)
        hub.record(f'r{number}', sequence, report, now_ms)
    totals = pace_exchange.decode_report(hub.merge(now_ms))
    for name, sequence in hub.list_routers():
        router = routers[int(name[1:])]
        router.sent.apply_totals(router.table, totals, sequence, now_ms)
    return totals


def test_slow_endpoint_is_known_to_all_routers():
    routers = [Router() for _ in range(5)]
    hub = pace_exchange.HubPaces()
    routers[2].state('e1', 5.0, 1_000.0)
    exchange(hub, routers, 1_100.0)
    paces = [router.compute('e1', 1_150.0) for router in routers]
    assert min(paces) > 3.5
    assert max(paces) - min(paces) < 0.1
    assert routers[0].table.get('e1').pace.compute_age_ms(1_150.0) == 150


def test_own_evidence_does_not_come_back():
    router = Router()
    hub = pace_exchange.HubPaces()
    router.state('e1', 5.0, 0.0)
    alone = endpoint_pace.EndpointPace()
    alone.record_stated(5.0, 0.0)
    for now_ms in range(100, 3_000, 150):
        exchange(hub, [router], float(now_ms))
        assert router.compute('e1', now_ms) == pytest.approx(
            alone.compute(now_ms), rel=0.05
        )


def test_nothing_is_sent_while_all_endpoints_are_as_usual():
    routers = [Router() for _ in range(3)]
    hub = pace_exchange.HubPaces()
    for now_ms in range(0, 1_000, 100):
        for router in routers:
            router.state('e0', 1.0 + 0.01 * (now_ms % 7), now_ms)
        assert exchange(hub, routers, float(now_ms)) == {}


def test_routers_that_find_an_endpoint_as_usual_answer_others():
    """A single old figure is outweighed by newer ones of other routers."""
    routers = [Router() for _ in range(4)]
    hub = pace_exchange.HubPaces()
    routers[0].state('e1', 5.0, 0.0)
    exchange(hub, routers, 10.0)
    for router in routers[1:]:
        for at_ms in range(20, 320, 50):
            router.state('e1', 1.0, at_ms)
    exchange(hub, routers, 320.0)
    assert routers[0].compute('e1', 320.0) < endpoint_pace.SLOW_PACE


def test_silent_hub_leaves_nothing_behind():
    routers = [Router() for _ in range(2)]
    hub = pace_exchange.HubPaces()
    routers[1].state('e1', 5.0, 0.0)
    exchange(hub, routers, 10.0)
    assert routers[0].compute('e1', 10.0) > 3
    assert routers[0].compute('e1', 5_000.0) == pytest.approx(1.0, abs=0.05)


def test_silent_router_is_forgotten_by_the_hub():
    hub = pace_exchange.HubPaces()
    hub.record('r0', 1, {'e1': [100, 500, 0]}, 0.0)
    assert hub.merge(100.0)
    assert hub.merge(pace_exchange.REPORT_TTL_MS + 1) == {}
    assert hub.list_routers() == []


def test_totals_for_a_forgotten_report_are_passed_over():
    router = Router()
    for _ in range(pace_exchange.MAX_SENT_REPORTS + 1):
        router.sent.next_report(router.table, 0.0)
    assert not router.sent.apply_totals(
        router.table, {'e1': [100, 500, 0]}, 1, 0.0
    )
    assert router.compute('e1', 0.0) == 1.0


def test_router_without_a_report_hears_of_others():
    router = Router()
    assert router.sent.apply_totals(
        router.table, {'e1': [100, 500, 0], 'gone': [100, 500, 0]}, 0, 0.0
    )
    assert router.compute('e1', 0.0) > 3


def test_messages_are_bounded():
    router = Router(200)
    for item in router.table.list_all():
        item.pace.record_stated(5.0, 0.0)
    _, report = router.sent.next_report(router.table, 0.0)
    assert len(report) == pace_exchange.MAX_REPORTED
    hub = pace_exchange.HubPaces()
    for number in range(4):
        reported = {f'{number}-{key}': item for key, item in report.items()}
        hub.record(f'r{number}', 1, reported, 0.0)
    assert len(hub.merge(0.0)) == pace_exchange.MAX_REPORTED


@pytest.mark.parametrize(
    'message',
    [
        None,
        [],
        {'e1': None},
        {'e1': [100, 500]},
        {'e1': [100, 500, 0, 0]},
        {'e1': [100, 500, -1]},
        {'e1': [100, 5_000, 0]},
        {'e1': [-100, -500, 0]},
        {'e1': [100.5, 500, 0]},
        {'e1': [True, True, True]},
        {'e1': ['100', '500', '0']},
        {'e1': [10**30, 10**30, 0]},
        {1: [100, 500, 0]},
        {f'e{number}': [100, 500, 0] for number in range(65)},
    ],
)
def test_foreign_message_is_refused(message):
    with pytest.raises(ValueError, match='expected'):
        pace_exchange.decode_report(message)
