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
