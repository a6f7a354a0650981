"""Decodes orders to roll out a version, and encodes what answers them.

An order whose service or version cannot be read ends the one before it, and
is not answered. One whose duration cannot be used is decoded with a duration
of 0, so that it is answered.
"""

import json
import typing

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.platform import fields as fields_lib

ORDER_PREFIX = 'op/rollout/'
STATUS_PREFIX = 'status/rollout/'
RECORD_PREFIX = 'foxtailpick/rollouts/'
MAX_DURATION_S = 86_400.0
# Longer keys are refused by the store.
MAX_NAME_CHARS = 120
# An id contains the name of a version.
MAX_ID_CHARS = 200
# A later time is no time of day.
MAX_UNIX_MS = 1e14
# Versions of unfinished orders that a record lists.
MAX_BARRED = 16


def decode_item(
    key: str, value: bytes | None, revision: types.Revision
) -> model.RolloutItem | model.RolloutRecordItem | None:
    """Decode an order or the record of a roll-out.

    :param key: key of the item.
    :param value: the stored bytes, None if the item was removed.
    :param revision: revision of its last change.
    :returns: None for any other item.
    :raises fields.ItemError: if a record is invalid.
    """
    if key.startswith(ORDER_PREFIX):
        service = types.ServiceId(key.removeprefix(ORDER_PREFIX))
        if value is None:
            return model.RolloutItem(service, None)
        try:
            order = _decode_order(key, value, revision)
        except fields_lib.ItemError as exc:
            return model.RolloutItem(service, None, str(exc))
        return model.RolloutItem(service, order)
    if key.startswith(RECORD_PREFIX):
        service = types.ServiceId(key.removeprefix(RECORD_PREFIX))
        record = None if value is None else _decode_record(value, revision)
        return model.RolloutRecordItem(service, record)
    return None


def make_order_key(service: types.ServiceId) -> str:
    """Return the key of the order to roll out a service."""
    return ORDER_PREFIX + service


def make_record_key(service: types.ServiceId) -> str:
    """Return the key of the record of a service's roll-out."""
    return RECORD_PREFIX + service


def encode_record(
    service: types.ServiceId, record: model.RolloutRecord
) -> list[base.Put]:
    """Return the writes that set a record and the operators' status.

    :param service: the service.
    :param record: the record.
    """
    fields = {
        'order': record.order,
        'version': record.version,
        'order_revision': record.order_revision,
        'state': record.state.value,
        'began_ms': round(record.began_unix_ms),
        'barred': list(record.barred[-MAX_BARRED:]),
    }
    status = {'state': record.state.value, 'to': record.version}
    return [
        base.Put(make_record_key(service), json.dumps(fields).encode()),
        base.Put(STATUS_PREFIX + service, json.dumps(status).encode()),
    ]


def _decode_order(
    key: str, value: bytes, revision: types.Revision
) -> model.RolloutOrder:
    data = fields_lib.parse(value)
    service = _expect_name(data, 'service')
    version = _expect_name(data, 'to')
    if ORDER_PREFIX + service != key:
        raise fields_lib.ItemError(
            f'expected the service of {key}, got {service!r:.80}'
        )
    duration_ms = _decode_duration_ms(data.get('duration_s'))
    return model.RolloutOrder(
        # A revision may be given out again after a restore, for an order
        # with other contents.
        types.RolloutId(f'{revision}:{version}:{duration_ms:.0f}'),
        types.ServiceId(service),
        types.Version(version),
        duration_ms,
        revision,
    )


def _decode_duration_ms(value: typing.Any) -> float:
    """Return a duration, 0 if it cannot be used."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return 0.0
    if not 0 < value <= MAX_DURATION_S:
        return 0.0
    return float(value) * types.SECOND_MS


def _decode_record(
    value: bytes, revision: types.Revision
) -> model.RolloutRecord:
    data = fields_lib.parse(value)
    try:
        state = model.RolloutState(data.get('state'))
    except ValueError as exc:
        raise fields_lib.ItemError(
            f'expected a known state, got {data.get("state")!r:.80}'
        ) from exc
    began_ms = fields_lib.expect(data, 'began_ms', int | float)
    if not 0 <= began_ms <= MAX_UNIX_MS:
        raise fields_lib.ItemError(f'expected a time, got {began_ms!r:.80}')
    barred = fields_lib.expect(data, 'barred', list)
    if not all(isinstance(item, str) for item in barred):
        raise fields_lib.ItemError(f'expected versions, got {barred!r:.80}')
    return model.RolloutRecord(
        order=types.RolloutId(_expect_name(data, 'order', MAX_ID_CHARS)),
        version=types.Version(_expect_name(data, 'version')),
        order_revision=types.Revision(
            fields_lib.expect(data, 'order_revision', int)
        ),
        state=state,
        began_unix_ms=float(began_ms),
        barred=tuple(types.Version(item) for item in barred[-MAX_BARRED:]),
        revision=revision,
    )


def _expect_name(
    data: fields_lib.Fields, name: str, most: int = MAX_NAME_CHARS
) -> str:
    value = fields_lib.expect(data, name, str)
    if not 0 < len(value) <= most or not value.isprintable():
        raise fields_lib.ItemError(
            f'expected a printable name in {name}, got {value!r:.80}'
        )
    return value
