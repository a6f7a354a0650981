"""Reads what endpoints announce in their responses, and tells others."""

import math
import typing

from foxtailpick.core.dispatch import announcements
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rate_limits
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.core import errors
from foxtailpick.gateway import context

_UNAVAILABLE = 503


def is_refusal_announced(
    endpoint: endpoint_table.Endpoint,
    end: retry_decision.AttemptEnd,
    now_ms: float,
) -> bool:
    """Tell whether an endpoint refused a request as it had announced.

    :param endpoint: the endpoint.
    :param end: how the attempt ended.
    :param now_ms: current time.
    """
    announced = endpoint.announced
    return end is retry_decision.AttemptEnd.REFUSED and (
        announced.is_leaving or announced.is_resting(now_ms)
    )


def record_announcements(
    gw: context.Gateway,
    endpoint: endpoint_table.Endpoint,
    status: int,
    meta: model.ResponseMeta,
) -> None:
    """Note what a response announces, so that requests heed it at once.

    :param gw: the gateway.
    :param endpoint: the endpoint that responded.
    :param status: status of the response.
    :param meta: its decoded headers.
    """
    now_ms = gw.now_ms()
    if meta.is_leaving and endpoint.announced.record_leaving(now_ms):
        gw.metrics.count('endpoints_leaving')
        gw.log.emit(
            'endpoint-leaving',
            endpoint=endpoint.id,
            started=endpoint.entry.started,
        )
        if endpoint.announced.told_ms is None:
            gw.departures.add(endpoint.entry.incarnation)
            gw.departure_read.set()
    if status != _UNAVAILABLE:
        return
    if meta.bad_retry_after is not None:
        gw.log.emit_request(
            'retry-after-invalid',
            endpoint=endpoint.id,
            code=errors.ErrorCode.ENDPOINT_HEADER_INVALID.value,
            why=f'expected seconds or an HTTP date, got '
            f'{meta.bad_retry_after[:40]!r}',
        )
    elif meta.retry_after_ms:
        kept_ms = endpoint.announced.record_rest(meta.retry_after_ms, now_ms)
        gw.metrics.count('endpoint_rests')
        gw.log.emit_request(
            'endpoint-rests',
            endpoint=endpoint.id,
            asked_ms=round(meta.retry_after_ms),
            for_ms=round(kept_ms),
        )


def record_rate_limit(
    gw: context.Gateway,
    endpoint: endpoint_table.Endpoint,
    meta: model.ResponseMeta,
    sent_ms: float,
) -> None:
    """Note the rate limit that a response names, or that it names none.

    :param gw: the gateway.
    :param endpoint: the endpoint that responded.
    :param meta: the decoded headers of the response.
    :param sent_ms: when its request was sent.
    """
    if meta.bad_rate_limit is not None:
        gw.log.emit_request(
            'server-limit-invalid',
            endpoint=endpoint.id,
            code=errors.ErrorCode.ENDPOINT_HEADER_INVALID.value,
            why=f'expected requests per second, got '
            f'{meta.bad_rate_limit[:40]!r}',
        )
        return
    if meta.rate_limit_per_s is None and meta.request is None:
        # A broken answer need not be the endpoint's, and ends no limit.
        return
    limit = endpoint.announced.rate_limit
    if limit.record(meta.rate_limit_per_s, sent_ms, gw.now_ms()):
        _log_rate_limit(gw, endpoint, None)


def is_within_limit(
    gw: context.Gateway, endpoint: endpoint_table.Endpoint
) -> bool:
    """Tell whether a request that was placed without a limit may be sent.

    :param gw: the gateway.
    :param endpoint: its endpoint, which may have named a limit since.
    """
    limit = endpoint.announced.rate_limit
    return not limit.is_limited or rate_limits.admit(
        limit, gw.state.router_count, gw.now_ms(), gw.rng
    )


def make_limit_report(
    gw: context.Gateway, now_ms: float
) -> list[rate_limits.Statement]:
    """Return what this gateway knows of limited endpoints.

    :param gw: the gateway.
    :param now_ms: current time.
    """
    statements = (
        rate_limits.make_statement(
            item.entry.incarnation, item.announced.rate_limit, now_ms
        )
        for item in gw.state.table.list_all()
    )
    known = [item for item in statements if item is not None]
    return known[: rate_limits.MAX_REPORTED]


def apply_limits(
    gw: context.Gateway,
    statements: typing.Iterable[rate_limits.Statement],
    reporters: int | None,
) -> None:
    """Note what other routers know of limited endpoints.

    :param gw: the gateway.
    :param statements: the totals of the hub.
    :param reporters: number of routers that the totals contain, None if all.
    """
    now_ms = gw.now_ms()
    for statement in statements:
        name, started, _, age_ms, *_ = statement
        item = gw.state.table.get(name)
        if item is None or item.entry.started != started:
            continue
        if rate_limits.apply_statement(
            item.announced.rate_limit, statement, reporters, now_ms
        ):
            _log_rate_limit(gw, item, age_ms)


def _log_rate_limit(
    gw: context.Gateway,
    endpoint: endpoint_table.Endpoint,
    told_age_ms: float | None,
) -> None:
    limit = endpoint.announced.rate_limit
    now_ms = gw.now_ms()
    gw.metrics.count('endpoint_limits')
    gw.log.emit(
        'endpoint-limits',
        endpoint=endpoint.id,
        per_s=limit.per_s,
        told_age_ms=told_age_ms,
        routers=gw.state.router_count,
        reporters=limit.reporters,
        own_per_s=round(limit.wanted.compute_per_s(now_ms), 2),
        others_per_s=round(limit.others_per_s, 2),
        others_age_ms=(
            round(now_ms - limit.others_ms)
            if math.isfinite(limit.others_ms)
            else None
        ),
    )


def make_report(
    gw: context.Gateway, now_ms: float
) -> list[announcements.Departure] | None:
    """Return which endpoints announced that they leave, None if none.

    :param gw: the gateway.
    :param now_ms: current time.
    """
    left_ms = {
        item.entry.incarnation: at_ms
        for item in gw.state.table.list_all()
        if (at_ms := item.announced.get_reported_ms(now_ms)) is not None
    }
    return announcements.make_report(left_ms, now_ms)


def apply_departures(
    gw: context.Gateway, departures: typing.Iterable[announcements.Departure]
) -> None:
    """Note which endpoints leave, as they announced to other routers.

    :param gw: the gateway.
    :param departures: the endpoints.
    """
    now_ms = gw.now_ms()
    for name, started, age_ms in departures:
        item = gw.state.table.get(name)
        if item is None or item.entry.started != started:
            continue
        if item.announced.record_told(now_ms - age_ms):
            gw.metrics.count('endpoint_departures_told')
            gw.log.emit(
                'endpoint-leaving',
                endpoint=name,
                started=started,
                told_age_ms=age_ms,
            )
