"""The members as a router sees them: the platform's list and its traffic.

The list lags and flaps, and may lose many members at once. Traffic is
fresh but sparse, and a broken path looks like many dead members. Neither
removes a member alone while the other speaks for it.
"""

import functools
import random
import typing

from loguru import logger

from foxtailpick.adapters import base
from foxtailpick.core import invariants
from foxtailpick.core import member_chart
from foxtailpick.core import member_intake
from foxtailpick.core import member_lifecycle
from foxtailpick.core import member_prober
from foxtailpick.core import member_table
from foxtailpick.core import member_types
from foxtailpick.core import path_health
from foxtailpick.core import probe_schedule
from foxtailpick.core import types

State = member_chart.MemberState
Trigger = member_chart.MemberTrigger
Reason = member_types.MemberReason

_USABLE = frozenset({State.LISTED, State.SUSPECT, State.HELD})
_DRAINED = frozenset({types.EndpointState.DRAINING, types.EndpointState.GONE})


class MembershipView:
    """What one router holds of all members.

    :param monitor: checks that a leaving member is not offered.
    :param rng: spreads probes.
    :param policy: times and thresholds.
    """

    def __init__(
        self,
        monitor: invariants.Monitor,
        rng: random.Random,
        policy: member_types.MembershipPolicy | None = None,
    ) -> None:
        self._monitor = monitor
        self._policy = policy or member_types.MembershipPolicy()
        self._table = member_table.MemberTable(self._policy.past_hold_ms)
        self._prober = member_prober.MemberProber(
            self._policy, rng, probe_schedule.ProbeSchedule()
        )
        self._lifecycle = member_lifecycle.MemberLifecycle(
            self._policy, self._table, self._prober
        )
        self._intake = member_intake.MemberIntake(
            self._policy, self._table, self._lifecycle
        )
        self._is_list_usable = True

    @property
    def version(self) -> int:
        """Return a number that grows with each change of the members."""
        return self._lifecycle.version

    def on_list(
        self, members: typing.Iterable[base.Member], now_ms: float
    ) -> None:
        """Take over the platform's list.

        :param members: the list as read.
        :param now_ms: the current time.
        """
        listed = {member.endpoint: member for member in members}
        if not listed and len(self._table):
            self.on_list_failed('it came empty', now_ms)
            return
        self._is_list_usable = True
        for member in listed.values():
            self._intake.take_listed(member, now_ms)
        self._intake.drop_unlisted(listed.keys(), now_ms)
        self._expire(now_ms)

    def on_list_failed(self, cause: str, now_ms: float) -> None:
        """Keep the last known members: the list cannot be used.

        :param cause: why not.
        :param now_ms: the current time.
        """
        if self._is_list_usable:
            logger.warning(
                'MEMBER list unusable: {}. Keeping {} members.',
                cause,
                len(self._table),
            )
        self._is_list_usable = False
        self._expire(now_ms)

    def on_success(
        self,
        endpoint: types.EndpointId,
        incarnation: types.Incarnation,
        now_ms: float,
    ) -> None:
        """Note that a member answered a handshake, a request or a probe.

        :param endpoint: the member.
        :param incarnation: the incarnation that answered.
        :param now_ms: the current time.
        """
        record = self._table.get(endpoint)
        if record is None:
            return
        if record.member.incarnation != incarnation:
            if self._table.is_barred(endpoint, incarnation, now_ms):
                return
            record = self._lifecycle.replace(
                record, incarnation, record.listed, now_ms
            )
        self._lifecycle.note_answer(record, now_ms)

    def on_failure(
        self,
        endpoint: types.EndpointId,
        incarnation: types.Incarnation,
        now_ms: float,
        began_ms: float | None = None,
    ) -> None:
        """Note that a member could not be reached or went silent.

        A refusal is an answer and does not belong here.

        :param endpoint: the member.
        :param incarnation: the incarnation that was addressed.
        :param now_ms: the current time.
        :param began_ms: when the attempt began, by default now.
        """
        record = self._table.get(endpoint)
        if record is None or record.member.incarnation != incarnation:
            return
        if began_ms is None:
            began_ms = now_ms
        self._lifecycle.note_failure(record, began_ms, now_ms)

    def on_notice(
        self,
        endpoint: types.EndpointId,
        incarnation: types.Incarnation,
        state: types.EndpointState,
        now_ms: float,
    ) -> None:
        """Note what a member's sidecar says of itself.

        :param endpoint: the member.
        :param incarnation: the incarnation that says so.
        :param state: the life cycle state that it reports.
        :param now_ms: the current time.
        """
        self.on_success(endpoint, incarnation, now_ms)
        record = self._table.get(endpoint)
        if record is None or record.member.incarnation != incarnation:
            return
        if state in _DRAINED:
            self._lifecycle.fire(
                record, Trigger.LEAVE, Reason.DRAINING, now_ms
            )
        else:
            self._lifecycle.fire(
                record, Trigger.STAY, Reason.UNDRAINED, now_ms
            )

    def list_usable(self, now_ms: float) -> list[member_types.MemberStatus]:
        """Return the members that may receive new work, by endpoint.

        Members that are down appear, to be avoided, only where their
        service has nothing else. Call it when `version` has changed, and
        once a second.

        :param now_ms: the current time.
        """
        self._expire(now_ms)
        records = sorted(self._table, key=lambda item: item.member.endpoint)
        usable = [item for item in records if item.state in _USABLE]
        served = {item.member.service for item in usable}
        usable += [
            item
            for item in records
            if item.state is State.DOWN and item.member.service not in served
        ]
        for record in usable:
            self._check_not_leaving(record.member, now_ms)
        # Many members share a place.
        find_trouble = functools.cache(
            lambda place: self._lifecycle.find_trouble(place, now_ms)
        )
        return [
            member_lifecycle.make_status(record, find_trouble(record.place))
            for record in usable
        ]

    def get_state(self, endpoint: types.EndpointId) -> State:
        """Return a member's state, `GONE` if it is unknown.

        :param endpoint: the member.
        """
        record = self._table.get(endpoint)
        return record.state if record else State.GONE

    def take_due_probes(self, now_ms: float) -> list[base.Member]:
        """Return the members to probe now.

        A probe opens a connection and shakes hands; its outcome goes to
        `on_success` or `on_failure`.

        :param now_ms: the current time.
        """
        records = map(self._table.get, self._prober.take_due(now_ms))
        return [record.member for record in records if record]

    def suspects_self(self, now_ms: float) -> bool:
        """Tell whether this node seems cut off from the whole fleet.

        :param now_ms: the current time.
        """
        record = next(iter(self._table), None)
        if record is None:
            return False
        trouble = self._lifecycle.find_trouble(record.place, now_ms)
        return trouble is path_health.ScopeKind.FLEET

    def _expire(self, now_ms: float) -> None:
        for record in self._table:
            if self._is_hold_over(record, now_ms):
                self._lifecycle.fire(
                    record, Trigger.EXPIRED, Reason.EXPIRED, now_ms
                )
        self._table.forget_barred(now_ms)

    def _is_hold_over(
        self, record: member_table.MemberRecord, now_ms: float
    ) -> bool:
        if record.unlisted_since_ms is None:
            return False
        hold_ms = self._policy.hold_ms
        if record.is_mass_unlisted:
            hold_ms = self._policy.mass_hold_ms
        heard_ms = max(record.unlisted_since_ms, record.last_answer_ms)
        return now_ms - heard_ms >= hold_ms

    def _check_not_leaving(self, member: base.Member, now_ms: float) -> None:
        is_barred = self._table.is_barred(
            member.endpoint, member.incarnation, now_ms
        )
        self._monitor.check(
            invariants.Invariant.LEAVING,
            not (member.is_leaving or is_barred),
            lambda: f'{member} is offered for new work',
        )
