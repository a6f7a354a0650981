"""What a stopping router still takes.

Load pattern: an operator restarts all routers one shortly after the other,
so that callers find no other router. A stopping router goes on serving
what will be complete before its process ends, and refuses the rest at
once: a stream that is cut in the middle is worth less than one that is
begun elsewhere a moment later.
"""

from foxtailpick.core.dispatch import model

# A token of a stream until some were measured; a loaded engine's pace.
INITIAL_MS_PER_TOKEN = 8.0
# Weight of the newest stream in the mean.
SAMPLE_WEIGHT = 0.05
# Streams that begin now may be slower than the mean of the latest ones.
SAFETY = 1.3
# Most streams end before the tokens that they may have, so the mean says
# little about one that does not. From this time after the signal on, when
# callers have had the time to go elsewhere, the slowest of the latest
# streams counts instead.
STRICT_AFTER_MS = 3_000.0
# Weight of the newest stream in the decay of the slowest one, which is
# thus remembered for about fifty streams.
PEAK_DECAY = 0.02


class StreamPace:
    """Mean time that streams take for each token they may have."""

    def __init__(self) -> None:
        self.ms_per_token = INITIAL_MS_PER_TOKEN
        self.slowest_ms_per_token = INITIAL_MS_PER_TOKEN

    def observe(self, took_ms: float, tokens: int) -> None:
        """Take in a stream that was completed.

        :param took_ms: how long it took.
        :param tokens: most tokens that it might have had.
        """
        if tokens <= 0:
            return
        sample = took_ms / tokens
        self.ms_per_token += SAMPLE_WEIGHT * (sample - self.ms_per_token)
        slowest = self.slowest_ms_per_token
        decayed = slowest + PEAK_DECAY * (sample - slowest)
        self.slowest_ms_per_token = max(sample, decayed)


def find_duration_ms(
    route: model.Route,
    output_tokens: int,
    pace: StreamPace,
    stopping_ms: float,
) -> float:
    """Return how long a request may take, at the most likely.

    :param route: its route.
    :param output_tokens: most tokens of its answer, 0 if unknown.
    :param pace: the latest streams.
    :param stopping_ms: time since the signal to stop.
    """
    if route.kind is not model.RequestKind.STREAMING or not output_tokens:
        return route.timeout_ms
    ms_per_token = pace.ms_per_token
    if stopping_ms > STRICT_AFTER_MS:
        ms_per_token = max(ms_per_token, pace.slowest_ms_per_token)
    expected_ms = output_tokens * ms_per_token * SAFETY
    return min(route.timeout_ms, route.target_ms + expected_ms)
