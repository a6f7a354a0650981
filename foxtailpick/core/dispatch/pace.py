"""Spaces out what routers send to a cold endpoint.

Load pattern: an endpoint starts, or comes back cold, while its service is
under full load; many routers see it at the same moment. Each router takes
an equal part of the rate that the endpoint bears, so that the sum holds
without an exchange between routers.
"""

import dataclasses

# Requests that one router may send at once to a cold endpoint.
BURST = 1.0
# Part of the stated rate that is used: clocks and router counts differ.
RATE_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class Pace:
    """Token bucket of one endpoint at one router."""

    tokens: float = BURST
    filled_ms: float = 0.0


def is_open(pace: Pace, rate_per_s: float, now_ms: float) -> bool:
    """Tell whether a request may be sent now.

    :param pace: bucket of the endpoint; it is filled up to now.
    :param rate_per_s: this router's part of the rate.
    :param now_ms: current time.
    """
    earned = (now_ms - pace.filled_ms) / 1_000.0 * rate_per_s * RATE_SHARE
    pace.tokens = min(BURST, pace.tokens + earned)
    pace.filled_ms = now_ms
    return pace.tokens >= 1


def spend(pace: Pace) -> None:
    """Take the token of a request that is sent.

    :param pace: bucket of the endpoint.
    """
    pace.tokens -= 1
