"""Tests of admission with bounded load and of its mean estimate."""

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


def make_report(endpoint, load, at_ms=0.0, capacity=1.0, received=(0.0, 0.0)):
    sample = mean_estimate.LoadSample(endpoint, load, capacity, at_ms)
    return mean_estimate.PeerLoadReport(sample, *received)


def fill(bound, cost, count=10_000):
    """Admit attempts until one is refused; return the refusal."""
    for number in range(count):
        result = bound.admit(f'a-{number}', None, cost, 0.0)
        if not result.is_admitted:
            return result
    raise AssertionError(f'no refusal in {count} attempts')


@pytest.mark.parametrize('multiple', [1.1, 1.25, 2.0])
def test_refuses_above_the_multiple_of_the_mean(monitor, multiple):
    bound, mean = make_bound(monitor, multiple=multiple, guard=0.02)
    mean.observe(make_report('ep-1', 50_000.0), 0.0)
    result = fill(bound, 100.0)
    assert result.load_tokens <= multiple * result.mean_tokens
    assert result.load_tokens > result.mean_tokens
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


def test_refusal_hints_name_candidates_with_headroom(monitor):
    bound, mean = make_bound(monitor)
    loads = {'ep-1': 90_000.0, 'ep-2': 20_000.0, 'ep-3': 10_000.0}
    for item in loads.items():
        mean.observe(make_report(*item), 0.0)
    fill(bound, 1_000.0)
    result = bound.admit('b', None, 1_000.0, 0.0, ['ep-1', 'ep-2', 'ep-3'])
    assert result.hints[:2] == ('ep-2', 'ep-3')
    result = bound.admit('b', None, 1_000.0, 0.0)
    assert set(result.hints) == {'ep-2', 'ep-3'}


def test_mean_is_weighted_by_capacity_and_keeps_the_newest():
    mean = mean_estimate.MeanEstimate('ep-0', 1.0, 4.0)
    mean.observe(make_report('ep-1', 100.0, 10.0, 3.0), 10.0)
    mean.observe(make_report('ep-1', 900.0, 5.0, 3.0), 10.0)
    mean.observe(make_report('ep-0', 900.0, 10.0), 10.0)
    assert mean.get_mean_tokens(20.0) == pytest.approx(0.25 * 20 + 0.75 * 100)


def test_peer_means_count_until_the_whole_pool_reports():
    mean = mean_estimate.MeanEstimate('ep-0', 1.0, 3.0)
    mean.observe(make_report('ep-1', 100.0, received=(400.0, 2.0)), 0.0)
    assert mean.get_mean_tokens(300.0) == pytest.approx(300.0)
    mean.observe(make_report('ep-2', 200.0, received=(400.0, 2.0)), 0.0)
    assert mean.get_mean_tokens(300.0) == pytest.approx(200.0)


def test_expired_sample_is_evicted():
    ttl_ms = mean_estimate.SAMPLE_TTL_MS
    mean = mean_estimate.MeanEstimate('ep-0', 1.0, 3.0)
    mean.observe(make_report('ep-1', 900.0), 0.0)
    mean.observe(make_report('ep-2', 300.0, ttl_ms + 1.0), ttl_ms + 1.0)
    assert mean.get_load_tokens('ep-1') is None
    assert mean.get_mean_tokens(300.0) == pytest.approx(300.0)


def test_report_round_trip():
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
def test_any_frame_is_decoded_or_rejected(frame):
    try:
        assert load_gossip.decode_report(frame, {}, 0.0) is None
    except errors.LinkError as exc:
        assert exc.code is errors.ErrorCode.FRAME_MALFORMED


def test_router_view_replaces_the_mean_after_reports_expire():
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
def test_settings_out_of_range_are_rejected(cfg):
    with pytest.raises(errors.SettingsError):
        load_bound.LoadBoundSettings(**cfg)


def test_view_avoids_an_endpoint_until_its_refusal_expires(monitor):
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


def test_view_keeps_the_location_of_a_refused_chat_until_it_expires():
    view = load_view.LoadView()
    hint = decision.LocationHint('ep-1', 'inc-1')
    view.record_location('chat', hint, 0.0)
    assert view.get_location('chat', load_view.LOCATION_TTL_MS - 1.0) == hint
    assert view.get_location('other', 0.0) is None
    assert view.get_location('chat', load_view.LOCATION_TTL_MS) is None
    for number in range(load_view.MAX_LOCATIONS + 1):
        view.record_location(f'chat-{number}', hint, 0.0)
    assert view.get_location('chat-0', 0.0) is None


def test_idle_pool_admits_a_sudden_surge(monitor):
    names = [f'ep-{number}' for number in range(10)]
    bounds = {name: make_bound(monitor, name) for name in names}
    for step in range(40):
        now_ms = step * load_gossip.REPORT_INTERVAL_MS
        for sender, _ in bounds.values():
            report = sender.make_report(None, now_ms)
            for _, mean in bounds.values():
                mean.observe(report, now_ms)
        # The peak rate: eight requests a second at each endpoint.
        for number in range(2):
            half_ms = number * load_gossip.REPORT_INTERVAL_MS / 2.0
            for bound, _ in bounds.values():
                attempt = f'a-{step}-{number}'
                at_ms = now_ms + half_ms
                assert bound.admit(attempt, None, 500.0, at_ms).is_admitted


@pytest.mark.parametrize('slope', [0.5, -0.5])
def test_mean_is_extrapolated_along_its_trend(slope):
    mean = mean_estimate.MeanEstimate('ep-0', 1.0, 1e9)
    for now_ms in range(0, 20_001, 250):
        load = 50_000.0 + slope * now_ms
        mean.observe(make_report('ep-1', load, now_ms), now_ms)
    later_ms = 20_000.0 + 500.0
    age_ms = 500.0 + mean_estimate.REPORT_AGE_MS
    expected = 50_000.0 + slope * (20_000.0 + age_ms)
    carried = mean.get_mean_tokens(0.0, later_ms)
    assert carried == pytest.approx(expected, rel=0.01)
