"""The mean load of a pool, as one sidecar knows it.

A pool is the endpoints of one service in one region that serve one model.
Loads are outstanding tokens per unit of capacity. Peers are sampled
uniformly from the member list: samples taken where requests happen to go
leave out idle endpoints and give a mean that is too high.
"""

import dataclasses
import math
import typing

from foxtailpick.core import types

SAMPLE_LIFE_MS = 3_000.0
SAMPLE_DECAY_MS = 700.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """The load of an endpoint at some moment.

    :param endpoint: the endpoint.
    :param load_tokens: outstanding tokens per unit of capacity.
    :param capacity: its relative capacity.
    :param at_ms: when it held, by the clock of the process that keeps it.
    """

    endpoint: types.EndpointId
    load_tokens: float
    capacity: float
    at_ms: float


class MeanEstimate:
    """The mean load of a pool, from samples of its endpoints.

    :param endpoint: the own endpoint, whose load is always known.
    :param capacity: its relative capacity.
    :param pool_capacity: relative capacity of the whole pool.
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
        self._samples: dict[types.EndpointId, LoadSample] = {}
        self._peers_mean_tokens: float | None = None
        self._heard_ms = -math.inf

    def set_pool_capacity(self, pool_capacity: float) -> None:
        """Take over the capacity of the pool from a newer member list.

        :param pool_capacity: relative capacity of all its endpoints.
        """
        self._pool_capacity = max(pool_capacity, self._capacity)

    def observe(
        self, samples: typing.Iterable[LoadSample], now_ms: float
    ) -> None:
        """Take over samples of peers; older than known ones are ignored.

        :param samples: samples, with times of the own clock.
        :param now_ms: the current time.
        """
        for sample in samples:
            known = self._samples.get(sample.endpoint)
            if sample.endpoint == self._endpoint:
                continue
            if known is None or known.at_ms < sample.at_ms:
                # Removed first, so that the map stays ordered by arrival.
                self._samples.pop(sample.endpoint, None)
                self._samples[sample.endpoint] = sample
        self._forget_old_samples(now_ms)
        if self._samples:
            self._heard_ms = now_ms
            self._peers_mean_tokens = self._average_samples(now_ms)

    def observe_router_view(self, mean_tokens: float, now_ms: float) -> None:
        """Take over a router's view of the mean while no peer is heard.

        :param mean_tokens: its mean, tokens per unit of capacity.
        :param now_ms: the current time.
        """
        if now_ms - self._heard_ms > SAMPLE_LIFE_MS:
            self._peers_mean_tokens = mean_tokens

    def get_mean_tokens(self, own_load_tokens: float) -> float:
        """Return the mean, tokens per unit of capacity.

        While nobody is heard the last known mean of the peers stays: a
        sidecar cut off from its peers goes on to serve.

        :param own_load_tokens: the own load per unit of capacity.
        """
        if self._peers_mean_tokens is None:
            return own_load_tokens
        own_part = self._capacity / self._pool_capacity
        peers_tokens = (1.0 - own_part) * self._peers_mean_tokens
        return own_part * own_load_tokens + peers_tokens

    def get_age_ms(self, now_ms: float) -> float:
        """Return how long no peer has been heard, infinite if never.

        :param now_ms: the current time.
        """
        return now_ms - self._heard_ms

    def list_recent(self, count: int) -> list[LoadSample]:
        """Return the samples that came last, newest first.

        :param count: how many at most.
        """
        newest_first = reversed(self._samples.values())
        return [sample for sample, _ in zip(newest_first, range(count))]

    def get_load_tokens(self, endpoint: types.EndpointId) -> float | None:
        """Return the last known load of a peer, None if none is known.

        :param endpoint: the peer.
        """
        sample = self._samples.get(endpoint)
        return None if sample is None else sample.load_tokens

    def list_below(self, load_tokens: float) -> list[types.EndpointId]:
        """Return the peers whose last known load is below a value.

        :param load_tokens: the value, tokens per unit of capacity.
        """
        return [
            sample.endpoint
            for sample in self._samples.values()
            if sample.load_tokens < load_tokens
        ]

    def _forget_old_samples(self, now_ms: float) -> None:
        oldest_ms = now_ms - SAMPLE_LIFE_MS
        old = [s for s in self._samples.values() if s.at_ms < oldest_ms]
        for sample in old:
            del self._samples[sample.endpoint]

    def _average_samples(self, now_ms: float) -> float:
        total = 0.0
        total_weight = 0.0
        for sample in self._samples.values():
            age_ms = max(0.0, now_ms - sample.at_ms)
            decay = math.exp(-age_ms / SAMPLE_DECAY_MS)
            weight = sample.capacity * decay
            total += weight * sample.load_tokens
            total_weight += weight
        return total / total_weight
