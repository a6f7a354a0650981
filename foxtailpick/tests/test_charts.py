"""Tests of state charts and state machines."""

import json

import pytest

from foxtailpick.core import charts
from foxtailpick.core import types

VALID_CHART = {
    'name': 'x',
    'initial': 'a',
    'states': ['a', 'b'],
    'transitions': [{'trigger': 'go', 'source': 'a', 'dest': 'b'}],
}


def test_endpoint_chart_is_valid():
    chart = charts.Chart.from_file('endpoint')
    assert set(chart.states) == {s.value for s in types.EndpointState}


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({'extra': 1}, 'keys'),
        ({'initial': 'z'}, 'states'),
        ({'states': ['a', 'b', 'c']}, 'reachable'),
        ({'transitions': [{'trigger': 'go', 'source': 'a'}]}, 'keys'),
    ],
)
def test_invalid_chart_is_rejected(change, expected):
    with pytest.raises(ValueError, match=expected):
        charts.Chart.from_json(json.dumps(VALID_CHART | change))


@pytest.mark.parametrize('conditions', [{}, {'is_empty': bool, 'x': bool}])
def test_conditions_must_match_the_chart(conditions):
    chart = charts.Chart.from_file('endpoint')
    with pytest.raises(ValueError, match='conditions'):
        charts.StateMachine(chart, types.EndpointState, conditions)


def test_unknown_trigger_is_rejected():
    machine = charts.StateMachine(
        charts.Chart.from_file('endpoint'),
        types.EndpointState,
        {'is_empty': lambda: False, 'is_limit_reached': lambda: False},
    )
    with pytest.raises(ValueError, match='drain'):
        machine.fire('explode')
    assert not machine.fire('emptied')
    assert machine.state is types.EndpointState.STARTING
