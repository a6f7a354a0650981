"""At-most-once execution of calls that carry an idempotency key.

The engine runs in the sidecar of the endpoint that receives the call.
Before the call it creates a claim in the platform's store if the key has
none; only the sidecar whose write created the claim may run the call, once.
Afterwards the result replaces the claim, and a repeated call gets the
stored answer.

Safety rules:

- Each claim attempt has a unique nonce. After a lost reply the same write
  is retried; reading back the same nonce means that the claim was acquired.
- A nonce whose claim attempt ended without running the call is never used
  again. Its claim is removed, or replaced by compare-and-swap, so that a
  delayed write fails its revision check.
- A claim older than `max_claim_age_ms` is not used, because it may expire
  while the call is in flight.
- A call that ended without a verdict is stored as unknown and is never
  repeated.

The only operations awaited here are store operations and the call itself.
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

FLUSH_INTERVAL_MS = types.SECOND_MS


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Limits of a `ClaimEngine`.

    :param max_records: keys held in memory; further calls are rejected.
    :param cache_ms: how long a saved answer stays in the memory cache.
    :param max_answer_bytes: the largest answer that is stored.
    :param is_save_awaited: whether an answer is returned only after one
        attempt to store it. Otherwise the next `flush_pending` stores it,
        which reduces the latency of the call and the writes to the store.
    :param held_claims: limits on the tracked claims of other sidecars.
    """

    max_records: int = 8_192
    cache_ms: float = 30 * types.SECOND_MS
    max_answer_bytes: int = 64 * 1024
    is_save_awaited: bool = False
    held_claims: claim_holds.HeldClaimLimits = claim_holds.HeldClaimLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a call that ran.

    :param answer: the bytes of the answer.
    :param is_repeat: whether an earlier call with the key produced it.
    """

    answer: bytes
    is_repeat: bool


class ClaimEngine:
    """Runs calls at most once on behalf of one sidecar.

    :param kv: the platform's store, or a `GroupCommitter` over it.
    :param owner: this sidecar.
    :param clock: monotonic clock.
    :param monitor: checks the invariants that the engine upholds.
    :param times: how long claims are kept.
    :param limits: limits of the engine.
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
        self._held_claims = claim_holds.HeldClaims(self._limits.held_claims)
        self._next_nonce = 0

    @property
    def pending(self) -> int:
        """Number of keys for which the store is not up to date."""
        return len(self._table.list_pending())

    async def run_once(
        self, key: claim_records.ClaimKey, body: bytes, call: Call
    ) -> StoredAnswer:
        """Run a call unless its key has been used.

        The verdict of an error refers to this invocation only: `NOT_RUN`
        means that it ran nothing and never will, regardless of earlier
        calls with the same key.

        :param key: identifies the call.
        :param body: the request, compared with that of earlier calls.
        :param call: runs the call and returns its whole answer; raises
            `errors.FoxtailError` with verdict `NOT_RUN` only if it is
            certain that nothing ran.
        :raises errors.RequestError: with code `KEY_REUSED`,
            `CALL_IN_PROGRESS` (a `ClaimHeldError` if another sidecar holds
            the claim), `OUTCOME_UNKNOWN`, `ANSWER_NOT_KEPT`, `OVERLOADED`,
            `DEADLINE_EXCEEDED`, or `STORE_UNAVAILABLE` with `NOT_RUN`; an
            error that `call` raised with `NOT_RUN` is passed on.
        """
        record = self._get_or_begin(key, body)
        if record.phase is not ClaimPhase.CLAIMING:
            return self._get_stored_answer(record)
        try:
            await self._claim(record)
            if record.phase is not ClaimPhase.CLAIMING:
                return self._get_stored_answer(record)
            self._check_claim_age(record)
            self._table.apply_event(record, 'run')
        finally:
            if record.phase is ClaimPhase.CLAIMING:
                self._abandon_claim(record)
        answer = await self._run(record, call)
        if self._limits.is_save_awaited:
            await self._try_save(record)
        return StoredAnswer(answer, False)

    async def flush_pending(
        self, run_all: RunAll = jobs_lib.run_sequentially
    ) -> None:
        """Write pending results to the store and remove unused claims.

        Call it every `FLUSH_INTERVAL_MS` and before the process exits.

        :param run_all: runs the jobs; `jobs.run_concurrently` lets a group
            committer batch their writes.
        :raises errors.StoreError: if the store is not available.
        """
        await run_all(
            [
                functools.partial(self._flush, record)
                for record in self._table.list_pending()
            ]
        )

    async def _flush(self, record: ClaimRecord) -> None:
        if not self._table.is_pending(record):
            return
        if record.phase is ClaimPhase.IDLE:
            await self._release(record)
        elif record.phase in (ClaimPhase.RAN, ClaimPhase.UNKNOWN):
            await self._save(record)

    def _get_or_begin(
        self, key: claim_records.ClaimKey, body: bytes
    ) -> ClaimRecord:
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
        self._table.apply_event(record, 'claim')
        self._next_nonce += 1
        record.nonce = f'{self.owner.incarnation}:{self._next_nonce}'
        record.body_digest = digest
        record.began_ms = self._clock.now()
        record.may_be_stored = False

    async def _claim(self, record: ClaimRecord) -> None:
        """Create the claim; the phase stays unchanged if the call may run."""
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
            logger.debug('CLAIM acquired. {} {}', record.path, record.nonce)
            return
        record.may_be_stored = False
        self._apply_stored_claim(record, found.claim)

    def _apply_stored_claim(
        self, record: ClaimRecord, claim: claim_records.Claim
    ) -> None:
        """Set the record to the state that an earlier call has stored."""
        _check_same_body(record.body_digest, claim.body_digest)
        is_held = claim.state is ClaimState.CLAIMED
        if is_held and claim.owner.endpoint != self.owner.endpoint:
            raise self._make_held_error(record, claim)
        # A claim of this endpoint that has no record here was created by an
        # earlier process, so the outcome of its call cannot be determined.
        is_ran = claim.state is ClaimState.RAN
        self._table.apply_event(
            record, 'find_ran' if is_ran else 'find_unknown'
        )
        record.answer = claim.answer
        record.answer_check = claim.answer_check
        self._table.mark_saved(record, self._clock.now())

    def _make_held_error(
        self, record: ClaimRecord, claim: claim_records.Claim
    ) -> errors.RequestError:
        now_ms = self._clock.now()
        if self._held_claims.is_abandoned(record.path, claim.nonce, now_ms):
            # The owner is gone or cannot reach the store.
            return claim_errors.make_unknown_error()
        return claim_errors.ClaimHeldError(claim.owner)

    def _check_claim_age(self, record: ClaimRecord) -> None:
        age_ms = self._clock.now() - record.began_ms
        if age_ms > self._times.max_claim_age_ms:
            raise claim_errors.make_claim_timeout_error(age_ms)

    async def _run(self, record: ClaimRecord, call: Call) -> bytes:
        record.runs += 1
        self._monitor.check(
            Invariant.AT_MOST_ONCE,
            record.runs == 1 and record.nonce not in record.unused_nonces,
            lambda: (
                f'{record.path} ran {record.runs} times or with a retired '
                f'nonce'
            ),
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
            await self._try_release(record)
            raise
        except Exception as exc:
            raise claim_errors.make_unknown_error() from exc
        finally:
            # Runs on cancellation too, when the store cannot be awaited.
            if record.phase is ClaimPhase.RUNNING:
                self._end_run(record, answer)

    def _end_run(self, record: ClaimRecord, answer: bytes | None) -> None:
        self._table.apply_event(record, 'lose' if answer is None else 'answer')
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
        self._table.apply_event(record, 'not_run')
        self._retire_nonce(record)

    def _abandon_claim(self, record: ClaimRecord) -> None:
        self._table.apply_event(record, 'give_up')
        self._retire_nonce(record)
        self._table.remove_idle(record)

    def _retire_nonce(self, record: ClaimRecord) -> None:
        self._monitor.check(
            Invariant.TRUE_REFUSAL,
            record.runs == 0,
            lambda: f'{record.path} ran although its claim was abandoned',
        )
        if record.may_be_stored:
            record.unused_nonces |= {record.nonce}
            self._table.mark_pending(record)

    async def _release(self, record: ClaimRecord) -> None:
        released = record.unused_nonces
        await self._store.release(record.path, released)
        if record.unused_nonces == released:
            self._table.mark_released(record)

    async def _try_release(self, record: ClaimRecord) -> None:
        try:
            await self._release(record)
        except errors.StoreError as exc:
            logger.info('CLAIM not released. {} {}', record.path, exc)

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
            lambda: (
                f'{record.path} was claimed by {found.claim.owner} while its '
                f'call was running'
            ),
        )
        self._table.mark_saved(record, self._clock.now())

    async def _try_save(self, record: ClaimRecord) -> None:
        try:
            await self._save(record)
        except errors.StoreError as exc:
            logger.info('CLAIM unsaved. {} {}', record.path, exc)

    def _get_stored_answer(self, record: ClaimRecord) -> StoredAnswer:
        if record.phase is ClaimPhase.UNKNOWN:
            raise claim_errors.make_unknown_error()
        if record.answer is None:
            raise claim_errors.make_answer_not_kept_error()
        check = claim_records.compute_answer_check(record.path, record.answer)
        self._monitor.check(
            Invariant.WHOLE_ANSWER,
            check == record.answer_check,
            lambda: f'stored answer of {record.path} has a wrong check value',
        )
        return StoredAnswer(record.answer, True)


def _check_same_body(expected: bytes, found: bytes) -> None:
    if expected != found:
        raise claim_errors.make_key_reused_error()
