"""Remembers at which version of its service each stream began.

Load pattern: endpoints of two versions serve a service side by side, and
endpoints and routers end while hundreds of streams are under way. Each of
them goes on at the version that began it, at another endpoint or through
another router, until its caller gives it up. Routers therefore write what
they began to the store, in parts of bounded size, once a service has more
than one version.
"""

import dataclasses
import math
import typing

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import short_ids
from foxtailpick.core import types

# Longest time for which a stream can be taken up, from its beginning.
MAX_KEEP_MS = 300_000.0
MIN_KEEP_MS = 15_000.0
# Streams in one item of the store; a full item is followed by another one.
MAX_PART_STREAMS = 256
# Streams that a router keeps; the oldest are forgotten first.
MAX_STREAMS = 100_000
# A version that has not been listed for this time, and as long as a stream
# can be taken up, is not in service any more.
RETIRE_MS = 60_000.0
# Versions that were listed within this time are added again in a store that
# lost them. Shorter, so that routers don't undo each other's retirements.
REPEAT_MS = RETIRE_MS / 2
# Interval between two writes of a router, and share of the writes which the
# store accepts that all routers together use for streams.
MIN_WRITE_INTERVAL_MS = 250.0
WRITE_SHARE = 0.25


class Origin(typing.NamedTuple):
    """Where a stream began.

    :param service: the service.
    :param version: version of the endpoint's software.
    """

    service: types.ServiceId
    version: types.Version


@dataclasses.dataclass(slots=True)
class _Stream:
    """A stream that can be taken up.

    :param origin: where it began.
    :param until_ms: until when it can be taken up.
    :param is_written: whether the store has it.
    """

    origin: Origin
    until_ms: float
    is_written: bool = False


class StreamOrigins:
    """The streams that began through a router, or that it read of."""

    def __init__(self) -> None:
        self._streams: dict[types.RequestId, _Stream] = {}
        self.keep_ms = MIN_KEEP_MS

    def __len__(self) -> int:
        return len(self._streams)

    def record(
        self,
        request: types.RequestId,
        origin: Origin,
        left_ms: float,
        now_ms: float,
    ) -> None:
        """Note that a stream has begun.

        :param request: the attempt that brings its first event.
        :param origin: where it began.
        :param left_ms: how long it can be taken up.
        :param now_ms: current time.
        """
        request = _shorten(request)
        if not request or request in self._streams:
            return
        left_ms = min(left_ms, MAX_KEEP_MS)
        self.keep_ms = max(self.keep_ms, left_ms)
        if len(self._streams) >= MAX_STREAMS:
            del self._streams[next(iter(self._streams))]
        self._streams[request] = _Stream(origin, now_ms + left_ms)

    def record_read(self, begun: model.Begun, now_ms: float) -> None:
        """Note streams that the store has.

        :param begun: the streams.
        :param now_ms: current time.
        """
        for service, versions in begun.items():
            for version, requests in versions.items():
                origin = Origin(service, version)
                for request in requests:
                    self._streams.setdefault(
                        _shorten(request),
                        _Stream(origin, now_ms + self.keep_ms, True),
                    )

    def find(self, request: types.RequestId | None) -> Origin | None:
        """Return where a stream began, None if that is not known.

        :param request: the attempt that brought its first event, if named.
        """
        if request is None:
            return None
        stream = self._streams.get(_shorten(request))
        return None if stream is None else stream.origin

    def take_unwritten(
        self, services: typing.Container[types.ServiceId], most: int
    ) -> model.Begun:
        """Return streams to write, which count as written from now on.

        :param services: the services whose streams are written.
        :param most: largest number of streams.
        """
        begun: model.Begun = {}
        count = 0
        for request, stream in self._streams.items():
            if count >= most:
                break
            if stream.is_written or stream.origin.service not in services:
                continue
            stream.is_written = True
            count += 1
            versions = begun.setdefault(stream.origin.service, {})
            versions.setdefault(stream.origin.version, []).append(request)
        return begun

    def forget_written(self) -> None:
        """Note that the store may have lost everything."""
        for stream in self._streams.values():
            stream.is_written = False

    def expire(self, now_ms: float) -> None:
        """Forget the streams that can't be taken up any more.

        :param now_ms: current time.
        """
        self._streams = {
            request: stream
            for request, stream in self._streams.items()
            if stream.until_ms > now_ms
        }


@dataclasses.dataclass(slots=True)
class ServiceVersions:
    """The versions of a service at which streams may have begun.

    :param recorded: those that the store has, None before it was read or if
        it has none.
    :param era: era of the store for which they are complete. A store that
        returned from an older copy may lack some until routers that know
        them have added them again.
    :param listed_ms: when endpoints of each version were last listed.
    """

    recorded: frozenset[types.Version] | None = None
    era: types.Era | None = None
    listed_ms: dict[types.Version, float] = dataclasses.field(
        default_factory=dict
    )

    def observe(
        self, listed: typing.Iterable[types.Version], now_ms: float
    ) -> None:
        """Note which versions are listed.

        :param listed: the versions of the service's endpoints.
        :param now_ms: current time.
        """
        self.listed_ms.update(dict.fromkeys(listed, now_ms))

    def list_missing(self, now_ms: float) -> frozenset[types.Version]:
        """Return the versions to add in the store.

        :param now_ms: current time.
        """
        current = {
            version
            for version, seen_ms in self.listed_ms.items()
            if now_ms - seen_ms < REPEAT_MS
        }
        return frozenset(current - (self.recorded or frozenset()))

    def list_retired(
        self, keep_ms: float, known_ms: float, now_ms: float
    ) -> frozenset[types.Version]:
        """Return the versions to take out in the store.

        :param keep_ms: how long streams can be taken up.
        :param known_ms: since when this router knows the endpoints.
        :param now_ms: current time.
        """
        oldest_ms = now_ms - max(RETIRE_MS, 2 * keep_ms)
        return frozenset(
            version
            for version in self.recorded or ()
            if max(known_ms, self.listed_ms.get(version, -math.inf))
            < oldest_ms
        )

    def find_only(
        self, listed: typing.Iterable[types.Version], era: types.Era | None
    ) -> types.Version | None:
        """Return the only version at which streams can have begun, if any.

        :param listed: versions of the endpoints that are listed now.
        :param era: era of the store.
        """
        if self.recorded is None or self.era != era:
            return None
        versions = self.recorded | set(listed)
        return next(iter(versions)) if len(versions) == 1 else None

    def has_several(self, listed: typing.Iterable[types.Version]) -> bool:
        """Tell whether the version of a stream has to be kept.

        :param listed: versions of the endpoints that are listed now.
        """
        return len((self.recorded or frozenset()) | set(listed)) > 1


def _shorten(request: types.RequestId) -> types.RequestId:
    return types.RequestId(short_ids.shorten(request))


def compute_write_interval_ms(routers: int, writes_per_s: float) -> float:
    """Return the shortest time between two writes of a router.

    :param routers: number of routers.
    :param writes_per_s: writes that the store accepts from all of them.
    """
    shared_ms = types.SECOND_MS * routers / (WRITE_SHARE * writes_per_s)
    return max(MIN_WRITE_INTERVAL_MS, shared_ms)


def merge(begun: model.Begun, more: model.Begun) -> None:
    """Add streams to others.

    :param begun: the streams to add to.
    :param more: the streams to add.
    """
    for service, versions in more.items():
        known = begun.setdefault(service, {})
        for version, requests in versions.items():
            known.setdefault(version, []).extend(requests)


def count(begun: model.Begun) -> int:
    """Return the number of streams.

    :param begun: the streams.
    """
    return sum(
        len(requests)
        for versions in begun.values()
        for requests in versions.values()
    )
