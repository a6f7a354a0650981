"""Distinguishes a dead member from a network path that is down.

A streak is the set of members of one scope that failed since the last
success in that scope. Scopes are a failure domain, a region and the whole
fleet. Several distinct members in a streak mean that the scope or the path
to it is down; a streak over the whole fleet means that this node itself is
isolated.
"""

import collections
import dataclasses
import enum
import typing

from foxtailpick.core import types

STREAK_WINDOW_MS = 60_000.0


class ScopeKind(enum.Enum):
    """Kind of scope, from narrow to wide."""

    DOMAIN = 'failure domain'
    REGION = 'region'
    FLEET = 'fleet'


# Minimum number of distinct members and of distinct failure domains in a
# streak for its scope to count as unreachable.
MIN_STREAK_MEMBERS = {
    ScopeKind.DOMAIN: 3,
    ScopeKind.REGION: 4,
    ScopeKind.FLEET: 6,
}
MIN_STREAK_DOMAINS = {
    ScopeKind.DOMAIN: 1,
    ScopeKind.REGION: 2,
    ScopeKind.FLEET: 2,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Region and failure domain of a member.

    :param region: the region.
    :param domain: the failure domain.
    """

    region: types.RegionId
    domain: types.FailureDomainId


_Scope = tuple[ScopeKind, str]


class PathHealth:
    """Failure streaks of all scopes.

    :param count_members: returns the number of members in a scope of a
        location.
    :param window_ms: age above which a failure is ignored.
    """

    def __init__(
        self,
        count_members: typing.Callable[[ScopeKind, Location], int],
        window_ms: float = STREAK_WINDOW_MS,
    ) -> None:
        self._count_members = count_members
        self._window_ms = window_ms
        self._streaks: dict[_Scope, _FailureStreak] = {}
        self._outage_ended_ms: dict[_Scope, float] = {}

    def record_failure(
        self, endpoint: types.EndpointId, location: Location, now_ms: float
    ) -> None:
        """Add a member to the streaks of its scopes.

        :param endpoint: the member that did not answer.
        :param location: its location.
        :param now_ms: the current time.
        """
        for scope in _list_scopes(location):
            streak = self._streaks.setdefault(scope, _FailureStreak())
            streak.add(endpoint, location.domain, now_ms)

    def record_success(self, location: Location, now_ms: float) -> None:
        """End the streaks of all scopes of a member that answered.

        :param location: the location of the member.
        :param now_ms: the current time.
        """
        for scope in _list_scopes(location):
            if self._is_unreachable(scope, location, now_ms):
                self._outage_ended_ms[scope] = now_ms
            self._streaks.pop(scope, None)

    def is_path_trusted(
        self, location: Location, began_ms: float, now_ms: float
    ) -> bool:
        """Tell whether a failed attempt is evidence against its member.

        It is not during an outage of one of its scopes, nor if the attempt
        began before the outage ended: it then failed because of the outage.

        :param location: the location of the member.
        :param began_ms: when the attempt began.
        :param now_ms: the current time.
        """
        ended_ms = max(
            self._outage_ended_ms.get(scope, began_ms)
            for scope in _list_scopes(location)
        )
        return began_ms >= ended_ms and not self.find_outage(location, now_ms)

    def remove(self, endpoint: types.EndpointId) -> None:
        """Remove a member from all streaks.

        :param endpoint: the member.
        """
        for streak in self._streaks.values():
            streak.discard(endpoint)

    def find_outage(
        self, location: Location, now_ms: float
    ) -> ScopeKind | None:
        """Return the widest unreachable scope of a location, None if none is.

        :param location: the location.
        :param now_ms: the current time.
        """
        for kind, name in reversed(_list_scopes(location)):
            if self._is_unreachable((kind, name), location, now_ms):
                return kind
        return None

    def _is_unreachable(
        self, scope: _Scope, location: Location, now_ms: float
    ) -> bool:
        streak = self._streaks.get(scope)
        if streak is None:
            return False
        streak.drop_older_than(now_ms - self._window_ms)
        kind = scope[0]
        size = self._count_members(kind, location)
        # A scope of one member never counts: there is no second failure to
        # compare with.
        needed = max(2, min(MIN_STREAK_MEMBERS[kind], size))
        return (
            len(streak) >= needed
            and streak.count_domains() >= MIN_STREAK_DOMAINS[kind]
        )


class _FailureStreak:
    """Failed members, ordered by their latest failure."""

    def __init__(self) -> None:
        self._failures: collections.OrderedDict[
            types.EndpointId, tuple[float, types.FailureDomainId]
        ] = collections.OrderedDict()
        self._domains: collections.Counter[types.FailureDomainId] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._failures)

    def add(
        self,
        endpoint: types.EndpointId,
        domain: types.FailureDomainId,
        now_ms: float,
    ) -> None:
        self.discard(endpoint)
        self._failures[endpoint] = (now_ms, domain)
        self._domains[domain] += 1

    def discard(self, endpoint: types.EndpointId) -> None:
        if endpoint in self._failures:
            _, domain = self._failures.pop(endpoint)
            self._domains[domain] -= 1
            if not self._domains[domain]:
                del self._domains[domain]

    def drop_older_than(self, oldest_ms: float) -> None:
        while self._failures:
            endpoint, (at_ms, _) = next(iter(self._failures.items()))
            if at_ms >= oldest_ms:
                return
            self.discard(endpoint)

    def count_domains(self) -> int:
        return len(self._domains)


def _list_scopes(location: Location) -> list[_Scope]:
    return [
        (ScopeKind.DOMAIN, location.domain),
        (ScopeKind.REGION, location.region),
        (ScopeKind.FLEET, ''),
    ]
