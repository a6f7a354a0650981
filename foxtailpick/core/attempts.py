"""Table of the attempts that were sent to one sidecar.

An attempt is one transmission of a request to one incarnation of a sidecar.
The verdicts of the table are reliable: "not run" is reported only for an
attempt that the report closes permanently, and an attempt whose record may
already have been evicted is reported as "may have run".

Two ages make eviction safe. Both are measured without comparing the clocks
of two hosts:

- the link provides a time on the sidecar's own clock before which none of
  its frames was sent (the send time of the newest ping that was answered);
- a query states how long ago the router sent the attempt.

A record is kept for at least `retention_ms`. An attempt that may be older
than that is neither opened nor reported as "not run".
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


class OpenResult(enum.Enum):
    """Result of opening an attempt when its frame arrives."""

    NEW = 'new'
    DUPLICATE = 'double'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptReport:
    """The sidecar's report on an attempt.

    :param attempt: the attempt.
    :param verdict: whether it may have run; `NOT_RUN` is final.
    :param state: its state, `UNKNOWN` if there is no record of it.
    :param answer: the stored answer, if it finished with a small one.
    """

    attempt: types.AttemptId
    verdict: Verdict
    state: AttemptState = AttemptState.UNKNOWN
    answer: bytes | None = None


class AttemptTable:
    """The attempts of one incarnation of one sidecar.

    :param incarnation: the incarnation that the table belongs to.
    :param monitor: checks the invariants that the table upholds.
    :param limits: limits of the table.
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
        self._transitions = transition_table.load_transition_table(
            'attempt', AttemptState
        )

    def __len__(self) -> int:
        """Return the number of records in the table."""
        return len(self._records)

    def open(
        self,
        attempt: types.AttemptId,
        incarnation: types.Incarnation,
        sent_after_ms: float,
        now_ms: float,
    ) -> OpenResult:
        """Open an attempt when its frame arrives.

        :param attempt: id of the attempt; a router never reuses one.
        :param incarnation: the incarnation that the frame was sent to.
        :param sent_after_ms: time on this process's clock before which the
            frame cannot have been sent.
        :param now_ms: the current time.
        :returns: `NEW` if it may be started, `DUPLICATE` for a duplicate
            frame, which is answered from `query` or the replay buffer.
        :raises errors.RefusedError: if it must not be run: code
            `WRONG_INCARNATION`, `ATTEMPT_CLOSED` or `OVERLOADED`.
        """
        self._records.evict_expired(now_ms)
        self._check_incarnation(attempt, incarnation)
        record = self._records.get(attempt)
        if record is not None:
            return self._handle_duplicate(record)
        if now_ms - sent_after_ms >= self._limits.retention_ms:
            raise self._make_expired_error(attempt)
        if not self._records.has_room_for_opened():
            raise self._refuse_unopened(attempt, now_ms)
        record = attempt_records.AttemptRecord(attempt, was_opened=True)
        self._apply_event(record, 'open')
        self._records.add(record)
        return OpenResult.NEW

    def start(self, attempt: types.AttemptId) -> None:
        """Record that the attempt is about to be sent to the endpoint.

        :raises errors.RefusedError: with code `ATTEMPT_CLOSED` if it may
            no longer be run.
        """
        record = self._require(attempt)
        self._apply_event(record, 'start')
        record.starts += 1
        self._monitor.check(
            invariants.Invariant.AT_MOST_ONCE,
            record.starts == 1,
            lambda: f'attempt {attempt} started {record.starts} times',
        )
        self._monitor.check(
            invariants.Invariant.TRUE_REFUSAL,
            not record.was_reported_not_run,
            lambda: f'attempt {attempt} started after a report of "not run"',
        )

    def finish(
        self,
        attempt: types.AttemptId,
        verdict: Verdict,
        answer: bytes | None,
        now_ms: float,
    ) -> AttemptReport:
        """Record the end of an attempt.

        An attempt that was not started may finish with the stored answer
        of an earlier call.

        :param attempt: the attempt.
        :param verdict: `RAN` with a complete answer, `MAY_HAVE_RUN` if the
            endpoint was lost during the call, `NOT_RUN` only if no byte of
            the request left this process.
        :param answer: the complete answer, None if it is not to be stored.
        :param now_ms: the current time.
        """
        record = self._require(attempt)
        is_refusal = verdict is Verdict.NOT_RUN
        if is_refusal and record.state is AttemptState.REFUSED:
            return self._report(record)
        self._apply_event(record, 'refuse' if is_refusal else 'finish')
        record.verdict = verdict
        self._records.store_answer(record, answer)
        self._records.mark_ended(attempt, now_ms)
        return self._report(record)

    def refuse(self, attempt: types.AttemptId, now_ms: float) -> AttemptReport:
        """Permanently refuse an attempt that was opened but not started.

        :param attempt: the attempt.
        :param now_ms: the current time.
        :raises errors.RefusedError: with code `ATTEMPT_CLOSED` if it was
            started.
        """
        record = self._require(attempt)
        if record.state is not AttemptState.OPEN:
            raise self._make_closed_error(record)
        self._apply_event(record, 'refuse')
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
        """Report on an attempt; an unknown one is closed.

        :param attempt: the attempt.
        :param incarnation: the incarnation that it was sent to.
        :param age_ms: upper bound on the time since its frame was sent: the
            time that the router measured plus the longest time for which
            the query itself may have been in flight.
        :param now_ms: the current time.
        """
        self._records.evict_expired(now_ms)
        if incarnation != self.incarnation:
            return AttemptReport(attempt, Verdict.MAY_HAVE_RUN)
        record = self._records.get(attempt)
        if record is None:
            record = self._close_unknown(attempt, age_ms, now_ms)
        if record is None:
            return AttemptReport(attempt, Verdict.MAY_HAVE_RUN)
        return self._report(record)

    def _handle_duplicate(
        self, record: attempt_records.AttemptRecord
    ) -> OpenResult:
        if record.state in (AttemptState.REFUSED, AttemptState.CLOSED):
            raise self._make_closed_error(record)
        return OpenResult.DUPLICATE

    def _close_unknown(
        self, attempt: types.AttemptId, age_ms: float, now_ms: float
    ) -> attempt_records.AttemptRecord | None:
        is_possibly_evicted = age_ms >= self._limits.retention_ms
        if is_possibly_evicted or not self._records.has_room_for_unopened():
            return None
        return self._add_unopened(attempt, 'close', now_ms)

    def _refuse_unopened(
        self, attempt: types.AttemptId, now_ms: float
    ) -> errors.RefusedError:
        # "Not run" requires a record of the refusal, because a duplicate of
        # the frame may arrive when there is room again.
        verdict = Verdict.MAY_HAVE_RUN
        if self._records.has_room_for_unopened():
            record = self._add_unopened(attempt, 'refuse', now_ms)
            verdict = self._report(record).verdict
        return errors.RefusedError(
            errors.ErrorCode.OVERLOADED,
            f'expected fewer than {self._limits.max_attempts} recorded '
            f'attempts, refused {attempt}; retry on another endpoint',
            verdict,
        )

    def _add_unopened(
        self, attempt: types.AttemptId, event: str, now_ms: float
    ) -> attempt_records.AttemptRecord:
        record = attempt_records.AttemptRecord(attempt, was_opened=False)
        self._apply_event(record, event)
        record.verdict = Verdict.NOT_RUN
        self._records.add(record)
        self._records.mark_ended(attempt, now_ms)
        return record

    def _apply_event(
        self, record: attempt_records.AttemptRecord, event: str
    ) -> None:
        target = self._transitions.get((record.state, event))
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
        record.was_reported_not_run = record.was_reported_not_run or is_refusal
        self._monitor.check(
            invariants.Invariant.TRUE_REFUSAL,
            not is_refusal or self._is_permanently_closed(record),
            lambda: (
                f'"not run" reported for {record.state.value} {record.attempt}'
            ),
        )
        self._check_stored_answer(record)
        return AttemptReport(
            record.attempt, record.verdict, record.state, record.answer
        )

    def _is_permanently_closed(
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
            record.verdict is Verdict.RAN and record.is_answer_valid,
            lambda: (
                f'stored answer of {record.attempt} has a wrong verdict or '
                f'check value'
            ),
        )

    def _check_incarnation(
        self, attempt: types.AttemptId, incarnation: types.Incarnation
    ) -> None:
        if incarnation != self.incarnation:
            raise errors.RefusedError(
                errors.ErrorCode.WRONG_INCARNATION,
                f'expected an attempt sent to {self.incarnation}, got '
                f'{attempt} sent to {incarnation}; refresh the membership',
                # A duplicate of the frame may have reached the other one.
                Verdict.MAY_HAVE_RUN,
            )

    def _make_closed_error(
        self, record: attempt_records.AttemptRecord
    ) -> errors.RefusedError:
        report = self._report(record)
        return errors.RefusedError(
            errors.ErrorCode.ATTEMPT_CLOSED,
            f'expected an attempt in progress, {record.attempt} is '
            f'{record.state.value}; send a new attempt if the verdict '
            f'allows it',
            report.verdict,
        )

    def _make_expired_error(
        self, attempt: types.AttemptId
    ) -> errors.RefusedError:
        return errors.RefusedError(
            errors.ErrorCode.ATTEMPT_CLOSED,
            f'expected a frame younger than {self._limits.retention_ms} ms, '
            f'{attempt} may be older; send a query on a new connection',
            Verdict.MAY_HAVE_RUN,
        )
