"""Moves the traffic of a service to endpoints of another version.

Load pattern: the operators order that a service moves to endpoints of another
version within some time. A bad version may get only a small part of the
requests until it is rolled back, while 4 to 68 routers with few requests each
share them, see each other's counts late, and may restart or be cut off. Each
router sends at most a fixed part of its own requests to the new version, with
a random rounding, so that the bound holds for their sum without an exchange.
The routers tell each other what they saw; each of them judges the sum.

Few endpoints of the new version get this part, so that each of them has about
the load of an old one. Shortly before the deadline a version without evidence
against it gets more in steps, at last everything, so that it is judged under
its full load and the old endpoints are idle when they are stopped.
"""

import dataclasses
import enum
import math
import typing

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rollout_capacity
from foxtailpick.core.dispatch import rollout_evidence
from foxtailpick.core.dispatch import rollout_exposure
from foxtailpick.core.dispatch import rollout_verdict
from foxtailpick.core import transition_table
from foxtailpick.core import types

# Parts of what is tolerated: the canary's share, the most that a router sends
# before the last steps, and the requests beyond that share.
CANARY_PART = 0.4
BUDGET_PART = 0.9
SLACK_PART = 0.3
# A route with few requests gets a larger share, up to this one, until it has
# so many answers of the new version, or so many times more if they are in
# doubt.
MAX_ROUTE_SHARE = 0.2
MIN_ROUTE_ANSWERS = 60
DOUBT_MULTIPLE = 2
# A route needs fewer answers of the new version if that is this part of the
# tolerated share of those of the old one. All routes together need so many.
MIN_ANSWER_PART = 0.4
MIN_ANSWERS = 10
# A router without totals of this age, as a part of the time for a roll-back,
# sends nothing to the new version, unless it is the only one.
TOTALS_TTL_PART = 0.4
# A router that knows of no other for this time decides by its own evidence. A
# list of routers may be some seconds old.
LONE_MS = 10_000.0
# Time kept before the deadline for writing the state while the store is slow.
MARGIN_SHARE = 0.15
MIN_MARGIN_MS = 5_000.0
MAX_MARGIN_MS = 20_000.0
MAX_MARGIN_SHARE = 0.4
# The last steps, before that margin: their length in all, the shares of the
# traffic, and the part of the time at which each step begins.
STEPS_SHARE = 0.2
MAX_STEPS_MS = 20_000.0
MIN_STEPS_MS = 2_000.0
# After the last step the version gets this share until its answers reached
# all routers, also if a message is lost.
SETTLE_MS = 1_700.0
SETTLE_SHARE = 0.1
# Of this time, so much is kept as a part of the order's time.
MAX_SETTLE_SHARE = 0.05
STEP_SHARES = (0.1, 0.25, 0.5, 1.0)
STEP_STARTS = (0.0, 1 / 6, 2 / 6, 3 / 6)
# Part of the margin in which the old endpoints finish their requests.
LEAVE_PART = 0.3
# The new version is judged again at this interval.
JUDGE_INTERVAL_MS = 300.0
# A cold endpoint, or one with an empty cache, may be so many times slower.
COLD_FACTOR = 2.0

MAX_ROUTE_CHARS = rollout_evidence.MAX_NAME_CHARS - len(
    rollout_evidence.WHOLE_SUFFIX
)

_TRIGGERS = {
    model.RolloutState.COMPLETED: 'complete',
    model.RolloutState.ROLLED_BACK: 'roll_back',
}


class Action(enum.Enum):
    """What a router should do about a roll-out."""

    WAIT = 'wait'
    COMPLETE = 'complete'
    ROLL_BACK = 'roll-back'


class Reason(enum.Enum):
    """Why, as written to the log."""

    IS_FINAL = 'is-final'
    BAD = 'bad'
    DEADLINE = 'deadline'
    TOO_EARLY = 'too-early'
    NO_FRESH_TOTALS = 'no-fresh-totals'
    FEW_ANSWERS = 'few-answers'
    DOUBTFUL = 'doubtful'
    FEW_ENDPOINTS = 'few-endpoints'
    MOVING = 'moving'
    MOVED = 'moved'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A decision and its inputs.

    :param action: what to do.
    :param reason: why.
    :param verdict: the worst verdict on a route, None without answers.
    :param share: share of the requests that the new version gets.
    :param sent: requests that this router sent to both versions.
    :param sent_new: those of them sent to the new one.
    :param totals_age_ms: age of the totals, None before the first.
    """

    action: Action
    reason: Reason
    verdict: rollout_verdict.Verdict | None
    share: float
    sent: int
    sent_new: int
    totals_age_ms: int | None


@dataclasses.dataclass(slots=True)
class Rollout:
    """One order at this router.

    :param order: the order.
    :param began_ms: when it was given.
    :param bounds: what the operators tolerate.
    :param state: what the record says.
    :param evidence: what this router saw.
    :param totals: what all routers saw, from the hub.
    :param exposure: requests that this router sent.
    :param capacity: endpoints of both versions.
    :param routers: number of routers, including this one.
    :param alone_since_ms: since when it is the only one, None if it isn't.
    :param is_condemned: whether some router found the version bad.
    :param totals_ms: when the last totals came, None before the first.
    :param steps_began_ms: when the last steps began, None if they did not.
    :param steps_length_ms: their length in all.
    :param has_failed_steps: whether they ended with a doubt.
    :param has_others: whether another version was there since the order.
    :param is_leaving_old: whether all requests go to the new version, which
        is about to be completed.
    :param route_shares: share of the canary on routes with few requests.
    :param verdict: the latest verdict, the worst one of all routes.
    :param doubt: why the version isn't taken for good yet, None if it is.
    :param judged_ms: when it was judged last.
    :param reported_ms: when this router reported to the hub last.
    :param has_reported_verdict: whether the hub was told that it is bad.
    """

    order: model.RolloutOrder
    began_ms: float
    bounds: rollout_exposure.RolloutBounds = rollout_exposure.RolloutBounds()
    state: model.RolloutState = model.RolloutState.IN_PROGRESS
    evidence: rollout_evidence.Evidence = dataclasses.field(
        default_factory=rollout_evidence.Evidence
    )
    totals: dict[rollout_evidence.Key, rollout_evidence.Tally] = (
        dataclasses.field(default_factory=dict)
    )
    exposure: rollout_exposure.Exposure = dataclasses.field(
        default_factory=rollout_exposure.Exposure
    )
    capacity: rollout_capacity.Capacity = rollout_capacity.Capacity()
    routers: int = 1
    alone_since_ms: float | None = None
    is_condemned: bool = False
    totals_ms: float | None = None
    steps_began_ms: float | None = None
    steps_length_ms: float = 0.0
    has_failed_steps: bool = False
    has_others: bool = False
    is_leaving_old: bool = False
    route_shares: dict[str, float] = dataclasses.field(default_factory=dict)
    verdict: rollout_verdict.Verdict | None = None
    doubt: Reason | None = Reason.FEW_ANSWERS
    judged_ms: float = -math.inf
    reported_ms: float = -math.inf
    has_reported_verdict: bool = False

    @classmethod
    def from_order(
        cls,
        order: model.RolloutOrder,
        began_ms: float,
        bounds: rollout_exposure.RolloutBounds | None = None,
    ) -> 'Rollout':
        """Return the roll-out of an order.

        :param order: the order.
        :param began_ms: when it was given.
        :param bounds: what the operators tolerate.
        """
        return cls(order, began_ms, bounds or rollout_exposure.RolloutBounds())

    @property
    def deadline_ms(self) -> float:
        """Time by which the roll-out has to be completed."""
        return self.began_ms + self.order.duration_ms

    @property
    def margin_ms(self) -> float:
        """Time kept before the deadline for writing the state."""
        duration_ms = self.order.duration_ms
        margin_ms = max(MIN_MARGIN_MS, MARGIN_SHARE * duration_ms)
        return min(margin_ms, MAX_MARGIN_MS, MAX_MARGIN_SHARE * duration_ms)

    @property
    def leave_ms(self) -> float:
        """Time for requests at old endpoints, which end at the completion."""
        return LEAVE_PART * self.margin_ms

    @property
    def last_steps_ms(self) -> float:
        """When the last steps begin."""
        duration_ms = self.order.duration_ms
        return self.steps_end_ms - min(MAX_STEPS_MS, STEPS_SHARE * duration_ms)

    @property
    def steps_end_ms(self) -> float:
        """When the last steps end, if they began in time."""
        settle_ms = min(SETTLE_MS, MAX_SETTLE_SHARE * self.order.duration_ms)
        return self.deadline_ms - self.margin_ms - settle_ms

    def get_window(self, now_ms: float) -> int:
        """Return the number of the current window of the evidence."""
        window_ms = rollout_evidence.compute_window_ms(self.order.duration_ms)
        passed_ms = max(0.0, now_ms - self.began_ms)
        window = int(passed_ms / window_ms)
        return min(window, rollout_evidence.MAX_WINDOW)

    def is_new(self, endpoint: endpoint_table.Endpoint) -> bool:
        """Tell whether an endpoint has the version that is moved to."""
        return endpoint.entry.version == self.order.version


def record_sent(
    rollout: Rollout, version: types.Version, now_ms: float
) -> None:
    """Count a request, or its repeat, in the same step as its choice.

    :param rollout: the roll-out.
    :param version: version of the endpoint that it is sent to.
    :param now_ms: current time.
    """
    rollout.exposure.sent += 1
    if version == rollout.order.version:
        rollout.exposure.sent_new += 1


def record_unsent(rollout: Rollout, version: types.Version) -> None:
    """Take back the count of a request that reached no endpoint.

    :param rollout: the roll-out.
    :param version: version of the endpoint that it was meant for.
    """
    rollout.exposure.sent -= 1
    if version == rollout.order.version:
        rollout.exposure.sent_new -= 1


def record_outcome(
    rollout: Rollout,
    route: str,
    version: types.Version,
    is_failure: bool,
    took_ms: float,
    now_ms: float,
    endpoint: types.EndpointId = types.EndpointId(''),
    is_cold: bool = False,
    whole_ms: float | None = None,
) -> None:
    """Count the end of a request that was sent.

    :param rollout: the roll-out.
    :param route: the request's route.
    :param version: version of the endpoint.
    :param is_failure: whether the endpoint failed it.
    :param took_ms: time until its answer began, or until it was given up.
    :param now_ms: current time.
    :param endpoint: the endpoint.
    :param is_cold: whether the endpoint was cold or its cache was filling.
    :param whole_ms: time until the end of a complete stream, whose events may
        be slow although its first one is not.
    """
    group = rollout_evidence.OLD_GROUP
    if version == rollout.order.version:
        group = rollout_evidence.find_group(endpoint)
    factor = COLD_FACTOR if is_cold else 1.0
    window = rollout.get_window(now_ms)
    name = route[:MAX_ROUTE_CHARS]
    rollout.evidence.count(
        (window, name, group),
        is_failure,
        rollout_evidence.find_class(took_ms / factor),
    )
    if whole_ms is not None:
        rollout.evidence.count(
            (window, name + rollout_evidence.WHOLE_SUFFIX, group),
            False,
            rollout_evidence.find_class(whole_ms / factor),
        )


def apply_state(rollout: Rollout, state: model.RolloutState) -> None:
    """Apply what the record says; a final state is never left.

    :param rollout: the roll-out.
    :param state: state of the record.
    """
    table = transition_table.load_transition_table(
        'rollout', model.RolloutState
    )
    trigger = _TRIGGERS.get(state, '')
    rollout.state = table.get((rollout.state, trigger), rollout.state)


def decide(rollout: Rollout, now_ms: float) -> Decision:
    """Decide about a roll-out; called often, at every router.

    :param rollout: the roll-out.
    :param now_ms: current time.
    """
    if rollout.state is not model.RolloutState.IN_PROGRESS:
        return _make_decision(rollout, Action.WAIT, Reason.IS_FINAL, now_ms)
    if now_ms - rollout.judged_ms >= JUDGE_INTERVAL_MS:
        rollout.judged_ms = now_ms
        _judge(rollout, now_ms)
    if rollout.is_condemned:
        return _make_decision(rollout, Action.ROLL_BACK, Reason.BAD, now_ms)
    _update_steps(rollout, now_ms)
    if rollout.steps_began_ms is not None:
        if _is_settled(rollout, now_ms):
            return _make_decision(
                rollout, Action.COMPLETE, Reason.MOVED, now_ms
            )
        return _make_decision(rollout, Action.WAIT, Reason.MOVING, now_ms)
    if now_ms >= rollout.deadline_ms + rollout.margin_ms:
        return _make_decision(
            rollout, Action.ROLL_BACK, Reason.DEADLINE, now_ms
        )
    reason = rollout.doubt or Reason.TOO_EARLY
    if rollout.has_failed_steps:
        reason = Reason.DOUBTFUL
    return _make_decision(rollout, Action.WAIT, reason, now_ms)


def _make_decision(
    rollout: Rollout, action: Action, reason: Reason, now_ms: float
) -> Decision:
    age_ms = None
    if rollout.totals_ms is not None:
        age_ms = round(now_ms - rollout.totals_ms)
    return Decision(
        action,
        reason,
        rollout.verdict,
        get_share(rollout, find_step(rollout, now_ms), ''),
        rollout.exposure.sent,
        rollout.exposure.sent_new,
        age_ms,
    )


def is_informed(rollout: Rollout, now_ms: float) -> bool:
    """Tell whether the router knows what the others saw, or has no others."""
    return _has_totals(rollout, now_ms) or _is_lone(rollout, now_ms)


def _has_totals(rollout: Rollout, now_ms: float) -> bool:
    ttl_ms = TOTALS_TTL_PART * rollout.bounds.rollback_ms
    return (
        rollout.totals_ms is not None and now_ms - rollout.totals_ms <= ttl_ms
    )


def _is_lone(rollout: Rollout, now_ms: float) -> bool:
    return (
        rollout.alone_since_ms is not None
        and now_ms - rollout.alone_since_ms >= LONE_MS
    )


def _judge(rollout: Rollout, now_ms: float) -> None:
    """Update the verdict, and why the version isn't taken for good yet."""
    tallies: rollout_evidence.Tallies = rollout.evidence.tallies
    if _has_totals(rollout, now_ms):
        tallies = rollout.totals
    routes = rollout_verdict.group_by_route(tallies)
    steady = rollout.get_window(rollout.last_steps_ms)
    rollout.verdict = rollout_verdict.judge(routes, steady)
    standing = rollout_verdict.Standing.SOUND
    if rollout.verdict is not None:
        standing = rollout.verdict.standing
    if standing is rollout_verdict.Standing.BAD:
        rollout.is_condemned = True
    _update_route_shares(rollout, routes, now_ms)
    rollout.doubt = None
    if not is_informed(rollout, now_ms):
        rollout.doubt = Reason.NO_FRESH_TOTALS
    elif not rollout.capacity.is_enough:
        rollout.doubt = Reason.FEW_ENDPOINTS
    elif standing is not rollout_verdict.Standing.SOUND:
        rollout.doubt = Reason.DOUBTFUL
    elif not _has_enough_answers(rollout, routes):
        rollout.doubt = Reason.FEW_ANSWERS


def _has_enough_answers(
    rollout: Rollout,
    routes: typing.Mapping[str, rollout_verdict.RouteTallies],
) -> bool:
    total = 0
    least_share = MIN_ANSWER_PART * rollout.bounds.exposure_share
    for route, item in routes.items():
        if rollout_evidence.is_whole(route):
            continue
        new = item.count_answers(is_old=False)
        old = item.count_answers(is_old=True)
        if new < min(MIN_ROUTE_ANSWERS, int(least_share * old)):
            return False
        total += new
    return total >= MIN_ANSWERS


def _update_route_shares(
    rollout: Rollout,
    routes: typing.Mapping[str, rollout_verdict.RouteTallies],
    now_ms: float,
) -> None:
    """Set the shares with which each route gets its answers in time."""
    passed_ms = now_ms - rollout.began_ms
    left_ms = rollout.last_steps_ms - now_ms
    rollout.route_shares = {}
    if passed_ms <= 0:
        return
    for route, item in routes.items():
        new = item.count_answers(is_old=False)
        seen = new + item.count_answers(is_old=True)
        # The answers are wanted before the time is half over.
        coming = seen / passed_ms * max(left_ms / 2, passed_ms / 4)
        wanted = MIN_ROUTE_ANSWERS
        if rollout.verdict is not None and rollout.verdict.route == route:
            if rollout.verdict.standing is rollout_verdict.Standing.DOUBTFUL:
                wanted *= DOUBT_MULTIPLE
        if seen and new < wanted:
            share = (wanted - new) / coming
            rollout.route_shares[route] = min(MAX_ROUTE_SHARE, share)


def _is_settled(rollout: Rollout, now_ms: float) -> bool:
    """Tell whether the version was judged by what the full step showed."""
    assert rollout.steps_began_ms is not None
    end_ms = rollout.steps_began_ms + rollout.steps_length_ms
    judged_ms = rollout.judged_ms
    if not _is_lone(rollout, now_ms):
        judged_ms = min(judged_ms, rollout.totals_ms or -math.inf)
    return now_ms >= end_ms + SETTLE_MS and judged_ms > end_ms


def _update_steps(rollout: Rollout, now_ms: float) -> None:
    has_begun = rollout.steps_began_ms is not None
    is_time = rollout.last_steps_ms <= now_ms < rollout.deadline_ms
    if rollout.is_leaving_old and is_time:
        if rollout.doubt is Reason.DOUBTFUL:
            # Under the whole load answers take longer than beside the old
            # version. Only a verdict against the version counts now.
            return
    if rollout.doubt is not None or not is_time:
        if has_begun and rollout.doubt is Reason.DOUBTFUL:
            # With the canary's share, a fault under load would not show again.
            rollout.has_failed_steps = True
        rollout.steps_began_ms = None
        return
    if has_begun or rollout.has_failed_steps:
        return
    rollout.steps_began_ms = now_ms
    rollout.steps_length_ms = max(MIN_STEPS_MS, rollout.steps_end_ms - now_ms)


def find_step(rollout: Rollout, now_ms: float) -> int | None:
    """Return the number of the current step, None before the first.

    After the last step it is the number of steps.
    """
    if rollout.steps_began_ms is None:
        return None
    part = (now_ms - rollout.steps_began_ms) / rollout.steps_length_ms
    if part >= 1:
        return len(STEP_SHARES)
    return sum(part >= start for start in STEP_STARTS) - 1


def get_share(rollout: Rollout, step: int | None, route: str) -> float:
    if step is not None:
        return (*STEP_SHARES, SETTLE_SHARE)[step]
    usual = CANARY_PART * rollout.bounds.exposure_share
    return max(usual, rollout.route_shares.get(route, 0.0))
