"""Admission with bounded load, enforced by the sidecar.

The sidecar alone knows the exact load of its endpoint. A request is admitted
if the resulting load stays within a multiple of the mean load of the pool.
The cost of a request is its number of tokens.
"""

import dataclasses
import random
import typing

from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import mean_estimate
from foxtailpick.core import types

MULTIPLE = 1.25
GUARD = 0.06
FLOOR_TOKENS = 4_096.0
MAX_HINTS = 3
# Reports carry whole tokens.
ROUNDING_TOKENS = 1.0
# A load that has fallen by this fraction since its last report is news: peers
# that still reckon with it admit too much.
REPORTED_FALL = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBoundSettings:
    """How far the load of an engine may exceed the mean.

    :param multiple: the guaranteed bound on load over mean load, above 1.
    :param guard: fraction of the multiple kept as a safety margin for the
        error of the estimate and for a mean that falls after an admission;
        0 or more, and small enough that `admit_multiple` stays above 1.
    :param floor_tokens: lower bound on the mean, in tokens per unit of
        capacity; with few requests a single one is far above the mean.
    :raises errors.SettingsError: if a value is out of range.
    """

    multiple: float = MULTIPLE
    guard: float = GUARD
    floor_tokens: float = FLOOR_TOKENS

    def __post_init__(self) -> None:
        if not self.multiple > 1.0:
            _raise_invalid('multiple', 'above 1', self.multiple)
        if not 0.0 <= self.guard < 1.0 - 1.0 / self.multiple:
            expected = f'from 0 to below {1.0 - 1.0 / self.multiple:.3f}'
            _raise_invalid('guard', expected, self.guard)
        if not self.floor_tokens > 0.0:
            _raise_invalid('floor_tokens', 'above 0', self.floor_tokens)

    @property
    def admit_multiple(self) -> float:
        """The multiple of the estimated mean up to which to admit load."""
        return self.multiple * (1.0 - self.guard)


def _raise_invalid(name: str, expected: str, value: float) -> typing.NoReturn:
    raise errors.SettingsError(
        errors.ErrorCode.SETTINGS_VALUE_INVALID,
        f'expected a load bound {name} {expected}, got {value}',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The admission decision on an attempt, sent with the reply or refusal.

    :param is_admitted: whether the attempt may run.
    :param load_tokens: load per unit of capacity, including the attempt if
        it was admitted.
    :param limit_tokens: the highest load that was allowed.
    :param mean_tokens: the estimated mean load of the pool.
    :param hints: after a refusal, endpoints that are likely to admit it.
    """

    is_admitted: bool
    load_tokens: float
    limit_tokens: float
    mean_tokens: float
    hints: tuple[types.EndpointId, ...] = ()


class LoadBound:
    """The outstanding work of an endpoint and the bound on it.

    :param endpoint: the endpoint.
    :param capacity: its relative capacity, above zero.
    :param monitor: checks the load-bound invariant.
    :param cfg: the settings.
    :param rng: random source for hints.
    """

    def __init__(
        self,
        endpoint: types.EndpointId,
        capacity: float,
        monitor: invariants.Monitor,
        cfg: LoadBoundSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._capacity = capacity
        self._monitor = monitor
        self._cfg = cfg or LoadBoundSettings()
        self._rng = rng or random.Random()
        self._costs: dict[types.AttemptId, float] = {}
        self._load_tokens = 0.0
        self._reported_tokens = 0.0
        self._estimates: dict[
            types.ModelId | None, mean_estimate.MeanEstimate
        ] = {}

    @property
    def load_tokens(self) -> float:
        """Outstanding tokens per unit of capacity."""
        return self._load_tokens / self._capacity

    @property
    def has_fallen(self) -> bool:
        """Whether the load is much lower than last reported to peers."""
        return self.load_tokens < (1.0 - REPORTED_FALL) * self._reported_tokens

    def set_pool(
        self, model: types.ModelId | None, pool_capacity: float
    ) -> mean_estimate.MeanEstimate:
        """Register a pool of the endpoint, or update the pool's capacity.

        :param model: the model of the pool, None for a plain service.
        :param pool_capacity: total relative capacity of its endpoints.
        :returns: the estimate of its mean, to which samples are added.
        """
        estimate = self._estimates.get(model)
        if estimate is None:
            estimate = self._estimates[model] = mean_estimate.MeanEstimate(
                self._endpoint, self._capacity, pool_capacity
            )
        estimate.set_pool_capacity(pool_capacity)
        return estimate

    def admit(
        self,
        attempt: types.AttemptId,
        model: types.ModelId | None,
        cost_tokens: float,
        now_ms: float,
        candidates: typing.Sequence[types.EndpointId] = (),
    ) -> Admission:
        """Admit an attempt, or refuse it with hints.

        :param attempt: the attempt; one already admitted stays admitted
            and is not counted again.
        :param model: requested model, of a registered pool.
        :param cost_tokens: its cost, prompt and answer.
        :param now_ms: the current time.
        :param candidates: the router's other candidates, in order.
        """
        estimate = self._estimates[model]
        cost = cost_tokens / self._capacity
        if attempt in self._costs:
            cost = cost_tokens = 0.0
        floored_mean = self._get_floored_mean_tokens(estimate, cost, now_ms)
        limit = self._cfg.admit_multiple * floored_mean
        if cost > limit - floored_mean:
            # A request larger than the headroom above the mean would fit on
            # no engine. Its cost is capped to the headroom, so that an engine
            # at the mean admits it. That leaves no guard, so the mean counts
            # as last reported, without the request and a rise to come.
            reported_mean = self._get_floored_mean_tokens(estimate, 0.0, None)
            floored_mean = min(floored_mean, reported_mean + ROUNDING_TOKENS)
            limit = self._cfg.admit_multiple * floored_mean
        counted_cost = min(cost, limit - floored_mean)
        is_admitted = self.load_tokens + counted_cost <= limit
        if attempt in self._costs:
            is_admitted = True
        elif is_admitted:
            self._check_invariant(floored_mean, counted_cost)
            self._costs[attempt] = cost_tokens
            self._load_tokens += cost_tokens
        return Admission(
            is_admitted,
            self.load_tokens,
            limit,
            estimate.get_mean_tokens(self.load_tokens, now_ms),
            ()
            if is_admitted
            else self._list_hints(estimate, floored_mean, limit, candidates),
        )

    def release(self, attempt: types.AttemptId) -> None:
        """Release the load of an attempt that ended; unknown ones are ignored.

        :param attempt: the attempt.
        """
        self._load_tokens -= self._costs.pop(attempt, 0.0)
        if not self._costs:
            # Rounding errors would otherwise accumulate over weeks.
            self._load_tokens = 0.0

    def make_report(
        self, model: types.ModelId | None, now_ms: float
    ) -> mean_estimate.PeerLoadReport:
        """Return the load report for the peers of a pool.

        :param model: the model of the pool.
        :param now_ms: the current time.
        """
        self._reported_tokens = self.load_tokens
        return self._estimates[model].make_report(self.load_tokens, now_ms)

    def _get_floored_mean_tokens(
        self,
        estimate: mean_estimate.MeanEstimate,
        cost: float,
        now_ms: float | None,
    ) -> float:
        load_tokens = self.load_tokens + cost
        mean_tokens = estimate.get_mean_tokens(load_tokens, now_ms)
        return max(mean_tokens, self._cfg.floor_tokens)

    def _check_invariant(
        self, floored_mean: float, counted_cost: float
    ) -> None:
        load = self.load_tokens + counted_cost
        max_load = self._cfg.multiple * floored_mean
        self._monitor.check(
            invariants.Invariant.LOAD_BOUND,
            load <= max_load,
            lambda: (
                f'{self._endpoint} would carry {load:.0f} tokens, '
                f'at most {max_load:.0f} are allowed'
            ),
        )

    def _list_hints(
        self,
        estimate: mean_estimate.MeanEstimate,
        floored_mean: float,
        limit: float,
        candidates: typing.Sequence[types.EndpointId],
    ) -> tuple[types.EndpointId, ...]:
        # Samples are about a second old, so a peer needs spare headroom.
        max_hint_tokens = (floored_mean + limit) / 2.0
        loads = {e: estimate.get_load_tokens(e) for e in candidates}
        hints = [
            endpoint
            for endpoint, load in loads.items()
            if load is not None and load <= max_hint_tokens
        ]
        # All callers of a hot chat have the same candidates and get their
        # hints here. Random peers spread them; naming the least loaded peer
        # each time would overload it at once.
        others = estimate.list_below(floored_mean)
        sampled = self._rng.sample(others, min(MAX_HINTS, len(others)))
        hints.extend(e for e in sampled if e not in loads)
        return tuple(hints[:MAX_HINTS])
