"""Metrics of two groups of hosts in one slice; a higher value is always worse. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from lapispick.rollout import metrics
from lapispick.rollout.metrics import ClassCounts, Slice

MIN_REQUESTS = 5  # of a class per group; with fewer no fraction is computed
_NO_REQUESTS = ClassCounts(0, 0, 0, 0, 0.0, {})


class ResponseTimes(NamedTuple):
    """Reference response times of a class in ms, from hosts that run the old generation."""

    median: float
    p99: float


class ValuePair(NamedTuple):
    """Value of one metric in two groups."""

    first: float
    second: float


class ClassPair(NamedTuple):
    """Requests of one class in two groups."""

    first: ClassCounts
    second: ClassCounts


class GroupComparison:
    """Comparison of two groups of hosts, slice by slice.

    The requests of a class with little traffic are accumulated over slices until both groups have enough of them. If
    slices with few requests were left out instead, only slices that have many by chance would be compared.
    """

    def __init__(self, memory_limit_kb: float) -> None:
        self._memory_limit_kb = memory_limit_kb
        self._accumulated: dict[str, ClassPair] = {}

    def compare(
        self, first: Sequence[Slice], second: Sequence[Slice], references: dict[str, ResponseTimes]
    ) -> dict[str, ValuePair]:
        """Return the metrics of a slice for which both groups have a value."""
        first_values = _host_values(first, self._memory_limit_kb)
        second_values = _host_values(second, self._memory_limit_kb)
        for name, pair in self._classes_with_enough_requests(first, second).items():
            reference = references.get(name)
            first_values |= _class_values(name, pair.first, reference)
            second_values |= _class_values(name, pair.second, reference)
        common = first_values.keys() & second_values.keys()
        return {metric: ValuePair(first_values[metric], second_values[metric]) for metric in common}

    def _classes_with_enough_requests(self, first: Sequence[Slice], second: Sequence[Slice]) -> dict[str, ClassPair]:
        """Return the classes with enough requests in both groups and accumulate the requests of the others."""
        first_classes = _merged_classes(first)
        second_classes = _merged_classes(second)
        complete: dict[str, ClassPair] = {}
        for name in first_classes.keys() | second_classes.keys():
            earlier = self._accumulated.pop(name, ClassPair(_NO_REQUESTS, _NO_REQUESTS))
            pair = ClassPair(
                metrics.add_counts((earlier.first, first_classes.get(name, _NO_REQUESTS))),
                metrics.add_counts((earlier.second, second_classes.get(name, _NO_REQUESTS))),
            )
            is_enough = min(pair.first.requests, pair.second.requests) >= MIN_REQUESTS
            (complete if is_enough else self._accumulated)[name] = pair
        return complete


def _merged_classes(group: Sequence[Slice]) -> dict[str, ClassCounts]:
    merged = metrics.merge_slices(group)
    return merged.classes if merged is not None else {}


def _class_values(name: str, counts: ClassCounts, reference: ResponseTimes | None) -> dict[str, float]:
    """Return the metrics of one class in a group of hosts."""
    values = {
        f"unserved {name}": (counts.rejected + counts.failed) / counts.requests,
        f"failed {name}": counts.failed / counts.requests,
        f"late {name}": counts.late / counts.requests,
    }
    if counts.times and reference is not None and reference.median:
        values[f"slow {name}"] = metrics.fraction_slower(counts.times, reference.median)
        values[f"tail {name}"] = metrics.fraction_slower(counts.times, reference.p99)
    return values


def _host_values(group: Sequence[Slice], memory_limit_kb: float) -> dict[str, float]:
    """Return the metrics of a group of hosts that are not per class."""
    merged = metrics.merge_slices(group)
    if merged is None:
        return {}
    values: dict[str, float] = {}
    served = sum(counts.requests - counts.rejected - counts.failed for counts in merged.classes.values())
    if served >= MIN_REQUESTS:  # runs per served request, as a host that rejects fewer requests starts more runs
        values["runs"] = merged.runs / served
    if merged.memory_kb:
        mean_kb = sum(slice_.memory_kb for slice_ in group) / len(group)
        values["memory"] = mean_kb / memory_limit_kb
    return values
