"""State machine of a member as seen by a router, from `charts/member.json`.

All members share one machine: at a thousand members, one machine each would
take a large part of a node's memory.
"""

import dataclasses
import enum

import transitions

from foxtailpick.core import charts

CHART_NAME = 'member'


class MemberState(enum.Enum):
    """State of a member in a router's view."""

    LISTED = 'listed'
    SUSPECT = 'suspect'
    DOWN = 'down'
    HELD = 'held'
    LEAVING = 'leaving'
    GONE = 'gone'


class MemberTrigger(enum.Enum):
    """Events of the state machine."""

    FAILED = 'failed'
    ANSWERED = 'answered'
    UNLISTED = 'unlisted'
    RELISTED = 'relisted'
    EXPIRED = 'expired'
    LEAVE = 'leave'
    STAY = 'stay'


@dataclasses.dataclass(frozen=True, slots=True)
class MemberConditions:
    """Values of the chart's conditions for one event.

    :param is_path_trusted: whether a failure is evidence against the
        member, not against the network path or this node.
    :param is_list_trusted: whether an absence from the list is evidence
        against the member, not against the list.
    :param is_probation_over: whether a flapping member may return.
    :param is_list_staying: whether the list does not show the member as
        leaving.
    """

    is_path_trusted: bool = True
    is_list_trusted: bool = True
    is_probation_over: bool = True
    is_list_staying: bool = True


class MemberStateMachine:
    """Interpreter of the chart, shared by all members."""

    def __init__(self) -> None:
        chart = charts.Chart.from_file(CHART_NAME)
        self._model = _MemberModel()
        self._machine = transitions.Machine(
            model=self._model,
            states=list(chart.states),
            transitions=[
                {
                    'trigger': transition.trigger,
                    'source': list(transition.sources),
                    'dest': transition.dest,
                    'conditions': list(transition.conditions),
                }
                for transition in chart.transitions
            ],
            initial=chart.initial,
            auto_transitions=False,
        )
        # The library logs events without a transition, which costs more
        # than handling them.
        self._known_events = {
            (trigger, source)
            for trigger, event in self._machine.events.items()
            for source in event.transitions
        }

    def next_state(
        self,
        state: MemberState,
        trigger: MemberTrigger,
        conditions: MemberConditions,
    ) -> MemberState:
        """Return the state after an event, unchanged without a transition.

        :param state: the state before the event.
        :param trigger: the event.
        :param conditions: the current values of the conditions.
        """
        if (trigger.value, state.value) not in self._known_events:
            return state
        self._model.conditions = conditions
        self._machine.set_state(state.value, self._model)
        self._model.trigger(trigger.value)
        return MemberState(self._model.state)


class _MemberModel:
    """Model of the machine: state and conditions of the current member."""

    conditions = MemberConditions()

    def is_path_trusted(self) -> bool:
        return self.conditions.is_path_trusted

    def is_list_trusted(self) -> bool:
        return self.conditions.is_list_trusted

    def is_probation_over(self) -> bool:
        return self.conditions.is_probation_over

    def is_list_staying(self) -> bool:
        return self.conditions.is_list_staying
