"""Counters, gauges and histograms of one process."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from hdrh.histogram import HdrHistogram

#: Smallest and largest value that a histogram records, in microseconds; other
#: values are recorded as the nearer of the two.
HISTOGRAM_RANGE_US = (1, 3_600_000_000)

#: Precision of a histogram, in significant decimal digits.
HISTOGRAM_DIGITS = 2

#: Quantiles of each histogram in the text format, in percent.
QUANTILES = (50.0, 90.0, 99.0, 99.9)


@attrs.define
class Metrics:
    """Counters, gauges and histograms of durations, by name.

    :param counts: value of each counter
    :param histograms: histogram of each kind of duration, in microseconds
    :param gauges: function that returns the value of each gauge
    """

    counts: Counter[str] = attrs.field(factory=Counter)
    histograms: dict[str, HdrHistogram] = attrs.field(factory=dict)
    gauges: dict[str, Callable[[], float]] = attrs.field(factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self.counts[name] += amount

    def record_duration(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram of that name."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = _create_histogram()
        low, high = HISTOGRAM_RANGE_US
        histogram.record_value(min(high, max(low, int(seconds * 1e6))))

    def encode_histograms(self) -> dict[str, str]:
        """Return each histogram in the encoding of HdrHistogram, as text."""
        return {
            name: histogram.encode().decode('ascii')
            for name, histogram in sorted(self.histograms.items())
        }

    def render_text(self) -> str:
        """Return the metrics in the text format of Prometheus.

        Quantiles are in seconds.
        """
        counters = [
            f'pistachiohook_{name}_total {value}'
            for name, value in sorted(self.counts.items())
        ]
        gauges = [
            f'pistachiohook_{name} {read()}'
            for name, read in sorted(self.gauges.items())
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
        return '\n'.join([*counters, *gauges, *quantiles, *totals, ''])


def _create_histogram() -> HdrHistogram:
    # Processes that record no duration start sooner without it.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(*HISTOGRAM_RANGE_US, HISTOGRAM_DIGITS)
