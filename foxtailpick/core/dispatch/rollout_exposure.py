"""What a bad version of a service may get, and what this router sent.

Load pattern: 4 to 68 routers with few requests each share the requests that
the new version may get. Each of them holds its own part for the whole time of
the order, so that the sum holds without an exchange, also if the version turns
out bad in the last steps.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutBounds:
    """What the operators tolerate of a bad version.

    :param exposure_share: share of a service's requests that it may get.
    :param exposure_slack: requests that it may get beyond that.
    :param rollback_ms: time after its 50th bad answer until which it may
        get requests.
    """

    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_ms: float = 5_000.0


@dataclasses.dataclass(slots=True)
class Exposure:
    """Requests that this router sent to a service since the order.

    :param sent: to either version.
    :param sent_new: to the new version.
    :param rounding: random part of a request that the new version gets
        first, None before the first choice.
    """

    sent: int = 0
    sent_new: int = 0
    rounding: float | None = None


def estimate_requests(
    exposure: Exposure, passed_ms: float, duration_ms: float
) -> float:
    """Return how many requests this router sends in the time of an order.

    :param exposure: requests that it sent so far.
    :param passed_ms: time since the order.
    :param duration_ms: time given by the order.
    """
    passed_ms = min(max(passed_ms, 1.0), duration_ms)
    return exposure.sent * duration_ms / passed_ms
