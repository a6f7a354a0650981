"""Keeps requests from endpoints whose memory can't take them."""

from foxtailpick.core.dispatch import endpoint_memory
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core import errors
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib


def check_request(gw: context.Gateway, job: job_lib.Job) -> None:
    """Refuse a request that can't run at any endpoint of its service.

    :param gw: the gateway.
    :param job: the request, not yet sent to any endpoint.
    :raises errors.RequestError: if its prompt is larger than their memory. No
        time of a retry is named: a retry would be refused as well.
    """
    capacity = job.service.memory_tokens
    tokens = job.work.prompt_tokens
    if not endpoint_memory.is_too_large(tokens, capacity):
        return
    gw.metrics.count('requests_too_large')
    raise errors.RequestError(
        errors.ErrorCode.REQUEST_TOO_LARGE,
        f'expected a prompt of at most {capacity} tokens for '
        f'{job.service.name}, got {tokens}; shorten it',
        job.verdict,
    )


def split_by_room(
    gw: context.Gateway,
    job: job_lib.Job,
    endpoints: list[endpoint_table.Endpoint],
) -> tuple[
    list[endpoint_table.Endpoint],
    list[endpoint_table.Endpoint],
]:
    """Return the endpoints with room for a request, and the others.

    :param gw: the gateway.
    :param job: the request.
    :param endpoints: endpoints of its service that accept new work.
    """
    capacity = job.service.memory_tokens
    if not capacity:
        return endpoints, []
    roomy = endpoint_memory.select_with_room(
        endpoints,
        _get_memory(gw, job),
        job.meta.id,
        endpoint_memory.compute_need(job.work.memory_tokens, capacity),
        capacity,
        gw.state.router_count,
        gw.now_ms(),
    )
    ids = {item.id for item in roomy}
    return roomy, [item for item in endpoints if item.id not in ids]


def begin_wait(gw: context.Gateway, job: job_lib.Job) -> float:
    """Note that a request waits for room; return how long it may, in ms.

    :param gw: the gateway.
    :param job: the request.
    """
    now_ms = gw.now_ms()
    memory = _get_memory(gw, job)
    longest_ms = endpoint_memory.compute_max_wait_ms(
        job.route.abandon_after_ms, job.deadline_ms - now_ms
    )
    if job.meta.id not in memory.waiters:
        gw.metrics.count('requests_waiting_for_memory')
        gw.log.emit_request(
            'memory-awaited',
            request=job.meta.id,
            tokens=job.work.memory_tokens,
            capacity=job.service.memory_tokens,
            mean=round(memory.mean_tokens or 0.0),
            waiting=len(memory.waiters),
            longest_ms=round(longest_ms),
        )
    return endpoint_memory.begin_wait(
        memory,
        job.meta.id,
        endpoint_memory.compute_need(
            job.work.memory_tokens, job.service.memory_tokens
        ),
        job.route.target_ms,
        longest_ms,
        now_ms,
    )


def end_wait(gw: context.Gateway, job: job_lib.Job, is_placed: bool) -> None:
    """Note that a request no longer waits.

    :param gw: the gateway.
    :param job: the request.
    :param is_placed: whether it was placed.
    """
    if not job.service.memory_tokens:
        return
    memory = _get_memory(gw, job)
    endpoint_memory.end_wait(memory, job.meta.id)
    if is_placed:
        endpoint_memory.record_size(memory, job.work.memory_tokens)


def _get_memory(
    gw: context.Gateway, job: job_lib.Job
) -> endpoint_memory.ServiceMemory:
    return gw.memories.setdefault(
        job.service.name, endpoint_memory.ServiceMemory()
    )
