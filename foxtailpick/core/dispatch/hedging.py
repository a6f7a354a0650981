"""Decides whether a silent request is also sent to another endpoint.

Load pattern: sound endpoints send nothing for about a second and then go
on, while others have lost a request or their machine. A router cannot tell
these apart, so a request that may run twice is hedged: it is sent to a
second endpoint, and the first of the two that answers keeps it. Giving up
the silent endpoint before the other one answers would lose the answer if
that one is full, fails or refuses. All requests of a silent endpoint need
the retry budget at the same moment, so each takes its token before it is
sent.
"""

import enum

from foxtailpick.core.dispatch import model

# Once a second endpoint has begun a stream, the first one stays for at most
# this long if no event arrives. Engines of the platform may work on the same
# stream for 400 ms.
HANDOVER_MS = 300.0
# Time until a silent request that could not be hedged is checked again.
RECHECK_INTERVAL_MS = 250.0
# Part of the retry budget that is kept for requests that failed or whose
# endpoint is silent: a late answer mostly still arrives.
RESERVED_BUDGET_SHARE = 0.5


class HedgeDecision(enum.Enum):
    """Whether a request is hedged or, if not, the reason."""

    ALLOWED = 'allowed'
    NOT_IDEMPOTENT = 'not-idempotent'
    ATTEMPT_PENDING = 'attempt-pending'
    NO_ATTEMPT_LEFT = 'no-attempt-left'
    NO_BUDGET = 'no-budget'
    NO_ENDPOINT = 'no-endpoint'
    MAY_CRASH = 'may-crash-endpoint'


def compute_min_tokens(is_silent: bool, burst: float) -> float:
    """Return the tokens of the retry budget that a hedge needs.

    :param is_silent: whether the endpoint is silent, as opposed to late.
    :param burst: tokens of the full budget.
    """
    return 1.0 if is_silent else 1.0 + RESERVED_BUDGET_SHARE * burst


def decide_hedge(
    route: model.Route,
    counted_attempts: int,
    is_each_silent: bool,
    has_budget: bool,
    may_crash: bool,
) -> HedgeDecision:
    """Decide whether a silent request is sent to another endpoint as well.

    :param route: route of the request.
    :param counted_attempts: number of attempts that count towards the
        limit of the route.
    :param is_each_silent: whether all its attempts in flight are silent.
    :param has_budget: whether the retry budget allows another attempt.
    :param may_crash: whether the request may have ended an endpoint.
    """
    if not route.is_idempotent:
        return HedgeDecision.NOT_IDEMPOTENT
    if not is_each_silent:
        return HedgeDecision.ATTEMPT_PENDING
    if counted_attempts >= route.max_attempts:
        return HedgeDecision.NO_ATTEMPT_LEFT
    if may_crash:
        return HedgeDecision.MAY_CRASH
    return HedgeDecision.ALLOWED if has_budget else HedgeDecision.NO_BUDGET
