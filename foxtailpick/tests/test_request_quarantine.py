"""Tests of the quarantine of whole requests that crash endpoints."""

import cbor2
import pytest

from foxtailpick.core.dispatch import crash_policy
from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import crash_records
from foxtailpick.core.dispatch import crash_reports
from foxtailpick.tests import crash_fleet_model

BAD = crash_quarantine.Signature('bad')
POLICY = crash_policy.REQUESTS
FIRST_MS = POLICY.first_quarantine_ms
SECOND_MS = FIRST_MS * POLICY.quarantine_factor
MAX_DATAGRAM_BYTES = 1_400
# Service of a request that comes again: routers, engines, sound requests
# per second.
MANY_POPULAR = (4, 6, 150)
MANY_ROUTERS = (68, 12, 200)


def make_records():
    """Return records of whole requests."""
    return crash_records.CrashRecords(POLICY)


def make_quarantined(now_ms=10_000.0):
    """Return records with a quarantine that started at some time."""
    records = make_records()
    for number in range(3):
        records.record_end([BAD], f'e{number}', now_ms, now_ms)
    return records


def get_first(signature):
    """Return the rank of a router that may test first."""
    return 0


def exchange(routers, now_ms):
    """Exchange reports and totals through a hub; return the totals."""
    hub = crash_reports.HubCrashReports(POLICY)
    for number, records in enumerate(routers):
        report = records.make_report(now_ms)
        crash_reports.check_report(report, POLICY)
        hub.record(f'r{number}', report, now_ms)
    totals = hub.merge(now_ms) or {}
    crash_reports.check_totals(totals, POLICY)
    for records in routers:
        records.apply_totals(totals, now_ms)
    return totals


def refuses(records, now_ms, **options):
    """Tell whether a request with the signature is refused."""
    found = records.find_refusal([BAD], get_first, now_ms, **options)
    return found is not None


def test_signature_is_the_same_in_all_processes():
    found = crash_quarantine.compute_signature(
        b'GET', 'h', b'/x?y=1', 'guides', b''
    )
    assert found == '62486f1ecb90'


@pytest.mark.parametrize(
    'request_fields',
    [
        (b'POST', 'h', b'/x', 'a', b'body'),
        (b'GET', 'g', b'/x', 'a', b'body'),
        (b'GET', 'h', b'/x?y', 'a', b'body'),
        (b'GET', 'h', b'/x', 'b', b'body'),
        (b'GET', 'h', b'/x', 'a', b'body2'),
        (b'GET', 'h', b'/xa', '', b'body'),
    ],
)
def test_requests_that_differ_have_other_signatures(request_fields):
    first = crash_quarantine.compute_signature(
        b'GET', 'h', b'/x', 'a', b'body'
    )
    assert crash_quarantine.compute_signature(*request_fields) != first


def test_ends_of_distinct_processes_at_once_count_each():
    records = make_records()
    assert not records.record_end([BAD], 'e0', 0.0, 0.0)
    assert not records.record_end([BAD], 'e0', 900.0, 900.0)
    assert not records.record_end([BAD], 'e1', 900.0, 900.0)
    assert records.record_end([BAD], 'e2', 900.0, 900.0) == [BAD]
    assert refuses(records, 900.0, is_alone=True)


def test_request_may_be_repeated_after_one_end_but_not_after_two():
    records = make_records()
    records.record_end([BAD], 'e0', 0.0, 0.0)
    assert not records.may_crash([BAD], 0.0)
    records.record_end([BAD], 'e1', 0.0, 0.0)
    assert records.may_crash([BAD], 0.0)
    assert not records.may_crash(['other'], 0.0)


def test_ends_at_another_router_prevent_a_repeat():
    routers = [make_records() for _ in range(3)]
    for number, records in enumerate(routers[:2]):
        records.record_end([BAD], f'e{number}', 0.0, 0.0)
    exchange(routers, 100.0)
    assert all(records.may_crash([BAD], 100.0) for records in routers)


def test_request_is_tested_twice_in_all_and_then_no_more():
    routers = [make_quarantined(), make_records()]
    now_ms = 10_000.0
    exchange(routers, now_ms)
    for wait_ms, tester in ((FIRST_MS, 0), (SECOND_MS, 1)):
        exchange(routers, now_ms + wait_ms - 10)
        assert all(refuses(item, now_ms + wait_ms - 5) for item in routers)
        now_ms += wait_ms + 5
        assert not refuses(routers[tester], now_ms)
        tests = routers[tester].begin_tests([BAD], now_ms, f'r{tester}')
        assert tests == [BAD]
        assert refuses(routers[tester], now_ms)
        exchange(routers, now_ms)
        routers[tester].fail_tests([BAD], now_ms + 50)
    for _ in range(100):
        now_ms += 60_000.0
        exchange(routers, now_ms)
        assert all(refuses(item, now_ms) for item in routers)


def test_test_counts_even_without_a_result():
    records = make_quarantined()
    for wait_ms in (FIRST_MS, SECOND_MS):
        now_ms = records.quarantines[BAD].started_ms + wait_ms
        assert not refuses(records, now_ms, is_alone=True)
        records.begin_tests([BAD], now_ms, 'r1')
    assert refuses(records, now_ms + 300_000.0, is_alone=True)


def test_tests_at_two_routers_at_once_both_count():
    routers = [make_quarantined(), make_quarantined(), make_records()]
    now_ms = 10_000.0 + FIRST_MS
    exchange(routers, now_ms)
    for number, records in enumerate(routers[:2]):
        assert not refuses(records, now_ms)
        records.begin_tests([BAD], now_ms, f'r{number}')
    exchange(routers, now_ms + 100)
    for records in routers:
        assert records.quarantines[BAD].level == 2
        assert refuses(records, now_ms + 2 * SECOND_MS)


def test_router_out_of_touch_with_the_hub_tests_nothing():
    routers = [make_quarantined(), make_records()]
    exchange(routers, 10_000.0)
    now_ms = 10_000.0 + FIRST_MS
    assert all(refuses(records, now_ms) for records in routers)
    exchange(routers, now_ms)
    late_ms = now_ms + crash_records.MAX_TEST_TOTALS_AGE_MS + 1
    assert not refuses(routers[1], now_ms)
    assert refuses(routers[1], late_ms)


@pytest.mark.parametrize('tests', [0, 1, 2])
def test_restarted_router_learns_the_number_of_tests(tests):
    routers = [make_quarantined(), make_records()]
    for number in range(tests):
        routers[0].begin_tests([BAD], 20_000.0 + number, 'r0')
    exchange(routers, 21_000.0)
    found = routers[1].quarantines[BAD]
    assert found.level == tests
    assert found.due_ms == routers[0].quarantines[BAD].due_ms


def test_sound_answer_at_any_router_frees_the_request():
    routers = [make_quarantined(), make_records(), make_records()]
    exchange(routers, 10_000.0)
    assert routers[2].record_sound([BAD], 10_100.0) == [BAD]
    exchange(routers, 10_200.0)
    assert not any(refuses(records, 10_200.0) for records in routers)
    assert exchange(routers, 10_300.0) == {}
    assert not any(records.may_crash([BAD], 10_300.0) for records in routers)


def test_quarantine_lasts_while_the_request_comes_at_any_router():
    routers = [make_quarantined(), make_records()]
    now_ms = 10_000.0
    for _ in range(2):
        routers[0].begin_tests([BAD], now_ms, 'r0')
    for _ in range(200):
        now_ms += 30_000.0
        exchange(routers, now_ms)
        assert refuses(routers[1], now_ms)
        assert BAD in routers[0].quarantines


def test_quarantine_that_nobody_asks_for_expires_everywhere():
    routers = [make_quarantined(), make_records()]
    now_ms = 10_000.0
    for _ in range(2):
        routers[0].begin_tests([BAD], now_ms, 'r0')
    until_ms = now_ms + crash_quarantine.EXPIRY_MS
    adopted = 0
    while now_ms < until_ms + 1_000:
        now_ms += 500.0
        before = BAD in routers[1].quarantines
        exchange(routers, now_ms)
        adopted += BAD in routers[1].quarantines and not before
    assert not any(records.quarantines for records in routers)
    assert adopted == 1


def test_own_quarantine_lasts_longer_than_that_of_others():
    """An old quarantine that others still report isn't adopted again."""
    records = make_quarantined()
    late_ms = 10_000.0 + FIRST_MS + crash_quarantine.EXPIRY_MS - 100
    totals = {BAD: [0, None, records.make_report(late_ms)[2][BAD]]}
    assert make_records().apply_totals(totals, late_ms).started == []


def test_request_with_one_end_at_each_of_three_routers_is_found():
    """Each crash makes suspects of all requests in flight."""
    routers = [make_records() for _ in range(4)]
    for number, records in enumerate(routers[:3]):
        for crash in range(3):
            at_ms = 1_000.0 * crash
            others = [f'{number:04}{crash:04}{item:04}' for item in range(63)]
            records.record_end(
                [*([BAD] if crash == 0 else []), *others],
                f'engine-{number}-{crash}/1700000000000',
                at_ms,
                at_ms,
            )
    hub = crash_reports.HubCrashReports(POLICY)
    for number, records in enumerate(routers):
        report = records.make_report(2_100.0)
        if report is None:
            continue
        pieces = crash_reports.split_message(report)
        assert len(pieces) > 1
        for piece in pieces:
            message = [7, 'kandy-gateway-north-1', 10**6, piece]
            assert len(cbor2.dumps(message)) < MAX_DATAGRAM_BYTES
            hub.record(f'r{number}', piece, 2_100.0, number=5)
    totals = hub.merge(2_150.0)
    assert totals == {BAD: [3, None, None]}
    for records in routers:
        assert records.apply_totals(totals, 2_150.0).started == [BAD]


def test_next_report_replaces_all_pieces_of_the_one_before():
    records = make_records()
    hub = crash_reports.HubCrashReports(POLICY)
    for number in range(2):
        records.record_end([BAD], f'e{number}', 0.0, 0.0)
    piece = records.make_report(10.0)
    hub.record('r1', piece, 10.0, number=1)
    hub.record('r1', piece, 10.0, number=1)
    assert BAD in hub.merge(10.0)
    hub.record('r1', [{}, {}, {}], 20.0, number=2)
    assert hub.merge(20.0) is None


def test_totals_in_several_pieces_are_put_together():
    records = make_records()
    totals = {f'{number:012}': [2, None, None] for number in range(150)}
    pieces = [piece for (piece,) in crash_reports.split_message([totals])]
    assert len(pieces) > 1
    for index, piece in enumerate(pieces):
        records.apply_totals(piece, 0.0, is_continued=index > 0)
    assert all(records.may_crash([key], 0.0) for key in totals)
    records.apply_totals({}, 100.0)
    assert not any(records.may_crash([key], 100.0) for key in totals)


def test_sound_answers_are_recorded_for_suspects_only():
    records = make_records()
    records.record_sound(['other'], 0.0)
    assert not records.is_watching
    records.record_end([BAD], 'e1', 10.0, 10.0)
    records.record_sound([BAD, 'other'], 20.0)
    assert list(records._sound_ms) == [BAD]
    assert not records.is_watching


def test_memory_is_bounded():
    records = make_records()
    for number in range(3 * POLICY.max_sound):
        for process in range(3):
            name = f'e{number}-{process}'
            records.record_end([f's{number}'], name, 1.0, 1.0)
    assert len(records._ends_ms) == crash_policy.MAX_SUSPECTS
    records.make_report(2.0)
    assert len(records.quarantines) <= crash_records.MAX_QUARANTINES


def test_suspect_with_more_ends_outlasts_newer_ones():
    records = make_records()
    for process in ('e0', 'e1'):
        records.record_end([BAD], process, 1.0, 1.0)
    for number in range(2 * crash_policy.MAX_SUSPECTS):
        records.record_end([f's{number}'], 'e2', 2.0, 2.0)
    assert records.count_ends(BAD, 3.0) == (2, 0)


@pytest.mark.parametrize(
    'message',
    [
        [{}, {}, {BAD: [0, 1, None]}],
        [{}, {}, {BAD: [0, 1, None, 0]}],
        [{}, {}, {BAD: [0, {'r1': 'x'}, None, 0]}],
        [{}, {}, {BAD: [0, {'r1': 1}, None, -1]}],
        [{}, {}, {BAD: [0, {'r1': 1}, 'x', 0]}],
    ],
)
def test_messages_of_another_form_are_rejected(message):
    with pytest.raises(ValueError, match='expected'):
        crash_reports.check_report(message, POLICY)
    with pytest.raises(ValueError, match='expected'):
        totals = {BAD: [0, None, message[2][BAD]]}
        crash_reports.check_totals(totals, POLICY)


def test_messages_about_prompt_parts_keep_the_form_of_the_last_version():
    records = crash_records.CrashRecords()
    for number in range(3):
        at_ms = 1_000.0 * number
        records.record_end(['p'], f'e{number}', at_ms, at_ms)
    records.begin_tests(['p'], 20_000.0, 'r1')
    records.fail_tests(['p'], 20_000.0)
    records.begin_tests(['p'], 70_000.0, 'r1')
    report = records.make_report(70_100.0)
    ends = [['e0', 70_100], ['e1', 69_100], ['e2', 68_100]]
    assert report == [{'p': ends}, {}, {'p': [50_100, 1, 100]}]
    hub = crash_reports.HubCrashReports()
    hub.record('r1', report, 70_100.0)
    assert hub.merge(70_200.0) == {'p': [3, None, [50_200, 1, 200]]}


@pytest.mark.parametrize('fleet_size', [MANY_POPULAR, MANY_ROUTERS])
def test_loss_of_a_failure_domain_blames_no_request_for_long(fleet_size):
    """Half of the engines end at once, again and again."""
    routers, engines, sound_per_s = fleet_size
    fleet = crash_fleet_model.Fleet(routers, engines, is_plain=True)
    fleet.run(3_000, sound_per_s)
    for _ in range(5):
        fleet.crash_all(range(engines // 2))
        fleet.run(crash_fleet_model.DOWN_MS + 3_000, sound_per_s)
    assert fleet.compute_sent_share(0, fleet.now_ms) >= 0.95


@pytest.mark.parametrize('fleet_size', [MANY_POPULAR, MANY_ROUTERS])
def test_loss_of_all_engines_blames_no_request_for_long(fleet_size):
    routers, engines, sound_per_s = fleet_size
    fleet = crash_fleet_model.Fleet(routers, engines, is_plain=True)
    fleet.run(3_000, sound_per_s)
    fleet.crash_all(range(engines))
    fleet.run(crash_fleet_model.DOWN_MS + 10_000, sound_per_s)
    began_ms = fleet.now_ms
    fleet.run(20_000, sound_per_s)
    assert fleet.compute_sent_share(began_ms, fleet.now_ms) >= 0.95
