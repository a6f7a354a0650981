"""Reconciles the known members with the platform's membership list."""

import collections
import dataclasses
import typing

from foxtailpick.adapters import base
from foxtailpick.core import member_chart
from foxtailpick.core import member_lifecycle
from foxtailpick.core import member_table
from foxtailpick.core import member_types
from foxtailpick.core import path_health
from foxtailpick.core import types

State = member_chart.MemberState
Trigger = member_chart.MemberTrigger
Reason = member_types.MemberReason


class MemberReconciler:
    """Applies membership lists to the known members.

    :param policy: times and thresholds.
    :param table: the known members.
    :param lifecycle: changes the states of members.
    """

    def __init__(
        self,
        policy: member_types.MembershipPolicy,
        table: member_table.MemberTable,
        lifecycle: member_lifecycle.MemberLifecycle,
    ) -> None:
        self._policy = policy
        self._table = table
        self._lifecycle = lifecycle

    def apply_listed(self, member: base.Member, now_ms: float) -> None:
        """Apply the entry of one member.

        :param member: the member as listed.
        :param now_ms: the current time.
        """
        record = self._table.get(member.endpoint)
        # Most entries are the same as in the previous list.
        if record and record.unlisted_since_ms is None:
            if record.listed == member:
                return
        is_new = (
            record is None or record.listed.incarnation != member.incarnation
        )
        if is_new and self._table.has_tombstone(
            member.endpoint, member.incarnation, now_ms
        ):
            return
        if record is None:
            record = self._lifecycle.add(member, member, now_ms)
        elif is_new and member.incarnation != record.member.incarnation:
            record = self._lifecycle.replace(
                record, member.incarnation, member, now_ms
            )
        record.listed = member
        record.unlisted_since_ms = None
        record.is_mass_unlisted = False
        self._update_member(record, member)
        self._lifecycle.fire(record, Trigger.RELISTED, Reason.LISTED, now_ms)
        if record.member.is_leaving:
            self._lifecycle.fire(record, Trigger.LEAVE, Reason.LEAVING, now_ms)

    def _update_member(
        self, record: member_table.MemberRecord, member: base.Member
    ) -> None:
        # A list may be older than the one read before it, so an
        # incarnation that was shown as leaving stays so.
        newer = dataclasses.replace(
            member,
            incarnation=record.member.incarnation,
            is_leaving=record.member.is_leaving or member.is_leaving,
        )
        if self._table.update_member(record, newer):
            self._lifecycle.version += 1

    def mark_unlisted(
        self, listed: typing.Collection[types.EndpointId], now_ms: float
    ) -> None:
        """Mark the members that are missing from a list.

        :param listed: the endpoints on the list.
        :param now_ms: the current time.
        """
        missing = [
            record
            for record in self._table
            if record.member.endpoint not in listed
        ]
        unlisted_counts = collections.Counter(
            record.location
            for record in missing
            if record.state is not State.LEAVING
        )
        for record in missing:
            self._mark_record_unlisted(
                record,
                self._is_mass_removal(record.location, unlisted_counts),
                now_ms,
            )

    def _mark_record_unlisted(
        self, record: member_table.MemberRecord, is_mass: bool, now_ms: float
    ) -> None:
        if record.unlisted_since_ms is None:
            record.unlisted_since_ms = now_ms
            record.is_mass_unlisted = is_mass
        reason = Reason.MANY_UNLISTED if is_mass else Reason.UNLISTED
        self._lifecycle.fire(record, Trigger.UNLISTED, reason, now_ms)

    def _is_mass_removal(
        self,
        location: path_health.Location,
        unlisted_counts: collections.Counter[path_health.Location],
    ) -> bool:
        kind = path_health.ScopeKind.DOMAIN
        size = self._table.count_members(kind, location)
        needed = self._policy.mass_fraction * size
        return unlisted_counts[location] >= max(
            needed, self._policy.mass_members
        )
