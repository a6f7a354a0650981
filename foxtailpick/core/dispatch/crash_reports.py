"""Exchange of evidence about prompt parts through the hub.

Load pattern: requests that crash endpoints arrive at all routers, so that
each sees few of them. Routers report suspected parts and quarantines to the
hub, which returns the totals. Datagrams may get lost, and most of them would
say the same as the ones before.
"""

import math
import typing

from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core import types

MAX_TOTAL_PARTS = 32
# Reports and totals without news are repeated at this interval.
REPEAT_INTERVAL_MS = 1_000.0
# What happened less than this time ago is news.
FRESH_MS = 2_000.0


def check_report(report: typing.Any) -> None:
    """Check the form of a report that was received.

    :param report: result of `CrashRecords.make_report`, decoded.
    :raises ValueError: if it has another form.
    """
    if report is not None and not (
        isinstance(report, list)
        and len(report) == 3
        and all(isinstance(item, dict) for item in report)
        and all(_is_list(ends) for ends in report[0].values())
        and all(
            _is_list(end, 2) and _is_age(end[1])
            for ends in report[0].values()
            for end in ends
        )
        and all(_is_age(age_ms) for age_ms in report[1].values())
        and all(
            _is_list(item, 3)
            and _is_age(item[0])
            and _is_age(item[1])
            and (item[2] is None or _is_age(item[2]))
            for item in report[2].values()
        )
    ):
        raise ValueError(
            f'expected ends, sound answers and quarantines by prompt part, '
            f'got {report!r:.80}'
        )


def check_totals(totals: typing.Any) -> None:
    """Check the form of totals that were received.

    :param totals: result of `HubCrashReports.merge`, decoded.
    :raises ValueError: if they have another form.
    """
    if not isinstance(totals, dict) or not all(
        isinstance(item, list) and len(item) == 3 for item in totals.values()
    ):
        raise ValueError(
            f'expected the totals of prompt parts, got {totals!r:.80}'
        )


def _is_list(value: typing.Any, length: int | None = None) -> bool:
    return isinstance(value, list) and length in (None, len(value))


def _is_age(value: typing.Any) -> bool:
    return isinstance(value, int | float) and 0 <= value < math.inf


class Pacer:
    """Paces the messages of one kind: news at once, the rest at intervals.

    After a crash a part stays suspected until somebody asks for it again, so
    most messages would say the same as the one before.
    """

    def __init__(self) -> None:
        self._sent: typing.Any = None
        self._sent_ms = -math.inf

    def is_due(self, message: typing.Any, now_ms: float) -> bool:
        """Tell whether to send a message now, and assume that it is sent.

        :param message: a report or totals, None if there is nothing to say,
            which is news only after there was.
        :param now_ms: current time.
        """
        if message is None and self._sent is None:
            return False
        content = _hide_old_ages(message)
        is_repeated = content == self._sent
        if is_repeated and now_ms - self._sent_ms < REPEAT_INTERVAL_MS:
            return False
        self._sent = content
        self._sent_ms = now_ms
        return True


class HubCrashReports:
    """The latest report of each router, kept by the hub."""

    def __init__(self) -> None:
        self._reports: dict[
            types.RouterId, tuple[float, list[typing.Any]]
        ] = {}

    def record(
        self,
        router: types.RouterId,
        report: list[typing.Any] | None,
        now_ms: float,
    ) -> None:
        """Store the report of a router, replacing its previous one.

        :param router: the router.
        :param report: result of `CrashRecords.make_report`.
        :param now_ms: current time.
        """
        if report is None:
            self._reports.pop(router, None)
        else:
            self._reports[router] = now_ms, report

    def merge(
        self, now_ms: float
    ) -> dict[types.PartId, list[typing.Any]] | None:
        """Return the totals of all routers, None if there are none.

        :param now_ms: current time.
        :returns: for each part the number of ends since its last sound
            answer, the age of that answer if any, and its quarantine if
            any. The worst parts come first.
        """
        for router, (received_ms, _) in list(self._reports.items()):
            if now_ms - received_ms > crash_quarantine.MAX_AGE_MS:
                del self._reports[router]
        ends: dict[types.PartId, dict[str, float]] = {}
        sound_ms: dict[types.PartId, float] = {}
        quarantines: dict[types.PartId, crash_quarantine.Quarantine] = {}
        for received_ms, report in self._reports.values():
            self._merge_report(report, received_ms, ends, sound_ms)
            self._merge_quarantines(report[2], received_ms, quarantines)
        totals = {}
        for part in {*ends, *quarantines}:
            last_ms = sound_ms.get(part, -math.inf)
            quarantine = quarantines.get(part)
            if quarantine is not None and quarantine.started_ms < last_ms:
                quarantine = None
            count = crash_quarantine.count_ends(
                ms for ms in ends.get(part, {}).values() if ms > last_ms
            )
            totals[part] = [
                count,
                round(now_ms - last_ms) if part in sound_ms else None,
                _encode_quarantine(quarantine, now_ms),
            ]
        worst = sorted(
            totals.items(),
            key=lambda item: (item[1][2] is not None, item[1][0]),
            reverse=True,
        )
        return dict(worst[:MAX_TOTAL_PARTS]) or None

    def _merge_report(
        self,
        report: list[typing.Any],
        received_ms: float,
        ends: dict[types.PartId, dict[str, float]],
        sound_ms: dict[types.PartId, float],
    ) -> None:
        for part, found in report[0].items():
            merged = ends.setdefault(part, {})
            for endpoint, age_ms in found:
                end_ms = received_ms - age_ms
                merged[endpoint] = min(merged.get(endpoint, end_ms), end_ms)
        for part, age_ms in report[1].items():
            sound_ms[part] = max(
                sound_ms.get(part, -math.inf), received_ms - age_ms
            )

    def _merge_quarantines(
        self,
        reported: typing.Mapping[types.PartId, typing.Any],
        received_ms: float,
        quarantines: dict[types.PartId, crash_quarantine.Quarantine],
    ) -> None:
        for part, (age_ms, level, test_age_ms) in reported.items():
            merged = quarantines.get(part)
            if merged is None or merged.level < level:
                merged = crash_quarantine.Quarantine(
                    received_ms - age_ms, level
                )
                quarantines[part] = merged
            if test_age_ms is not None and merged.level == level:
                merged.test_ms = max(
                    merged.test_ms or -math.inf, received_ms - test_age_ms
                )


def _hide_old_ages(message: typing.Any) -> typing.Any:
    """Return a message that changes only as long as it has news."""
    if isinstance(message, dict):
        return {key: _hide_old_ages(value) for key, value in message.items()}
    if isinstance(message, list):
        return [_hide_old_ages(value) for value in message]
    if isinstance(message, int) and message >= FRESH_MS:
        return None
    return message


def _encode_quarantine(
    quarantine: crash_quarantine.Quarantine | None, now_ms: float
) -> list[typing.Any] | None:
    if quarantine is None:
        return None
    test_ms = quarantine.test_ms
    return [
        round(now_ms - quarantine.started_ms),
        quarantine.level,
        None if test_ms is None else round(now_ms - test_ms),
    ]
