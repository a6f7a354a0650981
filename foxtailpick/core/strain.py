"""What first tokens and cache hits show of an engine's warmth."""

import dataclasses
import math

from foxtailpick.core import types

BASE_TIME_CONSTANT_MS = 20.0 * types.SECOND_MS
HIT_RATIO_WEIGHT = 0.05
STRAIN_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSigns:
    """Settings of the signs that an engine went cold.

    :param strain: strain at which a first token counts as late.
    :param samples: late first tokens in a row needed.
    :param hit_ratio: part of the usual cache hits below which it is cold.
    """

    strain: float
    samples: int
    hit_ratio: float


class StrainGauge:
    """Strain of first tokens since an engine was last found cold.

    The strain of a request is the time to its first token, divided by the
    time that an idle warm engine needs for its prompt, in relation to the
    least such value since the gauge was made: a cold engine is slow even
    without load, and what it bears shows in how it slows down from there.
    This base decays, because an engine that warms up under growing load
    would hide the load.

    :param signs: the signs that the engine went cold.
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
        """Take in a first token.

        :param started_ms: when the request started.
        :param expected_ms: time to its first token without strain.
        :param now_ms: the current time.
        :returns: its strain.
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
        """Return the ratio of times that counts as no strain."""
        if self._base is None:
            return self._signs.strain
        age_ms = now_ms - self._base_ms
        decay = math.exp(-age_ms / BASE_TIME_CONSTANT_MS)
        return 1.0 + (self._base - 1.0) * decay

    def is_late(self, overdue: int = 0) -> bool:
        """Tell whether late first tokens show that the engine is cold.

        :param overdue: first tokens that are late and still to come.
        """
        return overdue + self._late_samples >= self._signs.samples

    def note_overdue_since(self, started_ms: float) -> None:
        """Note the start of a request with an overdue first token."""
        self.late_since_ms = min(self.late_since_ms, started_ms)

    def is_missing_cache(self, hit_ratio: float) -> bool:
        """Take in the cache hits of a prompt.

        :param hit_ratio: part found, out of what placement expected.
        :returns: whether the misses show that the engine is cold.
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
