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

import xxhash

from foxtailpick.core import chart_moves
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

Verdict = verdict_lib.Verdict


class AttemptState(enum.Enum):
    """Life cycle of an attempt; the chart is `charts/attempt.json`."""

    UNKNOWN = 'unknown'
    OPEN = 'open'
    RUNNING = 'running'
    FINISHED = 'finished'
    REFUSED = 'refused'
    CLOSED = 'closed'


class Opening(enum.Enum):
    """What the arrival of an attempt's own frame means."""

    NEW = 'new'
    DOUBLE = 'double'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Bounds of the table.

    :param max_attempts: records of attempts that were opened; more work is
        refused.
    :param max_unopened: records of attempts that were closed or refused
        without being opened.
    :param retention_ms: how long a record is kept after its end. Longer
        than a request's deadline and than a link may stay silent.
    :param max_answer_bytes: the largest answer that is stored.
    :param max_stored_bytes: all stored answers together.
    """

    max_attempts: int = 16_384
    max_unopened: int = 4_096
    retention_ms: float = 120 * types.SECOND_MS
    max_answer_bytes: int = 16 * 1024
    max_stored_bytes: int = 4 * 1024 * 1024

    def __post_init__(self) -> None:
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            if value <= 0:
                raise ValueError(
                    f'expected {field.name} above 0, got {value}; raise it'
                )


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


@dataclasses.dataclass(slots=True)
class _Record:
    attempt: types.AttemptId
    was_opened: bool
    state: AttemptState = AttemptState.UNKNOWN
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    starts: int = 0
    was_said_not_run: bool = False
    answer: bytes | None = None
    answer_check: int = 0


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
        self._records: dict[types.AttemptId, _Record] = {}
        self._ended_ms: dict[types.AttemptId, float] = {}
        self._answered: dict[types.AttemptId, None] = {}
        self._unopened = 0
        self._stored_bytes = 0
        self._moves = chart_moves.load_moves('attempt', AttemptState)

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
        self._drop_expired(now_ms)
        self._check_incarnation(attempt, incarnation)
        record = self._records.get(attempt)
        if record is not None:
            return self._reopen(record)
        if now_ms - sent_after_ms >= self._limits.retention_ms:
            raise self._make_late_error(attempt)
        if self._count_opened() >= self._limits.max_attempts:
            raise self._refuse_unopened(attempt, now_ms)
        record = _Record(attempt, was_opened=True)
        self._move(record, 'open')
        self._records[attempt] = record
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
            invariants.Promise.AT_MOST_ONCE,
            record.starts == 1,
            lambda: f'attempt {attempt} started {record.starts} times',
        )
        self._monitor.check(
            invariants.Promise.TRUE_REFUSAL,
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
        self._store_answer(record, answer)
        self._mark_ended(attempt, now_ms)
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
        self._mark_ended(attempt, now_ms)
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
        self._drop_expired(now_ms)
        if incarnation != self.incarnation:
            return AttemptReport(attempt, Verdict.MAY_HAVE_RUN)
        record = self._records.get(attempt)
        if record is None:
            record = self._close_unknown(attempt, age_ms, now_ms)
        if record is None:
            return AttemptReport(attempt, Verdict.MAY_HAVE_RUN)
        return self._report(record)

    def _reopen(self, record: _Record) -> Opening:
        if record.state in (AttemptState.REFUSED, AttemptState.CLOSED):
            raise self._make_closed_error(record)
        return Opening.DOUBLE

    def _close_unknown(
        self, attempt: types.AttemptId, age_ms: float, now_ms: float
    ) -> _Record | None:
        is_possibly_forgotten = age_ms >= self._limits.retention_ms
        if is_possibly_forgotten or not self._has_room_for_unopened():
            return None
        return self._add_unopened(attempt, 'close', now_ms)

    def _refuse_unopened(
        self, attempt: types.AttemptId, now_ms: float
    ) -> errors.RefusedError:
        # Only a refusal that is remembered may say "not run": the frame may
        # come again once there is room.
        verdict = Verdict.MAY_HAVE_RUN
        if self._has_room_for_unopened():
            record = self._add_unopened(attempt, 'refuse', now_ms)
            verdict = self._report(record).verdict
        return errors.RefusedError(
            errors.ErrorCode.OVERLOADED,
            f'expected fewer than {self._limits.max_attempts} attempts to '
            f'remember, refused {attempt}; try another endpoint',
            verdict,
        )

    def _has_room_for_unopened(self) -> bool:
        return self._unopened < self._limits.max_unopened

    def _add_unopened(
        self, attempt: types.AttemptId, event: str, now_ms: float
    ) -> _Record:
        record = _Record(attempt, was_opened=False)
        self._move(record, event)
        record.verdict = Verdict.NOT_RUN
        self._records[attempt] = record
        self._unopened += 1
        self._mark_ended(attempt, now_ms)
        return record

    def _count_opened(self) -> int:
        return len(self._records) - self._unopened

    def _move(self, record: _Record, event: str) -> None:
        target = self._moves.get((record.state, event))
        if target is None:
            raise self._make_closed_error(record)
        record.state = target

    def _require(self, attempt: types.AttemptId) -> _Record:
        record = self._records.get(attempt)
        if record is None:
            raise ValueError(
                f'expected an opened attempt, got {attempt}; open it first'
            )
        return record

    def _report(self, record: _Record) -> AttemptReport:
        is_refusal = record.verdict is Verdict.NOT_RUN
        record.was_said_not_run = record.was_said_not_run or is_refusal
        self._monitor.check(
            invariants.Promise.TRUE_REFUSAL,
            not is_refusal or self._is_closed_for_good(record),
            lambda: f'"not run" said of {record.state.value} {record.attempt}',
        )
        self._check_stored_answer(record)
        return AttemptReport(
            record.attempt, record.verdict, record.state, record.answer
        )

    def _is_closed_for_good(self, record: _Record) -> bool:
        kept = self._records.get(record.attempt)
        is_final = record.state in (AttemptState.REFUSED, AttemptState.CLOSED)
        return kept is record and is_final

    def _check_stored_answer(self, record: _Record) -> None:
        if record.answer is None:
            return
        check = _compute_answer_check(record.attempt, record.answer)
        self._monitor.check(
            invariants.Promise.WHOLE_ANSWER,
            record.verdict is Verdict.RAN and check == record.answer_check,
            lambda: f'stored answer of {record.attempt} is not its own',
        )

    def _store_answer(self, record: _Record, answer: bytes | None) -> None:
        is_stored = record.verdict is Verdict.RAN and answer is not None
        if not is_stored or len(answer) > self._limits.max_answer_bytes:
            return
        record.answer = answer
        record.answer_check = _compute_answer_check(record.attempt, answer)
        self._stored_bytes += len(answer)
        self._answered[record.attempt] = None
        self._drop_oldest_answers()

    def _drop_oldest_answers(self) -> None:
        while self._stored_bytes > self._limits.max_stored_bytes:
            oldest = next(iter(self._answered))
            self._drop_answer(self._records[oldest])

    def _drop_answer(self, record: _Record) -> None:
        if record.answer is not None:
            self._stored_bytes -= len(record.answer)
            record.answer = None
            del self._answered[record.attempt]

    def _mark_ended(self, attempt: types.AttemptId, now_ms: float) -> None:
        self._ended_ms[attempt] = now_ms

    def _drop_expired(self, now_ms: float) -> None:
        # Attempts end in time order, so the first one that is kept ends the
        # search.
        while self._ended_ms:
            attempt = next(iter(self._ended_ms))
            if now_ms - self._ended_ms[attempt] < self._limits.retention_ms:
                return
            self._forget(attempt)

    def _forget(self, attempt: types.AttemptId) -> None:
        record = self._records.pop(attempt)
        del self._ended_ms[attempt]
        self._drop_answer(record)
        if not record.was_opened:
            self._unopened -= 1

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

    def _make_closed_error(self, record: _Record) -> errors.RefusedError:
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


def _compute_answer_check(attempt: types.AttemptId, answer: bytes) -> int:
    seed = xxhash.xxh64_intdigest(attempt.encode())
    return xxhash.xxh64_intdigest(answer, seed=seed)
