"""Table of the known members, with tombstones of old incarnations."""

import collections
import dataclasses
import functools
import typing

from foxtailpick.adapters import base
from foxtailpick.core import member_chart
from foxtailpick.core import member_types
from foxtailpick.core import path_health
from foxtailpick.core import types

_NEVER_MS = float('-inf')


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """State of one member.

    :param member: the member, with the incarnation last seen in traffic.
    :param listed: the member as last shown by the platform's list.
    :param reason: the reason for its state.
    :param since_ms: when it entered its state.
    :param state: its state.
    :param last_answer_ms: time of its last answer.
    :param last_failure_ms: time of its last failure.
    :param last_failure_began_ms: when the last failed attempt began.
    :param last_suspect_ms: when it last became suspect.
    :param backoff_ms: the current probe backoff.
    :param flaps: number of suspicions in quick succession.
    :param probation_until_ms: end of the time in which answers do not
        restore it.
    :param unlisted_since_ms: since when it is missing from the list, None
        if it is listed.
    :param is_mass_unlisted: whether it was unlisted together with a large
        part of its failure domain.
    """

    member: base.Member
    listed: base.Member
    reason: member_types.MemberReason
    since_ms: float
    state: member_chart.MemberState = member_chart.MemberState.LISTED
    last_answer_ms: float = _NEVER_MS
    last_failure_ms: float = _NEVER_MS
    last_failure_began_ms: float = _NEVER_MS
    last_suspect_ms: float = _NEVER_MS
    backoff_ms: float = 0.0
    flaps: int = 0
    probation_until_ms: float = _NEVER_MS
    unlisted_since_ms: float | None = None
    is_mass_unlisted: bool = False

    @property
    def location(self) -> path_health.Location:
        """Return where the member runs."""
        return _make_location(self.member.region, self.member.domain)


class MemberTable:
    """Records by endpoint, sizes of scopes, and tombstones.

    :param tombstone_ttl_ms: lifetime of a tombstone.
    """

    def __init__(self, tombstone_ttl_ms: float) -> None:
        self._tombstone_ttl_ms = tombstone_ttl_ms
        self._records: dict[types.EndpointId, MemberRecord] = {}
        self._sizes: collections.Counter[tuple[path_health.ScopeKind, str]] = (
            collections.Counter()
        )
        self._tombstone_expiry_ms: dict[
            tuple[types.EndpointId, types.Incarnation], float
        ] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> typing.Iterator[MemberRecord]:
        return iter(list(self._records.values()))

    def get(self, endpoint: types.EndpointId) -> MemberRecord | None:
        """Return a record, None if the endpoint is unknown."""
        return self._records.get(endpoint)

    def add(self, record: MemberRecord) -> None:
        """Add a record; its endpoint must not be in the table."""
        self._records[record.member.endpoint] = record
        self._count(record.member, 1)

    def remove(self, record: MemberRecord) -> None:
        """Remove a record."""
        del self._records[record.member.endpoint]
        self._count(record.member, -1)

    def update_member(self, record: MemberRecord, member: base.Member) -> bool:
        """Update the details of a member.

        :param record: the record.
        :param member: the new details.
        :returns: whether anything changed.
        """
        if member == record.member:
            return False
        self._count(record.member, -1)
        self._count(member, 1)
        record.member = member
        return True

    def add_tombstone(self, member: base.Member, now_ms: float) -> None:
        """Add a tombstone for an incarnation that was replaced or left.

        :param member: the member with this incarnation.
        :param now_ms: the current time.
        """
        key = (member.endpoint, member.incarnation)
        self._tombstone_expiry_ms[key] = now_ms + self._tombstone_ttl_ms

    def has_tombstone(
        self,
        endpoint: types.EndpointId,
        incarnation: types.Incarnation,
        now_ms: float,
    ) -> bool:
        """Tell whether an incarnation has a tombstone."""
        until_ms = self._tombstone_expiry_ms.get((endpoint, incarnation))
        return until_ms is not None and until_ms > now_ms

    def remove_expired_tombstones(self, now_ms: float) -> None:
        """Remove expired tombstones."""
        self._tombstone_expiry_ms = {
            key: until_ms
            for key, until_ms in self._tombstone_expiry_ms.items()
            if until_ms > now_ms
        }

    def count_members(
        self, kind: path_health.ScopeKind, location: path_health.Location
    ) -> int:
        """Return the number of members in a scope of a location."""
        return self._sizes[kind, _get_scope_name(kind, location)]

    def _count(self, member: base.Member, change: int) -> None:
        location = path_health.Location(member.region, member.domain)
        for kind in path_health.ScopeKind:
            self._sizes[kind, _get_scope_name(kind, location)] += change


# Members at the same location share one object.
@functools.lru_cache(maxsize=1_024)
def _make_location(
    region: types.RegionId, domain: types.FailureDomainId
) -> path_health.Location:
    return path_health.Location(region, domain)


def _get_scope_name(
    kind: path_health.ScopeKind, location: path_health.Location
) -> str:
    if kind is path_health.ScopeKind.DOMAIN:
        return location.domain
    if kind is path_health.ScopeKind.REGION:
        return location.region
    return ''
