"""Decides which requests a router accepts during a graceful shutdown.

Load pattern: an operator restarts all routers in quick succession, so that
callers find no other router. A router that is shutting down accepts
requests that will complete before its process ends and refuses the others
at once: a stream that is cut off is worth less than one that starts
elsewhere a moment later.
"""

from foxtailpick.core.dispatch import model

# Time per token before the first sample, as of a loaded engine.
INITIAL_MS_PER_TOKEN = 8.0
# Weight of the newest sample in the mean.
SAMPLE_WEIGHT = 0.05
# Safety factor: new streams may be slower than the mean.
SAFETY_FACTOR = 1.3
# From this time after the shutdown signal on, callers have had time to use
# another router, so only a request that will end in time whatever happens is
# accepted: endpoints may turn slow, or fail a stream that another one then
# continues. The operators count 3 s from when they send the signal; a delay
# of up to 100 ms is not noticed.
EXPECT_LONGEST_AFTER_MS = 2_900.0
# Part of the grace period in which requests at work are not cut off.
MIN_GRACE_SHARE = 5 / 6


class StreamTiming:
    """Mean duration of streams per allowed output token."""

    def __init__(self) -> None:
        self.ms_per_token = INITIAL_MS_PER_TOKEN

    def observe(self, took_ms: float, tokens: int) -> None:
        """Add a completed stream.

        :param took_ms: its duration.
        :param tokens: maximum number of tokens it was allowed, 0 if unknown.
        """
        if tokens <= 0:
            return
        sample = took_ms / tokens
        self.ms_per_token += SAMPLE_WEIGHT * (sample - self.ms_per_token)


def estimate_duration_ms(
    route: model.Route,
    output_tokens: int,
    timing: StreamTiming,
    since_signal_ms: float,
    caller_ms: float | None = None,
) -> float:
    """Estimate the maximum duration of a request.

    :param route: its route.
    :param output_tokens: maximum length of its answer, 0 if unknown.
    :param timing: durations of recent streams.
    :param since_signal_ms: time since the shutdown signal.
    :param caller_ms: how long the caller waits, if stated.
    """
    longest_ms = route.timeout_ms
    if caller_ms is not None:
        longest_ms = min(longest_ms, caller_ms)
    if (
        route.kind is not model.RequestKind.STREAMING
        or not output_tokens
        or since_signal_ms > EXPECT_LONGEST_AFTER_MS
    ):
        return longest_ms
    expected_ms = output_tokens * timing.ms_per_token * SAFETY_FACTOR
    return min(longest_ms, route.target_ms + expected_ms)


def compute_cut_ms(
    signal_ms: float, handled_ms: float, grace_ms: float, margin_ms: float
) -> float:
    """Return when to cut off the requests in flight.

    :param signal_ms: when the signal came at the earliest.
    :param handled_ms: when it was handled, which is when it came at the
        latest.
    :param grace_ms: length of the grace period.
    :param margin_ms: part of it that the end of the process takes.
    """
    usable_ms = grace_ms - margin_ms
    served_ms = min(usable_ms, MIN_GRACE_SHARE * grace_ms)
    return max(signal_ms + usable_ms, handled_ms + served_ms)
