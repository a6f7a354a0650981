"""Timeouts after which a silent request is sent to another endpoint too.

Load pattern: answers of executed requests are lost, so that a request gets
no response while the endpoint serves others. The time to first byte is
estimated per route as a mean and a mean deviation. A request that waits
much longer is sent to another endpoint as well if it is idempotent. If all
answers become slow, the timeout grows with them, so that load alone does
not cause a retry storm.

Where endpoints differ in pace, a slow one takes longer than the timeout and
still answers, so the timeout grows with its pace. A safe request is sent to
another endpoint as well while that one can still answer in time.
"""

import dataclasses
import math

from foxtailpick.core.dispatch import request_work

# The timeout is this many mean deviations above the mean; compare the TCP
# retransmission timeout (RFC 6298), whose sample weights are used too.
DEVIATIONS = 5.0
MEAN_WEIGHT = 0.125
# A sample counts as at most this multiple of the timeout that it exceeded.
MAX_SAMPLE_TIMEOUTS = 2.0
DEVIATION_WEIGHT = 0.25
# Minimum timeout of a stream, as a multiple of its target latency: another
# engine would have to process the prompt again.
MIN_STREAM_TARGETS = 1.5
# Minimum timeout of other requests. The rest of the target latency is left
# for the next endpoint, where answers usually take less time.
MIN_PLAIN_TARGETS = 0.5
# Timeout between two events of a stream. Between them an engine may process
# a long prompt or preempt the request; callers give up after two seconds.
EVENT_GAP_TIMEOUT_MS = 1_200.0


# The timeout grows by at most this factor at a slow endpoint: callers give up
# in the end.
MAX_PACE_FACTOR = 3.0
# An answer that takes so many mean errors more than the usual time is late.
HEDGE_ERRORS = 2.0


@dataclasses.dataclass(slots=True)
class FirstByteEstimate:
    """Estimate of the time to first byte on one route.

    :param mean_ms: mean time, None before the first sample.
    :param deviation_ms: mean deviation from it.
    """

    mean_ms: float | None = None
    deviation_ms: float = 0.0

    def observe(self, took_ms: float, timeout_ms: float = math.inf) -> None:
        """Add a sample.

        :param took_ms: time to the first byte of an answer.
        :param timeout_ms: timeout that was in force; the silence of a single
            endpoint counts for a small multiple of it, while answers that
            stay slow still raise it.
        """
        took_ms = min(took_ms, MAX_SAMPLE_TIMEOUTS * timeout_ms)
        if self.mean_ms is None:
            self.mean_ms = took_ms
            self.deviation_ms = took_ms / 2
            return
        error = abs(took_ms - self.mean_ms)
        self.deviation_ms += DEVIATION_WEIGHT * (error - self.deviation_ms)
        self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms)

    def compute_timeout_ms(self, target_ms: float, is_stream: bool) -> float:
        """Return the timeout for the first byte of an answer.

        :param target_ms: target latency of the route.
        :param is_stream: whether the answer is a stream.
        """
        floor_ms = target_ms * (
            MIN_STREAM_TARGETS if is_stream else MIN_PLAIN_TARGETS
        )
        if self.mean_ms is None:
            return floor_ms
        return max(floor_ms, self.mean_ms + DEVIATIONS * self.deviation_ms)


def adjust_to_pace(timeout_ms: float, pace: float) -> float:
    """Return the timeout at an endpoint whose pace is known.

    :param timeout_ms: timeout at an endpoint that is as fast as usual.
    :param pace: time that work takes there, as a multiple of the usual.
    """
    return timeout_ms * min(max(pace, 1.0), MAX_PACE_FACTOR)


def compute_hedge_ms(
    usual: request_work.UsualValue, left_ms: float
) -> float | None:
    """Return when a safe request without an answer is sent elsewhere as well.

    That is as late as another endpoint would just answer in time, but not
    before the answer takes longer than most.

    :param usual: usual times of answers on its route.
    :param left_ms: time left until its target latency.
    :returns: time from sending it, None if no other endpoint is expected to
        answer in time.
    """
    if not usual.is_known or usual.value is None:
        return None
    most_ms = usual.value + HEDGE_ERRORS * usual.error
    hedge_ms = max(most_ms, left_ms - most_ms)
    return hedge_ms if left_ms - hedge_ms >= usual.value else None
