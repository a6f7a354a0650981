"""Claim operations that tolerate lost replies and delayed writes."""

import dataclasses
import typing

from foxtailpick.adapters import base
from foxtailpick.core import claim_leases
from foxtailpick.core import claim_records
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

if typing.TYPE_CHECKING:
    from foxtailpick.core import clock as clock_lib

ErrorCode = errors.ErrorCode
Verdict = verdict_lib.Verdict

MAX_STORE_TRIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class StoredClaim:
    """A claim with its store revision.

    :param claim: the claim.
    :param revision: revision of its last change.
    """

    claim: claim_records.Claim
    revision: types.Revision


class ClaimStore:
    """The claims in the platform's store.

    :param kv: the store, or a `GroupCommitter` over it.
    :param times: how long claims are kept.
    :param clock: monotonic clock.
    """

    def __init__(
        self,
        kv: base.KeyValue,
        times: claim_leases.LeaseTimes,
        clock: 'clock_lib.Clock | clock_lib.ManualClock',
    ) -> None:
        self._kv = kv
        self._clock = clock
        self._shared_lease = claim_leases.SharedLease(kv, times)

    async def create(
        self,
        path: str,
        claim: claim_records.Claim,
        unused_nonces: typing.Collection[str],
    ) -> StoredClaim:
        """Store a claim if its key has none; return the claim then stored.

        A stored claim with an unused nonce is replaced. After a lost reply
        the key is read back, which is cheaper than a write. If it is still
        absent the write is retried, and only one of the two writes can
        take effect.

        :param path: key of the claim.
        :param claim: the claim, with a unique nonce.
        :param unused_nonces: nonces of this process that never ran.
        :raises errors.StoreError: with verdict `NOT_RUN` if the claim is
            not in the store, `MAY_HAVE_RUN` if it may be.
        :raises errors.RequestError: if the stored value cannot be decoded.
        """
        revision = base.ABSENT
        outcome = Verdict.NOT_RUN
        for _ in range(MAX_STORE_TRIES):
            try:
                found = await self._put(path, revision, claim)
            except errors.StoreError as exc:
                outcome = verdict_lib.merge_verdicts(outcome, exc.verdict)
                if not _is_retryable(exc):
                    break
                found = await self._read_back(path)
            if found is None:
                revision = base.ABSENT
                continue
            if found.claim.nonce not in unused_nonces:
                return found
            revision = found.revision
        raise errors.StoreError(
            ErrorCode.STORE_UNAVAILABLE,
            f'expected to store {path}, the store did not confirm it; retry '
            f'later',
            outcome,
        )

    async def save(
        self,
        path: str,
        claim: claim_records.Claim,
        revision: types.Revision,
    ) -> StoredClaim:
        """Replace the claim of a call with its result.

        :param path: key of the claim.
        :param claim: the result, with the nonce that ran.
        :param revision: revision of the claim when it was acquired.
        :returns: the value stored afterwards: the result, or the claim of
            another call, which is left unchanged.
        :raises errors.StoreError: if the write is not confirmed.
        :raises errors.RequestError: if the stored value cannot be decoded.
        """
        for _ in range(MAX_STORE_TRIES):
            try:
                found = await self._put(path, revision, claim)
            except errors.StoreError as exc:
                if not _is_retryable(exc):
                    raise
                found = await self._read_back(path)
            if found is None:
                revision = base.ABSENT
                continue
            is_own = found.claim.nonce == claim.nonce
            if not is_own or found.claim.state is claim.state:
                return found
            revision = found.revision
        raise errors.StoreError(
            ErrorCode.STORE_OUTCOME_UNKNOWN,
            f'expected to store the result of {path}, the store did not '
            f'confirm it; retry later',
            Verdict.MAY_HAVE_RUN,
        )

    async def release(
        self, path: str, unused_nonces: typing.Collection[str]
    ) -> None:
        """Remove the stored claim if its nonce never ran.

        :param path: key of the claim.
        :param unused_nonces: nonces of this process that never ran.
        :raises errors.StoreError: if the removal is not confirmed.
        """
        for _ in range(MAX_STORE_TRIES):
            entry = await self._kv.get(path)
            if entry is None:
                return
            if not _is_unused(entry, unused_nonces):
                return
            try:
                await self._kv.transact(
                    [base.Compare(path, entry.revision)], [base.Delete(path)]
                )
            except errors.StoreError as exc:
                if not _is_retryable(exc):
                    raise
        raise errors.StoreError(
            ErrorCode.STORE_OUTCOME_UNKNOWN,
            f'expected to remove {path}, the store did not confirm it; retry '
            f'later',
            Verdict.MAY_HAVE_RUN,
        )

    async def _put(
        self,
        path: str,
        revision: types.Revision,
        claim: claim_records.Claim,
    ) -> StoredClaim | None:
        """Write once; return the value then stored, None if absent."""
        lease = await self._acquire_lease()
        try:
            result = await self._kv.transact(
                [base.Compare(path, revision)],
                [base.Put(path, claim.encode(), lease)],
            )
        except errors.StoreError as exc:
            if exc.code is ErrorCode.LEASE_LOST:
                self._shared_lease.discard(lease)
            raise
        if result.is_applied:
            return StoredClaim(claim, result.revision)
        return _decode(result.current[0]) if result.current else None

    async def _read_back(self, path: str) -> StoredClaim | None:
        """Return the stored claim, None if absent or the read fails."""
        try:
            entry = await self._kv.get(path)
        except errors.StoreError:
            return None
        return _decode(entry) if entry else None

    async def _acquire_lease(self) -> types.LeaseId:
        try:
            return await self._shared_lease.acquire(self._clock.now())
        except errors.StoreError as exc:
            # Even if the lease was granted, no claim is attached to it.
            raise errors.StoreError(
                ErrorCode.STORE_UNAVAILABLE, exc.message, Verdict.NOT_RUN
            ) from exc


def _is_unused(
    entry: base.Entry, unused_nonces: typing.Collection[str]
) -> bool:
    try:
        return _decode(entry).claim.nonce in unused_nonces
    except errors.RequestError:
        # Written by another release, hence not by this process.
        return False


def _decode(entry: base.Entry) -> StoredClaim:
    claim = claim_records.Claim.decode(entry.value)
    return StoredClaim(claim, entry.revision)


def _is_retryable(exc: errors.StoreError) -> bool:
    is_unknown = exc.verdict is Verdict.MAY_HAVE_RUN
    return is_unknown or exc.code is ErrorCode.LEASE_LOST
