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
    :param planned_ms: length of the planned work at the end.
    :param is_planned_only: whether no fault of the run excuses an answer
        that is cut off.
    :param gateways: number of gateways.
    :param endpoints: number of endpoints of each service.
    :param slots: slots of an endpoint.
    :param accounts: number of client accounts.
    :param keeps_connections: whether callers stay on a connection until the
        gateway closes it.
    :param pipelined_share: share of the sends, by such callers, that are
        several requests close behind each other.
    :param takes_up: whether callers take up streams that broke off.
    :param plain_timeout_ms: timeout of routes without streams, None for
        `deadline_ms`.
    :param slow_share: share of the callers that read slowly.
    :param padding_bytes: bytes added to each event of a stream.
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
    # Covers the planned changes and the bounds on removed endpoints and
    # routes.
    planned_ms: float = 4_500.0
    is_planned_only: bool = False
    gateways: int = 3
    endpoints: int = 3
    slots: int = 16
    accounts: int = 1
    keeps_connections: bool = False
    pipelined_share: float = 0.0
    takes_up: bool = False
    plain_timeout_ms: float | None = None
    slow_share: float = 0.0
    padding_bytes: int = 0


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

# Streams that run on after a silence of their endpoint, nearly as many as
# there are slots, so that a silence also leads to queues.
SILENCE = Plan(
    grace_ms=6_000.0,
    deadline_ms=5_000.0,
    target_ms=300.0,
    event_interval_ms=60.0,
    disconnect_share=0.03,
    callers=24,
    faults=16,
    fault_window_ms=8_000.0,
    settling_ms=4_000.0,
    planned_ms=1_500.0,
    is_planned_only=True,
    slots=5,
    accounts=2,
    keeps_connections=True,
    pipelined_share=0.15,
)

LARGE_SILENCE = dataclasses.replace(
    SILENCE,
    callers=36,
    faults=26,
    gateways=6,
    endpoints=6,
    event_interval_ms=90.0,
)

# Stops of gateways that do not get the processor in time, during long streams
# that some callers read slowly. Plain requests are accepted for long after
# the signal, as their timeout is short.
HELD_UP_STOPS = Plan(
    grace_ms=8_000.0,
    deadline_ms=12_000.0,
    target_ms=500.0,
    event_interval_ms=130.0,
    disconnect_share=0.02,
    callers=30,
    faults=16,
    fault_window_ms=24_000.0,
    settling_ms=9_500.0,
    planned_ms=2_000.0,
    is_planned_only=True,
    gateways=4,
    slots=24,
    keeps_connections=True,
    pipelined_share=0.1,
    plain_timeout_ms=1_500.0,
    slow_share=0.2,
    padding_bytes=4_000,
)

# Enough callers that endpoints get several times the rates that they name.
LIMITS = Plan(
    callers=24,
    faults=8,
    fault_window_ms=10_000.0,
    settling_ms=11_500.0,
    gateways=4,
)

# Streams that last for a second, and callers that stay on a connection until
# its gateway is gone.
VERSIONS = Plan(
    deadline_ms=6_000.0,
    event_interval_ms=45.0,
    disconnect_share=0.02,
    callers=24,
    faults=12,
    fault_window_ms=12_000.0,
    settling_ms=9_000.0,
    endpoints=4,
    keeps_connections=True,
    takes_up=True,
)

# As many processes as a machine bears within the limits.
LARGE_VERSIONS = dataclasses.replace(
    VERSIONS, callers=60, faults=20, gateways=12, endpoints=8
)

# Departures beside faults of the store, restarts and bursts, for callers that
# stay on a connection until its gateway is gone.
DEPARTURES = Plan(
    callers=24,
    faults=14,
    fault_window_ms=12_000.0,
    settling_ms=6_000.0,
    planned_ms=12_000.0,
    gateways=4,
    endpoints=5,
    keeps_connections=True,
)

LARGE_DEPARTURES = dataclasses.replace(
    DEPARTURES, callers=60, faults=24, gateways=12, endpoints=10
)
