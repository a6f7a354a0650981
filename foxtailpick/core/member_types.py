"""What a membership decision says, and the times it goes by."""

import dataclasses
import enum

from foxtailpick.adapters import base
from foxtailpick.core import member_chart


class MemberReason(enum.Enum):
    """Why a member is in its state, or why it is avoided."""

    LISTED = 'in the membership list'
    ANSWERED = 'it answered'
    FAILED = 'it did not answer'
    FAILED_AGAIN = 'it did not answer a second time'
    UNLISTED = 'it dropped out of the list'
    MANY_UNLISTED = 'much of its failure domain dropped out of the list'
    UNLISTED_AND_FAILED = 'neither listed nor answering'
    EXPIRED = 'not listed, and silent for the whole hold'
    LEAVING = 'the platform is taking it away'
    DRAINING = 'its sidecar is draining'
    UNDRAINED = 'its sidecar takes work again'
    REPLACED = 'another incarnation took its place'
    DOMAIN_TROUBLE = 'nothing in its failure domain answers from here'
    REGION_TROUBLE = 'nothing in its region answers from here'


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipPolicy:
    """Times and thresholds.

    :param hold_ms: how long a member that dropped out of the list is kept
        without an answer from it.
    :param mass_hold_ms: the same when many dropped out at once.
    :param mass_members: how many of a failure domain are many.
    :param mass_fraction: which part of a failure domain is much of it.
    :param past_hold_ms: how long a replaced incarnation stays barred; the
        longest lag of the list.
    :param probe_backoff_ms: the first wait between two probes.
    :param probe_backoff_max_ms: the longest one.
    :param probe_spread_ms: over which many probes are spread.
    :param flap_window_ms: suspicions closer than this are one flapping.
    :param free_flaps: suspicions in a row that bring no probation.
    :param probation_ms: the first probation of a flapping member.
    :param probation_max_ms: the longest one.
    """

    hold_ms: float = 10_000.0
    mass_hold_ms: float = 60_000.0
    mass_members: int = 3
    mass_fraction: float = 0.5
    past_hold_ms: float = 30_000.0
    probe_backoff_ms: float = 1_000.0
    probe_backoff_max_ms: float = 30_000.0
    probe_spread_ms: float = 5_000.0
    flap_window_ms: float = 60_000.0
    free_flaps: int = 2
    probation_ms: float = 2_000.0
    probation_max_ms: float = 30_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member that may receive work.

    :param member: the member.
    :param state: its state.
    :param reason: why it is in that state, or why it is avoided.
    :param since_ms: when it entered the state.
    :param is_avoided: whether it is for the last resort only.
    """

    member: base.Member
    state: member_chart.MemberState
    reason: MemberReason
    since_ms: float
    is_avoided: bool
