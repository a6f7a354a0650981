"""Rate-limits requests to an endpoint during its warm-up.

Load pattern: an endpoint starts, or returns to service cold, while its
service is under full load, and many routers see it at the same moment. Each
router uses an equal share of the rate the endpoint sustains, so that the
total limit holds without coordination between routers.
"""

import dataclasses

# Requests that one router may send to a cold endpoint at once.
BURST = 1.0
# Usable share of the configured rate, since clocks and the routers' counts
# of each other differ.
RATE_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket of one endpoint at one router.

    :param tokens: requests that may be sent now.
    :param refilled_ms: when the bucket was last refilled.
    """

    tokens: float = BURST
    refilled_ms: float = 0.0


def has_token(bucket: TokenBucket, rate_per_s: float, now_ms: float) -> bool:
    """Refill the bucket and tell whether a request may be sent now.

    :param bucket: bucket of the endpoint.
    :param rate_per_s: this router's share of the rate.
    :param now_ms: current time.
    """
    earned = (now_ms - bucket.refilled_ms) / 1_000.0 * rate_per_s * RATE_SHARE
    bucket.tokens = min(BURST, bucket.tokens + earned)
    bucket.refilled_ms = now_ms
    return bucket.tokens >= 1


def take_token(bucket: TokenBucket) -> None:
    """Take a token for a request that is sent.

    :param bucket: bucket of the endpoint.
    """
    bucket.tokens -= 1
