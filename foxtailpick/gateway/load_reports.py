"""Reads the load that endpoints report in their responses."""

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
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
    if meta.load is not None:
        endpoint.update_load(meta.load, gw.now_ms())
