"""Tests of the fleet-wide usage of the heaviest accounts."""

import hypothesis
import hypothesis.strategies as st
import pytest

from foxtailpick.core import usage


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 2**32 - 1), st.floats(1.0, 1e9)), max_size=32
    )
)
def test_encoding_keeps_rates_within_five_per_cent(rates):
    summary = usage.Summary(7, tuple(rates))
    data = summary.encode()
    assert len(data) == 5 + 5 * len(rates)
    found = usage.Summary.decode(data)
    assert found.source == 7
    for (account, rate), (known, expected) in zip(found.rates, rates):
        assert account == known
        assert rate == pytest.approx(expected, rel=0.05)


@pytest.mark.parametrize('cut', [1, 5])
def test_truncated_summary_is_rejected(cut):
    data = usage.Summary(7, ((1, 2.0), (2, 3.0))).encode()
    with pytest.raises(ValueError, match='expected'):
        usage.Summary.decode(data[:-cut])


def test_meter_finds_steady_rates_of_the_heaviest():
    meter = usage.UsageMeter(1, max_accounts=2)
    for second in range(120):
        for account, tokens in (('a', 500.0), ('b', 50.0), ('c', 5.0)):
            meter.record(account, tokens, second * 1_000.0)
    rates = dict(meter.summarize(120_000.0).rates)
    assert rates == pytest.approx(
        {usage.hash_account('a'): 500.0, usage.hash_account('b'): 50.0},
        rel=0.05,
    )


def test_idle_accounts_are_dropped():
    meter = usage.UsageMeter(1)
    meter.record('a', 1_000.0, 0.0)
    assert meter.summarize(300_000.0).rates == ()


def test_fleet_counts_each_source_once_and_forgets_old_ones():
    fleet = usage.FleetUsage(max_age_ms=1_000.0)
    fleet.merge(usage.Summary(1, ((9, 10.0),)), 0.0)
    fleet.merge(usage.Summary(1, ((9, 30.0),)), 500.0)
    fleet.merge(usage.Summary(2, ((9, 5.0), (8, 1.0))), 1_200.0)
    assert dict(fleet.summarize(0, 8, 1_400.0).rates) == {9: 35.0, 8: 1.0}
    assert dict(fleet.summarize(0, 1, 2_000.0).rates) == {9: 5.0}


def test_fleet_is_bounded():
    fleet = usage.FleetUsage(max_sources=3)
    for source in range(10):
        fleet.merge(usage.Summary(source, ((source, 1.0),)), 0.0)
    assert sorted(dict(fleet.summarize(0, 99, 0.0).rates)) == [7, 8, 9]


def test_byte_budget_is_kept():
    budget = usage.ByteBudget(bytes_per_s=1_000.0)
    for now_ms in range(10_000):
        budget.try_spend(85, float(now_ms))
    assert 9_000 < budget.spent_bytes <= 11_000


def make_summary(**rates):
    return usage.Summary(
        0, tuple((usage.hash_account(a), r) for a, r in rates.items())
    )


def test_only_accounts_above_their_agreed_rate_get_a_multiplier():
    control = usage.MultiplierController()
    summary = make_summary(heavy=400.0, huge=9e9, light=50.0)
    found = control.update(
        summary, ['heavy', 'huge', 'light', 'new'], lambda _: 100.0, 0.0
    )
    assert found == {'heavy': 2.0, 'huge': usage.MAX_MULTIPLIER}


def test_multiplier_converges_to_the_agreed_rate():
    control = usage.MultiplierController()
    factor = 1.0
    for second in range(0, 200, 5):
        rate = 1_000.0 * (3.0 / factor) / (3.0 / factor + 0.5)
        found = control.update(
            make_summary(a=rate), ['a'], lambda _: 300.0, second * 1_000.0
        )
        factor = found.get('a', 1.0)
    assert rate == pytest.approx(300.0, rel=0.02)
    for second in range(200, 400, 5):
        found = control.update(
            make_summary(a=10.0), [], lambda _: 300.0, second * 1_000.0
        )
    assert found == {}
