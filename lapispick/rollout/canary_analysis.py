"""Canary analysis: compares the changed hosts of a stage with unchanged hosts over the same time. No I/O and no clock.

In each slice of time the changed hosts of a kind (zone and machine type) are compared with warm hosts of the same kind
that run the old generation. Each slice adds one difference per metric to a sequential test (``evidence.py``), after
subtraction of the mean difference before the change. There are three outcomes:

- ``WORSE``: the evidence that some metric is worse reaches
  ``number of metrics * stage_count / false_alarm_probability``. This threshold is corrected for multiple testing: the
  probability that any metric in any stage stops a good change is at most ``false_alarm_probability``.
- ``GOOD``: every metric has evidence that it is worse by less than twice its margin, and the unchanged hosts did not
  get worse meanwhile. If they did, the change may use more of a shared resource at the expense of the unchanged
  hosts, and then looks better in the comparison than it is.
- ``INCONCLUSIVE``: all other cases, including too little data.

Only the difference between the groups counts, and only if the changed hosts are worse. So an outage of a store that
all hosts share, a load surge and cold caches decide nothing, and unchanged hosts that do worse than changed ones never
cause a rollback.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Sequence
from math import exp
from typing import NamedTuple

import msgspec

from lapispick.rollout import metrics
from lapispick.rollout.difference import MIN_SLICES, MetricDifference
from lapispick.rollout.evidence import confidence_radius, log_evidence
from lapispick.rollout.group_metrics import GroupComparison, ResponseTimes, ValuePair
from lapispick.rollout.metrics import Slice

MAX_BASELINE_SLICES = 200
_MAX_SHOWN_LOG_EVIDENCE = 300.0


class Outcome(enum.Enum):
    """Outcome of the analysis of a stage; the values are stored and shown."""

    WORSE = "worse"
    GOOD = "good"
    INCONCLUSIVE = "can't tell"


class AnalysisBounds(msgspec.Struct, frozen=True):
    """Tolerated differences, as margins of the metrics, and the accepted probabilities of a wrong outcome."""

    false_alarm_probability: float = 0.05  # probability that a good change is stopped, over all stages together
    stage_count: int = 4
    request_margin: float = 0.02  # margin of metrics that are a fraction of the requests
    slow_margin: float = 0.1  # of the fraction of answers slower than the reference median
    memory_margin: float = 0.05  # of the fraction of the memory limit
    runs_margin: float = 0.05  # of the executor runs per served request
    false_good_probability: float = 0.1  # probability that a metric worse by twice its margin passes as good
    memory_limit_kb: float = 192 * 1024.0

    def margin(self, metric: str) -> float:
        """Return the margin of a metric by its name, in the metric's own unit."""
        margins = {"slow": self.slow_margin, "memory": self.memory_margin, "runs": self.runs_margin}
        return margins.get(metric.partition(" ")[0], self.request_margin)


class MetricResult(NamedTuple):
    """Result of the test of one metric."""

    metric: str
    slices: int
    mean: float  # mean difference to the unchanged hosts; positive if the changed hosts were worse
    low: float  # confidence interval of the mean
    high: float
    margin: float
    evidence: float  # that the metric is worse by more than the margin
    needed: float  # evidence at which the stage counts as worse
    cleared: float  # evidence that the metric is worse by less than twice the margin
    unchanged_regression: float  # by how much the unchanged hosts got worse


class Verdict(NamedTuple):
    """Outcome of the analysis and its reason."""

    outcome: Outcome
    reason: str
    results: tuple[MetricResult, ...] = ()


class _WeightedPair(NamedTuple):
    weight: float
    values: ValuePair


class _ComparisonKey(NamedTuple):
    kind: object
    is_between_peers: bool
    is_baseline: bool


class CanaryAnalysis:
    """Canary analysis of one stage."""

    def __init__(self, bounds: AnalysisBounds, kinds: Mapping[str, object]) -> None:
        """``kinds`` maps each host to its kind; only hosts of the same kind are compared."""
        self.bounds = bounds
        self._kinds = dict(kinds)
        self._differences: dict[str, MetricDifference] = {}
        self._references: dict[str, ResponseTimes] = {}
        self._response_times: dict[str, dict[float, int]] = {}
        self._comparisons: dict[_ComparisonKey, GroupComparison] = {}

    # Slices.

    def add_baseline(self, changed: Iterable[str], unchanged: Iterable[str], slices: Mapping[str, Slice]) -> None:
        """Add a slice from before the change, which shows how the two groups differ without it."""
        for slice_ in slices.values():
            for name, counts in slice_.classes.items():
                times = self._response_times.setdefault(name, {})
                for bound, count in counts.times.items():
                    times[bound] = times.get(bound, 0) + count
        self._update_references()
        self._add(list(changed), list(unchanged), slices, is_baseline=True)

    def add_canary(self, changed: Iterable[str], unchanged: Iterable[str], slices: Mapping[str, Slice]) -> None:
        """Add a slice with the change; both groups must contain warm hosts only."""
        unchanged = list(unchanged)
        if not self._references:
            for slice_ in (slices[name] for name in unchanged if name in slices):
                for name, counts in slice_.classes.items():
                    self._response_times.setdefault(name, {}).update(counts.times)
            self._update_references()
        self._add(list(changed), unchanged, slices, is_baseline=False)

    def _update_references(self) -> None:
        self._references = {
            name: ResponseTimes(metrics.quantile(times, 0.5), metrics.quantile(times, 0.99))
            for name, times in self._response_times.items()
        }

    def _add(
        self, changed: Sequence[str], unchanged: Sequence[str], slices: Mapping[str, Slice], is_baseline: bool
    ) -> None:
        changed = [name for name in changed if name in slices]
        unchanged = [name for name in unchanged if name in slices]
        pairs: dict[str, list[_WeightedPair]] = {}
        for kind in {self._kinds.get(name) for name in changed} & {self._kinds.get(name) for name in unchanged}:
            changed_slices = [slices[name] for name in changed if self._kinds.get(name) == kind]
            unchanged_slices = [slices[name] for name in unchanged if self._kinds.get(name) == kind]
            key = _ComparisonKey(kind, is_between_peers=False, is_baseline=is_baseline)
            weight = float(len(changed_slices))
            for metric, values in self._compare(key, changed_slices, unchanged_slices).items():
                pairs.setdefault(metric, []).append(_WeightedPair(weight, values))
            self._add_peers(kind, unchanged_slices, is_baseline)
        for metric, weighted in pairs.items():
            self._add_difference(metric, weighted, is_baseline)

    def _compare(self, key: _ComparisonKey, first: list[Slice], second: list[Slice]) -> dict[str, ValuePair]:
        comparison = self._comparisons.setdefault(key, GroupComparison(self.bounds.memory_limit_kb))
        return comparison.compare(first, second, self._references)

    def _add_peers(self, kind: object, unchanged: list[Slice], is_baseline: bool) -> None:
        """Compare two fixed halves of the unchanged hosts to measure how groups drift apart without a change."""
        if len(unchanged) < 2:
            return
        ordered = sorted(unchanged, key=lambda slice_: slice_.host)
        key = _ComparisonKey(kind, is_between_peers=True, is_baseline=is_baseline)
        for metric, values in self._compare(key, ordered[::2], ordered[1::2]).items():
            difference = self._difference(metric)
            series = difference.peer_baseline if is_baseline else difference.peers
            series.add(values.first - values.second)

    def _difference(self, metric: str) -> MetricDifference:
        if metric not in self._differences:
            self._differences[metric] = MetricDifference(self.bounds.margin(metric))
        return self._differences[metric]

    def _add_difference(self, metric: str, pairs: list[_WeightedPair], is_baseline: bool) -> None:
        weight = sum(pair.weight for pair in pairs)
        changed = sum(pair.weight * pair.values.first for pair in pairs) / weight
        unchanged = sum(pair.weight * pair.values.second for pair in pairs) / weight
        difference = self._difference(metric)
        if not is_baseline:
            difference.canary.add(changed - unchanged)
            difference.unchanged.add(unchanged)
        elif difference.baseline.count < MAX_BASELINE_SLICES:
            difference.baseline.add(changed - unchanged)
            difference.unchanged_baseline.add(unchanged)

    # The verdict.

    def results(self) -> tuple[MetricResult, ...]:
        """Return the result of each metric from all slices so far."""
        return tuple(
            self._result(metric, difference)
            for metric, difference in sorted(self._differences.items())
            if difference.canary.count
        )

    def _result(self, metric: str, difference: MetricDifference) -> MetricResult:
        count = difference.canary.count
        total = difference.total
        total_variance = difference.total_variance
        variance = difference.variance
        mean = total / count
        radius = confidence_radius(count, total_variance, variance, self.bounds.false_alarm_probability)
        worse = log_evidence(total - count * difference.margin, total_variance, variance)
        cleared = log_evidence(2 * count * difference.margin - total, total_variance, variance)
        return MetricResult(
            metric=metric,
            slices=count,
            mean=mean,
            low=mean - radius,
            high=mean + radius,
            margin=difference.margin,
            evidence=exp(min(worse, _MAX_SHOWN_LOG_EVIDENCE)),
            needed=self._needed_evidence(),
            cleared=exp(min(cleared, _MAX_SHOWN_LOG_EVIDENCE)),
            unchanged_regression=difference.unchanged_regression,
        )

    def _needed_evidence(self) -> float:
        """Return the evidence at which a metric counts as worse, corrected for the number of metrics and stages."""
        test_count = max(1, len(self._differences)) * self.bounds.stage_count
        return test_count / self.bounds.false_alarm_probability

    def verdict(self) -> Verdict:
        """Return the verdict on all slices so far; it stays valid however often it is requested."""
        results = self.results()
        worse_reason = _worse_reason(results)
        if worse_reason:
            return Verdict(Outcome.WORSE, worse_reason, results)
        inconclusive_reason = self._inconclusive_reason(results)
        if inconclusive_reason:
            return Verdict(Outcome.INCONCLUSIVE, inconclusive_reason, results)
        reason = f"none of {len(results)} figures is worse by more than twice its margin"
        return Verdict(Outcome.GOOD, reason, results)

    def _inconclusive_reason(self, results: Sequence[MetricResult]) -> str:
        if not results:
            return "there is nothing to compare with"
        for result in results:
            if result.unchanged_regression > result.margin:
                regression = f"{result.unchanged_regression:.1%}"
                return f"{result.metric}: the boxes that stay as they are got worse by {regression} meanwhile"
        needed = 1 / self.bounds.false_good_probability
        inconclusive = [result for result in results if result.slices < MIN_SLICES or result.cleared < needed]
        if not inconclusive:
            return ""
        first = inconclusive[0]
        return (
            f"{first.metric}: {first.slices} slices, between {first.low:+.1%} and {first.high:+.1%}; "
            f"{len(inconclusive)} of {len(results)} figures can't be told"
        )


def _worse_reason(results: Sequence[MetricResult]) -> str:
    for result in sorted(results, key=lambda result: -result.evidence):
        if result.evidence >= result.needed and result.slices >= MIN_SLICES:
            return (
                f"{result.metric}: worse by {result.mean:.1%} over {result.slices} slices, "
                f"evidence {result.evidence:.3g} of {result.needed:.3g}"
            )
    return ""
