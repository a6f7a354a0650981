"""Synchronizes the gateway state with the platform's store."""

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

# Backoff after a failed call. A configuration has to be in force 2 s after
# its acceptance, so a lost connection is replaced well within that time.
INITIAL_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 1_000.0
# For this long after an outage of the store, missing entries are taken for
# expired, not for removed.
REREGISTRATION_GRACE_MS = endpoint_table.REREGISTRATION_GRACE_MS
# The TTL allows for a few lost renewals. A shorter one would cost more calls;
# with a longer one, a router that is gone reduces the others' shares of the
# budgets for longer.
LEASE_TTL_MS = 8_000.0
LEASE_RENEWAL_INTERVAL_MS = 2_500.0

# In a burst, changes are collected for this long before the next poll, so
# that the start of all routers does not cost each router one call for each
# change. An isolated change is read without delay. The delay is well below
# the 2 s for which a draining endpoint may still be used.
BURST_DELAY_MS = 300.0
# Changes with a smaller gap between them are a burst.
BURST_GAP_MS = 1_000.0

Decode = typing.Callable[[str, bytes | None], model.Item | None]


class Store(typing.Protocol):
    """The calls of the store's client that the mirror uses."""

    async def read_snapshot(self, prefix: str) -> base.Snapshot:
        """Return everything under a prefix."""

    async def poll_changes(
        self, prefix: str, after: types.Revision
    ) -> tuple[list[base.Change], types.Revision]:
        """Wait for changes after a revision."""

    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        """Create a lease."""

    async def renew_lease(self, lease: types.LeaseId) -> None:
        """Renew a lease."""

    async def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> base.TxnResult:
        """Write if all conditions hold."""


class Mirror:
    """Watches the store and applies its content to the gateway state.

    :param store: client of the store.
    :param state: the state to update.
    :param decode: decodes an item of the store.
    :param now_ms: function that returns the current time.
    :param log: log of outages and recoveries of the store.
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
        self._lease_ttl_ms = max(LEASE_TTL_MS, min_lease_ms)
        self._store = store
        self._state = state
        self._decode = decode
        self._now_ms = now_ms
        self._log = log
        self._rng = rng
        self._outage_began_ms: float | None = None
        self._outage_ended_ms = -REREGISTRATION_GRACE_MS
        self._has_snapshot = False
        self._last_change_ms = -BURST_GAP_MS

    async def follow(self) -> None:
        """Read a snapshot, then poll for changes, until cancelled.

        Starts over with a snapshot after an error or lost history.
        """
        pause_ms = INITIAL_BACKOFF_MS
        revision: types.Revision | None = None
        while True:
            try:
                if revision is None:
                    revision = await self._read_snapshot()
                else:
                    revision = await self._poll_once(revision)
                pause_ms = INITIAL_BACKOFF_MS
            except errors.StoreError as exc:
                if exc.code is errors.ErrorCode.STORE_HISTORY_LOST:
                    self._log.emit('store-history-lost', after=revision)
                    revision = None
                    continue
                self._record_outage(exc)
                # The store may have discarded changes in the meantime.
                revision = None
                jitter = self._rng.uniform(0.5, 1.0)
                await trio.sleep(pause_ms * jitter / types.SECOND_MS)
                pause_ms = min(pause_ms * 2, MAX_BACKOFF_MS)

    async def register(self, key: str, value: bytes) -> None:
        """Register this router under a leased key and renew the lease.

        :param key: the key.
        :param value: the data for the other routers.
        """
        lease: types.LeaseId | None = None
        is_failing = False
        while True:
            try:
                if lease is None:
                    lease = await self._store.grant_lease(self._lease_ttl_ms)
                    await self._store.transact(
                        [], [base.Put(key, value, lease)]
                    )
                    self._log.emit('registered', key=key, lease=lease)
                else:
                    await self._store.renew_lease(lease)
                if is_failing:
                    self._log.emit('registration-works', lease=lease)
                is_failing = False
                await trio.sleep(LEASE_RENEWAL_INTERVAL_MS / types.SECOND_MS)
            except errors.StoreError as exc:
                if not is_failing:
                    self._log.emit('registration-failed', error=str(exc))
                is_failing = True
                if exc.code is errors.ErrorCode.LEASE_LOST:
                    lease = None
                else:
                    # A watch that waits throughout an outage does not fail,
                    # but endpoints' entries may expire in it.
                    self._record_outage(exc)
                pause_ms = MAX_BACKOFF_MS * self._rng.uniform(0.5, 1.0)
                await trio.sleep(pause_ms / types.SECOND_MS)

    async def _read_snapshot(self) -> types.Revision:
        snapshot = await self._store.read_snapshot('')
        self._record_contact()
        items = [
            item
            for entry in snapshot.entries
            if (item := self._decode_or_log(entry.key, entry.value))
        ]
        grace_until_ms = None
        if self._has_snapshot and self._is_recovering():
            grace_until_ms = self._outage_ended_ms + REREGISTRATION_GRACE_MS
        self._state.replace(items, grace_until_ms)
        self._has_snapshot = True
        return snapshot.revision

    async def _poll_once(self, revision: types.Revision) -> types.Revision:
        changes, reached = await self._store.poll_changes('', revision)
        self._record_contact()
        now_ms = self._now_ms()
        is_burst = now_ms - self._last_change_ms < BURST_GAP_MS
        if changes:
            self._last_change_ms = now_ms
        for change in changes:
            value = change.entry.value if change.entry else None
            item = self._decode_or_log(change.key, value)
            if item is not None:
                self._state.apply(item)
        if changes and is_burst:
            await trio.sleep(BURST_DELAY_MS / types.SECOND_MS)
        return reached

    def _decode_or_log(
        self, key: str, value: bytes | None
    ) -> model.Item | None:
        try:
            return self._decode(key, value)
        except ValueError as exc:
            self._log.emit('item-skipped', key=key, error=str(exc))
            return None

    def _is_recovering(self) -> bool:
        return self._now_ms() - self._outage_ended_ms < REREGISTRATION_GRACE_MS

    def _record_outage(self, exc: errors.StoreError) -> None:
        if self._outage_began_ms is None:
            self._outage_began_ms = self._now_ms()
            self._log.emit('store-lost', error=str(exc))

    def _record_contact(self) -> None:
        now_ms = self._now_ms()
        if self._outage_began_ms is not None:
            self._log.emit(
                'store-regained', after_ms=now_ms - self._outage_began_ms
            )
            self._outage_began_ms = None
            self._outage_ended_ms = now_ms
