"""Tests of the quarantine of prompt parts that crash endpoints."""

import pytest

from foxtailpick.core.dispatch import crash_policy
from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import crash_records
from foxtailpick.core.dispatch import crash_reports
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.tests import crash_fleet_model
from foxtailpick.tests import test_dispatch

CONTACT_MS = 3_000.0
CRASHES_TO_LEARN = 5
MAX_SENT_LATER = 3
# Routers, engines, sound and crashing requests per second.
SMALL_FLEET = (4, 6, 50, 2)
LARGE_FLEET = (68, 47, 400, 4)
BAD = crash_fleet_model.BAD_PART
# The same for one plain request that comes again, at a small service.
CRASHES_OF_REQUEST = 3
SMALL_SERVICE = (4, 3, 30, 2)
LARGE_SERVICE = (68, 12, 200, 2)


def get_first(part):
    """Return the rank of a router that may test first."""
    return 0


def make_quarantined(now_ms=10_000.0):
    """Return records with a quarantine that started at some time."""
    records = crash_records.CrashRecords()
    for number in range(3):
        at_ms = now_ms - 1_000.0 * (2 - number)
        records.record_end([BAD], f'e{number}', at_ms, at_ms)
    return records


@pytest.mark.parametrize(
    ('answered_ms', 'is_suspect'),
    [(None, True), (950.0, True), (400.0, False)],
)
def test_request_is_suspect_until_its_answer_lasts(answered_ms, is_suspect):
    found = crash_quarantine.is_suspect(answered_ms, 1_000.0)
    assert found is is_suspect


def test_ends_at_one_time_count_as_one():
    assert crash_quarantine.count_ends([650, 0, 499, 100, 1_149]) == 2


def test_part_is_quarantined_after_several_ends():
    records = crash_records.CrashRecords()
    parts = ['route', BAD]
    for number in range(2):
        at_ms = 1_000.0 * number
        assert not records.record_end(parts, f'e{number}', at_ms, at_ms)
        records.record_sound(['route'], at_ms + 10)
    assert records.record_end(parts, 'e2', 2_000.0, 2_000.0) == [BAD]
    refusal = records.find_refusal(parts, get_first, 2_000.0)
    assert refusal == (BAD, crash_policy.PARTS.first_quarantine_ms)
    assert records.find_refusal(['route'], get_first, 2_000.0) is None


def test_ends_of_one_process_count_once():
    records = crash_records.CrashRecords()
    for number in range(5):
        at_ms = 1_000.0 * number
        assert not records.record_end([BAD], 'e1', at_ms, at_ms)


def test_sound_answer_ends_a_quarantine():
    records = make_quarantined()
    assert records.record_sound([BAD], 11_000.0) == [BAD]
    assert records.find_refusal([BAD], get_first, 11_000.0) is None
    assert records.count_ends(BAD, 11_000.0) == (0, 0)


def test_sound_answer_at_another_router_ends_a_quarantine():
    first, second = make_quarantined(), crash_records.CrashRecords()
    hub = crash_reports.HubCrashReports()
    hub.record('r1', first.make_report(10_000.0), 10_000.0)
    changes = second.apply_totals(hub.merge(10_000.0), 10_000.0)
    assert changes.started == [BAD]
    assert second.record_sound([BAD], 10_100.0) == [BAD]
    hub.record('r2', second.make_report(10_150.0), 10_150.0)
    changes = first.apply_totals(hub.merge(10_150.0), 10_150.0)
    assert changes.cleared == [BAD]
    assert first.find_refusal([BAD], get_first, 10_150.0) is None


def test_ends_at_several_routers_add_up():
    hub = crash_reports.HubCrashReports()
    routers = [crash_records.CrashRecords() for _ in range(3)]
    for number, records in enumerate(routers):
        at_ms = 1_000.0 * number
        assert not records.record_end([BAD], f'e{number}', at_ms, at_ms)
    for number, records in enumerate(routers):
        hub.record(f'r{number}', records.make_report(2_100.0), 2_100.0)
    for records in routers:
        changes = records.apply_totals(hub.merge(2_150.0), 2_150.0)
        assert changes.started == [BAD]


def test_quarantine_outlives_the_router_that_saw_the_ends():
    first, second = make_quarantined(), crash_records.CrashRecords()
    hub = crash_reports.HubCrashReports()
    hub.record('r1', first.make_report(10_000.0), 10_000.0)
    second.apply_totals(hub.merge(10_000.0), 10_000.0)
    third, new_hub = (
        crash_records.CrashRecords(),
        crash_reports.HubCrashReports(),
    )
    new_hub.record('r2', second.make_report(13_000.0), 13_000.0)
    third.apply_totals(new_hub.merge(13_000.0), 13_000.0)
    assert third.find_refusal([BAD], get_first, 13_000.0) is not None


def test_part_is_tested_by_one_request_after_the_quarantine():
    records = make_quarantined()
    due_ms = 10_000.0 + crash_policy.PARTS.first_quarantine_ms
    assert records.find_refusal([BAD], get_first, due_ms - 1) is not None
    assert records.find_refusal([BAD], get_first, due_ms) is None
    stagger_ms = crash_records.TEST_STAGGER_MS
    assert records.find_refusal([BAD], lambda part: 1, due_ms) == (
        BAD,
        stagger_ms,
    )
    assert records.begin_tests(['route', BAD], due_ms) == [BAD]
    assert records.find_refusal([BAD], get_first, due_ms + 100) is not None
    later_ms = due_ms + crash_quarantine.TEST_TIMEOUT_MS
    assert records.find_refusal([BAD], get_first, later_ms) is None


def test_test_that_crashes_an_endpoint_lengthens_the_quarantine():
    records = make_quarantined()
    due_ms = 10_000.0 + crash_policy.PARTS.first_quarantine_ms
    records.begin_tests([BAD], due_ms)
    assert records.fail_tests([BAD], due_ms) == [BAD]
    refusal = records.find_refusal([BAD], get_first, due_ms)
    assert refusal.due_ms == (
        crash_policy.PARTS.first_quarantine_ms
        * crash_policy.PARTS.quarantine_factor
    )


def test_test_under_way_is_known_at_other_routers():
    first, second = make_quarantined(), make_quarantined()
    due_ms = 10_000.0 + crash_policy.PARTS.first_quarantine_ms
    first.begin_tests([BAD], due_ms)
    hub = crash_reports.HubCrashReports()
    hub.record('r1', first.make_report(due_ms + 50), due_ms + 50)
    second.apply_totals(hub.merge(due_ms + 60), due_ms + 60)
    assert second.find_refusal([BAD], get_first, due_ms + 60) is not None


def test_unasked_quarantine_expires():
    records = make_quarantined()
    due_ms = 10_000.0 + crash_policy.PARTS.first_quarantine_ms
    assert records.make_report(due_ms + crash_quarantine.EXPIRY_MS)
    assert not records.make_report(due_ms + crash_quarantine.EXPIRY_MS + 1)


def test_messages_without_news_are_sent_at_intervals():
    records = crash_records.CrashRecords()
    pacer = crash_reports.Pacer()
    records.record_end([BAD], 'e1', 0.0, 0.0)
    sent_ms = [
        now_ms
        for now_ms in range(0, 12_000, 150)
        if pacer.is_due(records.make_report(now_ms), now_ms)
    ]
    fresh = [ms for ms in sent_ms if ms < crash_reports.FRESH_MS]
    assert len(fresh) == crash_reports.FRESH_MS // 150 + 1
    assert len(sent_ms) - len(fresh) <= 10
    records.record_end([BAD], 'e2', 12_000.0, 12_000.0)
    assert pacer.is_due(records.make_report(12_010.0), 12_010.0)
    records.record_sound([BAD], 12_020.0)
    assert records.make_report(12_030.0) is None
    assert pacer.is_due(None, 12_030.0)
    assert not pacer.is_due(None, 20_000.0)


@pytest.mark.parametrize(
    'message',
    [
        1,
        'x',
        [],
        [{}, {}],
        [{}, {}, 1],
        [{BAD: [1]}, {}, {}],
        [{}, {BAD: -1}, {}],
        [{}, {}, {BAD: [0, 0, 'x']}],
    ],
)
def test_messages_of_another_form_are_rejected(message):
    with pytest.raises(ValueError, match='expected'):
        crash_reports.check_report(message)


@pytest.mark.parametrize('totals', [[], {BAD: 1}, {BAD: [0, None]}])
def test_totals_of_another_form_are_rejected(totals):
    with pytest.raises(ValueError, match='expected'):
        crash_reports.check_totals(totals)


def test_own_messages_have_the_expected_form():
    records = make_quarantined()
    report = records.make_report(10_000.0)
    crash_reports.check_report(report)
    crash_reports.check_report(None)
    hub = crash_reports.HubCrashReports()
    hub.record('r1', report, 10_000.0)
    crash_reports.check_totals(hub.merge(10_000.0))


def test_memory_and_messages_are_bounded():
    records = crash_records.CrashRecords()
    for number in range(2 * crash_policy.PARTS.max_sound):
        records.record_sound([f's{number}'], 0.0)
        records.record_end([f'p{number}'], f'e{number}', 1.0, 1.0)
    assert len(records._sound_ms) == crash_policy.PARTS.max_sound
    assert len(records._ends_ms) == crash_policy.MAX_SUSPECTS
    ends, _, _ = records.make_report(1.0)
    assert len(ends) == crash_policy.PARTS.max_reported


@pytest.mark.parametrize(
    ('sound_ms', 'end_ms', 'may_crash'),
    [
        (None, None, False),
        (None, 1_000.0, True),
        (900.0, 1_000.0, False),
        (1_000.0 - crash_policy.PARTS.proven_ms, 1_000.0, True),
    ],
)
def test_request_is_not_repeated_if_it_may_crash_an_endpoint(
    sound_ms, end_ms, may_crash
):
    records = crash_records.CrashRecords()
    if sound_ms is not None:
        records.record_sound([BAD], sound_ms)
    if end_ms is not None:
        records.record_end([BAD], 'e1', end_ms, end_ms)
    assert records.may_crash(['route', BAD], 1_000.0) is may_crash


def test_retry_is_refused_if_it_may_crash_an_endpoint():
    route = test_dispatch.make_route(is_resumable=True)
    plan = retry_decision.decide_retry(
        retry_decision.AttemptEnd.BROKEN, route, 1, 0, True, True
    )
    assert plan is retry_decision.RetryDecision.MAY_CRASH


def simulate(fleet_size, **options):
    """Simulate calm, then crashing prompts among sound ones."""
    routers, engines, sound_per_s, bad_per_s = fleet_size
    fleet = crash_fleet_model.Fleet(routers, engines, **options)
    fleet.run(5_000, sound_per_s)
    fleet.run(40_000, sound_per_s, bad_per_s)
    return fleet


def count_sent_later(fleet, crashes=CRASHES_TO_LEARN):
    """Return the crashing requests sent after they should be contained."""
    if len(fleet.crashed_ms) < crashes:
        return 0
    learned_ms = fleet.crashed_ms[crashes - 1]
    return fleet.count_sent_after(learned_ms + CONTACT_MS)


@pytest.mark.parametrize('fleet_size', [SMALL_FLEET, LARGE_FLEET])
@pytest.mark.parametrize('loses_start', [False, True])
@pytest.mark.parametrize('seed', range(3))
def test_crashing_prompts_are_contained(fleet_size, loses_start, seed):
    fleet = simulate(fleet_size, loses_start=loses_start, seed=seed)
    assert len(fleet.crashed_ms) >= 3
    assert count_sent_later(fleet) <= MAX_SENT_LATER
    contained_ms = fleet.crashed_ms[2] + 2 * CONTACT_MS
    sent_share = fleet.compute_sent_share(contained_ms, fleet.now_ms)
    assert sent_share >= 0.5 * fleet.compute_sent_share(0, 5_000)


@pytest.mark.parametrize('fleet_size', [SMALL_FLEET, LARGE_FLEET])
def test_model_without_quarantine_sends_crashing_prompts_on(fleet_size):
    fleet = simulate(fleet_size, has_quarantine=False)
    assert count_sent_later(fleet) > MAX_SENT_LATER


def simulate_request(fleet_size, for_ms=180_000, **options):
    """Simulate one plain request that crashes engines and comes again."""
    routers, engines, sound_per_s, bad_per_s = fleet_size
    fleet = crash_fleet_model.Fleet(routers, engines, is_plain=True, **options)
    fleet.run(5_000, sound_per_s)
    fleet.run(for_ms, sound_per_s, bad_per_s)
    return fleet


@pytest.mark.parametrize('fleet_size', [SMALL_SERVICE, LARGE_SERVICE])
@pytest.mark.parametrize('seed', range(3))
def test_crashing_request_is_contained(fleet_size, seed):
    fleet = simulate_request(fleet_size, seed=seed)
    assert len(fleet.crashed_ms) >= CRASHES_OF_REQUEST
    assert count_sent_later(fleet, CRASHES_OF_REQUEST) <= MAX_SENT_LATER
    contained_ms = fleet.crashed_ms[2] + 2 * CONTACT_MS
    sent_share = fleet.compute_sent_share(contained_ms, fleet.now_ms)
    assert sent_share >= 0.99


@pytest.mark.parametrize('seed', range(1, 7))
def test_loss_of_all_engines_is_no_reason_for_a_quarantine(seed):
    routers, engines, sound_per_s, _ = SMALL_FLEET
    fleet = crash_fleet_model.Fleet(routers, engines, seed=seed)
    for _ in range(5):
        fleet.run(3_000, sound_per_s)
        fleet.crash_all(range(engines))
        fleet.run(crash_fleet_model.DOWN_MS, sound_per_s)
    fleet.run(5_000, sound_per_s)
    assert fleet.compute_sent_share(0, fleet.now_ms) == 1.0


def test_ordinary_crashes_leave_sound_requests_alone():
    routers, engines, sound_per_s, _ = SMALL_FLEET
    fleet = crash_fleet_model.Fleet(routers, engines)
    fleet.run(5_000, sound_per_s)
    for number in range(20):
        fleet.run(1_500, sound_per_s)
        fleet.crash_all([number % engines])
    sent_share = fleet.compute_sent_share(5_000, fleet.now_ms)
    assert sent_share >= 0.5 * fleet.compute_sent_share(0, 5_000)
