"""Detection of connections that stall without being closed.

A sidecar reports the queue position of a waiting request at least every
`report_ms`, and sends tokens or reports while it runs. A stall is detected
from this application-level progress, never from the connection state.
"""

import dataclasses
import enum

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressOptions:
    """Settings of stall detection.

    :param report_ms: longest interval between reports of a live sidecar.
    :param missed_reports: missed reports after which a probe is sent.
    :param missed_tokens: token intervals without a token after which a
        probe is sent for a stream, if that is longer.
    :param probe_timeout_ms: time allowed for the answer to a probe.
    :param max_probes: unanswered probes on new connections after which the
        attempt is given up.
    :param max_lateness_ms: how late a check may come. A later one shows that
        this process was stalled.
    :param max_late_checks: late checks in a row that are passed over.
    """

    report_ms: float = 1.0 * types.SECOND_MS
    missed_reports: float = 2.5
    missed_tokens: float = 20.0
    probe_timeout_ms: float = 1.0 * types.SECOND_MS
    max_probes: int = 3
    max_lateness_ms: float = 100.0
    max_late_checks: int = 3

    def __post_init__(self) -> None:
        """Check the ranges."""
        if min(self.report_ms, self.probe_timeout_ms) <= 0:
            raise ValueError(
                f'expected times above zero, got {self}; correct the '
                f'settings of stall detection'
            )


class ProbeResult(enum.Enum):
    """The sidecar's answer to a probe of an attempt on a new connection.

    Only the incarnation that the attempt was sent to may answer
    `NEVER_SEEN`; a replacement has no record of the attempt and answers
    `OUTCOME_LOST`.
    """

    UNANSWERED = 'unanswered'
    WAITING = 'waiting'
    RUNNING = 'running'
    FINISHED = 'finished'
    NEVER_SEEN = 'never seen, now closed'
    OUTCOME_LOST = 'outcome lost'


class Action(enum.Enum):
    """Next action for an attempt."""

    WAIT = 'wait'
    PROBE = 'probe on a new connection'
    RESUME = 'resume on the new connection'
    TAKE_RESULT = 'take the stored result'
    REFUSE_NOT_RUN = 'refuse, not run'
    REFUSE_MAY_HAVE_RUN = 'refuse, may have run'


@dataclasses.dataclass(frozen=True, slots=True)
class StallDecision:
    """The next action for an attempt.

    :param action: the action.
    :param reason: the reason, for the log.
    :param next_check_ms: when to decide again if nothing arrives earlier.
    """

    action: Action
    reason: str
    next_check_ms: float = float('inf')


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """The progress of one attempt as observed by its sender.

    :param sent_ms: when the attempt was sent.
    :param token_ms: expected token interval, zero if it sends no tokens.
    :param deadline_ms: time by which the answer must be complete.
    :param is_sent: whether any of its bytes may have reached the sidecar.
    :param is_streaming: whether tokens have arrived.
    :param probes: unanswered probes since the last progress.
    :param late_checks: late checks passed over since the last progress.
    """

    sent_ms: float
    token_ms: float = 0.0
    deadline_ms: float = float('inf')
    is_sent: bool = True
    is_streaming: bool = False
    probes: int = 0
    late_checks: int = 0
    _last_progress_ms: float | None = None

    def on_report(self, now_ms: float) -> None:
        """Record a report of a queue position or of a running request."""
        self._last_progress_ms = now_ms
        self.probes = 0
        self.late_checks = 0

    def on_token(self, now_ms: float) -> None:
        """Record a token."""
        self.is_streaming = True
        self.on_report(now_ms)

    @property
    def last_progress_ms(self) -> float:
        """Return the time of the last progress."""
        return (
            self.sent_ms
            if self._last_progress_ms is None
            else self._last_progress_ms
        )


def decide_on_stall(
    progress: AttemptProgress, options: ProgressOptions, now_ms: float
) -> StallDecision:
    """Choose the next action for an attempt without recent progress.

    :param progress: progress of the attempt.
    :param options: the settings.
    :param now_ms: the current time.
    """
    if now_ms >= progress.deadline_ms:
        return _refuse(progress, 'deadline passed')
    stall_ms = options.report_ms * options.missed_reports
    if progress.is_streaming:
        token_ms = progress.token_ms * options.missed_tokens
        stall_ms = max(stall_ms, token_ms)
    stall_ms += progress.probes * options.probe_timeout_ms
    due_ms = min(progress.last_progress_ms + stall_ms, progress.deadline_ms)
    if now_ms < due_ms:
        return StallDecision(Action.WAIT, 'progress is recent', due_ms)
    if progress.probes >= options.max_probes:
        return _refuse(progress, 'probes unanswered')
    next_check_ms = min(
        now_ms + options.probe_timeout_ms, progress.deadline_ms
    )
    return StallDecision(Action.PROBE, 'no progress', next_check_ms)


def decide_on_late_check(
    progress: AttemptProgress,
    options: ProgressOptions,
    due_ms: float,
    now_ms: float,
) -> StallDecision:
    """Choose the next action at a check that was due earlier.

    While this process was stalled it read nothing, so that a silence in that
    time shows nothing about the sidecar. What arrived meanwhile, or is
    reported next, decides.

    :param progress: progress of the attempt; the late checks are counted
        there.
    :param options: the settings.
    :param due_ms: when the check was due.
    :param now_ms: the current time.
    """
    decision = decide_on_stall(progress, options, now_ms)
    is_late = now_ms - due_ms > options.max_lateness_ms
    if decision.action is not Action.PROBE or not is_late:
        return decision
    if progress.late_checks >= options.max_late_checks:
        return decision
    progress.late_checks += 1
    next_check_ms = min(now_ms + options.report_ms, progress.deadline_ms)
    return StallDecision(Action.WAIT, 'this process stalled', next_check_ms)


def decide_on_probe(
    progress: AttemptProgress,
    result: ProbeResult,
    options: ProgressOptions,
    now_ms: float,
) -> StallDecision:
    """Choose the next action after a probe was answered or timed out.

    A sidecar that answers `NEVER_SEEN` also closes the attempt and never
    runs it, even if it arrives later on the stalled connection.

    :param progress: progress of the attempt; the unanswered probes are
        counted there.
    :param result: the sidecar's answer.
    :param options: the settings.
    :param now_ms: the current time.
    """
    if result is ProbeResult.UNANSWERED:
        progress.probes += 1
        return decide_on_stall(progress, options, now_ms)
    progress.on_report(now_ms)
    action = _ACTIONS[result]
    return StallDecision(action, result.value)


def _refuse(progress: AttemptProgress, reason: str) -> StallDecision:
    if progress.is_sent:
        return StallDecision(Action.REFUSE_MAY_HAVE_RUN, reason)
    return StallDecision(Action.REFUSE_NOT_RUN, reason)


_ACTIONS = {
    ProbeResult.WAITING: Action.RESUME,
    ProbeResult.RUNNING: Action.RESUME,
    ProbeResult.FINISHED: Action.TAKE_RESULT,
    ProbeResult.NEVER_SEEN: Action.REFUSE_NOT_RUN,
    ProbeResult.OUTCOME_LOST: Action.REFUSE_MAY_HAVE_RUN,
}
