"""Transition tables of charts, for state kept in many small records."""

import enum
import functools
import typing

from foxtailpick.core import charts

StateT = typing.TypeVar('StateT', bound=enum.Enum)


@functools.cache
def load_transition_table(
    name: str, state_type: type[StateT]
) -> dict[tuple[StateT, str], StateT]:
    """Return the target state for each state and event of a chart.

    A model of the `transitions` library takes 5 KB of memory and 9 µs per
    event, which is too much for each request.

    :param name: name of the chart's file, without suffix.
    :param state_type: enumeration whose values are the chart's states.
    :raises ValueError: if the chart is invalid, has conditions, or has a
        state that the type lacks.
    """
    table = {}
    for transition in charts.Chart.from_file(name).transitions:
        if transition.conditions:
            raise ValueError(
                f'expected no conditions in chart {name!r}, got '
                f'{", ".join(transition.conditions)}; use a StateMachine'
            )
        for source in transition.sources:
            table[state_type(source), transition.trigger] = state_type(
                transition.dest
            )
    return table
