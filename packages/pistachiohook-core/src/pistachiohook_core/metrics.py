"""Counters and histograms of one process."""

from __future__ import annotations

from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

#: Smallest and largest value of a histogram, in microseconds.
HISTOGRAM_RANGE_US = (1, 3_600_000_000)

#: Significant decimal digits that a histogram keeps.
HISTOGRAM_DIGITS = 2

#: Quantiles in the text form, in percent.
QUANTILES = (50.0, 90.0, 99.0, 99.9)


@attrs.define
class Metrics:
    """State of the metrics: counts by name, durations by name."""

    counts: Counter[str] = attrs.field(factory=Counter)
    histograms: dict[str, HdrHistogram] = attrs.field(factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount

    def record_duration(self, name: str, seconds: float) -> None:
        """Add one duration to the histogram of that name."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(*HISTOGRAM_RANGE_US, HISTOGRAM_DIGITS)
            self.histograms[name] = histogram
        low, high = HISTOGRAM_RANGE_US
        histogram.record_value(min(high, max(low, int(seconds * 1e6))))

    def encode_histograms(self) -> dict[str, str]:
        """Return each histogram in the interchange form of HdrHistogram."""
        return {
            name: histogram.encode().decode('ascii')
            for name, histogram in sorted(self.histograms.items())
        }

    def render_text(self) -> str:
        """Return counters, and quantiles in seconds, a line each."""
        counters = [
            f'pistachiohook_{name}_total {value}'
            for name, value in sorted(self.counts.items())
        ]
        quantiles = [
            f'pistachiohook_{name}_seconds{{quantile="{quantile / 100:g}"}} '
            f'{histogram.get_value_at_percentile(quantile) / 1e6:.6f}'
            for name, histogram in sorted(self.histograms.items())
            for quantile in QUANTILES
        ]
        totals = [
            f'pistachiohook_{name}_seconds_count {histogram.get_total_count()}'
            for name, histogram in sorted(self.histograms.items())
        ]
        return '\n'.join([*counters, *quantiles, *totals, ''])
