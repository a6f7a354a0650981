"""Bounded load, enforced by the sidecar: the one place that knows the load.

A request is admitted if the load after it stays within a multiple of the
mean of the pool. The cost of a request is its tokens.
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


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBoundSettings:
    """How far an engine may be above the mean.

    :param multiple: the promise: highest load over mean load, above 1.
    :param guard: part of the multiple kept back for the error of the
        estimate and for a mean that falls after an admission, 0 up to 1.
    :param floor_tokens: a mean below this counts as this, in tokens per
        unit of capacity: with few requests one of them alone is far above
        the mean.
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
        """The multiple of the estimated mean up to which to admit."""
        return self.multiple * (1.0 - self.guard)


def _raise_invalid(name: str, expected: str, value: float) -> typing.NoReturn:
    raise errors.SettingsError(
        errors.ErrorCode.SETTINGS_VALUE_INVALID,
        f'expected a load bound {name} {expected}, got {value}',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The answer to an attempt; rides on the reply or the refusal.

    :param is_admitted: whether the attempt may run.
    :param load_tokens: load per unit of capacity, the attempt included if
        it was admitted.
    :param limit_tokens: the highest load that was allowed.
    :param mean_tokens: the mean load of the pool, as known here.
    :param hints: after a refusal, endpoints that likely admit it.
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
    :param monitor: checks the promise.
    :param cfg: the settings.
    :param rng: source of the random hints.
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
        self._means: dict[
            types.ModelId | None, mean_estimate.MeanEstimate
        ] = {}

    @property
    def load_tokens(self) -> float:
        """Outstanding tokens per unit of capacity."""
        return self._load_tokens / self._capacity

    def set_pool(
        self, model: types.ModelId | None, pool_capacity: float
    ) -> mean_estimate.MeanEstimate:
        """Declare a pool the endpoint belongs to, or its new capacity.

        :param model: the model of the pool, None for a plain service.
        :param pool_capacity: relative capacity of all its endpoints.
        :returns: the estimate of its mean, to be fed with samples.
        """
        mean = self._means.get(model)
        if mean is None:
            mean = self._means[model] = mean_estimate.MeanEstimate(
                self._endpoint, self._capacity, pool_capacity
            )
        mean.set_pool_capacity(pool_capacity)
        return mean

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
        :param model: the model asked for, of a declared pool.
        :param cost_tokens: its cost, prompt and answer.
        :param now_ms: the current time.
        :param candidates: the router's other candidates, in order.
        """
        mean = self._means[model]
        cost = cost_tokens / self._capacity
        if attempt in self._costs:
            cost = cost_tokens = 0.0
        base = self._get_base_tokens(mean, cost, now_ms)
        limit = self._cfg.admit_multiple * base
        # A request larger than the room above the mean fits nowhere. It
        # counts as just that room, so that an engine at the mean takes it.
        counted = min(cost, limit - base)
        is_admitted = self.load_tokens + counted <= limit
        if attempt in self._costs:
            is_admitted = True
        elif is_admitted:
            self._check_promise(base, counted)
            self._costs[attempt] = cost_tokens
            self._load_tokens += cost_tokens
        return Admission(
            is_admitted,
            self.load_tokens,
            limit,
            mean.get_mean_tokens(self.load_tokens, now_ms),
            ()
            if is_admitted
            else self._list_hints(mean, base, limit, candidates),
        )

    def release(self, attempt: types.AttemptId) -> None:
        """Forget an attempt that ended; an unknown one is no error.

        :param attempt: the attempt.
        """
        self._load_tokens -= self._costs.pop(attempt, 0.0)
        if not self._costs:
            # Rounding errors must not add up over weeks.
            self._load_tokens = 0.0

    def make_report(
        self, model: types.ModelId | None, now_ms: float
    ) -> mean_estimate.LoadReport:
        """Return what to tell the peers of a pool.

        :param model: the model of the pool.
        :param now_ms: the current time.
        """
        return self._means[model].make_report(self.load_tokens, now_ms)

    def _get_base_tokens(
        self, mean: mean_estimate.MeanEstimate, cost: float, now_ms: float
    ) -> float:
        load_tokens = self.load_tokens + cost
        mean_tokens = mean.get_mean_tokens(load_tokens, now_ms)
        return max(mean_tokens, self._cfg.floor_tokens)

    def _check_promise(self, base: float, counted: float) -> None:
        load = self.load_tokens + counted
        highest = self._cfg.multiple * base
        self._monitor.check(
            invariants.Invariant.LOAD_BOUND,
            load <= highest,
            lambda: (
                f'{self._endpoint} would carry {load:.0f} tokens, '
                f'at most {highest:.0f} are allowed'
            ),
        )

    def _list_hints(
        self,
        mean: mean_estimate.MeanEstimate,
        base: float,
        limit: float,
        candidates: typing.Sequence[types.EndpointId],
    ) -> tuple[types.EndpointId, ...]:
        # Samples are a second old: only a peer with room to spare fits.
        fits_tokens = (base + limit) / 2.0
        loads = {e: mean.get_load_tokens(e) for e in candidates}
        hints = [
            endpoint
            for endpoint, load in loads.items()
            if load is not None and load <= fits_tokens
        ]
        # Callers of a hot chat share its candidates and get their hints
        # here. Peers drawn at random spread them; always naming the least
        # loaded one would fill it at once.
        others = mean.list_below(base)
        drawn = self._rng.sample(others, min(MAX_HINTS, len(others)))
        hints.extend(e for e in drawn if e not in loads)
        return tuple(hints[:MAX_HINTS])
