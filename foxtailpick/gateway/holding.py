"""Lets requests beyond an account's part wait for a free place."""

import trio

from foxtailpick.core.dispatch import account_usage
from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import refusal
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib


async def wait_for_part(gw: context.Gateway, job: job_lib.Job) -> None:
    """Return when a request may be placed, at once for most.

    :param gw: the gateway.
    :param job: the request, which was not sent yet.
    :raises errors.RequestError: if it cannot get a place in time.
    """
    waiting = gw.get_waiting(job.service.name)
    if not account_usage.is_above_share(
        job.use_ratio, waiting.utilization, gw.rng
    ):
        return
    expected_ms = admission_queue.estimate_wait_ms(waiting)
    longest_ms = admission_queue.find_max_wait_ms(
        job.route.abandon_after_ms, job.deadline_ms - gw.now_ms()
    )
    is_in_time = expected_ms <= longest_ms
    gw.log.emit_request(
        'held' if is_in_time else 'not-held',
        request=job.meta.id,
        account=job.account.name if job.account else None,
        use=round(job.use_ratio, 2),
        fullness=round(waiting.utilization, 2),
        waiting=len(waiting.items),
        expected_ms=round(expected_ms),
        longest_ms=round(longest_ms),
    )
    gw.metrics.count('requests_held' if is_in_time else 'requests_not_held')
    placed = trio.Event()
    if is_in_time:
        admission_queue.add(waiting, job.priority, placed, gw.now_ms())
        with trio.move_on_after(longest_ms / types.SECOND_MS):
            try:
                await placed.wait()
            finally:
                admission_queue.remove(waiting, placed)
    if not placed.is_set():
        listed = gw.state.table.list_service(job.service.name)
        raise make_refusal(gw, job, placing.Obstacle.ALL_FULL, len(listed))


async def release_places(gw: context.Gateway) -> None:
    """Give free places to the requests that wait, until cancelled."""
    while True:
        await trio.sleep(admission_queue.PERIOD_MS / types.SECOND_MS)
        now_ms = gw.now_ms()
        for service, waiting in gw.waiting.items():
            endpoints = gw.state.table.list_service(service)
            admission_queue.update_utilization(waiting, endpoints, now_ms)
            if not waiting.items:
                continue
            free = admission_queue.count_free_slots(
                endpoints, gw.state.routers, now_ms, gw.rng
            )
            for placed in admission_queue.pop_admitted(waiting, free, now_ms):
                placed.set()


def make_refusal(
    gw: context.Gateway,
    job: job_lib.Job,
    obstacle: placing.Obstacle,
    listed: int,
) -> errors.RequestError:
    """Return the refusal of a request that has not run.

    :param gw: the gateway.
    :param job: the request.
    :param obstacle: why it finds no place.
    :param listed: endpoints that its service has.
    """
    retry_ms = refusal.find_retry_after_ms(
        obstacle, job.priority, job.deadline_ms - gw.now_ms(), gw.rng
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
