"""In-memory stand-in for the key-value store of the platform.

`KeyValueState` holds the data and the faults to inject. `MemoryKeyValue`
implements the adapter interface on it inside one process;
`foxtailpick.standins.etcd_server` serves the same state over HTTP.
"""

import collections
import contextlib
import dataclasses
import enum
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict

MAX_VALUE_BYTES = 1_000_000
WATCH_BUFFER_CHANGES = 1_000


class Call(enum.Enum):
    """A kind of call, for the call counters."""

    READ = 'read'
    WRITE = 'write'
    WATCH = 'watch'
    LEASE = 'lease'


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults to inject.

    :param is_down: whether every call fails; `take_down` also ends watches.
    :param delay_ms: delay of every call, in milliseconds.
    :param lost_replies: how many of the next writes take effect although
        their reply is lost.
    :param lost_requests: how many of the next writes are lost before they
        take effect; the caller cannot tell them from lost replies.
    """

    is_down: bool = False
    delay_ms: float = 0.0
    lost_replies: int = 0
    lost_requests: int = 0


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_ms: float
    ends_ms: float
    keys: set[str]


class KeyValueState:
    """The stored entries, leases, watches, counters and faults.

    :param read_ms: returns the current time in milliseconds.
    """

    def __init__(self, read_ms: typing.Callable[[], float]) -> None:
        self._read_ms = read_ms
        self._entries: dict[str, base.Entry] = {}
        self._leases: dict[types.LeaseId, _Lease] = {}
        self._changes: list[tuple[types.Revision, base.Change]] = []
        self._watchers: dict[trio.MemorySendChannel, str] = {}
        self._next_lease = 1
        self.revision = types.Revision(0)
        self.faults = Faults()
        self.calls: collections.Counter[Call] = collections.Counter()

    def read(self, key: str) -> base.Entry | None:
        """Return an entry, None if the key does not exist."""
        self.calls[Call.READ] += 1
        self._end_due_leases()
        return self._entries.get(key)

    def read_prefix(self, prefix: str) -> list[base.Entry]:
        """Return the entries under a prefix, sorted by key."""
        self.calls[Call.READ] += 1
        self._end_due_leases()
        return [
            self._entries[key]
            for key in sorted(self._entries)
            if key.startswith(prefix)
        ]

    def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> base.TxnResult:
        """Apply the writes if all compares hold.

        :param compares: keys with their expected revisions.
        :param writes: writes to apply, all or none.
        :raises errors.StoreError: if a value is too large or a lease has
            expired.
        """
        self.calls[Call.WRITE] += 1
        self._end_due_leases()
        self._check_writes(writes)
        if not all(self._is_met(compare) for compare in compares):
            found = [self._entries.get(item.key) for item in compares]
            current = tuple(entry for entry in found if entry)
            return base.TxnResult(False, self.revision, current)
        if writes:
            self.revision = types.Revision(self.revision + 1)
        for write in writes:
            self._apply(write)
        return base.TxnResult(True, self.revision)

    def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        """Create a lease.

        :param ttl_ms: its TTL.
        """
        self.calls[Call.LEASE] += 1
        lease = types.LeaseId(self._next_lease)
        self._next_lease += 1
        ends_ms = self._read_ms() + ttl_ms
        self._leases[lease] = _Lease(ttl_ms, ends_ms, set())
        return lease

    def renew_lease(self, lease: types.LeaseId) -> None:
        """Renew a lease for its TTL.

        :raises errors.StoreError: if it has expired.
        """
        self.calls[Call.LEASE] += 1
        self._end_due_leases()
        held = self._require_lease(lease)
        held.ends_ms = self._read_ms() + held.ttl_ms

    def revoke_lease(self, lease: types.LeaseId) -> None:
        """Revoke a lease and delete its keys."""
        self.calls[Call.LEASE] += 1
        if lease in self._leases:
            self._end_lease(lease)

    def add_watcher(
        self, prefix: str, after: types.Revision
    ) -> tuple[trio.MemorySendChannel, trio.MemoryReceiveChannel]:
        """Register a watcher and replay the changes after a revision."""
        self.calls[Call.WATCH] += 1
        send, receive = trio.open_memory_channel(WATCH_BUFFER_CHANGES)
        for revision, change in self._changes:
            if revision > after and change.key.startswith(prefix):
                send.send_nowait(change)
        self._watchers[send] = prefix
        return send, receive

    def remove_watcher(self, send: trio.MemorySendChannel) -> None:
        """Remove a watcher and close its channel."""
        self._watchers.pop(send, None)
        send.close()

    def take_down(self) -> None:
        """Start an outage: calls fail and open watches end."""
        self.faults.is_down = True
        for send in list(self._watchers):
            self.remove_watcher(send)

    def bring_up(self) -> None:
        """End an outage; stored entries are retained."""
        self.faults.is_down = False

    def _is_met(self, compare: base.Compare) -> bool:
        entry = self._entries.get(compare.key)
        found = entry.revision if entry else base.ABSENT
        return found == compare.revision

    def _check_writes(
        self, writes: typing.Sequence[base.Put | base.Delete]
    ) -> None:
        for write in writes:
            if isinstance(write, base.Delete):
                continue
            if len(write.value) > MAX_VALUE_BYTES:
                raise errors.StoreError(
                    errors.ErrorCode.STORE_REFUSED,
                    f'expected at most {MAX_VALUE_BYTES} bytes under '
                    f'{write.key}, got {len(write.value)}; split the value',
                )
            if write.lease is not None:
                self._require_lease(write.lease)

    def _apply(self, write: base.Put | base.Delete) -> None:
        old = self._entries.pop(write.key, None)
        if old and old.lease in self._leases:
            self._leases[old.lease].keys.discard(write.key)
        if isinstance(write, base.Delete):
            if old:
                self._publish(base.Change(write.key, None))
            return
        entry = base.Entry(write.key, write.value, self.revision, write.lease)
        self._entries[write.key] = entry
        if write.lease is not None:
            self._leases[write.lease].keys.add(write.key)
        self._publish(base.Change(write.key, entry))

    def _publish(self, change: base.Change) -> None:
        self._changes.append((self.revision, change))
        for send, prefix in list(self._watchers.items()):
            if not change.key.startswith(prefix):
                continue
            try:
                send.send_nowait(change)
            except (trio.WouldBlock, trio.BrokenResourceError):
                self.remove_watcher(send)

    def _require_lease(self, lease: types.LeaseId) -> _Lease:
        if lease not in self._leases:
            raise errors.StoreError(
                errors.ErrorCode.LEASE_LOST,
                f'expected a live lease, got {lease}, which has ended; '
                f'grant a new one',
            )
        return self._leases[lease]

    def _end_due_leases(self) -> None:
        now_ms = self._read_ms()
        due = [
            lease
            for lease, held in self._leases.items()
            if held.ends_ms <= now_ms
        ]
        for lease in due:
            self._end_lease(lease)

    def _end_lease(self, lease: types.LeaseId) -> None:
        held = self._leases.pop(lease)
        self.revision = types.Revision(self.revision + 1)
        for key in sorted(held.keys):
            self._apply(base.Delete(key))


class MemoryKeyValue(base.KeyValue):
    """Key-value adapter over a state in the same process.

    :param state: the shared data and the faults to inject.
    """

    def __init__(self, state: KeyValueState) -> None:
        self._state = state

    async def get(self, key: str) -> base.Entry | None:
        await self._apply_faults()
        return self._state.read(key)

    async def get_prefix(self, prefix: str) -> list[base.Entry]:
        await self._apply_faults()
        return self._state.read_prefix(prefix)

    async def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> base.TxnResult:
        await self._apply_faults()
        faults = self._state.faults
        if faults.lost_requests > 0:
            faults.lost_requests -= 1
            raise _make_unknown_error()
        result = self._state.transact(compares, writes)
        if faults.lost_replies > 0:
            faults.lost_replies -= 1
            raise _make_unknown_error()
        return result

    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        await self._apply_faults()
        return self._state.grant_lease(ttl_ms)

    async def renew_lease(self, lease: types.LeaseId) -> None:
        await self._apply_faults()
        self._state.renew_lease(lease)

    async def revoke_lease(self, lease: types.LeaseId) -> None:
        await self._apply_faults()
        self._state.revoke_lease(lease)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, after: types.Revision
    ) -> typing.AsyncIterator[typing.AsyncIterator[base.Change]]:
        await self._apply_faults()
        send, receive = self._state.add_watcher(prefix, after)
        try:
            yield _iterate_changes(receive)
        finally:
            self._state.remove_watcher(send)

    async def _apply_faults(self) -> None:
        delay_ms = self._state.faults.delay_ms
        if delay_ms > 0:
            await trio.sleep(delay_ms / types.SECOND_MS)
        else:
            await trio.lowlevel.checkpoint()
        if self._state.faults.is_down:
            raise errors.StoreError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                'expected an answer, got none; the store is down, try later',
            )


async def _iterate_changes(
    receive: trio.MemoryReceiveChannel,
) -> typing.AsyncIterator[base.Change]:
    async for change in receive:
        yield change
    raise errors.StoreError(
        errors.ErrorCode.STORE_UNAVAILABLE,
        'expected the watch to go on, but it ended; open it again',
    )


def _make_unknown_error() -> errors.StoreError:
    return errors.StoreError(
        errors.ErrorCode.STORE_OUTCOME_UNKNOWN,
        'expected a reply to a write, got none; read the key back',
        verdict.Verdict.MAY_HAVE_RUN,
    )
