"""Group commit: batches the transactions of many callers.

The platform's service accepts a few hundred writes per second from the
whole fleet. One committer per sidecar sits between its claims and the
service. It starts on average at most one write per interval and allows a
short burst after an idle time, so an idle sidecar commits immediately and
a busy one commits in batches.
"""

import dataclasses
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

Writes = typing.Sequence[base.Put | base.Delete]
Outcome = base.TxnResult | errors.StoreError

ENTRY_OVERHEAD_BYTES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class CommitLimits:
    """Limits of a committer.

    :param interval_ms: minimum mean interval between the starts of two
        writes; the write rate of the fleet is at most the number of
        sidecars divided by it.
    :param burst: writes that may start at once after an idle time.
    :param max_txns: transactions per write; the service limits the
        operations of a write, to 128 in etcd.
    :param max_bytes: total size of the values in one write.
    :param max_queued: queued transactions; further ones are rejected.
    :param timeout_ms: time allowed for a reply of the service.
    """

    interval_ms: float = 500.0
    burst: int = 3
    max_txns: int = 100
    max_bytes: int = 512 * 1024
    max_queued: int = 1_024
    timeout_ms: float = 2 * types.SECOND_MS


@dataclasses.dataclass(slots=True, eq=False)
class _Txn:
    compares: typing.Sequence[base.Compare]
    writes: Writes
    reply: trio.MemorySendChannel[Outcome]

    @property
    def keys(self) -> set[str]:
        compared = {compare.key for compare in self.compares}
        return compared | {write.key for write in self.writes}

    @property
    def size_bytes(self) -> int:
        values = [w.value for w in self.writes if isinstance(w, base.Put)]
        return ENTRY_OVERHEAD_BYTES + sum(map(len, values))


class GroupCommitter(base.KeyValue):
    """A key-value service that batches transactions.

    `run` must run in a separate task while the committer is used. All
    operations except `transact` go to the service directly.

    :param kv: the platform's service.
    :param limits: limits of the committer.
    """

    def __init__(
        self, kv: base.KeyValue, limits: CommitLimits | None = None
    ) -> None:
        self._kv = kv
        self._limits = limits or CommitLimits()
        self._send, self._receive = trio.open_memory_channel[_Txn](
            self._limits.max_queued
        )
        self._deferred: _Txn | None = None

    async def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: Writes,
    ) -> base.TxnResult:
        """Commit one transaction in a batch with others."""
        reply, outcome = trio.open_memory_channel[Outcome](1)
        try:
            self._send.send_nowait(_Txn(compares, writes, reply))
        except (trio.WouldBlock, trio.BrokenResourceError) as exc:
            raise _make_not_sent_error(
                f'at most {self._limits.max_queued} writes may be queued'
            ) from exc
        result = await outcome.receive()
        if isinstance(result, errors.StoreError):
            raise errors.StoreError(
                result.code, result.message, result.verdict
            ) from result
        return result

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Commit queued transactions until cancelled."""
        task_status.started()
        clock = clock_lib.Clock.from_trio()
        interval_ms = self._limits.interval_ms
        # Start time of the next write at the mean rate, ignoring bursts.
        next_start_ms = clock.now()
        burst_ms = (self._limits.burst - 1) * interval_ms
        try:
            while True:
                if self._deferred is None:
                    self._deferred = await self._receive.receive()
                await clock_lib.sleep_ms(
                    next_start_ms - burst_ms - clock.now()
                )
                next_start_ms = max(next_start_ms, clock.now()) + interval_ms
                await self._commit(self._collect_batch())
        finally:
            self._reject_queued()
            self._receive.close()

    async def get(self, key: str) -> base.Entry | None:
        return await self._kv.get(key)

    async def get_prefix(self, prefix: str) -> list[base.Entry]:
        return await self._kv.get_prefix(prefix)

    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        return await self._kv.grant_lease(ttl_ms)

    async def renew_lease(self, lease: types.LeaseId) -> None:
        await self._kv.renew_lease(lease)

    async def revoke_lease(self, lease: types.LeaseId) -> None:
        await self._kv.revoke_lease(lease)

    def watch(
        self, prefix: str, after: types.Revision
    ) -> typing.AsyncContextManager[typing.AsyncIterator[base.Change]]:
        return self._kv.watch(prefix, after)

    def _reject_queued(self) -> None:
        while self._deferred is not None:
            for txn in self._collect_batch():
                _reply(txn, _make_not_sent_error('the committer has stopped'))

    def _collect_batch(self) -> list[_Txn]:
        """Build a batch, up to the limits or the first duplicate key."""
        first = self._deferred
        self._deferred = None
        batch = [first]
        keys = first.keys
        size_bytes = first.size_bytes
        while len(batch) < self._limits.max_txns:
            try:
                txn = self._receive.receive_nowait()
            except trio.WouldBlock:
                break
            size_bytes += txn.size_bytes
            if size_bytes > self._limits.max_bytes or keys & txn.keys:
                self._deferred = txn
                break
            keys |= txn.keys
            batch.append(txn)
        return batch

    async def _commit(self, batch: list[_Txn]) -> None:
        """Commit a batch, dropping transactions whose compares fail."""
        try:
            await self._commit_without_failed(batch)
        except trio.Cancelled:
            error = _make_unknown_error('the committer has stopped')
            _reply_to_all(batch, error)
            raise

    async def _commit_without_failed(self, batch: list[_Txn]) -> None:
        while batch:
            outcome = await self._transact(batch)
            if _may_be_caused_by_one(outcome) and len(batch) > 1:
                await self._commit_one_by_one(batch)
                return
            if isinstance(outcome, errors.StoreError) or outcome.is_applied:
                _reply_to_all(batch, outcome)
                return
            failed = _find_failed(batch, outcome)
            for txn in failed:
                _reply(txn, _select_result(txn, outcome))
            batch = [txn for txn in batch if txn not in failed]

    async def _commit_one_by_one(self, batch: list[_Txn]) -> None:
        for txn in batch:
            _reply(txn, await self._transact([txn]))

    async def _transact(self, batch: list[_Txn]) -> Outcome:
        compares = [compare for txn in batch for compare in txn.compares]
        writes = [write for txn in batch for write in txn.writes]
        seconds = self._limits.timeout_ms / types.SECOND_MS
        try:
            with trio.fail_after(seconds):
                return await self._kv.transact(compares, writes)
        except errors.StoreError as exc:
            return exc
        except trio.TooSlowError:
            return _make_unknown_error(
                f'no reply within {self._limits.timeout_ms} ms'
            )


def _may_be_caused_by_one(outcome: Outcome) -> bool:
    """Return whether one invalid transaction may have failed the batch."""
    return isinstance(outcome, errors.StoreError) and outcome.code in (
        errors.ErrorCode.LEASE_LOST,
        errors.ErrorCode.STORE_REFUSED,
    )


def _find_failed(batch: list[_Txn], outcome: base.TxnResult) -> list[_Txn]:
    found = {entry.key: entry.revision for entry in outcome.current}
    failed = [
        txn
        for txn in batch
        if any(
            found.get(compare.key, base.ABSENT) != compare.revision
            for compare in txn.compares
        )
    ]
    return failed or batch


def _select_result(txn: _Txn, outcome: base.TxnResult) -> base.TxnResult:
    keys = {compare.key for compare in txn.compares}
    own = tuple(entry for entry in outcome.current if entry.key in keys)
    return base.TxnResult(False, outcome.revision, own)


def _reply_to_all(batch: list[_Txn], outcome: Outcome) -> None:
    for txn in batch:
        _reply(txn, outcome)


def _reply(txn: _Txn, outcome: Outcome) -> None:
    try:
        txn.reply.send_nowait(outcome)
    except (trio.BrokenResourceError, trio.WouldBlock):
        # The caller was cancelled or already has its reply.
        return


def _make_not_sent_error(reason: str) -> errors.StoreError:
    return errors.StoreError(
        errors.ErrorCode.STORE_UNAVAILABLE,
        f'expected to write, the write was not sent: {reason}; retry later',
    )


def _make_unknown_error(reason: str) -> errors.StoreError:
    return errors.StoreError(
        errors.ErrorCode.STORE_OUTCOME_UNKNOWN,
        f'expected a reply to a write: {reason}; read the key back',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )
