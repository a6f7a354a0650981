"""Keeps in the store at which versions streams began, and looks it up."""

import dataclasses
import functools
import math
import secrets
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import restored_store
from foxtailpick.core.dispatch import rollout_records
from foxtailpick.core.dispatch import stream_origins
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import mirror as mirror_lib
from foxtailpick.gateway import store_layout

# Interval of the check whether versions have left.
CHECK_INTERVAL_MS = 5_000.0
# Pause before a version is added again after another router wrote.
RETRY_INTERVAL_MS = 20.0
# Spread of the first writes for a service, when all routers start at once.
FIRST_SPREAD_MS = 300.0
# Reads for a stream; the router that began it may write it after the first.
MAX_LOOKUPS = 2
# Time in which the store has to answer for a caller that waits. Most callers
# leave after two seconds.
LOOKUP_TIMEOUT_MS = 1_000.0
# Retry time of callers that another router may serve.
LOOKUP_RETRY_MS = 300.0
# A lease is used for new streams for this time.
LEASE_USE_MS = 20_000.0
# Longest lease that the store grants.
MAX_LEASE_MS = 600_000.0
PROCESS_ID_BYTES = 6


@dataclasses.dataclass(slots=True)
class _Part:
    """An item of the store with streams of this router.

    :param name: its name.
    :param granted_ms: when its lease was granted.
    :param lease: its lease, None before it was granted.
    :param begun: its streams.
    """

    name: str
    granted_ms: float = math.inf
    lease: types.LeaseId | None = None
    begun: model.Begun = dataclasses.field(default_factory=dict)

    def count_free(self, now_ms: float) -> int:
        """Return how many streams it takes up.

        :param now_ms: current time.
        """
        if now_ms - self.granted_ms >= LEASE_USE_MS:
            return 0
        held = stream_origins.count(self.begun)
        return max(0, stream_origins.MAX_PART_STREAMS - held)


class StreamKeeper:
    """Writes where streams began, and reads it for those taken up.

    :param gw: the gateway.
    :param mirror: calls the store.
    :param store: client of the store.
    :param layout: where the store keeps streams.
    :param is_hub: tells whether this router is the hub, or the only one.
    """

    def __init__(
        self,
        gw: context.Gateway,
        mirror: mirror_lib.Mirror,
        store: mirror_lib.Store,
        layout: store_layout.StoreLayout,
        is_hub: typing.Callable[[], bool],
    ) -> None:
        self._gw = gw
        self._mirror = mirror
        self._store = store
        self._layout = layout
        self._is_hub = is_hub
        # Items of an earlier process of this router have other names.
        self._process = secrets.token_hex(PROCESS_ID_BYTES)
        self._parts = 0
        self._era: types.Era | None = None
        self._entries: dict[str, base.Entry] = {}
        self._reading = trio.Lock()
        self._reads_begun = 0
        # Number of the last read that was finished.
        self._last_read = 0
        self._read_error: errors.StoreError | None = None
        self._has_several = trio.Event()

    async def run(self) -> None:
        """Keep versions and streams in the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_versions)
            nursery.start_soon(self._write_streams)

    async def look_up(
        self, request: types.RequestId | None, service: types.ServiceId
    ) -> stream_origins.Origin:
        """Return where a stream began that this router doesn't know.

        :param request: the attempt that brought its first event, if named.
        :param service: the service of the request that takes it up.
        :raises errors.RequestError: if it can't be found.
        """
        got = 'no answer of the store in time'
        is_answered = False
        try:
            if self._mirror.is_store_lost:
                got = 'a store that does not answer'
            else:
                with trio.move_on_after(LOOKUP_TIMEOUT_MS / types.SECOND_MS):
                    origin = await self._find(request, service)
                    if origin is not None:
                        return origin
                    is_answered = self._is_complete(service)
                    got = self._describe(service)
        except errors.StoreError as exc:
            got = exc.message
        gw = self._gw
        gw.metrics.count('streams_unknown')
        gw.log.emit_request(
            'stream-unknown',
            resumes=request,
            service=service,
            code=errors.ErrorCode.STREAM_UNKNOWN.value,
            why=got,
        )
        retry_ms = None
        if not is_answered:
            retry_ms = LOOKUP_RETRY_MS * gw.rng.uniform(0.6, 1.4)
        raise errors.RequestError(
            errors.ErrorCode.STREAM_UNKNOWN,
            f'expected the version that began the stream of {request} to '
            f'{service}, got {got}; '
            + ('begin a new stream' if is_answered else 'come back later'),
            retry_after_ms=retry_ms,
        )

    async def _find(
        self, request: types.RequestId | None, service: types.ServiceId
    ) -> stream_origins.Origin | None:
        gw = self._gw
        for lookup in range(MAX_LOOKUPS):
            if lookup:
                await trio.sleep(self._get_interval_ms() / types.SECOND_MS)
            await self._read_anew()
            origin = gw.streams.find(request)
            if origin is not None:
                return origin
            only = self._get_versions(service).find_only(
                self._list(service), self._store.era
            )
            if only is not None:
                return stream_origins.Origin(service, only)
        return None

    def _is_complete(self, service: types.ServiceId) -> bool:
        """Tell whether the store has all versions of a service."""
        versions = self._get_versions(service)
        return (
            versions.recorded is not None and versions.era == self._store.era
        )

    def _describe(self, service: types.ServiceId) -> str:
        recorded = self._get_versions(service).recorded
        if recorded is None:
            return 'no versions in the store'
        found = f'one of {sorted(recorded | set(self._list(service)))}'
        if self._is_complete(service):
            return found
        return f'{found} in a store that may lack others'

    def _get_versions(
        self, service: types.ServiceId
    ) -> stream_origins.ServiceVersions:
        return self._gw.stream_versions.setdefault(
            service, stream_origins.ServiceVersions()
        )

    def _list(self, service: types.ServiceId) -> list[types.Version]:
        """Return the versions of the service's endpoints that are listed."""
        return [
            item.entry.version
            for item in self._gw.state.table.list_all()
            if item.entry.service == service
        ]

    def _list_services(self) -> set[types.ServiceId]:
        """Return the services with streams that may be resumed."""
        cfg = self._gw.state.cfg
        return {
            target.service
            for route in (cfg.routes if cfg else ())
            if route.is_resumable
            for target in route.targets
        }

    def _get_interval_ms(self) -> float:
        return stream_origins.compute_write_interval_ms(
            self._gw.state.router_count, self._gw.cfg.writes_per_s
        )

    async def _read_anew(self) -> None:
        """Read everything; callers that wait share a read that began later.

        :raises errors.StoreError: if the store can't be read.
        """
        arrived = self._reads_begun
        async with self._reading:
            # A cancelled read isn't counted: its caller read nothing.
            if self._last_read <= arrived:
                self._reads_begun += 1
                number = self._reads_begun
                error: errors.StoreError | None = None
                try:
                    await self._read()
                except errors.StoreError as exc:
                    error = exc
                self._last_read = number
                self._read_error = error
            shared = self._read_error
        if shared is not None:
            raise shared

    async def _read(self) -> None:
        gw = self._gw
        gw.metrics.count('stream_version_reads')
        with mirror_lib.expect_well_formed():
            snapshot = await self._store.read_snapshot(
                self._layout.stream_prefix
            )
        before, self._entries = (
            self._entries,
            {entry.key: entry for entry in snapshot.entries},
        )
        # Others' streams are decoded once.
        changed = [
            entry
            for entry in snapshot.entries
            if entry.key not in before
            or before[entry.key].revision != entry.revision
            or entry.lease is None
        ]
        found: dict[types.ServiceId, model.StreamVersionsItem] = {}
        for item in self._mirror.decode_entries(
            base.Snapshot(changed, snapshot.position)
        ):
            if isinstance(item, model.BegunStreamsItem):
                gw.streams.record_read(item.begun, gw.now_ms())
            elif isinstance(item, model.StreamVersionsItem):
                found[item.service] = item
        for service in self._list_services() | gw.stream_versions.keys():
            versions = self._get_versions(service)
            known = found.get(service)
            versions.recorded = known.versions if known else None
            versions.era = known.era if known else None

    async def _keep_versions(self) -> None:
        """Add versions to the store before streams begin at them."""
        await self._mirror.call(self._read_anew)
        checked_ms = self._gw.now_ms()
        while True:
            changed = self._gw.state.endpoints_changed
            self._observe()
            missing = self._list_missing()
            if missing:
                if all(missing.values()):
                    # Another version serves meanwhile.
                    await self._wait_for_hub()
                else:
                    spread_ms = self._gw.rng.uniform(0.0, FIRST_SPREAD_MS)
                    await trio.sleep(spread_ms / types.SECOND_MS)
                await self._mirror.call(self._add_missing)
                await trio.sleep(RETRY_INTERVAL_MS / types.SECOND_MS)
                continue
            with trio.move_on_after(CHECK_INTERVAL_MS / types.SECOND_MS):
                await changed.wait()
            if self._gw.now_ms() - checked_ms >= CHECK_INTERVAL_MS:
                checked_ms = self._gw.now_ms()
                await self._forget_old()

    async def _forget_old(self) -> None:
        """Forget old streams, and bring the versions up to date."""
        self._gw.streams.expire(self._gw.now_ms())
        if self._list_retired() or self._list_incomplete():
            await self._wait_for_hub()
            await self._mirror.call(self._update_versions)

    async def _wait_for_hub(self) -> None:
        delay_ms = rollout_records.compute_write_delay_ms(
            self._is_hub(), self._gw.state.router_count, self._gw.rng
        )
        await trio.sleep(delay_ms / types.SECOND_MS)

    def _observe(self) -> None:
        now_ms = self._gw.now_ms()
        if self._era != self._store.era:
            # The store may lack what was written before its return.
            if self._era is not None:
                for versions in self._gw.stream_versions.values():
                    versions.recorded = None
                self._gw.streams.forget_written()
            self._era = self._store.era
        for service in self._list_services():
            listed = self._list(service)
            versions = self._get_versions(service)
            versions.observe(listed, now_ms)
            if versions.has_several(listed):
                self._has_several.set()

    def _list_missing(self) -> dict[types.ServiceId, bool]:
        """Return services with versions to add, and whether others are."""
        now_ms = self._gw.now_ms()
        return {
            service: bool(versions.recorded)
            for service in self._list_services()
            if (versions := self._get_versions(service)).list_missing(now_ms)
        }

    async def _add_missing(self) -> None:
        await self._read_anew()
        now_ms = self._gw.now_ms()
        for service in self._list_missing():
            versions = self._get_versions(service)
            missing = versions.list_missing(now_ms)
            known = versions.recorded or frozenset()
            await self._write_versions(service, known | missing, versions.era)

    def _list_retired(self) -> list[types.ServiceId]:
        return [
            service
            for service, versions in self._gw.stream_versions.items()
            if self._find_retired(versions)
        ]

    def _find_retired(
        self, versions: stream_origins.ServiceVersions
    ) -> frozenset[types.Version]:
        gw = self._gw
        return versions.list_retired(
            gw.streams.keep_ms, gw.started_ms, gw.now_ms()
        )

    def _list_incomplete(self) -> list[types.ServiceId]:
        """Return services whose versions are complete by now.

        Routers that knew more than a returned store have added it.
        """
        gw = self._gw
        since_ms = max(gw.started_ms, gw.state.restored_ms or -math.inf)
        if gw.now_ms() - since_ms < restored_store.REWRITE_MS:
            return []
        return [
            service
            for service, versions in gw.stream_versions.items()
            if versions.recorded is not None
            and versions.era != self._store.era
        ]

    async def _update_versions(self) -> None:
        await self._read_anew()
        incomplete = self._list_incomplete()
        for service in {*self._list_retired(), *incomplete}:
            versions = self._get_versions(service)
            known = versions.recorded or frozenset()
            left = known - self._find_retired(versions) or known
            era = self._store.era if service in incomplete else versions.era
            if left != known or era != versions.era:
                await self._write_versions(service, left, era)

    async def _write_versions(
        self,
        service: types.ServiceId,
        versions: frozenset[types.Version],
        era: types.Era | None,
    ) -> None:
        """Set the versions of a service, unless another router wrote."""
        key = self._layout.make_versions_key(service)
        entry = self._entries.get(key)
        revision = base.ABSENT if entry is None else entry.revision
        before = self._get_versions(service).recorded
        result = await self._store.transact(
            [base.Compare(key, revision)],
            [self._layout.encode_versions(service, versions, era)],
        )
        self._gw.metrics.count('stream_version_writes')
        self._gw.log.emit(
            'stream-versions',
            service=service,
            versions=sorted(versions),
            before=sorted(before or ()),
            era=era,
            applied=result.is_applied,
        )
        if result.is_applied:
            known = self._get_versions(service)
            known.recorded, known.era = versions, era

    async def _write_streams(self) -> None:
        """Write streams of services with several versions."""
        gw = self._gw
        part = self._open_part()
        while True:
            services = self._list_divided()
            if not services:
                self._has_several = trio.Event()
                await self._has_several.wait()
                continue
            if part.count_free(gw.now_ms()) == 0:
                part = self._open_part()
            begun = gw.streams.take_unwritten(
                services, part.count_free(gw.now_ms())
            )
            if begun:
                stream_origins.merge(part.begun, begun)
                write = functools.partial(self._write_part, part)
                if not await self._mirror.call(write):
                    gw.streams.forget_written()
                    part = self._open_part()
            await trio.sleep(self._get_interval_ms() / types.SECOND_MS)

    def _list_divided(self) -> set[types.ServiceId]:
        """Return the services with streams of several versions."""
        return {
            service
            for service, versions in self._gw.stream_versions.items()
            if versions.has_several(self._list(service))
        }

    def _open_part(self) -> _Part:
        self._parts += 1
        return _Part(f'{self._process}-{self._parts}')

    async def _write_part(self, part: _Part) -> bool:
        """Write a part; return False if its lease has ended."""
        gw = self._gw
        try:
            if part.lease is None:
                ttl_ms = gw.streams.keep_ms + 2 * LEASE_USE_MS
                part.granted_ms = gw.now_ms()
                part.lease = await self._store.grant_lease(
                    min(ttl_ms, MAX_LEASE_MS)
                )
            put = self._layout.encode_begun(
                gw.cfg.name, part.name, part.begun, part.lease
            )
            await self._store.transact([], [put])
        except errors.StoreError as exc:
            if exc.code is not errors.ErrorCode.LEASE_LOST:
                raise
            gw.log.emit('streams-lost', part=part.name, error=str(exc))
            return False
        gw.metrics.count('streams_begun_writes')
        return True
