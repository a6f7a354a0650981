"""Tests of the load limit of an endpoint, a multiple of its service's mean.

Not more than three percent of the requests may be sent to an endpoint that
holds over twice the mean load of all endpoints of its service, plus three.
"""

import pytest

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import stale_load
from foxtailpick.tests import engine_model
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import test_dispatch

MAX_SHARE_ABOVE = 0.03
SERVICE = model.Service('engine', 360, 0.0, 0.0)


def evacuate(table):
    services = {'engine': test_dispatch.SERVICE}
    table.set_evacuated(['south'], services, 0.0)


def set_draining(table):
    put_in_south(table, is_draining=True)


def set_cold(table):
    put_in_south(table, warmup_left_ms=3_000.0)
    for item in list_south(table):
        item.warmup_share.slots = 0.0


def pause(table):
    for item in list_south(table):
        item.health.paused_until_ms = 1_000.0


def put_in_south(table, **fields):
    for item in list_south(table):
        entry = gateway_harness.make_endpoint_entry(
            item.id, domain='south', slots=64, **fields
        )
        table.put(entry, 0.0)


def list_south(table):
    return [item for item in table.list_all() if item.entry.domain == 'south']


@pytest.mark.parametrize('exclude', [evacuate, set_draining, set_cold, pause])
def test_limit_holds_while_endpoints_are_unavailable(exclude):
    """Simulates inc1 of luparetki: a third of a service gets no requests."""
    table = test_dispatch.make_table(6, slots=64)
    for name in ('s0', 's1', 's2'):
        entry = gateway_harness.make_endpoint_entry(name, domain='south')
        table.put(entry, 0.0)
    exclude(table)
    above = 0
    for number in range(160):
        prefix = 'hot' if number % 2 else f'p{number % 18}'
        choice = test_dispatch.choose(table, prefix=prefix, seed=number)
        loads = [item.load for item in table.list_all()]
        above += choice.endpoint.load > 2 * sum(loads) / len(loads) + 3
        choice.endpoint.running += 1
    assert above <= MAX_SHARE_ABOVE * 160


def test_limit_holds_at_routers_with_stale_counts():
    """Simulates inc1 of luparetki with four routers and hot prompts."""
    runs = engine_model.make_runs(
        150, 8, prompt=lambda rng: f'p{int(40 * rng.random() ** 3)}'
    )
    simulation = engine_model.Simulation(
        SERVICE, has_shares=False, engines=9, evacuated=['d1']
    )
    simulation.run(runs)
    above = sum(run.is_above_limit for run in runs)
    assert above <= MAX_SHARE_ABOVE * len(runs)


@pytest.mark.parametrize('rate_per_s', [100, 150])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_limit_holds_while_half_of_a_service_is_out(seed, rate_per_s):
    """Simulates a hunted day: the limit is the mean of the rest plus three."""
    runs = engine_model.make_runs(
        rate_per_s,
        8,
        seed=seed,
        prompt=lambda rng: f'p{int(40 * rng.random() ** 3)}',
    )
    simulation = engine_model.Simulation(
        SERVICE,
        has_shares=False,
        engines=8,
        domains=2,
        evacuated=['d1'],
        has_hub=True,
    )
    simulation.run(runs)
    above = sum(run.is_above_limit for run in runs)
    assert above <= MAX_SHARE_ABOVE * len(runs)


def test_busy_router_does_not_take_the_others_for_as_busy():
    """With a fifth of a service out, 68 routers keep prompt affinity."""
    table = test_dispatch.make_table(10, slots=64)
    for item in table.list_all():
        item.running = 1
        item.set_remote_load(15.0, 0.0)
    unseen = stale_load.estimate_unseen(table.list_all(), 30.0, 68, 75.0)
    # 450 a second in all at ten endpoints, 155 ms old.
    assert unseen == pytest.approx(450 / 10 * 0.155)
