"""Tests of the bound on what is kept of routers that aren't listed."""

import pytest

from foxtailpick.core.dispatch import unlisted_routers
from foxtailpick.gateway import peer_messages


def test_fleet_that_starts_is_heard():
    """Reports come before any router is listed, one of a few kinds each."""
    unlisted = unlisted_routers.UnlistedRouters()
    for number in range(360):
        for kind in range(4):
            for _ in range(10):
                assert unlisted.admit(f'router-{number}', kind, 1_000)


def test_flood_of_names_is_bounded():
    unlisted = unlisted_routers.UnlistedRouters()
    size = 60_000
    admitted = sum(
        unlisted.admit(f'name-{number}', 2, size) for number in range(10_000)
    )
    assert admitted * size <= unlisted_routers.MAX_KEPT_BYTES
    # A router that is listed meanwhile frees what was kept for it.
    assert not unlisted.admit('router-1', 2, size)
    unlisted.record_listed('name-0')
    assert unlisted.admit('router-1', 2, size)


def test_many_small_messages_are_bounded():
    unlisted = unlisted_routers.UnlistedRouters()
    admitted = sum(
        unlisted.admit(f'{number}', 2, 10) for number in range(20_000)
    )
    most = unlisted_routers.MAX_KEPT_BYTES
    assert admitted <= most / unlisted_routers.MESSAGE_OVERHEAD_BYTES


def test_long_name_is_no_router():
    name = 'x' * unlisted_routers.MAX_NAME_CHARS
    assert peer_messages.check_head([2, name, 1]) == [2, name, 1]
    with pytest.raises(ValueError):
        peer_messages.check_head([2, name + 'x', 1])
