"""Probe times of members, and the probation of flapping members."""

import random
import typing

from foxtailpick.adapters import base
from foxtailpick.core import member_chart
from foxtailpick.core import member_table
from foxtailpick.core import member_types
from foxtailpick.core import probe_schedule
from foxtailpick.core import types

State = member_chart.MemberState


class MemberProber:
    """Schedules the probes of all members.

    :param policy: times and thresholds.
    :param rng: source of jitter.
    :param schedule: rate-limited due times.
    """

    def __init__(
        self,
        policy: member_types.MembershipPolicy,
        rng: random.Random,
        schedule: probe_schedule.ProbeSchedule,
    ) -> None:
        self._policy = policy
        self._rng = rng
        self._schedule = schedule

    def take_due(self, now_ms: float) -> list[types.EndpointId]:
        """Return the endpoints to probe now."""
        return self._schedule.take_due(now_ms)

    def cancel(self, member: base.Member) -> None:
        """Cancel the next probe of a member."""
        self._schedule.cancel(member.endpoint)

    def schedule_on_entry(
        self, record: member_table.MemberRecord, now_ms: float
    ) -> None:
        """Schedule the first probe after a state change."""
        endpoint = record.member.endpoint
        if record.state is State.SUSPECT:
            self._update_probation(record, now_ms)
            record.backoff_ms = 0.0
            self._schedule.schedule(endpoint, now_ms)
        elif record.state is State.DOWN:
            self.schedule_after_failure(record, now_ms)
        elif record.state is State.HELD:
            spread_ms = self._policy.probe_spread_ms
            is_spread = record.is_mass_unlisted
            self._schedule_within(endpoint, spread_ms * is_spread, now_ms)
        else:
            self._schedule.cancel(endpoint)

    def schedule_after_failure(
        self, record: member_table.MemberRecord, now_ms: float
    ) -> None:
        """Schedule the next probe, with exponential backoff."""
        if record.state is State.LEAVING:
            return
        cfg = self._policy
        doubled_ms = max(2.0 * record.backoff_ms, cfg.probe_backoff_ms)
        record.backoff_ms = min(doubled_ms, cfg.probe_backoff_max_ms)
        wait_ms = record.backoff_ms * self._rng.uniform(0.5, 1.0)
        self._schedule.schedule(record.member.endpoint, now_ms + wait_ms)

    def schedule_after_answer(
        self, record: member_table.MemberRecord, now_ms: float
    ) -> None:
        """Schedule the next probe of a member that answered."""
        endpoint = record.member.endpoint
        record.backoff_ms = 0.0
        if record.state in (State.SUSPECT, State.DOWN):
            self._schedule.schedule(endpoint, record.probation_until_ms)
        elif record.state is State.HELD:
            self._schedule.schedule(
                endpoint, now_ms + self._policy.hold_ms / 2
            )

    def schedule_sample(
        self,
        records: typing.Sequence[member_table.MemberRecord],
        count: int,
        now_ms: float,
    ) -> None:
        """Probe a random sample of members now, whatever their state.

        :param records: the members to choose from.
        :param count: size of the sample.
        :param now_ms: the current time.
        """
        for record in self._rng.sample(records, min(count, len(records))):
            self._schedule.schedule(record.member.endpoint, now_ms)

    def schedule_with_jitter(
        self, record: member_table.MemberRecord, now_ms: float
    ) -> None:
        """Probe a member soon, with jitter."""
        self._schedule_within(
            record.member.endpoint, self._policy.probe_spread_ms, now_ms
        )

    def _schedule_within(
        self, endpoint: types.EndpointId, spread_ms: float, now_ms: float
    ) -> None:
        wait_ms = self._rng.uniform(0.0, spread_ms)
        self._schedule.schedule(endpoint, now_ms + wait_ms)

    def _update_probation(
        self, record: member_table.MemberRecord, now_ms: float
    ) -> None:
        cfg = self._policy
        gap_ms = now_ms - record.last_suspect_ms
        record.last_suspect_ms = now_ms
        is_flapping = gap_ms <= cfg.flap_window_ms
        record.flaps = record.flaps + 1 if is_flapping else 1
        excess = record.flaps - cfg.flaps_without_probation
        if excess > 0:
            length_ms = cfg.probation_ms * 2.0 ** (excess - 1)
            length_ms = min(length_ms, cfg.probation_max_ms)
            record.probation_until_ms = now_ms + length_ms
