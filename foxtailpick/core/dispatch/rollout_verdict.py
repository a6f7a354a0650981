"""Judges a new version of a service against the old one.

Load pattern: a bad version fails a part of its requests or answers them
several times slower, at once or later, under load or on one route, while
bursts, faults of the store and bad links slow or fail requests of both
versions. Each route is judged by itself. The new version is compared with
what the old one did in the same windows, weighted as the new one's requests
are spread over them. Without enough answers of the old version there, what it
did earlier is the reference.
"""

import dataclasses
import enum
import math
import typing

from foxtailpick.core.dispatch import rollout_evidence

# Answers so many times slower than the old version's median count as slow.
SLOW_FACTOR = 2.5
# Endpoints of a service differ in speed. The answers of a group count as slow
# at a multiple of its own speed, up to this factor. That is compared by the
# lower quartile, which a part of slow answers hardly shifts.
MAX_SPEED_FACTOR = 1.6
SPEED_QUANTILE = 0.25
MIN_SPEED_ANSWERS = 10
# In a window with fewer old answers for each new one, the latency of the old
# version under the same load isn't known; an answer is slow there if it takes
# so many times longer than elsewhere.
MIN_PAIRED_SHARE = 0.25
UNPAIRED_FACTOR = 2.0
# A version is worse if its share of bad answers exceeds this multiple of the
# old one's plus one of `WORSE_MARGINS`.
WORSE_FACTOR = 1.5
# Probability of as many bad answers by chance, at the most that is tolerated:
# of a verdict against the version, and of a doubt that delays its completion.
BAD_CHANCE = 1e-6
DOUBT_CHANCE = 1e-2
MIN_BAD = 6
# With so many bad answers beyond the expected ones, a verdict needs less: the
# operators count 50 of them until the version has to be withdrawn.
MANY_BAD = 30
MANY_BAD_CHANCE = 1e-3
# Without the worst group of endpoints there have to be so many bad answers,
# with this chance at most, for a verdict and for a doubt.
MIN_REST_BAD = 2
REST_CHANCE = 0.05
REST_DOUBT_CHANCE = 0.2
# Spans of the latest windows that are judged.
SPANS = (2, 6)
# With fewer old answers in a span, the earlier ones are the reference.
MIN_OLD_ANSWERS = 10
# Weight of the mean of all windows in that of a single one.
SHRINKAGE = 4.0
MAX_TOLERATED = 0.99
# Smaller terms of a sum, relative to it, are left out.
MIN_TERM = 1e-9
# The name under which the answers on all routes are judged together.
ALL_ROUTES = '*'

_SLOW_CLASSES = math.log(SLOW_FACTOR, rollout_evidence.CLASS_FACTOR)
_MAX_ALLOWANCE = math.log(MAX_SPEED_FACTOR, rollout_evidence.CLASS_FACTOR)
_UNPAIRED_ALLOWANCE = math.log(UNPAIRED_FACTOR, rollout_evidence.CLASS_FACTOR)
_NO_ANSWERS = rollout_evidence.Tally()


class Kind(enum.Enum):
    """What counts as a bad answer."""

    FAILED = 'failed'
    FAILED_OR_SLOW = 'failed-or-slow'


# Slow answers are less regular than failures.
WORSE_MARGINS = {Kind.FAILED: 0.01, Kind.FAILED_OR_SLOW: 0.03}


class Standing(enum.Enum):
    """What the evidence says of a version."""

    SOUND = 'sound'
    DOUBTFUL = 'doubtful'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What the evidence says of the new version on one route.

    :param standing: the result.
    :param route: the route.
    :param kind: what counts as bad.
    :param windows: number of windows that were judged.
    :param bad: bad answers of the new version.
    :param answers: its answers.
    :param old_share: share of bad answers of the old version, weighted.
    :param old_answers: answers of the old version.
    :param chance: probability of as many bad answers by chance at most.
    :param is_old_earlier: whether the old version was judged by earlier
        windows.
    """

    standing: Standing
    route: str
    kind: Kind
    windows: int
    bad: int
    answers: int
    old_share: float
    old_answers: int
    chance: float
    is_old_earlier: bool


@dataclasses.dataclass(slots=True)
class RouteTallies:
    """Tallies of one route by window and group.

    :param windows: tallies by group, by the number of the window.
    """

    windows: dict[int, dict[int, rollout_evidence.Tally]] = dataclasses.field(
        default_factory=dict
    )

    def sum_group(self, group: int) -> rollout_evidence.Tally:
        """Return the answers of a group in all windows."""
        return _sum_group(self.windows.values(), group)

    def count_answers(self, is_old: bool) -> int:
        """Return the answers of the old or the new version."""
        return sum(
            tally.answers
            for groups in self.windows.values()
            for group, tally in groups.items()
            if (group == rollout_evidence.OLD_GROUP) is is_old
        )


def group_by_route(
    tallies: rollout_evidence.Tallies,
) -> dict[str, RouteTallies]:
    """Return the tallies by route.

    :param tallies: tallies by window, route and group.
    """
    routes: dict[str, RouteTallies] = {}
    for (window, route, group), tally in tallies.items():
        found = routes.setdefault(route, RouteTallies())
        found.windows.setdefault(window, {})[group] = tally
    return routes


@dataclasses.dataclass(slots=True)
class _Comparison:
    """Bad answers of the new version beside what the old one's share gives.

    :param groups: bad answers and answers of each group of endpoints.
    :param expected: bad answers with the share of the old version.
    :param old_answers: answers of the old version.
    :param is_old_earlier: whether some of them are from earlier windows.
    """

    groups: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    expected: float = 0.0
    old_answers: int = 0
    is_old_earlier: bool = False

    @property
    def bad(self) -> int:
        """Bad answers of the new version."""
        return sum(bad for bad, _ in self.groups.values())

    @property
    def answers(self) -> int:
        """Answers of the new version."""
        return sum(answers for _, answers in self.groups.values())

    def count(self, group: int, bad: int, answers: int) -> None:
        """Count answers of a group."""
        sums = self.groups.setdefault(group, [0, 0])
        sums[0] += bad
        sums[1] += answers

    def add(self, other: '_Comparison') -> None:
        """Add the answers on another route."""
        for group, (bad, answers) in other.groups.items():
            self.count(group, bad, answers)
        self.expected += other.expected
        self.old_answers += other.old_answers
        self.is_old_earlier |= other.is_old_earlier


def judge(
    routes: typing.Mapping[str, RouteTallies], steady_windows: int
) -> Verdict | None:
    """Return the worst verdict on the new version, None without answers.

    :param routes: tallies by route.
    :param steady_windows: number of windows before the last steps; these and
        the later ones are judged as a whole, too.
    """
    latest = max((max(item.windows) for item in routes.values()), default=0)
    spans = [
        range(max(0, latest - length + 1), latest + 1) for length in SPANS
    ]
    steady = min(steady_windows, latest + 1)
    spans += [range(steady), range(steady, latest + 1)]
    allowances = _find_allowances(routes)
    is_single = _has_single_group(routes)
    found = []
    for kind in Kind:
        for span in spans:
            every = _Comparison()
            for route, item in routes.items():
                comparison = _compare(item, span, kind, allowances)
                if not rollout_evidence.is_whole(route):
                    every.add(comparison)
                found.append(
                    _make_verdict(route, comparison, span, kind, is_single)
                )
            found.append(
                _make_verdict(ALL_ROUTES, every, span, kind, is_single)
            )
    order = list(Standing)
    return max(
        (item for item in found if item.answers),
        key=lambda item: (order.index(item.standing), -item.chance),
        default=None,
    )


def compute_chance(bad: int, answers: int, share: float) -> float:
    """Return the probability of so many bad answers or more by chance.

    :param bad: number of bad answers.
    :param answers: number of answers.
    :param share: expected share of bad answers, between 0 and 1.
    """
    if bad <= share * answers:
        # Large enough that it doesn't matter.
        return 1.0
    odds = share / (1 - share)
    term = math.exp(
        math.lgamma(answers + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(answers - bad + 1)
        + bad * math.log(share)
        + (answers - bad) * math.log1p(-share)
    )
    total = 0.0
    for count in range(bad, answers + 1):
        total += term
        term *= odds * (answers - count) / (count + 1)
        if term < total * MIN_TERM:
            break
    return min(1.0, total)


def _compare(
    item: RouteTallies,
    span: range,
    kind: Kind,
    allowances: typing.Mapping[int, float],
) -> _Comparison:
    windows = [item.windows[index] for index in span if index in item.windows]
    old = _sum_group(windows, rollout_evidence.OLD_GROUP)
    is_old_earlier = old.answers < MIN_OLD_ANSWERS
    if is_old_earlier:
        old = item.sum_group(rollout_evidence.OLD_GROUP)
    median = _find_quantile(old, 0.5)

    def count_bad(
        group: int, tally: rollout_evidence.Tally, allowance: float
    ) -> int:
        if kind is Kind.FAILED or median is None:
            return tally.failures
        slow = median + _SLOW_CLASSES + allowances.get(group, 0.0) + allowance
        return tally.failures + tally.count_beyond(1 + round(slow))

    old_group = rollout_evidence.OLD_GROUP
    mean_share = (count_bad(old_group, old, 0.0) + 1) / (old.answers + 2)
    found = _Comparison(old_answers=old.answers, is_old_earlier=is_old_earlier)
    for groups in windows:
        old = groups.get(old_group, _NO_ANSWERS)
        new = sum(tally.answers for tally in groups.values()) - old.answers
        allowance = 0.0
        if old.answers < MIN_PAIRED_SHARE * new:
            allowance = _UNPAIRED_ALLOWANCE
        share = count_bad(old_group, old, allowance) + SHRINKAGE * mean_share
        share /= old.answers + SHRINKAGE
        for group, tally in groups.items():
            if group != old_group:
                found.expected += share * tally.answers
                bad = count_bad(group, tally, allowance)
                found.count(group, bad, tally.answers)
    return found


def _make_verdict(
    route: str,
    comparison: _Comparison,
    span: range,
    kind: Kind,
    is_single: bool,
) -> Verdict:
    bad = comparison.bad
    answers = comparison.answers
    old_share = comparison.expected / answers if answers else 0.0
    tolerated = WORSE_MARGINS[kind] + WORSE_FACTOR * old_share
    tolerated = min(MAX_TOLERATED, tolerated)
    chance = compute_chance(bad, answers, tolerated)
    rest_bad, rest_answers = _leave_out_worst(comparison.groups, is_single)
    needed = BAD_CHANCE
    if bad - comparison.expected >= MANY_BAD:
        needed = MANY_BAD_CHANCE
    rest_chance = compute_chance(rest_bad, rest_answers, tolerated)
    standing = Standing.SOUND
    if rest_bad >= MIN_REST_BAD and rest_chance <= REST_DOUBT_CHANCE:
        is_confirmed = bad >= MIN_BAD and rest_chance <= REST_CHANCE
        if is_confirmed and chance <= needed:
            standing = Standing.BAD
        elif chance <= DOUBT_CHANCE:
            standing = Standing.DOUBTFUL
    return Verdict(
        standing,
        route,
        kind,
        len(span),
        bad,
        answers,
        old_share,
        comparison.old_answers,
        chance,
        comparison.is_old_earlier,
    )


def _has_single_group(
    routes: typing.Mapping[str, RouteTallies],
) -> bool:
    """Tell whether all endpoints of the new version are in one group."""
    found = {
        group
        for item in routes.values()
        for groups in item.windows.values()
        for group in groups
    }
    return len(found - {rollout_evidence.OLD_GROUP}) < 2


def _sum_group(
    windows: typing.Iterable[typing.Mapping[int, rollout_evidence.Tally]],
    group: int,
) -> rollout_evidence.Tally:
    total = rollout_evidence.Tally()
    for groups in windows:
        if group in groups:
            total.add(groups[group])
    return total


def _find_quantile(tally: rollout_evidence.Tally, part: float) -> float | None:
    """Return a quantile of latency, as a logarithm to the class factor."""
    wanted = part * tally.answered
    seen = 0
    for cls in sorted(tally.classes):
        count = tally.classes[cls]
        if count and seen + count >= wanted:
            # Interpolated within the class.
            return cls - 1 + (wanted - seen) / count
        seen += count
    return None


def _find_allowances(
    routes: typing.Mapping[str, RouteTallies],
) -> dict[int, float]:
    """Return by how many latency classes each group is slower on average."""
    sums: dict[int, list[float]] = {}
    for route, item in routes.items():
        if rollout_evidence.is_whole(route):
            continue
        old = _find_quantile(
            item.sum_group(rollout_evidence.OLD_GROUP), SPEED_QUANTILE
        )
        groups = {key for window in item.windows.values() for key in window}
        for group in groups - {rollout_evidence.OLD_GROUP}:
            tally = item.sum_group(group)
            found = _find_quantile(tally, SPEED_QUANTILE)
            if (
                old is not None
                and found is not None
                and tally.answered >= MIN_SPEED_ANSWERS
            ):
                known = sums.setdefault(group, [0.0, 0.0])
                known[0] += (found - old) * tally.answered
                known[1] += tally.answered
    return {
        group: min(max(0.0, total / answers), _MAX_ALLOWANCE)
        for group, (total, answers) in sums.items()
    }


def _leave_out_worst(
    groups: typing.Mapping[int, typing.Sequence[int]], is_single: bool
) -> tuple[int, int]:
    """Return bad answers and answers without those of the worst group.

    :param groups: bad answers and answers by group.
    :param is_single: whether all endpoints are in one group.
    """
    bad = sum(sums[0] for sums in groups.values())
    answers = sum(sums[1] for sums in groups.values())
    if is_single or not groups:
        return bad, answers
    worst = max(groups.values(), key=lambda sums: (sums[0], -sums[1]))
    return bad - worst[0], answers - worst[1]
