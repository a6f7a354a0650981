"""Tests of admission with bounded load and of its mean estimate."""

import dataclasses
import heapq
import itertools
import random

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


class LongPrompts:
    """Requests of one chat, each larger than the headroom of an engine.

    Virtual time; messages take 1 to 5 ms. Engines report their load as
    sidecars do. All requests ask the engines in the same order.
    """

    COST = 1_201.0
    REQUESTS = 24
    ENGINES = 4
    RETRY_MS = 250.0

    def __init__(self, monitor, seed):
        self.rng = random.Random(seed)
        self.bounds = {
            f'ep-{number}': make_bound(monitor, f'ep-{number}', self.ENGINES)
            for number in range(self.ENGINES)
        }
        self.max_ratio = 0.0
        self.admitted = 0
        self._events = []
        self._numbers = itertools.count()
        self._reported_ms = dict.fromkeys(self.bounds, 0.0)

    def run(self):
        """Send the requests, and run until 4 s later."""
        for name in self.bounds:
            self._at(self.rng.uniform(0, 250), self._report_often, name)
        for number in range(self.REQUESTS):
            at_ms = 1_000.0 + self.rng.uniform(0, 30)
            self._at(at_ms, self._ask, f'a-{number}', list(self.bounds))
        now_ms = 0.0
        while now_ms < 5_000.0:
            now_ms, _, act, args = heapq.heappop(self._events)
            act(now_ms, *args)

    def _at(self, at_ms, act, *args):
        heapq.heappush(self._events, (at_ms, next(self._numbers), act, args))

    def _draw_delay(self):
        return self.rng.uniform(1, 5)

    def _list_loads(self):
        return [bound.load_tokens for bound, _ in self.bounds.values()]

    def _ask(self, now_ms, attempt, names):
        if not names:
            later_ms = now_ms + self.RETRY_MS + self.rng.uniform(0, 100)
            self._at(later_ms, self._ask, attempt, list(self.bounds))
            return
        name, *rest = names
        bound, _ = self.bounds[name]
        before = self._list_loads()
        result = bound.admit(attempt, None, self.COST, now_ms, rest)
        if not result.is_admitted:
            hints = [hint for hint in result.hints if hint in rest]
            rest = list(dict.fromkeys([*hints, *rest]))
            self._at(now_ms + self._draw_delay(), self._ask, attempt, rest)
            return
        self.admitted += 1
        means = [
            sum(loads) / len(loads) for loads in (before, self._list_loads())
        ]
        ratio = bound.load_tokens / max(*means, FLOOR)
        self.max_ratio = max(self.max_ratio, ratio)
        end_ms = now_ms + self.rng.uniform(100, 800)
        self._at(end_ms, self._end, name, attempt)

    def _end(self, now_ms, name, attempt):
        bound, _ = self.bounds[name]
        bound.release(attempt)
        if bound.has_fallen:
            earliest_ms = (
                self._reported_ms[name] + load_gossip.MIN_REPORT_INTERVAL_MS
            )
            self._at(max(now_ms, earliest_ms), self._report, name)

    def _report_often(self, now_ms, name):
        self._report(now_ms, name)
        interval_ms = load_gossip.REPORT_INTERVAL_MS
        later_ms = now_ms + interval_ms * self.rng.uniform(0.8, 1.2)
        self._at(later_ms, self._report_often, name)

    def _report(self, now_ms, name):
        self._reported_ms[name] = now_ms
        report = self.bounds[name][0].make_report(None, now_ms)
        for _, mean in self.bounds.values():
            self._at(now_ms + self._draw_delay(), self._observe, mean, report)

    def _observe(self, now_ms, mean, report):
        sample = dataclasses.replace(report.sample, at_ms=now_ms)
        mean.observe(dataclasses.replace(report, sample=sample), now_ms)


def test_long_prompts_of_one_chat_keep_the_bound(monitor):
    """The load falls within a report interval as requests end together."""
    for seed in range(30):
        pool = LongPrompts(monitor, seed)
        pool.run()
        assert pool.admitted == pool.REQUESTS
        assert pool.max_ratio <= load_bound.MULTIPLE, seed


def test_load_that_has_fallen_is_news_until_it_is_reported(monitor):
    bound, _ = make_bound(monitor)
    for number in range(10):
        assert bound.admit(f'a-{number}', None, 100.0, 0.0).is_admitted
    bound.make_report(None, 0.0)
    bound.release('a-0')
    assert not bound.has_fallen
    bound.release('a-1')
    assert bound.has_fallen
    bound.make_report(None, 0.0)
    assert not bound.has_fallen
