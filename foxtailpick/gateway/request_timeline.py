"""Extracts the timeline of one request from the log of a gateway."""

import json
import typing

# State changes up to this long before the first decision are included, since
# they may explain it.
LOOK_BACK_MS = 10_000.0
# Events that concern all requests, independent of their endpoint.
_SHARED_EVENTS = frozenset(
    (
        'config-applied',
        'domains-out',
        'endpoints-read',
        'hub-changed',
        'log-lines-dropped',
        'overload-over',
        'overloaded',
        'registration-failed',
        'reloaded',
        'started',
        'stopping',
        'store-history-lost',
        'store-lost',
        'store-restored',
        'store-read',
        'store-regained',
    )
)

Line = dict[str, typing.Any]


def find_timeline(lines: typing.Iterable[str], request: str) -> list[Line]:
    """Return the log lines that explain the handling of a request.

    These are the decisions about it, and the state changes of its
    endpoints and of the whole fleet shortly before them.

    :param lines: lines of a log; those that are not JSON objects, such as
        those of other programs, are skipped.
    :param request: id of the client's attempt.
    """
    parsed = [line for line in map(_parse, lines) if line is not None]
    own = [line for line in parsed if line.get('request') == request]
    if not own:
        return []
    endpoints = {line['endpoint'] for line in own if line.get('endpoint')}
    first_ms = own[0]['ms'] - LOOK_BACK_MS
    last_ms = own[-1]['ms']
    return [
        line
        for line in parsed
        if first_ms <= line['ms'] <= last_ms
        and (
            line.get('request') == request
            or line['event'] in _SHARED_EVENTS
            or ('request' not in line and line.get('endpoint') in endpoints)
        )
    ]


def format_timeline(timeline: typing.Sequence[Line]) -> typing.Iterator[str]:
    """Yield a timeline as text, with times relative to its last line."""
    for line in timeline:
        age_ms = line['ms'] - timeline[-1]['ms']
        fields = ' '.join(
            f'{name}={value}'
            for name, value in line.items()
            if name not in ('ms', 'event') and value is not None
        )
        yield f'{age_ms:10.1f} ms  {line["event"]:18} {fields}'


def _parse(text: str) -> Line | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(line, dict) or 'event' not in line or 'ms' not in line:
        return None
    return line
