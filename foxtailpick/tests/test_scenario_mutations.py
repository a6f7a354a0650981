"""Mutations that only an end-to-end scenario detects."""

import pytest
import pytest_bdd as bdd

from foxtailpick.sidecar import gate as gate_lib

pytest_plugins = ('foxtailpick.tests.steps_fleet',)


@pytest.fixture(autouse=True)
def skip_number_check(monkeypatch):
    monkeypatch.setattr(gate_lib.Gate, '_is_config_fresh', lambda self: True)


@pytest.mark.xfail(strict=True, raises=AssertionError)
@bdd.scenario(
    'features/domain_out.feature',
    'A paused sidecar wakes up after its domain was taken out',
)
def test_skipped_number_check_is_found():
    """Work buffered in connections starts in the domain out of service."""
