"""A sidecar's estimate of the mean load of a pool.

A pool is the endpoints of one service in one region that serve one model.
Loads are outstanding tokens per unit of capacity. Peers are sampled
uniformly from the member list: samples from the endpoints that receive
requests would miss idle endpoints and give a mean that is too high.
"""

import dataclasses
import math

from foxtailpick.core import types

SAMPLE_TTL_MS = 3_000.0
SAMPLE_DECAY_MS = 500.0
MIN_COVERAGE = 0.9
REPORT_AGE_MS = 200.0
TREND_WINDOW_MS = 2_000.0
MAX_TREND_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """The load of an endpoint at one time.

    :param endpoint: the endpoint.
    :param load_tokens: outstanding tokens per unit of capacity.
    :param capacity: its relative capacity.
    :param at_ms: time of the sample, by the clock of the process that
        stores it.
    """

    endpoint: types.EndpointId
    load_tokens: float
    capacity: float
    at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoadReport:
    """A load report sent to a peer.

    The mean covers only samples that the sender received first-hand. A mean
    of means would circulate among the sidecars and become stale unnoticed.

    :param sample: the load of the sender.
    :param received_mean_tokens: mean of the samples that the sender received.
    :param received_weight: total capacity of these samples, weighted by age.
    """

    sample: LoadSample
    received_mean_tokens: float = 0.0
    received_weight: float = 0.0


class MeanEstimate:
    """Estimates the mean load of a pool from samples of its endpoints.

    :param endpoint: the local endpoint, whose load is always known.
    :param capacity: its relative capacity.
    :param pool_capacity: total relative capacity of the pool.
    """

    def __init__(
        self,
        endpoint: types.EndpointId,
        capacity: float,
        pool_capacity: float,
    ) -> None:
        self._endpoint = endpoint
        self._capacity = capacity
        self._pool_capacity = max(pool_capacity, capacity)
        self._reports: dict[types.EndpointId, PeerLoadReport] = {}
        self._peers_mean_tokens: float | None = None
        self._last_report_ms = -math.inf
        self._trend = _Trend()

    def set_pool_capacity(self, pool_capacity: float) -> None:
        """Update the capacity of the pool from a newer member list.

        :param pool_capacity: total relative capacity of its endpoints.
        """
        self._pool_capacity = max(pool_capacity, self._capacity)

    def observe(self, report: PeerLoadReport, now_ms: float) -> None:
        """Record a peer's report, unless a newer one is known.

        :param report: the report, with its time by the local clock.
        :param now_ms: the current time.
        """
        sender = report.sample.endpoint
        known = self._reports.get(sender)
        if sender == self._endpoint:
            return
        if known is not None and known.sample.at_ms >= report.sample.at_ms:
            return
        self._reports[sender] = report
        self._evict_expired_reports(now_ms)
        if self._reports:
            self._last_report_ms = now_ms
            self._peers_mean_tokens = self._average_reports(now_ms)
            self._trend.observe(self._peers_mean_tokens, now_ms)

    def make_report(
        self, own_load_tokens: float, now_ms: float
    ) -> PeerLoadReport:
        """Return the load report for peers.

        :param own_load_tokens: local load per unit of capacity.
        :param now_ms: the current time.
        """
        total, weight = self._sum_samples(now_ms)
        return PeerLoadReport(
            LoadSample(
                self._endpoint, own_load_tokens, self._capacity, now_ms
            ),
            total / weight if weight else 0.0,
            weight,
        )

    def observe_router_view(self, mean_tokens: float, now_ms: float) -> None:
        """Use a router's view of the mean while no peer reports.

        :param mean_tokens: its mean, tokens per unit of capacity.
        :param now_ms: the current time.
        """
        if now_ms - self._last_report_ms > SAMPLE_TTL_MS:
            self._peers_mean_tokens = mean_tokens
            self._trend.observe(mean_tokens, now_ms)

    def get_mean_tokens(
        self, own_load_tokens: float, now_ms: float | None = None
    ) -> float:
        """Return the mean, tokens per unit of capacity.

        Reports are outdated when they are used, so the mean is extrapolated
        along its trend.

        Without reports the last known mean of the peers stays in use, so
        that a sidecar cut off from its peers continues to serve.

        :param own_load_tokens: local load per unit of capacity.
        :param now_ms: the current time, None for the mean as last reported.
        """
        peers_tokens = self._peers_mean_tokens
        if peers_tokens is None:
            return own_load_tokens
        if now_ms is not None:
            peers_tokens = self._trend.extrapolate(now_ms)
        own_fraction = self._capacity / self._pool_capacity
        return (
            own_fraction * own_load_tokens
            + (1.0 - own_fraction) * peers_tokens
        )

    def get_load_tokens(self, endpoint: types.EndpointId) -> float | None:
        """Return the last known load of a peer, None if none is known.

        :param endpoint: the peer.
        """
        report = self._reports.get(endpoint)
        return None if report is None else report.sample.load_tokens

    def list_below(self, load_tokens: float) -> list[types.EndpointId]:
        """Return the peers whose last known load is below a value.

        :param load_tokens: the value, tokens per unit of capacity.
        """
        return [
            endpoint
            for endpoint, report in self._reports.items()
            if report.sample.load_tokens < load_tokens
        ]

    def _evict_expired_reports(self, now_ms: float) -> None:
        oldest_ms = now_ms - SAMPLE_TTL_MS
        reports = self._reports
        for endpoint in [
            e for e, r in reports.items() if r.sample.at_ms < oldest_ms
        ]:
            del reports[endpoint]

    def _average_reports(self, now_ms: float) -> float:
        if self._is_pool_covered():
            return self._average_all_samples()
        total = 0.0
        total_weight = 0.0
        for report in self._reports.values():
            sample = report.sample
            decay = _get_decay(now_ms - sample.at_ms)
            weight = decay * sample.capacity
            received_weight = decay * report.received_weight
            total += weight * sample.load_tokens
            total += received_weight * report.received_mean_tokens
            total_weight += weight + received_weight
        return total / total_weight

    def _is_pool_covered(self) -> bool:
        reports = self._reports.values()
        reported = sum(report.sample.capacity for report in reports)
        peers = self._pool_capacity - self._capacity
        return reported >= MIN_COVERAGE * peers

    def _average_all_samples(self) -> float:
        # In a small pool the means of the peers would count the local load
        # twice.
        samples = [report.sample for report in self._reports.values()]
        total = sum(sample.capacity * sample.load_tokens for sample in samples)
        return total / sum(sample.capacity for sample in samples)

    def _sum_samples(self, now_ms: float) -> tuple[float, float]:
        total = 0.0
        total_weight = 0.0
        for report in self._reports.values():
            sample = report.sample
            weight = sample.capacity * _get_decay(now_ms - sample.at_ms)
            total += weight * sample.load_tokens
            total_weight += weight
        return total, total_weight


class _Trend:
    """Extrapolates a series of delayed values to the current time."""

    def __init__(self) -> None:
        self._value = 0.0
        self._moving_average = 0.0
        self._at_ms: float | None = None

    def observe(self, value: float, now_ms: float) -> None:
        if self._at_ms is None:
            self._moving_average = value
        else:
            elapsed_ms = now_ms - self._at_ms
            self._moving_average += (value - self._moving_average) * (
                1.0 - math.exp(-elapsed_ms / TREND_WINDOW_MS)
            )
        self._value = value
        self._at_ms = now_ms

    def extrapolate(self, now_ms: float) -> float:
        # The moving average of a linear series lags it by TREND_WINDOW_MS.
        age_ms = min(now_ms - self._at_ms, TREND_WINDOW_MS) + REPORT_AGE_MS
        change = (
            (self._value - self._moving_average) * age_ms / TREND_WINDOW_MS
        )
        max_change = MAX_TREND_FRACTION * self._value
        return self._value + max(-max_change, min(max_change, change))


def _get_decay(age_ms: float) -> float:
    return math.exp(-max(0.0, age_ms) / SAMPLE_DECAY_MS)
