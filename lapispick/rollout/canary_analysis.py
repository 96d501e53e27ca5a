"""Canary analysis: does a stage do worse than the rest of the fleet at the same time? No I/O and no clock.

In each slice of time the changed hosts of a kind (zone and machine type) are compared with hosts of the same kind that
run the old generation and are as warm. One difference a metric and slice goes into a sequential test
(``evidence.py``), less its mean before the change. There are three outcomes:

- worse: the evidence of some metric is over ``metrics * stages / alarm``. It is corrected for their number, so that
  all metrics of all stages together stop a good change with a chance of at most ``alarm``.
- good: every metric has evidence that it is worse by less than twice its margin, and the unchanged hosts did not get
  worse meanwhile. Where they did, the change may use more of a shared resource, and look better side by side.
- can't tell: everything else, also for want of data.

Only a difference counts, and only upwards: a store that collapses for all, a surge and cold caches decide nothing, and
unchanged hosts that do worse than changed ones never cause a rollback.
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
    """What a stage's metrics say."""

    WORSE = "worse"
    GOOD = "good"
    UNSURE = "can't tell"


class Bounds(msgspec.Struct, frozen=True):
    """What counts as worse. ``stages`` share the chance ``alarm`` of a false stop."""

    alarm: float = 0.05
    stages: int = 4
    worse: float = 0.02  # margin of a fraction of requests
    slower: float = 0.1  # margin of the answers slower than the unchanged hosts' median
    memory: float = 0.05  # margin of the memory limit
    runs: float = 0.05  # margin of executor runs per request
    false_good: float = 0.1  # chance that something worse by twice the margin passes as good, per metric
    memory_limit_kb: float = 192 * 1024.0

    def margin(self, metric: str) -> float:
        """Return the margin of a metric by its name, in the metric's own unit."""
        by_kind = {"slow": self.slower, "memory": self.memory, "runs": self.runs}
        return by_kind.get(metric.partition(" ")[0], self.worse)


class MetricResult(NamedTuple):
    """The result of the test of one metric."""

    metric: str
    slices: int
    mean: float  # how much worse the changed hosts were; below 0 they were better
    low: float
    high: float
    margin: float
    evidence: float  # that it is worse
    needed: float
    cleared: float  # evidence that it is worse by less than twice the margin
    unchanged_regression: float  # how much worse the unchanged hosts became


class Verdict(NamedTuple):
    """An outcome and its reason."""

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
    """Analyses one stage. ``kinds`` says for each host which others it may be compared with."""

    def __init__(self, bounds: Bounds, kinds: Mapping[str, object]) -> None:
        self.bounds = bounds
        self._kinds = dict(kinds)
        self._differences: dict[str, MetricDifference] = {}
        self._references: dict[str, ResponseTimes] = {}
        self._response_times: dict[str, dict[float, int]] = {}
        self._comparisons: dict[_ComparisonKey, GroupComparison] = {}

    # Slices.

    def add_baseline(self, changed: Iterable[str], unchanged: Iterable[str], slices: Mapping[str, Slice]) -> None:
        """Add a slice from before the change: what tells the two groups apart by themselves."""
        for slice_ in slices.values():
            for name, counts in slice_.classes.items():
                times = self._response_times.setdefault(name, {})
                for bound, count in counts.times.items():
                    times[bound] = times.get(bound, 0) + count
        self._update_references()
        self._add(list(changed), list(unchanged), slices, is_baseline=True)

    def add_canary(self, changed: Iterable[str], unchanged: Iterable[str], slices: Mapping[str, Slice]) -> None:
        """Add a slice with the change; only warm hosts may be in either group."""
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
        """Compare two halves of the unchanged hosts, always the same ones, to see how groups drift apart."""
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
        """Return the result of each metric so far."""
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
        radius = confidence_radius(count, total_variance, variance, self.bounds.alarm)
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
        """Return the evidence that one of so many metrics needs, over so many stages."""
        return max(1, len(self._differences)) * self.bounds.stages / self.bounds.alarm

    def verdict(self) -> Verdict:
        """Return what the metrics say so far; it may be asked at any time."""
        results = self.results()
        worse = _worse_reason(results)
        if worse:
            return Verdict(Outcome.WORSE, worse, results)
        unsure = self._unsure_reason(results)
        if unsure:
            return Verdict(Outcome.UNSURE, unsure, results)
        reason = f"none of {len(results)} figures is worse by more than twice its margin"
        return Verdict(Outcome.GOOD, reason, results)

    def _unsure_reason(self, results: Sequence[MetricResult]) -> str:
        if not results:
            return "there is nothing to compare with"
        for result in results:
            if result.unchanged_regression > result.margin:
                by = f"{result.unchanged_regression:.1%}"
                return f"{result.metric}: the boxes that stay as they are got worse by {by} meanwhile"
        needed = 1 / self.bounds.false_good
        open_results = [each for each in results if each.slices < MIN_SLICES or each.cleared < needed]
        if not open_results:
            return ""
        first = open_results[0]
        return (
            f"{first.metric}: {first.slices} slices, between {first.low:+.1%} and {first.high:+.1%}; "
            f"{len(open_results)} of {len(results)} figures can't be told"
        )


def _worse_reason(results: Sequence[MetricResult]) -> str:
    for result in sorted(results, key=lambda each: -each.evidence):
        if result.evidence >= result.needed and result.slices >= MIN_SLICES:
            return (
                f"{result.metric}: worse by {result.mean:.1%} over {result.slices} slices, "
                f"evidence {result.evidence:.3g} of {result.needed:.3g}"
            )
    return ""
