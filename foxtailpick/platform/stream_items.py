"""Encodes what routers write of streams, and decodes it."""

import json

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.platform import fields as fields_lib

STREAM_PREFIX = 'foxtailpick/streams/'
VERSIONS_PREFIX = STREAM_PREFIX + 'versions/'
BEGUN_PREFIX = STREAM_PREFIX + 'begun/'


def decode_item(
    key: str, value: bytes | None
) -> model.StreamVersionsItem | model.BegunStreamsItem | None:
    """Decode the versions of a service, or streams that have begun.

    :param key: key of the item.
    :param value: the stored bytes, None if the item was removed.
    :returns: None for any other item.
    :raises fields.ItemError: if the value is invalid.
    """
    if key.startswith(VERSIONS_PREFIX):
        service = types.ServiceId(key.removeprefix(VERSIONS_PREFIX))
        if value is None:
            return model.StreamVersionsItem(service, None)
        return _decode_versions(service, value)
    if key.startswith(BEGUN_PREFIX):
        return model.BegunStreamsItem(
            {} if value is None else _decode_begun(value)
        )
    return None


def make_versions_key(service: types.ServiceId) -> str:
    """Return the key of the versions of a service."""
    return VERSIONS_PREFIX + service


def encode_versions(
    service: types.ServiceId,
    versions: frozenset[types.Version],
    era: types.Era | None,
) -> base.Put:
    """Return the write that sets the versions of a service.

    :param service: the service.
    :param versions: its versions at which streams may have begun.
    :param era: era of the store for which they are complete, if any.
    """
    fields = {'versions': sorted(versions), 'era': era}
    return base.Put(make_versions_key(service), json.dumps(fields).encode())


def encode_begun(
    router: types.RouterId,
    part: str,
    begun: model.Begun,
    lease: types.LeaseId,
) -> base.Put:
    """Return the write that sets a part of a router's streams.

    :param router: the router.
    :param part: identifies the part, unique also across its restarts.
    :param begun: the streams of the part.
    :param lease: lease that ends when they can't be taken up any more.
    """
    key = f'{BEGUN_PREFIX}{router}/{part}'
    return base.Put(key, json.dumps({'streams': begun}).encode(), lease)


def _decode_versions(
    service: types.ServiceId, value: bytes
) -> model.StreamVersionsItem:
    data = fields_lib.parse(value)
    versions = fields_lib.expect(data, 'versions', list)
    if not all(isinstance(item, str) for item in versions):
        raise fields_lib.ItemError(f'expected versions, got {versions!r:.80}')
    era = data.get('era')
    if era is not None:
        era = types.Era(fields_lib.expect(data, 'era', int))
    return model.StreamVersionsItem(
        service, frozenset(types.Version(item) for item in versions), era
    )


def _decode_begun(value: bytes) -> model.Begun:
    data = fields_lib.parse(value)
    begun: model.Begun = {}
    streams = fields_lib.expect(data, 'streams', dict)
    for service, versions in streams.items():
        if not isinstance(versions, dict):
            raise fields_lib.ItemError(
                f'expected versions of {service:.80}, got {versions!r:.80}'
            )
        for version, requests in versions.items():
            if not isinstance(requests, list) or not all(
                isinstance(item, str) for item in requests
            ):
                raise fields_lib.ItemError(
                    f'expected attempts of {version:.80}, got {requests!r:.80}'
                )
            known = begun.setdefault(types.ServiceId(service), {})
            known[types.Version(version)] = [
                types.RequestId(item) for item in requests
            ]
    return begun
