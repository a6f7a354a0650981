"""Tests of orders and records in the store, settings and messages."""

import json

import pytest

from foxtailpick.core.dispatch import item_check
from foxtailpick.core.dispatch import model
from foxtailpick.core import errors
from foxtailpick.gateway import rollout_exchange
from foxtailpick.platform import boot
from foxtailpick.platform import items
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import test_rollout_records

KEY = 'op/rollout/plain'
RECORD_KEY = 'foxtailpick/rollouts/plain'
BOOT = """node_name=edge-1
zone=north
ip=127.0.0.1
listen.frontend=127.0.0.1:1
listen.readiness=127.0.0.1:2
internal_ports=3,5
platform.address=127.0.0.1:6
"""


def decode_order(revision=7, **fields):
    """Return the item of an order."""
    data = {'service': 'plain', 'to': 'v2', 'duration_s': 12, **fields}
    item = items.decode_item(KEY, json.dumps(data).encode(), revision)
    item_check.check_item(item)
    return item


def test_order_is_decoded():
    order = decode_order().order
    assert order.version == 'v2'
    assert order.duration_ms == 12_000.0
    assert order.revision == 7
    assert items.decode_item(KEY, None) == model.RolloutItem('plain', None)


def test_ids_tell_orders_apart():
    same = decode_order().order.id
    assert decode_order().order.id == same
    # Given again, and another one after the store's return from a copy.
    others = [
        decode_order(8),
        decode_order(to='v3'),
        decode_order(duration_s=13),
    ]
    assert same not in [item.order.id for item in others]


@pytest.mark.parametrize('version', ['v2', ''])
def test_version_of_an_endpoint_is_decoded(version):
    entry = gateway_harness.make_entry(
        'plain', ('127.0.0.1', 1), version=version
    )
    item = items.decode_item('servers/p1', json.dumps(entry).encode())
    assert item.entry.version == version


@pytest.mark.parametrize('state', list(model.RolloutState))
def test_record_and_status_are_written_together(state):
    record = test_rollout_records.make_record(state, barred=('v0',))
    own, status = items.LAYOUT.encode_rollout('plain', record)
    assert own.key == RECORD_KEY
    item = items.decode_item(own.key, own.value, 0)
    assert item == model.RolloutRecordItem('plain', record)
    assert status.key == 'status/rollout/plain'
    assert json.loads(status.value) == {'state': state.value, 'to': 'v2'}


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'done'},
        {'state': []},
        {'order': ''},
        {'version': 7},
        {'order_revision': 'x'},
        {'began_ms': 10**400},
        {'began_ms': float('nan')},
        {'barred': [7]},
        {'barred': None},
    ],
)
def test_foreign_record_is_no_record(fields):
    record = test_rollout_records.make_record(model.RolloutState.IN_PROGRESS)
    own, _ = items.LAYOUT.encode_rollout('plain', record)
    value = json.dumps({**json.loads(own.value), **fields}).encode()
    with pytest.raises(items.ItemError):
        items.decode_item(RECORD_KEY, value)


def test_bounds_are_read_from_the_settings():
    cfg = boot.parse_settings(
        BOOT + 'bounds.exposure_share=0.2\nbounds.exposure_slack=7\n'
        'bounds.rollback_ms=900\n'
    )
    assert cfg.exposure_share == 0.2
    assert cfg.exposure_slack == 7
    assert cfg.rollback_ms == 900
    assert boot.parse_settings(BOOT).exposure_share == 0.1


@pytest.mark.parametrize(
    'line',
    [
        'exposure_share=1.1',
        'exposure_share=-0.1',
        'exposure_share=nan',
        'exposure_slack=-1',
        'rollback_ms=0',
        'rollback_ms=soon',
    ],
)
def test_bounds_out_of_range_are_refused(line):
    with pytest.raises(errors.SettingsError):
        boot.parse_settings(BOOT + f'bounds.{line}\n')


@pytest.mark.parametrize(
    'contents',
    [
        [],
        [[]],
        [[], []],
        [7, {}],
        [[], {'o': 'in_progress'}],
        [[], {'o': 'done'}],
        [[], {7: 'completed'}],
        [[], {'o': []}],
        [[['o', True]], {}],
    ],
)
def test_malformed_messages_are_refused(contents):
    exchange = rollout_exchange.RolloutExchange(None, None)
    for kind in (14, 15):
        with pytest.raises(ValueError):
            exchange.handle(kind, 'r', contents, True, 0.0)
