"""Tests of versions that turn bad in the last steps of a roll-out."""

import pytest

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rollout_capacity
from foxtailpick.core.dispatch import rollout_evidence
from foxtailpick.core.dispatch import rollout_reports
from foxtailpick.core.dispatch import rollout_verdict
from foxtailpick.core.dispatch import rollouts
from foxtailpick.tests import rollout_fleet_model

# What the operators tolerate.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
FAULTS = {'fail': 0.3, 'slow': 0.5}


def make_load(duration_ms, find_fault=None, **kwargs):
    if find_fault is not None:
        kwargs['find_fault'] = find_fault
    return rollout_fleet_model.Load(
        per_s=360.0, routers=68, duration_ms=duration_ms, endpoints=28,
        new_endpoints=28, **kwargs,
    )  # fmt: skip


def make_fault(kind, from_ms):
    def find_fault(rng, route, now_ms, load, number):
        if now_ms >= from_ms and rng.random() < FAULTS[kind]:
            return kind
        return None

    return find_fault


def find_time(duration_ms, step, part):
    """Return the time at which a part of a step is over."""
    order = model.RolloutOrder('o1', 's', 'v2', duration_ms)
    rollout = rollouts.Rollout.from_order(order, 0.0)
    length_ms = max(
        rollouts.MIN_STEPS_MS, rollout.steps_end_ms - rollout.last_steps_ms
    )
    starts = [*rollouts.STEP_STARTS, 1.0]
    passed = (1 - part) * starts[step] + part * starts[step + 1]
    return rollout.last_steps_ms + passed * length_ms


@pytest.mark.parametrize('kind', FAULTS)
@pytest.mark.parametrize('step', range(len(rollouts.STEP_STARTS)))
@pytest.mark.parametrize(
    ('duration_ms', 'part'),
    [(12_000.0, 0.2), (12_000.0, 0.7), (60_000.0, 0.7)],
)
def test_version_that_turns_bad_in_a_step_keeps_the_bounds(
    duration_ms, part, step, kind
):
    find_fault = make_fault(kind, find_time(duration_ms, step, part))
    load = make_load(duration_ms, find_fault)
    fleet = rollout_fleet_model.Fleet(load, 1).run(duration_ms)
    assert fleet.count_excess(EXPOSURE_SHARE, EXPOSURE_SLACK) <= 0
    assert fleet.count_late() == 0
    assert fleet.state is not model.RolloutState.COMPLETED


@pytest.mark.parametrize('starts_ms', [0.0, 3_000.0])
def test_good_version_is_completed_in_a_short_time(starts_ms):
    load = make_load(12_000.0, starts_ms=starts_ms)
    fleet = rollout_fleet_model.Fleet(load, 1).run()
    assert fleet.state is model.RolloutState.COMPLETED, fleet.decision
    assert fleet.written_ms <= load.duration_ms


def test_steps_end_at_the_deadline():
    order = model.RolloutOrder('o1', 's', 'v2', 40_000.0)
    rollout = rollouts.Rollout.from_order(order, 0.0)
    rollout.steps_began_ms = 39_000.0
    rollout.steps_length_ms = 500.0
    rollout.capacity = rollout_capacity.Capacity(1, 1, 1)
    rollout.doubt = None
    rollout.totals_ms = rollout.judged_ms = now_ms = rollout.deadline_ms
    assert rollouts.decide(rollout, now_ms).action is rollouts.Action.WAIT
    assert rollout.steps_began_ms is None


def test_hub_without_reports_of_others_is_not_informed():
    rollout = rollouts.Rollout.from_order(
        model.RolloutOrder('o1', 's', 'v2', 40_000.0), 0.0
    )
    rollout.routers = 68
    hub = rollout_reports.HubRollouts()
    for now_ms in range(0, 10_000, 100):
        report = rollout_reports.make_report(rollout, now_ms)
        hub.record('r0', report, now_ms)
        rollout_reports.apply_totals(
            rollout, hub.merge(now_ms, rollout.routers), now_ms
        )
    assert not rollouts.is_informed(rollout, now_ms)


def test_version_slow_for_all_requests_in_the_full_step_is_not_sound():
    evidence = rollout_evidence.Evidence()

    def count(window, group, answers, took_ms):
        cls = rollout_evidence.find_class(took_ms)
        for _ in range(answers):
            evidence.count((window, 'a', group), False, cls)

    for window in range(12):
        count(window, rollout_evidence.OLD_GROUP, 100, 50.0)
        for group in (1, 2):
            count(window, group, 4, 50.0)
    for group in (1, 2, 3, 4):
        count(12, group, 50, 200.0)
    routes = rollout_verdict.group_by_route(evidence.tallies)
    verdict = rollout_verdict.judge(routes, 12)
    assert verdict.standing is not rollout_verdict.Standing.SOUND
