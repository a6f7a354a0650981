"""Settings and results of the membership view."""

import dataclasses
import enum

from foxtailpick.adapters import base
from foxtailpick.core import member_chart


class MemberReason(enum.Enum):
    """Reason for the state of a member, or for avoiding it."""

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
    DOMAIN_UNREACHABLE = 'nothing in its failure domain answers from here'
    REGION_UNREACHABLE = 'nothing in its region answers from here'


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipPolicy:
    """Times and thresholds of the membership view.

    :param hold_ms: how long an unlisted member is kept without an answer.
    :param mass_hold_ms: the same after a mass removal from the list.
    :param mass_members: unlisted members of a failure domain from which on
        it is a mass removal.
    :param mass_fraction: the same as a fraction of the failure domain; both
        limits apply.
    :param tombstone_ttl_ms: lifetime of the tombstone of an old
        incarnation, at least the maximum lag of the list.
    :param probe_backoff_ms: initial backoff between probes.
    :param probe_backoff_max_ms: maximum backoff between probes.
    :param probe_spread_ms: maximum jitter when many members are probed.
    :param flap_window_ms: suspicions closer together than this count as
        flapping.
    :param flaps_without_probation: suspicions in quick succession that
        cause no probation.
    :param probation_ms: first probation of a flapping member, doubled with
        each further flap.
    :param probation_max_ms: maximum probation.
    """

    hold_ms: float = 10_000.0
    mass_hold_ms: float = 60_000.0
    mass_members: int = 3
    mass_fraction: float = 0.5
    tombstone_ttl_ms: float = 30_000.0
    probe_backoff_ms: float = 1_000.0
    probe_backoff_max_ms: float = 30_000.0
    probe_spread_ms: float = 5_000.0
    flap_window_ms: float = 60_000.0
    flaps_without_probation: int = 2
    probation_ms: float = 2_000.0
    probation_max_ms: float = 30_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member that may receive work.

    :param member: the member.
    :param state: its state.
    :param reason: the reason for its state, or for avoiding it.
    :param since_ms: when it entered the state.
    :param is_avoided: whether it is used only as a last resort.
    """

    member: base.Member
    state: member_chart.MemberState
    reason: MemberReason
    since_ms: float
    is_avoided: bool
