"""Tests of the adapter to the operators' platform."""

import contextlib
import json

import pytest
import trio

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import store_pacing
from foxtailpick.core import errors
from foxtailpick.gateway import http1
from foxtailpick.gateway import mirror
from foxtailpick.platform import boot
from foxtailpick.platform import dialect
from foxtailpick.platform import items
from foxtailpick.platform.standins import store_server
from foxtailpick.platform import store as store_lib
from foxtailpick.tests import gateway_harness

BOOT = """
node_name=edge-1
role=router
zone=north
ip=10.1.0.40
listen.frontend=10.1.0.40:8227
listen.readiness=10.1.0.40:8220
internal_ports=7340,7355
limits.cpu_share=0.8
bounds.grace_s=8
platform.address=10.200.1.7:8223
some.new.field=x=y
"""


@contextlib.asynccontextmanager
async def open_store():
    standin = store_server.PlatformStoreStandIn()
    sock = http1.listen(gateway_harness.ANY_PORT, 16)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(standin.serve, sock)
        with store_lib.PlatformStore(sock.getsockname()) as client:
            yield standin, client
        nursery.cancel_scope.cancel()


def test_settings_are_read_and_unknown_fields_ignored():
    cfg = boot.parse_settings(BOOT)
    assert cfg.name == 'edge-1'
    assert cfg.listen == ('10.1.0.40', 8227)
    assert cfg.metrics == ('10.1.0.40', 7340)
    assert (cfg.grace_ms, cfg.processor_share) == (8_000.0, 0.8)


@pytest.mark.parametrize(
    ('line', 'new', 'code'),
    [
        ('zone=north', '', errors.ErrorCode.SETTINGS_KEY_MISSING),
        (
            'bounds.grace_s=8',
            'bounds.grace_s=soon',
            errors.ErrorCode.SETTINGS_VALUE_INVALID,
        ),
        (
            'bounds.grace_s=8',
            'bounds.grace_s=-1',
            errors.ErrorCode.SETTINGS_VALUE_INVALID,
        ),
        (
            ':8223',
            ':port',
            errors.ErrorCode.SETTINGS_VALUE_INVALID,
        ),
    ],
)
def test_bad_settings_are_refused(line, new, code):
    with pytest.raises(errors.SettingsError) as caught:
        boot.parse_settings(BOOT.replace(line, new))
    assert caught.value.code is code


@pytest.mark.parametrize(
    ('line', 'new'),
    [
        ('bounds.grace_s=8', f'{name}={value}')
        for name in (
            'bounds.grace_s',
            'bounds.drain_ms',
            'bounds.retry_budget_ratio',
            'bounds.retry_budget_extra',
            'platform.ttl_min_ms',
            'platform.history_s',
            'limits.cpu_share',
            'limits.cores',
            'limits.max_fds',
        )
        for value in ('nan', 'inf', '-1', '1e999')
    ]
    + [('bounds.grace_s=8', 'bounds.grace_s=1e308')]
    + [
        (':8227', f':{port}')
        for port in ('-1', '65536', '\N{SUPERSCRIPT TWO}', '1' * 5_000)
    ]
    + [
        ('7340,7355', ports)
        for ports in ('65536,1', '65535,1', '\N{SUPERSCRIPT TWO}', '1' * 5_000)
    ],
)
def test_numbers_out_of_range_are_refused(line, new):
    """Any other exception would end the process at a reload."""
    with pytest.raises(errors.SettingsError):
        boot.parse_settings(BOOT.replace(line, new))


@pytest.mark.parametrize('port', ['65536', '\N{SUPERSCRIPT TWO}'])
def test_metrics_port_out_of_range_is_refused(port):
    with pytest.raises(errors.SettingsError):
        boot.parse_settings(BOOT, port)


@pytest.mark.parametrize('content', [b'', b'\xff\xfe', b'\x00=\x00', None])
def test_unusable_settings_file_is_refused(content, tmp_path):
    """It may be read while it is replaced."""
    path = tmp_path / 'settings'
    if content is None:
        path.mkdir()
    else:
        path.write_bytes(content)
    with pytest.raises(errors.SettingsError):
        boot.read_settings(path)


def test_port_of_metrics_may_be_given_by_the_deploy_file():
    assert boot.parse_settings(BOOT, '9464').metrics == ('10.1.0.40', 9464)
    with pytest.raises(errors.SettingsError):
        boot.parse_settings(BOOT, 'any')


def test_missing_settings_file_is_refused(tmp_path, monkeypatch):
    with pytest.raises(errors.SettingsError):
        boot.read_settings(tmp_path / 'none')
    monkeypatch.delenv(boot.BOOT_VARIABLE, raising=False)
    with pytest.raises(errors.SettingsError):
        boot.find_boot_file()


def test_configuration_is_decoded():
    cfg = items.decode_config(
        json.dumps(gateway_harness.make_config(version=9)).encode()
    )
    assert cfg.number == 9
    assert [route.kind for route in cfg.routes[:2]] == [
        model.RequestKind.SAFE,
        model.RequestKind.UNSAFE,
    ]
    assert cfg.accounts[gateway_harness.KEY].name == 'guides'


@pytest.mark.parametrize(
    'value',
    [
        b'\xff\x00',
        b'[]',
        b'{}',
        b'{"state": "resting", "service": "s", "address": "1.2.3.4:5"}',
        json.dumps(
            {**gateway_harness.make_entry('s', ('h', 1)), 'slots': '8'}
        ).encode(),
        json.dumps(
            {**gateway_harness.make_entry('s', ('h', 1)), 'address': 7}
        ).encode(),
    ],
)
def test_invalid_entry_raises_item_error(value):
    with pytest.raises(items.ItemError):
        items.decode_item('servers/s1', value)


def test_headers_that_only_the_system_sets_are_dropped():
    meta = dialect.decode_request(
        [
            (b'x-attempt-id', b'a1'),
            (b'x-key', b'secret'),
            (b'x-tenant', b'forged'),
            (b'x-kv-hold', b'h'),
            (b'x-hop', b'1'),
            (b'connection', b'keep-alive, X-Hop'),
            (b'x-prefix-hash', b'ab:500,cd:10'),
            (b'x-token-count', b'510,80'),
            (b'last-event-id', b'12'),
            (b'accept', b'*/*'),
        ]
    )
    assert [name for name, _ in meta.forwarded] == [
        b'x-attempt-id',
        b'x-prefix-hash',
        b'x-token-count',
        b'accept',
    ]
    assert meta.parts == (
        model.PromptPart('ab', 500),
        model.PromptPart('cd', 10),
    )
    assert (meta.key, meta.last_event_id) == ('secret', '12')
    assert (meta.prompt_tokens, meta.output_tokens) == (510, 80)


@pytest.mark.parametrize(
    'header',
    [
        (b'x-deadline-ms', b'soon'),
        (b'x-prefix-hash', b'ab'),
        (b'x-prefix-hash', b'ab:-1'),
        (b'x-prefix-hash', b'ab:' + b'9' * 308),
        (b'x-token-count', b'many'),
        (b'x-token-count', b'-500000,1'),
        (b'x-token-count', b'9' * 308 + b',1'),
        (b'x-token-count', b'1,10000001'),
    ],
)
def test_malformed_headers_are_refused(header):
    with pytest.raises(ValueError):
        dialect.decode_request([header])


async def test_snapshot_is_read_page_by_page():
    async with open_store() as (standin, client):
        standin.page_items = 3
        for number in range(8):
            standin.put(f'servers/s{number}', {})
        snapshot = await client.read_snapshot('servers/')
    assert [entry.key for entry in snapshot.entries] == [
        f'servers/s{number}' for number in range(8)
    ]
    assert snapshot.position.revision == standin.revision


async def test_changes_and_lost_history_are_told_apart():
    async with open_store() as (standin, client):
        snapshot = await client.read_snapshot('')
        standin.put('a', 1)
        standin.remove('a')
        changes, reached = await client.poll_changes('', snapshot.position)
        assert [change.entry is None for change in changes] == [False, True]
        assert reached.revision == standin.revision
        standin.put('b', 1)
        standin.expire_without_history('b')
        with pytest.raises(errors.StoreError) as caught:
            await client.poll_changes('', reached)
    assert caught.value.code is errors.ErrorCode.STORE_HISTORY_LOST


async def test_conditional_transaction():
    async with open_store() as (standin, client):
        lease = await client.grant_lease(3_000.0)
        first = await client.put_if_absent('k', b'1', lease)
        second = await client.put_if_absent('k', b'2')
        assert (first.is_applied, second.is_applied) == (True, False)
        assert second.current[0].value == b'1'
        assert (await client.get('k')).lease == lease
        swapped = await client.compare_and_swap('k', first.revision, b'3')
        assert swapped.is_applied
        await client.renew_lease(lease)
        await client.revoke_lease(lease)
        with pytest.raises(errors.StoreError) as caught:
            await client.renew_lease(lease)
    assert caught.value.code is errors.ErrorCode.LEASE_LOST


async def test_write_without_reply_has_an_unknown_outcome(monkeypatch):
    monkeypatch.setattr(store_lib, 'CALL_TIMEOUT_MS', 50.0)
    async with open_store() as (standin, client):
        standin.is_silent = True
        with pytest.raises(errors.StoreError) as caught:
            await client.transact([], [base.Put('k', b'1')])
        assert caught.value.code is errors.ErrorCode.STORE_OUTCOME_UNKNOWN
        with pytest.raises(errors.StoreError) as caught:
            await client.get('k')
        assert caught.value.code is errors.ErrorCode.STORE_UNAVAILABLE


async def test_configuration_takes_effect_at_once_and_never_reverts():
    async with gateway_harness.open_harness() as harness:
        await harness.until_known()
        harness.store.put('op/config', gateway_harness.make_config(version=5))
        await harness.until(lambda: harness.gw.state.cfg.number == 5)
        harness.store.put('op/config', gateway_harness.make_config(version=3))
        harness.store.put('op/config', b'not json')
        harness.store.put('op/evacuate/north', {})
        entry = gateway_harness.make_entry('engine', ('127.0.0.1', 1))
        harness.store.put('servers/e1', entry)
        await harness.until_known('e1')
        table = harness.gw.state.table
        # The evacuation was written after the configurations.
        await harness.until(lambda: table.list_service('engine') == [])
        assert harness.gw.state.cfg.number == 5


@pytest.fixture
def outages(monkeypatch):
    """Renew the lease often; return a list that grows with each outage."""
    monkeypatch.setattr(mirror, 'LEASE_RENEWAL_INTERVAL_MS', 50.0)
    found = []
    record_outage = mirror.Mirror._record_outage

    def record(self, exc):
        found.append(exc)
        return record_outage(self, exc)

    monkeypatch.setattr(mirror.Mirror, '_record_outage', record)
    return found


async def test_entries_expired_in_an_outage_are_kept_for_a_grace_period(
    outages,
):
    """Endpoints whose entries expire during an outage stay in use."""
    async with gateway_harness.open_harness() as harness:
        entry = gateway_harness.make_entry('engine', ('127.0.0.1', 1))
        harness.store.put('servers/e1', entry)
        harness.store.put('servers/e2', entry)
        await harness.until_known('e1', 'e2')
        table = harness.gw.state.table
        harness.store.refuse_with = 503
        await harness.until(lambda: outages)
        harness.store.expire_without_history('servers/e1')
        harness.store.expire_without_history('servers/e2')
        harness.store.refuse_with = None
        await harness.until(lambda: table.get('e1').absent_until_ms)
        harness.store.put('servers/e1', entry)
        await harness.until(lambda: not table.get('e1').absent_until_ms)
        await harness.until(lambda: table.get('e2') is None)
        assert table.get('e1') is not None


async def test_removal_takes_effect_at_once_after_an_outage(outages):
    """A removal seen by a watch gets no grace period after an outage."""
    async with gateway_harness.open_harness() as harness:
        entry = gateway_harness.make_entry('engine', ('127.0.0.1', 1))
        harness.store.put('servers/e1', entry)
        await harness.until_known('e1')
        harness.store.refuse_with = 503
        await harness.until(lambda: outages)
        watches = harness.store.calls.count('kv-watch')
        harness.store.refuse_with = None
        await harness.until(
            # The watches of both prefixes wait again.
            lambda: harness.store.calls.count('kv-watch') >= watches + 2
        )
        began_ms = harness.gw.now_ms()
        harness.store.remove('servers/e1')
        await harness.until(lambda: harness.gw.state.table.get('e1') is None)
        assert harness.gw.now_ms() - began_ms < 1_000


async def test_router_registers_again_when_its_lease_is_lost(monkeypatch):
    monkeypatch.setattr(mirror, 'LEASE_RENEWAL_INTERVAL_MS', 20.0)
    monkeypatch.setattr(mirror, 'MAX_BACKOFF_MS', 20.0)
    monkeypatch.setattr(store_pacing, 'MIN_LIST_INTERVAL_MS', 20.0)
    key = 'foxtailpick/routers/router-1'
    async with gateway_harness.open_harness() as harness:
        await harness.until(lambda: key in harness.store.items)
        lease = harness.store.items[key]['lease']
        harness.store.leases.clear()
        harness.store.leases[1] = 0.0
        await harness.until(lambda: harness.store.items[key]['lease'] != lease)
        value = {'address': '127.0.0.1:1', 'share': 0.5}
        harness.store.put('foxtailpick/routers/router-2', value)
        await harness.until(lambda: harness.gw.state.router_count == 2)
