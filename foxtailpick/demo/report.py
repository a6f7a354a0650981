"""Tables of the demo: invariants checked and measurements."""

import dataclasses
import statistics
import typing

from foxtailpick.bench import tables
from foxtailpick.core import invariants
from foxtailpick.core import load_bound
from foxtailpick.demo import events as events_lib
from foxtailpick.demo import traffic as traffic_lib
from foxtailpick.standins import fleet as fleet_lib

IN_FORCE_BOUND_MS = 13_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Result of checking one invariant.

    :param invariant: the invariant.
    :param checked: what was checked.
    :param count: number of checks.
    :param is_satisfied: whether all checks passed, with at least one made.
    """

    invariant: invariants.Invariant
    checked: str
    count: int
    is_satisfied: bool


@dataclasses.dataclass(slots=True)
class LoadSkew:
    """Samples of the load skew between the model engines.

    :param ratios: highest load over mean load, one per sample.
    """

    ratios: list[float] = dataclasses.field(default_factory=list)

    def sample(self, loads: typing.Sequence[float]) -> None:
        """Record a sample, unless the mean load is below the bound's floor.

        Below the floor a single request exceeds the mean many times over,
        so the ratio does not indicate skew.

        :param loads: outstanding tokens at each engine.
        """
        mean = statistics.fmean(loads)
        if mean >= load_bound.FLOOR_TOKENS:
            self.ratios.append(max(loads) / mean)


def make_checks(
    fleet: fleet_lib.Fleet,
    traffic: traffic_lib.Traffic,
    results: events_lib.EventResults,
) -> list[Check]:
    """Evaluate the invariants that the demo covers.

    :param fleet: the deployment after the run.
    :param traffic: the callers.
    :param results: measurements taken during the events.
    """
    invariant = invariants.Invariant
    tally = traffic.tally
    overload_count = sum(
        engine.overload_count for engine in fleet.engines.values()
    )
    keys = {key for state in fleet.services.values() for key in state.runs}
    repeated = sum(traffic.count_runs(key) > 1 for key in keys)
    is_race_wrong = results.race_outcomes != ['accepted', 'rejected']
    rows = [
        (
            invariant.LOAD_BOUND,
            'admissions within the bound',
            fleet.monitor.checked[invariant.LOAD_BOUND],
            0,
        ),
        (
            invariant.SLOW_START,
            'engines without overload',
            len(fleet.engines),
            overload_count,
        ),
        (
            invariant.DOMAIN_OUT,
            'no run started in the domain after 3 s',
            fleet.monitor.checked[invariant.DOMAIN_OUT],
            results.runs_in_domain,
        ),
        (
            invariant.LEAVING,
            'no run started at the drained endpoint after 3 s',
            fleet.monitor.checked[invariant.LEAVING],
            results.runs_after_drain,
        ),
        (
            invariant.WHOLE_ANSWER,
            'complete chat answers with the right tokens',
            tally.chats,
            tally.broken_answers,
        ),
        (
            invariant.TRUE_REFUSAL,
            'refusals as not run',
            tally.refused_bookings + tally.failed_chats,
            tally.false_refusals,
        ),
        (invariant.AT_MOST_ONCE, 'booking keys', len(keys), repeated),
        (
            invariant.GRACEFUL,
            'no stream cut by a stopping router',
            1,
            results.cut_streams,
        ),
        (
            invariant.CONFIG_UPWARDS,
            'patches in force on all nodes within 13 s, one race',
            results.accepted_patches,
            int(results.max_in_force_ms > IN_FORCE_BOUND_MS) + is_race_wrong,
        ),
    ]
    return [
        Check(
            item,
            checked,
            count,
            failures == 0 and count > 0 and not fleet.monitor.violated[item],
        )
        for item, checked, count, failures in rows
    ]


def make_invariant_table(checks: list[Check]) -> tables.Table:
    """Return the table of invariants."""
    table = tables.Table(
        'Promises', ('promise', 'what was checked', 'count', 'result')
    )
    for check in checks:
        result = 'held' if check.is_satisfied else 'BROKEN'
        table.add_row(
            check.invariant.value, check.checked, check.count, result
        )
    return table


def make_measurement_table(
    traffic: traffic_lib.Traffic,
    results: events_lib.EventResults,
    skew: LoadSkew,
    control_bytes_s: float,
) -> tables.Table:
    """Return the table of measurements."""
    tally = traffic.tally
    table = tables.Table('Measures', ('what', 'value'))
    reuse = tally.cached_tokens / max(tally.prompt_tokens, 1)
    table.add_row('cache reuse of returning chats', reuse)
    ratios = sorted(skew.ratios) or [0.0]
    table.add_row(
        'load skew, highest over mean, median', _take_quantile(ratios, 0.5)
    )
    table.add_row(
        'load skew, highest over mean, p99', _take_quantile(ratios, 0.99)
    )
    table.add_row('control traffic per router, bytes/s', control_bytes_s)
    table.add_row('chats answered', tally.chats)
    table.add_row('chats failed', tally.failed_chats)
    table.add_row('bookings confirmed', tally.bookings)
    table.add_row('bookings refused as not run', tally.refused_bookings)
    table.add_row('bookings with unknown outcome', tally.unknown_bookings)
    table.add_row(
        'chats per second with the domain out of service',
        results.chats_while_domain_out / max(results.domain_out_s, 1.0),
    )
    table.add_row(
        'longest time until a patch was in force, ms', results.max_in_force_ms
    )
    for code, count in sorted(tally.codes.items()):
        table.add_row(f'answers with {code}', count)
    return table


def _take_quantile(ordered: list[float], fraction: float) -> float:
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
