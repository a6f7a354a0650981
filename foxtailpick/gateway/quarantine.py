"""Applies the quarantine of signatures to requests in progress."""

import math
import typing

import trio

from foxtailpick.core.dispatch import crash_policy
from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import crash_records
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
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
# The listener of a process that ends may close this much later than its
# connections.
LISTENER_CLOSE_MS = 40.0
# Shortest retry time, for a signature that is being tested.
MIN_RETRY_MS = 1_000.0

_Signatures = typing.Sequence[crash_quarantine.Signature]
# Signatures of a request, with the records of their kind.
Kinds = list[tuple[crash_records.CrashRecords, _Signatures]]


def check_request(gw: context.Gateway, job: job_lib.Job) -> None:
    """Refuse a request that has a quarantined signature.

    :param gw: the gateway.
    :param job: the request.
    :raises errors.RequestError: if it must not be sent.
    """
    now_ms = gw.now_ms()
    found = None
    # Each kind takes note that the request has come.
    for records, signatures in _list_watched(gw, job):
        refusal = records.find_refusal(
            signatures,
            lambda signature: _get_test_rank(gw, signature),
            now_ms,
            is_alone=len(gw.state.list_routers()) < 2,
        )
        if refusal is None:
            continue
        if found is None or refusal.due_ms > found[1].due_ms:
            found = records, refusal
    if found is None:
        return
    records, refusal = found
    policy = records.policy
    retry_ms = max(refusal.due_ms, MIN_RETRY_MS)
    retry_ms *= 1 + RETRY_SPREAD * gw.rng.random()
    gw.metrics.count(f'{policy.name}s_refused')
    gw.log.emit_request(
        f'{policy.name}-refused',
        request=job.meta.id,
        **{policy.label: refusal.signature},
        level=records.quarantines[refusal.signature].level,
        retry_ms=round(retry_ms),
    )
    raise errors.RequestError(
        errors.ErrorCode.PROMPT_QUARANTINED,
        f'expected a request that crashes no endpoint, got {policy.label} '
        f'{refusal.signature}, under which several ended; come back later',
        job.verdict,
        retry_ms,
    )


def begin_tests(gw: context.Gateway, job: job_lib.Job) -> Kinds:
    """Record that a request is sent; return the signatures that it tests."""
    kinds = []
    for records, signatures in _list_watched(gw, job):
        tested = records.begin_tests(signatures, gw.now_ms(), gw.cfg.name)
        kinds.append((records, tested))
        for signature in tested:
            gw.log.emit(
                f'{records.policy.name}-test',
                request=job.meta.id,
                **{records.policy.label: signature},
                level=records.quarantines[signature].level,
            )
    return kinds


async def has_ended(
    gw: context.Gateway, endpoint: endpoint_table.Endpoint
) -> bool:
    """Tell whether an endpoint that closed a connection accepts no other.

    An endpoint that lives may close or reset one connection, and keeps the
    next one open. All requests whose connections it closed share one check.

    :param gw: the gateway.
    :param endpoint: the endpoint.
    """
    process = get_process(endpoint)
    while True:
        now_ms = gw.now_ms()
        check = gw.end_checks.get(process)
        if check is None or now_ms - check.began_ms > END_CHECK_TTL_MS:
            check = context.EndCheck(now_ms)
            gw.end_checks[process] = check
            await _check_end(gw, endpoint, check)
        await check.done.wait()
        if check.has_ended is not None:
            return check.has_ended
        # The request that made the check was cancelled.
        if gw.end_checks.get(process) is check:
            del gw.end_checks[process]


async def _check_end(
    gw: context.Gateway,
    endpoint: endpoint_table.Endpoint,
    check: context.EndCheck,
) -> None:
    try:
        conn = await gw.pool.open(endpoint)
    except OSError:
        # Not logged here: this is the outcome, which the caller logs.
        check.has_ended = True
    else:
        try:
            await trio.sleep(LISTENER_CLOSE_MS / types.SECOND_MS)
            # Closed by now if it only waited to be accepted.
            check.has_ended = not conn.is_alive()
        finally:
            gw.pool.release(endpoint, conn, check.has_ended is False)
    finally:
        check.done.set()


def record_end(
    gw: context.Gateway,
    job: job_lib.Job,
    endpoint: endpoint_table.Endpoint,
    closed_ms: float,
    tested: Kinds,
) -> None:
    """Record that an endpoint ended under a request that is suspect.

    :param gw: the gateway.
    :param job: the request.
    :param endpoint: the endpoint.
    :param closed_ms: when it closed the connection.
    :param tested: result of `begin_tests`.
    """
    now_ms = gw.now_ms()
    process = get_process(endpoint)
    short = crash_quarantine.shorten_process(process)
    started = {
        id(records): records.record_end(
            signatures,
            short if records is gw.request_records else process,
            closed_ms,
            now_ms,
        )
        for records, signatures in _list_kinds(gw, job)
    }
    own, total = gw.request_records.count_ends(job.signature, now_ms)
    gw.log.emit_request(
        'crash-suspect',
        request=job.meta.id,
        endpoint=endpoint.id,
        signature=job.signature,
        own_ends=own,
        all_ends=total,
    )
    for records, signatures in tested:
        started[id(records)].extend(records.fail_tests(signatures, now_ms))
    for records, _ in _list_kinds(gw, job):
        changes = crash_records.Changes(started[id(records)], [])
        apply_changes(gw, records, changes)


def record_sound(gw: context.Gateway, job: job_lib.Job) -> None:
    """Record a sound answer to a request."""
    for records, signatures in _list_watched(gw, job):
        cleared = records.record_sound(signatures, gw.now_ms())
        changes = crash_records.Changes([], cleared)
        apply_changes(gw, records, changes)


def may_crash(gw: context.Gateway, job: job_lib.Job) -> bool:
    """Tell whether a repeated request may crash another endpoint."""
    now_ms = gw.now_ms()
    return any(
        records.may_crash(signatures, now_ms)
        for records, signatures in _list_watched(gw, job)
    )


def apply_changes(
    gw: context.Gateway,
    records: crash_records.CrashRecords,
    changes: crash_records.Changes,
) -> None:
    """Log changes, and withdraw requests that are not answered yet.

    :param gw: the gateway.
    :param records: the records that changed.
    :param changes: signatures whose quarantine started or ended.
    """
    now_ms = gw.now_ms()
    policy = records.policy
    for signature in changes.started:
        quarantine = records.quarantines[signature]
        own, total = records.count_ends(signature, now_ms)
        due_ms = quarantine.due_ms
        gw.metrics.count(f'{policy.name}_quarantines')
        gw.log.emit(
            f'{policy.name}-quarantined',
            **{policy.label: signature},
            level=quarantine.level,
            age_ms=round(now_ms - quarantine.started_ms),
            for_ms=round(due_ms - now_ms) if math.isfinite(due_ms) else None,
            own_ends=own,
            all_ends=total,
        )
    for signature in changes.cleared:
        gw.metrics.count(f'{policy.name}_clearings')
        gw.log.emit(f'{policy.name}-cleared', **{policy.label: signature})
    started = set(changes.started)
    if not started:
        return
    for attempt in gw.attempts:
        if attempt.answered_ms is None and _is_withdrawn(
            records, started, attempt.job
        ):
            attempt.is_withdrawn = True
            attempt.conn.abort()


def expire(gw: context.Gateway) -> None:
    """Drop what is too old to be used again."""
    now_ms = gw.now_ms()
    gw.part_records.expire(now_ms)
    gw.request_records.expire(now_ms)
    for process, check in list(gw.end_checks.items()):
        if now_ms - check.began_ms > END_CHECK_TTL_MS and check.done.is_set():
            del gw.end_checks[process]


def get_process(endpoint: endpoint_table.Endpoint) -> str:
    """Return the name of an endpoint's process, unique over restarts."""
    return '/'.join(endpoint.entry.incarnation)


def _list_kinds(gw: context.Gateway, job: job_lib.Job) -> Kinds:
    return [
        (gw.part_records, job.shared_parts),
        (gw.request_records, (job.signature,)),
    ]


def _list_watched(gw: context.Gateway, job: job_lib.Job) -> Kinds:
    """Like `_list_kinds`, without the whole request if none is suspected.

    The body of a request is hashed only while one is suspected.
    """
    if gw.request_records.is_watching:
        return _list_kinds(gw, job)
    return [(gw.part_records, job.shared_parts)]


def _is_withdrawn(
    records: crash_records.CrashRecords,
    started: set[crash_quarantine.Signature],
    job: job_lib.Job,
) -> bool:
    """Tell whether to withdraw a request that waits at an endpoint."""
    if records.policy is crash_policy.PARTS:
        return not started.isdisjoint(job.shared_parts)
    # A plain request may already run. Its answer, if it gets one, ends a
    # quarantine that is wrong.
    return (
        job.route.kind is model.RequestKind.STREAMING
        and job.signature in started
    )


def _get_test_rank(
    gw: context.Gateway, signature: crash_quarantine.Signature
) -> int:
    routers: dict[types.RouterId, float] = {
        name: 1.0 for name in gw.state.list_routers()
    }
    routers[gw.cfg.name] = 1.0
    return ring.rank_by_rendezvous(signature, routers).index(gw.cfg.name)
