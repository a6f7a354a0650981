"""Tests of the membership list stand-in and its adapter."""

import pytest

from foxtailpick.adapters import base
from foxtailpick.adapters import http
from foxtailpick.adapters import membership as membership_adapter
from foxtailpick.core import clock
from foxtailpick.core import errors
from foxtailpick.standins import membership as membership_standin
from foxtailpick.standins import serving


def make_member(endpoint, **changes):
    fields = {
        'endpoint': endpoint,
        'incarnation': f'{endpoint}-1',
        'address': '127.0.0.1:1',
        'region': 'pohjola',
        'domain': 'alue-yksi',
        'service': 'malli-palvelin',
    }
    return base.Member(**(fields | changes))


def make_state(manual_clock, **settings):
    return membership_standin.MembershipState(
        clock.Clock(manual_clock.now), **settings
    )


async def test_list_is_decoded_and_an_outage_is_an_error(manual_clock):
    state = make_state(manual_clock)
    member = make_member('e1', capacity=2.0)
    state.put(member)
    state.mark_leaving('e1')
    app = membership_standin.make_app(state)
    async with serving.serve_app(app) as url:
        adapter = membership_adapter.HttpMembershipList.from_url(url, 'r 1')
        async with adapter:
            (found,) = await adapter.list_members()
            state.is_down = True
            with pytest.raises(errors.StoreError):
                await adapter.list_members()
    assert found == make_member('e1', capacity=2.0, is_leaving=True)


async def test_size_of_the_list_is_bounded(manual_clock, monkeypatch):
    monkeypatch.setattr(http, 'MAX_BODY_BYTES', 5)
    state = make_state(manual_clock)
    state.put(make_member('e1'))
    async with serving.serve_app(membership_standin.make_app(state)) as url:
        adapter = membership_adapter.HttpMembershipList.from_url(url, 'r')
        async with adapter:
            with pytest.raises(errors.StoreError):
                await adapter.list_members()


async def test_unchanged_list_is_not_sent_again(manual_clock):
    state = make_state(manual_clock)
    state.put(make_member('e1'))
    app = membership_standin.make_app(state)
    async with serving.serve_app(app) as url:
        adapter = membership_adapter.HttpMembershipList.from_url(url, 'r')
        async with adapter:
            first = await adapter.list_members()
            sent_bytes = state.sent_bytes
            assert await adapter.list_members() == first
            assert state.sent_bytes == sent_bytes
            state.put(make_member('e2'))
            assert len(await adapter.list_members()) == len(first) + 1
    assert state.read_count == 3


def test_readers_differ_while_a_change_propagates(manual_clock):
    state = make_state(manual_clock, lag_ms=100.0, spread_ms=1_000.0)
    manual_clock.advance(5_000.0)
    state.put(make_member('e1'))
    manual_clock.advance(99.0)
    assert state.view('a') == []
    manual_clock.advance(501.0)
    seen = {len(state.view(f'reader-{number}')) for number in range(20)}
    assert seen == {0, 1}
    manual_clock.advance(501.0)
    assert len(state.view('reader-3')) == 1


def test_flapping_member_appears_and_disappears(manual_clock):
    state = make_state(manual_clock)
    state.put(make_member('e1'), make_member('e2'))
    state.flapping.add('e1')
    assert len(state.view()) == 2
    manual_clock.advance(state.flap_every_ms)
    assert [member.endpoint for member in state.view()] == ['e2']
    state.remove('e2')
    assert state.view() == []
