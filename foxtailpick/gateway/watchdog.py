"""Aborts attempts whose endpoint is silent and that may move to another."""

import trio

from foxtailpick.core.dispatch import health
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import quarantine

# Check interval of the watchdog, well below the read timeouts it enforces.
CHECK_INTERVAL_MS = 50.0


def can_retry_elsewhere(gw: context.Gateway, job: job_lib.Job) -> bool:
    """Tell whether a request without a response may move to another endpoint.

    :param gw: the gateway.
    :param job: the request.
    """
    if (
        not job.route.is_idempotent
        or job.counted_attempts >= job.route.max_attempts
    ):
        return False
    if gw.budget.get_tokens(job.service.name) < 1:
        return False
    if quarantine.may_crash(gw, job):
        return False
    # More endpoints have to be listed than attempts were made.
    return (
        len(gw.state.table.list_service(job.service.name))
        > job.counted_attempts
    )


async def watch_attempts(gw: context.Gateway) -> None:
    """Abort timed-out attempts that may be retried at another endpoint."""
    while True:
        await trio.sleep(CHECK_INTERVAL_MS / types.SECOND_MS)
        now_ms = gw.now_ms()
        for attempt in list(gw.attempts):
            quiet_ms = now_ms - attempt.last_received_ms
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
            if attempt.can_retry_elsewhere():
                attempt.conn.abort()
