"""The life of a member as a router sees it, from `charts/member.json`.

One machine serves all members: a machine for each would take a large part
of a node's memory at a thousand members.
"""

import dataclasses
import enum

import transitions

from foxtailpick.core import charts

CHART_NAME = 'member'


class MemberState(enum.Enum):
    """What a router makes of a member."""

    LISTED = 'listed'
    SUSPECT = 'suspect'
    DOWN = 'down'
    HELD = 'held'
    LEAVING = 'leaving'
    GONE = 'gone'


class MemberTrigger(enum.Enum):
    """What can change a member's state."""

    FAILED = 'failed'
    ANSWERED = 'answered'
    UNLISTED = 'unlisted'
    RELISTED = 'relisted'
    EXPIRED = 'expired'
    LEAVE = 'leave'
    STAY = 'stay'


@dataclasses.dataclass(frozen=True, slots=True)
class MemberConditions:
    """What the chart's conditions are at a step.

    :param is_path_trusted: whether failures speak of the member, not of
        the path to its failure domain or of this node.
    :param is_list_trusted: whether an absence from the list speaks of the
        member, not of the list.
    :param is_probation_over: whether a member that flaps may return.
    :param is_list_staying: whether the list does not show it as leaving.
    """

    is_path_trusted: bool = True
    is_list_trusted: bool = True
    is_probation_over: bool = True
    is_list_staying: bool = True


class MemberChart:
    """Interpreter of the chart, shared by all members."""

    def __init__(self) -> None:
        chart = charts.Chart.from_file(CHART_NAME)
        self._cursor = _Cursor()
        self._machine = transitions.Machine(
            model=self._cursor,
            states=list(chart.states),
            transitions=[
                {
                    'trigger': move.trigger,
                    'source': list(move.sources),
                    'dest': move.dest,
                    'conditions': list(move.conditions),
                }
                for move in chart.transitions
            ],
            initial=chart.initial,
            auto_transitions=False,
        )
        # The library logs each event without an arrow, which costs more
        # than the event.
        self._known = {
            (trigger, source)
            for trigger, event in self._machine.events.items()
            for source in event.transitions
        }

    def step(
        self,
        state: MemberState,
        trigger: MemberTrigger,
        conditions: MemberConditions,
    ) -> MemberState:
        """Return the state after an event, the same if no arrow fits.

        :param state: the state before.
        :param trigger: the event.
        :param conditions: the conditions at this moment.
        """
        if (trigger.value, state.value) not in self._known:
            return state
        self._cursor.conditions = conditions
        self._machine.set_state(state.value, self._cursor)
        self._cursor.trigger(trigger.value)
        return MemberState(self._cursor.state)


class _Cursor:
    """Carries the state and conditions of the member being stepped."""

    conditions = MemberConditions()

    def is_path_trusted(self) -> bool:
        return self.conditions.is_path_trusted

    def is_list_trusted(self) -> bool:
        return self.conditions.is_list_trusted

    def is_probation_over(self) -> bool:
        return self.conditions.is_probation_over

    def is_list_staying(self) -> bool:
        return self.conditions.is_list_staying
