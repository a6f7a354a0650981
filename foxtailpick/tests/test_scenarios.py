"""The promises of the project as scenarios over the whole path."""

import pytest_bdd as bdd

pytest_plugins = (
    'foxtailpick.tests.steps_bookings',
    'foxtailpick.tests.steps_chats',
    'foxtailpick.tests.steps_fleet',
    'foxtailpick.tests.steps_shutdown',
)

bdd.scenarios('features')
