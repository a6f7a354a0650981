"""State changes of members: conditions, logging, probes and removal."""

import dataclasses

from loguru import logger

from foxtailpick.adapters import base
from foxtailpick.core import member_chart
from foxtailpick.core import member_prober
from foxtailpick.core import member_table
from foxtailpick.core import member_types
from foxtailpick.core import path_health
from foxtailpick.core import types

State = member_chart.MemberState
Trigger = member_chart.MemberTrigger
Reason = member_types.MemberReason

_OUTAGE_REASONS = {
    path_health.ScopeKind.DOMAIN: Reason.DOMAIN_UNREACHABLE,
    path_health.ScopeKind.REGION: Reason.REGION_UNREACHABLE,
}
_FAILURE_REASONS = {
    State.SUSPECT: Reason.FAILED_AGAIN,
    State.HELD: Reason.UNLISTED_AND_FAILED,
}


class MemberLifecycle:
    """Applies events to members; nothing else changes their state.

    :param policy: times and thresholds.
    :param table: the members.
    :param prober: schedules their probes.
    """

    def __init__(
        self,
        policy: member_types.MembershipPolicy,
        table: member_table.MemberTable,
        prober: member_prober.MemberProber,
    ) -> None:
        self._policy = policy
        self._table = table
        self._prober = prober
        self._state_machine = member_chart.MemberStateMachine()
        self._health = path_health.PathHealth(table.count_members)
        self.version = 0

    def find_outage(
        self, location: path_health.Location, now_ms: float
    ) -> path_health.ScopeKind | None:
        """Return the widest scope of a location that is unreachable."""
        return self._health.find_outage(location, now_ms)

    def record_answer(
        self, record: member_table.MemberRecord, now_ms: float
    ) -> None:
        """Record that a member answered."""
        record.last_answer_ms = now_ms
        outage_before = self.find_outage(record.location, now_ms)
        self._health.record_success(record.location, now_ms)
        if outage_before:
            self._end_outage(record.location, now_ms)
        self.fire(record, Trigger.ANSWERED, Reason.ANSWERED, now_ms)
        self._prober.schedule_after_answer(record, now_ms)

    def record_failure(
        self,
        record: member_table.MemberRecord,
        began_ms: float,
        now_ms: float,
    ) -> None:
        """Record that a member did not answer an attempt.

        :param record: the member.
        :param began_ms: when the attempt began.
        :param now_ms: the current time.
        """
        outage_before = self.find_outage(record.location, now_ms)
        endpoint = record.member.endpoint
        if outage_before or self._health.is_path_trusted(
            record.location, began_ms, now_ms
        ):
            self._health.record_failure(endpoint, record.location, now_ms)
        outage = self.find_outage(record.location, now_ms)
        if outage and not outage_before:
            self._begin_outage(record.location, outage, now_ms)
        record.last_failure_ms = now_ms
        record.last_failure_began_ms = began_ms
        reason = _FAILURE_REASONS.get(record.state, Reason.FAILED)
        if not self.fire(record, Trigger.FAILED, reason, now_ms):
            self._prober.schedule_after_failure(record, now_ms)

    def fire(
        self,
        record: member_table.MemberRecord,
        trigger: Trigger,
        reason: Reason,
        now_ms: float,
    ) -> bool:
        """Apply an event to a member.

        :param record: the member.
        :param trigger: the event.
        :param reason: the reason, for the log and the status.
        :param now_ms: the current time.
        :returns: whether its state changed.
        """
        before = record.state
        conditions = self._make_conditions(record, now_ms)
        record.state = self._state_machine.next_state(
            before, trigger, conditions
        )
        if record.state is before:
            return False
        record.reason = reason
        record.since_ms = now_ms
        self.version += 1
        _log_change(record, before)
        self._prober.schedule_on_entry(record, now_ms)
        if record.state is State.GONE:
            if before is State.LEAVING:
                self._table.add_tombstone(record.member, now_ms)
            self._remove(record)
        return True

    def add(
        self,
        member: base.Member,
        listed: base.Member,
        now_ms: float,
        reason: Reason = Reason.LISTED,
    ) -> member_table.MemberRecord:
        """Add a new member."""
        record = member_table.MemberRecord(member, listed, reason, now_ms)
        self._table.add(record)
        self.version += 1
        logger.info(
            'MEMBER {}/{} new. {}.',
            member.endpoint,
            member.incarnation,
            reason.value,
        )
        return record

    def replace(
        self,
        record: member_table.MemberRecord,
        incarnation: types.Incarnation,
        listed: base.Member,
        now_ms: float,
    ) -> member_table.MemberRecord:
        """Replace a member by another incarnation, without its history.

        :param record: the previous incarnation.
        :param incarnation: the new incarnation.
        :param listed: the member as listed.
        :param now_ms: the current time.
        """
        self._table.add_tombstone(record.member, now_ms)
        self._remove(record)
        member = dataclasses.replace(
            record.member, incarnation=incarnation, is_leaving=False
        )
        return self.add(member, listed, now_ms, Reason.REPLACED)

    def _make_conditions(
        self, record: member_table.MemberRecord, now_ms: float
    ) -> member_chart.MemberConditions:
        began_ms = max(record.last_failure_began_ms, record.last_answer_ms)
        return member_chart.MemberConditions(
            is_path_trusted=self._health.is_path_trusted(
                record.location, began_ms, now_ms
            ),
            is_list_trusted=not record.is_mass_unlisted,
            is_probation_over=now_ms >= record.probation_until_ms,
            is_list_staying=not record.member.is_leaving,
        )

    def _begin_outage(
        self,
        location: path_health.Location,
        scope: path_health.ScopeKind,
        now_ms: float,
    ) -> None:
        logger.warning(
            'MEMBER trouble in {}. No member of the {} answers; '
            'its members are avoided but not removed.',
            location.domain,
            scope.value,
        )
        self.version += 1
        # One answer ends the outage, so probing a few members limits a
        # false positive to about one round trip.
        candidates = [
            record
            for record in self._table
            if record.location == location and record.state is State.LISTED
        ]
        self._prober.schedule_sample(
            candidates, self._policy.mass_members, now_ms
        )

    def _end_outage(
        self, location: path_health.Location, now_ms: float
    ) -> None:
        logger.info('MEMBER trouble in {} is over.', location.domain)
        self.version += 1
        for record in self._table:
            if record.location == location and record.state is State.SUSPECT:
                self._prober.schedule_with_jitter(record, now_ms)

    def _remove(self, record: member_table.MemberRecord) -> None:
        self._table.remove(record)
        self._prober.cancel(record.member)
        self._health.remove(record.member.endpoint)


def make_status(
    record: member_table.MemberRecord, outage: path_health.ScopeKind | None
) -> member_types.MemberStatus:
    """Build the status of a member.

    :param record: the member.
    :param outage: the widest scope of its location that is unreachable.
    """
    reason = record.reason
    is_failing = record.last_failure_ms > record.last_answer_ms
    if not is_failing and outage in _OUTAGE_REASONS:
        reason = _OUTAGE_REASONS[outage]
    return member_types.MemberStatus(
        member=record.member,
        state=record.state,
        reason=reason,
        since_ms=record.since_ms,
        is_avoided=is_failing
        or record.state is State.SUSPECT
        or outage in _OUTAGE_REASONS,
    )


def _log_change(record: member_table.MemberRecord, before: State) -> None:
    logger.info(
        'MEMBER {}/{} {} -> {}. {}.',
        record.member.endpoint,
        record.member.incarnation,
        before.value,
        record.state.value,
        record.reason.value,
    )
