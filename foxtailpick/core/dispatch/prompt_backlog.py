"""Estimates how long prompts wait until engines have read them.

Load pattern: long prompts come faster than engines read them. Slots stay free,
since requests are cancelled before their first event or run for a short time
only, and yet every caller is late: the prompts of urgent requests wait behind
those that are being read.

By Little's law the wait is the tokens of prompts without a first event over
the rate at which prompts get theirs. Both are known at once, in contrast to
the time that answers took, which shows an overload only after callers have
waited for it. Shared parts that engines have cached count like others on both
sides.
"""

import dataclasses
import statistics
import typing

from foxtailpick.core.dispatch import decayed_rate

# Time constant of the rate of first events, some of the usual waits for one.
RATE_TIME_MS = 500.0
# Time constant of the mean of what waits.
AVERAGING_MS = 300.0
# One slow endpoint or hot prompt counts for this multiple of the median.
MAX_MEDIANS = 2.0
# Fewer requests than this wait by chance.
MIN_WAITING = 3.0


@dataclasses.dataclass(slots=True)
class PromptBacklog:
    """Prompts of one router's requests to a service without a first event.

    :param tokens: their mean tokens.
    :param requests: mean number of the requests.
    :param read: rate of tokens of prompts that got their first event.
    :param targets: the same, multiplied by the target of their route in ms.
    """

    tokens: float = 0.0
    requests: float = 0.0
    read: decayed_rate.DecayedRate = dataclasses.field(
        default_factory=lambda: decayed_rate.DecayedRate(
            time_constant_ms=RATE_TIME_MS
        )
    )

    targets: decayed_rate.DecayedRate = dataclasses.field(
        default_factory=lambda: decayed_rate.DecayedRate(
            time_constant_ms=RATE_TIME_MS
        )
    )

    def record_first_event(
        self, tokens: int, target_ms: float, now_ms: float
    ) -> None:
        """Record the first event of a request.

        :param tokens: length of its prompt.
        :param target_ms: target of its route for the first event.
        :param now_ms: current time.
        """
        self.read.record(now_ms, tokens)
        self.targets.record(now_ms, tokens * target_ms)

    def compute_target_ms(self, now_ms: float) -> float:
        """Return the mean target of a token, 0 if nothing was read lately.

        :param now_ms: current time.
        """
        read_per_s = self.read.compute_per_s(now_ms)
        if not read_per_s:
            return 0.0
        return self.targets.compute_per_s(now_ms) / read_per_s


def update(
    backlog: PromptBacklog,
    waiting: typing.Iterable[typing.Sequence[int]],
    interval_ms: float,
) -> float:
    """Update the mean of what waits; return what waits now, in tokens.

    :param backlog: state of the service.
    :param waiting: lengths of the prompts without a first event at each
        endpoint that takes work.
    :param interval_ms: time since the last update.
    """
    by_endpoint = list(waiting)
    sums = [sum(tokens) for tokens in by_endpoint]
    requests = sum(map(len, by_endpoint))
    # A single prompt at each of a few endpoints is no sign of a slow one.
    mean_prompt = sum(sums) / requests if requests else 0.0
    limit = mean_prompt + MAX_MEDIANS * statistics.median(sums or [0])
    weight = min(1.0, interval_ms / AVERAGING_MS)
    tokens = sum(min(limit, item) for item in sums)
    backlog.tokens += weight * (tokens - backlog.tokens)
    backlog.requests += weight * (requests - backlog.requests)
    return tokens
