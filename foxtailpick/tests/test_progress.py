"""Tests of stall detection."""

import pytest

from foxtailpick.core import progress

OPTIONS = progress.ProgressOptions()


@pytest.mark.parametrize(
    ('token_ms', 'is_streaming', 'stall_ms'),
    [(38.0, False, 2_500.0), (38.0, True, 2_500.0), (200.0, True, 4_000.0)],
)
def test_a_stall_is_detected_by_progress(token_ms, is_streaming, stall_ms):
    attempt = progress.AttemptProgress(0.0, token_ms)
    attempt.on_report(100.0)
    if is_streaming:
        attempt.on_token(100.0)
    due_ms = 100.0 + stall_ms
    decision = progress.decide_on_stall(attempt, OPTIONS, due_ms - 1)
    assert decision.action is progress.Action.WAIT
    assert decision.next_check_ms == due_ms
    decision = progress.decide_on_stall(attempt, OPTIONS, due_ms)
    assert decision.action is progress.Action.PROBE


def test_queue_reports_keep_a_waiting_request_alive():
    attempt = progress.AttemptProgress(0.0)
    for now_ms in range(1_000, 60_000, 1_000):
        decision = progress.decide_on_stall(attempt, OPTIONS, now_ms)
        assert decision.action is progress.Action.WAIT
        attempt.on_report(now_ms)


@pytest.mark.parametrize(
    ('is_sent', 'action'),
    [
        (True, progress.Action.REFUSE_MAY_HAVE_RUN),
        (False, progress.Action.REFUSE_NOT_RUN),
    ],
)
def test_unanswered_probes_end_in_a_correct_refusal(is_sent, action):
    attempt = progress.AttemptProgress(0.0, is_sent=is_sent)
    now_ms, probes = 2_500.0, 0
    decision = progress.decide_on_stall(attempt, OPTIONS, now_ms)
    while decision.action is progress.Action.PROBE:
        probes += 1
        now_ms = decision.next_check_ms
        decision = progress.decide_on_probe(
            attempt, progress.ProbeResult.UNANSWERED, OPTIONS, now_ms
        )
    assert probes == OPTIONS.max_probes
    assert decision.action is action
    assert now_ms <= 6_000.0


def test_deadline_ends_the_wait():
    attempt = progress.AttemptProgress(0.0, deadline_ms=1_000.0)
    decision = progress.decide_on_stall(attempt, OPTIONS, 10.0)
    assert decision.next_check_ms == 1_000.0
    decision = progress.decide_on_stall(attempt, OPTIONS, 1_000.0)
    assert decision.action is progress.Action.REFUSE_MAY_HAVE_RUN


@pytest.mark.parametrize(
    ('result', 'action'),
    [
        (progress.ProbeResult.WAITING, progress.Action.RESUME),
        (progress.ProbeResult.RUNNING, progress.Action.RESUME),
        (progress.ProbeResult.FINISHED, progress.Action.TAKE_RESULT),
        (progress.ProbeResult.NEVER_SEEN, progress.Action.REFUSE_NOT_RUN),
        (
            progress.ProbeResult.OUTCOME_LOST,
            progress.Action.REFUSE_MAY_HAVE_RUN,
        ),
    ],
)
def test_answered_probe(result, action):
    attempt = progress.AttemptProgress(0.0, probes=2)
    decision = progress.decide_on_probe(attempt, result, OPTIONS, 9_000.0)
    assert decision.action is action
    assert attempt.probes == 0
    assert attempt.last_progress_ms == 9_000.0


def test_late_check_waits_for_one_more_report():
    attempt = progress.AttemptProgress(0.0)
    due_ms = 2_500.0

    def decide(now_ms):
        return progress.decide_on_late_check(attempt, OPTIONS, due_ms, now_ms)

    assert decide(due_ms).action is progress.Action.PROBE
    in_time_ms = due_ms + OPTIONS.max_lateness_ms
    assert decide(in_time_ms).action is progress.Action.PROBE
    late = decide(in_time_ms + 1.0)
    assert late.action is progress.Action.WAIT
    assert late.next_check_ms == in_time_ms + 1.0 + OPTIONS.report_ms
    due_ms = late.next_check_ms
    assert decide(due_ms).action is progress.Action.PROBE


def test_late_check_keeps_the_deadline():
    attempt = progress.AttemptProgress(0.0, deadline_ms=3_000.0)
    late = progress.decide_on_late_check(attempt, OPTIONS, 0.0, 2_900.0)
    assert late.next_check_ms == 3_000.0
    over = progress.decide_on_late_check(attempt, OPTIONS, 0.0, 3_000.0)
    assert over.action is progress.Action.REFUSE_MAY_HAVE_RUN


def test_silence_is_detected_though_all_checks_are_late():
    attempt = progress.AttemptProgress(0.0)
    due_ms, checks = 2_500.0, 0
    while True:
        now_ms = due_ms + 500.0
        decision = progress.decide_on_late_check(
            attempt, OPTIONS, due_ms, now_ms
        )
        if decision.action is progress.Action.PROBE:
            break
        checks += 1
        due_ms = decision.next_check_ms
    assert checks == OPTIONS.max_late_checks
    attempt.on_report(now_ms)
    assert attempt.late_checks == 0
