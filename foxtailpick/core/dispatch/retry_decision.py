"""Decides whether a request is retried at another endpoint.

Load pattern: many endpoints fail, refuse requests or stop responding, and
each retry adds load to the remaining ones. A retry requires that the
request is idempotent or was not executed, that the route allows another
attempt, and that the retry budget, which is proportional to the request
rate, is not exhausted.
"""

import enum
import typing

from foxtailpick.core.dispatch import model
from foxtailpick.core import verdict as verdict_lib

# Maximum attempts that do not reach their endpoint, because connecting fails
# or its address now belongs to another endpoint.
MAX_UNREACHED = 3


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


_ENDS_BY_EFFECT = (
    AttemptEnd.DELIVERED,
    AttemptEnd.BROKEN,
    AttemptEnd.ERROR_ANSWER,
    AttemptEnd.REFUSED,
    AttemptEnd.MISDIRECTED,
    AttemptEnd.UNREACHABLE,
)


class RetryDecision(enum.Enum):
    """Whether a request is retried or, if not, the reason."""

    ALLOWED = 'allowed'
    MAY_HAVE_RUN = 'may-have-run'
    NO_ATTEMPT_LEFT = 'no-attempt-left'
    NO_BUDGET = 'no-budget'
    MAY_CRASH = 'may-crash-endpoint'
    ATTEMPT_PENDING = 'attempt-pending'


def get_verdict(end: AttemptEnd) -> verdict_lib.Verdict:
    """Return whether an attempt was executed, as far as is known.

    :param end: how the attempt ended.
    """
    if end in NOT_RUN_ENDS:
        return verdict_lib.Verdict.NOT_RUN
    if end is AttemptEnd.BROKEN:
        return verdict_lib.Verdict.MAY_HAVE_RUN
    return verdict_lib.Verdict.RAN


def choose_decisive_end(ends: typing.Iterable[AttemptEnd]) -> AttemptEnd:
    """Return the end that decides on a retry after several attempts.

    It is the end of the attempt that may have done the most.

    :param ends: how attempts that were in flight together ended, at least
        one.
    """
    return min(ends, key=_ENDS_BY_EFFECT.index)


def decide_retry(
    end: AttemptEnd,
    route: model.Route,
    counted_attempts: int,
    unreached: int,
    has_budget: bool,
    may_crash: bool = False,
) -> RetryDecision:
    """Decide whether a request is retried at another endpoint.

    :param end: how the last attempt ended.
    :param route: route of the request.
    :param counted_attempts: number of attempts that count towards the
        limit of the route.
    :param unreached: number of attempts that did not reach their endpoint.
    :param has_budget: whether the retry budget allows another retry.
    :param may_crash: whether the request may have ended its endpoint.
    """
    verdict = get_verdict(end)
    if not verdict_lib.is_retry_safe(verdict, route.is_idempotent):
        return RetryDecision.MAY_HAVE_RUN
    if end is AttemptEnd.UNREACHABLE:
        if unreached >= MAX_UNREACHED:
            return RetryDecision.NO_ATTEMPT_LEFT
        # Nothing was sent, so the next attempt is not a retry.
        return RetryDecision.ALLOWED
    if counted_attempts >= route.max_attempts or unreached >= MAX_UNREACHED:
        return RetryDecision.NO_ATTEMPT_LEFT
    if end is AttemptEnd.BROKEN and may_crash:
        return RetryDecision.MAY_CRASH
    return RetryDecision.ALLOWED if has_budget else RetryDecision.NO_BUDGET
