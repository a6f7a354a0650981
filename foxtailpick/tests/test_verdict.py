"""Tests of merging verdicts and of retry safety."""

import pytest

from foxtailpick.core import verdict

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
RAN = verdict.Verdict.RAN


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        (NOT_RUN, NOT_RUN, NOT_RUN),
        (NOT_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN),
        (MAY_HAVE_RUN, RAN, RAN),
        (NOT_RUN, RAN, RAN),
    ],
)
def test_merge_verdicts(first, second, expected):
    assert verdict.merge_verdicts(first, second) is expected
    assert verdict.merge_verdicts(second, first) is expected


@pytest.mark.parametrize(
    ('outcome', 'is_idempotent', 'expected'),
    [
        (NOT_RUN, False, True),
        (MAY_HAVE_RUN, False, False),
        (MAY_HAVE_RUN, True, True),
        (RAN, False, False),
    ],
)
def test_is_retry_safe(outcome, is_idempotent, expected):
    assert verdict.is_retry_safe(outcome, is_idempotent) is expected
