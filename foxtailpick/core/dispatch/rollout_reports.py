"""Exchange of the evidence of a roll-out between routers, through a hub.

Load pattern: many routers report few answers each, several times a second,
while messages get lost, routers restart and the hub changes. A row replaces
the one that the router told before of the same window, and rows without news
are repeated now and then, so that a new hub knows them after a while. A
verdict against a version is told at once and is final.
"""

import dataclasses
import math
import typing

from foxtailpick.core.dispatch import rollout_evidence
from foxtailpick.core.dispatch import rollouts
from foxtailpick.core import types

# Times between two reports of a router, and between two totals of the hub.
REPORT_INTERVAL_MS = 400.0
TOTALS_INTERVAL_MS = 300.0
# An order of which routers tell nothing for this time is dropped.
ORDER_TTL_MS = 60_000.0
MAX_ENTRIES_IN_MESSAGE = 16


def make_report(rollout: rollouts.Rollout, now_ms: float) -> list[typing.Any]:
    """Return what to tell the hub now, nothing if it isn't time yet.

    :param rollout: the roll-out.
    :param now_ms: current time.
    :returns: entries; each of them fits into one packet.
    """
    is_news = rollout.is_condemned and not rollout.has_reported_verdict
    if now_ms - rollout.reported_ms < REPORT_INTERVAL_MS and not is_news:
        return []
    rollout.reported_ms = now_ms
    rollout.has_reported_verdict = rollout.is_condemned
    return _make_entries(
        rollout.order.id, rollout.is_condemned, rollout.evidence
    )


def repeat_all(rollout: rollouts.Rollout) -> None:
    """Tell everything again, as there is a new hub.

    :param rollout: the roll-out.
    """
    rollout.evidence.repeat_all()
    rollout.has_reported_verdict = False


def apply_totals(
    rollout: rollouts.Rollout,
    totals: typing.Iterable[typing.Any],
    now_ms: float,
) -> None:
    """Apply what the hub tells of all routers.

    :param rollout: the roll-out.
    :param totals: checked entries; those of other orders are ignored.
    :param now_ms: current time.
    """
    for order, is_condemned, rows in totals:
        if order != rollout.order.id:
            continue
        rollout.totals_ms = now_ms
        rollout.is_condemned |= is_condemned
        for row in rows:
            key, tally = rollout_evidence.decode_row(row)
            rollout.totals[key] = tally


def _make_entries(
    order: types.RolloutId,
    is_condemned: bool,
    evidence: rollout_evidence.Evidence,
) -> list[typing.Any]:
    return [[order, is_condemned, rows] for rows in evidence.take_rows()]


@dataclasses.dataclass(slots=True)
class _OrderReports:
    """What routers reported of one order.

    :param rows: tallies by router and key.
    :param sums: their sums.
    :param is_condemned: whether one of them found the version bad.
    :param received_ms: when the last report came.
    :param merged_ms: when the totals were told last.
    :param has_told: whether the verdict was told.
    """

    rows: dict[
        types.RouterId,
        dict[rollout_evidence.Key, rollout_evidence.Tally],
    ] = dataclasses.field(default_factory=dict)
    sums: rollout_evidence.Evidence = dataclasses.field(
        default_factory=rollout_evidence.Evidence
    )
    is_condemned: bool = False
    received_ms: float = 0.0
    merged_ms: float = -math.inf
    has_told: bool = False


class HubRollouts:
    """What all routers report of roll-outs, kept by the hub."""

    def __init__(self) -> None:
        self._orders: dict[types.RolloutId, _OrderReports] = {}

    def record(
        self,
        router: types.RouterId,
        report: typing.Iterable[typing.Any],
        now_ms: float,
    ) -> None:
        """Replace what a router told of the same windows before.

        :param router: the router.
        :param report: checked entries.
        :param now_ms: current time.
        """
        for order, is_condemned, rows in report:
            known = self._orders.setdefault(order, _OrderReports())
            known.received_ms = now_ms
            known.is_condemned |= is_condemned
            told = known.rows.setdefault(router, {})
            for row in rows:
                key, tally = rollout_evidence.decode_row(row)
                known.sums.replace(key, told.get(key), tally)
                told[key] = tally

    def merge(self, now_ms: float) -> list[typing.Any]:
        """Return the totals to tell all routers now, nothing if not due.

        :param now_ms: current time.
        :returns: entries; each of them fits into one packet.
        """
        self._orders = {
            order: known
            for order, known in self._orders.items()
            if now_ms - known.received_ms <= ORDER_TTL_MS
        }
        entries = []
        for order, known in self._orders.items():
            is_news = known.is_condemned and not known.has_told
            if now_ms - known.merged_ms < TOTALS_INTERVAL_MS and not is_news:
                continue
            known.merged_ms = now_ms
            known.has_told = known.is_condemned
            entries += _make_entries(order, known.is_condemned, known.sums)
        return entries


def decode_reports(message: typing.Any) -> list[typing.Any]:
    """Check a report or totals that were received.

    :param message: entries of an order, whether its version was found bad,
        and rows.
    :raises ValueError: if it has another form.
    """
    if (
        not isinstance(message, list)
        or len(message) > MAX_ENTRIES_IN_MESSAGE
        or not all(map(_is_entry, message))
    ):
        raise ValueError(
            f'expected entries of an order, a verdict and rows, got '
            f'{message!r:.80}'
        )
    return message


def _is_entry(item: typing.Any) -> bool:
    return (
        isinstance(item, list)
        and len(item) == 3
        and rollout_evidence.is_name(item[0])
        and isinstance(item[1], bool)
        and isinstance(item[2], list)
        and len(item[2]) <= rollout_evidence.MAX_ROWS
        and all(map(rollout_evidence.is_row, item[2]))
        and len({tuple(row[:3]) for row in item[2]}) == len(item[2])
    )
