"""Stateful property tests of the membership view."""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from foxtailpick.adapters import base
from foxtailpick.core import invariants
from foxtailpick.core import member_chart
from foxtailpick.core import membership
from foxtailpick.core import path_health
from foxtailpick.core import types

MEMBERS = [
    base.Member(
        endpoint=f'e{number}',
        incarnation='i0',
        address=f'a{number}',
        region=f'r{number % 2}',
        domain=f'd{number % 4}',
        service='s',
    )
    for number in range(12)
]
FLEET_STREAK_MEMBERS = path_health.MIN_STREAK_MEMBERS[
    path_health.ScopeKind.FLEET
]
REMOVED = {
    member_chart.MemberState.DOWN,
    member_chart.MemberState.GONE,
}
indexes = strategies.integers(0, len(MEMBERS) - 1)
incarnations = strategies.sampled_from(['i0', 'i1', 'i2'])


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Feeds a view with random lists, failures, answers and notices."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.view = membership.MembershipView(
            invariants.Monitor(is_strict=True), random.Random(1)
        )
        self.read_list(set(range(len(MEMBERS))), 'i0', set())

    @stateful.rule(
        shown=strategies.sets(indexes),
        incarnation=incarnations,
        leaving=strategies.sets(indexes, max_size=2),
    )
    def read_list(self, shown, incarnation, leaving):
        members = [
            dataclasses.replace(
                MEMBERS[index],
                incarnation=incarnation,
                is_leaving=index in leaving,
            )
            for index in sorted(shown)
        ]
        self.view.on_list(members, self.now_ms)

    @stateful.rule()
    def fail_list(self):
        before = self.list_endpoints()
        self.view.on_list_failed('timeout', self.now_ms)
        assert self.list_endpoints() == before

    @stateful.rule(index=indexes)
    def answer(self, index):
        member = self.find(index)
        if member is None:
            return
        self.view.on_success(member.endpoint, member.incarnation, self.now_ms)
        # A member that answers stays usable, whatever happened before.
        assert member.endpoint in self.list_endpoints()

    @stateful.rule(index=indexes, incarnation=incarnations)
    def answer_as(self, index, incarnation):
        endpoint = MEMBERS[index].endpoint
        self.view.on_success(endpoint, incarnation, self.now_ms)

    @stateful.rule(
        index=indexes,
        incarnation=incarnations,
        age_ms=strategies.floats(0.0, 2_000.0),
    )
    def fail(self, index, incarnation, age_ms):
        self.view.on_failure(
            MEMBERS[index].endpoint,
            incarnation,
            self.now_ms,
            self.now_ms - age_ms,
        )

    @stateful.rule()
    def fail_everything(self):
        before = self.list_usable()
        for _ in range(2):
            for status in before:
                self.view.on_failure(
                    status.member.endpoint,
                    status.member.incarnation,
                    self.now_ms,
                )
        listed = [
            status.member
            for status in before
            if status.state is member_chart.MemberState.LISTED
        ]
        domains = {member.domain for member in listed}
        # If all members fail, their failures alone remove none of them.
        if len(listed) >= FLEET_STREAK_MEMBERS and len(domains) > 1:
            states = {
                self.view.get_state(member.endpoint) for member in listed
            }
            assert not states & REMOVED

    @stateful.rule(
        index=indexes,
        state=strategies.sampled_from(list(types.EndpointState)),
    )
    def notice(self, index, state):
        member = self.find(index)
        if member is None:
            return
        self.view.on_notice(
            member.endpoint, member.incarnation, state, self.now_ms
        )
        is_drained = state in (
            types.EndpointState.DRAINING,
            types.EndpointState.GONE,
        )
        assert (member.endpoint in self.list_endpoints()) != is_drained

    @stateful.rule(delta_ms=strategies.floats(0.0, 40_000.0))
    def wait(self, delta_ms):
        self.now_ms += delta_ms
        for member in self.view.take_due_probes(self.now_ms):
            gone = member_chart.MemberState.GONE
            assert self.view.get_state(member.endpoint) is not gone

    def find(self, index):
        endpoint = MEMBERS[index].endpoint
        for status in self.list_usable():
            if status.member.endpoint == endpoint:
                return status.member
        return None

    def list_usable(self):
        return self.view.list_usable(self.now_ms)

    def list_endpoints(self):
        return {status.member.endpoint for status in self.list_usable()}


MembershipMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
TestMembershipMachine = MembershipMachine.TestCase
