"""State charts kept in JSON files under `foxtailpick/core/charts`."""

import enum
import functools
import importlib.resources
import json
import typing

import transitions

StateT = typing.TypeVar('StateT', bound=enum.Enum)


@functools.cache
def load_moves(
    name: str, state_type: type[StateT]
) -> dict[tuple[StateT, str], StateT]:
    """Return the target of each state and event of a chart.

    The library reads and checks the chart; records of requests look their
    moves up, since a model each costs 5 KB and 9 µs an event.

    :param name: name of the chart's file, without suffix.
    :param state_type: enumeration whose values are the chart's states.
    :raises ValueError: if the chart has a state that the type lacks.
    """
    source = importlib.resources.files('foxtailpick.core')
    text = source.joinpath('charts', f'{name}.json').read_text('utf-8')
    machine = transitions.Machine(
        model=None, auto_transitions=False, **json.loads(text)
    )
    moves = {}
    for event in machine.events.values():
        for state, options in event.transitions.items():
            moves[state_type(state), event.name] = state_type(options[0].dest)
    return moves
