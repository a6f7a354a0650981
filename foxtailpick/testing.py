"""Asserts for the tests of anyone who builds on foxtailpick."""

import typing

from foxtailpick.core import types
from foxtailpick import history
from foxtailpick import patch_history


def assert_calls(events: typing.Iterable[history.CallEvent]) -> None:
    """Assert that non-idempotent calls kept their promises.

    :param events: the history, in order.
    :raises AssertionError: with all breaches found.
    """
    _assert_none(history.check_calls(events))


def assert_patches(
    events: typing.Iterable[patch_history.PatchEvent],
    first: types.ConfigNumber = types.ConfigNumber(0),
    in_force_ms: float | None = None,
) -> None:
    """Assert that configuration patches kept their promises.

    :param events: the history, in order.
    :param first: the number in force before the first event.
    :param in_force_ms: see `patch_history.check_patches`.
    :raises AssertionError: with all breaches found.
    """
    _assert_none(patch_history.check_patches(events, first, in_force_ms))


def _assert_none(breaches: list[history.Breach]) -> None:
    lines = [f'{item.rule.value}: {item.detail}' for item in breaches]
    if lines:
        raise AssertionError('\n'.join(lines))
