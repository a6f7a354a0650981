"""Ways to move a concurrency limit by what an engine shows that it bears.

Each function builds a policy: a function from one observation to the next
limit. A strain is the time to the first token divided by the time that an
idle warm engine needs for the same prompt; one means no strain.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What is known when an engine gives a first token.

    :param limit: the limit in force.
    :param in_flight: requests started and not finished.
    :param strain: averaged strain of recent first tokens.
    :param last_strain: strain of this first token.
    :param age_ms: time since the engine was last found cold.
    :param first_token_ms: time to a first token without strain.
    :param since_cut_ms: time since the limit was last cut.
    """

    limit: float
    in_flight: int
    strain: float
    last_strain: float
    age_ms: float
    first_token_ms: float
    since_cut_ms: float

    @property
    def is_limit_used(self) -> bool:
        """Tell whether the limit was tested; if not, it must not grow."""
        return self.in_flight >= 0.8 * self.limit - 1


LimitPolicy = typing.Callable[[Observation], float]


def make_ramp(
    initial_limit: float, max_limit: float, ramp_ms: float
) -> LimitPolicy:
    """Build a policy that grows with time alone.

    :param initial_limit: the limit at the start.
    :param max_limit: the limit after `ramp_ms`.
    :param ramp_ms: how long it grows.
    """

    def choose_limit(seen: Observation) -> float:
        done = min(seen.age_ms / ramp_ms, 1.0)
        return initial_limit + (max_limit - initial_limit) * done

    return choose_limit


def make_aimd(
    gain: float = 1.0,
    cut: float = 0.7,
    grow_strain: float = 1.3,
    max_strain: float = 1.6,
) -> LimitPolicy:
    """Build a policy of additive increase and multiplicative decrease.

    :param gain: growth with each first token without strain.
    :param cut: factor on the limit when there is strain.
    :param grow_strain: the strain from which on the limit does not grow.
    :param max_strain: the strain from which on the limit is cut.
    """

    def choose_limit(seen: Observation) -> float:
        if seen.strain > max_strain:
            is_cut_due = seen.since_cut_ms > 4 * seen.first_token_ms
            return seen.limit * (cut if is_cut_due else 1.0)
        is_strained = max(seen.strain, seen.last_strain) > grow_strain
        if is_strained or not seen.is_limit_used:
            return seen.limit
        return seen.limit + gain

    return choose_limit


def make_gradient(
    target_strain: float = 1.4, smoothing: float = 0.1
) -> LimitPolicy:
    """Build a policy that follows the ratio of wanted to seen strain.

    :param target_strain: the strain to settle at.
    :param smoothing: part of the way to the new limit taken at once.
    """

    def choose_limit(seen: Observation) -> float:
        ratio = max(0.5, min(target_strain / seen.strain, 1.0))
        wanted = seen.limit * ratio + seen.limit**0.5 * (ratio == 1.0)
        if wanted > seen.limit and not seen.is_limit_used:
            return seen.limit
        return seen.limit + smoothing * (wanted - seen.limit)

    return choose_limit


def make_vegas(
    low_queue: float = 1.5, high_queue: float = 4.0, gain: float = 0.25
) -> LimitPolicy:
    """Build a policy that keeps a small queue inside the engine.

    :param low_queue: queue per square root of the limit to grow below.
    :param high_queue: queue per square root of the limit to shrink above.
    :param gain: step with each first token.
    """

    def choose_limit(seen: Observation) -> float:
        queue = seen.limit * (1 - 1 / max(seen.strain, 1.0))
        scale = seen.limit**0.5
        if queue > high_queue * scale:
            return seen.limit - gain
        if queue < low_queue * scale and seen.is_limit_used:
            return seen.limit + gain
        return seen.limit

    return choose_limit
