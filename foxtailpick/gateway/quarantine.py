"""Applies the quarantine of prompt parts to requests in progress."""

import typing

from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core import errors
from foxtailpick.core import ring
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib

# Refused callers return over this share of their retry time, so that they
# don't return together.
RETRY_SPREAD = 0.2
# An answer to whether an endpoint has ended is used for this long.
END_CHECK_TTL_MS = 100.0
# Shortest retry time, for a part that is being tested.
MIN_RETRY_MS = 1_000.0


def check_prompt(gw: context.Gateway, job: job_lib.Job) -> None:
    """Refuse a request whose prompt has a quarantined part.

    :param gw: the gateway.
    :param job: the request.
    :raises errors.RequestError: if it must not be sent.
    """
    now_ms = gw.now_ms()
    refusal = gw.part_records.find_refusal(
        job.shared_parts, lambda part: _get_test_rank(gw, part), now_ms
    )
    if refusal is None:
        return
    retry_ms = max(refusal.due_ms, MIN_RETRY_MS)
    retry_ms *= 1 + RETRY_SPREAD * gw.rng.random()
    gw.metrics.count('prompts_refused')
    gw.log.emit_request(
        'prompt-refused',
        request=job.meta.id,
        part=refusal.part,
        level=gw.part_records.quarantines[refusal.part].level,
        retry_ms=round(retry_ms),
    )
    raise errors.RequestError(
        errors.ErrorCode.PROMPT_QUARANTINED,
        f'expected a prompt that crashes no endpoint, got part '
        f'{refusal.part}, under which several ended; come back later',
        job.verdict,
        retry_ms,
    )


def begin_tests(gw: context.Gateway, job: job_lib.Job) -> list[types.PartId]:
    """Record that a request is sent; return the parts that it tests."""
    tested = gw.part_records.begin_tests(job.shared_parts, gw.now_ms())
    for part in tested:
        gw.log.emit(
            'prompt-test',
            request=job.meta.id,
            part=part,
            level=gw.part_records.quarantines[part].level,
        )
    return tested


async def has_ended(
    gw: context.Gateway, endpoint: endpoint_table.Endpoint
) -> bool:
    """Tell whether an endpoint that closed a connection accepts no other.

    An endpoint that lives may close or reset one connection. All requests
    whose connections it closed share one check.

    :param gw: the gateway.
    :param endpoint: the endpoint.
    """
    now_ms = gw.now_ms()
    process = get_process(endpoint)
    check = gw.end_checks.get(process)
    if check is None or now_ms - check.began_ms > END_CHECK_TTL_MS:
        check = context.EndCheck(now_ms)
        gw.end_checks[process] = check
        try:
            conn = await gw.pool.open(endpoint)
        except OSError:
            # Not logged here: this is the outcome, which the caller logs.
            check.has_ended = True
        else:
            gw.pool.release(endpoint, conn, True)
        finally:
            check.done.set()
    await check.done.wait()
    return check.has_ended


def record_end(
    gw: context.Gateway,
    job: job_lib.Job,
    endpoint: endpoint_table.Endpoint,
    closed_ms: float,
    tested: typing.Iterable[types.PartId],
) -> None:
    """Record that an endpoint ended under a request that is suspect.

    :param gw: the gateway.
    :param job: the request.
    :param endpoint: the endpoint.
    :param closed_ms: when it closed the connection.
    :param tested: result of `begin_tests`.
    """
    now_ms = gw.now_ms()
    started = gw.part_records.record_end(
        job.shared_parts, get_process(endpoint), closed_ms, now_ms
    )
    started.extend(gw.part_records.fail_tests(tested, now_ms))
    apply_changes(gw, crash_quarantine.Changes(started, []))


def record_sound(gw: context.Gateway, job: job_lib.Job) -> None:
    """Record a sound answer to a request."""
    if not job.shared_parts:
        return
    cleared = gw.part_records.record_sound(job.shared_parts, gw.now_ms())
    apply_changes(gw, crash_quarantine.Changes([], cleared))


def apply_changes(
    gw: context.Gateway, changes: crash_quarantine.Changes
) -> None:
    """Log changes, and withdraw requests that are not answered yet.

    :param gw: the gateway.
    :param changes: parts whose quarantine started or ended.
    """
    now_ms = gw.now_ms()
    for part in changes.started:
        quarantine = gw.part_records.quarantines[part]
        own, total = gw.part_records.count_ends(part, now_ms)
        gw.metrics.count('prompt_quarantines')
        gw.log.emit(
            'prompt-quarantined',
            part=part,
            level=quarantine.level,
            age_ms=round(now_ms - quarantine.started_ms),
            for_ms=round(quarantine.due_ms - now_ms),
            own_ends=own,
            all_ends=total,
        )
    for part in changes.cleared:
        gw.metrics.count('prompt_clearings')
        gw.log.emit('prompt-cleared', part=part)
    parts = set(changes.started)
    if not parts:
        return
    for attempt in gw.attempts:
        if attempt.answered_ms is None and parts & set(attempt.parts):
            attempt.is_withdrawn = True
            attempt.conn.abort()


def expire(gw: context.Gateway) -> None:
    """Drop what is too old to be used again."""
    now_ms = gw.now_ms()
    for process, check in list(gw.end_checks.items()):
        if now_ms - check.began_ms > END_CHECK_TTL_MS and check.done.is_set():
            del gw.end_checks[process]


def get_process(endpoint: endpoint_table.Endpoint) -> str:
    """Return the name of an endpoint's process, unique over restarts."""
    return '/'.join(endpoint.entry.incarnation)


def _get_test_rank(gw: context.Gateway, part: types.PartId) -> int:
    routers = {name: 1.0 for name in gw.state.list_routers()}
    routers[gw.cfg.name] = 1.0
    return ring.rank_by_rendezvous(part, routers).index(gw.cfg.name)
