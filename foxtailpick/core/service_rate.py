"""Estimate of the service rate of an endpoint under backlog."""

import math

from foxtailpick.core import types

TIME_CONSTANT_MS = 5.0 * types.SECOND_MS
MIN_OBSERVED_MS = 1.0 * types.SECOND_MS


class ServiceRate:
    """Moving average of tokens per millisecond while there is a backlog.

    Time without a backlog is excluded: it shows the demand on the endpoint,
    not its capacity.

    :param initial_tokens_per_ms: the rate until a backlog was observed for
        `MIN_OBSERVED_MS`.
    """

    def __init__(self, initial_tokens_per_ms: float) -> None:
        self._initial = initial_tokens_per_ms
        self._tokens = 0.0
        self._observed_ms = 0.0
        self._last_ms: float | None = None

    def observe(
        self, now_ms: float, tokens: float, is_backlogged: bool
    ) -> None:
        """Record the work done since the last call.

        :param now_ms: the current time.
        :param tokens: tokens served since the last call.
        :param is_backlogged: whether requests were waiting in that time.
        """
        last_ms = now_ms if self._last_ms is None else self._last_ms
        self._last_ms = now_ms
        if not is_backlogged:
            return
        delta_ms = now_ms - last_ms
        decay = math.exp(-delta_ms / TIME_CONSTANT_MS)
        self._tokens = self._tokens * decay + tokens
        self._observed_ms = self._observed_ms * decay + delta_ms

    @property
    def tokens_per_ms(self) -> float:
        """Return the estimated rate, above zero."""
        if self._observed_ms < MIN_OBSERVED_MS or self._tokens <= 0:
            return self._initial
        return self._tokens / self._observed_ms
