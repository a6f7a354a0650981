"""Tests of the membership view with stale lists and network outages."""

import dataclasses
import random

import pytest

from foxtailpick.adapters import base
from foxtailpick.core import member_chart
from foxtailpick.core import member_types
from foxtailpick.core import membership
from foxtailpick.core import types

State = member_chart.MemberState
DOMAINS = ('kandy-a', 'peradeniya-b', 'gampola-c')
MEMBERS = [
    base.Member(
        endpoint=f'{domain}-{number}',
        incarnation='i1',
        address='127.0.0.1:1',
        region='central-hills',
        domain=domain,
        service='foxtail-pool',
    )
    for domain in DOMAINS
    for number in range(5)
]
IN_KANDY = [member for member in MEMBERS if member.domain == 'kandy-a']
FIRST = MEMBERS[0].endpoint


@pytest.fixture
def view(monitor):
    made = membership.MembershipView(monitor, random.Random(1))
    made.on_list(MEMBERS, 0.0)
    return made


def without(*endpoints):
    return [item for item in MEMBERS if item.endpoint not in endpoints]


def changed(endpoint, **changes):
    return [
        dataclasses.replace(item, **changes)
        if item.endpoint == endpoint
        else item
        for item in MEMBERS
    ]


def statuses(view, now_ms):
    return {item.member.endpoint: item for item in view.list_usable(now_ms)}


def fail(view, members, now_ms):
    for member in members:
        view.on_failure(member.endpoint, member.incarnation, now_ms)


def test_list_flap_keeps_the_member_usable(view):
    for now_ms in range(1_000, 9_000, 1_000):
        is_shown = now_ms // 1_000 % 2 == 0
        view.on_list(MEMBERS if is_shown else without(FIRST), float(now_ms))
        status = statuses(view, now_ms)[FIRST]
        assert not status.is_avoided


def test_unlisted_and_unreachable_member_is_removed_at_its_probe(view):
    view.on_list(without(FIRST), 100.0)
    assert [item.endpoint for item in view.take_due_probes(100.0)] == [FIRST]
    view.on_failure(FIRST, 'i1', 200.0)
    assert view.get_state(FIRST) is State.GONE


def test_unlisted_but_answering_member_is_kept_until_silent(view):
    view.on_list(without(FIRST), 100.0)
    view.on_success(FIRST, 'i1', 9_000.0)
    assert FIRST in statuses(view, 18_999.0)
    assert FIRST not in statuses(view, 19_000.0)


def test_member_is_down_after_a_second_failure(view):
    view.on_failure(FIRST, 'i1', 100.0)
    assert statuses(view, 100.0)[FIRST].is_avoided
    assert [item.endpoint for item in view.take_due_probes(100.0)] == [FIRST]
    view.on_failure(FIRST, 'i1', 200.0)
    assert FIRST not in statuses(view, 200.0)
    assert view.take_due_probes(699.0) == []
    assert [item.endpoint for item in view.take_due_probes(1_200.0)] == [FIRST]
    view.on_success(FIRST, 'i1', 1_200.0)
    assert not statuses(view, 1_200.0)[FIRST].is_avoided


def test_flapping_member_waits_longer_each_time(view):
    waits_ms = []
    now_ms = 0.0
    for _ in range(5):
        now_ms += 10.0
        view.on_failure(FIRST, 'i1', now_ms)
        began_ms = now_ms
        while view.get_state(FIRST) is not State.LISTED:
            now_ms += 500.0
            view.on_success(FIRST, 'i1', now_ms)
        waits_ms.append(now_ms - began_ms)
    assert waits_ms == [500.0, 500.0, 2_000.0, 4_000.0, 8_000.0]


def test_dead_domain_is_avoided_after_three_and_none_is_removed(view):
    fail(view, IN_KANDY[:3], 100.0)
    found = statuses(view, 100.0)
    reasons = {found[item.endpoint].reason for item in IN_KANDY}
    assert all(found[item.endpoint].is_avoided for item in IN_KANDY)
    assert member_types.MemberReason.DOMAIN_UNREACHABLE in reasons
    probed = {item.endpoint for item in view.take_due_probes(100.0)}
    assert probed == {item.endpoint for item in IN_KANDY}
    for now_ms in (200.0, 2_000.0, 4_000.0):
        fail(view, IN_KANDY, now_ms)
    found = statuses(view, 4_000.0)
    assert {item.endpoint for item in IN_KANDY} <= found.keys()
    assert not any(found[item.endpoint].is_avoided for item in MEMBERS[5:])


def test_one_answer_ends_the_outage(view):
    fail(view, IN_KANDY[:3], 100.0)
    view.on_success(IN_KANDY[4].endpoint, 'i1', 200.0)
    found = statuses(view, 200.0)
    assert not found[IN_KANDY[3].endpoint].is_avoided
    assert found[IN_KANDY[0].endpoint].is_avoided


def test_isolated_node_detects_its_isolation(view):
    fail(view, MEMBERS, 100.0)
    fail(view, MEMBERS, 200.0)
    assert view.is_node_isolated(200.0)
    assert len(statuses(view, 200.0)) == len(MEMBERS)
    view.on_success(FIRST, 'i1', 300.0)
    assert not view.is_node_isolated(300.0)


@pytest.mark.parametrize(
    'kept', [[], without(*[m.endpoint for m in IN_KANDY])]
)
def test_mass_removal_from_the_list_is_not_applied_at_once(view, kept):
    for now_ms in range(1_000, 59_000, 1_000):
        view.on_list(kept, float(now_ms))
    assert len(statuses(view, 59_000.0)) == len(MEMBERS)


def test_unlisted_dead_domain_is_removed_eventually(view):
    kept = without(*[item.endpoint for item in IN_KANDY])
    for now_ms in range(1_000, 62_000, 1_000):
        view.on_list(kept, float(now_ms))
        fail(view, view.take_due_probes(now_ms), now_ms)
    assert len(statuses(view, 62_000.0)) == len(MEMBERS) - len(IN_KANDY)


def test_unreadable_list_keeps_the_last_known_members(view):
    view.on_list_failed('timeout', 1e6)
    assert len(statuses(view, 1e6)) == len(MEMBERS)


def test_leaving_is_not_reverted_by_a_stale_list(view):
    view.on_list(changed(FIRST, is_leaving=True), 100.0)
    assert FIRST not in statuses(view, 100.0)
    view.on_list(MEMBERS, 200.0)
    view.on_notice(FIRST, 'i1', types.EndpointState.READY, 200.0)
    assert FIRST not in statuses(view, 200.0)
    view.on_list(without(FIRST), 300.0)
    view.on_list(MEMBERS, 400.0)
    assert FIRST not in statuses(view, 400.0)


def test_sidecar_drains_and_undrains(view):
    view.on_notice(FIRST, 'i1', types.EndpointState.DRAINING, 100.0)
    assert FIRST not in statuses(view, 100.0)
    view.on_notice(FIRST, 'i1', types.EndpointState.READY, 200.0)
    assert FIRST in statuses(view, 200.0)


def test_replacement_has_no_history_and_its_predecessor_is_ignored(view):
    view.on_failure(FIRST, 'i1', 100.0)
    view.on_list(changed(FIRST, incarnation='i2'), 200.0)
    status = statuses(view, 200.0)[FIRST]
    assert status.member.incarnation == 'i2'
    assert not status.is_avoided
    view.on_list(MEMBERS, 300.0)
    view.on_success(FIRST, 'i1', 300.0)
    view.on_failure(FIRST, 'i1', 300.0)
    status = statuses(view, 300.0)[FIRST]
    assert status.member.incarnation == 'i2'
    assert not status.is_avoided


def test_incarnation_from_a_handshake_outlasts_a_lagging_list(view):
    view.on_success(FIRST, 'i2', 100.0)
    for now_ms in (200.0, 1e5):
        view.on_list(MEMBERS, now_ms)
        assert statuses(view, now_ms)[FIRST].member.incarnation == 'i2'


def test_last_member_of_a_service_is_offered_though_down(view):
    lone = dataclasses.replace(MEMBERS[0], endpoint='book-1', service='book')
    view.on_list([*MEMBERS, lone], 100.0)
    view.on_failure('book-1', 'i1', 200.0)
    view.on_failure('book-1', 'i1', 300.0)
    status = statuses(view, 300.0)['book-1']
    assert status.state is State.DOWN
    assert status.is_avoided


def test_attempts_from_before_the_end_of_an_outage_remove_no_member(view):
    fail(view, MEMBERS, 100.0)
    view.on_success(FIRST, 'i1', 1_000.0)
    for member in MEMBERS[1:]:
        view.on_failure(member.endpoint, 'i1', 1_500.0, began_ms=500.0)
    assert len(statuses(view, 1_500.0)) == len(MEMBERS)
    for now_ms in (2_000.0, 3_000.0):
        view.on_success(FIRST, 'i1', now_ms)
        view.on_failure(MEMBERS[1].endpoint, 'i1', now_ms)
    assert view.get_state(MEMBERS[1].endpoint) is State.DOWN
