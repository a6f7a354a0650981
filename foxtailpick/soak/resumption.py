"""Callers that take up broken streams, and the checks of what they get."""

import collections
import random
import typing

import trio

from foxtailpick.core import types
from foxtailpick.gateway import client as client_lib
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.soak import events
from foxtailpick.soak import record as record_lib

MAX_TAKE_UPS = 6
PAUSE_MS = (50.0, 900.0)
# Streams that were taken up from which on their share of success counts, and
# endpoints of their version that have to serve.
MIN_TAKEN_UP = 12
MIN_ENDPOINTS = 2
MIN_SHARE = 0.5

# Sends a call on a new connection, and reads the response.
Send = typing.Callable[
    [record_lib.Call, client_lib.ClientConnection], typing.Awaitable[None]
]


def is_broken(call: record_lib.Call) -> bool:
    """Tell whether a caller can take up the stream of a call."""
    return (
        call.is_resumable
        and call.status == 200
        and not call.is_complete
        and not call.has_disconnected
        and events.find_last_event(call.body) > 0
    )


async def take_up(
    call: record_lib.Call,
    gateways: typing.Mapping[str, tuple[str, int]],
    count_endpoints: typing.Callable[[str], int],
    record: record_lib.Record,
    send: Send,
    rng: random.Random,
) -> None:
    """Take up a broken stream at other gateways until it is whole.

    :param call: the call that brought the first events.
    :param gateways: addresses of the gateways by name.
    :param count_endpoints: returns how many endpoints of a version serve.
    :param record: receives the calls.
    :param send: sends a call.
    :param rng: source of the choice of gateways.
    """
    received = call.body
    versions = events.list_versions(received)
    for number in range(1, MAX_TAKE_UPS + 1):
        await trio.sleep(rng.uniform(*PAUSE_MS) / types.SECOND_MS)
        name = rng.choice(list(gateways))
        last = events.find_last_event(received)
        now_ms = trio.current_time() * types.SECOND_MS
        again = record_lib.Call(
            f'{call.id}-r{number}',
            name,
            call.kind,
            True,
            call.route,
            now_ms,
            key=call.key,
            resumes=call.id,
            last_event=last,
            versions=tuple(versions),
            version_endpoints=min(map(count_endpoints, versions)),
        )
        marker = endpoint_server.format_event(last + 1)
        start = call.expected.find(marker)
        again.expected = call.expected[start:] if start >= 0 else b''
        record.calls.append(again)
        conn: client_lib.ClientConnection | None = None
        try:
            with trio.fail_after(1.0):
                conn = await client_lib.ClientConnection.connect(
                    gateways[name]
                )
            await send(again, conn)
        except (OSError, trio.TooSlowError):
            # The record of the call shows what is missing.
            pass
        finally:
            again.ended_ms = trio.current_time() * types.SECOND_MS
            if conn is not None:
                conn.close()
        received += again.body
        if again.is_complete and again.status == 200:
            return


def check(record: record_lib.Record) -> list[record_lib.Breach]:
    """Return joined streams, and whether too few of them went on.

    :param record: the observations.
    """
    breaches = []
    for call in record.calls:
        versions = {*call.versions, *events.list_versions(call.body)}
        if len(versions) > 1:
            breaches.append(
                record_lib.Breach(
                    record_lib.Rule.ORDER,
                    f'{call.id} ({call.route}): joined of {sorted(versions)}'
                    f' after event {call.last_event} at {call.gateway}',
                )
            )
    streams = [
        call
        for call in record.calls
        if call.is_resumable and record.is_settled(call.gateway, call.ended_ms)
    ]
    taken_up = [
        call
        for call in streams
        if call.resumes and call.version_endpoints >= MIN_ENDPOINTS
    ]
    begun = [call for call in streams if not call.resumes]
    if len(taken_up) >= MIN_TAKEN_UP and begun:
        share = _compute_share(taken_up)
        if share < MIN_SHARE * _compute_share(begun):
            breaches.append(
                record_lib.Breach(
                    record_lib.Rule.LOST,
                    f'{share:.2f} of {len(taken_up)} streams go on where '
                    f'{_compute_share(begun):.2f} of the new ones begin',
                )
            )
    return breaches


def format_summary(record: record_lib.Record) -> str:
    """Return how many streams were taken up, and what came of it."""
    statuses = collections.Counter(
        call.status for call in record.calls if call.resumes
    )
    listed = ', '.join(
        f'{count} {status or "without an answer"}'
        for status, count in sorted(statuses.items())
    )
    return f'{statuses.total()} streams taken up: {listed}'


def _compute_share(calls: typing.Sequence[record_lib.Call]) -> float:
    return sum(call.status == 200 for call in calls) / len(calls)
