"""Reads how endpoints bear their load: reports, and times of answers."""

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import paced_load
from foxtailpick.core.dispatch import request_work
from foxtailpick.core import errors
from foxtailpick.gateway import context


def record_report(
    gw: context.Gateway,
    endpoint: endpoint_table.Endpoint,
    meta: model.ResponseMeta,
) -> None:
    """Note the load that a response reports.

    An invalid report is logged; what was known of the endpoint stays.

    :param gw: the gateway.
    :param endpoint: the endpoint that responded.
    :param meta: the decoded headers of the response.
    """
    if meta.bad_load is not None:
        gw.metrics.count('load_reports_bad')
        gw.log.emit_request(
            'load-invalid',
            endpoint=endpoint.id,
            code=errors.ErrorCode.ENDPOINT_HEADER_INVALID.value,
            why=f'expected counts of requests running and waiting, slots and '
            f'perhaps a pace in percent, got {meta.bad_load[:40]!r}',
        )
    if meta.load is None:
        return
    now_ms = gw.now_ms()
    endpoint.update_load(meta.load, now_ms)
    if meta.load.pace is not None:
        enable_paces(gw, endpoint)
        endpoint.pace.record_stated(meta.load.pace, now_ms)


def enable_paces(
    gw: context.Gateway, endpoint: endpoint_table.Endpoint
) -> None:
    """Note that endpoints of this deployment differ in pace.

    From then on this gateway also learns it from their answers.

    :param gw: the gateway.
    :param endpoint: the endpoint that stated its pace, here or elsewhere.
    """
    if gw.state.table.has_paces:
        return
    gw.state.table.has_paces = True
    gw.log.emit('paces-known', endpoint=endpoint.id)


def record_answer(
    gw: context.Gateway,
    attempt: context.Attempt,
    took_ms: float,
) -> None:
    """Compare the time of a plain answer with the usual one on its route.

    One that probably waited at its endpoint tells nothing of the pace, nor
    does the time of a stream's head, which depends on cached prompts.

    :param gw: the gateway.
    :param attempt: the attempt that was answered.
    :param took_ms: time from sending the request to its answer.
    """
    route = attempt.job.route
    if (
        not gw.state.table.has_paces
        or route.kind is model.RequestKind.STREAMING
        or attempt.has_queued
        or took_ms <= 0
    ):
        return
    now_ms = gw.now_ms()
    usual = gw.usual_times.setdefault(route.name, request_work.UsualValue())
    endpoint = attempt.endpoint
    paced_load.record_answer(
        usual,
        endpoint,
        gw.state.table.list_service(endpoint.entry.service),
        took_ms,
        now_ms,
    )
