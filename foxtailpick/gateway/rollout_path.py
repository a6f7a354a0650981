"""Applies roll-outs to requests: which endpoints they go to, what came of it.

Without an order for its service, a request is not affected.
"""

import dataclasses

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.core.dispatch import rollout_choice
from foxtailpick.core.dispatch import rollouts as rollouts_lib
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib

_SERVER_ERROR = 500
_UNSENT = (
    retry_decision.AttemptEnd.UNREACHABLE,
    # Another process has the address; the endpoint got no request.
    retry_decision.AttemptEnd.MISDIRECTED,
)


@dataclasses.dataclass(slots=True)
class Send:
    """A request that was given to an endpoint during a roll-out.

    :param rollout: the roll-out.
    :param endpoint: the endpoint.
    :param version: its version.
    :param started_ms: when it was given.
    """

    rollout: rollouts_lib.Rollout
    endpoint: endpoint_table.Endpoint
    version: types.Version
    started_ms: float


@dataclasses.dataclass(slots=True)
class End:
    """How it ended there.

    :param is_sent: whether it was sent.
    :param is_silent: whether the endpoint sent nothing for too long.
    :param answered_ms: when the endpoint began to respond, if it did.
    :param kind: how the attempt ended, None if it was cancelled.
    :param status: status of an error response, if any.
    """

    is_sent: bool
    is_silent: bool
    answered_ms: float | None
    kind: retry_decision.AttemptEnd | None = None
    status: int | None = None


def select_endpoints(
    gw: context.Gateway,
    job: job_lib.Job,
    endpoints: list[endpoint_table.Endpoint],
    is_repeat: bool = False,
) -> list[endpoint_table.Endpoint]:
    """Return the endpoints that a request may go to.

    :param gw: the gateway.
    :param job: the request.
    :param endpoints: endpoints of its service that accept it.
    :param is_repeat: whether no endpoint of an earlier selection took it.
    """
    service = job.service.name
    rollout = gw.rollouts.get(service)
    if rollout is None or not endpoints:
        return endpoints
    selected = _list_allowed(gw, service, endpoints)
    if rollout.state is not model.RolloutState.COMPLETED:
        selected = rollout_choice.select_endpoints(
            rollout,
            selected,
            # A chat has a part of its own.
            job.meta.parts[-1].id if job.meta.parts else None,
            gw.now_ms(),
            gw.rng,
            job.route.name,
            is_repeat or job.sends > 0,
        )
    if not selected and not _has_alternative(gw, service):
        return _list_usable(gw, service, endpoints) or endpoints
    return selected


def is_sendable(
    gw: context.Gateway, endpoint: endpoint_table.Endpoint
) -> bool:
    """Tell whether a request that was placed may still be sent.

    The version may have been condemned, or the other one completed, while
    the connection was opened.

    :param gw: the gateway.
    :param endpoint: the endpoint of the request.
    """
    service = endpoint.entry.service
    if service not in gw.rollouts:
        return True
    return _is_usable(gw, service, endpoint) or not _has_alternative(
        gw, service
    )


def list_usable(
    gw: context.Gateway,
    service: types.ServiceId,
    endpoints: list[endpoint_table.Endpoint],
) -> list[endpoint_table.Endpoint]:
    """Return the endpoints that some request may go to.

    :param gw: the gateway.
    :param service: the service.
    :param endpoints: its endpoints that accept new work.
    """
    if service not in gw.rollouts:
        return endpoints
    usable = _list_usable(gw, service, endpoints)
    if not usable and not _has_alternative(gw, service):
        return endpoints
    return usable


def list_barred(
    gw: context.Gateway, service: types.ServiceId
) -> frozenset[types.Version]:
    """Return the versions of a service whose endpoints get nothing.

    :param gw: the gateway.
    :param service: the service.
    """
    barred = gw.barred_versions.get(service, frozenset())
    rollout = gw.rollouts.get(service)
    if rollout is None or rollout.state is model.RolloutState.COMPLETED:
        return barred
    if rollout.is_condemned or rollout.state is model.RolloutState.ROLLED_BACK:
        return barred | {rollout.order.version}
    return barred


def observe_endpoints(
    gw: context.Gateway, rollout: rollouts_lib.Rollout
) -> None:
    """Note the endpoints of both versions, before a decision.

    :param gw: the gateway.
    :param rollout: the roll-out.
    """
    service = rollout.order.service
    _has_alternative(gw, service)
    rollout_choice.observe_endpoints(
        rollout,
        _list_allowed(gw, service, gw.state.table.list_service(service)),
        gw.state.router_count,
        gw.now_ms(),
    )


def record_start(
    gw: context.Gateway,
    job: job_lib.Job,
    endpoint: endpoint_table.Endpoint,
) -> Send | None:
    """Count a request that is given to an endpoint.

    :param gw: the gateway.
    :param job: the request.
    :param endpoint: the endpoint.
    :returns: what to pass to `record_end`, None without a roll-out.
    """
    rollout = gw.rollouts.get(job.service.name)
    if rollout is None or rollout.state is not model.RolloutState.IN_PROGRESS:
        return None
    now_ms = gw.now_ms()
    send = Send(rollout, endpoint, endpoint.entry.version, now_ms)
    rollouts_lib.record_sent(rollout, send.version, now_ms)
    return send


def record_end(
    gw: context.Gateway, job: job_lib.Job, send: Send, end: End
) -> None:
    """Record what came of a request that was given to an endpoint.

    :param gw: the gateway.
    :param job: the request.
    :param send: what `record_start` returned.
    :param end: how it ended.
    """
    if end.kind in _UNSENT or not end.is_sent:
        rollouts_lib.record_unsent(send.rollout, send.version)
        return
    now_ms = gw.now_ms()
    if not _is_evidence(job, end, now_ms):
        return
    is_failure = end.kind is retry_decision.AttemptEnd.BROKEN or (
        end.status is not None and end.status >= _SERVER_ERROR
    )
    until_ms = now_ms if end.answered_ms is None else end.answered_ms
    is_stream = job.route.kind is model.RequestKind.STREAMING
    is_whole = end.kind is retry_decision.AttemptEnd.DELIVERED
    endpoint = send.endpoint
    is_filling = bool(job.meta.parts) and endpoint.is_cache_filling(now_ms)
    rollouts_lib.record_outcome(
        send.rollout,
        job.route.name,
        send.version,
        is_failure,
        until_ms - send.started_ms,
        now_ms,
        endpoint.id,
        is_filling or endpoint.is_cold(now_ms),
        now_ms - send.started_ms if is_stream and is_whole else None,
    )


def _is_evidence(job: job_lib.Job, end: End, now_ms: float) -> bool:
    """Tell whether an end says something of the endpoint."""
    if end.kind is retry_decision.AttemptEnd.REFUSED:
        return False
    if end.kind is not None:
        return True
    # A caller that leaves says nothing, unless it had no answer in time.
    if end.answered_ms is not None:
        return False
    return end.is_silent or now_ms >= job.deadline_ms


def _list_allowed(
    gw: context.Gateway,
    service: types.ServiceId,
    endpoints: list[endpoint_table.Endpoint],
) -> list[endpoint_table.Endpoint]:
    barred = gw.barred_versions.get(service)
    if not barred:
        return endpoints
    return [item for item in endpoints if item.entry.version not in barred]


def _list_usable(
    gw: context.Gateway,
    service: types.ServiceId,
    endpoints: list[endpoint_table.Endpoint],
) -> list[endpoint_table.Endpoint]:
    return [item for item in endpoints if _is_usable(gw, service, item)]


def _is_usable(
    gw: context.Gateway,
    service: types.ServiceId,
    endpoint: endpoint_table.Endpoint,
) -> bool:
    return endpoint.entry.version not in list_barred(gw, service)


def _has_alternative(gw: context.Gateway, service: types.ServiceId) -> bool:
    """Tell whether there is, or was, a version for what isn't on trial.

    Without any since the order, it is to move to the only version there is,
    and requests go to that one as they did before the order. A version on
    trial doesn't get all requests once the others are gone.
    """
    rollout = gw.rollouts[service]
    if rollout.has_others:
        return True
    barred = list_barred(gw, service)
    if rollout.state is not model.RolloutState.COMPLETED:
        barred |= {rollout.order.version}
    rollout.has_others = any(
        item.entry.service == service and item.entry.version not in barred
        for item in gw.state.table.list_all()
    )
    return rollout.has_others
