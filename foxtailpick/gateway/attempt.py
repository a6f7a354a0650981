"""Executes one attempt of a request at one endpoint."""

import contextlib
import dataclasses
import typing

import trio

from foxtailpick.core.dispatch import connection_room
from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import health
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import rate_share
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.core import errors
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import announced
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import context
from foxtailpick.gateway import endpoint_io
from foxtailpick.gateway import http1
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import load_reports
from foxtailpick.gateway import ordered_admission
from foxtailpick.gateway import quarantine
from foxtailpick.gateway import reply as reply_lib
from foxtailpick.gateway import rollout_path
from foxtailpick.gateway import stream_relay

# Late answers to earlier requests that are skipped on a reused connection.
MAX_FOREIGN_ANSWERS = 4
# Requests that hold a connection usually end in this time.
NO_DESCRIPTOR_RETRY_MS = 500.0
_SERVER_ERROR = 500
_MISDIRECTED = 421
# Statuses that tell the caller that the request was not executed.
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of an attempt.

    :param end: how it ended.
    :param detail: cause of a failure, for logs and error messages.
    :param response: the endpoint's response, if it is an error response.
    :param answered_ms: when the endpoint began to respond, None if it did
        not.
    :param silent_ms: time without data from it before a connection failed,
        None otherwise.
    """

    end: retry_decision.AttemptEnd
    detail: str = ''
    response: job_lib.BufferedResponse | None = None
    answered_ms: float | None = None
    silent_ms: float | None = None


def reserve(
    endpoint: endpoint_table.Endpoint, tokens: int, now_ms: float
) -> None:
    """Count an attempt at an endpoint, which is about to start.

    :param endpoint: the endpoint.
    :param tokens: tokens that it needs in the endpoint's memory.
    :param now_ms: current time.
    """
    if endpoint.is_cold(now_ms):
        rate_share.take_slot(endpoint.warmup_share)
    endpoint.running += 1
    endpoint.held_tokens += tokens
    if endpoint.health.awaiting_since_ms is None:
        endpoint.health.awaiting_since_ms = now_ms


def release(endpoint: endpoint_table.Endpoint, tokens: int) -> None:
    """End what `reserve` began.

    :param endpoint: the endpoint.
    :param tokens: tokens that the attempt needed.
    """
    endpoint.running -= 1
    endpoint.held_tokens -= tokens
    if endpoint.running == 0:
        endpoint.health.awaiting_since_ms = None


async def run_attempt(
    gw: context.Gateway,
    job: job_lib.Job,
    choice: placing.Choice,
    reply: reply_lib.Reply,
    hooks: context.GroupHooks,
) -> AttemptResult:
    """Send a request to an endpoint and relay the response.

    :param gw: the gateway.
    :param job: the request.
    :param choice: the selected endpoint.
    :param reply: writer of the response to the caller.
    :param hooks: the other attempts of the request.
    :raises http1.BrokenConnectionError: if the caller disconnected.
    """
    endpoint = choice.endpoint
    try:
        conn = await _acquire(gw, job, endpoint)
    except OSError as exc:
        record_failure(gw, endpoint, f'cannot connect: {exc}', True)
        return AttemptResult(retry_decision.AttemptEnd.UNREACHABLE, str(exc))
    if not (
        gw.state.table.is_sendable(endpoint, gw.now_ms())
        and rollout_path.is_sendable(gw, endpoint)
    ):
        _release(gw, job, endpoint, conn)
        return AttemptResult(
            retry_decision.AttemptEnd.UNREACHABLE,
            'endpoint left or rests; nothing was sent',
        )
    if not choice.is_within_limit and not announced.is_within_limit(
        gw, endpoint
    ):
        _release(gw, job, endpoint, conn)
        return AttemptResult(
            retry_decision.AttemptEnd.UNREACHABLE,
            'endpoint has named a limit meanwhile; nothing was sent',
        )
    try:
        quarantine.check_request(gw, job)
    except errors.RequestError:
        _release(gw, job, endpoint, conn)
        raise
    # Another attempt may answer by now; then this one is not sent.
    await trio.lowlevel.checkpoint_if_cancelled()
    tested = quarantine.begin_tests(gw, job)
    is_reusable = False
    closed_ms = None
    estimate = gw.first_byte_estimates.setdefault(
        job.route.name, response_timeout.FirstByteEstimate()
    )
    timeout_ms = estimate.compute_timeout_ms(
        job.route.target_ms,
        job.route.kind is model.RequestKind.STREAMING,
    )
    now_ms = gw.now_ms()
    attempt = context.Attempt(
        endpoint,
        conn,
        now_ms,
        now_ms,
        response_timeout.adjust_to_pace(
            timeout_ms, endpoint.pace.compute(now_ms)
        ),
        hooks.report_silence,
        job,
        hedge_ms=_compute_hedge_ms(gw, job),
        report_late=hooks.report_late,
        has_queued=endpoint.load > endpoint.entry.slots,
    )
    gw.attempts.add(attempt)
    try:
        job.counted_attempts += 1
        job.sends += 1
        hooks.report_sent()
        result = await _exchange(gw, job, choice, attempt, conn, reply, hooks)
        is_reusable = result.end is not retry_decision.AttemptEnd.BROKEN
    except (
        endpoint_io.InvalidResponseError,
        endpoint_io.EndpointConnectionError,
    ) as exc:
        result = AttemptResult(
            retry_decision.AttemptEnd.BROKEN,
            str(exc),
            answered_ms=attempt.answered_ms,
            silent_ms=gw.now_ms() - attempt.last_received_ms,
        )
        if exc.is_closed and not attempt.is_withdrawn:
            closed_ms = gw.now_ms()
    finally:
        gw.attempts.discard(attempt)
        _release(gw, job, endpoint, conn, is_reusable)
    if attempt.is_withdrawn and result.end is retry_decision.AttemptEnd.BROKEN:
        job.verdict = verdict_lib.merge_verdicts(
            job.verdict, retry_decision.get_verdict(result.end)
        )
        quarantine.check_request(gw, job)
    if closed_ms is not None:
        is_suspect = crash_quarantine.is_suspect(
            attempt.answered_ms, closed_ms
        )
        if is_suspect and await quarantine.has_ended(gw, endpoint):
            quarantine.record_end(gw, job, endpoint, closed_ms, tested)
    if (
        result.end is retry_decision.AttemptEnd.BROKEN
        and not attempt.is_failure_recorded
    ):
        health.record_failed_request(endpoint.health, gw.now_ms())
    if result.end is retry_decision.AttemptEnd.DELIVERED:
        health.record_success(endpoint.health, gw.now_ms())
        quarantine.record_sound(gw, job)
    elif not (
        result.end is retry_decision.AttemptEnd.ERROR_ANSWER
        or announced.is_refusal_announced(endpoint, result.end, gw.now_ms())
    ):
        is_gone = (
            result.end is retry_decision.AttemptEnd.MISDIRECTED
            or endpoint.health.is_silent(gw.now_ms())
        )
        record_failure(gw, endpoint, result.detail, is_gone)
    return result


def _compute_hedge_ms(gw: context.Gateway, job: job_lib.Job) -> float | None:
    usual = gw.usual_times.get(job.route.name)
    if job.route.kind is not model.RequestKind.SAFE or usual is None:
        return None
    left_ms = job.req.received_ms + job.route.target_ms - gw.now_ms()
    return response_timeout.compute_hedge_ms(usual, left_ms)


async def _acquire(
    gw: context.Gateway, job: job_lib.Job, endpoint: endpoint_table.Endpoint
) -> client_lib.ClientConnection:
    _make_room(gw, job, endpoint)
    if job.meta.id:
        return await gw.pool.acquire(endpoint)
    # On a reused connection its answer could not be told from late ones. An
    # idle one gives way, so that the endpoint has no more than without it.
    gw.pool.close_idle(endpoint)
    return await gw.pool.open(endpoint)


def _release(
    gw: context.Gateway,
    job: job_lib.Job,
    endpoint: endpoint_table.Endpoint,
    conn: client_lib.ClientConnection,
    is_reusable: bool = True,
) -> None:
    # Requests without an id would leave one connection each.
    gw.pool.release(endpoint, conn, is_reusable and bool(job.meta.id))


def _make_room(
    gw: context.Gateway, job: job_lib.Job, endpoint: endpoint_table.Endpoint
) -> None:
    """Make room for a connection to an endpoint.

    :raises errors.RequestError: if no descriptor is left for it.
    """
    if job.meta.id and gw.pool.has_idle(endpoint):
        return
    limit = connection_room.compute_endpoint_limit(
        gw.cfg.max_sockets, gw.accepted
    )
    if gw.pool.count < limit or gw.pool.make_room(limit, gw.state.table):
        return
    gw.metrics.count('requests_without_descriptor')
    raise errors.RequestError(
        errors.ErrorCode.OVERLOADED,
        f'expected less than {limit} connections to endpoints, got '
        f'{gw.pool.count}, all in use; retry later',
        job.verdict,
        NO_DESCRIPTOR_RETRY_MS * gw.rng.uniform(0.6, 1.4),
    )


async def deliver_error(
    job: job_lib.Job,
    answer: job_lib.BufferedResponse,
    reply: reply_lib.Reply,
) -> model.Outcome:
    """Relay an endpoint's error response unchanged.

    A status that implies that the request was not executed is replaced by
    502 for a non-idempotent request, which may have been executed.
    """
    headers = list(answer.meta.forwarded)
    status = answer.status
    if status in _NOT_EXECUTED_STATUSES and not job.route.is_idempotent:
        headers, body = reply_lib.format_error(
            errors.ErrorCode.ENDPOINT_FAILED.value,
            f'endpoint answered {status}, but may have run the request',
            None,
        )
        await reply.send_response(502, headers, body)
        return model.Outcome.OUTCOME_UNKNOWN
    if answer.meta.signature is not None:
        headers.append(answer.meta.signature)
    with answer.body:
        await reply.send_response(status, headers, answer.body)
    return model.Outcome.FAILED_BY_ENDPOINT


async def _exchange(
    gw: context.Gateway,
    job: job_lib.Job,
    choice: placing.Choice,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
    reply: reply_lib.Reply,
    hooks: context.GroupHooks,
) -> AttemptResult:
    head, body = _format_head(gw, job, choice), job.req.body
    conn.has_bodies = job.req.method != http1.HEAD
    if len(head) + len(body) <= http1.INLINE_BODY_BYTES:
        await endpoint_io.send(conn, head + body)
        return await _receive(gw, job, attempt, conn, reply, hooks)
    # A long request is sent concurrently with reading the response: an
    # endpoint may respond before it has read the whole body.
    sent = trio.Event()
    result: AttemptResult | None = None
    error: OSError | errors.RequestError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_concurrently, conn, (head, body), sent)
        try:
            result = await _receive(gw, job, attempt, conn, reply, hooks)
        except (OSError, errors.RequestError) as exc:
            # Raised below: the nursery would wrap it in an exception group.
            error = exc
        nursery.cancel_scope.cancel()
    if not sent.is_set():
        conn.is_clean = False
    if error is not None:
        raise error
    assert result is not None
    return result


async def _send_concurrently(
    conn: client_lib.ClientConnection,
    parts: typing.Iterable[bytes | bytearray],
    sent: trio.Event,
) -> None:
    # The connection keeps a failure for the reading task, which reports it
    # unless the answer is whole without the end of the stream.
    with contextlib.suppress(http1.BrokenConnectionError):
        for part in parts:
            await conn.send(part)
        sent.set()


def _format_head(
    gw: context.Gateway, job: job_lib.Job, choice: placing.Choice
) -> bytes:
    last_id = job.meta.last_event_id
    if job.splitter is not None:
        last_id = job.splitter.last_id
    headers = gw.dialect.encode_request(
        job.meta,
        choice.endpoint.id,
        job.account,
        job.priority,
        job.deadline_ms - gw.now_ms(),
        last_id,
        choice.holder.entry.address if choice.holder else None,
    )
    return http1.format_request(
        job.req.method,
        job.req.target,
        job.req.get_host().encode('latin-1'),
        headers,
        len(job.req.body),
    )


async def _receive(
    gw: context.Gateway,
    job: job_lib.Job,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
    reply: reply_lib.Reply,
    hooks: context.GroupHooks,
) -> AttemptResult:
    sent_ms = gw.now_ms()
    head, meta = await _read_head(gw, job, attempt, conn, sent_ms)
    now_ms = gw.now_ms()
    gw.first_byte_estimates[job.route.name].observe(
        now_ms - sent_ms, attempt.read_timeout_ms
    )
    if head.status < _SERVER_ERROR:
        health.record_answer_start(
            attempt.endpoint.health, now_ms, attempt.is_failure_recorded
        )
        attempt.is_failure_recorded = False
    attempt.read_timeout_ms = response_timeout.EVENT_GAP_TIMEOUT_MS
    load_reports.record_report(gw, attempt.endpoint, meta)
    conn.keep_alive_ms = meta.keep_alive_ms
    if not head.is_reusable or meta.is_closing:
        conn.is_clean = False
    is_success = 200 <= head.status < 300
    if meta.is_not_run or head.status == _MISDIRECTED:
        await endpoint_io.read_body(gw, conn)
        end = retry_decision.AttemptEnd.REFUSED
        if head.status == _MISDIRECTED:
            end = retry_decision.AttemptEnd.MISDIRECTED
            # Another endpoint now has this address, so the attempt does not
            # count towards the limit of attempts.
            job.counted_attempts -= 1
        return AttemptResult(end, f'refused with {head.status}')
    if is_success and (not meta.is_signed or meta.is_encoded):
        raise endpoint_io.InvalidResponseError(
            'response without signature or with content encoding'
        )
    job.framing = head.framing
    attempt.answered_ms = now_ms
    if is_success:
        load_reports.record_answer(gw, attempt, now_ms - sent_ms)
        if job.answered_ms is None:
            job.answered_ms = now_ms
    if is_success and job.route.kind is model.RequestKind.STREAMING:
        hooks.report_begun()
        ordered_admission.record_first_event(gw, job, now_ms)
        await stream_relay.relay_stream(
            gw, job, attempt, conn, reply, hooks, head, meta
        )
        return AttemptResult(
            retry_decision.AttemptEnd.DELIVERED,
            answered_ms=attempt.answered_ms,
        )
    body = await endpoint_io.read_body(gw, conn)
    if not is_success:
        if head.status >= _SERVER_ERROR:
            now_ms = gw.now_ms()
            health.record_failed_request(attempt.endpoint.health, now_ms)
            health.record_failure(attempt.endpoint.health, now_ms, False)
        return AttemptResult(
            retry_decision.AttemptEnd.ERROR_ANSWER,
            f'status {head.status}',
            job_lib.BufferedResponse(head.status, meta, body),
        )
    with body:
        await stream_relay.claim_response(hooks, True)
        await reply.send_response(
            head.status,
            [*meta.forwarded, *stream_relay.get_signature_headers(meta)],
            body,
        )
    return AttemptResult(
        retry_decision.AttemptEnd.DELIVERED, answered_ms=attempt.answered_ms
    )


async def _read_head(
    gw: context.Gateway,
    job: job_lib.Job,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
    sent_ms: float,
) -> tuple[client_lib.ResponseHead, model.ResponseMeta]:
    is_reused = conn.received_bytes > 0
    for _ in range(MAX_FOREIGN_ANSWERS + 1):
        head = await endpoint_io.next_event(gw, attempt, conn)
        if not isinstance(head, client_lib.ResponseHead):
            raise endpoint_io.InvalidResponseError(
                'expected a response head, got a body'
            )
        meta = gw.dialect.decode_response(head.headers)
        announced.record_announcements(gw, attempt.endpoint, head.status, meta)
        if meta.request is None and is_reused:
            # It may be a late one, to an earlier request.
            raise endpoint_io.InvalidResponseError(
                'expected the id of the request on a reused connection, got '
                f'none with status {head.status}'
            )
        if meta.request is None or meta.request == job.meta.id:
            if head.status != _MISDIRECTED:
                announced.record_rate_limit(
                    gw, attempt.endpoint, meta, sent_ms
                )
            return head, meta
        # A late response to an earlier request on a reused connection.
        gw.log.emit_request(
            'foreign-answer', request=job.meta.id, answer_to=meta.request
        )
        await endpoint_io.read_body(gw, conn)
    raise endpoint_io.InvalidResponseError(
        f'expected the answer to this request, got {MAX_FOREIGN_ANSWERS + 1} '
        f'to others'
    )


def record_failure(
    gw: context.Gateway,
    endpoint: endpoint_table.Endpoint,
    why: str,
    is_fatal: bool,
) -> None:
    """Record a failure of an endpoint, which may pause it.

    :param gw: the gateway.
    :param endpoint: the endpoint.
    :param why: how it failed.
    :param is_fatal: whether this failure alone pauses it.
    """
    now_ms = gw.now_ms()
    if health.record_failure(endpoint.health, now_ms, is_fatal):
        gw.metrics.count('endpoint_pauses')
        gw.log.emit(
            'endpoint-paused',
            endpoint=endpoint.id,
            why=why,
            for_ms=round(endpoint.health.paused_until_ms - now_ms),
            failures=round(endpoint.health.failures, 2),
            successes=round(endpoint.health.successes, 2),
        )
