"""Keeps each stream at the software version that began it.

Only streams that may be resumed are affected: no other goes on elsewhere.
"""

import math

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import stream_origins
from foxtailpick.core import types
from foxtailpick.gateway import admission
from foxtailpick.gateway import context
from foxtailpick.gateway import endpoint_io
from foxtailpick.gateway import job as job_lib


async def bind_stream(gw: context.Gateway, job: job_lib.Job) -> None:
    """Bind a request that takes up a stream to the version that began it.

    :param gw: the gateway.
    :param job: the request, not yet sent to any endpoint.
    :raises errors.RequestError: if that version isn't known, or has no
        endpoint.
    """
    if job.splitter is None or job.meta.last_event_id is None:
        return
    gw.metrics.count('streams_taken_up')
    request = job.meta.resumes
    origin = gw.streams.find(request)
    is_own = origin is not None
    if origin is None:
        origin = await gw.look_up_stream(request, job.service.name)
    if not _enter_service(gw, job, origin.service):
        return
    job.stream_version = origin.version
    gw.log.emit_request(
        'stream-bound',
        request=job.meta.id,
        resumes=request,
        service=origin.service,
        version=origin.version,
        after=job.meta.last_event_id,
        source='memory' if is_own else 'store',
    )
    listed = gw.state.table.list_service(job.service.name)
    if list_fitting(gw, job, listed):
        return
    now_ms = gw.now_ms()
    if not list_fitting(
        gw, job, gw.state.table.list_last_resort(job.service.name, now_ms)
    ):
        gw.metrics.count('streams_without_version')
        raise admission.make_unavailable_error(
            gw, job, placing.Obstacle.NONE_LISTED, len(listed)
        )


def _enter_service(
    gw: context.Gateway, job: job_lib.Job, service: types.ServiceId
) -> bool:
    """Let a request use the service of its stream, if its route still does.

    Otherwise the operators moved the route, and the stream goes on at the
    service that the configuration names.
    """
    if service == job.service.name:
        return True
    cfg = gw.state.cfg
    names = {target.service for target in job.route.targets}
    if cfg is None or service not in names:
        return False
    job.service = cfg.services.get(service) or model.Service(
        service, 0, 0.0, 0.0
    )
    gw.budget.deposit(service)
    return True


def list_fitting(
    gw: context.Gateway,
    job: job_lib.Job,
    endpoints: list[endpoint_table.Endpoint],
) -> list[endpoint_table.Endpoint]:
    """Return the endpoints at which the stream of a request may go on.

    A new stream begins at a version that the store has, if there is one:
    only then any router knows that it may have begun there.

    :param gw: the gateway.
    :param job: the request.
    :param endpoints: endpoints of its service.
    """
    if job.splitter is None:
        return endpoints
    if job.stream_version is not None:
        return [
            item
            for item in endpoints
            if item.entry.version == job.stream_version
        ]
    versions = gw.stream_versions.get(job.service.name)
    if versions is None or versions.recorded is None:
        return endpoints
    recorded = versions.recorded
    return [
        item for item in endpoints if item.entry.version in recorded
    ] or endpoints


def record_begun(
    gw: context.Gateway, job: job_lib.Job, endpoint: endpoint_table.Endpoint
) -> None:
    """Note that an endpoint's stream is relayed from now on.

    :param gw: the gateway.
    :param job: the request.
    :param endpoint: the endpoint.
    :raises endpoint_io.InvalidResponseError: if the stream began at another
        version.
    """
    if job.splitter is None:
        return
    version = endpoint.entry.version
    if job.stream_version is None:
        job.stream_version = version
        versions = gw.stream_versions.get(job.service.name)
        if versions is not None and version not in (versions.recorded or ()):
            gw.metrics.count('streams_begun_unrecorded')
    elif job.stream_version != version:
        raise endpoint_io.InvalidResponseError(
            f'expected a stream of version {job.stream_version}, got one of '
            f'{version} at {endpoint.id}'
        )
    if job.meta.last_event_id is not None:
        return
    now_ms = gw.now_ms()
    left_ms = job.deadline_ms - now_ms
    stated_ms = job.meta.deadline_ms
    if stated_ms is not None and math.isfinite(stated_ms):
        left_ms = max(left_ms, job.req.received_ms + stated_ms - now_ms)
    origin = stream_origins.Origin(job.service.name, version)
    gw.streams.record(job.meta.id, origin, left_ms, now_ms)
