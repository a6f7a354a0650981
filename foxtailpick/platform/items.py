"""Decodes the items of the platform's store.

Items that cannot be decoded raise `ItemError`; the caller logs and skips
them and keeps its previous state.
"""

import json
import typing

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import store_layout
from foxtailpick.platform import departure_items
from foxtailpick.platform import fields as fields_lib
from foxtailpick.platform import rollout_items
from foxtailpick.platform import stream_items

OPERATOR_PREFIX = 'op/'
CONFIG_KEY = 'op/config'
ENDPOINT_PREFIX = 'servers/'
EVACUATION_PREFIX = 'op/evacuate/'
ROUTER_PREFIX = 'foxtailpick/routers/'

# Callers disconnect from a stream after a pause of this length, or of this
# multiple of the target latency or of the target gap between events,
# whichever is longest; defined by the operators' documentation.
_MIN_ABANDON_MS = 2_000.0
_ABANDON_TARGETS = 4.0
_ABANDON_GAPS = 8.0
_STATES = {'ready': False, 'draining': True}
_Fields = fields_lib.Fields
ItemError = fields_lib.ItemError


def decode_item(
    key: str, value: bytes | None, revision: types.Revision = base.ABSENT
) -> model.Item | None:
    """Decode an item of the store.

    :param key: its key.
    :param value: the stored bytes, None if the item was removed.
    :param revision: revision of its last change.
    :returns: None for an item that routers do not use.
    :raises ItemError: if the value is invalid.
    """
    if key == CONFIG_KEY:
        return model.ConfigItem(
            None if value is None else decode_config(value)
        )
    if key.startswith(ENDPOINT_PREFIX):
        endpoint = types.EndpointId(key.removeprefix(ENDPOINT_PREFIX))
        entry = None if value is None else decode_endpoint(key, value)
        return model.EndpointItem(endpoint, entry)
    if key.startswith(EVACUATION_PREFIX):
        domain = types.FailureDomainId(key.removeprefix(EVACUATION_PREFIX))
        return model.EvacuationItem(domain, value is not None)
    if key.startswith(ROUTER_PREFIX):
        router = types.RouterId(key.removeprefix(ROUTER_PREFIX))
        entry = None if value is None else _decode_router(value)
        return model.RouterItem(router, entry)
    if key.startswith(departure_items.DEPARTURE_PREFIX):
        return departure_items.decode_item(key, value)
    if key.startswith(stream_items.STREAM_PREFIX):
        return stream_items.decode_item(key, value)
    return rollout_items.decode_item(key, value, revision)


def make_endpoint_key(endpoint: types.EndpointId) -> str:
    """Return the key under which an endpoint registers."""
    return ENDPOINT_PREFIX + endpoint


def make_router_key(router: types.RouterId) -> str:
    """Return the key under which a router registers."""
    return ROUTER_PREFIX + router


def encode_router(entry: model.RouterEntry) -> bytes:
    """Return the value that a router stores under its key."""
    host, port = entry.address
    fields = {'address': f'{host}:{port}', 'share': entry.processor_share}
    return json.dumps(fields).encode()


def decode_config(value: bytes) -> model.GatewayConfig:
    """Decode the operators' configuration.

    :param value: the stored bytes.
    :raises ItemError: if the value is invalid.
    """
    data = fields_lib.parse(value)
    try:
        limits = data.get('limits') or {}
        tenants = data.get('tenants')
        return model.GatewayConfig(
            number=types.ConfigNumber(int(data['version'])),
            routes=tuple(_decode_route(item) for item in data['routes']),
            services={
                types.ServiceId(item['name']): _decode_service(item)
                for item in data.get('services', ())
            },
            accounts=_decode_accounts(tenants or ()),
            has_accounts=bool(tenants),
            limits=model.Limits(
                **{
                    name: limits[name]
                    for name in limits
                    if name in model.Limits.__slots__
                }
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise ItemError(
            f'expected a valid configuration, decoding failed with {exc!r}'
        ) from exc


def decode_endpoint(key: str, value: bytes) -> model.EndpointEntry:
    """Decode the registration of an endpoint.

    :param key: key of the item, which contains the endpoint's id.
    :param value: the stored bytes.
    :raises ItemError: if the value is invalid.
    """
    data = fields_lib.parse(value)
    state = data.get('state')
    if state not in _STATES:
        raise ItemError(f'expected a known state, got {state!r}')
    # Entries of other writers lack fields or have them of another type.
    started = data.get('born')
    if started is not None:
        fields_lib.expect(data, 'born', int)
    return model.EndpointEntry(
        id=types.EndpointId(key.removeprefix(ENDPOINT_PREFIX)),
        started=types.Incarnation(str(started) if started else ''),
        service=types.ServiceId(fields_lib.expect(data, 'service', str)),
        address=_parse_address(fields_lib.expect(data, 'address', str)),
        domain=types.FailureDomainId(fields_lib.expect(data, 'zone', str)),
        slots=max(1, fields_lib.expect(data, 'slots', int)),
        is_draining=_STATES[state],
        # Relative to the time of writing, not of reading.
        warmup_left_ms=float(
            fields_lib.expect(data, 'warmup_left_ms', int | float)
        ),
        version=types.Version(fields_lib.expect(data, 'version', str)),
        sequence=fields_lib.expect(data, 'sequence', int),
    )


def _decode_router(value: bytes) -> model.RouterEntry:
    data = fields_lib.parse(value)
    return model.RouterEntry(
        _parse_address(fields_lib.expect(data, 'address', str)),
        float(data.get('share') or 1.0),
    )


def _parse_address(text: str) -> model.Address:
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit():
        raise ItemError(f'expected IP:PORT, got {text!r}')
    return host, int(port)


def _decode_route(item: _Fields) -> model.Route:
    split = item.get('traffic_split') or [
        {'service': item['service'], 'weight': 1}
    ]
    kind = model.RequestKind(item['kind'])
    timeout_ms = float(item['timeout_ms'])
    target_ms = float(item.get('target_latency_ms') or timeout_ms)
    # Target for the longest pause between two events.
    gap_ms = float(item.get('gap_target_ms') or 0)
    return model.Route(
        name=str(item['name']),
        host=str(item['host']).lower(),
        prefix=str(item['prefix']),
        targets=tuple(
            model.Target(types.ServiceId(part['service']), part['weight'])
            for part in split
            if part['weight'] > 0
        ),
        kind=kind,
        timeout_ms=timeout_ms,
        target_ms=target_ms,
        abandon_after_ms=_compute_abandon_after_ms(
            kind, timeout_ms, target_ms, gap_ms
        ),
        priority=int(item.get('priority') or 0),
        max_attempts=max(1, int(item.get('max_attempts') or 1)),
        is_anonymous=bool(item.get('anonymous')),
        is_resumable=bool(item.get('stream_resumption')),
    )


def _compute_abandon_after_ms(
    kind: model.RequestKind,
    timeout_ms: float,
    target_ms: float,
    gap_ms: float,
) -> float:
    """Return the time after which callers without a response disconnect."""
    if kind is not model.RequestKind.STREAMING:
        return timeout_ms
    return max(
        _MIN_ABANDON_MS, _ABANDON_TARGETS * target_ms, _ABANDON_GAPS * gap_ms
    )


def _decode_service(item: _Fields) -> model.Service:
    return model.Service(
        name=types.ServiceId(item['name']),
        max_connections=int(item.get('max_connections') or 0),
        # The field is in seconds, all internal durations in milliseconds.
        warmup_ms=float(item.get('warmup_s') or 0) * types.SECOND_MS,
        warmup_per_s=float(item.get('warmup_per_s') or 0),
        memory_tokens=_decode_capacity(item.get('engine')),
    )


def _decode_capacity(engine: typing.Any) -> int:
    """Return the memory of an engine in tokens, 0 if it is not stated."""
    if not isinstance(engine, dict):
        return 0
    return max(0, int(engine.get('kv_capacity') or 0))


def _decode_accounts(
    tenants: typing.Iterable[_Fields],
) -> dict[str, model.Account]:
    accounts = {}
    for item in tenants:
        priority = item.get('priority')
        account = model.Account(
            types.AccountId(item['name']),
            None if priority is None else int(priority),
        )
        accounts.update({key: account for key in item.get('api_keys', ())})
    return accounts


LAYOUT = store_layout.StoreLayout(
    decode_item,
    OPERATOR_PREFIX,
    ENDPOINT_PREFIX,
    ROUTER_PREFIX,
    rollout_items.RECORD_PREFIX,
    rollout_items.make_order_key,
    rollout_items.encode_record,
    departure_items.DEPARTURE_PREFIX,
    departure_items.encode_departure,
    stream_items.STREAM_PREFIX,
    stream_items.make_versions_key,
    stream_items.encode_versions,
    stream_items.encode_begun,
)
