"""Checker for histories of configuration patches.

The `at` of an event is a time or a counter that never decreases.
"""

import collections
import dataclasses
import enum
import typing

from foxtailpick.core import types
from foxtailpick import history


class PatchRule(enum.Enum):
    """Invariants of a history of patches."""

    NUMBER_BACK = "a node's number never goes back"
    NUMBER_LATE = 'an accepted number is in force in time'
    NUMBER_UNKNOWN = 'a number is seen only after its patch was invoked'
    PATCH_DOUBLE = 'each number is that of one patch'
    PATCH_GAP = 'numbers follow each other without a gap'
    PATCH_MERGED = 'a patch is accepted only against the number before it'
    PATCH_ORDER = 'the numbers respect real time'
    PATCH_REFUSED = 'a patch is outdated only if a newer number exists'


@dataclasses.dataclass(frozen=True, slots=True)
class PatchInvoked:
    """An operator submitted a patch.

    :param at: time or counter.
    :param patch: id of the patch.
    :param base: the number that the patch is based on.
    """

    at: float
    patch: types.PatchId
    base: types.ConfigNumber


@dataclasses.dataclass(frozen=True, slots=True)
class PatchReturned:
    """An operator received the outcome of a patch.

    :param at: time or counter.
    :param patch: id of the patch.
    :param number: its number, None if rejected or of unknown outcome.
    :param is_known: whether the outcome is known.
    :param is_outdated: whether it was rejected because of its base.
    """

    at: float
    patch: types.PatchId
    number: types.ConfigNumber | None
    is_known: bool = True
    is_outdated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NumberSeen:
    """A node put a number in force, or reported the one in force.

    :param at: time or counter.
    :param node: the node; after losing its state it counts as another one.
    :param number: the number.
    """

    at: float
    node: str
    number: types.ConfigNumber


PatchEvent = PatchInvoked | PatchReturned | NumberSeen


def check_patches(
    events: typing.Iterable[PatchEvent],
    first: types.ConfigNumber = types.ConfigNumber(0),
    in_force_ms: float | None = None,
) -> list[history.Breach]:
    """Check a history of configuration patches.

    The patches form one numbered order that respects real time, and the
    number of a node never decreases.

    :param events: the history, in order.
    :param first: the number in force before the first event.
    :param in_force_ms: time after the acceptance of a number from which no
        node may report a lower one, in the unit of `at`; None to skip this.
    """
    events = list(events)
    invoked = {
        event.patch: event
        for event in events
        if isinstance(event, PatchInvoked)
    }
    returns = [event for event in events if isinstance(event, PatchReturned)]
    accepted = [event for event in returns if event.number is not None]
    seen = [event for event in events if isinstance(event, NumberSeen)]
    return [
        *_find_double_numbers(accepted),
        *_find_gaps(invoked, returns, accepted, first),
        *_find_merged_patches(invoked, accepted),
        *_find_order_breaches(invoked, accepted),
        *_find_false_outdated(invoked, returns, first),
        *_find_decreasing_numbers(seen),
        *_find_unknown_numbers(invoked, seen, first),
        *_find_late_numbers(accepted, seen, in_force_ms),
    ]


def _find_double_numbers(
    accepted: list[PatchReturned],
) -> typing.Iterator[history.Breach]:
    patches_by_number = collections.defaultdict(set)
    for event in accepted:
        patches_by_number[event.number].add(event.patch)
    for number, patches in patches_by_number.items():
        if len(patches) > 1:
            detail = f'{number} is that of {sorted(patches)}'
            yield history.Breach(PatchRule.PATCH_DOUBLE, detail)


def _find_gaps(
    invoked: dict[types.PatchId, PatchInvoked],
    returns: list[PatchReturned],
    accepted: list[PatchReturned],
    first: types.ConfigNumber,
) -> typing.Iterator[history.Breach]:
    known = {event.number for event in accepted}
    certain = {event.patch for event in returns if event.is_known}
    # A patch of unknown outcome can only have the number after its base.
    possible = {
        call.base + 1
        for patch, call in invoked.items()
        if patch not in certain
    }
    for number in range(first + 1, max(known, default=first) + 1):
        if number not in known | possible:
            yield history.Breach(
                PatchRule.PATCH_GAP, f'no patch can have number {number}'
            )


def _find_merged_patches(
    invoked: dict[types.PatchId, PatchInvoked],
    accepted: list[PatchReturned],
) -> typing.Iterator[history.Breach]:
    for event in accepted:
        call = invoked.get(event.patch)
        if call is None or event.number != call.base + 1:
            yield history.Breach(
                PatchRule.PATCH_MERGED, f'{event} after {call}'
            )


def _find_order_breaches(
    invoked: dict[types.PatchId, PatchInvoked],
    accepted: list[PatchReturned],
) -> typing.Iterator[history.Breach]:
    for earlier in accepted:
        for later in accepted:
            call = invoked.get(later.patch)
            is_after = call is not None and call.at > earlier.at
            if is_after and later.number <= earlier.number:
                yield history.Breach(
                    PatchRule.PATCH_ORDER, f'{later} after {earlier}'
                )


def _find_false_outdated(
    invoked: dict[types.PatchId, PatchInvoked],
    returns: list[PatchReturned],
    first: types.ConfigNumber,
) -> typing.Iterator[history.Breach]:
    refused = {
        event.patch
        for event in returns
        if event.is_known and event.number is None
    }
    for event in returns:
        call = invoked.get(event.patch)
        if not event.is_outdated or call is None:
            continue
        # Another patch that was not rejected must have received a number
        # above the base before this result was returned.
        has_rival = call.base < first or any(
            rival.base >= call.base and rival.at < event.at
            for rival in invoked.values()
            if rival.patch not in refused
        )
        if not has_rival:
            yield history.Breach(
                PatchRule.PATCH_REFUSED, f'{event} after {call}'
            )


def _find_decreasing_numbers(
    seen: list[NumberSeen],
) -> typing.Iterator[history.Breach]:
    newest: dict[str, NumberSeen] = {}
    for event in seen:
        before = newest.get(event.node)
        if before is not None and event.number < before.number:
            yield history.Breach(
                PatchRule.NUMBER_BACK, f'{event} after {before}'
            )
        newest[event.node] = event


def _find_unknown_numbers(
    invoked: dict[types.PatchId, PatchInvoked],
    seen: list[NumberSeen],
    first: types.ConfigNumber,
) -> typing.Iterator[history.Breach]:
    invoked_at: dict[int, float] = {}
    for call in invoked.values():
        number = call.base + 1
        invoked_at[number] = min(call.at, invoked_at.get(number, call.at))
    for event in seen:
        is_new = event.number > first
        if is_new and invoked_at.get(event.number, event.at) >= event.at:
            yield history.Breach(PatchRule.NUMBER_UNKNOWN, f'{event}')


def _find_late_numbers(
    accepted: list[PatchReturned],
    seen: list[NumberSeen],
    in_force_ms: float | None,
) -> typing.Iterator[history.Breach]:
    if in_force_ms is None:
        return
    for event in seen:
        for patch in accepted:
            is_due = event.at >= patch.at + in_force_ms
            if is_due and event.number < patch.number:
                yield history.Breach(
                    PatchRule.NUMBER_LATE, f'{event} after {patch}'
                )
