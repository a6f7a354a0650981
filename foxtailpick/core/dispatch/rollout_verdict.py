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
# A version is worse if its share of bad answers exceeds this multiple of the
# old one's plus this margin.
WORSE_FACTOR = 1.5
WORSE_MARGIN = 0.02
# Probability of as many bad answers by chance, at the most that is tolerated:
# of a verdict against the version, of its confirmation without the worst
# group of endpoints, and of a doubt that delays its completion.
BAD_CHANCE = 1e-6
CONFIRMING_CHANCE = 1e-3
DOUBT_CHANCE = 1e-3
MIN_BAD = 6
MIN_CONFIRMING_BAD = 3
# Groups with fewer answers don't count as another group of endpoints.
MIN_GROUP_ANSWERS = 4
# Spans of the latest windows that are judged.
SPANS = (2, 6)
# With fewer old answers in a span, the earlier ones are the reference.
MIN_OLD_ANSWERS = 10
# Weight of the mean of all windows in that of a single one.
SHRINKAGE = 4.0


class Kind(enum.Enum):
    """What counts as a bad answer."""

    FAILED = 'failed'
    FAILED_OR_SLOW = 'failed-or-slow'


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


def judge(
    routes: typing.Mapping[str, RouteTallies], steady_windows: int
) -> Verdict | None:
    """Return the worst verdict on the new version, None without answers.

    :param routes: tallies by route.
    :param steady_windows: number of windows in which the new version had
        the same share of the requests; these are judged as a whole, too.
    """
    latest = max((max(item.windows) for item in routes.values()), default=0)
    spans = [
        range(max(0, latest - length + 1), latest + 1) for length in SPANS
    ]
    spans.append(range(min(steady_windows, latest + 1)))
    found = [
        verdict
        for route, item in routes.items()
        for span in spans
        for kind in Kind
        if (verdict := _judge_span(route, item, span, kind)) is not None
    ]
    order = list(Standing)
    return max(
        found,
        key=lambda item: (order.index(item.standing), -item.chance),
        default=None,
    )


def bound_chance(bad: int, answers: int, share: float) -> float:
    """Return a bound of the probability of so many bad answers or more.

    The Chernoff bound of the binomial distribution.

    :param bad: number of bad answers.
    :param answers: number of answers.
    :param share: expected share of bad answers.
    """
    if not answers or bad <= share * answers:
        return 1.0
    found = bad / answers
    exponent = found * math.log(found / share)
    if found < 1:
        exponent += (1 - found) * math.log((1 - found) / (1 - share))
    return math.exp(-answers * exponent)


def _judge_span(
    route: str, item: RouteTallies, span: range, kind: Kind
) -> Verdict | None:
    windows = [item.windows[index] for index in span if index in item.windows]
    new_answers = sum(
        tally.answers
        for groups in windows
        for group, tally in groups.items()
        if group != rollout_evidence.OLD_GROUP
    )
    if not new_answers:
        return None
    old = _sum_old(windows)
    is_old_earlier = old.answers < MIN_OLD_ANSWERS
    if is_old_earlier:
        old = _sum_old(item.windows.values())
    slow_class = _find_slow_class(old)

    def count_bad(tally: rollout_evidence.Tally) -> int:
        if kind is Kind.FAILED:
            return tally.failures
        return tally.failures + tally.count_beyond(slow_class)

    mean_share = (count_bad(old) + 1) / (old.answers + 2)
    expected = 0.0
    groups_bad: dict[int, list[int]] = {}
    for groups in windows:
        old_tally = groups.get(
            rollout_evidence.OLD_GROUP, rollout_evidence.Tally()
        )
        share = (count_bad(old_tally) + SHRINKAGE * mean_share) / (
            old_tally.answers + SHRINKAGE
        )
        for group, tally in groups.items():
            if group == rollout_evidence.OLD_GROUP:
                continue
            expected += share * tally.answers
            sums = groups_bad.setdefault(group, [0, 0])
            sums[0] += count_bad(tally)
            sums[1] += tally.answers
    old_share = expected / new_answers
    bad = sum(sums[0] for sums in groups_bad.values())
    tolerated = min(0.99, WORSE_MARGIN + WORSE_FACTOR * old_share)
    chance = bound_chance(bad, new_answers, tolerated)
    rest_bad, rest_answers = _leave_out_worst(groups_bad)
    rest_chance = bound_chance(rest_bad, rest_answers, tolerated)
    standing = Standing.SOUND
    if (
        bad >= MIN_BAD
        and chance <= BAD_CHANCE
        and rest_bad >= MIN_CONFIRMING_BAD
        and rest_chance <= CONFIRMING_CHANCE
    ):
        standing = Standing.BAD
    elif rest_bad >= MIN_CONFIRMING_BAD and rest_chance <= DOUBT_CHANCE:
        standing = Standing.DOUBTFUL
    return Verdict(
        standing,
        route,
        kind,
        len(windows),
        bad,
        new_answers,
        old_share,
        old.answers,
        chance,
        is_old_earlier,
    )


def _sum_old(
    windows: typing.Iterable[typing.Mapping[int, rollout_evidence.Tally]],
) -> rollout_evidence.Tally:
    total = rollout_evidence.Tally()
    for groups in windows:
        if rollout_evidence.OLD_GROUP in groups:
            total.add(groups[rollout_evidence.OLD_GROUP])
    return total


def _find_slow_class(old: rollout_evidence.Tally) -> int:
    """Return the first latency class that is slow for the old version."""
    half = old.classes.total() / 2
    if not half:
        return rollout_evidence.MAX_CLASS + 1
    seen = 0
    for cls in sorted(old.classes):
        count = old.classes[cls]
        if count and seen + count >= half:
            # Interpolated within the class.
            median = cls - 1 + (half - seen) / count
            break
        seen += count
    shift = math.log(SLOW_FACTOR, rollout_evidence.CLASS_FACTOR)
    return 1 + round(median + shift)


def _leave_out_worst(
    groups: typing.Mapping[int, typing.Sequence[int]],
) -> tuple[int, int]:
    """Return bad answers and answers without the worst group, if others."""
    usable = {
        group: sums
        for group, sums in groups.items()
        if sums[1] >= MIN_GROUP_ANSWERS
    }
    bad = sum(sums[0] for sums in groups.values())
    answers = sum(sums[1] for sums in groups.values())
    if len(usable) < 2:
        return bad, answers
    worst = max(usable.values(), key=lambda sums: sums[0] / sums[1])
    return bad - worst[0], answers - worst[1]
