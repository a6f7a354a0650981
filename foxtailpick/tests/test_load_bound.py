"""Tests of the bounded load."""

import dataclasses

import cbor2
import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailpick.core import decision
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import load_bound
from foxtailpick.core import load_gossip
from foxtailpick.core import load_view
from foxtailpick.core import mean_estimate

FLOOR = load_bound.FLOOR_TOKENS


def make_bound(monitor, endpoint='ep-0', pool=10.0, **cfg):
    settings = load_bound.LoadBoundSettings(**cfg)
    bound = load_bound.LoadBound(endpoint, 1.0, monitor, settings)
    return bound, bound.set_pool(None, pool)


def make_report(endpoint, load, at_ms=0.0, capacity=1.0, heard=(0.0, 0.0)):
    sample = mean_estimate.LoadSample(endpoint, load, capacity, at_ms)
    return mean_estimate.LoadReport(sample, *heard)


def fill(bound, cost, count=10_000):
    """Admit until the first refusal; return it."""
    for number in range(count):
        made = bound.admit(f'a-{number}', None, cost, 0.0)
        if not made.is_admitted:
            return made
    raise AssertionError(f'no refusal in {count} attempts')


@pytest.mark.parametrize('multiple', [1.1, 1.25, 2.0])
def test_refuses_above_the_multiple_of_the_mean(monitor, multiple):
    bound, mean = make_bound(monitor, multiple=multiple, guard=0.02)
    mean.observe(make_report('ep-1', 50_000.0), 0.0)
    made = fill(bound, 100.0)
    assert made.load_tokens <= multiple * made.mean_tokens
    assert made.load_tokens > made.mean_tokens
    assert monitor.checked[invariants.Invariant.LOAD_BOUND] > 0


def test_first_request_of_an_idle_pool_is_admitted(monitor):
    bound, mean = make_bound(monitor, pool=1_000.0)
    mean.observe(make_report('ep-1', 0.0), 0.0)
    assert bound.admit('a', None, 10 * FLOOR, 0.0).is_admitted


@pytest.mark.parametrize('cost', [1.0, 500.0, 0.6 * FLOOR, 20 * FLOOR])
@pytest.mark.parametrize('size', [1, 2, 3, 10])
def test_some_endpoint_always_admits(monitor, cost, size):
    names = [f'ep-{number}' for number in range(size)]
    bounds = {n: make_bound(monitor, n, float(size)) for n in names}
    for number in range(200):
        for sender, _ in bounds.values():
            report = sender.make_report(None, float(number))
            for _, mean in bounds.values():
                mean.observe(report, float(number))
        admitted = [
            bound.admit(f'a-{number}', None, cost, 0.0).is_admitted
            for bound, _ in bounds.values()
        ]
        assert any(admitted)


def test_repeated_attempt_counts_once_and_release_is_idempotent(monitor):
    bound, _mean = make_bound(monitor)
    for _ in range(3):
        assert bound.admit('a', None, 100.0, 0.0).is_admitted
    assert bound.load_tokens == 100.0
    for _ in range(3):
        bound.release('a')
    assert bound.load_tokens == 0.0


def test_refusal_hints_at_the_first_fitting_candidate(monitor):
    bound, mean = make_bound(monitor)
    loads = {'ep-1': 90_000.0, 'ep-2': 20_000.0, 'ep-3': 10_000.0}
    for item in loads.items():
        mean.observe(make_report(*item), 0.0)
    fill(bound, 1_000.0)
    made = bound.admit('b', None, 1_000.0, 0.0, ['ep-1', 'ep-2', 'ep-3'])
    assert made.hints[:2] == ('ep-2', 'ep-3')
    made = bound.admit('b', None, 1_000.0, 0.0)
    assert set(made.hints) == {'ep-2', 'ep-3'}


def test_mean_is_weighted_by_capacity_and_keeps_the_newest():
    mean = mean_estimate.MeanEstimate('ep-0', 1.0, 4.0)
    mean.observe(make_report('ep-1', 100.0, 10.0, 3.0), 10.0)
    mean.observe(make_report('ep-1', 900.0, 5.0, 3.0), 10.0)
    mean.observe(make_report('ep-0', 900.0, 10.0), 10.0)
    assert mean.get_mean_tokens(20.0) == pytest.approx(0.25 * 20 + 0.75 * 100)


def test_what_peers_heard_counts_until_the_whole_pool_is_heard():
    mean = mean_estimate.MeanEstimate('ep-0', 1.0, 3.0)
    mean.observe(make_report('ep-1', 100.0, heard=(400.0, 2.0)), 0.0)
    assert mean.get_mean_tokens(300.0) == pytest.approx(300.0)
    mean.observe(make_report('ep-2', 200.0, heard=(400.0, 2.0)), 0.0)
    assert mean.get_mean_tokens(300.0) == pytest.approx(200.0)


def test_gone_peer_is_forgotten():
    life_ms = mean_estimate.SAMPLE_TTL_MS
    mean = mean_estimate.MeanEstimate('ep-0', 1.0, 3.0)
    mean.observe(make_report('ep-1', 900.0), 0.0)
    mean.observe(make_report('ep-2', 300.0, life_ms + 1.0), life_ms + 1.0)
    assert mean.get_load_tokens('ep-1') is None
    assert mean.get_mean_tokens(300.0) == pytest.approx(300.0)


def test_report_survives_its_encoding():
    report = make_report('ep-1', 51_234.0, 7.0, 2.0, (49_000.0, 12.25))
    members = {load_gossip.hash_endpoint('ep-1'): ('ep-1', 2.0)}
    frame = load_gossip.encode_report(report)
    assert load_gossip.decode_report(frame, members, 7.0) == report
    assert load_gossip.decode_report(frame, {}, 7.0) is None


@hypothesis.given(
    st.binary()
    | st.lists(st.floats() | st.integers() | st.text(), max_size=5).map(
        cbor2.dumps
    )
)
def test_any_frame_is_decoded_or_refused(frame):
    try:
        assert load_gossip.decode_report(frame, {}, 0.0) is None
    except errors.LinkError as exc:
        assert exc.code is errors.ErrorCode.FRAME_MALFORMED


def test_silent_peers_leave_the_last_mean_then_the_routers_view():
    mean = mean_estimate.MeanEstimate('ep-0', 1.0, 1e9)
    mean.observe(make_report('ep-1', 100.0), 0.0)
    mean.observe_router_view(500.0, 1_000.0)
    assert mean.get_mean_tokens(0.0) == pytest.approx(100.0)
    mean.observe_router_view(500.0, mean_estimate.SAMPLE_TTL_MS + 1.0)
    assert mean.get_mean_tokens(0.0) == pytest.approx(500.0)


@pytest.mark.parametrize(
    'cfg',
    [{'multiple': 1.0}, {'guard': 0.2}, {'guard': -0.1}, {'floor_tokens': 0}],
)
def test_settings_out_of_range_are_refused(cfg):
    with pytest.raises(errors.SettingsError):
        load_bound.LoadBoundSettings(**cfg)


def test_view_avoids_an_endpoint_for_a_moment_after_its_refusal(monitor):
    bound, mean = make_bound(monitor)
    mean.observe(make_report('ep-1', 50_000.0), 0.0)
    view = load_view.LoadView(refusal_ttl_ms=100.0)
    refusal = fill(bound, 1_000.0)
    view.observe('svc', 'ep-0', refusal, 0.0)
    view.observe('other', 'ep-9', refusal, 0.0)
    assert view.list_full(99.0)['ep-0'] is decision.SkipReason.FULL
    assert view.list_full(100.0) == {}
    other = dataclasses.replace(refusal, load_tokens=0.0)
    view.observe('svc', 'ep-1', other, 0.0)
    mean_tokens = view.get_mean_tokens('svc', 100.0)
    assert mean_tokens == pytest.approx(refusal.load_tokens / 2.0)
    assert view.get_mean_tokens('svc', load_view.LOAD_TTL_MS) is None


def test_view_remembers_the_place_of_a_refused_chat_for_a_while():
    view = load_view.LoadView()
    hint = decision.LocationHint('ep-1', 'inc-1')
    view.record_location('chat', hint, 0.0)
    assert view.get_location('chat', load_view.LOCATION_TTL_MS - 1.0) == hint
    assert view.get_location('other', 0.0) is None
    assert view.get_location('chat', load_view.LOCATION_TTL_MS) is None
    for number in range(load_view.MAX_LOCATIONS + 1):
        view.record_location(f'chat-{number}', hint, 0.0)
    assert view.get_location('chat-0', 0.0) is None


def test_idle_pool_follows_a_sudden_surge(monitor):
    names = [f'ep-{number}' for number in range(10)]
    bounds = {name: make_bound(monitor, name) for name in names}
    for step in range(40):
        now_ms = step * load_gossip.PERIOD_MS
        for sender, _ in bounds.values():
            report = sender.make_report(None, now_ms)
            for _, mean in bounds.values():
                mean.observe(report, now_ms)
        # Eight requests a second each, the rate of the peak.
        for number in range(2):
            half_ms = number * load_gossip.PERIOD_MS / 2.0
            for bound, _ in bounds.values():
                attempt = f'a-{step}-{number}'
                at_ms = now_ms + half_ms
                assert bound.admit(attempt, None, 500.0, at_ms).is_admitted


@pytest.mark.parametrize('slope', [0.5, -0.5])
def test_mean_is_carried_forward_along_its_trend(slope):
    mean = mean_estimate.MeanEstimate('ep-0', 1.0, 1e9)
    for now_ms in range(0, 20_001, 250):
        load = 50_000.0 + slope * now_ms
        mean.observe(make_report('ep-1', load, now_ms), now_ms)
    later_ms = 20_000.0 + 500.0
    age_ms = 500.0 + mean_estimate.REPORT_AGE_MS
    expected = 50_000.0 + slope * (20_000.0 + age_ms)
    carried = mean.get_mean_tokens(0.0, later_ms)
    assert carried == pytest.approx(expected, rel=0.01)
