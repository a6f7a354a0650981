"""Detects a cold engine by slow first tokens and cache misses."""

import dataclasses
import math

from foxtailpick.core import types

BASE_TIME_CONSTANT_MS = 20.0 * types.SECOND_MS
HIT_RATIO_WEIGHT = 0.05
STRAIN_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSigns:
    """Thresholds at which an engine is considered cold.

    :param strain: slowdown above which a first token is late.
    :param samples: number of consecutive late first tokens.
    :param hit_ratio: fraction of the usual cache hit ratio.
    """

    strain: float
    samples: int
    hit_ratio: float


class StrainGauge:
    """Slowdown of first tokens since an engine was last found cold.

    The latency ratio of a request is its time to first token divided by
    that of an idle warm engine. Its slowdown is the latency ratio divided
    by a baseline, the lowest ratio seen so far: a cold engine is slow even
    without load, so only the slowdown beyond the baseline shows load. The
    baseline decays to one; otherwise the speed gained by warming up would
    hide a growing load.

    :param signs: thresholds at which the engine is considered cold.
    """

    def __init__(self, signs: ColdSigns) -> None:
        self._signs = signs
        self._base: float | None = None
        self._base_ms = 0.0
        self._late_samples = 0
        self._usual_hits: float | None = None
        self._recent_hits = 0.0
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
        base = self.find_base(now_ms)
        if self._base is None or ratio < base:
            base = min(max(ratio, 1.0), self._signs.strain)
            self._base = base
            self._base_ms = now_ms
        strain = ratio / base
        self.average += STRAIN_WEIGHT * (strain - self.average)
        self._count_late_sample(started_ms, strain)
        return strain

    def find_base(self, now_ms: float) -> float:
        """Return the latency ratio that counts as no slowdown."""
        if self._base is None:
            return self._signs.strain
        age_ms = now_ms - self._base_ms
        decay = math.exp(-age_ms / BASE_TIME_CONSTANT_MS)
        return 1.0 + (self._base - 1.0) * decay

    def is_late(self, overdue: int = 0) -> bool:
        """Tell whether enough first tokens were late.

        :param overdue: pending first tokens that are late already.
        """
        return overdue + self._late_samples >= self._signs.samples

    def note_overdue_since(self, started_ms: float) -> None:
        """Record the start time of a request with a late first token."""
        self.late_since_ms = min(self.late_since_ms, started_ms)

    def is_missing_cache(self, hit_ratio: float) -> bool:
        """Record the cache hit ratio of a prompt.

        :param hit_ratio: cached fraction of what placement expected.
        :returns: whether the engine is considered cold.
        """
        if self._usual_hits is None:
            self._usual_hits = self._recent_hits = hit_ratio
            return False
        self._recent_hits += STRAIN_WEIGHT * (hit_ratio - self._recent_hits)
        self._usual_hits += HIT_RATIO_WEIGHT * (hit_ratio - self._usual_hits)
        return self._recent_hits < self._signs.hit_ratio * self._usual_hits

    def _count_late_sample(self, started_ms: float, strain: float) -> None:
        if strain <= self._signs.strain:
            self._late_samples = 0
            self.late_since_ms = math.inf
            return
        self._late_samples += 1
        self.note_overdue_since(started_ms)
