"""State charts, read from the JSON files in `foxtailpick/core/charts/`."""

import dataclasses
import enum
import importlib.resources
import json
import typing

import transitions

CHART_KEYS = frozenset({'name', 'initial', 'states', 'transitions'})
TRANSITION_KEYS = frozenset({'trigger', 'source', 'dest', 'conditions'})

Condition = typing.Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """A transition of a chart.

    :param trigger: the event that triggers it.
    :param sources: states in which it applies.
    :param dest: target state.
    :param conditions: names of conditions that must all hold.
    """

    trigger: str
    sources: tuple[str, ...]
    dest: str
    conditions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Chart:
    """A validated state chart.

    :param name: name of the chart and of its file.
    :param initial: initial state.
    :param states: all states.
    :param transitions: all transitions.
    """

    name: str
    initial: str
    states: tuple[str, ...]
    transitions: tuple[Transition, ...]

    @classmethod
    def from_file(cls, name: str) -> 'Chart':
        """Read a chart that is part of the package.

        :param name: file name without its suffix.
        :raises ValueError: if the chart is invalid.
        """
        path = importlib.resources.files(__package__) / 'charts'
        return cls.from_json((path / f'{name}.json').read_text())

    @classmethod
    def from_json(cls, text: str) -> 'Chart':
        """Parse and validate a chart.

        :param text: the JSON text.
        :raises ValueError: if the chart is invalid.
        """
        data = json.loads(text)
        _check_keys('the chart', data, CHART_KEYS)
        chart = cls(
            data['name'],
            data['initial'],
            tuple(data['states']),
            tuple(map(_parse_transition, data['transitions'])),
        )
        _check_states_are_known(chart)
        _check_states_are_reachable(chart)
        return chart


class StateMachine:
    """A state machine that follows a chart.

    :param chart: the chart.
    :param states: the enumeration whose values are the chart's states.
    :param conditions: condition functions by their names in the chart.
    :raises ValueError: if states or conditions differ from the chart's.
    """

    def __init__(
        self,
        chart: Chart,
        states: type[enum.Enum],
        conditions: typing.Mapping[str, Condition],
    ) -> None:
        self._states = states
        self._conditions = dict(conditions)
        _check_equal(
            f'states of chart {chart.name!r}',
            {state.value for state in states},
            set(chart.states),
        )
        _check_equal(
            f'conditions of chart {chart.name!r}',
            {
                condition
                for transition in chart.transitions
                for condition in transition.conditions
            },
            set(conditions),
        )
        self._machine = transitions.Machine(
            model=None,
            states=list(chart.states),
            initial=chart.initial,
            auto_transitions=False,
        )
        for transition in chart.transitions:
            self._add_transition(transition)
        self._sources = {
            trigger: {
                source
                for transition in chart.transitions
                if transition.trigger == trigger
                for source in transition.sources
            }
            for trigger in self._machine.events
        }
        self._model = _Model()
        self._machine.add_model(self._model)

    @property
    def state(self) -> enum.Enum:
        """Return the current state."""
        return self._states(self._model.state)

    def fire(self, trigger: str) -> bool:
        """Process an event.

        :param trigger: a trigger of the chart.
        :returns: whether a transition was taken; an event without a
            transition from the current state is ignored.
        :raises ValueError: if the chart has no such trigger.
        """
        if trigger not in self._sources:
            raise ValueError(
                f'expected one of {", ".join(sorted(self._sources))}, '
                f'got {trigger!r}; add it to the chart'
            )
        if self._model.state not in self._sources[trigger]:
            return False
        return self._model.trigger(trigger)

    def _add_transition(self, transition: Transition) -> None:
        self._machine.add_transition(
            transition.trigger,
            list(transition.sources),
            transition.dest,
            conditions=[
                self._conditions[name] for name in transition.conditions
            ],
        )


class _Model:
    """Object on which the `transitions` library sets the state."""


def _parse_transition(data: dict[str, typing.Any]) -> Transition:
    _check_keys('a transition', data, TRANSITION_KEYS, {'conditions'})
    sources = data['source']
    if isinstance(sources, str):
        sources = [sources]
    return Transition(
        data['trigger'],
        tuple(sources),
        data['dest'],
        tuple(data.get('conditions', ())),
    )


def _check_keys(
    what: str,
    data: typing.Mapping[str, typing.Any],
    keys: typing.AbstractSet[str],
    optional: typing.AbstractSet[str] = frozenset(),
) -> None:
    if keys - optional <= data.keys() <= keys:
        return
    raise ValueError(
        f'expected {what} to have the keys {", ".join(sorted(keys))}, '
        f'got {", ".join(sorted(data))}; correct the chart file'
    )


def _check_equal(
    what: str,
    expected: typing.AbstractSet[str],
    found: typing.AbstractSet[str],
) -> None:
    if expected != found:
        raise ValueError(
            f'expected {what} to be {", ".join(sorted(expected))}, '
            f'got {", ".join(sorted(found))}; correct the chart file '
            f'or the code'
        )


def _check_states_are_known(chart: Chart) -> None:
    used = {chart.initial}
    for transition in chart.transitions:
        used.update(transition.sources, (transition.dest,))
    if not used <= set(chart.states):
        raise ValueError(
            f'expected states of chart {chart.name!r} only, got '
            f'{", ".join(sorted(used - set(chart.states)))}; list them '
            f'under "states"'
        )


def _check_states_are_reachable(chart: Chart) -> None:
    reached = {chart.initial}
    for _ in chart.states:
        reached.update(
            transition.dest
            for transition in chart.transitions
            if reached.intersection(transition.sources)
        )
    if reached != set(chart.states):
        raise ValueError(
            f'expected all states of chart {chart.name!r} to be reachable, '
            f'got none to '
            f'{", ".join(sorted(set(chart.states) - reached))}; add '
            f'a transition'
        )
