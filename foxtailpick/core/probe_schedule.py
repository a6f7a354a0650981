"""Schedule of probes, rate-limited to a node's control-traffic budget."""

import heapq
import typing

from foxtailpick.core import types

PROBES_PER_SECOND = 2.0
BURST_PROBES = 20.0


class ProbeSchedule:
    """Due times of probes, limited by a token bucket.

    :param probes_per_second: refill rate of the bucket.
    :param burst_probes: capacity of the bucket.
    """

    def __init__(
        self,
        probes_per_second: float = PROBES_PER_SECOND,
        burst_probes: float = BURST_PROBES,
    ) -> None:
        self._rate_per_ms = probes_per_second / types.SECOND_MS
        self._burst = burst_probes
        self._tokens = burst_probes
        self._refilled_ms = 0.0
        self._due: dict[types.EndpointId, float] = {}
        self._heap: list[tuple[float, types.EndpointId]] = []

    def schedule(self, endpoint: types.EndpointId, due_ms: float) -> None:
        """Schedule the next probe of an endpoint, replacing any other.

        :param endpoint: the endpoint.
        :param due_ms: when it is due.
        """
        self._due[endpoint] = due_ms
        heapq.heappush(self._heap, (due_ms, endpoint))

    def cancel(self, endpoint: types.EndpointId) -> None:
        """Cancel the next probe of an endpoint.

        :param endpoint: the endpoint.
        """
        self._due.pop(endpoint, None)

    def take_due(self, now_ms: float) -> list[types.EndpointId]:
        """Remove and return the endpoints to probe now.

        :param now_ms: the current time.
        """
        self._refill(now_ms)
        return list(self._pop_due(now_ms))

    def _pop_due(self, now_ms: float) -> typing.Iterator[types.EndpointId]:
        while self._heap and self._heap[0][0] <= now_ms and self._tokens >= 1:
            due_ms, endpoint = heapq.heappop(self._heap)
            # Skips the stale entry of a replaced or cancelled probe.
            if self._due.get(endpoint) != due_ms:
                continue
            del self._due[endpoint]
            self._tokens -= 1
            yield endpoint

    def _refill(self, now_ms: float) -> None:
        refill = (now_ms - self._refilled_ms) * self._rate_per_ms
        self._tokens = min(self._burst, self._tokens + max(refill, 0.0))
        self._refilled_ms = now_ms
