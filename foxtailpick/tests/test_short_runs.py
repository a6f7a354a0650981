"""Simulations of a plain service with few slots and short runs."""

import random

import pytest

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import short_runs
from foxtailpick.tests import engine_model
from foxtailpick.tests import gateway_harness

SERVICE = model.Service('engine', 0, 0.0, 0.0)
SLOTS = 6
# Tokens of the engine model that take about 80 ms.
RUN_TOKENS = 20
TARGET_MS = 350.0
TIMEOUT_MS = 800.0


def make_runs(rate_per_s, length_s, routers, seed=1, **fields):
    """Generate requests without prompts, with log-normal run times."""
    values = {
        'prompt': None,
        'prompt_tokens': 0,
        'tokens': lambda rng: max(
            3, round(RUN_TOKENS * rng.lognormvariate(-0.1, 0.5))
        ),
        'router': lambda rng: rng.randrange(routers),
        'kind': 'booking',
        'target_ms': TARGET_MS,
        'deadline_ms': TIMEOUT_MS,
        **fields,
    }
    return engine_model.make_runs(rate_per_s, length_s, seed, **values)


@pytest.mark.parametrize(
    ('servers', 'rate_per_s', 'routers'),
    [(3, 160, 4), (3, 160, 10), (3, 160, 21), (2, 110, 10), (2, 110, 21)],
)
def test_no_request_is_rejected_while_other_servers_have_free_slots(
    servers, rate_per_s, routers
):
    """By counts alone, 1.5 to 5.5 % of the requests were rejected."""
    runs = make_runs(rate_per_s, 20, routers)
    engine_model.Simulation(
        SERVICE,
        engines=servers,
        routers=routers,
        slots=SLOTS,
        max_waiting=SLOTS,
    ).run(runs)
    needlessly = [
        run for run in runs if run.is_rejected and run.free_slots_elsewhere
    ]
    assert len(needlessly) < 0.01 * len(runs)
    assert sum(run.is_in_time for run in runs) > 0.97 * len(runs)


def test_long_runs_are_placed_by_the_counts_of_all_routers():
    assert not short_runs.has_stale_counts(1_500.0)
    assert not short_runs.has_stale_counts(0.0)
    assert short_runs.has_stale_counts(80.0)


def test_server_with_fewest_own_requests_is_chosen():
    router = engine_model.Router(['e0', 'e1'], 1, slots=SLOTS)
    first, second = router.table.list_all()
    first.running = 2
    # The count of the others is too old to matter.
    second.set_remote_load(6, 0.0)
    query = placing.Query(
        SERVICE, None, frozenset(), 4, 0.0, 4.0, mean_run_ms=80.0
    )
    chosen = placing.choose_endpoint([first, second], query, random.Random(1))
    assert chosen.endpoint is second


def test_slots_count_where_servers_differ():
    router = engine_model.Router(['e0'], 1, slots=SLOTS)
    (small,) = router.table.list_all()
    large = router.table.put(
        gateway_harness.make_endpoint_entry('e1', slots=60), 0.0
    )
    small.running, large.running = 1, 2
    chosen = short_runs.choose_by_own_requests(
        [small, large], random.Random(1)
    )
    assert chosen is large
