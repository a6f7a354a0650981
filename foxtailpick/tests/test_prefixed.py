"""Tests of a key-value store restricted to a prefix."""

import pytest

from foxtailpick.adapters import base
from foxtailpick.adapters import prefixed
from foxtailpick.standins import keyvalue


@pytest.fixture
def store(manual_clock):
    return keyvalue.MemoryKeyValue(keyvalue.KeyValueState(manual_clock.now))


async def test_prefixes_isolate_deployments(store):
    first = prefixed.PrefixedKeyValue(store, '/a/')
    second = prefixed.PrefixedKeyValue(store, '/b/')
    assert (await first.put_if_absent('k', b'1')).is_applied
    assert (await second.put_if_absent('k', b'2')).is_applied
    conflict = await first.put_if_absent('k', b'3')
    assert [entry.key for entry in conflict.current] == ['k']
    assert (await first.get('k')).value == b'1'
    assert [entry.key for entry in await store.get_prefix('/')] == [
        '/a/k',
        '/b/k',
    ]


async def test_watch_reports_only_keys_of_its_prefix(store):
    first = prefixed.PrefixedKeyValue(store, '/a/')
    await store.put_if_absent('/b/k', b'other')
    await first.put_if_absent('k', b'1')
    await first.transact([], [base.Delete('k')])
    async with first.watch('k', base.ABSENT) as changes:
        seen = [await anext(changes), await anext(changes)]
    assert [change.key for change in seen] == ['k', 'k']
    assert seen[0].entry.value == b'1'
    assert seen[1].entry is None
