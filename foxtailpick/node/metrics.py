"""Counters and latency histograms of a process."""

import collections
import typing

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1_000.0
PERCENTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Named counters and histograms."""

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount

    def record_ms(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        found = self._histograms.get(name)
        if found is None:
            found = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self._histograms[name] = found
        found.record_value(max(int(value_ms * US_PER_MS), LOWEST_US))

    def get_percentile_ms(self, name: str, percentile: float) -> float:
        """Return a percentile of a histogram, zero if it is empty."""
        found = self._histograms.get(name)
        if found is None:
            return 0.0
        return found.get_value_at_percentile(percentile) / US_PER_MS

    def format_lines(self) -> typing.Iterator[str]:
        """Yield the metrics in text format, one `name value` per line."""
        for name, value in sorted(self.counters.items()):
            yield f'foxtailpick_{name}_total {value}'
        for name, found in sorted(self._histograms.items()):
            for percentile in PERCENTILES:
                value_ms = self.get_percentile_ms(name, percentile)
                label = f'quantile="{percentile / 100:g}"'
                yield f'foxtailpick_{name}_ms{{{label}}} {value_ms:g}'
            yield f'foxtailpick_{name}_ms_count {found.total_count}'
