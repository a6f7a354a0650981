"""At most once for calls with an idempotency key.

The engine runs in the sidecar of the endpoint that gets the call. Before
the call it creates a claim in the platform's store where none is; only
the sidecar whose write made the claim may run the call, once. Afterwards
the result replaces the claim, so that a repeat gets the stored answer.

Rules that make it safe:

- Each try to claim has a nonce of its own. After a lost reply the same
  write is sent again; finding the own nonce means having won.
- A nonce whose try ended without a run is never run later. Its claim is
  removed, or replaced by compare-and-swap, so that a write that comes late
  finds another revision.
- A claim older than `max_claim_age_ms` is not run: it may end while the
  call is under way.
- A call that ended without a verdict is stored as unknown, never repeated.

Nothing here waits for anything but the store and the call itself.
"""

import dataclasses
import functools
import typing

from loguru import logger

from foxtailpick.core import claim_errors
from foxtailpick.core import claim_holds
from foxtailpick.core import claim_leases
from foxtailpick.core import claim_records
from foxtailpick.core import claim_store
from foxtailpick.core import claim_table
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import jobs as jobs_lib
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

if typing.TYPE_CHECKING:
    from foxtailpick.adapters import base
    from foxtailpick.core import clock as clock_lib

ClaimPhase = claim_table.ClaimPhase
ClaimRecord = claim_table.ClaimRecord
ClaimState = claim_records.ClaimState
Invariant = invariants.Invariant
Verdict = verdict_lib.Verdict
Call = typing.Callable[[], typing.Awaitable[bytes]]
RunAll = typing.Callable[[list[jobs_lib.Job]], typing.Awaitable[None]]

SETTLE_EVERY_MS = types.SECOND_MS


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Bounds of the engine.

    :param max_records: keys held in memory; more calls are refused.
    :param cache_ms: how long the answer of a saved call is held.
    :param max_answer_bytes: the largest answer that is stored.
    :param is_save_awaited: whether an answer is returned only after one
        try to store it. Else the next `settle_pending` stores it, which
        spares the caller a wait and the store a write.
    :param holds: bounds of what is remembered of other sidecars' claims.
    """

    max_records: int = 8_192
    cache_ms: float = 30 * types.SECOND_MS
    max_answer_bytes: int = 64 * 1024
    is_save_awaited: bool = False
    holds: claim_holds.HoldLimits = claim_holds.HoldLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a call that ran.

    :param answer: its bytes.
    :param is_repeat: whether an earlier call ran, not this one.
    """

    answer: bytes
    is_repeat: bool


class ClaimEngine:
    """Runs calls at most once on behalf of one sidecar.

    :param kv: the platform's store, or a `GroupCommitter` over it.
    :param owner: this sidecar.
    :param clock: monotonic clock.
    :param monitor: checks the promises that the engine carries.
    :param times: how long claims are kept.
    :param limits: bounds of the engine.
    """

    def __init__(
        self,
        kv: 'base.KeyValue',
        owner: claim_records.ClaimOwner,
        clock: 'clock_lib.Clock | clock_lib.ManualClock',
        monitor: invariants.Monitor,
        times: claim_leases.LeaseTimes | None = None,
        limits: ClaimLimits | None = None,
    ) -> None:
        self.owner = owner
        self._clock = clock
        self._monitor = monitor
        self._times = times or claim_leases.LeaseTimes()
        self._limits = limits or ClaimLimits()
        self._store = claim_store.ClaimStore(kv, self._times, clock)
        self._table = claim_table.ClaimTable(
            self._limits.max_records, self._limits.cache_ms
        )
        self._holds = claim_holds.ClaimHolds(self._limits.holds)
        self._next_nonce = 0

    @property
    def pending(self) -> int:
        """Number of keys about which the store is not up to date."""
        return len(self._table.list_pending())

    async def run_once(
        self, key: claim_records.ClaimKey, body: bytes, call: Call
    ) -> StoredAnswer:
        """Run a call unless its key has been used.

        The verdict of an error is about this call: `NOT_RUN` means that it
        ran nothing and never will, whatever an earlier call of the same
        key did.

        :param key: names the call.
        :param body: the request, compared with that of earlier calls.
        :param call: runs the call and returns its whole answer; raises
            `errors.FoxtailError` with verdict `NOT_RUN` only if it is
            certain that nothing ran.
        :raises errors.RequestError: with code `KEY_REUSED`,
            `CALL_IN_PROGRESS` (a `ClaimHeldError` if another sidecar has
            it), `OUTCOME_UNKNOWN`, `ANSWER_NOT_KEPT`, `OVERLOADED`,
            `DEADLINE_EXCEEDED`, or `STORE_UNAVAILABLE` with `NOT_RUN`; and
            what `call` raised with `NOT_RUN`.
        """
        record = self._enter(key, body)
        if record.phase is not ClaimPhase.CLAIMING:
            return self._recall(record)
        try:
            await self._claim(record)
            if record.phase is not ClaimPhase.CLAIMING:
                return self._recall(record)
            self._check_claim_is_young(record)
            self._table.move(record, 'run')
        finally:
            if record.phase is ClaimPhase.CLAIMING:
                self._give_up(record)
        answer = await self._run(record, call)
        if self._limits.is_save_awaited:
            await self._save_or_leave_pending(record)
        return StoredAnswer(answer, False)

    async def settle_pending(
        self, run_all: RunAll = jobs_lib.run_in_turn
    ) -> None:
        """Bring the store up to date: results and claims to remove.

        To be called once in `SETTLE_EVERY_MS`, and before the process ends.

        :param run_all: runs the jobs; `jobs.run_together` lets a group
            committer join their writes.
        :raises errors.StoreError: if the store is not available.
        """
        await run_all(
            [
                functools.partial(self._settle, record)
                for record in self._table.list_pending()
            ]
        )

    async def _settle(self, record: ClaimRecord) -> None:
        if not self._table.is_pending(record):
            return
        if record.phase is ClaimPhase.IDLE:
            await self._release(record)
        elif record.phase in (ClaimPhase.RAN, ClaimPhase.UNKNOWN):
            await self._save(record)

    def _enter(self, key: claim_records.ClaimKey, body: bytes) -> ClaimRecord:
        digest = claim_records.compute_body_digest(body)
        record = self._table.get_or_add(key.path, self._clock.now())
        if record.phase is ClaimPhase.IDLE:
            self._begin_claim(record, digest)
            return record
        _check_same_body(digest, record.body_digest)
        if record.phase in (ClaimPhase.CLAIMING, ClaimPhase.RUNNING):
            raise claim_errors.make_in_progress_error()
        return record

    def _begin_claim(self, record: ClaimRecord, digest: bytes) -> None:
        self._table.move(record, 'claim')
        self._next_nonce += 1
        record.nonce = f'{self.owner.incarnation}:{self._next_nonce}'
        record.body_digest = digest
        record.began_ms = self._clock.now()
        record.may_be_stored = False

    async def _claim(self, record: ClaimRecord) -> None:
        """Claim the key; the phase is unchanged if this call may run."""
        claim = record.make_claim(ClaimState.CLAIMED, self.owner)
        record.may_be_stored = True
        try:
            found = await self._store.create(
                record.path, claim, record.unused_nonces
            )
        except errors.StoreError as exc:
            record.may_be_stored = exc.verdict is not Verdict.NOT_RUN
            raise claim_errors.make_store_error() from exc
        if found.claim.nonce == record.nonce:
            record.revision = found.revision
            logger.debug('CLAIM won. {} {}', record.path, record.nonce)
            return
        record.may_be_stored = False
        self._adopt(record, found.claim)

    def _adopt(self, record: ClaimRecord, claim: claim_records.Claim) -> None:
        """Take over what another call of the key has left in the store."""
        _check_same_body(record.body_digest, claim.body_digest)
        is_held = claim.state is ClaimState.CLAIMED
        if is_held and claim.owner.endpoint != self.owner.endpoint:
            raise self._make_held_error(record, claim)
        # A claim of this slot that is not known here was made by an earlier
        # process, and nobody can tell any more what became of it.
        is_ran = claim.state is ClaimState.RAN
        self._table.move(record, 'find_ran' if is_ran else 'find_unknown')
        record.answer = claim.answer
        record.answer_check = claim.answer_check
        self._table.mark_saved(record, self._clock.now())

    def _make_held_error(
        self, record: ClaimRecord, claim: claim_records.Claim
    ) -> errors.RequestError:
        now_ms = self._clock.now()
        if self._holds.is_overdue(record.path, claim.nonce, now_ms):
            # Its owner has gone, or cannot reach the store.
            return claim_errors.make_unknown_error()
        return claim_errors.ClaimHeldError(claim.owner)

    def _check_claim_is_young(self, record: ClaimRecord) -> None:
        age_ms = self._clock.now() - record.began_ms
        if age_ms > self._times.max_claim_age_ms:
            raise claim_errors.make_claim_late_error(age_ms)

    async def _run(self, record: ClaimRecord, call: Call) -> bytes:
        record.runs += 1
        self._monitor.check(
            Invariant.AT_MOST_ONCE,
            record.runs == 1 and record.nonce not in record.unused_nonces,
            lambda: f'{record.path} run {record.runs} times',
        )
        answer = None
        try:
            answer = await call()
            return answer
        except errors.InvariantError:
            raise
        except errors.FoxtailError as exc:
            if exc.verdict is not Verdict.NOT_RUN:
                raise claim_errors.make_unknown_error() from exc
            self._undo_run(record)
            await self._release_or_leave_pending(record)
            raise
        except Exception as exc:
            raise claim_errors.make_unknown_error() from exc
        finally:
            # Also on cancellation, which gives no time to write.
            if record.phase is ClaimPhase.RUNNING:
                self._end_run(record, answer)

    def _end_run(self, record: ClaimRecord, answer: bytes | None) -> None:
        self._table.move(record, 'lose' if answer is None else 'answer')
        if answer and len(answer) > self._limits.max_answer_bytes:
            answer = None
        if answer is not None:
            check = claim_records.compute_answer_check(record.path, answer)
            record.answer = answer
            record.answer_check = check
        self._table.mark_pending(record)
        logger.info('CLAIM {}. {}', record.phase.value, record.path)

    def _undo_run(self, record: ClaimRecord) -> None:
        record.runs -= 1
        self._table.move(record, 'not_run')
        self._retire_nonce(record)

    def _give_up(self, record: ClaimRecord) -> None:
        self._table.move(record, 'give_up')
        self._retire_nonce(record)
        self._table.drop_idle(record)

    def _retire_nonce(self, record: ClaimRecord) -> None:
        self._monitor.check(
            Invariant.TRUE_REFUSAL,
            record.runs == 0,
            lambda: f'{record.path} ran although its claim is given up',
        )
        if record.may_be_stored:
            record.unused_nonces |= {record.nonce}
            self._table.mark_pending(record)

    async def _release(self, record: ClaimRecord) -> None:
        released = record.unused_nonces
        await self._store.release(record.path, released)
        if record.unused_nonces == released:
            self._table.mark_released(record)

    async def _release_or_leave_pending(self, record: ClaimRecord) -> None:
        try:
            await self._release(record)
        except errors.StoreError as exc:
            logger.info('CLAIM left. {} {}', record.path, exc)

    async def _save(self, record: ClaimRecord) -> None:
        is_ran = record.phase is ClaimPhase.RAN
        state = ClaimState.RAN if is_ran else ClaimState.UNKNOWN
        claim = record.make_claim(state, self.owner)
        try:
            found = await self._store.save(record.path, claim, record.revision)
        except errors.RequestError as exc:
            raise errors.StoreError(
                errors.ErrorCode.STORE_REFUSED, exc.message, exc.verdict
            ) from exc
        self._monitor.check(
            Invariant.AT_MOST_ONCE,
            found.claim.nonce == record.nonce,
            lambda: f'{record.path} claimed by {found.claim.owner} as it ran',
        )
        self._table.mark_saved(record, self._clock.now())

    async def _save_or_leave_pending(self, record: ClaimRecord) -> None:
        try:
            await self._save(record)
        except errors.StoreError as exc:
            logger.info('CLAIM unsaved. {} {}', record.path, exc)

    def _recall(self, record: ClaimRecord) -> StoredAnswer:
        if record.phase is ClaimPhase.UNKNOWN:
            raise claim_errors.make_unknown_error()
        if record.answer is None:
            raise claim_errors.make_answer_not_kept_error()
        check = claim_records.compute_answer_check(record.path, record.answer)
        self._monitor.check(
            Invariant.WHOLE_ANSWER,
            check == record.answer_check,
            lambda: f'stored answer of {record.path} is not its own',
        )
        return StoredAnswer(record.answer, True)


def _check_same_body(wanted: bytes, found: bytes) -> None:
    if wanted != found:
        raise claim_errors.make_key_reused_error()
