"""Tests of the HTTP status of errors."""

import pytest

from foxtailpick.core import errors
from foxtailpick.core import verdict
from foxtailpick.router import problems


def get_status(code, outcome):
    return problems.get_status(errors.RequestError(code, '', outcome))


@pytest.mark.parametrize('code', list(errors.ErrorCode))
def test_request_that_may_have_run_is_not_refused(code):
    """These statuses promise that the request never runs."""
    for outcome in (verdict.Verdict.MAY_HAVE_RUN, verdict.Verdict.RAN):
        assert get_status(code, outcome) not in (408, 421, 429, 503)


@pytest.mark.parametrize(
    ('code', 'status'),
    [
        (errors.ErrorCode.RETRY_BUDGET_EXHAUSTED, 503),
        (errors.ErrorCode.OVERLOADED, 503),
        (errors.ErrorCode.ACCOUNT_OVER_SHARE, 429),
        (errors.ErrorCode.LINK_LOST, 502),
    ],
)
def test_request_that_has_not_run_is_refused(code, status):
    assert get_status(code, verdict.Verdict.NOT_RUN) == status


def test_problem_states_the_status_of_its_response():
    exc = errors.RequestError(
        errors.ErrorCode.RETRY_BUDGET_EXHAUSTED,
        'expected a retry',
        verdict.Verdict.MAY_HAVE_RUN,
        500.0,
    )
    assert problems.make_response(exc).status_code == 502
    assert problems.make_body(exc)['status'] == 502
