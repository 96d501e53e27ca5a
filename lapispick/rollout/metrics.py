"""Turns the metrics that hosts report into slices of time that can be compared. No I/O and no clock.

A slice is what one host did in a short span: requests by class, response times, memory. Counters start at 0 with each
process, so a slice in which another process came to serve is left out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

RESULTS = ("success", "busy", "failure")  # what the counters of a class are named after
OVERFLOW_BUCKET = "more"  # of response times beyond the largest bound
_ROUNDING = 1e-9


class Sample(msgspec.Struct, frozen=True):
    """All metrics of one process at one time."""

    at: float
    generation: str
    counts: dict[str, int]
    memory_kb: int = 0

    @property
    def broken_rules(self) -> int:
        """Return how often this process broke a rule."""
        return self.counts.get("broken", 0)


def decode_sample(lines: Iterable[str], at: float) -> Sample:
    """Read an answer to ``vars``; raises ``ValueError``."""
    counts: dict[str, int] = {}
    generation = ""
    memory_kb = 0
    for line in lines:
        if line == "END":
            return Sample(at, generation, counts, memory_kb)
        name, _, value = line.partition(":")
        number, _, metric_type = value.partition("|")
        if not number.isdecimal() or metric_type not in ("c", "g"):
            raise ValueError(f"{line[:60]!r} is no figure")
        name = name.removeprefix("app.")
        if name.startswith("generation."):
            generation = name.partition(".")[2]
        elif name == "memory_kb":
            memory_kb = int(number)
        elif metric_type == "c":
            counts[name] = int(number)
    raise ValueError("the figures have no END")


class ClassCounts(NamedTuple):
    """What became of one class's requests in a slice."""

    requests: int
    rejected: int
    failed: int
    late: int
    weight: float  # priority weight of the answers
    times: dict[float, int]  # upper bound of a bucket in ms -> answers


class Slice(NamedTuple):
    """What one host did in one span."""

    host: str
    duration_s: float
    classes: dict[str, ClassCounts]
    runs: int
    memory_kb: int


def slice_between(host: str, previous: Sample, current: Sample) -> Slice | None:
    """Return what happened between two samples; None where they are of two processes or not in order."""
    if current.at <= previous.at or current.generation != previous.generation:
        return None
    if any(current.counts.get(name, -1) < value for name, value in previous.counts.items()):
        return None
    change = {name: value - previous.counts.get(name, 0) for name, value in current.counts.items()}
    names = [name.removeprefix("success.") for name in change if name.startswith("success.")]
    classes = {name: _class_counts(name, change) for name in names}
    return Slice(host, current.at - previous.at, classes, change.get("backend_calls", 0), current.memory_kb)


def _class_counts(name: str, change: Mapping[str, int]) -> ClassCounts:
    succeeded, rejected, failed = (change.get(f"{result}.{name}", 0) for result in RESULTS)
    late = change.get(f"late.{name}", 0)
    weight = change.get(f"worth.{name}", 0) / 1000
    return ClassCounts(succeeded + rejected + failed, rejected, failed, late, weight, _response_times(name, change))


def _response_times(name: str, change: Mapping[str, int]) -> dict[float, int]:
    prefix = f"took.{name}."
    times: dict[float, int] = {}
    for key, value in change.items():
        if value and key.startswith(prefix):
            bound = key.removeprefix(prefix)
            times[float("inf") if bound == OVERFLOW_BUCKET else float(bound)] = value
    return times


def add_counts(counts: Sequence[ClassCounts]) -> ClassCounts:
    """Return several counts of a class as one."""
    times: dict[float, int] = {}
    for each in counts:
        for bound, count in each.times.items():
            times[bound] = times.get(bound, 0) + count
    return ClassCounts(
        requests=sum(each.requests for each in counts),
        rejected=sum(each.rejected for each in counts),
        failed=sum(each.failed for each in counts),
        late=sum(each.late for each in counts),
        weight=sum(each.weight for each in counts),
        times=times,
    )


def merge_slices(slices: Iterable[Slice], host: str = "") -> Slice | None:
    """Return several slices as one, as if one host had done it all; memory is the largest. None for none."""
    merged = list(slices)
    if not merged:
        return None
    names = {name for slice_ in merged for name in slice_.classes}
    classes = {
        name: add_counts([slice_.classes[name] for slice_ in merged if name in slice_.classes]) for name in names
    }
    return Slice(
        host,
        sum(slice_.duration_s for slice_ in merged) / len(merged),
        classes,
        sum(slice_.runs for slice_ in merged),
        max(slice_.memory_kb for slice_ in merged),
    )


def quantile(times: Mapping[float, int], fraction: float) -> float:
    """Return the upper bound, ms, of the bucket that holds this quantile of the answers; 0 for none.

    ``times`` has the number of answers by the upper bound of their bucket, ms; ``fraction`` is from 0 to 1.
    """
    total = sum(times.values())
    passed = 0
    for bound in sorted(times):
        passed += times[bound]
        if passed >= fraction * total - _ROUNDING:
            return bound
    return 0.0


def fraction_slower(times: Mapping[float, int], limit_ms: float) -> float:
    """Return the fraction of answers that took longer than a bound."""
    total = sum(times.values())
    return sum(count for bound, count in times.items() if bound > limit_ms) / total if total else 0.0
