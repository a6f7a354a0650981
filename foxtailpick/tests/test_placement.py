"""Tests of the placement of chats."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailpick.adapters import base
from foxtailpick.core import candidates
from foxtailpick.core import decision
from foxtailpick.core import placement

CHATS = [f'chat-{number}' for number in range(2_000)]
MODELS = frozenset({'m'})
HOLD_MS = placement.FLAP_HOLD_MS


def make_members(count, regions=1, domains=3, **changes):
    return [
        base.Member(
            f'ep-{i}',
            f'inc-{i}',
            '127.0.0.1:1',
            f'region-{i % regions}',
            f'domain-{i % domains}',
            'svc',
            **changes,
        )
        for i in range(count)
    ]


def make_table(members):
    return placement.PlacementTable.from_members(
        members, {member.endpoint: MODELS for member in members}
    )


def update_table(table, members, now_ms):
    models = {member.endpoint: MODELS for member in members}
    table.update(members, models, now_ms)


def choose(table, chat='chat', **options):
    req = decision.PlacementRequest(chat, 'svc', 'region-0', 'm', **options)
    return placement.choose_endpoints(table, req)


def list_homes(table, **options):
    return {c: choose(table, c, **options).chosen.endpoint for c in CHATS}


def list_moved(before, after):
    return {chat for chat in before if before[chat] != after[chat]}


# All endpoints, and sets above and below `MAX_RENDEZVOUS_ENDPOINTS`.
@pytest.mark.parametrize('set_size', [None, 60, 8])
def test_removed_endpoint_moves_only_its_own_chats(set_size):
    members = make_members(60)
    allowed = set_size and frozenset(m.endpoint for m in members[:set_size])
    table = make_table(members)
    before = list_homes(table, allowed=allowed)
    update_table(table, members[1:], 0.0)
    assert list_homes(table, allowed=allowed) == before
    update_table(table, members[1:], HOLD_MS)
    after = list_homes(table, allowed=allowed)
    assert list_moved(before, after) == {
        chat for chat in CHATS if before[chat] == 'ep-0'
    }
    update_table(table, members, HOLD_MS)
    assert list_homes(table, allowed=allowed) == before


def test_updated_table_equals_a_new_one():
    members = make_members(40)
    table = make_table(members)
    list_homes(table)
    doubled = [dataclasses.replace(m, capacity=2.0) for m in members[:5]]
    added = make_members(50)[40:]
    now_listed = [*doubled, *members[8:], *added]
    update_table(table, now_listed, 0.0)
    update_table(table, now_listed, HOLD_MS)
    assert list_homes(table) == list_homes(make_table(now_listed))


@pytest.mark.parametrize('size', [6, 60])
def test_chats_follow_capacity(size):
    members = make_members(size)
    members[0] = dataclasses.replace(members[0], capacity=3.0)
    allowed = frozenset(m.endpoint for m in members) if size == 6 else None
    homes = list_homes(make_table(members), allowed=allowed)
    share = collections.Counter(homes.values())['ep-0'] / len(CHATS)
    assert share == pytest.approx(3.0 / (size + 2.0), rel=0.35)


@pytest.mark.parametrize(
    ('changes', 'options', 'reason'),
    [
        ({'is_leaving': True}, {}, decision.SkipReason.LEAVING),
        (
            {},
            {'domains_out': frozenset({'domain-0'})},
            decision.SkipReason.DOMAIN_OUT,
        ),
        (
            {},
            {'avoid': {'ep-0': decision.SkipReason.FULL}},
            decision.SkipReason.FULL,
        ),
        (
            {},
            {'allowed': frozenset({'ep-1', 'ep-2'})},
            decision.SkipReason.NOT_ALLOWED,
        ),
        ({'service': 'other'}, {}, decision.SkipReason.OTHER_SERVICE),
    ],
)
def test_unusable_endpoint_is_skipped_with_a_reason(changes, options, reason):
    members = make_members(9)
    members[0] = dataclasses.replace(members[0], **changes)
    hint = decision.LocationHint('ep-0', 'inc-0', 1.0)
    result = choose(make_table(members), hint=hint, **options)
    assert result.chosen.endpoint != 'ep-0'
    assert decision.SkippedEndpoint('ep-0', reason) in result.skipped
    assert f'ep-0 ({reason.name})' in result.format_line()


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        ('ep-7;inc-7', None),
        ('ep-7;inc-7;1001', None),
        ('ep-7;inc-7;1000', decision.SkipReason.HINT_EXPIRED),
        ('ep-7;inc-old;1001', decision.SkipReason.OTHER_INCARNATION),
        ('ep-99;inc-99;1001', decision.SkipReason.ABSENT),
    ],
)
def test_hint_is_followed_until_the_prefix_is_probably_evicted(text, reason):
    hint = decision.LocationHint.from_text(text)
    assert hint.to_text() == text
    result = choose(make_table(make_members(20)), hint=hint, wall_ms=1000.0)
    is_followed = result.chosen.reason is decision.ChoiceReason.HINT
    assert is_followed == (reason is None)
    if reason is not None:
        skipped = decision.SkippedEndpoint(hint.endpoint, reason)
        assert skipped in result.skipped


@pytest.mark.parametrize(
    'text',
    ['', 'ep', 'ep;', ';;', ';inc;1', 'ep;;1', 'ep;inc;x', 'ep;inc;1;2'],
)
def test_malformed_hint_is_ignored(text):
    assert decision.LocationHint.from_text(text) is None


def test_refusal_hints_are_filtered_before_they_go_first():
    members = make_members(9)
    members[3] = dataclasses.replace(members[3], is_leaving=True)
    req = decision.PlacementRequest(
        'chat',
        'svc',
        'region-0',
        'm',
        allowed=frozenset({'ep-0', 'ep-1', 'ep-3'}),
        avoid={'ep-1': decision.SkipReason.FULL},
    )
    hints = ['ep-8', 'ep-3', 'ep-1', 'ep-0', 'ep-77']
    ordered = candidates.rank_after_refusal(
        make_table(members), req, ['ep-1', 'ep-0'], hints
    )
    assert ordered == ['ep-0', 'ep-1']


def test_avoided_endpoints_are_a_last_resort():
    members = make_members(2)
    avoid = {m.endpoint: decision.SkipReason.FULL for m in members}
    result = choose(make_table(members), avoid=avoid)
    assert {c.reason for c in result.candidates} == {
        decision.ChoiceReason.LAST_RESORT
    }


def test_candidates_span_failure_domains():
    members = make_members(60, domains=2)
    table = make_table(members)
    for chat in CHATS:
        result = choose(table, chat)
        assert len({c.endpoint for c in result.candidates}) == 4
        domains = {
            table.get_member(c.endpoint).domain for c in result.candidates
        }
        assert len(domains) == 2


def test_other_region_is_used_only_if_the_own_has_too_few():
    members = make_members(20, regions=2)
    table = make_table(members)
    out = frozenset({'domain-0', 'domain-1', 'domain-2'})
    assert not choose(table, domains_out=out).candidates
    own = {m.endpoint for m in members if m.region == 'region-0'}
    assert {c.endpoint for c in choose(table).candidates} <= own
    allowed = frozenset({'ep-0', 'ep-1'})
    result = choose(table, allowed=allowed)
    assert [c.reason for c in result.candidates] == [
        decision.ChoiceReason.HOME,
        decision.ChoiceReason.OTHER_REGION,
    ]


@hypothesis.given(
    st.lists(st.sets(st.integers(0, 11), min_size=1), min_size=1, max_size=12)
)
def test_placement_is_independent_of_earlier_lists(history):
    members = make_members(12)
    table = make_table(members)
    choose(table)
    for step, listed in enumerate(history):
        update_table(table, [members[i] for i in listed], step * HOLD_MS)
    last = [members[i] for i in history[-1]]
    update_table(table, last, (len(history) + 1) * HOLD_MS)
    assert choose(table) == choose(make_table(last))
