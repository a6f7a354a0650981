"""Parsers for durations and sizes in settings files."""

import re

from foxtailpick.core import types

_DURATION_UNITS_MS = {
    'ms': 1.0,
    's': types.SECOND_MS,
    'min': types.MINUTE_MS,
    'h': 60 * types.MINUTE_MS,
}
_SIZE_UNITS_BYTES = {'B': 1, 'KB': 1_000, 'MB': 1_000_000}
_QUANTITY = re.compile(r'(\d+(?:\.\d+)?)\s*([A-Za-z]+)')


def parse_duration_ms(text: str) -> float:
    """Parse a duration such as `250 ms` or `3 s`.

    :param text: a number and a unit: ms, s, min or h.
    :returns: milliseconds.
    :raises ValueError: if the text is not a duration.
    """
    return _parse_quantity(text, _DURATION_UNITS_MS)


def parse_size_bytes(text: str) -> int:
    """Parse a size such as `64 KB`.

    :param text: a number and a decimal unit: B, KB or MB.
    :returns: bytes.
    :raises ValueError: if the text is not a size.
    """
    return int(_parse_quantity(text, _SIZE_UNITS_BYTES))


def _parse_quantity(text: str, units: dict[str, float]) -> float:
    match = _QUANTITY.fullmatch(text.strip())
    if match is None or match.group(2) not in units:
        raise ValueError(f'a number with one of the units {", ".join(units)}')
    return float(match.group(1)) * units[match.group(2)]
