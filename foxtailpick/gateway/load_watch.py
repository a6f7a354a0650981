"""Reports loads above the limit, and how fresh the counts have to be."""

import typing

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import load_limit
from foxtailpick.core import types
from foxtailpick.gateway import context

# Interval of the log lines about one service.
LOG_INTERVAL_MS = 1_000.0


class LoadWatch:
    """Logs which endpoints hold more than the limit allows.

    :param gw: the gateway.
    """

    def __init__(self, gw: context.Gateway) -> None:
        self._gw = gw
        self._logged_ms: dict[types.ServiceId, float] = {}

    def needs_fresh_counts(self) -> bool:
        """Tell whether some service has little room below its load bound."""
        return any(
            load_limit.needs_fresh_counts(mean, service_mean)
            for _, mean, service_mean in self._list_means()
        )

    def report(self) -> None:
        """Log endpoints above the limit, after the counts were updated."""
        now_ms = self._gw.now_ms()
        for service, mean, service_mean in self._list_means():
            limit = load_limit.compute_guaranteed_limit(service_mean)
            loads = {
                item.id: round(item.load)
                for item in self._gw.state.table.list_service(service)
            }
            above = {key: load for key, load in loads.items() if load > limit}
            if not above:
                continue
            self._gw.metrics.count('loads_above_limit', len(above))
            if now_ms - self._logged_ms.get(service, 0.0) < LOG_INTERVAL_MS:
                continue
            self._logged_ms[service] = now_ms
            self._gw.log.emit(
                'load-above-limit',
                service=service,
                above=above,
                limit=round(limit, 1),
                mean=round(mean, 1),
                of=len(loads),
                service_mean=round(service_mean, 1),
            )

    def _list_means(
        self,
    ) -> typing.Iterator[tuple[types.ServiceId, float, float]]:
        """Yield services, with the means of usable and of all endpoints."""
        table = self._gw.state.table
        cfg = self._gw.state.cfg
        for service in cfg.services if cfg else ():
            usable = _list_usable(
                table.list_service(service), self._gw.now_ms()
            )
            if usable:
                mean = endpoint_table.compute_mean_load(usable)
                yield service, mean, table.compute_mean_load(service)


def _list_usable(
    endpoints: typing.Iterable[endpoint_table.Endpoint], now_ms: float
) -> list[endpoint_table.Endpoint]:
    return [
        item
        for item in endpoints
        if not item.is_cold(now_ms) and not item.health.is_paused(now_ms)
    ]
