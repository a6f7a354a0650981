"""Tests of what routers write about an order, and of restored stores."""

import dataclasses
import itertools

import pytest

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import restored_store
from foxtailpick.core.dispatch import rollout_records

STATES = list(model.RolloutState)
IN_PROGRESS, COMPLETED, ROLLED_BACK = STATES
ORDER = model.RolloutOrder('7:v2:9000', 'plain', 'v2', 9_000.0, 7)
OTHER = model.RolloutOrder('9:v3:9000', 'plain', 'v3', 9_000.0, 9)


def make_record(state, order=ORDER, **fields):
    """Return a record as another router has written it."""
    return model.RolloutRecord(
        order.id, order.version, order.revision, state, 5.0, **fields
    )


@pytest.mark.parametrize(
    ('wanted', 'known'), itertools.product(STATES, STATES)
)
def test_final_state_never_changes(wanted, known):
    record = make_record(known, revision=12)
    plan = rollout_records.plan_record(ORDER, wanted, 8.0, record)
    if rollout_records.is_final(known) or wanted is known:
        assert plan is None
    else:
        assert plan.state is wanted
        assert plan.began_unix_ms == record.began_unix_ms


def test_first_writer_states_the_begin():
    plan = rollout_records.plan_record(ORDER, IN_PROGRESS, 8.0, None)
    assert plan == dataclasses.replace(
        make_record(IN_PROGRESS), began_unix_ms=8.0
    )


@pytest.mark.parametrize('state', [IN_PROGRESS, ROLLED_BACK])
def test_version_of_an_unfinished_order_is_barred(state):
    record = make_record(state, barred=('v0',))
    plan = rollout_records.plan_record(OTHER, IN_PROGRESS, 8.0, record)
    assert plan.order == OTHER.id
    assert plan.barred == ('v0', 'v2')
    back = rollout_records.plan_record(ORDER, IN_PROGRESS, 9.0, plan)
    assert back.barred == ('v0', 'v3')


def test_completed_version_is_not_barred_but_the_old_one_is():
    listed = ('v1', 'v2')
    plan = rollout_records.plan_record(ORDER, COMPLETED, 8.0, None, listed)
    assert plan.barred == ('v1',)
    following = rollout_records.plan_record(OTHER, IN_PROGRESS, 9.0, plan)
    assert following.barred == ('v1',)


def test_order_for_the_version_in_force_is_completed():
    record = make_record(COMPLETED)
    again = dataclasses.replace(ORDER, id='11:v2:0', duration_ms=0.0)
    plan = rollout_records.plan_record(again, ROLLED_BACK, 8.0, record)
    assert plan.state is COMPLETED


@pytest.mark.parametrize(
    ('listed', 'known', 'expected'),
    [
        # The copy lacks the order, or has the one before it.
        (None, OTHER, OTHER),
        (ORDER, OTHER, OTHER),
        # The copy has an order that was withdrawn.
        (ORDER, None, None),
        # It was written again, or another one was given since.
        (dataclasses.replace(OTHER, id='4:v3:9000', revision=4), OTHER, 4),
        (OTHER, ORDER, OTHER),
    ],
)
def test_copy_neither_brings_back_nor_undoes_an_order(listed, known, expected):
    listed = {} if listed is None else {'plain': listed}
    orders, doubtful = restored_store.select_orders(
        listed, {'plain': known}, True
    )
    found = orders.get('plain')
    if isinstance(expected, int):
        assert found.revision == expected
    else:
        assert found == expected
    assert doubtful == (
        {} if listed.get('plain') == found else {'plain': listed.get('plain')}
    )
    # Once all has been written again, what the store lists applies.
    assert restored_store.select_orders(listed, {'plain': known}, False) == (
        listed,
        {},
    )
