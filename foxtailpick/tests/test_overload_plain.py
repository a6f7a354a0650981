"""Tests of plain services far beyond their room, in virtual time."""

import random

import pytest

from foxtailpick.tests import overload_fleet
from foxtailpick.tests import test_short_runs


def make_runs(rate_per_s, seed):
    rng = random.Random(seed)
    runs = test_short_runs.make_runs(rate_per_s, 10, 10, seed, priority=2)
    for number, run in enumerate(runs):
        run.caller = number
        run.kind = rng.choice(['booking', 'booking', 'lookup'])
    return runs


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(('servers', 'rate_per_s'), [(3, 240), (2, 150)])
def test_waiting_at_routers_leaves_no_fewer_callers_in_time(
    servers, rate_per_s, seed
):
    """Waiting at a router must not cost more callers than refusals did."""
    before, after = overload_fleet.compare(
        lambda: make_runs(rate_per_s, seed),
        engines=servers,
        routers=10,
        slots=test_short_runs.SLOTS,
        max_waiting=test_short_runs.SLOTS,
    )
    in_time = [overload_fleet.compute_share(runs) for runs in (before, after)]
    assert in_time[1] >= in_time[0]
