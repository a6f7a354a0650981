"""Fixtures and fixed seeds of all tests."""

import hypothesis
import pytest

from foxtailpick.core import clock
from foxtailpick.core import invariants

hypothesis.settings.register_profile(
    'fixed',
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile('fixed')


@pytest.fixture
def manual():
    """Give a clock that moves only when told to."""
    return clock.ManualClock()


@pytest.fixture
def monitor():
    """Give a monitor that raises on a broken promise."""
    return invariants.Monitor(is_strict=True)
