"""Reads the fields of items that other writers may have written."""

import json
import types as types_lib
import typing

Fields = typing.Mapping[str, typing.Any]


class ItemError(ValueError):
    """An item of the store whose value is invalid for its key."""


def parse(value: bytes) -> dict[str, typing.Any]:
    """Return the fields of an item.

    :param value: the stored bytes.
    :raises ItemError: if they are no JSON object.
    """
    try:
        data = json.loads(value)
    except (ValueError, RecursionError) as exc:
        raise ItemError(f'expected JSON, got {value[:40]!r}') from exc
    if not isinstance(data, dict):
        raise ItemError(f'expected an object, got {type(data).__name__}')
    return data


def expect(
    data: Fields, name: str, kind: type | types_lib.UnionType
) -> typing.Any:
    """Return a field of an item.

    :param data: its fields.
    :param name: name of the field.
    :param kind: type that it has to have.
    :raises ItemError: if it is missing or has another type.
    """
    value = data.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        expected = getattr(kind, '__name__', str(kind))
        raise ItemError(f'expected {expected} in {name}, got {value!r:.80}')
    return value
