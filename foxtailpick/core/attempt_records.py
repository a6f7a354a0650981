"""Bounded storage of attempt records with eviction by age."""

import dataclasses
import enum

import xxhash

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


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Limits of an attempt table.

    :param max_attempts: records of opened attempts; further attempts are
        refused.
    :param max_unopened: records of attempts that were closed or refused
        without being opened.
    :param retention_ms: how long a record is kept after the attempt ended;
        longer than any request deadline and the silence limit of a link.
    :param max_answer_bytes: the largest answer that is stored.
    :param max_stored_bytes: total size of the stored answers.
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
                    f'expected {field.name} above 0, got {value}; increase it'
                )


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """Record of one attempt.

    :param attempt: id of the attempt.
    :param was_opened: whether its frame opened it.
    :param state: its state.
    :param verdict: whether it may have run.
    :param starts: how often it was started on the endpoint.
    :param was_reported_not_run: whether it was reported as "not run".
    :param answer: its complete answer, if it is small.
    :param answer_check: check value of the answer, bound to the id.
    """

    attempt: types.AttemptId
    was_opened: bool
    state: AttemptState = AttemptState.UNKNOWN
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    starts: int = 0
    was_reported_not_run: bool = False
    answer: bytes | None = None
    answer_check: int = 0

    @property
    def is_answer_valid(self) -> bool:
        """Whether the stored answer matches its check value."""
        check = _compute_answer_check(self.attempt, self.answer)
        return check == self.answer_check


class AttemptRecords:
    """The records of one attempt table.

    A record is evicted no earlier than `retention_ms` after its end.

    :param limits: limits of the table.
    """

    def __init__(self, limits: AttemptLimits) -> None:
        self._limits = limits
        self._records: dict[types.AttemptId, AttemptRecord] = {}
        self._ended_ms: dict[types.AttemptId, float] = {}
        self._answered: dict[types.AttemptId, None] = {}
        self._unopened = 0
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def get(self, attempt: types.AttemptId) -> AttemptRecord | None:
        """Return the record of an attempt, None if there is none."""
        return self._records.get(attempt)

    def has_room_for_opened(self) -> bool:
        """Return whether another attempt may be opened."""
        opened = len(self._records) - self._unopened
        return opened < self._limits.max_attempts

    def has_room_for_unopened(self) -> bool:
        """Return whether another unopened attempt may be recorded."""
        return self._unopened < self._limits.max_unopened

    def add(self, record: AttemptRecord) -> None:
        """Add a new record."""
        self._records[record.attempt] = record
        if not record.was_opened:
            self._unopened += 1

    def mark_ended(self, attempt: types.AttemptId, now_ms: float) -> None:
        """Start the retention period of a record."""
        self._ended_ms[attempt] = now_ms

    def store_answer(
        self, record: AttemptRecord, answer: bytes | None
    ) -> None:
        """Store the answer of an attempt that ran, if it is small.

        The oldest answers are evicted to make room; their records stay.
        """
        is_stored = record.verdict is Verdict.RAN and answer is not None
        if not is_stored or len(answer) > self._limits.max_answer_bytes:
            return
        record.answer = answer
        record.answer_check = _compute_answer_check(record.attempt, answer)
        self._stored_bytes += len(answer)
        self._answered[record.attempt] = None
        while self._stored_bytes > self._limits.max_stored_bytes:
            oldest = next(iter(self._answered))
            self._evict_answer(self._records[oldest])

    def evict_expired(self, now_ms: float) -> None:
        """Evict the records whose retention period is over."""
        # Records are ordered by end time, so the search stops at the first
        # one that is kept.
        while self._ended_ms:
            attempt = next(iter(self._ended_ms))
            if now_ms - self._ended_ms[attempt] < self._limits.retention_ms:
                return
            self.remove(attempt)

    def remove(self, attempt: types.AttemptId) -> None:
        """Remove the record of an ended attempt."""
        record = self._records.pop(attempt)
        del self._ended_ms[attempt]
        self._evict_answer(record)
        if not record.was_opened:
            self._unopened -= 1

    def _evict_answer(self, record: AttemptRecord) -> None:
        if record.answer is not None:
            self._stored_bytes -= len(record.answer)
            record.answer = None
            del self._answered[record.attempt]


def _compute_answer_check(attempt: types.AttemptId, answer: bytes) -> int:
    seed = xxhash.xxh64_intdigest(attempt.encode())
    return xxhash.xxh64_intdigest(answer, seed=seed)
