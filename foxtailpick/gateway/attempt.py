"""One attempt of a request at one endpoint."""

import dataclasses
import functools

import trio

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import health
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.core.dispatch import token_bucket
from foxtailpick.core import types
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import context
from foxtailpick.gateway import exchange
from foxtailpick.gateway import http1
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import reply as reply_lib

# Well below the limits that are looked for.
WATCH_STEP_MS = 50.0
_SERVER_ERROR = 500
_MISDIRECTED = 421
# Statuses that promise that a request has not run.
_PROMISES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an endpoint."""

    status: int
    meta: model.ResponseMeta
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    :param end: how.
    :param detail: what was seen, for logs and errors.
    :param response: the endpoint's answer, where it is a failure.
    """

    end: retry_decision.AttemptEnd
    detail: str = ''
    response: Answer | None = None


class _BadAnswerError(OSError):
    """An answer that is not the endpoint's whole and own one."""


async def run_attempt(
    gw: context.Gateway,
    job: job_lib.Job,
    choice: placing.Choice,
    reply: reply_lib.Reply,
) -> AttemptResult:
    """Send a request to an endpoint and pass on the answer.

    :param gw: the gateway.
    :param job: the request.
    :param choice: the endpoint.
    :param reply: where the answer goes.
    :raises http1.BrokenConnectionError: if the caller left.
    """
    endpoint = choice.endpoint
    now_ms = gw.now_ms()
    if endpoint.is_cold(now_ms):
        token_bucket.take_token(endpoint.warmup_bucket)
    endpoint.running += 1
    if endpoint.health.awaiting_since_ms is None:
        endpoint.health.awaiting_since_ms = now_ms
    try:
        return await _run_counted(gw, job, choice, reply)
    finally:
        endpoint.running -= 1
        if endpoint.running == 0:
            endpoint.health.awaiting_since_ms = None


async def deliver_error(
    job: job_lib.Job, result: AttemptResult, reply: reply_lib.Reply
) -> model.Outcome:
    """Pass on an endpoint's failure answer as it is.

    A status that promises that nothing was run is not passed on if that
    is not known to be true.
    """
    answer = result.response
    assert answer is not None
    headers = list(answer.meta.forwarded)
    status = answer.status
    if status in _PROMISES and not job.route.is_idempotent:
        headers, body = reply_lib.format_error(
            'FTP-213', f'endpoint answered {status} after running', None
        )
        await reply.send_whole(502, headers, body)
        return model.Outcome.OUTCOME_UNKNOWN
    if answer.meta.signature is not None:
        headers.append(answer.meta.signature)
    await reply.send_whole(status, headers, answer.body)
    return model.Outcome.FAILED_BY_ENDPOINT


async def _run_counted(
    gw: context.Gateway,
    job: job_lib.Job,
    choice: placing.Choice,
    reply: reply_lib.Reply,
) -> AttemptResult:
    endpoint = choice.endpoint
    try:
        conn = await gw.pool.take(endpoint)
    except OSError as exc:
        _note_failure(gw, endpoint, f'no connection: {exc}', True)
        return AttemptResult(retry_decision.AttemptEnd.UNREACHABLE, str(exc))
    is_reusable = False
    first = gw.first_answers.setdefault(
        job.route.name, response_timeout.FirstByteEstimate()
    )
    attempt = context.Attempt(
        endpoint,
        conn,
        gw.now_ms(),
        first.find_timeout_ms(
            job.route.target_ms,
            job.route.kind is model.RequestKind.STREAMING,
        ),
        functools.partial(_can_move, gw, job),
    )
    gw.attempts.add(attempt)
    try:
        job.sent += 1
        job.arrivals += 1
        result = await _exchange(gw, job, choice, attempt, conn, reply)
        is_reusable = result.end is not retry_decision.AttemptEnd.BROKEN
    except _BadAnswerError as exc:
        result = AttemptResult(retry_decision.AttemptEnd.BROKEN, str(exc))
    except _EndpointBrokeError as exc:
        result = AttemptResult(retry_decision.AttemptEnd.BROKEN, str(exc))
    finally:
        gw.attempts.discard(attempt)
        gw.pool.give_back(endpoint, conn, is_reusable)
    if result.end is retry_decision.AttemptEnd.BROKEN and not attempt.is_noted:
        health.record_failed_request(endpoint.health, gw.now_ms())
    if result.end is retry_decision.AttemptEnd.DELIVERED:
        health.record_success(endpoint.health, gw.now_ms())
    elif result.end is not retry_decision.AttemptEnd.ERROR_ANSWER:
        is_gone = (
            result.end is retry_decision.AttemptEnd.MISDIRECTED
            or endpoint.health.is_silent(gw.now_ms())
        )
        _note_failure(gw, endpoint, result.detail, is_gone)
    return result


class _EndpointBrokeError(OSError):
    """The endpoint's connection broke during the exchange."""


async def _exchange(
    gw: context.Gateway,
    job: job_lib.Job,
    choice: placing.Choice,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
    reply: reply_lib.Reply,
) -> AttemptResult:
    data = _format_request(gw, job, choice)
    if len(data) <= http1.INLINE_BODY_BYTES:
        await _send(conn, data)
        return await _receive(gw, job, attempt, conn, reply)
    # A long request is sent while its answer is awaited: an endpoint may
    # answer before it has read everything.
    sent = trio.Event()
    result: AttemptResult | None = None
    error: OSError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_long, conn, data, sent)
        try:
            result = await _receive(gw, job, attempt, conn, reply)
        except OSError as exc:
            # Raised below: a nursery would wrap it into a group.
            error = exc
        nursery.cancel_scope.cancel()
    if not sent.is_set():
        conn.is_clean = False
    if error is not None:
        raise error
    assert result is not None
    return result


async def _send_long(
    conn: client_lib.ClientConnection, data: bytes, sent: trio.Event
) -> None:
    try:
        await conn.send(data)
        sent.set()
    except http1.BrokenConnectionError:
        # The reading side sees the same and says what came.
        conn.is_clean = False


def _format_request(
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
    head = http1.format_request(
        job.req.method,
        job.req.target,
        job.req.get_host().encode('latin-1'),
        headers,
        len(job.req.body),
    )
    return head + job.req.body


async def _receive(
    gw: context.Gateway,
    job: job_lib.Job,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
    reply: reply_lib.Reply,
) -> AttemptResult:
    sent_ms = gw.now_ms()
    head, meta = await _read_head(gw, job, attempt, conn)
    now_ms = gw.now_ms()
    gw.first_answers[job.route.name].observe(now_ms - sent_ms)
    if head.status < _SERVER_ERROR:
        health.record_answer_start(
            attempt.endpoint.health, now_ms, attempt.is_noted
        )
        attempt.is_noted = False
    attempt.limit_ms = response_timeout.EVENT_GAP_TIMEOUT_MS
    if meta.load is not None:
        attempt.endpoint.update_load(meta.load, gw.now_ms())
    conn.keep_alive_ms = meta.keep_alive_ms
    if not head.is_reusable or meta.is_closing:
        conn.is_clean = False
    is_success = 200 <= head.status < 300
    if meta.is_not_run or head.status == _MISDIRECTED:
        await _read_body(conn)
        end = retry_decision.AttemptEnd.REFUSED
        if head.status == _MISDIRECTED:
            end = retry_decision.AttemptEnd.MISDIRECTED
            # Another endpoint has the address, so this one got nothing.
            job.sent -= 1
        return AttemptResult(end, f'refused with {head.status}')
    if is_success and (not meta.is_signed or meta.is_encoded):
        raise _BadAnswerError('an answer without signature, or encoded')
    if is_success and job.route.kind is model.RequestKind.STREAMING:
        return await _pass_stream(gw, job, attempt, conn, reply, head, meta)
    body = await _read_body(conn)
    if not is_success:
        if head.status >= _SERVER_ERROR:
            now_ms = gw.now_ms()
            health.record_failed_request(attempt.endpoint.health, now_ms)
            health.record_failure(attempt.endpoint.health, now_ms, False)
        return AttemptResult(
            retry_decision.AttemptEnd.ERROR_ANSWER,
            f'status {head.status}',
            Answer(head.status, meta, body),
        )
    await reply.send_whole(head.status, [*meta.forwarded, *_sign(meta)], body)
    return AttemptResult(retry_decision.AttemptEnd.DELIVERED)


async def _read_head(
    gw: context.Gateway,
    job: job_lib.Job,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
) -> tuple[client_lib.ResponseHead, model.ResponseMeta]:
    while True:
        head = await _next_event(gw, attempt, conn)
        if not isinstance(head, client_lib.ResponseHead):
            raise _BadAnswerError('a body without a head')
        meta = gw.dialect.decode_response(head.headers)
        if meta.request is None or meta.request == job.meta.id:
            return head, meta
        # A late answer to an earlier request on this connection.
        gw.log.emit_request(
            'foreign-answer', request=job.meta.id, answer_to=meta.request
        )
        while await _next_event(gw, attempt, conn) is not client_lib.END:
            pass


async def _pass_stream(
    gw: context.Gateway,
    job: job_lib.Job,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
    reply: reply_lib.Reply,
    head: client_lib.ResponseHead,
    meta: model.ResponseMeta,
) -> AttemptResult:
    if not reply.is_begun:
        reply.begin(head.status, [*meta.forwarded, *_sign(meta)])
    splitter = job.splitter
    if splitter is not None:
        splitter.drop_incomplete_event()
    while True:
        event = await _next_event(gw, attempt, conn)
        if event is client_lib.END:
            break
        if not isinstance(event, bytes):
            raise _BadAnswerError('a second head within a stream')
        data = [event]
        is_ended = False
        # What has arrived meanwhile goes out in the same write.
        while conn.has_events():
            more = await conn.next_event()
            if more is client_lib.END:
                is_ended = True
                break
            if not isinstance(more, bytes):
                raise _BadAnswerError('a second head within a stream')
            data.append(more)
        chunk = b''.join(data)
        if splitter is not None:
            chunk = splitter.feed(chunk)
        if chunk:
            await reply.send_chunk(chunk)
        if is_ended:
            break
    if splitter is not None and not splitter.is_at_boundary:
        raise _BadAnswerError('a stream that ends within an event')
    await reply.finish()
    return AttemptResult(retry_decision.AttemptEnd.DELIVERED)


def _sign(meta: model.ResponseMeta) -> list[model.RawHeader]:
    return [meta.signature] if meta.signature is not None else []


async def _send(conn: client_lib.ClientConnection, data: bytes) -> None:
    try:
        await conn.send(data)
    except http1.BrokenConnectionError as exc:
        raise _EndpointBrokeError(f'broke while sending: {exc}') from exc


async def _next_event(
    gw: context.Gateway,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
) -> client_lib.Event:
    attempt.is_waiting = True
    try:
        event = await conn.next_event()
    except http1.BrokenConnectionError as exc:
        raise _EndpointBrokeError(f'broke off: {exc}') from exc
    finally:
        attempt.is_waiting = False
    now_ms = gw.now_ms()
    attempt.heard_ms = now_ms
    attempt.endpoint.health.last_received_ms = now_ms
    return event


async def _read_body(conn: client_lib.ClientConnection) -> bytes:
    try:
        return await exchange.read_body(conn)
    except http1.BrokenConnectionError as exc:
        raise _EndpointBrokeError(f'broke off: {exc}') from exc


def _note_failure(
    gw: context.Gateway,
    endpoint: endpoint_table.Endpoint,
    why: str,
    is_fatal: bool,
) -> None:
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


def _can_move(gw: context.Gateway, job: job_lib.Job) -> bool:
    if not job.route.is_idempotent or job.sent >= job.route.max_attempts:
        return False
    if gw.budget.get_tokens(job.service.name) < 1:
        return False
    # More than the endpoint of this attempt has to be there.
    return len(gw.state.table.list_service(job.service.name)) > job.sent


async def watch_attempts(gw: context.Gateway) -> None:
    """End attempts that hear nothing and may go on elsewhere."""
    while True:
        await trio.sleep(WATCH_STEP_MS / types.SECOND_MS)
        now_ms = gw.now_ms()
        for attempt in list(gw.attempts):
            quiet_ms = now_ms - attempt.heard_ms
            is_silent = attempt.endpoint.health.is_silent(now_ms)
            limit_ms = attempt.limit_ms
            if is_silent:
                limit_ms = min(limit_ms, health.SILENCE_MS)
            if not attempt.is_waiting or quiet_ms < limit_ms:
                continue
            if not attempt.is_noted:
                # Told at once, also where the request cannot move.
                attempt.is_noted = True
                health.record_failed_request(attempt.endpoint.health, now_ms)
            if attempt.can_move():
                attempt.conn.abort()
