"""Checks that no request waits for room longer than it is of use."""

import typing

from foxtailpick.soak import losses
from foxtailpick.soak import record as record_lib

# Time between two checks of what waits, and delays of a busy machine.
SLACK_MS = 300.0
_ENDS = frozenset(('overload-admitted', 'overload-refused'))


def check(
    record: record_lib.Record, lines: losses.Lines
) -> list[record_lib.Breach]:
    """Return a violation for each request that waited for too long.

    :param record: the observations of the run.
    :param lines: the logs of the gateways; lines may be missing.
    """
    breaches = []
    for request, events in lines.items():
        for began, ended in _list_waits(events):
            from_ms = began['ms'] - record.wall_offset_ms
            to_ms = ended['ms'] - record.wall_offset_ms
            allowed_ms = (
                began['left_ms']
                + SLACK_MS
                + record.compute_stalled_ms(from_ms, to_ms)
            )
            if to_ms - from_ms > allowed_ms:
                breaches.append(
                    record_lib.Breach(
                        record_lib.Rule.LOST,
                        f'{request} waited for {to_ms - from_ms:.0f} ms, '
                        f'of use for {began["left_ms"]:.0f} ms',
                    )
                )
    return breaches


def _list_waits(
    events: typing.Sequence[typing.Any],
) -> typing.Iterator[tuple[typing.Any, typing.Any]]:
    """Yield the first and the last line of each wait."""
    began = None
    for line in events:
        if line['event'] == 'overload-waits':
            began = line
        elif began is not None and line['event'] in _ENDS:
            yield began, line
            began = None
