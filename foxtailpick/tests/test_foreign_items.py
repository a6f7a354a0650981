"""Tests of items that other writers left in the platform's store."""

import json

import pytest
import trio

from foxtailpick.platform import items
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

PLAIN = gateway_harness.make_entry('plain', ('127.0.0.1', 9))
FIELDS = {
    'state': [[], {}, None, 7],
    'service': [[], {}, 7],
    'zone': [[], {}, 7],
    'address': [
        [],
        7,
        '',
        ':1',
        'h:1',
        f'{"h" * 100}:1',
        '127.0.0.1:70000',
        '127.0.0.1:\N{SUPERSCRIPT TWO}',
        '127.0.0.1:0',
    ],
    'slots': [[], '8', 10**400, None],
    'warmup_left_ms': [
        [1],
        {'a': 1},
        'soon',
        float('inf'),
        float('nan'),
        10**400,
        -1,
    ],
}
ENDPOINTS = [
    b'\xff\x00',
    b'[' * 100_000,
    b'7',
    b'null',
    *(
        json.dumps({**PLAIN, name: value}).encode()
        for name, values in FIELDS.items()
        for value in values
    ),
]
ROUTERS = [
    b'\xff\x00',
    b'[' * 100_000,
    *(
        json.dumps({'address': '127.0.0.1:9', **fields}).encode()
        for fields in (
            {'address': '127.0.0.1:70000', 'share': 9.0},
            {'share': [1]},
            {'share': 'large'},
            {'share': float('nan')},
            {'share': float('inf')},
            {'share': -1.0},
            {'share': 10**400},
        )
    ),
]


@pytest.mark.parametrize('value', ENDPOINTS, ids=lambda value: value[-40:])
@pytest.mark.parametrize('is_changed', [False, True])
async def test_foreign_endpoint_entry_is_skipped(value, is_changed):
    """It is in the snapshot, or a change that the watch reports.

    An exception in a task of the mirror ends the process.
    """
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        if is_changed:
            await harness.until_known('p1')
        harness.store.put('servers/foreign', value)
        harness.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p2')
        assert harness.gw.state.table.get('foreign') is None
        for _ in range(4):
            assert (await harness.ask('/safe/x')).status == 200


@pytest.mark.parametrize('value', ROUTERS, ids=lambda value: value[-40:])
async def test_foreign_router_entry_is_skipped(value):
    async with gateway_harness.open_harness() as harness:
        harness.store.put('foxtailpick/routers/foreign', value)
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        async with gateway_harness.open_harness(
            name='router-2', store=harness.store
        ) as other:
            await harness.until(
                lambda: 'router-2' in harness.gw.state.list_routers()
            )
            await other.until_known('p1')
            # Some messages between the routers.
            await trio.sleep(0.4)
            assert 'foreign' not in harness.gw.state.list_routers()
            assert (await harness.ask('/safe/x')).status == 200


def test_entry_with_a_field_missing_or_of_another_type_is_refused():
    """Such an entry names no server to use."""
    kept = []
    for name, values in (
        ('warmup_left_ms', ([], {}, False, '', None)),
        # Examples of the platform's pages have no `born`.
        ('born', ('today', [1], True, 1.5)),
        ('sequence', ('first', [], None)),
        ('version', (1, [], None)),
    ):
        for value in values:
            entry = {**PLAIN, name: value}
            if value is None:
                del entry[name]
            try:
                items.decode_endpoint('servers/s', json.dumps(entry).encode())
            except items.ItemError:
                continue
            kept.append((name, value))
    assert kept == []


@pytest.mark.parametrize(
    'reply',
    [
        {},
        [],
        'text',
        None,
        {'items': None, 'events': None, 'current_rev': 1, 'lease': 1},
        {'items': [{}], 'events': [{}], 'current_rev': 1, 'lease': None},
        {
            'items': [{'key': 'servers/p1', 'value': 'a', 'revision': 1}],
            'events': [{'key': 7}],
            'current_rev': 'first',
            'lease': 'first',
        },
    ],
)
async def test_malformed_reply_of_the_store_is_a_failed_call(
    reply, monkeypatch
):
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')

        async def reply_malformed(*args):
            return 200, reply

        with monkeypatch.context() as patch:
            patch.setattr(harness.store, '_run', reply_malformed)
            # Wakes up the watches, which then read everything again.
            calls = len(harness.store.calls)
            harness.store.put('op/config', gateway_harness.make_config(2))
            harness.store.put('servers/p2', PLAIN)
            await harness.until(lambda: len(harness.store.calls) > calls + 2)
            assert (await harness.ask('/safe/x')).status == 200
        await harness.until(lambda: harness.gw.state.cfg.number == 2)
        assert (await harness.ask('/safe/x')).status == 200
