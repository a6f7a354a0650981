"""Decodes and checks messages of other routers.

A router of another version, or a foreign program, may send anything.
"""

import math
import typing

import cbor2

from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import unlisted_routers
from foxtailpick.core import types

# A larger number is no count of requests.
_MAX_COUNT = 1_000_000


def decode(data: bytes) -> typing.Any:
    """Decode a message.

    :raises ValueError: if it is malformed.
    """
    try:
        return cbor2.loads(data)
    except Exception as exc:
        # The decoder of a tagged value may raise errors of any type.
        raise ValueError(f'expected CBOR, got {data[:40]!r}') from exc


def check_head(message: typing.Any) -> list[typing.Any]:
    """Return a message whose first three items are of the right form.

    :param message: the message, decoded.
    :raises ValueError: if it is malformed.
    """
    _check(
        isinstance(message, list)
        and len(message) >= 3
        and isinstance(message[1], str)
        and len(message[1]) <= unlisted_routers.MAX_NAME_CHARS
        and _is_number(message[2], math.inf),
        'a kind, a router and a number',
        message,
    )
    return message


def get_only(contents: list[typing.Any], kind: type = object) -> typing.Any:
    """Return the only item that follows the head of a message.

    :param contents: what follows the head.
    :param kind: type that the item should have.
    :raises ValueError: if there are others, or it has another type.
    """
    _check(
        len(contents) == 1 and isinstance(contents[0], kind),
        f'one item of type {kind.__name__}',
        contents,
    )
    return contents[0]


def check_count(value: typing.Any) -> int:
    """Return a number that counts something.

    :param value: the number, decoded.
    :raises ValueError: if it is no whole number within bounds.
    """
    _check(_is_count(value), 'a count', value)
    return value


def check_sums(
    contents: typing.Any, numbers: int
) -> tuple[load_exchange.Counts, typing.Mapping[types.EndpointId, typing.Any]]:
    """Return counts and outcomes by endpoint.

    :param contents: both of them, decoded.
    :param numbers: how many numbers the outcomes of an endpoint have.
    :raises ValueError: if they are malformed.
    """
    _check(
        isinstance(contents, list)
        and len(contents) == 2
        and all(map(_is_mapping, contents))
        and all(_is_count(count) for count in contents[0].values())
        and all(
            isinstance(item, list | tuple)
            and len(item) == numbers
            and all(_is_number(number, _MAX_COUNT) for number in item)
            for item in contents[1].values()
        ),
        f'counts and outcomes of {numbers} numbers by endpoint',
        contents,
    )
    counts, outcomes = contents
    return counts, outcomes


def _is_mapping(value: typing.Any) -> bool:
    return isinstance(value, dict) and all(
        isinstance(key, str) for key in value
    )


def _is_count(value: typing.Any) -> bool:
    return isinstance(value, int) and 0 <= value <= _MAX_COUNT


def _is_number(value: typing.Any, most: float) -> bool:
    # nan is not within any bounds.
    return isinstance(value, int | float) and 0 <= value <= most


def _check(is_valid: bool, expected: str, got: typing.Any) -> None:
    if not is_valid:
        raise ValueError(f'expected {expected}, got {got!r:.80}')
