"""Encodes the departures that endpoints announced, and decodes them."""

import json

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.platform import fields as fields_lib

DEPARTURE_PREFIX = 'foxtailpick/leaving/'


def decode_item(key: str, value: bytes | None) -> model.DepartureItem | None:
    """Decode a departure, None if the item was removed.

    :param key: key of the item.
    :param value: the stored bytes, None if the item was removed.
    :raises fields.ItemError: if the value is invalid.
    """
    if value is None:
        return None
    started = fields_lib.expect(fields_lib.parse(value), 'started', str)
    endpoint = types.EndpointId(key.removeprefix(DEPARTURE_PREFIX))
    return model.DepartureItem((endpoint, types.Incarnation(started)))


def encode_departure(
    endpoint: model.EndpointIncarnation, lease: types.LeaseId
) -> base.Put:
    """Return the write that keeps a departure.

    :param endpoint: the endpoint and its start.
    :param lease: lease that ends the item.
    """
    name, started = endpoint
    value = json.dumps({'started': started}).encode()
    return base.Put(DEPARTURE_PREFIX + name, value, lease)
