"""Checks messages of other routers before anything of them is kept.

Messages are datagrams, which anyone may send, and routers of different
versions exchange them. A value of the wrong type or range would raise an
error far from its message.
"""

import math
import typing

import cbor2

from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import prompt_reports
from foxtailpick.core import types

# Numbers above these are no counts of requests, durations or levels.
_MAX_COUNT = 1_000_000
_MAX_AGE_MS = 1e12
_MAX_LEVEL = 100


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
    """Return a message that names its kind, its router and its number.

    :param message: the decoded message.
    :raises ValueError: if it is malformed.
    """
    _check(
        isinstance(message, list)
        and len(message) >= 3
        and isinstance(message[1], str)
        and _is_number(message[2], math.inf),
        'a kind, a router and a number',
        message,
    )
    return message


def check_single(contents: list[typing.Any], kind: type) -> typing.Any:
    """Return the only item of a message.

    :param contents: what follows the head of the message.
    :param kind: the type of the item.
    :raises ValueError: if it is missing or of another type.
    """
    _check(
        bool(contents) and isinstance(contents[0], kind),
        f'one item of type {kind.__name__}',
        contents,
    )
    return contents[0]


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


def check_prompt_report(contents: list[typing.Any]) -> typing.Any:
    """Return a report about prompt parts, None for one without news.

    :param contents: what follows the head of the message.
    :raises ValueError: if it is malformed.
    """
    _check(bool(contents), 'one report', contents)
    report = contents[0]
    prompt_reports.check_report(report)
    if report is not None:
        ends, sound, quarantines = report
        _check(
            all(map(_is_mapping, report))
            and all(
                isinstance(name, str) and _is_number(age_ms, _MAX_AGE_MS)
                for found in ends.values()
                for name, age_ms in found
            )
            and all(_is_number(age, _MAX_AGE_MS) for age in sound.values())
            and all(map(_is_quarantine, quarantines.values())),
            'names of endpoints, ages and levels',
            report,
        )
    return report


def check_prompt_totals(contents: list[typing.Any]) -> typing.Any:
    """Return the totals of prompt parts.

    :param contents: what follows the head of the message.
    :raises ValueError: if they are malformed.
    """
    _check(bool(contents), 'one set of totals', contents)
    totals = contents[0]
    prompt_reports.check_totals(totals)
    _check(
        _is_mapping(totals)
        and all(
            _is_count(ends)
            and (age_ms is None or _is_number(age_ms, _MAX_AGE_MS))
            and (quarantined is None or _is_quarantine(quarantined))
            for ends, age_ms, quarantined in totals.values()
        ),
        'ends, an age and a quarantine by prompt part',
        totals,
    )
    return totals


def _is_mapping(value: typing.Any) -> bool:
    return isinstance(value, dict) and all(
        isinstance(key, str) for key in value
    )


def _is_count(value: typing.Any) -> bool:
    return isinstance(value, int) and 0 <= value <= _MAX_COUNT


def _is_number(value: typing.Any, most: float) -> bool:
    # nan is not within any bounds.
    return isinstance(value, int | float) and 0 <= value <= most


def _is_quarantine(value: typing.Any) -> bool:
    if not isinstance(value, list) or len(value) != 3:
        return False
    age_ms, level, test_age_ms = value
    return (
        _is_number(age_ms, _MAX_AGE_MS)
        and _is_number(level, _MAX_LEVEL)
        and (test_age_ms is None or _is_number(test_age_ms, _MAX_AGE_MS))
    )


def _check(is_valid: bool, expected: str, got: typing.Any) -> None:
    if not is_valid:
        raise ValueError(f'expected {expected}, got {got!r:.80}')
