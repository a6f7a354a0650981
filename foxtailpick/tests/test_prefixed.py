"""Tests of a key-value service below a prefix."""

import pytest

from foxtailpick.adapters import base
from foxtailpick.adapters import prefixed
from foxtailpick.standins import keyvalue


@pytest.fixture
def whole(manual):
    return keyvalue.MemoryKeyValue(keyvalue.KeyValueState(manual.now))


async def test_deployments_do_not_meet(whole):
    first = prefixed.PrefixedKeyValue(whole, '/a/')
    second = prefixed.PrefixedKeyValue(whole, '/b/')
    assert (await first.put_if_absent('k', b'1')).is_applied
    assert (await second.put_if_absent('k', b'2')).is_applied
    refused = await first.put_if_absent('k', b'3')
    assert [entry.key for entry in refused.current] == ['k']
    assert (await first.get('k')).value == b'1'
    assert [entry.key for entry in await whole.get_prefix('/')] == [
        '/a/k',
        '/b/k',
    ]


async def test_watch_sees_its_own_keys(whole):
    first = prefixed.PrefixedKeyValue(whole, '/a/')
    await whole.put_if_absent('/b/k', b'other')
    await first.put_if_absent('k', b'1')
    await first.transact([], [base.Delete('k')])
    async with first.watch('k', base.ABSENT) as changes:
        seen = [await anext(changes), await anext(changes)]
    assert [change.key for change in seen] == ['k', 'k']
    assert seen[0].entry.value == b'1'
    assert seen[1].entry is None
