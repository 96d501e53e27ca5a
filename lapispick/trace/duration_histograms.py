"""Histograms of durations by name, in bounded memory. No I/O."""

from __future__ import annotations

import numpy as np
from hdrh.histogram import HdrHistogram

from lapispick.trace.arrays import Array
from lapispick.trace.summary import Percentiles

MAX_DURATION_MS = 3_600_000  # longer durations are counted as this one
EXACT_BELOW_MS = 1 << 16  # shorter durations are counted in an array, which is faster than the histogram
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 100)


class DurationHistograms:
    """Distributions of durations by name."""

    def __init__(self) -> None:
        self._counts: dict[str, Array] = {}  # by ms, below ``EXACT_BELOW_MS``
        self._histograms: dict[str, HdrHistogram] = {}

    def add(self, name: str, durations: Array) -> None:
        """Add durations in ms to the distribution of a name."""
        rounded = np.clip(np.rint(durations), 1, MAX_DURATION_MS).astype(np.int64)
        counts = self._counts.setdefault(name, np.zeros(EXACT_BELOW_MS, np.int64))
        values, occurrences = np.unique(rounded[rounded < EXACT_BELOW_MS], return_counts=True)
        counts[values] += occurrences
        histogram = self._histograms.setdefault(name, HdrHistogram(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS))
        for duration in rounded[rounded >= EXACT_BELOW_MS].tolist():
            histogram.record_value(duration)

    def pop(self, name: str) -> Percentiles:
        """Return the percentiles for a name, and remove its distribution."""
        histogram = self._histograms.pop(name, None)
        if histogram is None:
            return Percentiles()
        counts = self._counts.pop(name)
        for duration in np.flatnonzero(counts).tolist():
            histogram.record_value(duration, int(counts[duration]))
        total = histogram.get_total_count()
        if not total:
            return Percentiles()
        return Percentiles(total, *(float(histogram.get_value_at_percentile(percentile)) for percentile in PERCENTILES))
