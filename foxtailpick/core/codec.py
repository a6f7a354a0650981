"""CBOR encoding of frames and validation of received frames.

A frame is the array `[tag, number, field, ...]`. Tags are part of the
protocol: the tag of a removed message is never reused.
"""

import dataclasses
import enum
import functools
import types as builtin_types
import typing

import cbor2

from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import types

_ENVELOPE_ITEMS = 2

_TAGS: dict[int, type] = {
    1: messages.Hello,
    2: messages.OpenChat,
    3: messages.OpenCall,
    4: messages.Cancel,
    5: messages.Acknowledge,
    6: messages.Resume,
    8: messages.Accepted,
    9: messages.Chunks,
    10: messages.Finished,
    11: messages.Answer,
    12: messages.Failed,
    14: messages.StateNotice,
    15: messages.ConfigWanted,
    16: messages.ConfigOffer,
    17: messages.Probe,
    18: messages.ProbeReply,
    19: messages.ChunkWanted,
    20: messages.ChunkOffer,
}
_TAG_BY_TYPE = {kind: tag for tag, kind in _TAGS.items()}


def encode_frame(frame: messages.Frame) -> bytes:
    """Encode a frame.

    :param frame: the frame.
    :returns: its CBOR bytes.
    :raises errors.LinkError: if it exceeds `messages.MAX_FRAME_BYTES`.
    """
    message = frame.message
    items = [_TAG_BY_TYPE[type(message)], frame.number]
    for name in _list_field_names(type(message)):
        items.append(_to_plain(getattr(message, name)))
    data = cbor2.dumps(items)
    if len(data) > messages.MAX_FRAME_BYTES:
        raise errors.LinkError(
            errors.ErrorCode.FRAME_TOO_LARGE,
            f'expected at most {messages.MAX_FRAME_BYTES} bytes, got '
            f'{len(data)} in {type(message).__name__}; shorten the request',
        )
    return data


def decode_frame(data: bytes) -> messages.Frame:
    """Decode and validate a frame.

    :param data: CBOR bytes as received.
    :returns: the frame.
    :raises errors.LinkError: with code `FRAME_TOO_LARGE`,
        `FRAME_TYPE_UNKNOWN` or `FRAME_MALFORMED`.
    """
    if len(data) > messages.MAX_FRAME_BYTES:
        raise errors.LinkError(
            errors.ErrorCode.FRAME_TOO_LARGE,
            f'expected at most {messages.MAX_FRAME_BYTES} bytes, '
            f'got {len(data)}; close the connection',
        )
    items = _load_items(data)
    kind = _find_message_type(items[0])
    number = _convert(int, items[1], 'number')
    converters = _list_converters(kind)
    values = items[_ENVELOPE_ITEMS:]
    if len(values) != len(converters):
        raise _make_malformed_error(
            f'{len(converters)} fields of {kind.__name__}', len(values)
        )
    fields = [
        _convert(expected, value, name)
        for (name, expected), value in zip(converters, values)
    ]
    return messages.Frame(types.ConfigNumber(number), kind(*fields))


def _load_items(data: bytes) -> list:
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as exc:
        raise _make_malformed_error('a CBOR item', exc) from exc
    if not isinstance(items, list) or len(items) < _ENVELOPE_ITEMS:
        raise _make_malformed_error('an array of tag, number, fields', items)
    return items


def _find_message_type(tag: object) -> type:
    if not isinstance(tag, int) or tag not in _TAGS:
        raise errors.LinkError(
            errors.ErrorCode.FRAME_TYPE_UNKNOWN,
            f'expected a tag from 1 to {max(_TAGS)}, got {tag!r:.40}; '
            f'use protocol version {messages.PROTOCOL_VERSION}',
        )
    return _TAGS[tag]


@functools.cache
def _list_field_names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(kind))


@functools.cache
def _list_converters(kind: type) -> tuple[tuple[str, typing.Any], ...]:
    hints = typing.get_type_hints(kind)
    return tuple(
        (name, _resolve_new_type(hints[name]))
        for name in _list_field_names(kind)
    )


def _resolve_new_type(hint: typing.Any) -> typing.Any:
    while hasattr(hint, '__supertype__'):
        hint = hint.__supertype__
    return hint


def _to_plain(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return list(value)
    return value


def _convert(expected: typing.Any, value: object, name: str) -> typing.Any:
    origin = typing.get_origin(expected)
    if origin is builtin_types.UnionType:
        if value is None:
            return None
        return _convert(typing.get_args(expected)[0], value, name)
    if origin is tuple:
        return _convert_items(expected, value, name)
    if issubclass(expected, enum.Enum):
        return _convert_enum(expected, value, name)
    if expected is float and type(value) is int:
        return float(value)
    # The exact type is compared because isinstance takes a bool for an int.
    if type(value) is not expected:
        raise _make_malformed_error(f'{expected.__name__} in {name}', value)
    return value


def _convert_items(
    expected: typing.Any, value: object, name: str
) -> tuple[typing.Any, ...]:
    if not isinstance(value, list):
        raise _make_malformed_error(f'an array in {name}', value)
    item_type = _resolve_new_type(typing.get_args(expected)[0])
    return tuple(_convert(item_type, item, name) for item in value)


def _convert_enum(
    expected: type[enum.Enum], value: object, name: str
) -> enum.Enum:
    try:
        return expected(value)
    except ValueError as exc:
        raise _make_malformed_error(
            f'a value of {expected.__name__} in {name}', value
        ) from exc


def _make_malformed_error(expected: str, received: object) -> errors.LinkError:
    return errors.LinkError(
        errors.ErrorCode.FRAME_MALFORMED,
        f'expected {expected}, got {received!r:.60}; close the connection',
    )
