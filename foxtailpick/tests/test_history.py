"""Tests of the history checkers on valid and invalid histories."""

import pytest

from foxtailpick.core import verdict
from foxtailpick import history
from foxtailpick import patch_history
from foxtailpick import testing

CallRule = history.CallRule
PatchRule = patch_history.PatchRule
Verdict = verdict.Verdict


def invoke(at, call, key='k', body=b'x'):
    return history.CallInvoked(at, call, key, body)


def run(at, call, key='k', answer=b'a1'):
    return history.CallRan(at, call, key, answer)


def finish(at, call, outcome=Verdict.RAN, answer=b'a1'):
    return history.CallReturned(at, call, outcome, answer)


VALID_CALLS = [
    invoke(0, 'c1'),
    invoke(1, 'c2'),
    run(2, 'c1'),
    finish(3, 'c2', Verdict.NOT_RUN, None),
    invoke(4, 'c3'),
    finish(5, 'c3'),
    finish(6, 'c1'),
    invoke(7, 'c4', 'k2'),
    finish(8, 'c4', Verdict.MAY_HAVE_RUN, None),
]
INVALID_CALLS = [
    (CallRule.KEY_RAN_TWICE, [invoke(0, 'c'), run(1, 'c'), run(2, 'c')]),
    (
        CallRule.KEY_RAN_TWICE,
        [invoke(0, 'c'), invoke(0, 'd'), run(1, 'c'), run(2, 'd')],
    ),
    (
        CallRule.NOT_RUN_RAN,
        [invoke(0, 'c'), run(1, 'c'), finish(2, 'c', Verdict.NOT_RUN, None)],
    ),
    (
        CallRule.NOT_RUN_RAN,
        [invoke(0, 'c'), finish(1, 'c', Verdict.NOT_RUN, None), run(2, 'c')],
    ),
    (CallRule.ANSWER_FOREIGN, [invoke(0, 'c'), finish(1, 'c')]),
    (
        CallRule.ANSWER_FOREIGN,
        [invoke(0, 'c'), run(1, 'c'), finish(2, 'c', answer=b'a')],
    ),
    (
        CallRule.ANSWER_FOREIGN,
        [
            invoke(0, 'c'),
            invoke(0, 'd', 'l'),
            run(1, 'd', 'l'),
            finish(2, 'c'),
        ],
    ),
    (
        CallRule.ANSWER_FOREIGN,
        [
            invoke(0, 'c'),
            invoke(0, 'd', body=b'y'),
            run(1, 'c'),
            finish(2, 'd'),
        ],
    ),
    (CallRule.ANSWER_EARLY, [invoke(0, 'c'), finish(1, 'c'), run(2, 'c')]),
    (CallRule.CALL_UNKNOWN, [run(1, 'c')]),
    (CallRule.CALL_UNKNOWN, [invoke(0, 'c'), invoke(1, 'c')]),
    (
        CallRule.CALL_UNKNOWN,
        [invoke(0, 'c'), run(1, 'c'), finish(2, 'c'), finish(3, 'c')],
    ),
]


def submit(at, patch, base=0):
    return patch_history.PatchInvoked(at, patch, base)


def accept(at, patch, number=1):
    return patch_history.PatchReturned(at, patch, number)


def refuse(at, patch):
    return patch_history.PatchReturned(at, patch, None, is_outdated=True)


def see(at, number, node='n'):
    return patch_history.NumberSeen(at, node, number)


VALID_PATCHES = [
    submit(0, 'p'),
    submit(1, 'q'),
    see(2, 1),
    refuse(3, 'q'),
    accept(4, 'p', 1),
    submit(5, 'r', 1),
    patch_history.PatchReturned(6, 'r', None, is_known=False),
    submit(7, 's', 2),
    accept(8, 's', 3),
    see(9, 3),
    see(9, 1, 'm'),
]
INVALID_PATCHES = [
    (PatchRule.NUMBER_BACK, [*VALID_PATCHES, see(10, 2)]),
    (PatchRule.NUMBER_LATE, [*VALID_PATCHES, see(30, 1, 'm')]),
    (PatchRule.NUMBER_UNKNOWN, [submit(0, 'p'), see(1, 2)]),
    (PatchRule.NUMBER_UNKNOWN, [see(0, 1), submit(1, 'p')]),
    (
        PatchRule.PATCH_DOUBLE,
        [submit(0, 'p'), submit(0, 'q'), accept(1, 'p'), accept(1, 'q')],
    ),
    (PatchRule.PATCH_GAP, [submit(0, 'p', 1), accept(1, 'p', 2)]),
    (
        PatchRule.PATCH_GAP,
        [submit(0, 'o'), refuse(0, 'o'), submit(0, 'p', 1), accept(1, 'p', 2)],
    ),
    (
        PatchRule.PATCH_MERGED,
        [submit(0, 'p'), accept(1, 'p'), submit(2, 'q'), accept(3, 'q', 2)],
    ),
    (
        PatchRule.PATCH_ORDER,
        [
            submit(0, 'o'),
            submit(0, 'p', 1),
            accept(1, 'p', 2),
            submit(2, 'q'),
            accept(3, 'q', 1),
        ],
    ),
    (PatchRule.PATCH_REFUSED, [submit(0, 'p'), refuse(1, 'p')]),
    (
        PatchRule.PATCH_REFUSED,
        [submit(0, 'p'), submit(0, 'q'), refuse(1, 'p'), refuse(1, 'q')],
    ),
    (
        PatchRule.PATCH_REFUSED,
        [submit(0, 'p'), refuse(1, 'p'), submit(2, 'q'), accept(3, 'q')],
    ),
]


def test_valid_histories_pass():
    testing.assert_calls(VALID_CALLS)
    testing.assert_patches(VALID_PATCHES, in_force_ms=10)


@pytest.mark.parametrize(('rule', 'events'), INVALID_CALLS)
def test_invalid_calls_are_found(rule, events):
    assert rule in {item.rule for item in history.check_calls(events)}
    with pytest.raises(AssertionError, match=rule.value):
        testing.assert_calls(events)


@pytest.mark.parametrize(('rule', 'events'), INVALID_PATCHES)
def test_invalid_patches_are_found(rule, events):
    found = patch_history.check_patches(events, in_force_ms=10)
    assert rule in {item.rule for item in found}
    with pytest.raises(AssertionError, match=rule.value):
        testing.assert_patches(events, in_force_ms=10)
