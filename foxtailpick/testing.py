"""Assertions for tests of software that builds on foxtailpick."""

import typing

from foxtailpick.core import types
from foxtailpick import history
from foxtailpick import patch_history


def assert_calls(events: typing.Iterable[history.CallEvent]) -> None:
    """Assert that a history of non-idempotent calls keeps all rules.

    :param events: the history, in order.
    :raises AssertionError: with all breaches of `history.CallRule`.
    """
    _assert_no_breaches(history.check_calls(events))


def assert_patches(
    events: typing.Iterable[patch_history.PatchEvent],
    first: types.ConfigNumber = types.ConfigNumber(0),
    in_force_ms: float | None = None,
) -> None:
    """Assert that a history of configuration patches keeps all rules.

    :param events: the history, in order.
    :param first: the number in force before the first event.
    :param in_force_ms: see `patch_history.check_patches`.
    :raises AssertionError: with all breaches of `patch_history.PatchRule`.
    """
    _assert_no_breaches(
        patch_history.check_patches(events, first, in_force_ms)
    )


def _assert_no_breaches(breaches: list[history.Breach]) -> None:
    lines = [f'{item.rule.value}: {item.detail}' for item in breaches]
    if lines:
        raise AssertionError('\n'.join(lines))
