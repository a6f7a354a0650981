"""Executes a request: chooses endpoints, retries and hedges its attempts."""

import typing

import trio

from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import hedging
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import refusal
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import admission
from foxtailpick.gateway import attempt as attempt_lib
from foxtailpick.gateway import attempt_group
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import memory_room
from foxtailpick.gateway import quarantine
from foxtailpick.gateway import reply as reply_lib
from foxtailpick.gateway import rollout_path
from foxtailpick.gateway import stream_path

# Interval between attempts to choose an endpoint while none is available.
PLACEMENT_RETRY_INTERVAL_MS = 15.0
# Prompt parts named in a log line, besides the request's own last one.
MAX_LOGGED_PARTS = 8

_NOT_REACHED = (
    retry_decision.AttemptEnd.UNREACHABLE,
    retry_decision.AttemptEnd.MISDIRECTED,
)


async def run_attempts(
    gw: context.Gateway, job: job_lib.Job, reply: reply_lib.Reply
) -> model.Outcome:
    """Send a request to endpoints until one answers, and relay the answer.

    :param gw: the gateway.
    :param job: the request.
    :param reply: writer of the response to the caller.
    :raises errors.RequestError: if no endpoint answers.
    :raises http1.BrokenConnectionError: if the caller disconnected.
    """
    memory_room.check_request(gw, job)
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
    tokens = hedging.compute_min_tokens(runner.is_silent, gw.budget.burst)
    decision = hedging.decide_hedge(
        job.route,
        job.counted_attempts,
        group.is_each_silent,
        gw.budget.get_tokens(job.service.name) >= tokens,
        quarantine.may_crash(gw, job),
    )
    choice = None
    if decision is hedging.HedgeDecision.ALLOWED:
        found = _choose_endpoint(gw, job, True).found
        if (
            isinstance(found, placing.Choice)
            and found.reason is not placing.Reason.LAST_RESORT
            and (runner.is_silent or found.endpoint.has_free_slot)
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
            late=runner.is_late,
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


def _choose_endpoint(
    gw: context.Gateway, job: job_lib.Job, is_repeat: bool
) -> _Placement:
    now_ms = gw.now_ms()
    table = gw.state.table
    service = job.service.name
    endpoints = _select_endpoints(
        gw, job, table.list_service(service), is_repeat
    ) or _select_endpoints(
        gw, job, table.list_last_resort(service, now_ms), is_repeat
    )
    roomy, full = memory_room.split_by_room(gw, job, endpoints)
    if _has_untried(job, full) and not _has_untried(job, roomy):
        return _Placement(placing.Obstacle.NO_MEMORY, endpoints)
    query = placing.Query(
        service=job.service,
        prefix=job.prefix,
        tried=frozenset(job.tried),
        routers=gw.state.router_count,
        now_ms=now_ms,
        service_mean_load=table.compute_mean_load(service),
        # Prompts may be fetched from endpoints without room, too.
        leaving=[
            *rollout_path.list_usable(
                gw, service, table.list_leaving(service, now_ms)
            ),
            *full,
        ],
        rate_per_s=gw.get_placement_rate(service).compute_per_s(now_ms),
        mean_run_ms=gw.get_queue(service).mean_run_ms,
    )
    found = placing.choose_within_limits(roomy, query, gw.rng)
    return _Placement(found, endpoints)


def _select_endpoints(
    gw: context.Gateway,
    job: job_lib.Job,
    listed: list[endpoint_table.Endpoint],
    is_repeat: bool,
) -> list[endpoint_table.Endpoint]:
    fitting = stream_path.list_fitting(gw, job, listed)
    return rollout_path.select_endpoints(gw, job, fitting, is_repeat)


async def _wait_for_endpoint(
    gw: context.Gateway, job: job_lib.Job
) -> placing.Choice:
    is_placed = False
    try:
        choice = await _poll_for_endpoint(gw, job)
        is_placed = True
        return choice
    finally:
        memory_room.end_wait(gw, job, is_placed)


async def _poll_for_endpoint(
    gw: context.Gateway, job: job_lib.Job
) -> placing.Choice:
    began_ms = gw.now_ms()
    is_repeat = False
    while True:
        found, endpoints = _choose_endpoint(gw, job, is_repeat)
        is_repeat = True
        now_ms = gw.now_ms()
        if isinstance(found, placing.Choice):
            _log_placement(gw, job, found, now_ms)
            return found
        expected_ms = 0.0
        if found is placing.Obstacle.ALL_RESTING:
            expected_ms = placing.compute_rest_ms(endpoints, job.tried, now_ms)
        longest_ms = refusal.compute_max_wait_ms(
            found, job.route.target_ms, expected_ms
        )
        if found is placing.Obstacle.NO_MEMORY:
            longest_ms = now_ms - began_ms + memory_room.begin_wait(gw, job)
        if now_ms - began_ms >= longest_ms:
            if found is placing.Obstacle.ALL_LIMITED:
                expected_ms = _schedule_return(gw, job, endpoints, now_ms)
            raise admission.make_unavailable_error(
                gw, job, found, len(endpoints), expected_ms
            )
        await trio.sleep(PLACEMENT_RETRY_INTERVAL_MS / types.SECOND_MS)


def _schedule_return(
    gw: context.Gateway,
    job: job_lib.Job,
    endpoints: list[endpoint_table.Endpoint],
    now_ms: float,
) -> float:
    """Return when a request above the limits of its service may be served."""
    gw.metrics.count('requests_above_limits')
    rate_per_s = placing.compute_limited_rate_per_s(
        endpoints, gw.state.router_count, now_ms
    )
    schedule = gw.return_schedules.setdefault(
        job.service.name, refusal.ReturnSchedule()
    )
    return refusal.schedule_return(
        schedule, rate_per_s, job.deadline_ms - now_ms, now_ms
    )


def _has_untried_endpoint(gw: context.Gateway, job: job_lib.Job) -> bool:
    service = job.service.name
    listed = gw.state.table.list_service(service)
    usable = rollout_path.list_usable(gw, service, listed)
    return _has_untried(job, stream_path.list_fitting(gw, job, usable))


def _has_untried(
    job: job_lib.Job, endpoints: typing.Iterable[endpoint_table.Endpoint]
) -> bool:
    return any(item.id not in job.tried for item in endpoints)


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
        pace=_get_pace(endpoint, now_ms),
        pace_age_ms=endpoint.pace.compute_age_ms(now_ms),
        cold_ms=max(0, round(endpoint.warm_at_ms - now_ms)),
        limit_per_s=endpoint.announced.rate_limit.per_s,
        routers=gw.state.router_count,
        config=gw.state.cfg.number if gw.state.cfg else None,
    )


def _get_pace(
    endpoint: endpoint_table.Endpoint, now_ms: float
) -> float | None:
    if endpoint.pace.heard_ms is None:
        return None
    return round(endpoint.pace.compute_lasting(now_ms), 2)


def _compute_answering_ms(
    gw: context.Gateway, result: attempt_lib.AttemptResult
) -> float | None:
    if result.answered_ms is None:
        return None
    return round(gw.now_ms() - result.answered_ms, 1)


def _round_ms(took_ms: float | None) -> float | None:
    return None if took_ms is None else round(took_ms, 1)
