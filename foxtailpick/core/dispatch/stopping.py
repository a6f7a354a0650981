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
# Most streams end before their maximum number of tokens, so the mean
# underestimates those that use it up. From this time after the shutdown
# signal on, when callers have had time to use another router, the slowest
# recent stream is used instead.
USE_PEAK_AFTER_MS = 3_000.0
# Weight of the newest sample in the decay of the peak, which thus covers
# about fifty streams.
PEAK_DECAY_WEIGHT = 0.02


class StreamTiming:
    """Mean and peak duration of streams per allowed output token."""

    def __init__(self) -> None:
        self.ms_per_token = INITIAL_MS_PER_TOKEN
        self.peak_ms_per_token = INITIAL_MS_PER_TOKEN

    def observe(self, took_ms: float, tokens: int) -> None:
        """Add a completed stream.

        :param took_ms: its duration.
        :param tokens: maximum number of tokens it was allowed, 0 if unknown.
        """
        if tokens <= 0:
            return
        sample = took_ms / tokens
        self.ms_per_token += SAMPLE_WEIGHT * (sample - self.ms_per_token)
        peak = self.peak_ms_per_token
        decayed = peak + PEAK_DECAY_WEIGHT * (sample - peak)
        self.peak_ms_per_token = max(sample, decayed)


def estimate_duration_ms(
    route: model.Route,
    output_tokens: int,
    timing: StreamTiming,
    since_signal_ms: float,
) -> float:
    """Estimate the maximum duration of a request.

    :param route: its route.
    :param output_tokens: maximum length of its answer, 0 if unknown.
    :param timing: durations of recent streams.
    :param since_signal_ms: time since the shutdown signal.
    """
    if route.kind is not model.RequestKind.STREAMING or not output_tokens:
        return route.timeout_ms
    ms_per_token = timing.ms_per_token
    if since_signal_ms > USE_PEAK_AFTER_MS:
        ms_per_token = max(ms_per_token, timing.peak_ms_per_token)
    expected_ms = output_tokens * ms_per_token * SAFETY_FACTOR
    return min(route.timeout_ms, route.target_ms + expected_ms)
