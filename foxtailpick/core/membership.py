"""A router's view of the members, from the platform's list and traffic.

The list lags, flaps and may drop many members at once. Traffic is recent
but sparse, and a broken network path looks like many dead members. A
member is not removed on the evidence of one source while the other
contradicts it.
"""

import functools
import random
import typing

from loguru import logger

from foxtailpick.adapters import base
from foxtailpick.core import invariants
from foxtailpick.core import member_chart
from foxtailpick.core import member_lifecycle
from foxtailpick.core import member_prober
from foxtailpick.core import member_reconciler
from foxtailpick.core import member_table
from foxtailpick.core import member_types
from foxtailpick.core import path_health
from foxtailpick.core import probe_schedule
from foxtailpick.core import types

State = member_chart.MemberState
Trigger = member_chart.MemberTrigger
Reason = member_types.MemberReason

_USABLE_STATES = frozenset({State.LISTED, State.SUSPECT, State.HELD})
_DRAINED_STATES = frozenset(
    {types.EndpointState.DRAINING, types.EndpointState.GONE}
)


class MembershipView:
    """One router's view of all members.

    :param monitor: checks that leaving members are not offered.
    :param rng: source of probe jitter.
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
        self._table = member_table.MemberTable(self._policy.tombstone_ttl_ms)
        self._prober = member_prober.MemberProber(
            self._policy, rng, probe_schedule.ProbeSchedule()
        )
        self._lifecycle = member_lifecycle.MemberLifecycle(
            self._policy, self._table, self._prober
        )
        self._reconciler = member_reconciler.MemberReconciler(
            self._policy, self._table, self._lifecycle
        )
        self._is_list_usable = True

    @property
    def version(self) -> int:
        """Return a number that increases with each change of the view."""
        return self._lifecycle.version

    def on_list(
        self, members: typing.Iterable[base.Member], now_ms: float
    ) -> None:
        """Apply a membership list of the platform.

        :param members: the list as read.
        :param now_ms: the current time.
        """
        listed = {member.endpoint: member for member in members}
        if not listed and len(self._table):
            self.on_list_failed('it is empty', now_ms)
            return
        self._is_list_usable = True
        for member in listed.values():
            self._reconciler.apply_listed(member, now_ms)
        self._reconciler.mark_unlisted(listed.keys(), now_ms)
        self._expire(now_ms)

    def on_list_failed(self, cause: str, now_ms: float) -> None:
        """Keep the last known members when the list cannot be used.

        :param cause: the cause, for the log.
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
        """Record that a member answered a handshake, a request or a probe.

        :param endpoint: the member.
        :param incarnation: the incarnation that answered.
        :param now_ms: the current time.
        """
        record = self._table.get(endpoint)
        if record is None:
            return
        if record.member.incarnation != incarnation:
            if self._table.has_tombstone(endpoint, incarnation, now_ms):
                return
            record = self._lifecycle.replace(
                record, incarnation, record.listed, now_ms
            )
        self._lifecycle.record_answer(record, now_ms)

    def on_failure(
        self,
        endpoint: types.EndpointId,
        incarnation: types.Incarnation,
        now_ms: float,
        began_ms: float | None = None,
    ) -> None:
        """Record that a member was unreachable or stopped responding.

        A refused request is an answer, not a failure.

        :param endpoint: the member.
        :param incarnation: the incarnation that was addressed.
        :param now_ms: the current time.
        :param began_ms: when the attempt began, `now_ms` by default.
        """
        record = self._table.get(endpoint)
        if record is None or record.member.incarnation != incarnation:
            return
        if began_ms is None:
            began_ms = now_ms
        self._lifecycle.record_failure(record, began_ms, now_ms)

    def on_notice(
        self,
        endpoint: types.EndpointId,
        incarnation: types.Incarnation,
        state: types.EndpointState,
        now_ms: float,
    ) -> None:
        """Record a state notice of a member's sidecar.

        :param endpoint: the member.
        :param incarnation: the incarnation that sent the notice.
        :param state: the reported life cycle state.
        :param now_ms: the current time.
        """
        self.on_success(endpoint, incarnation, now_ms)
        record = self._table.get(endpoint)
        if record is None or record.member.incarnation != incarnation:
            return
        if state in _DRAINED_STATES:
            self._lifecycle.fire(
                record, Trigger.LEAVE, Reason.DRAINING, now_ms
            )
        else:
            self._lifecycle.fire(
                record, Trigger.STAY, Reason.UNDRAINED, now_ms
            )

    def list_usable(self, now_ms: float) -> list[member_types.MemberStatus]:
        """Return the members that may receive new work, by endpoint.

        Members that are down are included, as avoided, only if their
        service has no other member. Call it when `version` has changed and
        once a second.

        :param now_ms: the current time.
        """
        self._expire(now_ms)
        records = sorted(self._table, key=lambda item: item.member.endpoint)
        usable = [item for item in records if item.state in _USABLE_STATES]
        served = {item.member.service for item in usable}
        usable += [
            item
            for item in records
            if item.state is State.DOWN and item.member.service not in served
        ]
        for record in usable:
            self._check_not_leaving(record.member, now_ms)
        # Many members share a failure domain, so the results are cached.
        find_outage = functools.cache(
            lambda location: self._lifecycle.find_outage(location, now_ms)
        )
        return [
            member_lifecycle.make_status(record, find_outage(record.location))
            for record in usable
        ]

    def get_state(self, endpoint: types.EndpointId) -> State:
        """Return the state of a member, `GONE` if it is unknown.

        :param endpoint: the member.
        """
        record = self._table.get(endpoint)
        return record.state if record else State.GONE

    def take_due_probes(self, now_ms: float) -> list[base.Member]:
        """Return the members to probe now.

        A probe opens a connection and performs the handshake; report its
        result to `on_success` or `on_failure`.

        :param now_ms: the current time.
        """
        records = map(self._table.get, self._prober.take_due(now_ms))
        return [record.member for record in records if record]

    def is_node_isolated(self, now_ms: float) -> bool:
        """Tell whether this node appears cut off from the whole fleet.

        :param now_ms: the current time.
        """
        record = next(iter(self._table), None)
        if record is None:
            return False
        outage = self._lifecycle.find_outage(record.location, now_ms)
        return outage is path_health.ScopeKind.FLEET

    def _expire(self, now_ms: float) -> None:
        for record in self._table:
            if self._is_hold_expired(record, now_ms):
                self._lifecycle.fire(
                    record, Trigger.EXPIRED, Reason.EXPIRED, now_ms
                )
        self._table.remove_expired_tombstones(now_ms)

    def _is_hold_expired(
        self, record: member_table.MemberRecord, now_ms: float
    ) -> bool:
        if record.unlisted_since_ms is None:
            return False
        hold_ms = self._policy.hold_ms
        if record.is_mass_unlisted:
            hold_ms = self._policy.mass_hold_ms
        last_heard_ms = max(record.unlisted_since_ms, record.last_answer_ms)
        return now_ms - last_heard_ms >= hold_ms

    def _check_not_leaving(self, member: base.Member, now_ms: float) -> None:
        has_tombstone = self._table.has_tombstone(
            member.endpoint, member.incarnation, now_ms
        )
        self._monitor.check(
            invariants.Invariant.LEAVING,
            not (member.is_leaving or has_tombstone),
            lambda: f'{member} is offered for new work',
        )
