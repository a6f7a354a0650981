"""Exchange of what routers know of the pace of endpoints, through the hub.

Load pattern: an engine states its pace in a few responses a second, each of
which goes to another router, and the pace has changed before a router reads
the next one. Each router sends its evidence to the hub, which sends the sums
back. Only endpoints that some router finds unusual are named, so that nothing
is sent while all are as usual. A lost message is made up for by the next one;
without a hub, what others told decays.
"""

import dataclasses
import typing

from foxtailpick.core.dispatch import endpoint_pace
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core import types

# Endpoint id: weight and weighted sum of the paces, both in hundredths, and
# age of the latest evidence in ms.
Report = dict[types.EndpointId, list[int]]

# Shortest time between two reports of a router, and two totals of the hub.
INTERVAL_MS = 140.0
# Reports of a router that sends none are dropped after this time.
REPORT_TTL_MS = 1_500.0
# Largest number of endpoints in a report and in the totals.
MAX_REPORTED = 64
# Number of sent reports kept because totals in flight may contain them.
MAX_SENT_REPORTS = 8
_NO_REPORT: Report = {}
_HUNDREDTHS = 100
# Larger numbers are no evidence and no age.
_MAX_NUMBER = 10_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Stored:
    number: int
    report: Report
    stored_ms: float


class HubPaces:
    """The latest report of each router, kept by the hub."""

    def __init__(self) -> None:
        self._reports: dict[types.RouterId, _Stored] = {}

    def record(
        self,
        router: types.RouterId,
        number: int,
        report: Report,
        now_ms: float,
    ) -> None:
        """Store the report of a router, replacing its previous one.

        :param router: the router.
        :param number: sequence number of the report.
        :param report: its evidence.
        :param now_ms: current time.
        """
        self._reports[router] = _Stored(number, report, now_ms)

    def merge(self, now_ms: float) -> Report:
        """Return the sums over all routers, decayed to now.

        :param now_ms: current time.
        """
        sums: dict[types.EndpointId, endpoint_pace.Sums] = {}
        ages_ms: dict[types.EndpointId, float] = {}
        for router, stored in list(self._reports.items()):
            passed_ms = now_ms - stored.stored_ms
            if passed_ms > REPORT_TTL_MS:
                del self._reports[router]
                continue
            for endpoint, (weight, total, age_ms) in stored.report.items():
                sums[endpoint] = endpoint_pace.add_sums(
                    sums.get(endpoint, endpoint_pace.NO_SUMS),
                    endpoint_pace.decay((weight, total), passed_ms),
                )
                ages_ms[endpoint] = min(
                    ages_ms.get(endpoint, age_ms + passed_ms),
                    age_ms + passed_ms,
                )
        named = sorted(sums, key=lambda key: sums[key], reverse=True)
        return {
            key: [
                round(sums[key][0]),
                round(sums[key][1]),
                round(ages_ms[key]),
            ]
            for key in named[:MAX_REPORTED]
        }

    def list_routers(self) -> list[tuple[types.RouterId, int]]:
        """Return the routers that reported, with the number of the report."""
        return [
            (router, stored.number) for router, stored in self._reports.items()
        ]


class SentPaces:
    """Reports sent to the hub, subtracted again from its totals."""

    def __init__(self) -> None:
        self._sent: dict[int, tuple[float, Report]] = {}
        self._number = 0

    def next_report(
        self, table: endpoint_table.EndpointTable, now_ms: float
    ) -> tuple[int, Report]:
        """Return the sequence number and the evidence of the next report.

        :param table: the endpoints.
        :param now_ms: current time.
        """
        report: Report = {}
        for item in table.list_all():
            if not item.pace.needs_report(now_ms):
                continue
            weight, total = item.pace.own.compute_sums(now_ms)
            report[item.id] = [
                round(weight * _HUNDREDTHS),
                round(total * _HUNDREDTHS),
                item.pace.compute_own_age_ms(now_ms),
            ]
            if len(report) == MAX_REPORTED:
                break
        self._number += 1
        self._sent[self._number] = (now_ms, report)
        self._sent.pop(self._number - MAX_SENT_REPORTS, None)
        return self._number, report

    def apply_totals(
        self,
        table: endpoint_table.EndpointTable,
        totals: Report,
        number: int,
        now_ms: float,
    ) -> bool:
        """Note what the other routers know.

        :param table: the endpoints.
        :param totals: the sums of all routers.
        :param number: sequence number of this router's report that they
            include, 0 if they include none.
        :param now_ms: current time.
        :returns: False if that report is no longer kept.
        """
        sent_ms, own = now_ms, _NO_REPORT
        if number:
            if number not in self._sent:
                return False
            sent_ms, own = self._sent[number]
        for endpoint, (weight, total, age_ms) in totals.items():
            item = table.get(endpoint)
            if item is None:
                continue
            own_weight, own_total, _ = own.get(endpoint, (0, 0, 0))
            others = endpoint_pace.subtract_sums(
                (weight, total),
                endpoint_pace.decay((own_weight, own_total), now_ms - sent_ms),
            )
            item.pace.set_others(
                (others[0] / _HUNDREDTHS, others[1] / _HUNDREDTHS),
                age_ms,
                now_ms,
            )
        return True


def decode_report(message: typing.Any) -> Report:
    """Check a report or totals of another router.

    :param message: the message, decoded.
    :raises ValueError: if it is malformed.
    """
    if not isinstance(message, dict) or len(message) > MAX_REPORTED:
        raise ValueError(f'expected paces by endpoint, got {message!r:.80}')
    for endpoint, evidence in message.items():
        if not isinstance(endpoint, str) or not _is_evidence(evidence):
            raise ValueError(
                f'expected weight, sum and age of paces, got '
                f'{endpoint!r:.40}: {evidence!r:.80}'
            )
    return message


def _is_evidence(value: typing.Any) -> bool:
    if not isinstance(value, list) or len(value) != 3:
        return False
    if not all(type(number) is int for number in value):
        return False
    if not all(0 <= number <= _MAX_NUMBER for number in value):
        return False
    weight, total, _ = value
    return (
        weight * endpoint_pace.MIN_PACE - 1
        <= total
        <= weight * endpoint_pace.MAX_PACE + endpoint_pace.MAX_PACE
    )
