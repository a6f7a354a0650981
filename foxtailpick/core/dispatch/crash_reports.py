"""Exchange of evidence about requests that crash endpoints, through the hub.

Load pattern: requests that crash endpoints arrive at all routers, so that
each sees few of them. Routers report suspected signatures and quarantines to
the hub, which returns the totals. Datagrams may get lost, and most of them
would say the same as the ones before.
"""

import collections
import math
import typing

import cbor2

from foxtailpick.core.dispatch import crash_policy
from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core import types

# Longer messages are split, so that each fits into one packet.
MAX_PIECE_BYTES = 1_300
# Larger numbers are no number of ends or tests, no level and no age.
MAX_COUNT = 1_000_000
MAX_LEVEL = 100
MAX_MESSAGE_AGE_MS = 1e12
# Reports and totals without news are repeated at this interval.
REPEAT_INTERVAL_MS = 1_000.0
# What happened less than this time ago is news.
FRESH_MS = 2_000.0


def check_report(
    report: typing.Any,
    policy: crash_policy.Policy = crash_policy.PARTS,
) -> None:
    """Check the form of a report that was received.

    :param report: result of `CrashRecords.make_report`, decoded.
    :param policy: the policy for the kind of its signatures.
    :raises ValueError: if it has another form.
    """
    if report is not None and not (
        isinstance(report, list)
        and len(report) == 3
        and all(_is_mapping(item) for item in report)
        and all(_is_list(ends) for ends in report[0].values())
        and all(
            _is_list(end, 2) and isinstance(end[0], str) and _is_age(end[1])
            for ends in report[0].values()
            for end in ends
        )
        and all(_is_age(age_ms) for age_ms in report[1].values())
        and all(_is_quarantine(item, policy) for item in report[2].values())
    ):
        raise ValueError(
            f'expected ends, sound answers and quarantines by '
            f'{policy.label}, got {report!r:.80}'
        )


def check_totals(
    totals: typing.Any,
    policy: crash_policy.Policy = crash_policy.PARTS,
) -> None:
    """Check the form of totals that were received.

    :param totals: result of `HubCrashReports.merge`, decoded.
    :param policy: the policy for the kind of their signatures.
    :raises ValueError: if they have another form.
    """
    if not _is_mapping(totals) or not all(
        _is_list(item, 3)
        and _is_count(item[0])
        and (item[1] is None or _is_age(item[1]))
        and (item[2] is None or _is_quarantine(item[2], policy))
        for item in totals.values()
    ):
        raise ValueError(
            f'expected the totals by {policy.label}, got {totals!r:.80}'
        )


def split_message(
    sections: typing.Sequence[typing.Mapping[str, typing.Any]],
) -> list[list[dict[str, typing.Any]]]:
    """Split a message into pieces of `MAX_PIECE_BYTES` at most.

    :param sections: parts of the message, by signature.
    :returns: pieces with the same sections; one at least.
    """
    pieces: list[list[dict[str, typing.Any]]] = [[{} for _ in sections]]
    piece_bytes = 0
    for index, section in enumerate(sections):
        for key, value in section.items():
            item_bytes = len(cbor2.dumps(key)) + len(cbor2.dumps(value))
            if piece_bytes and piece_bytes + item_bytes > MAX_PIECE_BYTES:
                pieces.append([{} for _ in sections])
                piece_bytes = 0
            pieces[-1][index][key] = value
            piece_bytes += item_bytes
    return pieces


def _is_quarantine(value: typing.Any, policy: crash_policy.Policy) -> bool:
    if policy.max_tests is None:
        has_form = _is_list(value, 3) and _is_count(value[1], MAX_LEVEL)
    else:
        has_form = (
            _is_list(value, 4)
            and _is_mapping(value[1])
            and all(_is_count(count, MAX_LEVEL) for count in value[1].values())
            and _is_age(value[3])
        )
    return (
        has_form
        and _is_age(value[0])
        and (value[2] is None or _is_age(value[2]))
    )


def _is_list(value: typing.Any, length: int | None = None) -> bool:
    return isinstance(value, list) and length in (None, len(value))


def _is_mapping(value: typing.Any) -> bool:
    return isinstance(value, dict) and all(
        isinstance(key, str) for key in value
    )


def _is_count(value: typing.Any, most: int = MAX_COUNT) -> bool:
    return isinstance(value, int) and 0 <= value <= most


def _is_age(value: typing.Any) -> bool:
    # nan is not within any bounds.
    return isinstance(value, int | float) and 0 <= value <= MAX_MESSAGE_AGE_MS


class Pacer:
    """Paces the messages of one kind: news at once, the rest at intervals.

    After a crash a signature stays suspected until somebody asks for it
    again, so most messages would say the same as the one before.
    """

    def __init__(self) -> None:
        self._sent: typing.Any = None
        self._sent_ms = -math.inf

    def reset(self) -> None:
        """Send the next message at once, as there is a new receiver."""
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
    """The latest report of each router, kept by the hub.

    :param policy: the policy for the kind of the signatures.
    """

    def __init__(
        self, policy: crash_policy.Policy = crash_policy.PARTS
    ) -> None:
        self.policy = policy
        # By router: when the report arrived, its number and its pieces.
        self._reports: dict[
            types.RouterId, tuple[float, int | None, list[typing.Any]]
        ] = {}

    def record(
        self,
        router: types.RouterId,
        report: list[typing.Any] | None,
        now_ms: float,
        number: int | None = None,
    ) -> None:
        """Store the report of a router, replacing its previous one.

        :param router: the router.
        :param report: result of `CrashRecords.make_report`, or a piece of it.
        :param now_ms: current time.
        :param number: number of the report, which its pieces share; None for
            one that is not split.
        """
        if report is None:
            self._reports.pop(router, None)
            return
        pieces = [report]
        if number is not None and router in self._reports:
            _, last_number, before = self._reports[router]
            if last_number == number:
                pieces = [*before, report]
        self._reports[router] = now_ms, number, pieces

    def merge(
        self, now_ms: float
    ) -> dict[crash_quarantine.Signature, list[typing.Any]] | None:
        """Return the totals of all routers, None if there are none.

        :param now_ms: current time.
        :returns: for each signature the number of ends since its last sound
            answer, the age of that answer if any, and its quarantine if
            any. The worst ones come first.
        """
        for router, (received_ms, _, _) in list(self._reports.items()):
            if now_ms - received_ms > crash_quarantine.MAX_AGE_MS:
                del self._reports[router]
        ends: dict[crash_quarantine.Signature, dict[str, float]] = {}
        sound_ms: dict[crash_quarantine.Signature, float] = {}
        quarantines: dict[
            crash_quarantine.Signature, crash_quarantine.Quarantine
        ] = {}
        listed = self._find_listed()
        for received_ms, _, pieces in self._reports.values():
            for piece in pieces:
                self._merge_report(piece, received_ms, listed, ends, sound_ms)
                self._merge_quarantines(piece[2], received_ms, quarantines)
        totals = {}
        # In the order of the reports, not that of hashes.
        for signature in dict.fromkeys([*ends, *quarantines]):
            found_ms = ends.get(signature, {})
            last_ms = sound_ms.get(signature, -math.inf)
            quarantine = quarantines.get(signature)
            if (
                quarantine is None
                and len(found_ms) < self.policy.min_listed_ends
            ):
                # Several routers saw one end.
                continue
            if quarantine is not None and quarantine.started_ms < last_ms:
                quarantine = None
            count = crash_quarantine.count_ends(
                (ms for ms in found_ms.values() if ms > last_ms),
                self.policy.min_end_gap_ms,
            )
            encoded = None
            if quarantine is not None:
                encoded = crash_quarantine.encode_quarantine(
                    quarantine, now_ms
                )
            sound_age_ms = None
            if signature in sound_ms:
                sound_age_ms = round(now_ms - last_ms)
            totals[signature] = [count, sound_age_ms, encoded]
        worst = sorted(
            totals.items(),
            key=lambda item: (item[1][2] is not None, item[1][0]),
            reverse=True,
        )
        return dict(worst[: self.policy.max_listed]) or None

    def _find_listed(self) -> set[crash_quarantine.Signature]:
        """Return signatures with enough reports to be listed.

        Each crash makes suspects of all requests in flight, most of which
        are never suspected again.
        """
        counts: collections.Counter[crash_quarantine.Signature] = (
            collections.Counter()
        )
        for _, _, pieces in self._reports.values():
            for piece in pieces:
                for signature, found in piece[0].items():
                    counts[signature] += len(found)
                counts.update(
                    dict.fromkeys(piece[2], self.policy.min_listed_ends)
                )
        least = self.policy.min_listed_ends
        return {key for key, count in counts.items() if count >= least}

    def _merge_report(
        self,
        report: list[typing.Any],
        received_ms: float,
        listed: set[crash_quarantine.Signature],
        ends: dict[crash_quarantine.Signature, dict[str, float]],
        sound_ms: dict[crash_quarantine.Signature, float],
    ) -> None:
        for signature, found in report[0].items():
            if signature not in listed:
                continue
            merged = ends.setdefault(signature, {})
            for endpoint, age_ms in found:
                end_ms = received_ms - age_ms
                merged[endpoint] = min(merged.get(endpoint, end_ms), end_ms)
        for signature, age_ms in report[1].items():
            sound_ms[signature] = max(
                sound_ms.get(signature, -math.inf), received_ms - age_ms
            )

    def _merge_quarantines(
        self,
        reported: typing.Mapping[crash_quarantine.Signature, typing.Any],
        received_ms: float,
        quarantines: dict[
            crash_quarantine.Signature, crash_quarantine.Quarantine
        ],
    ) -> None:
        for signature, message in reported.items():
            found = crash_quarantine.decode_quarantine(
                message, self.policy, received_ms
            )
            merged = quarantines.setdefault(signature, found)
            merged.merge(found)
            if found.test_ms is not None and merged.level == found.level:
                merged.test_ms = max(
                    merged.test_ms or -math.inf, found.test_ms
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
