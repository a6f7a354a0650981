"""Lets requests to an overloaded service wait in order, or refuses them."""

import dataclasses

import trio

from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import overload
from foxtailpick.core.dispatch import overload_order
from foxtailpick.core.dispatch import overload_rank
from foxtailpick.core.dispatch import overload_usage
from foxtailpick.core.dispatch import prompt_backlog
from foxtailpick.core.dispatch import returning
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    """What a ticket stands for.

    :param is_admitted: whether the request may be sent.
    :param decided: set once it may, or is refused.
    """

    is_admitted: bool = False
    decided: trio.Event = dataclasses.field(default_factory=trio.Event)


def is_ordered(gw: context.Gateway, service: types.ServiceId) -> bool:
    """Tell whether requests to a service are ordered under overload.

    :param gw: the gateway.
    :param service: the service.
    """
    return service in _list_ordered(gw)


async def wait_for_room(gw: context.Gateway, job: job_lib.Job) -> None:
    """Wait until a request may be sent; at once unless there is overload.

    :param gw: the gateway.
    :param job: the request, not yet sent to any endpoint.
    :raises errors.RequestError: if the request will not be sent while it is
        of use to its caller.
    """
    order = gw.get_order(job.service.name)
    if not order.detector.is_overloaded:
        return
    now_ms = gw.now_ms()
    ticket = _make_ticket(gw, order, job, now_ms)
    if overload_order.arrive(order, ticket, now_ms):
        _forget(order, job)
        _record(gw, order, job, ticket, 'admitted', 0.0)
        return
    expected_ms = overload_order.estimate_wait_ms(order, ticket, now_ms)
    longest_ms = ticket.until_ms - now_ms
    if expected_ms > longest_ms:
        _refuse(gw, order, job, ticket, 'refused-at-once', expected_ms)
    _record(gw, order, job, ticket, 'waits', expected_ms)
    waiter = _Waiter()
    ticket.item = waiter
    overload_order.add(order, ticket)
    with trio.move_on_after(longest_ms / types.SECOND_MS):
        try:
            await waiter.decided.wait()
        finally:
            # A caller that left frees its place, also if it is cancelled.
            overload_order.remove(order, ticket)
    if not waiter.is_admitted:
        _refuse(gw, order, job, ticket, 'refused', expected_ms)
    if ticket.sent_level is not None:
        job.priority = ticket.sent_level
    _forget(order, job)
    _record(gw, order, job, ticket, 'admitted', expected_ms)


def record_first_event(
    gw: context.Gateway, job: job_lib.Job, now_ms: float
) -> None:
    """Record that an endpoint has begun to answer a request.

    :param gw: the gateway.
    :param job: the request.
    :param now_ms: current time.
    """
    gw.get_order(job.service.name).backlog.record_first_event(
        job.meta.prompt_tokens, job.route.target_ms, now_ms
    )


def check_services(gw: context.Gateway, now_ms: float) -> None:
    """Admit or refuse what waits; called every `CHECK_INTERVAL_MS`.

    :param gw: the gateway.
    :param now_ms: current time.
    """
    for service, order in gw.orders.items():
        target_ms = _list_ordered(gw).get(service)
        if target_ms is None:
            _release(overload_order.pop_all(order, now_ms))
            order.detector.is_overloaded = False
            continue
        try:
            _check_service(gw, service, order, target_ms, now_ms)
        except Exception as exc:
            # A defect here must not end the process with all its requests.
            gw.metrics.count('defects')
            gw.log.emit('defect', service=service, error=repr(exc))
            _release(overload_order.pop_all(order, now_ms))


def _check_service(
    gw: context.Gateway,
    service: types.ServiceId,
    order: overload_order.Order,
    target_ms: float,
    now_ms: float,
) -> None:
    routers = gw.state.router_count
    mean_run_ms = gw.get_queue(service).mean_run_ms
    usable = overload.list_usable(gw.state.table.list_service(service), now_ms)
    unread = _update_backlog(gw, order, usable)
    load = overload_usage.add_backlog(
        overload.measure(usable),
        order.backlog,
        order.usage,
        routers,
        order.detector.is_overloaded,
        now_ms,
    )
    if overload.update(
        order.detector, load, mean_run_ms, order.is_short, now_ms
    ):
        _log_change(gw, service, order, load, mean_run_ms)
        if not order.detector.is_overloaded:
            _release(overload_order.pop_all(order, now_ms))
    if not order.detector.is_overloaded:
        return
    overload_order.update_room(
        order, load, mean_run_ms, target_ms, unread, routers, now_ms
    )
    _release(overload_order.pop_admitted(order, now_ms))
    for ticket in overload_order.pop_hopeless(order, now_ms):
        ticket.item.decided.set()


def _release(tickets: list[overload_rank.Ticket]) -> None:
    for ticket in tickets:
        ticket.item.is_admitted = True
        ticket.item.decided.set()


def _list_ordered(gw: context.Gateway) -> dict[types.ServiceId, float]:
    """Return the shortest target of each service whose requests are ordered.

    Computed once per configuration, which may have thousands of routes.
    """
    cfg = gw.state.cfg
    if gw.ordered_services is None or gw.ordered_services[0] is not cfg:
        gw.ordered_services = (cfg, overload.list_ordered(cfg))
    return gw.ordered_services[1]


def _update_backlog(
    gw: context.Gateway,
    order: overload_order.Order,
    usable: list[endpoint_table.Endpoint],
) -> float:
    waiting: dict[types.EndpointId, list[int]] = {
        item.id: [] for item in usable
    }
    for attempt in gw.attempts:
        prompts = waiting.get(attempt.endpoint.id)
        if attempt.answered_ms is None and prompts is not None:
            prompts.append(attempt.job.meta.prompt_tokens)
    return prompt_backlog.update(
        order.backlog, waiting.values(), admission_queue.CHECK_INTERVAL_MS
    )


def _make_ticket(
    gw: context.Gateway,
    order: overload_order.Order,
    job: job_lib.Job,
    now_ms: float,
) -> overload_rank.Ticket:
    arrival = returning.Arrival(now_ms, now_ms)
    if len(order.refused) and _is_recognizable(job):
        arrival = order.refused.recognize(_compute_key(job), now_ms)
    estimate = gw.first_byte_estimates.get(job.route.name)
    begin_ms = (estimate.mean_ms or 0.0) if estimate else 0.0
    # A plain response begins when the request has run.
    run_ms = begin_ms
    if job.route.kind is model.RequestKind.STREAMING:
        run_ms = job.meta.output_tokens * gw.stream_timing.ms_per_token
    longest_ms = overload_order.compute_longest_wait_ms(
        job.route.abandon_after_ms, job.deadline_ms - now_ms, run_ms
    )
    account = types.AccountId('')
    if job.account is not None:
        account = job.account.name
    return overload_rank.make_ticket(
        job.route.name,
        account,
        job.priority,
        job.work,
        job.meta.prompt_tokens,
        arrival,
        job.route.target_ms,
        begin_ms,
        longest_ms,
        now_ms,
    )


def _is_recognizable(job: job_lib.Job) -> bool:
    """Tell whether a request is likely to differ from all other callers'.

    Many callers of an account may look up the same item.
    """
    return bool(job.req.body)


def _compute_key(job: job_lib.Job) -> returning.Key:
    return returning.compute_key(job.signature, job.meta)


def _forget(order: overload_order.Order, job: job_lib.Job) -> None:
    """Forget earlier refusals of a request that is admitted."""
    if len(order.refused) and _is_recognizable(job):
        order.refused.forget(_compute_key(job))


def _refuse(
    gw: context.Gateway,
    order: overload_order.Order,
    job: job_lib.Job,
    ticket: overload_rank.Ticket,
    cause: str,
    expected_ms: float,
) -> None:
    """Raise the error for a request that is refused.

    :raises errors.RequestError: always.
    """
    now_ms = gw.now_ms()
    retry_ms = overload_order.refuse(
        order, ticket, job.deadline_ms - now_ms, now_ms, gw.rng
    )
    if _is_recognizable(job):
        order.refused.record(
            _compute_key(job), ticket.arrival, now_ms + retry_ms, now_ms
        )
    _record(gw, order, job, ticket, cause, expected_ms, retry_ms)
    raise errors.RequestError(
        errors.ErrorCode.OVERLOADED,
        f'expected room at {job.service.name} within '
        f'{max(0.0, ticket.until_ms - now_ms):.0f} ms, got '
        f'{len(order.tickets)} waiting requests; come back later',
        job.verdict,
        retry_ms,
    )


def _record(
    gw: context.Gateway,
    order: overload_order.Order,
    job: job_lib.Job,
    ticket: overload_rank.Ticket,
    cause: str,
    expected_ms: float,
    retry_ms: float | None = None,
) -> None:
    name = cause.replace('-', '_')
    gw.metrics.count(f'overload_{name}_{job.route.kind.value}')
    if ticket.is_lifted:
        gw.metrics.count(f'overload_lifted_{job.route.kind.value}')
    now_ms = gw.now_ms()
    gw.log.emit_request(
        f'overload-{cause}',
        request=job.meta.id,
        route=ticket.kind,
        account=ticket.account or None,
        priority=ticket.level,
        sent_priority=ticket.sent_level,
        is_lifted=ticket.is_lifted,
        rank=order.make_ranking(now_ms)(ticket)._asdict(),
        work=round(ticket.work.cost),
        waiting=len(order.tickets),
        expected_ms=round(min(expected_ms, job.route.timeout_ms)),
        in_time_ms=round(ticket.in_time_until_ms - now_ms),
        left_ms=round(ticket.until_ms - now_ms),
        since_first_ms=round(now_ms - ticket.arrival.first_ms),
        is_early=ticket.arrival.is_early,
        part=round(order.part or 0.0, 3),
        sums_age_ms=order.usage.compute_age_ms(now_ms),
        retry_ms=None if retry_ms is None else round(retry_ms),
    )


def _log_change(
    gw: context.Gateway,
    service: types.ServiceId,
    order: overload_order.Order,
    load: overload.Load,
    mean_run_ms: float,
) -> None:
    gw.metrics.count('overload_changes')
    gw.log.emit(
        'overloaded' if order.detector.is_overloaded else 'overload-over',
        service=service,
        utilization=round(order.detector.utilization, 2),
        slots=load.slots,
        requests=round(load.requests, 1),
        unread_tokens=round(load.unread),
        first_event_ms=round(load.delay_ms),
        target_ms=round(load.target_ms),
        run_ms=round(mean_run_ms),
        waiting=len(order.tickets),
        routers=gw.state.router_count,
    )
