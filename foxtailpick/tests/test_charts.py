"""Tests of the loading of state charts."""

import json

import pytest

from foxtailpick.core import charts
from foxtailpick.core import types

SOUND = {
    'name': 'x',
    'initial': 'a',
    'states': ['a', 'b'],
    'transitions': [{'trigger': 'go', 'source': 'a', 'dest': 'b'}],
}


def test_endpoint_chart_is_sound():
    chart = charts.Chart.from_file('endpoint')
    assert set(chart.states) == {s.value for s in types.EndpointState}


@pytest.mark.parametrize(
    ('change', 'said'),
    [
        ({'extra': 1}, 'keys'),
        ({'initial': 'z'}, 'states'),
        ({'states': ['a', 'b', 'c']}, 'reachable'),
        ({'transitions': [{'trigger': 'go', 'source': 'a'}]}, 'keys'),
    ],
)
def test_unsound_chart_is_refused(change, said):
    with pytest.raises(ValueError, match=said):
        charts.Chart.from_json(json.dumps(SOUND | change))


@pytest.mark.parametrize('conditions', [{}, {'is_empty': bool, 'x': bool}])
def test_conditions_must_fit_the_chart(conditions):
    chart = charts.Chart.from_file('endpoint')
    with pytest.raises(ValueError, match='conditions'):
        charts.ChartRunner(chart, types.EndpointState, conditions)


def test_unknown_trigger_is_refused():
    runner = charts.ChartRunner(
        charts.Chart.from_file('endpoint'),
        types.EndpointState,
        {'is_empty': lambda: False, 'is_limit_reached': lambda: False},
    )
    with pytest.raises(ValueError, match='drain'):
        runner.fire('explode')
    assert not runner.fire('emptied')
    assert runner.state is types.EndpointState.STARTING
