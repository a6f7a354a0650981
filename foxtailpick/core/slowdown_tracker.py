"""Detects a cold engine by slow first tokens and cache misses."""

import dataclasses
import math

from foxtailpick.core import types

BASELINE_TIME_CONSTANT_MS = 20.0 * types.SECOND_MS
LONG_TERM_WEIGHT = 0.05
RECENT_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ColdThresholds:
    """Thresholds at which an engine is considered cold.

    :param slowdown: slowdown above which a first token is late.
    :param samples: number of consecutive late first tokens.
    :param hit_ratio: fraction of the usual cache hit ratio.
    """

    slowdown: float
    samples: int
    hit_ratio: float


class SlowdownTracker:
    """Slowdown of first tokens since an engine was last found cold.

    The latency ratio of a request is its time to first token divided by
    that of an idle warm engine. Its slowdown is the latency ratio divided
    by a baseline, the lowest ratio seen so far: a cold engine is slow even
    without load, so only the slowdown beyond the baseline shows load. The
    baseline decays to one; otherwise the speed gained by warming up would
    hide a growing load.

    :param thresholds: limits at which the engine is considered cold.
    """

    def __init__(self, thresholds: ColdThresholds) -> None:
        self._thresholds = thresholds
        self._baseline: float | None = None
        self._baseline_ms = 0.0
        self._late_samples = 0
        self._usual_hit_ratio: float | None = None
        self._recent_hit_ratio = 0.0
        self.average = 1.0
        self.late_since_ms = math.inf

    def record(
        self, started_ms: float, expected_ms: float, now_ms: float
    ) -> float:
        """Record a first token.

        :param started_ms: when the request started.
        :param expected_ms: time to first token of an idle warm engine.
        :param now_ms: the current time.
        :returns: the slowdown of the request.
        """
        ratio = max(now_ms - started_ms, 0.0) / expected_ms
        baseline = self.compute_baseline(now_ms)
        if self._baseline is None or ratio < baseline:
            baseline = min(max(ratio, 1.0), self._thresholds.slowdown)
            self._baseline = baseline
            self._baseline_ms = now_ms
        slowdown = ratio / baseline
        self.average += RECENT_WEIGHT * (slowdown - self.average)
        self._count_late_sample(started_ms, slowdown)
        return slowdown

    def compute_baseline(self, now_ms: float) -> float:
        """Return the latency ratio that counts as no slowdown."""
        if self._baseline is None:
            return self._thresholds.slowdown
        age_ms = now_ms - self._baseline_ms
        decay = math.exp(-age_ms / BASELINE_TIME_CONSTANT_MS)
        return 1.0 + (self._baseline - 1.0) * decay

    def has_late_first_tokens(self, overdue: int = 0) -> bool:
        """Tell whether late first tokens show that the engine is cold.

        :param overdue: pending first tokens that are late already.
        """
        return overdue + self._late_samples >= self._thresholds.samples

    def record_late_start(self, started_ms: float) -> None:
        """Record the start time of a request with a late first token."""
        self.late_since_ms = min(self.late_since_ms, started_ms)

    def record_hit_ratio(self, hit_ratio: float) -> bool:
        """Record the cache hit ratio of a prompt.

        :param hit_ratio: cached fraction of what placement expected.
        :returns: whether the engine is considered cold.
        """
        if self._usual_hit_ratio is None:
            self._usual_hit_ratio = self._recent_hit_ratio = hit_ratio
            return False
        self._recent_hit_ratio += RECENT_WEIGHT * (
            hit_ratio - self._recent_hit_ratio
        )
        self._usual_hit_ratio += LONG_TERM_WEIGHT * (
            hit_ratio - self._usual_hit_ratio
        )
        return (
            self._recent_hit_ratio
            < self._thresholds.hit_ratio * self._usual_hit_ratio
        )

    def _count_late_sample(self, started_ms: float, slowdown: float) -> None:
        if slowdown <= self._thresholds.slowdown:
            self._late_samples = 0
            self.late_since_ms = math.inf
            return
        self._late_samples += 1
        self.record_late_start(started_ms)
