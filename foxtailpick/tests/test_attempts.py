"""Tests of the attempt table."""

import hypothesis
from hypothesis import strategies
import pytest

from foxtailpick.core import attempts
from foxtailpick.core import errors
from foxtailpick.core import verdict

AttemptState = attempts.AttemptState
ErrorCode = errors.ErrorCode
Verdict = verdict.Verdict
LIMITS = attempts.AttemptLimits(
    max_attempts=3,
    max_unopened=2,
    retention_ms=1_000.0,
    max_answer_bytes=8,
    max_stored_bytes=12,
)


@pytest.fixture
def table(monitor):
    return attempts.AttemptTable('i1', monitor, LIMITS)


def run_attempt(
    table, attempt, verdict=Verdict.RAN, answer=b'yes', now_ms=0.0
):
    table.open(attempt, 'i1', now_ms, now_ms)
    table.start(attempt)
    return table.finish(attempt, verdict, answer, now_ms)


def assert_refused(code, verdict, call):
    with pytest.raises(errors.RefusedError) as caught:
        call()
    assert (caught.value.code, caught.value.verdict) == (code, verdict)


def test_a_finished_attempt_gives_its_stored_answer(table):
    run_attempt(table, 'a')
    assert table.open('a', 'i1', 0.0, 1.0) is attempts.OpenResult.DUPLICATE
    report = table.query('a', 'i1', 5.0, 5.0)
    assert report == attempts.AttemptReport(
        'a', Verdict.RAN, AttemptState.FINISHED, b'yes'
    )


def test_a_query_closes_an_attempt_that_arrives_later(table):
    assert table.query('a', 'i1', 5.0, 5.0).verdict is Verdict.NOT_RUN
    assert_refused(
        ErrorCode.ATTEMPT_CLOSED,
        Verdict.NOT_RUN,
        lambda: table.open('a', 'i1', 0.0, 900.0),
    )
    assert_refused(
        ErrorCode.ATTEMPT_CLOSED,
        Verdict.MAY_HAVE_RUN,
        lambda: table.open('a', 'i1', 0.0, 1_005.0),
    )


def test_an_evicted_attempt_may_have_run(table):
    run_attempt(table, 'a')
    assert table.query('a', 'i1', 999.0, 999.0).verdict is Verdict.RAN
    assert table.query('a', 'i1', 1e3, 1e3).verdict is Verdict.MAY_HAVE_RUN
    assert len(table) == 0


def test_a_running_attempt_is_never_evicted(table):
    table.open('a', 'i1', 0.0, 0.0)
    table.start('a')
    report = table.query('a', 'i1', 9e9, 9e9)
    assert report.state is AttemptState.RUNNING
    assert report.verdict is Verdict.MAY_HAVE_RUN


def test_another_incarnation_has_no_record(table):
    """A duplicate frame arrives after a replacement, as in soak seed 38."""
    assert table.query('a', 'i0', 1.0, 1.0).verdict is Verdict.MAY_HAVE_RUN
    assert_refused(
        ErrorCode.WRONG_INCARNATION,
        Verdict.MAY_HAVE_RUN,
        lambda: table.open('a', 'i0', 0.0, 0.0),
    )


def test_a_full_table_refuses_and_records(table):
    for attempt in 'abc':
        run_attempt(table, attempt)
    for attempt in 'de':
        assert_refused(
            ErrorCode.OVERLOADED,
            Verdict.NOT_RUN,
            lambda name=attempt: table.open(name, 'i1', 0.0, 0.0),
        )
    assert_refused(
        ErrorCode.OVERLOADED,
        Verdict.MAY_HAVE_RUN,
        lambda: table.open('f', 'i1', 0.0, 0.0),
    )
    assert table.query('g', 'i1', 0.0, 0.0).verdict is Verdict.MAY_HAVE_RUN
    assert table.query('a', 'i1', 0.0, 0.0).verdict is Verdict.RAN
    assert table.open('g', 'i1', 1e3, 1e3) is attempts.OpenResult.NEW


@pytest.mark.parametrize('is_started', [False, True])
def test_a_refused_attempt_stays_refused(table, is_started):
    table.open('a', 'i1', 0.0, 0.0)
    if is_started:
        table.start('a')
        report = table.finish('a', Verdict.NOT_RUN, None, 0.0)
    else:
        report = table.refuse('a', 0.0)
    assert report.verdict is Verdict.NOT_RUN
    for call in (
        lambda: table.open('a', 'i1', 0.0, 1.0),
        lambda: table.start('a'),
    ):
        assert_refused(ErrorCode.ATTEMPT_CLOSED, Verdict.NOT_RUN, call)


def test_a_started_attempt_is_not_refused_or_started_again(table):
    table.open('a', 'i1', 0.0, 0.0)
    table.start('a')
    for call in (lambda: table.refuse('a', 0.0), lambda: table.start('a')):
        assert_refused(ErrorCode.ATTEMPT_CLOSED, Verdict.MAY_HAVE_RUN, call)


@pytest.mark.parametrize('answer', [b'123456789', None])
def test_an_answer_that_is_not_stored_still_ran(table, answer):
    report = run_attempt(table, 'a', answer=answer)
    assert (report.verdict, report.answer) == (Verdict.RAN, None)


def test_the_oldest_answers_are_evicted_first(table):
    for attempt in 'abc':
        run_attempt(table, attempt, answer=b'12345')
    held = [table.query(name, 'i1', 0.0, 0.0).answer for name in 'abc']
    assert held == [None, b'12345', b'12345']


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['open', 'query', 'start', 'wait']),
            strategies.sampled_from('abcdef'),
        ),
        max_size=40,
    )
)
def test_a_report_of_not_run_stays_true(steps):
    """Frames sent at 0 ms arrive in any order, any number of times."""
    monitor = attempts.invariants.Monitor(is_strict=True)
    table = attempts.AttemptTable('i1', monitor, LIMITS)
    reported, ran, now_ms = set(), [], 0.0
    for step, name in steps:
        try:
            if step == 'wait':
                now_ms += 400.0
            elif step == 'open':
                table.open(name, 'i1', 0.0, now_ms)
            elif step == 'query':
                report = table.query(name, 'i1', now_ms, now_ms)
                if report.verdict is Verdict.NOT_RUN:
                    reported.add(name)
            else:
                table.start(name)
                ran.append(name)
                table.finish(name, Verdict.RAN, b'', now_ms)
        except ValueError:
            continue
        except errors.RefusedError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                reported.add(name)
    assert len(ran) == len(set(ran))
    assert not reported & set(ran)
