"""Keeps what a gateway believes in step with the platform's store."""

import random
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import state as state_lib

# Pause after a failed call; a configuration is in force two seconds after
# it was accepted, so a lost connection is replaced well within that.
RETRY_MS = 200.0
MAX_RETRY_MS = 1_000.0
# Removals count as lapsed entries for this long after the store's return.
RETURN_GRACE_MS = endpoint_table.REREGISTRATION_GRACE_MS
# A registration outlives a few lost renewals. Shorter leases would cost
# calls; a router that is gone makes the others' parts too small meanwhile.
LEASE_MS = 8_000.0
KEEP_MS = 2_500.0

# After a change, the next ones are gathered for this long, so that a crowd of
# changes, as when all routers start, does not cost each router a call for
# each. A change after a quiet time is still known at once; an endpoint may
# be used for 2 s after it was told to leave.
GATHER_MS = 300.0
GATHER_WITHIN_MS = 1_000.0

Decode = typing.Callable[[str, bytes | None], model.Item | None]


class Store(typing.Protocol):
    """What the mirror asks of the store's client."""

    async def read_snapshot(self, prefix: str) -> base.Snapshot:
        """Return everything under a prefix."""

    async def poll_changes(
        self, prefix: str, after: types.Revision
    ) -> tuple[list[base.Change], types.Revision]:
        """Wait for changes after a revision."""

    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        """Create a lease."""

    async def keep_lease(self, lease: types.LeaseId) -> None:
        """Renew a lease."""

    async def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> base.TxnResult:
        """Write under conditions."""


class Mirror:
    """Follows the store and feeds the state of a gateway.

    :param store: client of the store.
    :param state: what is fed.
    :param decode: decodes an item of the store.
    :param now_ms: function that returns the current time.
    :param log: where lost and regained contact is logged.
    :param rng: source of random numbers.
    :param min_lease_ms: shortest lease that the store grants.
    """

    def __init__(
        self,
        store: Store,
        state: state_lib.GatewayState,
        decode: Decode,
        now_ms: typing.Callable[[], float],
        log: decision_log.DecisionLog,
        rng: random.Random,
        min_lease_ms: float = 0.0,
    ) -> None:
        self._lease_ms = max(LEASE_MS, min_lease_ms)
        self._store = store
        self._state = state
        self._decode = decode
        self._now_ms = now_ms
        self._log = log
        self._rng = rng
        self._lost_ms: float | None = None
        self._returned_ms = -RETURN_GRACE_MS
        self._has_read = False
        self._changed_ms = -GATHER_WITHIN_MS

    async def follow(self) -> None:
        """Read everything, then watch; start over when history is lost."""
        pause_ms = RETRY_MS
        revision: types.Revision | None = None
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                else:
                    revision = await self._watch_once(revision)
                pause_ms = RETRY_MS
            except errors.StoreError as exc:
                if exc.code is errors.ErrorCode.STORE_HISTORY_LOST:
                    self._log.emit('store-history-lost', after=revision)
                    revision = None
                    continue
                self._note_lost(exc)
                # Changes may have been made and dropped meanwhile.
                revision = None
                jitter = self._rng.uniform(0.5, 1.0)
                await trio.sleep(pause_ms * jitter / types.SECOND_MS)
                pause_ms = min(pause_ms * 2, MAX_RETRY_MS)

    async def register(self, key: str, value: bytes) -> None:
        """Keep this router registered under a key, by a lease.

        :param key: the key.
        :param value: what other routers have to know.
        """
        lease: types.LeaseId | None = None
        is_failing = False
        while True:
            try:
                if lease is None:
                    lease = await self._store.grant_lease(self._lease_ms)
                    await self._store.transact(
                        [], [base.Put(key, value, lease)]
                    )
                    self._log.emit('registered', key=key, lease=lease)
                else:
                    await self._store.keep_lease(lease)
                if is_failing:
                    self._log.emit('registration-works', lease=lease)
                is_failing = False
                await trio.sleep(KEEP_MS / types.SECOND_MS)
            except errors.StoreError as exc:
                if not is_failing:
                    self._log.emit('registration-failed', error=str(exc))
                is_failing = True
                if exc.code is errors.ErrorCode.LEASE_LOST:
                    lease = None
                pause_ms = MAX_RETRY_MS * self._rng.uniform(0.5, 1.0)
                await trio.sleep(pause_ms / types.SECOND_MS)

    async def _read_all(self) -> types.Revision:
        snapshot = await self._store.read_snapshot('')
        self._note_contact()
        items = [
            item
            for entry in snapshot.entries
            if (item := self._decode_logged(entry.key, entry.value))
        ]
        grace_until_ms = None
        if self._has_read and self._is_returning():
            grace_until_ms = self._returned_ms + RETURN_GRACE_MS
        self._state.replace(items, grace_until_ms)
        self._has_read = True
        return snapshot.revision

    async def _watch_once(self, revision: types.Revision) -> types.Revision:
        changes, reached = await self._store.poll_changes('', revision)
        self._note_contact()
        now_ms = self._now_ms()
        is_crowd = now_ms - self._changed_ms < GATHER_WITHIN_MS
        if changes:
            self._changed_ms = now_ms
        for change in changes:
            value = change.entry.value if change.entry else None
            item = self._decode_logged(change.key, value)
            if item is not None:
                self._state.apply(item)
        if changes and is_crowd:
            await trio.sleep(GATHER_MS / types.SECOND_MS)
        return reached

    def _decode_logged(
        self, key: str, value: bytes | None
    ) -> model.Item | None:
        try:
            return self._decode(key, value)
        except ValueError as exc:
            self._log.emit('item-skipped', key=key, error=str(exc))
            return None

    def _is_returning(self) -> bool:
        return self._now_ms() - self._returned_ms < RETURN_GRACE_MS

    def _note_lost(self, exc: errors.StoreError) -> None:
        if self._lost_ms is None:
            self._lost_ms = self._now_ms()
            self._log.emit('store-lost', error=str(exc))

    def _note_contact(self) -> None:
        now_ms = self._now_ms()
        if self._lost_ms is not None:
            self._log.emit('store-regained', after_ms=now_ms - self._lost_ms)
            self._lost_ms = None
            self._returned_ms = now_ms
