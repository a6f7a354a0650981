"""Queues requests to a full service.

Where requests are ordered under overload, `ordered_admission` decides; for
other services, requests above their account's equal share queue.
"""

import dataclasses

import trio

from foxtailpick.core.dispatch import account_usage
from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import refusal
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import ordered_admission


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    """A queued request.

    :param is_admitted: whether it got a slot.
    :param decided: set once it is admitted or refused.
    """

    is_admitted: bool = False
    decided: trio.Event = dataclasses.field(default_factory=trio.Event)


async def wait_for_slot(gw: context.Gateway, job: job_lib.Job) -> None:
    """Wait until a request may be sent to an endpoint.

    Only requests to an overloaded service wait, or, where no order is called
    for, those above the equal share of a full service; for all others the
    function returns immediately.

    :param gw: the gateway.
    :param job: the request, not yet sent to any endpoint.
    :raises errors.RequestError: if no slot is expected to become free, or
        none does, within the longest time that the request may be queued.
    """
    queue = gw.get_queue(job.service.name)
    if ordered_admission.is_ordered(gw, job.service.name):
        await ordered_admission.wait_for_room(gw, job)
        return
    if not account_usage.is_above_share(
        job.share_ratio, queue.utilization, gw.rng
    ):
        return
    now_ms = gw.now_ms()
    expected_ms = admission_queue.estimate_wait_ms(queue, now_ms)
    longest_ms = admission_queue.compute_max_wait_ms(
        job.route.abandon_after_ms, job.deadline_ms - now_ms
    )
    is_in_time = expected_ms <= longest_ms
    gw.log.emit_request(
        'held' if is_in_time else 'not-held',
        request=job.meta.id,
        account=job.account.name if job.account else None,
        use=round(job.share_ratio, 2),
        fullness=round(queue.utilization, 2),
        waiting=len(queue.items),
        expected_ms=round(expected_ms),
        longest_ms=round(longest_ms),
    )
    gw.metrics.count('requests_held' if is_in_time else 'requests_not_held')
    waiter = _Waiter()
    if is_in_time:
        until_ms = now_ms + longest_ms
        admission_queue.add(queue, job.priority, waiter, until_ms, now_ms)
        with trio.move_on_after(longest_ms / types.SECOND_MS):
            try:
                await waiter.decided.wait()
            finally:
                admission_queue.remove(queue, waiter)
    if waiter.is_admitted:
        return
    # Those that came later would wait for longer.
    expected_ms = max(
        expected_ms, admission_queue.estimate_wait_ms(queue, gw.now_ms())
    )
    if is_in_time:
        gw.log.emit_request(
            'queue-refused',
            request=job.meta.id,
            waiting=len(queue.items),
            expected_ms=round(expected_ms),
            left_ms=round(max(0.0, now_ms + longest_ms - gw.now_ms())),
        )
    listed = gw.state.table.list_service(job.service.name)
    raise make_unavailable_error(
        gw, job, placing.Obstacle.ALL_FULL, len(listed), expected_ms
    )


async def assign_free_slots(gw: context.Gateway) -> None:
    """Assign free slots to queued requests periodically, until cancelled.

    Requests that will not get one in time are refused.
    """
    while True:
        await trio.sleep(admission_queue.CHECK_INTERVAL_MS / types.SECOND_MS)
        now_ms = gw.now_ms()
        ordered_admission.check_services(gw, now_ms)
        for service, queue in gw.queues.items():
            endpoints = gw.state.table.list_service(service)
            admission_queue.update_utilization(queue, endpoints, now_ms)
            if not queue.items and not queue.is_starved:
                continue
            free = admission_queue.count_free_slots(
                endpoints, gw.state.router_count, now_ms, gw.rng
            )
            for waiter in admission_queue.pop_admitted(queue, free, now_ms):
                waiter.is_admitted = True
                waiter.decided.set()
            for waiter in admission_queue.pop_hopeless(queue, now_ms):
                gw.metrics.count('requests_hopeless')
                waiter.decided.set()


def make_unavailable_error(
    gw: context.Gateway,
    job: job_lib.Job,
    obstacle: placing.Obstacle,
    listed: int,
    expected_ms: float = 0.0,
) -> errors.RequestError:
    """Return the error for a request that no endpoint can take.

    :param gw: the gateway.
    :param job: the request.
    :param obstacle: why no endpoint can take it.
    :param listed: number of listed endpoints of its service.
    :param expected_ms: expected time until one can, 0 if unknown.
    """
    retry_ms = refusal.compute_retry_after_ms(
        obstacle,
        job.priority,
        job.deadline_ms - gw.now_ms(),
        gw.rng,
        expected_ms,
    )
    code = errors.ErrorCode.OVERLOADED
    if obstacle is placing.Obstacle.NONE_LISTED:
        code = errors.ErrorCode.NO_ENDPOINT
    return errors.RequestError(
        code,
        f'expected an endpoint of {job.service.name} with room, got '
        f'{obstacle.value} among {listed}; come back later',
        job.verdict,
        retry_ms,
    )
