"""The metrics of two groups of hosts in one slice, all so that more is worse. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from lapispick.rollout import metrics
from lapispick.rollout.metrics import ClassCounts, Slice

MIN_REQUESTS = 5  # of a class, asked of a group; fewer make no fraction
_NO_REQUESTS = ClassCounts(0, 0, 0, 0, 0.0, {})


class ResponseTimes(NamedTuple):
    """Reference response times of a class in ms: those of the unchanged hosts before the change."""

    median: float
    p99: float


class ValuePair(NamedTuple):
    """One metric of two groups."""

    first: float
    second: float


class ClassPair(NamedTuple):
    """One class's requests at two groups."""

    first: ClassCounts
    second: ClassCounts


class GroupComparison:
    """Compares two groups slice by slice.

    A class with few requests is collected until both groups have had enough of them. If its thin slices were left out
    instead, only those in which chance sent many would be compared.
    """

    def __init__(self, memory_limit_kb: float) -> None:
        self._memory_limit_kb = memory_limit_kb
        self._collected: dict[str, ClassPair] = {}

    def compare(
        self, first: Sequence[Slice], second: Sequence[Slice], references: dict[str, ResponseTimes]
    ) -> dict[str, ValuePair]:
        """Return the metrics that both groups have in a slice."""
        first_values = _host_values(first, self._memory_limit_kb)
        second_values = _host_values(second, self._memory_limit_kb)
        for name, pair in self._enough_requests(first, second).items():
            reference = references.get(name)
            first_values |= _class_values(name, pair.first, reference)
            second_values |= _class_values(name, pair.second, reference)
        common = first_values.keys() & second_values.keys()
        return {metric: ValuePair(first_values[metric], second_values[metric]) for metric in common}

    def _enough_requests(self, first: Sequence[Slice], second: Sequence[Slice]) -> dict[str, ClassPair]:
        """Return the classes with enough requests at both groups; the others are collected further."""
        first_classes = _merged_classes(first)
        second_classes = _merged_classes(second)
        found: dict[str, ClassPair] = {}
        for name in first_classes.keys() | second_classes.keys():
            collected = self._collected.pop(name, ClassPair(_NO_REQUESTS, _NO_REQUESTS))
            pair = ClassPair(
                metrics.add_counts((collected.first, first_classes.get(name, _NO_REQUESTS))),
                metrics.add_counts((collected.second, second_classes.get(name, _NO_REQUESTS))),
            )
            is_enough = min(pair.first.requests, pair.second.requests) >= MIN_REQUESTS
            (found if is_enough else self._collected)[name] = pair
        return found


def _merged_classes(group: Sequence[Slice]) -> dict[str, ClassCounts]:
    merged = metrics.merge_slices(group)
    return merged.classes if merged is not None else {}


def _class_values(name: str, counts: ClassCounts, reference: ResponseTimes | None) -> dict[str, float]:
    """Return the metrics of one class at a group of hosts."""
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
    """Return the metrics of a group of hosts that belong to no class."""
    merged = metrics.merge_slices(group)
    if merged is None:
        return {}
    values: dict[str, float] = {}
    served = sum(counts.requests - counts.rejected - counts.failed for counts in merged.classes.values())
    if served >= MIN_REQUESTS:  # per served request, as a host that rejects less runs more
        values["runs"] = merged.runs / served
    if merged.memory_kb:
        mean_kb = sum(slice_.memory_kb for slice_ in group) / len(group)
        values["memory"] = mean_kb / memory_limit_kb
    return values
