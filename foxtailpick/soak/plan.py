"""Parameters of a soak run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a run consists of, besides its seed.

    :param grace_ms: time between SIGTERM and the end of a gateway.
    :param deadline_ms: how long callers and routes wait for an answer.
    :param target_ms: target latency of the routes.
    :param event_interval_ms: time between two events of a stream.
    :param disconnect_share: share of the calls that their caller leaves.
    :param callers: number of callers.
    :param faults: number of faults.
    :param fault_window_ms: time in which they begin.
    :param settling_ms: time after them until all bounds apply again.
    """

    grace_ms: float = 4_000.0
    deadline_ms: float = 2_500.0
    target_ms: float = 200.0
    event_interval_ms: float = 20.0
    disconnect_share: float = 0.08
    callers: int = 12
    faults: int = 9
    fault_window_ms: float = 8_000.0
    settling_ms: float = 3_800.0


# Streams that last for a large part of the grace period.
LONG_STREAMS = Plan(
    grace_ms=8_000.0,
    deadline_ms=12_000.0,
    target_ms=500.0,
    event_interval_ms=100.0,
    disconnect_share=0.02,
    callers=30,
    faults=4,
    fault_window_ms=20_000.0,
    settling_ms=16_000.0,
)
