"""Whether a request is sent to another endpoint.

Load pattern: endpoints fail, refuse or fall silent in numbers, and every
repeat adds to the load of those that are left. A repeat needs that running
twice does no harm or that nothing has run, an attempt left on the route,
and a token of the budget, which grows with the requests themselves.
"""

import enum

from foxtailpick.core.dispatch import model
from foxtailpick.core import verdict as verdict_lib

# Tries that may fail to find their endpoint, because it cannot be connected
# to or its address belongs to another one by now.
MAX_NOT_THERE = 3


class AttemptEnd(enum.Enum):
    """How an attempt at one endpoint ended."""

    DELIVERED = 'delivered'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    MISDIRECTED = 'misdirected'
    BROKEN = 'broken'
    ERROR_ANSWER = 'error-answer'


NOT_RUN_ENDS = frozenset(
    (AttemptEnd.UNREACHABLE, AttemptEnd.REFUSED, AttemptEnd.MISDIRECTED)
)


class Repeat(enum.Enum):
    """Whether a request is sent again, and why not."""

    ALLOWED = 'allowed'
    MAY_HAVE_RUN = 'may-have-run'
    NO_ATTEMPT_LEFT = 'no-attempt-left'
    NO_BUDGET = 'no-budget'


def get_verdict(end: AttemptEnd) -> verdict_lib.Verdict:
    """Return what is known about the execution after an attempt."""
    if end in NOT_RUN_ENDS:
        return verdict_lib.Verdict.NOT_RUN
    if end is AttemptEnd.BROKEN:
        return verdict_lib.Verdict.MAY_HAVE_RUN
    return verdict_lib.Verdict.RAN


def plan_repeat(
    end: AttemptEnd,
    route: model.Route,
    sent: int,
    not_there: int,
    has_budget: bool,
) -> Repeat:
    """Decide whether a request goes to another endpoint.

    :param end: how the last attempt ended.
    :param route: its route.
    :param sent: endpoints that it was sent to.
    :param not_there: endpoints that were not at their address.
    :param has_budget: whether the budget has a repeat left.
    """
    verdict = get_verdict(end)
    if not verdict_lib.is_retry_safe(verdict, route.is_idempotent):
        return Repeat.MAY_HAVE_RUN
    if end is AttemptEnd.UNREACHABLE:
        if not_there >= MAX_NOT_THERE:
            return Repeat.NO_ATTEMPT_LEFT
        # Nothing was sent, so the next send is not a repeat.
        return Repeat.ALLOWED
    if sent >= route.max_attempts or not_there >= MAX_NOT_THERE:
        return Repeat.NO_ATTEMPT_LEFT
    return Repeat.ALLOWED if has_budget else Repeat.NO_BUDGET
