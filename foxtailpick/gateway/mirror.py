"""Synchronizes the gateway state with the platform's store."""

import contextlib
import dataclasses
import math
import random
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import item_check
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import store_pacing
from foxtailpick.core.dispatch import store_progress
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import state as state_lib
from foxtailpick.gateway import store_layout

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
LEASE_TTL_MS = 12_000.0
LEASE_RENEWAL_INTERVAL_MS = 3_500.0
# After the store was restored from a copy, all routers register again within
# this time.
REGISTRATION_SPREAD_MS = 500.0
# A list of routers that was read this long after a registration contains it,
# though it may be some seconds old.
REGISTRATION_VISIBLE_MS = 5_000.0

_T = typing.TypeVar('_T')


class Store(typing.Protocol):
    """The calls of the store's client that the mirror uses.

    :param era: latest era that the store stated, if any.
    """

    era: types.Era | None

    async def get(self, key: str) -> base.Entry | None:
        """Return an entry, None if there is none."""

    async def read_snapshot(
        self, prefix: str, is_stale_ok: bool = False
    ) -> base.Snapshot:
        """Return everything under a prefix."""

    async def poll_changes(
        self, prefix: str, after: base.Position, wait_ms: float
    ) -> tuple[list[base.Change], base.Position]:
        """Wait for changes after a position."""

    def is_receiving(self, prefix: str) -> bool:
        """Tell whether the reply to a watch has begun."""

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


@dataclasses.dataclass(slots=True)
class _Outage:
    """An outage of the store.

    :param began_ms: time of the first failed call.
    :param pause_ms: longest pause before the next call.
    :param is_probed: whether a task is going to call the store again.
    :param ended: set by the first call that succeeds.
    """

    began_ms: float
    pause_ms: float = INITIAL_BACKOFF_MS
    is_probed: bool = False
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)


@dataclasses.dataclass(slots=True, eq=False)
class _Watch:
    """A watch that waits for changes.

    :param prefix: key prefix of the items.
    :param position: position after which it waits.
    :param scope: cancel scope of its call.
    :param is_overdue: whether it has to be asked at once.
    """

    prefix: str
    position: base.Position
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    is_overdue: bool = False


@contextlib.contextmanager
def expect_well_formed() -> typing.Iterator[None]:
    """Treat a reply of an unexpected form like a failed call.

    :raises errors.StoreError: if a field is missing or of another type.
    """
    try:
        yield
    except (AttributeError, LookupError, TypeError, ValueError) as exc:
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f'expected a well-formed reply from the store, reading it failed '
            f'with {exc!r:.200}; retry later',
        ) from exc


class Mirror:
    """Watches the store and applies its content to the gateway state.

    :param store: client of the store.
    :param state: the state to update.
    :param layout: where the store keeps what a router reads.
    :param now_ms: function that returns the current time.
    :param log: log of outages and recoveries of the store.
    :param rng: source of random numbers.
    :param min_lease_ms: shortest lease that the store grants.
    :param change_gap_ms: shortest time between two reads of changes.
    :param history_ms: how long the store keeps the history of changes.
    :param change_bound_ms: shortest time in which a change has to be in
        force.
    """

    def __init__(
        self,
        store: Store,
        state: state_lib.GatewayState,
        layout: store_layout.StoreLayout,
        now_ms: typing.Callable[[], float],
        log: decision_log.DecisionLog,
        rng: random.Random,
        min_lease_ms: float = 0.0,
        change_gap_ms: float = 0.0,
        history_ms: float = math.inf,
        change_bound_ms: float = 2_000.0,
    ) -> None:
        self._lease_ttl_ms = max(LEASE_TTL_MS, min_lease_ms)
        self._change_gap_ms = change_gap_ms
        self._history_ms = history_ms
        self._change_bound_ms = change_bound_ms
        self._store = store
        self._state = state
        self._layout = layout
        self._now_ms = now_ms
        self._log = log
        self._rng = rng
        self._outage: _Outage | None = None
        self._outage_ended_ms = -REREGISTRATION_GRACE_MS
        self._waiting: set[_Watch] = set()
        self._is_probed = False
        self._outage_began = trio.Event()
        self._progress = store_progress.StoreProgress(
            change_gap_ms + store_pacing.PROBE_SHARE * change_bound_ms
        )
        self._has_endpoints = False
        self._restored_era: types.Era | None = None
        self._restored = trio.Event()
        self._own_key: str | None = None
        self._registered_ms = 0.0
        # Whether a list of routers lacked this one though it is registered.
        self._is_unlisted = False

    async def run(self, key: str, value: bytes) -> None:
        """Follow the store and stay registered in it, until cancelled.

        :param key: the key of this router.
        :param value: the data for the other routers.
        """
        layout = self._layout
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self.follow,
                layout.operator_prefix,
                self._state.replace_operator_items,
            )
            nursery.start_soon(
                self.follow, layout.endpoint_prefix, self._replace_endpoints
            )
            nursery.start_soon(self.list_routers)
            nursery.start_soon(self.register, key, value)
            nursery.start_soon(self.probe, key)

    @property
    def is_store_lost(self) -> bool:
        """Whether the latest call of the store failed."""
        return self._outage is not None

    async def call(
        self, make_calls: typing.Callable[[], typing.Awaitable[_T]]
    ) -> _T:
        """Call the store until it answers.

        :param make_calls: makes the calls, at least one each time.
        :returns: their result.
        """
        while True:
            began_ms = self._now_ms()
            try:
                with expect_well_formed():
                    result = await make_calls()
            except errors.StoreError as exc:
                if exc.code is errors.ErrorCode.STORE_RESTORED:
                    self._record_restored()
                else:
                    # The others may be waiting for this task's next call.
                    await self._back_off(exc, began_ms)
                continue
            self._record_contact()
            return result

    async def follow(
        self,
        prefix: str,
        replace: typing.Callable[[typing.Sequence[model.Item]], None],
        is_needed: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        """Read a snapshot, then watch for changes, until cancelled.

        While it falls behind the changes, it reads the items themselves.
        Starts over with a snapshot after an error, lost history, or the
        return of the store from an older copy.

        :param prefix: key prefix of the items.
        :param replace: replaces the state by the items of a snapshot.
        :param is_needed: tells whether to go on, asked after each response.
        """
        position: base.Position | None = None
        keys: set[str] = set()
        is_behind = False
        restarts = 0
        while is_needed():
            began_ms = self._now_ms()
            try:
                if position is None:
                    is_behind = False
                    with expect_well_formed():
                        snapshot = await self._store.read_snapshot(prefix)
                    self._record_contact()
                    replace(self.decode_entries(snapshot))
                    position = snapshot.position
                    keys = {entry.key for entry in snapshot.entries}
                    continue
                if is_behind:
                    changes, position = await self._read_newest(
                        prefix, keys, position
                    )
                    is_behind = bool(changes)
                else:
                    polled = await self._poll_once(prefix, position)
                    if polled is None:
                        position = None
                        continue
                    changes, position = polled
                    is_behind = store_pacing.is_falling_behind(changes)
                restarts = 0
                self._apply_changes(changes, keys)
                if changes:
                    await trio.sleep(self._change_gap_ms / types.SECOND_MS)
            except errors.StoreError as exc:
                # The store may have discarded changes in the meantime.
                position = None
                if exc.code is errors.ErrorCode.STORE_RESTORED:
                    self._record_restored()
                elif exc.code is errors.ErrorCode.STORE_HISTORY_LOST:
                    self._log.emit('store-history-lost', prefix=prefix)
                else:
                    await self._back_off(exc, began_ms)
                    continue
                if restarts:
                    # The position of a new snapshot was refused as well.
                    await trio.sleep(INITIAL_BACKOFF_MS / types.SECOND_MS)
                restarts += 1

    async def list_routers(self) -> None:
        """Read the list of routers at intervals, until cancelled.

        Until the first list a router takes itself for the only one, and its
        share of each budget is too large.
        """
        reads = 0
        is_known = False
        while True:
            delay_ms = store_pacing.compute_list_delay_ms(
                reads, self._state.router_count, self._rng
            )
            await trio.sleep(delay_ms / types.SECOND_MS)
            reads += 1
            began_ms = self._now_ms()
            try:
                with expect_well_formed():
                    snapshot = await self._store.read_snapshot(
                        self._layout.router_prefix, is_stale_ok=True
                    )
            except errors.StoreError as exc:
                if exc.code is errors.ErrorCode.STORE_RESTORED:
                    self._record_restored()
                self._log.emit('routers-not-read', error=str(exc))
                if not is_known:
                    reads = min(reads, store_pacing.FIRST_LISTS - 1)
                continue
            for entry in snapshot.entries:
                self._progress.record_report(entry.revision)
            self._state.replace_routers(self.decode_entries(snapshot))
            self._check_registration(snapshot, began_ms)
            is_known = True

    def _check_registration(
        self, snapshot: base.Snapshot, began_ms: float
    ) -> None:
        """Note whether a list of routers lacks the registered key.

        A write that was done late may have put the key under an earlier
        lease, which nobody renews.
        """
        if self._own_key is None:
            return
        if began_ms - self._registered_ms < REGISTRATION_VISIBLE_MS:
            return
        keys = {entry.key for entry in snapshot.entries}
        self._is_unlisted = self._own_key not in keys

    async def register(self, key: str, value: bytes) -> None:
        """Register this router under a leased key and renew the lease.

        :param key: the key.
        :param value: the data for the other routers.
        """
        lease: types.LeaseId | None = None
        is_failing = False
        while True:
            began_ms = self._now_ms()
            if self._is_unlisted:
                self._log.emit('registration-lost', key=key, lease=lease)
                lease = None
            try:
                if lease is None:
                    with expect_well_formed():
                        granted = await self._store.grant_lease(
                            self._lease_ttl_ms
                        )
                        await self._store.transact(
                            [], [base.Put(key, value, granted)]
                        )
                    # Set only now: a lease without the key is of no use.
                    lease = granted
                    self._own_key = key
                    self._registered_ms = self._now_ms()
                    self._is_unlisted = False
                    self._log.emit('registered', key=key, lease=lease)
                else:
                    await self._store.renew_lease(lease)
                self._record_contact()
                if is_failing:
                    self._log.emit('registration-works', lease=lease)
                is_failing = False
                with trio.move_on_after(
                    LEASE_RENEWAL_INTERVAL_MS / types.SECOND_MS
                ):
                    await self._restored.wait()
                    await self._delay_registration()
            except errors.StoreError as exc:
                if exc.code is errors.ErrorCode.STORE_RESTORED:
                    self._record_restored()
                    lease = None
                    await self._delay_registration()
                    continue
                if not is_failing:
                    self._log.emit('registration-failed', error=str(exc))
                is_failing = True
                if exc.code is errors.ErrorCode.LEASE_LOST:
                    lease = None
                    await trio.sleep(INITIAL_BACKOFF_MS / types.SECOND_MS)
                else:
                    # A watch that waits throughout an outage does not fail,
                    # but endpoints' entries may expire in it.
                    await self._back_off(exc, began_ms)

    async def probe(self, key: str) -> None:
        """Compare the watches with the store at intervals, until cancelled.

        A reply may be lost, so that no probe waits for the one before. In an
        outage the other tasks wait for a probe that succeeds.

        :param key: any key; what it contains is not used.
        """
        self._is_probed = True
        async with trio.open_nursery() as nursery:
            while True:
                interval_ms = store_pacing.compute_probe_interval_ms(
                    self._change_bound_ms, self._rng
                )
                with trio.move_on_after(interval_ms / types.SECOND_MS):
                    await self._outage_began.wait()
                    pause_ms = INITIAL_BACKOFF_MS * self._rng.uniform(0.5, 1.0)
                    await trio.sleep(pause_ms / types.SECOND_MS)
                nursery.start_soon(self._probe_once, key)

    async def _probe_once(self, key: str) -> None:
        began_ms = self._now_ms()
        try:
            with expect_well_formed():
                # Old copies may be read in an outage as well.
                snapshot = await self._store.read_snapshot(
                    key, is_stale_ok=self._outage is None
                )
        except errors.StoreError as exc:
            if exc.code is errors.ErrorCode.STORE_RESTORED:
                self._record_restored()
            elif not self._is_outdated(began_ms):
                self._log.emit('store-call-failed', error=str(exc))
                self._record_outage(exc)
            return
        self._record_contact()
        now_ms = self._now_ms()
        self._progress.record_probe(snapshot.position.revision, now_ms)
        for watch in self._waiting:
            # The transfer of a large change may take longer.
            if self._progress.is_overdue(
                watch.position, now_ms
            ) and not self._store.is_receiving(watch.prefix):
                watch.is_overdue = True
                watch.scope.cancel()

    async def _delay_registration(self) -> None:
        spread_ms = self._rng.uniform(0.0, REGISTRATION_SPREAD_MS)
        await trio.sleep(spread_ms / types.SECOND_MS)

    def _replace_endpoints(self, items: typing.Sequence[model.Item]) -> None:
        grace_until_ms = self._outage_ended_ms + REREGISTRATION_GRACE_MS
        is_recovering = self._now_ms() < grace_until_ms
        self._state.replace_endpoints(
            items,
            grace_until_ms if self._has_endpoints and is_recovering else None,
        )
        self._has_endpoints = True

    async def _read_newest(
        self, prefix: str, keys: typing.Set[str], position: base.Position
    ) -> tuple[list[base.Change], base.Position]:
        """Return the newest changes after a position, read from the items.

        :param prefix: key prefix of the items.
        :param keys: keys of the items at the position.
        :param position: the position.
        """
        with expect_well_formed():
            snapshot = await self._store.read_snapshot(prefix)
        self._record_contact()
        listed = {entry.key for entry in snapshot.entries}
        changes = [base.Change(key, None) for key in sorted(keys - listed)]
        changes.extend(
            base.Change(entry.key, entry)
            for entry in snapshot.entries
            if entry.revision > position.revision
        )
        return changes, snapshot.position

    def _apply_changes(
        self, changes: typing.Sequence[base.Change], keys: set[str]
    ) -> None:
        for change in changes:
            if change.revision is not None:
                self._progress.record_report(change.revision)
            keys.add(change.key)
            if change.entry is None:
                keys.discard(change.key)
            item = self._decode_or_log(change.key, change.entry)
            if item is not None:
                self._state.apply(item)

    async def _poll_once(
        self, prefix: str, position: base.Position
    ) -> tuple[list[base.Change], base.Position] | None:
        """Wait for changes; None if everything has to be read again."""
        wait_ms = store_pacing.compute_watch_ms(self._history_ms, self._rng)
        watch = _Watch(prefix, position)
        with watch.scope:
            self._waiting.add(watch)
            try:
                with expect_well_formed():
                    changes, reached = await self._store.poll_changes(
                        prefix, position, wait_ms
                    )
            finally:
                self._waiting.discard(watch)
        if watch.scope.cancelled_caught and watch.is_overdue:
            return await self._check_at_once(prefix, position)
        if watch.scope.cancelled_caught:
            # Asked anew from its position, the store might accept the watch
            # and then drop its history without a word.
            if self._outage is not None:
                await self._outage.ended.wait()
                pause_ms = INITIAL_BACKOFF_MS * self._rng.uniform(0.5, 1.0)
                await trio.sleep(pause_ms / types.SECOND_MS)
            return None
        self._record_contact()
        return changes, reached

    async def _check_at_once(
        self, prefix: str, position: base.Position
    ) -> tuple[list[base.Change], base.Position]:
        """Return the changes that a watch should have reported, if any."""
        with expect_well_formed():
            changes, reached = await self._store.poll_changes(
                prefix, position, store_pacing.CHECK_WAIT_MS
            )
        self._record_contact()
        if changes:
            self._log.emit(
                'store-watch-forgotten',
                prefix=prefix,
                after=position.revision,
                changes=len(changes),
            )
        return changes, reached

    def decode_entries(self, snapshot: base.Snapshot) -> list[model.Item]:
        """Decode the entries of a snapshot; invalid ones are left out."""
        return [
            item
            for entry in snapshot.entries
            if (item := self._decode_or_log(entry.key, entry))
        ]

    def _decode_or_log(
        self, key: str, entry: base.Entry | None
    ) -> model.Item | None:
        value, revision = None, base.ABSENT
        if entry is not None:
            value, revision = entry.value, entry.revision
        try:
            item = self._layout.decode(key, value, revision)
            item_check.check_item(item)
            return item
        except Exception as exc:
            # Other writers may leave values of any kind, and decoding them
            # raises errors of many types.
            self._log.emit('item-skipped', key=key, error=f'{exc!r:.200}')
            return None

    async def _back_off(self, exc: errors.StoreError, began_ms: float) -> None:
        """Wait until the store may be called again after a failed call.

        During an outage one task calls it, the others wait for its success.

        :param exc: the failure.
        :param began_ms: when the call began.
        """
        self._log.emit('store-call-failed', error=str(exc))
        if self._is_outdated(began_ms):
            return
        outage = self._record_outage(exc)
        if outage.is_probed:
            await outage.ended.wait()
            return
        outage.is_probed = True
        pause_ms = outage.pause_ms * self._rng.uniform(0.5, 1.0)
        outage.pause_ms = min(outage.pause_ms * 2, MAX_BACKOFF_MS)
        await trio.sleep(pause_ms / types.SECOND_MS)
        outage.is_probed = False

    def _record_outage(self, exc: errors.StoreError) -> _Outage:
        if self._outage is None:
            self._outage = _Outage(self._now_ms(), is_probed=self._is_probed)
            self._log.emit('store-lost', error=str(exc))
            # The store may have forgotten watches that wait.
            for watch in self._waiting:
                watch.is_overdue = False
                watch.scope.cancel()
            self._outage_began.set()
            self._outage_began = trio.Event()
        return self._outage

    def _is_outdated(self, began_ms: float) -> bool:
        """Tell whether a failed call belongs to an outage that has ended.

        :param began_ms: when the call began.
        """
        return self._outage is None and began_ms < self._outage_ended_ms

    def _record_restored(self) -> None:
        """React once to the return of the store from an older copy."""
        self._record_contact()
        era = self._store.era
        if era == self._restored_era:
            return
        self._restored_era = era
        self._log.emit('store-restored', era=era)
        self._outage_ended_ms = self._now_ms()
        self._progress.clear()
        self._state.record_restored_store()
        # Their positions belong to the era before.
        for watch in self._waiting:
            watch.is_overdue = False
            watch.scope.cancel()
        self._restored.set()
        self._restored = trio.Event()

    def _record_contact(self) -> None:
        outage = self._outage
        if outage is None:
            return
        now_ms = self._now_ms()
        self._log.emit('store-regained', after_ms=now_ms - outage.began_ms)
        self._outage = None
        self._outage_ended_ms = now_ms
        outage.ended.set()
