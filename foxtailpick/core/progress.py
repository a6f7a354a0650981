"""Detection of connections that went silent without closing.

A sidecar reports a position at least every `report_ms` while a request
waits, and tokens or a report while it runs. Silence is judged by this
progress of the application, never by the state of the connection.
"""

import dataclasses
import enum

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressOptions:
    """Settings of the detection.

    :param report_ms: longest time between two reports of a live sidecar.
    :param silent_reports: missed reports after which a probe is sent.
    :param silent_tokens: token intervals without a token after which a
        stream counts as silent, if that is longer.
    :param probe_timeout_ms: how long a probe may take to be answered.
    :param max_probes: probes on new connections before giving up.
    """

    report_ms: float = 1.0 * types.SECOND_MS
    silent_reports: float = 2.5
    silent_tokens: float = 20.0
    probe_timeout_ms: float = 1.0 * types.SECOND_MS
    max_probes: int = 3

    def __post_init__(self) -> None:
        """Check the ranges."""
        if min(self.report_ms, self.probe_timeout_ms) <= 0:
            raise ValueError(
                f'expected times above zero, got {self}; correct the '
                f'settings of the detection of silent connections'
            )


class ProbeResult(enum.Enum):
    """What the sidecar says of an attempt on a new connection.

    Only the incarnation that the attempt was sent to may say `NEVER_SEEN`;
    a replacement knows nothing of the attempt and says `OUTCOME_LOST`.
    """

    UNANSWERED = 'unanswered'
    WAITING = 'waiting'
    RUNNING = 'running'
    FINISHED = 'finished'
    NEVER_SEEN = 'never seen, now closed'
    OUTCOME_LOST = 'outcome lost'


class Action(enum.Enum):
    """What to do about an attempt."""

    WAIT = 'wait'
    PROBE = 'probe on a new connection'
    RESUME = 'resume on the new connection'
    TAKE_RESULT = 'take the stored result'
    REFUSE_NOT_RUN = 'refuse, not run'
    REFUSE_MAY_HAVE_RUN = 'refuse, may have run'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do, and until when it holds.

    :param action: what to do.
    :param reason: why, for the log.
    :param check_ms: when to decide again, if nothing arrives before.
    """

    action: Action
    reason: str
    check_ms: float = float('inf')


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """The progress of one attempt, as its caller sees it.

    :param sent_ms: when the attempt was sent.
    :param token_ms: expected time between tokens, zero if it gives none.
    :param deadline_ms: when the answer must be complete.
    :param is_sent: whether anything of it can have reached the sidecar.
    :param is_streaming: whether tokens have come.
    :param probes: probes sent since the last sign of progress.
    """

    sent_ms: float
    token_ms: float = 0.0
    deadline_ms: float = float('inf')
    is_sent: bool = True
    is_streaming: bool = False
    probes: int = 0
    _seen_ms: float | None = None

    def on_report(self, now_ms: float) -> None:
        """Record a report of a queue position or of running work."""
        self._seen_ms = now_ms
        self.probes = 0

    def on_token(self, now_ms: float) -> None:
        """Record a token."""
        self.is_streaming = True
        self.on_report(now_ms)

    @property
    def seen_ms(self) -> float:
        """Return when there was progress last."""
        return self.sent_ms if self._seen_ms is None else self._seen_ms


def decide_on_silence(
    progress: AttemptProgress, options: ProgressOptions, now_ms: float
) -> Decision:
    """Decide what to do about an attempt from which nothing arrives.

    :param progress: what has arrived so far.
    :param options: the settings.
    :param now_ms: the current time.
    """
    if now_ms >= progress.deadline_ms:
        return _refuse(progress, 'deadline passed')
    silent_ms = options.report_ms * options.silent_reports
    if progress.is_streaming:
        token_ms = progress.token_ms * options.silent_tokens
        silent_ms = max(silent_ms, token_ms)
    silent_ms += progress.probes * options.probe_timeout_ms
    due_ms = min(progress.seen_ms + silent_ms, progress.deadline_ms)
    if now_ms < due_ms:
        return Decision(Action.WAIT, 'progress is recent', due_ms)
    if progress.probes >= options.max_probes:
        return _refuse(progress, 'probes unanswered')
    check_ms = min(now_ms + options.probe_timeout_ms, progress.deadline_ms)
    return Decision(Action.PROBE, 'no progress', check_ms)


def decide_on_probe(
    progress: AttemptProgress,
    result: ProbeResult,
    options: ProgressOptions,
    now_ms: float,
) -> Decision:
    """Decide what to do once a probe was answered, or was not.

    A sidecar that never saw the attempt closes it when it says so, and
    never runs it, even if it arrives later on the silent connection.

    :param progress: what has arrived so far; its probes are counted here.
    :param result: what the sidecar said.
    :param options: the settings.
    :param now_ms: the current time.
    """
    if result is ProbeResult.UNANSWERED:
        progress.probes += 1
        return decide_on_silence(progress, options, now_ms)
    progress.on_report(now_ms)
    action = _ACTIONS[result]
    return Decision(action, result.value)


def _refuse(progress: AttemptProgress, reason: str) -> Decision:
    if progress.is_sent:
        return Decision(Action.REFUSE_MAY_HAVE_RUN, reason)
    return Decision(Action.REFUSE_NOT_RUN, reason)


_ACTIONS = {
    ProbeResult.WAITING: Action.RESUME,
    ProbeResult.RUNNING: Action.RESUME,
    ProbeResult.FINISHED: Action.TAKE_RESULT,
    ProbeResult.NEVER_SEEN: Action.REFUSE_NOT_RUN,
    ProbeResult.OUTCOME_LOST: Action.REFUSE_MAY_HAVE_RUN,
}
