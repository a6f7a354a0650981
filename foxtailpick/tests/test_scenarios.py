"""End-to-end scenarios for the invariants of the system."""

import pytest_bdd as bdd

pytest_plugins = (
    'foxtailpick.tests.steps_bookings',
    'foxtailpick.tests.steps_chats',
    'foxtailpick.tests.steps_config',
    'foxtailpick.tests.steps_fleet',
    'foxtailpick.tests.steps_load',
    'foxtailpick.tests.steps_shutdown',
)

bdd.scenarios('features')
