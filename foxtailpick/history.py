"""Checker for histories of non-idempotent calls.

A history is a list of events in the order of occurrence. The `at` of an event
is a time or a counter that never decreases.
"""

import collections
import dataclasses
import enum
import typing

from foxtailpick.core import verdict as verdict_lib

Verdict = verdict_lib.Verdict


class CallRule(enum.Enum):
    """Invariants of a history of calls."""

    ANSWER_FOREIGN = 'an answer is that of a run of its own request'
    ANSWER_EARLY = 'an answer comes after the run'
    CALL_UNKNOWN = 'only what was invoked runs and returns, once'
    KEY_RAN_TWICE = 'a key runs at most once'
    NOT_RUN_RAN = 'a call that was said not to have run did not run'


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A violation of an invariant.

    :param rule: the invariant, a `CallRule` or a `PatchRule`.
    :param detail: the event or events that violate it.
    """

    rule: enum.Enum
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallInvoked:
    """A caller sent a non-idempotent call.

    :param at: time or counter.
    :param call: id of this request; a retry has another one.
    :param key: idempotency key, with account and service.
    :param body: body of the request.
    """

    at: float
    call: str
    key: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallRan:
    """The service executed a call; the service records this event.

    :param at: time or counter.
    :param call: id of the request.
    :param key: its idempotency key.
    :param answer: the answer of the service.
    """

    at: float
    call: str
    key: str
    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallReturned:
    """A caller received the outcome of a call.

    :param at: time or counter.
    :param call: id of the request.
    :param verdict: the verdict received.
    :param answer: the answer, None if there was none.
    """

    at: float
    call: str
    verdict: Verdict
    answer: bytes | None = None


CallEvent = CallInvoked | CallRan | CallReturned


def check_calls(events: typing.Iterable[CallEvent]) -> list[Breach]:
    """Check a history of non-idempotent calls.

    Each key runs at most once, no call reported as not run has run, and each
    answer is that of a run of the same request.

    :param events: the history, in order.
    """
    events = list(events)
    invoked = {
        event.call: event for event in events if isinstance(event, CallInvoked)
    }
    runs = [event for event in events if isinstance(event, CallRan)]
    returns = [event for event in events if isinstance(event, CallReturned)]
    return [
        *_find_unknown_calls(events),
        *_find_keys_run_twice(runs),
        *_find_false_refusals(runs, returns),
        *_find_foreign_answers(invoked, runs, returns),
    ]


def _find_unknown_calls(
    events: list[CallEvent],
) -> typing.Iterator[Breach]:
    seen: set[tuple[type, str]] = set()
    for event in events:
        if isinstance(event, CallInvoked):
            is_wrong = (CallInvoked, event.call) in seen
        else:
            is_wrong = (CallInvoked, event.call) not in seen
        if isinstance(event, CallReturned):
            is_wrong = is_wrong or (CallReturned, event.call) in seen
        if is_wrong:
            yield Breach(CallRule.CALL_UNKNOWN, f'{event}')
        seen.add((type(event), event.call))


def _find_keys_run_twice(runs: list[CallRan]) -> typing.Iterator[Breach]:
    counts = collections.Counter(run.key for run in runs)
    for key, count in counts.items():
        if count > 1:
            yield Breach(CallRule.KEY_RAN_TWICE, f'{key} ran {count} times')


def _find_false_refusals(
    runs: list[CallRan], returns: list[CallReturned]
) -> typing.Iterator[Breach]:
    ran = {run.call for run in runs}
    for event in returns:
        if event.verdict is Verdict.NOT_RUN and event.call in ran:
            yield Breach(CallRule.NOT_RUN_RAN, f'{event}')


def _find_foreign_answers(
    invoked: dict[str, CallInvoked],
    runs: list[CallRan],
    returns: list[CallReturned],
) -> typing.Iterator[Breach]:
    by_key = collections.defaultdict(list)
    for run in runs:
        by_key[run.key].append(run)
    for event in returns:
        call = invoked.get(event.call)
        if event.verdict is not Verdict.RAN or call is None:
            continue
        own = [run for run in by_key[call.key] if _is_run_of(run, call)]
        if event.answer is not None:
            own = [run for run in own if run.answer == event.answer]
        own = [run for run in own if invoked[run.call].body == call.body]
        if not own:
            yield Breach(CallRule.ANSWER_FOREIGN, f'{event}')
        elif min(run.at for run in own) > event.at:
            yield Breach(CallRule.ANSWER_EARLY, f'{event}')


def _is_run_of(run: CallRan, call: CallInvoked) -> bool:
    return run.key == call.key
