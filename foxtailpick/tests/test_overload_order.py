"""Simulations of overload: who waits, who is refused, who is served.

The former order queues requests above their account's equal share only.
"""

import random

import pytest

from foxtailpick.core.dispatch import overload_order
from foxtailpick.tests import engine_model
from foxtailpick.tests import ordered_router
from foxtailpick.tests import overload_fleet
from foxtailpick.tests import test_overload
from foxtailpick.tests import test_short_runs

ROOM = overload_fleet.ROOM_PER_S
# As the operators state it: a more urgent kind may be served less often than
# a less urgent one by no more than this.
MAX_INVERSION = 0.05
# No kind, account or zone is served less often than this, as a multiple of
# all; no size, as a multiple of its kind.
MIN_SHARE = 0.25
MIN_SIZE_SHARE = 0.5


def make_steady():
    """1.5 times the room."""
    return overload_fleet.make_mix(1.5 * ROOM, 10)


def make_burst():
    """Twice the room for three seconds."""
    return [
        *overload_fleet.make_mix(0.7 * ROOM, 10),
        *overload_fleet.make_mix(1.3 * ROOM, 3, seed=10, start_s=4),
    ]


def make_surge(multiple=9):
    """One of nine accounts sends many times its usual."""
    return [
        *overload_fleet.make_mix(0.7 * ROOM, 10),
        *overload_fleet.make_mix(
            0.7 * ROOM / 8 * multiple, 7, seed=10, account='hot', start_s=2
        ),
    ]


def make_short():
    """All deadlines are little longer than the longest answers take."""
    return overload_fleet.make_mix(1.5 * ROOM, 10, deadline_ms=5_000.0)


def make_mixed():
    """Sizes differ by more than a hundred times."""
    return overload_fleet.make_mix(1.5 * ROOM, 10, spread=1.2)


def make_uneven():
    """One gateway has half of the callers."""
    return overload_fleet.make_mix(
        1.5 * ROOM, 10, pick_router=lambda rng: int(4 * rng.random() ** 2)
    )


LOADS = {
    'steady': (make_steady, {}),
    'burst': (make_burst, {}),
    'surge': (make_surge, {}),
    'dark': (
        lambda: overload_fleet.make_mix(0.9 * ROOM, 12),
        {'dark_from_ms': {'e0': 3_000.0, 'e4': 3_000.0}},
    ),
    'short': (make_short, {}),
    'mixed': (make_mixed, {}),
    'uneven': (make_uneven, {}),
}
_results = {}


def get_results(name):
    """Return the requests of a load by the former and the present order."""
    if name not in _results:
        make_runs, fields = LOADS[name]
        _results[name] = overload_fleet.compare(make_runs, **fields)
    return _results[name]


@pytest.fixture(params=LOADS)
def results(request):
    return get_results(request.param)


def group_by_kind(run):
    return run.kind


@pytest.mark.parametrize(
    ('name', 'gain'),
    [
        ('steady', 1.25),
        ('burst', 1.1),
        ('dark', 1.1),
        ('short', 1.25),
        ('mixed', 1.25),
        ('uneven', 1.25),
    ],
)
def test_more_callers_are_served_in_time(name, gain):
    before, after = get_results(name)
    share = overload_fleet.compute_share(after)
    assert share > gain * overload_fleet.compute_share(before)


def test_no_kind_pays_for_the_others(results):
    before, after = (
        overload_fleet.compute_shares(runs, group_by_kind) for runs in results
    )
    lost = {kind: before[kind] - after[kind] for kind in after}
    assert max(lost.values()) < MAX_INVERSION, lost


def test_more_urgent_kinds_are_served_no_less_often(results):
    _, after = results
    shares = overload_fleet.compute_shares(
        after, group_by_kind, overload_fleet.is_done
    )
    assert shares['chat'] > shares['plan'] - MAX_INVERSION
    assert shares['plan'] > shares['screen'] - MAX_INVERSION


@pytest.mark.parametrize('group', ['kind', 'account', 'router'])
def test_no_group_is_starved(results, group):
    _, after = results
    shares = overload_fleet.compute_shares(
        after, lambda run: getattr(run, group), overload_fleet.is_done
    )
    everybody = overload_fleet.compute_share(after, overload_fleet.is_done)
    assert min(shares.values()) > MIN_SHARE * everybody, shares


def test_router_with_less_urgent_callers_only_is_not_starved():
    """It has 40 % of the screens, and nothing else."""
    rng = random.Random(3)
    runs = overload_fleet.make_mix(2.5 * ROOM, 10)
    for run in runs:
        is_apart = run.kind == 'screen' and rng.random() < 0.4
        run.router = 3 if is_apart else rng.randrange(3)
    runs = overload_fleet.serve(ordered_router.OrderedRouter, runs)
    shares = overload_fleet.compute_shares(
        runs, lambda run: run.router, overload_fleet.is_done
    )
    everybody = overload_fleet.compute_share(runs, overload_fleet.is_done)
    assert shares[3] > MIN_SHARE * everybody, shares


def test_largest_requests_are_not_starved(results):
    """Neither the largest tenth of a kind, nor the fifth below it."""
    _, after = results
    for kind in overload_fleet.KINDS:
        runs = [run for run in after if run.kind == kind]
        sizes = sorted(run.prompt_tokens for run in runs)
        bounds = [sizes[int(len(sizes) * part)] for part in (0.7, 0.9)]
        share = overload_fleet.compute_share(runs, overload_fleet.is_done)
        largest = [run for run in runs if run.prompt_tokens >= bounds[1]]
        below = [
            run for run in runs if bounds[0] <= run.prompt_tokens < bounds[1]
        ]
        for items in (largest, below):
            served = overload_fleet.compute_share(
                items, overload_fleet.is_done
            )
            assert served > MIN_SIZE_SHARE * share, kind


def test_refusal_is_final_and_within_the_useful_time(results):
    _, after = results
    rejected = [run for run in after if run.is_rejected]
    assert rejected
    assert not any(run.engine for run in rejected)
    for run in rejected:
        longest_ms = overload_order.compute_longest_wait_ms(
            engine_model.ABANDON_AFTER_MS, run.deadline_ms, 0.0
        )
        # It is found at the next check.
        assert run.rejected_ms - run.arrived_ms <= longest_ms + 100
        assert run.retry_ms >= 0


def test_surge_of_one_account_costs_the_others_nothing():
    before, after = (
        [run for run in runs if run.account != 'hot']
        for runs in get_results('surge')
    )
    share = overload_fleet.compute_share(after)
    assert share > overload_fleet.compute_share(before) - 0.02


def test_callers_that_repeat_at_once_gain_nothing():
    """One in five repeats every 20 ms, the others return as asked."""

    def is_impatient(run):
        return run.caller[1] % 5 == 0

    def come_again(run, now_ms):
        if is_impatient(run):
            return overload_fleet.repeat(run, now_ms, 20.0)
        left_ms = run.arrived_ms + run.deadline_ms - now_ms
        after_ms = max(20.0, min(run.retry_ms, left_ms / 3))
        return overload_fleet.repeat(run, now_ms, after_ms)

    runs = overload_fleet.serve(
        ordered_router.OrderedRouter, make_steady(), repeat=come_again
    )
    impatient = overload_fleet.compute_share(
        [run for run in runs if is_impatient(run)]
    )
    sound = overload_fleet.compute_share(
        [run for run in runs if not is_impatient(run)]
    )
    assert impatient < sound + MAX_INVERSION


class _OneKind(ordered_router.OrderedRouter):
    target_ms = test_overload.TARGET_MS


def test_surge_keeps_the_bounds_of_the_former_order():
    """As in test_overload, where one kind of request competes."""
    runs = test_overload.make_surge(1)
    for number, run in enumerate(runs):
        run.caller = number
    engine_model.Simulation(test_overload.SERVICE, make_router=_OneKind).run(
        runs
    )
    calm = [run for run in runs if run.account != 'hot']
    hot = [run for run in runs if run.account == 'hot']
    assert all(run.is_done for run in calm)
    delay_ms = test_overload.compute_delay_quantile(calm, 0.9)
    assert delay_ms < test_overload.TARGET_MS
    unserved = [run for run in hot if not run.is_done and not run.is_rejected]
    assert len(unserved) < 0.01 * len(hot)
    assert not any(run.is_rejected and run.engine for run in hot)
    done = sum(run.is_done for run in runs)
    assert done > 0.9 * 10 * test_overload.CAPACITY


def test_nothing_waits_while_there_is_room():
    def make_calm():
        return overload_fleet.make_mix(0.5 * ROOM, 8)

    before, after = overload_fleet.compare(make_calm)
    share = overload_fleet.compute_share(after)
    assert share > overload_fleet.compute_share(before) - 0.01


class _WithoutTotals(ordered_router.OrderedRouter):
    has_totals = False


def test_router_without_totals_falls_back_to_an_equal_part():
    before, _ = get_results('steady')
    after = overload_fleet.serve(_WithoutTotals, make_steady())
    share = overload_fleet.compute_share(after)
    assert share > 1.1 * overload_fleet.compute_share(before)
    done = overload_fleet.compute_shares(
        after, group_by_kind, overload_fleet.is_done
    )
    assert done['chat'] > done['plan'] - MAX_INVERSION


@pytest.mark.parametrize(('servers', 'rate_per_s'), [(3, 240), (2, 150)])
def test_plain_requests_wait_instead_of_being_rejected(servers, rate_per_s):
    """Bookings and lookups of one priority, beyond the room of few slots."""

    def make_runs():
        rng = random.Random(3)
        runs = test_short_runs.make_runs(rate_per_s, 10, 10, priority=2)
        for number, run in enumerate(runs):
            run.caller = number
            run.kind = rng.choice(['booking', 'booking', 'lookup'])
        return runs

    before, after = overload_fleet.compare(
        make_runs,
        engines=servers,
        routers=10,
        slots=test_short_runs.SLOTS,
        max_waiting=test_short_runs.SLOTS,
    )
    # Those that would be rejected by full servers wait; some are late then.
    refused = [
        sum(run.is_rejected for run in runs) for runs in (before, after)
    ]
    assert refused[1] < 0.75 * refused[0]
    served = [
        overload_fleet.compute_share(runs, overload_fleet.is_done)
        for runs in (before, after)
    ]
    assert served[1] > served[0]
    shares = overload_fleet.compute_shares(after, group_by_kind)
    assert abs(shares['booking'] - shares['lookup']) < MAX_INVERSION
