"""Reports attempts whose endpoint is silent."""

import trio

from foxtailpick.core.dispatch import health
from foxtailpick.core import types
from foxtailpick.gateway import context

CHECK_INTERVAL_MS = context.LOOP_CHECK_INTERVAL_MS
# A check that begins this late shows that the process itself stood still.
STALL_MS = 150.0


async def watch_attempts(gw: context.Gateway) -> None:
    """Report attempts that make no progress, again at each check."""
    gw.loop_checks.record(gw.now_ms())
    while True:
        due_ms = gw.now_ms() + CHECK_INTERVAL_MS
        await trio.sleep(CHECK_INTERVAL_MS / types.SECOND_MS)
        now_ms = gw.now_ms()
        gw.loop_checks.record(now_ms)
        if now_ms - due_ms >= STALL_MS:
            gw.metrics.count('stalls')
            gw.log.emit('stalled', ms_late=round(now_ms - due_ms))
            # What the endpoints sent meanwhile is not yet read.
            continue
        for attempt in list(gw.attempts):
            quiet_ms = now_ms - attempt.last_progress_ms
            if _is_due_for_hedge(attempt, quiet_ms):
                attempt.is_late = True
                attempt.report_late()
            is_silent = attempt.endpoint.health.is_silent(now_ms)
            limit_ms = attempt.read_timeout_ms
            if is_silent:
                limit_ms = min(limit_ms, health.SILENCE_MS)
            if not attempt.is_reading or quiet_ms < limit_ms:
                continue
            if not attempt.is_failure_recorded:
                # Recorded at once, even if the request cannot be retried.
                attempt.is_failure_recorded = True
                health.record_failed_request(attempt.endpoint.health, now_ms)
            attempt.is_silent = True
            attempt.report_silence(True)


def _is_due_for_hedge(attempt: context.Attempt, quiet_ms: float) -> bool:
    # The next check would be too late.
    return (
        attempt.hedge_ms is not None
        and not attempt.is_late
        and attempt.is_reading
        and attempt.answered_ms is None
        and quiet_ms + CHECK_INTERVAL_MS > attempt.hedge_ms
    )
