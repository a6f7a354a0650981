"""Relays one caller request to an endpoint and the response back."""

import contextlib
import math
import traceback

import trio

from foxtailpick.core.dispatch import account_usage
from foxtailpick.core.dispatch import event_stream
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import refusal
from foxtailpick.core.dispatch import request_work
from foxtailpick.core.dispatch import route_table
from foxtailpick.core.dispatch import stopping
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import attempt as attempt_lib
from foxtailpick.gateway import context
from foxtailpick.gateway import execution
from foxtailpick.gateway import http1
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import reply as reply_lib
from foxtailpick.gateway import stream_path

# Interval between checks whether the first configuration has arrived.
CONFIG_CHECK_INTERVAL_MS = 15.0
NO_CONFIG_RETRY_MS = 500.0
# Tracebacks are cut at the front: the last frames locate the error.
MAX_TRACEBACK_CHARS = 3_000
# Short, since another gateway can serve the request immediately.
SHUTDOWN_RETRY_MS = 100.0

_STATUS_BY_CODE = {
    errors.ErrorCode.REQUEST_MALFORMED: 400,
    errors.ErrorCode.ACCOUNT_UNKNOWN: 401,
    errors.ErrorCode.ROUTE_UNKNOWN: 404,
    errors.ErrorCode.CONFIG_UNAVAILABLE: 503,
    errors.ErrorCode.NO_ENDPOINT: 503,
    errors.ErrorCode.OVERLOADED: 503,
    errors.ErrorCode.SHUTTING_DOWN: 503,
    errors.ErrorCode.PROMPT_QUARANTINED: 503,
    errors.ErrorCode.REQUEST_TOO_LARGE: 503,
    errors.ErrorCode.STREAM_UNKNOWN: 503,
    errors.ErrorCode.ENDPOINT_FAILED: 502,
    errors.ErrorCode.OUTCOME_UNKNOWN: 502,
    errors.ErrorCode.DEADLINE_EXCEEDED: 504,
    errors.ErrorCode.INVARIANT_BROKEN: 500,
}


async def handle_request(
    gw: context.Gateway, req: http1.Request, reply: reply_lib.Reply
) -> None:
    """Respond to a request; leave a stream that fails midway unfinished.

    :param gw: the gateway.
    :param req: the request.
    :param reply: writer of the response; not finished if the response had
        to be truncated, so that the server closes the connection.
    """
    job: job_lib.Job | None = None
    outcome = model.Outcome.CALLER_LEFT
    error: errors.FoxtailError | None = None
    try:
        await _wait_for_config(gw, req)
        job = _prepare_job(gw, req)
        deadline = job.deadline_ms / types.SECOND_MS
        with trio.CancelScope(deadline=deadline) as scope:
            gw.request_scopes.add(scope)
            try:
                await stream_path.bind_stream(gw, job)
                outcome = await execution.run_attempts(gw, job, reply)
            finally:
                gw.request_scopes.discard(scope)
        if scope.cancelled_caught:
            if reply.is_finished:
                outcome = model.Outcome.ANSWERED
            elif job.error_response is not None and not reply.is_started:
                outcome = await attempt_lib.deliver_error(
                    job, job.error_response, reply
                )
            else:
                error = _make_timeout_error(gw, job)
    except errors.RequestError as exc:
        error = exc
    except http1.BrokenConnectionError:
        outcome = model.Outcome.CALLER_LEFT
    except Exception as exc:
        error = _make_internal_error(gw, job, exc)
    finally:
        # Runs also if the caller disconnected and the task is cancelled.
        if error is None:
            _log_end(gw, req, job, reply, outcome, None)
    if error is not None:
        outcome = await _send_error(gw, job, reply, error)
        _log_end(gw, req, job, reply, outcome, error)


async def _wait_for_config(gw: context.Gateway, req: http1.Request) -> None:
    """Wait for the first configuration if it is expected to arrive soon."""
    if gw.state.cfg is not None:
        return
    left_ms = None
    with contextlib.suppress(ValueError):
        # Malformed headers are reported once there is a configuration.
        left_ms = gw.dialect.decode_request(req.headers).deadline_ms
    began_ms = gw.now_ms()
    until_ms = began_ms + refusal.compute_config_wait_ms(
        began_ms - gw.started_ms, left_ms
    )
    while gw.state.cfg is None and gw.now_ms() < until_ms:
        await trio.sleep(CONFIG_CHECK_INTERVAL_MS / types.SECOND_MS)
    gw.log.emit_request(
        'config-awaited',
        is_loaded=gw.state.cfg is not None,
        ms_waited=round(gw.now_ms() - began_ms, 1),
        ms_since_start=round(gw.now_ms() - gw.started_ms),
    )


def _prepare_job(gw: context.Gateway, req: http1.Request) -> job_lib.Job:
    cfg = gw.state.cfg
    if cfg is None:
        raise errors.RequestError(
            errors.ErrorCode.CONFIG_UNAVAILABLE,
            'expected a loaded configuration, got none yet; retry later',
            retry_after_ms=NO_CONFIG_RETRY_MS * gw.rng.uniform(0.6, 1.4),
        )
    try:
        meta = gw.dialect.decode_request(req.headers)
        host, target = req.get_host(), req.target.decode('ascii')
    except ValueError as exc:
        raise errors.RequestError(
            errors.ErrorCode.REQUEST_MALFORMED,
            f'expected well-formed headers, got {exc}; correct the request',
        ) from exc
    route = gw.state.routes.find(host, target)
    if route is None or not route.targets:
        raise errors.RequestError(
            errors.ErrorCode.ROUTE_UNKNOWN,
            f'expected a configured route, got {host}{target}; correct the '
            f'host or path',
        )
    account = route_table.find_account(cfg, route, meta.key)
    _check_shutdown_deadline(gw, route, meta)
    name = route_table.choose_service(route, gw.rng)
    service = cfg.services.get(name) or model.Service(name, 0, 0.0, 0.0)
    gw.budget.deposit(name)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    left_ms = route.timeout_ms
    if meta.deadline_ms is not None and math.isfinite(meta.deadline_ms):
        left_ms = min(left_ms, meta.deadline_ms)
    is_resumable = (
        route.kind is model.RequestKind.STREAMING and route.is_resumable
    )
    splitter = None
    if is_resumable:
        splitter = event_stream.EventSplitter(meta.last_event_id)
    share_ratio = 0.0
    if account is not None:
        share_ratio = _record_usage(gw, name, account, meta)
    return job_lib.Job(
        req=req,
        meta=meta,
        route=route,
        account=account,
        service=service,
        priority=priority,
        deadline_ms=req.received_ms + left_ms,
        splitter=splitter,
        prefix=placing.find_affinity_part(meta.parts),
        work=request_work.estimate_work(
            meta.prompt_tokens, meta.output_tokens
        ),
        share_ratio=share_ratio,
    )


def _record_usage(
    gw: context.Gateway,
    service: types.ServiceId,
    account: model.Account,
    meta: model.RequestMeta,
) -> float:
    usage = gw.account_usage.setdefault(service, account_usage.AccountUsage())
    cost = account_usage.estimate_cost(meta.prompt_tokens, meta.output_tokens)
    account_usage.record_request(usage, account.name, cost, gw.now_ms())
    return account_usage.compute_share_ratio(usage, account.name)


def _check_shutdown_deadline(
    gw: context.Gateway, route: model.Route, meta: model.RequestMeta
) -> None:
    if not gw.is_stopping:
        return
    left_ms = gw.shutdown_complete_ms - gw.now_ms()
    need_ms = stopping.estimate_duration_ms(
        route,
        meta.output_tokens,
        gw.stream_timing,
        gw.now_ms() - gw.shutdown_started_ms,
        meta.deadline_ms,
    )
    if need_ms > left_ms:
        raise errors.RequestError(
            errors.ErrorCode.SHUTTING_DOWN,
            f'expected {need_ms:.0f} ms before shutdown, got '
            f'{left_ms:.0f} ms; retry at another gateway',
            retry_after_ms=SHUTDOWN_RETRY_MS * gw.rng.uniform(0.5, 1.5),
        )


def _make_timeout_error(
    gw: context.Gateway, job: job_lib.Job
) -> errors.RequestError:
    has_run = 'may have run'
    if job.verdict is verdict_lib.Verdict.NOT_RUN:
        has_run = 'was not run'
    if gw.is_ending:
        return errors.RequestError(
            errors.ErrorCode.SHUTTING_DOWN,
            f'expected a response before the end of this process, got none; '
            f'the request {has_run}',
            job.verdict,
            SHUTDOWN_RETRY_MS * gw.rng.uniform(0.5, 1.5),
        )
    return errors.RequestError(
        errors.ErrorCode.DEADLINE_EXCEEDED,
        f'expected a response before the deadline of the route or caller, '
        f'got none; the request {has_run}',
        job.verdict,
    )


def _make_internal_error(
    gw: context.Gateway, job: job_lib.Job | None, exc: Exception
) -> errors.RequestError:
    gw.metrics.count('defects')
    trace = ''.join(traceback.format_exception(exc))
    gw.log.emit(
        'defect',
        request=job.meta.id if job else None,
        error=trace[-MAX_TRACEBACK_CHARS:],
    )
    return errors.RequestError(
        errors.ErrorCode.INVARIANT_BROKEN,
        f'expected no internal error, got {exc!r}; report it with the log',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )


async def _send_error(
    gw: context.Gateway,
    job: job_lib.Job | None,
    reply: reply_lib.Reply,
    exc: errors.RequestError,
) -> model.Outcome:
    if reply.is_started:
        # The status line is already sent. The server closes the connection
        # without the last chunk, so the response is seen to be truncated.
        return model.Outcome.BROKEN_OFF
    status = _STATUS_BY_CODE[exc.code]
    may_have_run = exc.verdict is not verdict_lib.Verdict.NOT_RUN
    if status == 503 and may_have_run:
        status = 502
    headers, body = reply_lib.format_error(
        exc.code.value, exc.message, exc.retry_after_ms
    )
    try:
        await reply.send_response(status, headers, body)
    except http1.BrokenConnectionError:
        return model.Outcome.CALLER_LEFT
    if status == 504:
        return model.Outcome.TIMED_OUT
    if status == 502:
        return model.Outcome.OUTCOME_UNKNOWN
    return model.Outcome.REFUSED


def _log_end(
    gw: context.Gateway,
    req: http1.Request,
    job: job_lib.Job | None,
    reply: reply_lib.Reply,
    outcome: model.Outcome,
    exc: errors.FoxtailError | None,
) -> None:
    took_ms = gw.now_ms() - req.received_ms
    gw.metrics.count(f'requests_{outcome.value.replace("-", "_")}')
    gw.metrics.record_ms('request', took_ms)
    gw.log.emit_request(
        'ended',
        request=job.meta.id if job else None,
        route=job.route.name if job else None,
        outcome=outcome.value,
        status=reply.status,
        ms_first=_compute_first_ms(job),
        ms_taken=round(took_ms, 1),
        sent=job.counted_attempts if job else 0,
        framing=job.framing.value if job and job.framing else None,
        within_event=job.is_within_event if job else False,
        read_whole=job.is_answer_read if job else False,
        ms_stopping=_compute_stopping_ms(gw),
        code=exc.code.value if exc else None,
        why=exc.message if exc else None,
    )


def _compute_stopping_ms(gw: context.Gateway) -> float | None:
    if not gw.is_stopping:
        return None
    return round(gw.now_ms() - gw.shutdown_started_ms, 1)


def _compute_first_ms(job: job_lib.Job | None) -> float | None:
    if job is None or job.answered_ms is None:
        return None
    return round(job.answered_ms - job.req.received_ms, 1)
