"""Tests of the bound on when a signal came."""

import pytest

from foxtailpick.core.dispatch import loop_checks
from foxtailpick.core.dispatch import stopping

INTERVAL_MS = 50.0


def make_checks(*times_ms):
    checks = loop_checks.LoopChecks(INTERVAL_MS)
    for now_ms in times_ms:
        checks.record(now_ms)
    return checks


@pytest.mark.parametrize(
    'times_ms, now_ms, earliest_ms',
    [
        ((), 1_000.0, 1_000.0),
        ((900.0, 951.0, 1_002.0), 1_010.0, 1_010.0),
        # Held up until now: the signal may have come at any time since.
        ((900.0, 950.0, 1_000.0), 1_900.0, 1_000.0),
        # The check ran before the signal was handled.
        ((950.0, 1_000.0, 1_900.0), 1_901.0, 1_000.0),
        # A busy loop takes several turns to handle it.
        ((1_000.0, 1_300.0, 1_500.0), 1_700.0, 1_000.0),
        # It was held up long before.
        ((1_000.0, 1_300.0, 1_350.0, 1_400.0), 1_420.0, 1_420.0),
    ],
)
def test_signal_came_since_the_last_check_in_time(
    times_ms, now_ms, earliest_ms
):
    checks = make_checks(*times_ms)
    assert checks.find_earliest_ms(now_ms) == earliest_ms


@pytest.mark.parametrize('grace_ms', [1_000.0, 2_000.0, 8_000.0])
def test_short_grace_period_keeps_the_time_for_the_end(grace_ms):
    cut_ms = stopping.compute_cut_ms(0.0, 0.0, grace_ms, 400.0)
    assert cut_ms == grace_ms - 400.0
