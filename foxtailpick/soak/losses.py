"""Checks that each request that a gateway has read gets an answer.

For runs with planned work and silent endpoints only, in which no fault
excuses an answer that is cut off.
"""

import collections
import enum
import json
import pathlib
import typing

from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import request_timeline
from foxtailpick.soak import record as record_lib

# A request may cross the close of its connection by this much.
LOSS_SLACK_MS = 200.0
# A caller may see the end of a process that was held up this much later.
HOLD_SLACK_MS = 50.0
# Planned work lasts until this long after the grace period.
GRACE_MARGIN_MS = 1_000.0
# Rounding of deadlines between callers and gateways.
DEADLINE_MARGIN_MS = 20.0

# Events of a request that waits for a slot or for room.
_WAIT_EVENTS = frozenset(('held', 'overload-waits'))

# Log lines about requests, by request.
Lines = typing.Mapping[str, typing.Sequence[request_timeline.Line]]


class Fate(enum.Enum):
    """How a call ended, as seen by its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused or failed with a status'
    CUT_BEFORE_STATUS = 'cut off before a status'
    CUT_WITHIN_ANSWER = 'cut off within an answer'
    UNANSWERED = 'not answered at all'


class Excuse(enum.Enum):
    """Why a call without a complete answer is no loss."""

    CALLER_LEFT = 'its caller left'
    NOT_SENT = 'it was not sent whole'
    CROSSED = 'it crossed the close of its connection'
    UNREAD = 'its gateway did not run from its sending on'
    TIMED_OUT = 'its deadline or timeout was reached'
    GRACE_ENDED = 'the grace period ended'
    ENDPOINT_ENDED = 'its endpoint ended'
    BROKEN_OFF = 'its endpoint broke it off'
    PREDECESSOR = 'the answer before it was cut off with an excuse'


class State(enum.Enum):
    """How far a gateway is with a request."""

    UNREAD = 'not read'
    READ = 'read'
    QUEUED = 'queued'
    CONNECTING = 'connecting'
    SENT = 'sent, not begun'
    BEGUN = 'begun'
    BEGUN_RESUMABLE = 'begun, resumable'


def find_fate(call: record_lib.Call) -> Fate:
    """Return how a call ended."""
    if call.is_complete:
        return Fate.ANSWERED if call.status == 200 else Fate.REFUSED
    if call.has_given_up:
        return Fate.UNANSWERED
    if call.status:
        return Fate.CUT_WITHIN_ANSWER
    return Fate.CUT_BEFORE_STATUS


def find_excuse(
    record: record_lib.Record, call: record_lib.Call
) -> Excuse | None:
    """Return why a call without a complete answer is no loss, if it isn't.

    :param record: the observations of the run.
    :param call: the call, which has no complete answer.
    """
    if not call.written_ms:
        return Excuse.NOT_SENT
    if call.has_given_up:
        return None
    if call.has_disconnected:
        return Excuse.CALLER_LEFT
    if (
        not call.status
        and call.id not in record.passed_on
        and call.id not in record.logged
        and call.ended_ms
        - call.written_ms
        - record.compute_stalled_ms(call.written_ms, call.ended_ms)
        <= LOSS_SLACK_MS
    ):
        return Excuse.CROSSED
    if not call.status and _is_unread(record, call):
        return Excuse.UNREAD
    if _has_timed_out(record, call):
        return Excuse.TIMED_OUT
    runs = [run for run in record.runs if run.id == call.id]
    if any(
        run.at_ms <= crash_ms <= call.ended_ms
        for run in runs
        for crash_ms in record.crashes_ms[run.endpoint]
    ):
        return Excuse.ENDPOINT_ENDED
    if runs and runs[-1].is_broken:
        return Excuse.BROKEN_OFF
    if _has_grace_ended(record, call, runs):
        return Excuse.GRACE_ENDED
    if call.predecessor is not None and not call.predecessor.is_complete:
        # A stream that is cut off ends its connection.
        if find_excuse(record, call.predecessor) is not None:
            return Excuse.PREDECESSOR
    return None


def _is_unread(record: record_lib.Record, call: record_lib.Call) -> bool:
    """Tell whether a gateway was held up from a call's sending to its end."""
    return any(
        from_ms <= call.sent_ms <= to_ms
        and (
            call.ended_ms <= to_ms + HOLD_SLACK_MS
            # A process that was killed may take a while to end.
            or any(
                gateway == call.gateway and from_ms <= at_ms <= to_ms
                for gateway, at_ms in record.overruns
            )
        )
        for from_ms, to_ms in record.holds[call.gateway]
    )


def _has_timed_out(record: record_lib.Record, call: record_lib.Call) -> bool:
    limits_ms = [record.plan.deadline_ms]
    timeouts = record.timeouts_ms[call.route]
    for number, (from_ms, timeout_ms) in enumerate(timeouts):
        replaced_ms = float('inf')
        if number + 1 < len(timeouts):
            replaced_ms = timeouts[number + 1][0] + record_lib.CONFIG_MS
        if from_ms <= call.ended_ms and call.sent_ms <= replaced_ms:
            limits_ms.append(timeout_ms)
    took_ms = call.ended_ms - call.sent_ms
    return took_ms >= min(limits_ms) - DEADLINE_MARGIN_MS


def _has_grace_ended(
    record: record_lib.Record,
    call: record_lib.Call,
    runs: typing.Iterable[record_lib.Run],
) -> bool:
    """Tell whether a call was still at work at the end of its gateway."""
    grace_ms = record.grace_ms
    return any(
        # The run itself sends SIGKILL, and may be late with it.
        stop_ms
        <= call.ended_ms
        <= stop_ms
        + grace_ms
        + GRACE_MARGIN_MS
        + record.compute_stalled_ms(stop_ms, call.ended_ms)
        and call.sent_ms <= stop_ms + record_lib.EXCUSED_AFTER_STOP_MS
        and any(
            (run.ended_ms or float('inf'))
            >= stop_ms + grace_ms * record_lib.LAST_GRACE_SHARE
            for run in runs
        )
        for stop_ms in record.stops[call.gateway]
    )


def find_lost(record: record_lib.Record) -> list[record_lib.Call]:
    """Return the calls that a gateway has read and that got no answer."""
    return [
        call
        for call in record.calls
        if not call.is_complete and find_excuse(record, call) is None
    ]


def check(record: record_lib.Record) -> list[record_lib.Breach]:
    """Return a violation for each lost call."""
    return [
        record_lib.Breach(
            record_lib.Rule.LOST,
            f'{call.id} ({call.route}) at {call.gateway}: '
            f'{find_fate(call).value} after '
            f'{call.ended_ms - call.sent_ms:.0f} ms',
        )
        for call in find_lost(record)
    ]


def read_lines(paths: typing.Iterable[pathlib.Path]) -> Lines:
    """Return the lines about single requests in the logs of gateways.

    :param paths: the logs.
    """
    lines = collections.defaultdict(list)
    for path in paths:
        for text in path.read_text('utf-8', 'replace').splitlines():
            if '"request":' not in text:
                continue
            try:
                line = json.loads(text)
            except ValueError:
                # Output of the interpreter, or cut off.
                continue
            lines[line['request']].append(line)
    return lines


def find_state(
    record: record_lib.Record, lines: Lines, call: record_lib.Call
) -> State:
    """Return how far the gateway was with a call when it ended.

    :param record: the observations of the run.
    :param lines: the logs of the gateways.
    :param call: the call.
    """
    if call.status == 200:
        return _get_begun_state(call)
    if call.id in record.passed_on:
        return State.SENT
    events = {line['event'] for line in lines.get(call.id, ())}
    if 'placed' in events:
        return State.CONNECTING
    if not events.isdisjoint(_WAIT_EVENTS):
        return State.QUEUED
    # Some refusals are logged without the id.
    return State.READ if events or call.status else State.UNREAD


def _get_begun_state(call: record_lib.Call) -> State:
    return State.BEGUN_RESUMABLE if call.is_resumable else State.BEGUN


def count_states(
    record: record_lib.Record, lines: Lines
) -> collections.Counter[State]:
    """Count the states in which silences met requests.

    :param record: the observations of the run.
    :param lines: the logs of the gateways.
    """
    counts: collections.Counter[State] = collections.Counter()
    for call in record.calls:
        met = set()
        for silence in record.silences:
            if call.sent_ms < silence.to_ms and call.ended_ms > (
                silence.from_ms
            ):
                met |= _find_states_met(record, lines, call, silence)
        counts.update(met)
    return counts


def _find_states_met(
    record: record_lib.Record,
    lines: Lines,
    call: record_lib.Call,
    silence: record_lib.Silence,
) -> set[State]:
    events = [
        (line['ms'] - record.wall_offset_ms, line)
        for line in lines.get(call.id, ())
    ]
    placed = [
        (at_ms, line['endpoint'])
        for at_ms, line in events
        if line['event'] == 'placed'
    ]
    arrived = {
        endpoint
        for endpoint, at_ms in record.passed_on.get(call.id, ())
        if at_ms <= silence.to_ms
    }
    met = set()
    if silence.endpoint in arrived:
        if call.status != 200 or call.begun_ms > silence.from_ms:
            met.add(State.SENT)
        else:
            met.add(_get_begun_state(call))
    elif any(
        endpoint == silence.endpoint
        and silence.from_ms <= at_ms <= silence.to_ms
        for at_ms, endpoint in placed
    ):
        met.add(State.CONNECTING)
    first_placed_ms = placed[0][0] if placed else call.ended_ms
    is_queued = any(
        line['event'] in _WAIT_EVENTS and at_ms <= silence.to_ms
        for at_ms, line in events
    )
    if first_placed_ms > silence.from_ms:
        if is_queued:
            met.add(State.QUEUED)
        elif call.predecessor is not None and call.sent_ms < silence.from_ms:
            met.add(State.READ)
    return met


def format_summary(record: record_lib.Record, lines: Lines) -> str:
    """Return the numbers of calls by fate, and the states that were met.

    :param record: the observations of the run.
    :param lines: the logs of the gateways.
    """
    fates: collections.Counter[str] = collections.Counter()
    for call in record.calls:
        text = find_fate(call).value
        if not call.is_complete:
            excuse = find_excuse(record, call)
            text += f' ({excuse.value})' if excuse else ' (LOST)'
        fates[text] += 1
    met = count_states(record, lines)
    return '; '.join(
        (
            f'{len(record.silences)} silences',
            f'{len(record.stalls)} stalls of the run itself',
            f'{len(record.overruns)} gateways killed after the grace period',
            ', '.join(f'{fates[text]} {text}' for text in sorted(fates)),
            'met: '
            + ', '.join(f'{met[state]} {state.value}' for state in State),
        )
    )


def write_cases(
    record: record_lib.Record, lines: Lines, path: pathlib.Path
) -> None:
    """Write one JSON object for each call that was not answered with 200.

    Times are in milliseconds since the epoch, as in the logs of gateways.

    :param record: the observations of the run.
    :param lines: the logs of the gateways.
    :param path: the file to write to.
    """
    with path.open('w', encoding='utf-8') as file:
        for call in record.calls:
            if call.is_complete and call.status == 200:
                continue
            case = _describe(record, lines, call)
            file.write(json.dumps(case) + '\n')


def _describe(
    record: record_lib.Record, lines: Lines, call: record_lib.Call
) -> dict[str, typing.Any]:
    def to_wall(at_ms: float | None) -> float | None:
        return round(at_ms + record.wall_offset_ms, 1) if at_ms else None

    excuse = None
    if not call.is_complete:
        excuse = find_excuse(record, call)
    is_lost = not call.is_complete and excuse is None
    return {
        'request': call.id,
        'gateway': call.gateway,
        'route': call.route,
        'kind': call.kind.value,
        'is_stream': call.kind is model.RequestKind.STREAMING,
        'fate': find_fate(call).value,
        'is_lost': is_lost,
        'excuse': excuse.value if excuse else None,
        'status': call.status,
        'state': find_state(record, lines, call).value,
        'predecessor': _describe_predecessor(call),
        'sent': to_wall(call.sent_ms),
        'written': to_wall(call.written_ms),
        'begun': to_wall(call.begun_ms),
        'ended': to_wall(call.ended_ms),
        'body_end': call.body[-40:].decode('latin-1'),
        'passed_on': [
            (endpoint, to_wall(at_ms))
            for endpoint, at_ms in record.passed_on.get(call.id, ())
        ],
        'runs': [
            (run.endpoint, to_wall(run.at_ms), to_wall(run.ended_ms))
            for run in record.runs
            if run.id == call.id
        ],
        'stops': [
            to_wall(at_ms)
            for at_ms in record.stops[call.gateway]
            if at_ms <= call.ended_ms
        ],
        'holds': [
            (to_wall(from_ms), to_wall(to_ms))
            for from_ms, to_ms in record.holds[call.gateway]
            if from_ms <= call.ended_ms
        ],
        'silences': [
            (
                item.endpoint,
                item.accepts,
                to_wall(item.from_ms),
                to_wall(item.to_ms),
            )
            for item in record.silences
            if item.from_ms <= call.ended_ms and call.sent_ms <= item.to_ms
        ],
        'log': list(lines.get(call.id, ())) if is_lost else [],
    }


def _describe_predecessor(call: record_lib.Call) -> str | None:
    before = call.predecessor
    if before is None:
        return None
    return f'{before.id}: {find_fate(before).value}, status {before.status}'


def compute_wall_offset_ms(wall_s: float, trio_s: float) -> float:
    """Return the difference of the clocks of gateway logs and of the run.

    :param wall_s: time of the system clock.
    :param trio_s: time of the trio clock at the same moment.
    """
    return (wall_s - trio_s) * types.SECOND_MS
