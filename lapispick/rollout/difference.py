"""Differences of one metric between changed and unchanged hosts, one per slice. No I/O and no clock."""

from __future__ import annotations

from lapispick.rollout.evidence import Series, offset_inflation, pooled_variance

MIN_SLICES = 8  # of a metric; with fewer the metric is inconclusive
MIN_BASELINE_SLICES = 4  # of a metric before the change; with fewer its offset is unknown and the metric inconclusive
MARGIN_PER_MIN_DEVIATION = 4.0  # one slice resolves a metric no finer than a quarter of its margin
UNCHANGED_VARIANCE_FACTOR = 4.0  # over the variance of independent slices, as load and stores fluctuate in waves
# Squared standard score of the drift between unchanged hosts; only the drift beyond it inflates the variance.
USUAL_SQUARED_DRIFT_SCORE = 4.0
MAX_DRIFT_INFLATION = 16.0


class MetricDifference:
    """Differences of one metric before and after the change; positive if the changed hosts are worse."""

    def __init__(self, margin: float) -> None:
        self.margin = margin
        self.baseline = Series()
        self.canary = Series()
        self.unchanged_baseline = Series()  # values of the unchanged hosts themselves
        self.unchanged = Series()
        self.peer_baseline = Series()  # differences between two groups of unchanged hosts, which measure the drift
        self.peers = Series()

    @property
    def _variance_floor(self) -> float:
        return (self.margin / MARGIN_PER_MIN_DEVIATION) ** 2

    @property
    def variance(self) -> float:
        """Return the variance of one difference, at least a floor: equal values do not prove that it is zero.

        It is at least the variance before the change. Differences vary less where a metric saturates on all hosts, but
        the offset from before does not become more accurate by that.
        """
        variance = pooled_variance(self.baseline, self.canary, floor=self._variance_floor)
        return max(variance, pooled_variance(self.baseline))

    @property
    def total_variance(self) -> float:
        """Return the variance of the sum of the differences, inflated for the estimated offset and lasting drift.

        It is infinite with fewer than ``MIN_BASELINE_SLICES`` slices before the change.
        """
        if self.baseline.count < MIN_BASELINE_SLICES:
            return float("inf")
        inflation = offset_inflation(self.canary.count, self.baseline.count)
        return self.canary.count * self.variance * inflation * self._drift_inflation()

    def _drift_inflation(self) -> float:
        count = self.peers.count
        baseline_count = self.peer_baseline.count
        if min(count, baseline_count) < MIN_SLICES:
            return 1.0
        variance = pooled_variance(self.peers, self.peer_baseline, floor=self._variance_floor)
        drift = self.peers.total - count * self.peer_baseline.mean
        # If the groups do not drift, this is the square of a standard normal variable, which exceeds 4 once in twenty.
        squared_score = drift**2 / (count * variance * offset_inflation(count, baseline_count))
        return min(MAX_DRIFT_INFLATION, max(1.0, squared_score / USUAL_SQUARED_DRIFT_SCORE))

    @property
    def total(self) -> float:
        """Return the sum of the differences after subtraction of their mean before the change from each."""
        return self.canary.total - self.canary.count * self.baseline.mean

    @property
    def unchanged_regression(self) -> float:
        """Return by how much the unchanged hosts got worse beyond chance."""
        count = self.unchanged.count
        baseline_count = self.unchanged_baseline.count
        if min(count, baseline_count) < MIN_SLICES:
            return 0.0
        variance = pooled_variance(self.unchanged, self.unchanged_baseline)
        radius = 2 * (variance * UNCHANGED_VARIANCE_FACTOR * (1 / count + 1 / baseline_count)) ** 0.5
        return max(0.0, self.unchanged.mean - self.unchanged_baseline.mean - radius)
