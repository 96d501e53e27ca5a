"""The differences of one metric between changed and unchanged hosts, slice by slice. No I/O and no clock."""

from __future__ import annotations

from lapispick.rollout.evidence import Series, offset_inflation, pooled_variance

MIN_SLICES = 8  # of a metric; fewer decide nothing
MARGIN_RESOLUTION = 4.0  # one slice tells a metric no closer than this part of its margin
UNCHANGED_DRIFT = 4.0  # variance over that of independent slices: load and stores come in waves
# Drift of unchanged hosts among one another, over what independent slices show: only what is beyond the first counts.
USUAL_DRIFT = 4.0
MAX_DRIFT_INFLATION = 16.0


class MetricDifference:
    """One metric's differences before and after the change; above 0 the changed hosts are worse."""

    def __init__(self, margin: float) -> None:
        self.margin = margin
        self.baseline = Series()
        self.canary = Series()
        self.unchanged_baseline = Series()  # values of the unchanged hosts themselves
        self.unchanged = Series()
        self.peer_baseline = Series()  # unchanged hosts against unchanged hosts: how groups drift apart
        self.peers = Series()

    @property
    def _variance_floor(self) -> float:
        return (self.margin / MARGIN_RESOLUTION) ** 2

    @property
    def variance(self) -> float:
        """Return the variance of one difference; a floor applies, as equal values do not prove that there is none."""
        return pooled_variance(self.baseline, self.canary, floor=self._variance_floor)

    @property
    def total_variance(self) -> float:
        """Return the variance of the sum of the differences, with what the offset and lasting drifts add."""
        inflation = offset_inflation(self.canary.count, self.baseline.count)
        return self.canary.count * self.variance * inflation * self._drift_inflation()

    def _drift_inflation(self) -> float:
        count = self.peers.count
        baseline_count = self.peer_baseline.count
        if min(count, baseline_count) < MIN_SLICES:
            return 1.0
        variance = pooled_variance(self.peers, self.peer_baseline, floor=self._variance_floor)
        drift = self.peers.total - count * self.peer_baseline.mean
        # Without a drift of its own this is the square of a standard normal variable, over 4 once in twenty.
        squared_score = drift**2 / (count * variance * offset_inflation(count, baseline_count))
        return min(MAX_DRIFT_INFLATION, max(1.0, squared_score / USUAL_DRIFT))

    @property
    def total(self) -> float:
        """Return the sum of the differences, less the groups' mean difference before the change for each slice."""
        return self.canary.total - self.canary.count * self.baseline.mean

    @property
    def unchanged_regression(self) -> float:
        """Return by how much the unchanged hosts got worse, as far as it is more than chance."""
        count = self.unchanged.count
        baseline_count = self.unchanged_baseline.count
        if min(count, baseline_count) < MIN_SLICES:
            return 0.0
        variance = pooled_variance(self.unchanged, self.unchanged_baseline)
        reach = 2 * (variance * UNCHANGED_DRIFT * (1 / count + 1 / baseline_count)) ** 0.5
        return max(0.0, self.unchanged.mean - self.unchanged_baseline.mean - reach)
