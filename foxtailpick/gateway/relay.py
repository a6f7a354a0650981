"""Relays one caller request to an endpoint and the response back."""

import contextlib
import math
import traceback
import typing

import trio

from foxtailpick.core.dispatch import account_usage
from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import event_stream
from foxtailpick.core.dispatch import hedging
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import refusal
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.core.dispatch import route_table
from foxtailpick.core.dispatch import stopping
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import admission
from foxtailpick.gateway import attempt as attempt_lib
from foxtailpick.gateway import attempt_group
from foxtailpick.gateway import context
from foxtailpick.gateway import http1
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import quarantine
from foxtailpick.gateway import reply as reply_lib

# Interval between attempts to choose an endpoint while none is available.
PLACEMENT_RETRY_INTERVAL_MS = 15.0
NO_CONFIG_RETRY_MS = 500.0
# Tracebacks are cut at the front: the last frames locate the error.
MAX_TRACEBACK_CHARS = 3_000
# Prompt parts named in a log line, besides the request's own last one.
MAX_LOGGED_PARTS = 8
# Short, since another gateway can serve the request immediately.
SHUTDOWN_RETRY_MS = 100.0

_NOT_REACHED = (
    retry_decision.AttemptEnd.UNREACHABLE,
    retry_decision.AttemptEnd.MISDIRECTED,
)
_STATUS_BY_CODE = {
    errors.ErrorCode.REQUEST_MALFORMED: 400,
    errors.ErrorCode.ACCOUNT_UNKNOWN: 401,
    errors.ErrorCode.ROUTE_UNKNOWN: 404,
    errors.ErrorCode.CONFIG_UNAVAILABLE: 503,
    errors.ErrorCode.NO_ENDPOINT: 503,
    errors.ErrorCode.OVERLOADED: 503,
    errors.ErrorCode.SHUTTING_DOWN: 503,
    errors.ErrorCode.PROMPT_QUARANTINED: 503,
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
                outcome = await _run_attempts(gw, job, reply)
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
        await trio.sleep(PLACEMENT_RETRY_INTERVAL_MS / types.SECOND_MS)
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
    if gw.shutdown_deadline_ms is None:
        return
    left_ms = gw.shutdown_deadline_ms - gw.now_ms()
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


async def _run_attempts(
    gw: context.Gateway, job: job_lib.Job, reply: reply_lib.Reply
) -> model.Outcome:
    quarantine.check_request(gw, job)
    await admission.wait_for_slot(gw, job)
    outcome = model.Outcome.CALLER_LEFT
    error: Exception | None = None
    async with trio.open_nursery() as nursery:
        group = attempt_group.AttemptGroup(gw, job, reply, nursery)
        try:
            outcome = await _relay_attempts(gw, job, reply, group)
        except Exception as exc:
            # Raised below: the nursery would wrap it in an exception group.
            error = exc
        nursery.cancel_scope.cancel()
    if error is not None:
        raise error
    return outcome


async def _relay_attempts(
    gw: context.Gateway,
    job: job_lib.Job,
    reply: reply_lib.Reply,
    group: attempt_group.AttemptGroup,
) -> model.Outcome:
    while True:
        choice = await _wait_for_endpoint(gw, job)
        job.error_response = None
        group.start(choice)
        runner, result, end = await _wait_for_result(gw, job, reply, group)
        if result.end is retry_decision.AttemptEnd.DELIVERED:
            admission_queue.record_run(
                gw.get_queue(job.service.name),
                gw.now_ms() - runner.started_ms,
            )
            if job.route.kind is model.RequestKind.STREAMING:
                gw.stream_timing.observe(
                    gw.now_ms() - job.req.received_ms,
                    job.meta.output_tokens,
                )
            return model.Outcome.ANSWERED
        plan = retry_decision.decide_retry(
            end,
            job.route,
            job.counted_attempts,
            job.unreached,
            gw.budget.get_tokens(job.service.name) >= 1,
            quarantine.may_crash(gw, job),
        )
        if (
            plan is retry_decision.RetryDecision.ALLOWED
            and not _has_untried_endpoint(gw, job)
        ):
            plan = retry_decision.RetryDecision.NO_ATTEMPT_LEFT
        _log_failed_attempt(gw, job, reply, runner, result, plan)
        if plan is retry_decision.RetryDecision.ALLOWED:
            if job.sends:
                gw.budget.withdraw(job.service.name)
                gw.metrics.count('repeats')
            continue
        if job.error_response is not None and not reply.is_started:
            return await attempt_lib.deliver_error(
                job, job.error_response, reply
            )
        raise _make_attempt_error(gw, job, result)


class _Result(typing.NamedTuple):
    """Outcome of the attempts that were in flight together.

    :param runner: the attempt with the result.
    :param result: the delivered response or, if there is none, the last
        error response or failure.
    :param end: the end that decides on a retry.
    """

    runner: attempt_group.Runner
    result: attempt_lib.AttemptResult
    end: retry_decision.AttemptEnd


async def _wait_for_result(
    gw: context.Gateway,
    job: job_lib.Job,
    reply: reply_lib.Reply,
    group: attempt_group.AttemptGroup,
) -> _Result:
    """Wait until a response was delivered or no attempt is in flight."""
    ended: list[attempt_group.Ended] = []
    while True:
        event = await group.next_event()
        if isinstance(event, attempt_group.Runner):
            _hedge(gw, job, group, event)
            continue
        result = event.result
        if isinstance(result, errors.RequestError) and group.runners:
            gw.log.emit_request(
                'attempt-refused', request=job.meta.id, why=result.message
            )
            continue
        if isinstance(result, Exception):
            raise result
        if result.end in _NOT_REACHED:
            job.unreached += 1
        if result.end is retry_decision.AttemptEnd.DELIVERED:
            return _Result(event.runner, result, result.end)
        if result.response is not None:
            job.error_response = result.response
        ended.append(event)
        if not group.runners:
            break
        _log_failed_attempt(
            gw,
            job,
            reply,
            event.runner,
            result,
            retry_decision.RetryDecision.ATTEMPT_PENDING,
        )
    ends = [item.result.end for item in ended]
    return _Result(
        event.runner, result, retry_decision.choose_decisive_end(ends)
    )


def _hedge(
    gw: context.Gateway,
    job: job_lib.Job,
    group: attempt_group.AttemptGroup,
    runner: attempt_group.Runner,
) -> None:
    """Send a silent request to another endpoint as well, if possible."""
    if runner not in group.runners:
        # It has ended since; its end is the next event.
        return
    decision = hedging.decide_hedge(
        job.route,
        job.counted_attempts,
        group.is_each_silent,
        gw.budget.get_tokens(job.service.name) >= 1,
        quarantine.may_crash(gw, job),
    )
    choice = None
    if decision is hedging.HedgeDecision.ALLOWED:
        found = _choose_endpoint(gw, job).found
        if (
            isinstance(found, placing.Choice)
            and found.reason is not placing.Reason.LAST_RESORT
        ):
            choice = found
        else:
            decision = hedging.HedgeDecision.NO_ENDPOINT
    if decision is not runner.decision:
        runner.decision = decision
        gw.log.emit_request(
            'silent',
            request=job.meta.id,
            endpoint=runner.choice.endpoint.id,
            ms_taken=round(gw.now_ms() - runner.started_ms, 1),
            hedge=decision.value,
            sent=job.counted_attempts,
        )
    if choice is None:
        return
    gw.budget.withdraw(job.service.name)
    gw.metrics.count('repeats')
    gw.metrics.count('hedges')
    _log_placement(gw, job, choice, gw.now_ms())
    group.start(choice)


class _Placement(typing.NamedTuple):
    """Outcome of one try to choose an endpoint.

    :param found: the choice, or the reason why there is none.
    :param endpoints: the endpoints to choose from.
    """

    found: placing.Choice | placing.Obstacle
    endpoints: list[endpoint_table.Endpoint]


def _choose_endpoint(gw: context.Gateway, job: job_lib.Job) -> _Placement:
    now_ms = gw.now_ms()
    table = gw.state.table
    service = job.service.name
    query = placing.Query(
        service=job.service,
        prefix=job.prefix,
        tried=frozenset(job.tried),
        routers=gw.state.router_count,
        now_ms=now_ms,
        service_mean_load=table.compute_mean_load(service),
        leaving=table.list_leaving(service, now_ms),
    )
    endpoints = table.list_service(service) or table.list_last_resort(
        service, now_ms
    )
    found = placing.choose_endpoint(endpoints, query, gw.rng)
    return _Placement(found, endpoints)


async def _wait_for_endpoint(
    gw: context.Gateway, job: job_lib.Job
) -> placing.Choice:
    began_ms = gw.now_ms()
    while True:
        found, endpoints = _choose_endpoint(gw, job)
        now_ms = gw.now_ms()
        if isinstance(found, placing.Choice):
            _log_placement(gw, job, found, now_ms)
            return found
        rest_ms = 0.0
        if found is placing.Obstacle.ALL_RESTING:
            rest_ms = placing.compute_rest_ms(endpoints, job.tried, now_ms)
        longest_ms = refusal.compute_max_wait_ms(
            found, job.route.target_ms, rest_ms
        )
        if now_ms - began_ms >= longest_ms:
            raise admission.make_unavailable_error(
                gw, job, found, len(endpoints), rest_ms
            )
        await trio.sleep(PLACEMENT_RETRY_INTERVAL_MS / types.SECOND_MS)


def _has_untried_endpoint(gw: context.Gateway, job: job_lib.Job) -> bool:
    return any(
        item.id not in job.tried
        for item in gw.state.table.list_service(job.service.name)
    )


def _make_attempt_error(
    gw: context.Gateway, job: job_lib.Job, result: attempt_lib.AttemptResult
) -> errors.RequestError:
    if job.verdict is verdict_lib.Verdict.NOT_RUN:
        return admission.make_unavailable_error(
            gw, job, placing.Obstacle.ALL_TRIED, len(job.tried)
        )
    return errors.RequestError(
        errors.ErrorCode.ENDPOINT_FAILED,
        f'expected an answer of an endpoint, got {result.detail}; the '
        f'request may have run',
        job.verdict,
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


def _log_failed_attempt(
    gw: context.Gateway,
    job: job_lib.Job,
    reply: reply_lib.Reply,
    runner: attempt_group.Runner,
    result: attempt_lib.AttemptResult,
    plan: retry_decision.RetryDecision,
) -> None:
    gw.log.emit_request(
        'attempt-failed',
        request=job.meta.id,
        endpoint=runner.choice.endpoint.id,
        end=result.end.value,
        why=result.detail,
        ms_answering=_compute_answering_ms(gw, result),
        ms_silent=_round_ms(result.silent_ms),
        relayed=reply.is_started,
        repeat=plan.value,
        sent=job.counted_attempts,
    )
    gw.metrics.count('attempts_failed')


def _log_placement(
    gw: context.Gateway,
    job: job_lib.Job,
    choice: placing.Choice,
    now_ms: float,
) -> None:
    endpoint = choice.endpoint
    gw.log.emit_request(
        'placed',
        request=job.meta.id,
        route=job.route.name,
        endpoint=endpoint.id,
        why=choice.reason.value,
        prompt=job.prefix,
        parts=[part.id for part in job.meta.parts[:-1][:MAX_LOGGED_PARTS]],
        load=round(endpoint.load, 1),
        mean=round(choice.mean_load, 1),
        of=choice.candidates,
        service_mean=round(choice.service_mean_load, 1),
        fetch=choice.holder.id if choice.holder else None,
        load_age_ms=endpoint.compute_load_age_ms(now_ms),
        config=gw.state.cfg.number if gw.state.cfg else None,
    )


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
        code=exc.code.value if exc else None,
        why=exc.message if exc else None,
    )


def _compute_answering_ms(
    gw: context.Gateway, result: attempt_lib.AttemptResult
) -> float | None:
    if result.answered_ms is None:
        return None
    return round(gw.now_ms() - result.answered_ms, 1)


def _round_ms(took_ms: float | None) -> float | None:
    return None if took_ms is None else round(took_ms, 1)


def _compute_first_ms(job: job_lib.Job | None) -> float | None:
    if job is None or job.answered_ms is None:
        return None
    return round(job.answered_ms - job.req.received_ms, 1)
