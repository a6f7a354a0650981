"""Policies that adapt a concurrency limit to the observed latency.

Each function builds a policy: a function from an observation to the next
limit. Slowdown is the time to the first token relative to that of an idle
engine, see `slowdown_tracker`; 1 means no slowdown.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Measurements at the time an engine returns a first token.

    :param limit: the current limit.
    :param in_flight: requests started and not finished.
    :param slowdown: moving average of the slowdown of recent first tokens.
    :param last_slowdown: slowdown of this first token.
    :param age_ms: time since the engine was last found cold.
    :param first_token_ms: time to the first token of an idle warm engine.
    :param since_decrease_ms: time since the limit was last decreased.
    """

    limit: float
    in_flight: int
    slowdown: float
    last_slowdown: float
    age_ms: float
    first_token_ms: float
    since_decrease_ms: float

    @property
    def is_limit_used(self) -> bool:
        """Tell whether the limit is nearly reached; if not, it must not grow.

        An unused limit says nothing about the capacity of the engine.
        """
        return self.in_flight >= 0.8 * self.limit - 1


LimitPolicy = typing.Callable[[Observation], float]


def make_ramp(
    initial_limit: float, max_limit: float, ramp_ms: float
) -> LimitPolicy:
    """Build a policy that grows linearly with time, regardless of slowdown.

    :param initial_limit: the limit at the start.
    :param max_limit: the limit after `ramp_ms`.
    :param ramp_ms: duration of the ramp.
    """

    def choose_limit(obs: Observation) -> float:
        done = min(obs.age_ms / ramp_ms, 1.0)
        return initial_limit + (max_limit - initial_limit) * done

    return choose_limit


def make_aimd(
    gain: float = 1.0,
    decrease_factor: float = 0.7,
    grow_slowdown: float = 1.3,
    max_slowdown: float = 1.6,
) -> LimitPolicy:
    """Build a policy of additive increase and multiplicative decrease.

    :param gain: increase per first token while the slowdown is low.
    :param decrease_factor: factor applied to the limit on a decrease.
    :param grow_slowdown: slowdown above which the limit does not grow.
    :param max_slowdown: slowdown above which the limit is decreased.
    """

    def choose_limit(obs: Observation) -> float:
        if obs.slowdown > max_slowdown:
            is_decrease_due = obs.since_decrease_ms > 4 * obs.first_token_ms
            return obs.limit * (decrease_factor if is_decrease_due else 1.0)
        is_slowed_down = max(obs.slowdown, obs.last_slowdown) > grow_slowdown
        if is_slowed_down or not obs.is_limit_used:
            return obs.limit
        return obs.limit + gain

    return choose_limit


def make_gradient(
    target_slowdown: float = 1.4, smoothing: float = 0.1
) -> LimitPolicy:
    """Build a policy that follows the ratio of target to observed slowdown.

    :param target_slowdown: the slowdown to converge to.
    :param smoothing: fraction of the difference to the new limit applied
        per step.
    """

    def choose_limit(obs: Observation) -> float:
        ratio = max(0.5, min(target_slowdown / obs.slowdown, 1.0))
        target = obs.limit * ratio + obs.limit**0.5 * (ratio == 1.0)
        if target > obs.limit and not obs.is_limit_used:
            return obs.limit
        return obs.limit + smoothing * (target - obs.limit)

    return choose_limit


def make_vegas(
    low_queue: float = 1.5, high_queue: float = 4.0, gain: float = 0.25
) -> LimitPolicy:
    """Build a policy that keeps a short queue inside the engine.

    :param low_queue: queue length, per square root of the limit, below which
        the limit grows.
    :param high_queue: queue length, per square root of the limit, above which
        the limit shrinks.
    :param gain: step per first token.
    """

    def choose_limit(obs: Observation) -> float:
        queue = obs.limit * (1 - 1 / max(obs.slowdown, 1.0))
        scale = obs.limit**0.5
        if queue > high_queue * scale:
            return obs.limit - gain
        if queue < low_queue * scale and obs.is_limit_used:
            return obs.limit + gain
        return obs.limit

    return choose_limit
