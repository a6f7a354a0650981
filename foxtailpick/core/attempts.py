"""What became of each attempt that was sent to one sidecar.

An attempt is one sending of a request to one incarnation of a sidecar. The
table answers for it truthfully: "not run" is only said of an attempt that
is closed for good by saying so, and an attempt that may already have been
forgotten gets "may have run".

Two ages make forgetting safe. Both are measured without comparing clocks
of two machines:

- the link states a time, by the sidecar's own clock, before which none of
  its frames was sent (the sending of the newest ping that was answered);
- a query states how long ago the router sent the attempt.

A record outlives `retention_ms`. An attempt that may be older than that is
neither opened nor called "not run".
"""

import dataclasses
import enum

from foxtailpick.core import attempt_records
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import transition_table
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

AttemptLimits = attempt_records.AttemptLimits
AttemptState = attempt_records.AttemptState
Verdict = verdict_lib.Verdict


class Opening(enum.Enum):
    """What the arrival of an attempt's own frame means."""

    NEW = 'new'
    DOUBLE = 'double'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptReport:
    """What the sidecar says of an attempt.

    :param attempt: the attempt asked about.
    :param verdict: whether it may have run; `NOT_RUN` is for good.
    :param state: its state, `UNKNOWN` if nothing is known of it.
    :param answer: the stored answer, if it finished with a small one.
    """

    attempt: types.AttemptId
    verdict: Verdict
    state: AttemptState = AttemptState.UNKNOWN
    answer: bytes | None = None


class AttemptTable:
    """The attempts of one incarnation of one sidecar.

    :param incarnation: the incarnation that the table answers for.
    :param monitor: checks the promises that the table carries.
    :param limits: its bounds.
    """

    def __init__(
        self,
        incarnation: types.Incarnation,
        monitor: invariants.Monitor,
        limits: AttemptLimits | None = None,
    ) -> None:
        self.incarnation = incarnation
        self._limits = limits or AttemptLimits()
        self._monitor = monitor
        self._records = attempt_records.AttemptRecords(self._limits)
        self._moves = transition_table.load_transition_table(
            'attempt', AttemptState
        )

    def __len__(self) -> int:
        """Return the number of records held."""
        return len(self._records)

    def open(
        self,
        attempt: types.AttemptId,
        incarnation: types.Incarnation,
        sent_after_ms: float,
        now_ms: float,
    ) -> Opening:
        """Take in an attempt's own frame.

        :param attempt: its id; a router never uses one twice.
        :param incarnation: the incarnation that the frame was sent to.
        :param sent_after_ms: time, by this process's clock, before which
            the frame cannot have been sent.
        :param now_ms: current time in milliseconds.
        :returns: `NEW` if it may be started, `DOUBLE` if its frame arrived
            before: answer from `query` or the replay buffer.
        :raises errors.RefusedError: if it must not be run: code
            `WRONG_INCARNATION`, `ATTEMPT_CLOSED` or `OVERLOADED`.
        """
        self._records.drop_expired(now_ms)
        self._check_incarnation(attempt, incarnation)
        record = self._records.get(attempt)
        if record is not None:
            return self._reopen(record)
        if now_ms - sent_after_ms >= self._limits.retention_ms:
            raise self._make_late_error(attempt)
        if not self._records.has_room_for_opened():
            raise self._refuse_unopened(attempt, now_ms)
        record = attempt_records.AttemptRecord(attempt, was_opened=True)
        self._move(record, 'open')
        self._records.add(record)
        return Opening.NEW

    def start(self, attempt: types.AttemptId) -> None:
        """Record that the attempt is handed to the endpoint from now on.

        :raises errors.RefusedError: with code `ATTEMPT_CLOSED` if it may
            not be run any more.
        """
        record = self._require(attempt)
        self._move(record, 'start')
        record.starts += 1
        self._monitor.check(
            invariants.Invariant.AT_MOST_ONCE,
            record.starts == 1,
            lambda: f'attempt {attempt} started {record.starts} times',
        )
        self._monitor.check(
            invariants.Invariant.TRUE_REFUSAL,
            not record.was_said_not_run,
            lambda: f'attempt {attempt} started after "not run" was said',
        )

    def finish(
        self,
        attempt: types.AttemptId,
        verdict: Verdict,
        answer: bytes | None,
        now_ms: float,
    ) -> AttemptReport:
        """Record the end of an attempt.

        One that was not started may finish too, with the stored answer of
        an earlier call.

        :param attempt: the attempt.
        :param verdict: `RAN` with a whole answer, `MAY_HAVE_RUN` if the
            endpoint was lost midway, `NOT_RUN` only if no byte of the
            request left this process.
        :param answer: the whole answer, None if it is not to be stored.
        :param now_ms: current time in milliseconds.
        """
        record = self._require(attempt)
        is_refusal = verdict is Verdict.NOT_RUN
        if is_refusal and record.state is AttemptState.REFUSED:
            return self._report(record)
        self._move(record, 'refuse' if is_refusal else 'finish')
        record.verdict = verdict
        self._records.store_answer(record, answer)
        self._records.mark_ended(attempt, now_ms)
        return self._report(record)

    def refuse(self, attempt: types.AttemptId, now_ms: float) -> AttemptReport:
        """Refuse an attempt that was opened but not started, for good.

        :param attempt: the attempt.
        :param now_ms: current time in milliseconds.
        :raises errors.RefusedError: with code `ATTEMPT_CLOSED` if it was
            started.
        """
        record = self._require(attempt)
        if record.state is not AttemptState.OPEN:
            raise self._make_closed_error(record)
        self._move(record, 'refuse')
        record.verdict = Verdict.NOT_RUN
        self._records.mark_ended(attempt, now_ms)
        return self._report(record)

    def query(
        self,
        attempt: types.AttemptId,
        incarnation: types.Incarnation,
        age_ms: float,
        now_ms: float,
    ) -> AttemptReport:
        """Say what became of an attempt; an unknown one is closed.

        :param attempt: the attempt.
        :param incarnation: the incarnation that it was sent to.
        :param age_ms: longest time since its own frame was sent: as the
            router measured it, plus the longest time that the query itself
            may have been under way.
        :param now_ms: current time in milliseconds.
        """
        self._records.drop_expired(now_ms)
        if incarnation != self.incarnation:
            return AttemptReport(attempt, Verdict.MAY_HAVE_RUN)
        record = self._records.get(attempt)
        if record is None:
            record = self._close_unknown(attempt, age_ms, now_ms)
        if record is None:
            return AttemptReport(attempt, Verdict.MAY_HAVE_RUN)
        return self._report(record)

    def _reopen(self, record: attempt_records.AttemptRecord) -> Opening:
        if record.state in (AttemptState.REFUSED, AttemptState.CLOSED):
            raise self._make_closed_error(record)
        return Opening.DOUBLE

    def _close_unknown(
        self, attempt: types.AttemptId, age_ms: float, now_ms: float
    ) -> attempt_records.AttemptRecord | None:
        is_possibly_forgotten = age_ms >= self._limits.retention_ms
        if is_possibly_forgotten or not self._records.has_room_for_unopened():
            return None
        return self._add_unopened(attempt, 'close', now_ms)

    def _refuse_unopened(
        self, attempt: types.AttemptId, now_ms: float
    ) -> errors.RefusedError:
        # Only a refusal that is remembered may say "not run": the frame may
        # come again once there is room.
        verdict = Verdict.MAY_HAVE_RUN
        if self._records.has_room_for_unopened():
            record = self._add_unopened(attempt, 'refuse', now_ms)
            verdict = self._report(record).verdict
        return errors.RefusedError(
            errors.ErrorCode.OVERLOADED,
            f'expected fewer than {self._limits.max_attempts} attempts to '
            f'remember, refused {attempt}; try another endpoint',
            verdict,
        )

    def _add_unopened(
        self, attempt: types.AttemptId, event: str, now_ms: float
    ) -> attempt_records.AttemptRecord:
        record = attempt_records.AttemptRecord(attempt, was_opened=False)
        self._move(record, event)
        record.verdict = Verdict.NOT_RUN
        self._records.add(record)
        self._records.mark_ended(attempt, now_ms)
        return record

    def _move(self, record: attempt_records.AttemptRecord, event: str) -> None:
        target = self._moves.get((record.state, event))
        if target is None:
            raise self._make_closed_error(record)
        record.state = target

    def _require(
        self, attempt: types.AttemptId
    ) -> attempt_records.AttemptRecord:
        record = self._records.get(attempt)
        if record is None:
            raise ValueError(
                f'expected an opened attempt, got {attempt}; open it first'
            )
        return record

    def _report(self, record: attempt_records.AttemptRecord) -> AttemptReport:
        is_refusal = record.verdict is Verdict.NOT_RUN
        record.was_said_not_run = record.was_said_not_run or is_refusal
        self._monitor.check(
            invariants.Invariant.TRUE_REFUSAL,
            not is_refusal or self._is_closed_for_good(record),
            lambda: f'"not run" said of {record.state.value} {record.attempt}',
        )
        self._check_stored_answer(record)
        return AttemptReport(
            record.attempt, record.verdict, record.state, record.answer
        )

    def _is_closed_for_good(
        self, record: attempt_records.AttemptRecord
    ) -> bool:
        kept = self._records.get(record.attempt)
        is_final = record.state in (AttemptState.REFUSED, AttemptState.CLOSED)
        return kept is record and is_final

    def _check_stored_answer(
        self, record: attempt_records.AttemptRecord
    ) -> None:
        if record.answer is None:
            return
        self._monitor.check(
            invariants.Invariant.WHOLE_ANSWER,
            record.verdict is Verdict.RAN and record.is_answer_own,
            lambda: f'stored answer of {record.attempt} is not its own',
        )

    def _check_incarnation(
        self, attempt: types.AttemptId, incarnation: types.Incarnation
    ) -> None:
        if incarnation != self.incarnation:
            raise errors.RefusedError(
                errors.ErrorCode.WRONG_INCARNATION,
                f'expected an attempt sent to {self.incarnation}, got '
                f'{attempt} sent to {incarnation}; read the members again',
                # A double of its frame may have reached the other one.
                Verdict.MAY_HAVE_RUN,
            )

    def _make_closed_error(
        self, record: attempt_records.AttemptRecord
    ) -> errors.RefusedError:
        report = self._report(record)
        return errors.RefusedError(
            errors.ErrorCode.ATTEMPT_CLOSED,
            f'expected an attempt that may go on, {record.attempt} is '
            f'{record.state.value}; send a new attempt if the verdict '
            f'allows it',
            report.verdict,
        )

    def _make_late_error(
        self, attempt: types.AttemptId
    ) -> errors.RefusedError:
        return errors.RefusedError(
            errors.ErrorCode.ATTEMPT_CLOSED,
            f'expected a frame younger than {self._limits.retention_ms} ms, '
            f'{attempt} may be older; ask on a new connection',
            Verdict.MAY_HAVE_RUN,
        )
