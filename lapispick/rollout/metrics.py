"""Converts the metrics that hosts report into comparable slices of time. No I/O and no clock.

A slice contains the metrics of one host over a short interval: requests by class, response times and memory. Counters
start at 0 in each process, so a slice in which a successor process took over is left out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

RESULT_COUNTERS = ("success", "busy", "failure")  # prefixes of the names of a class's counters
OVERFLOW_BUCKET = "more"  # of response times above the largest bound
_ROUNDING_TOLERANCE = 1e-9


class Sample(msgspec.Struct, frozen=True):
    """Metrics of one process at one time."""

    at: float  # seconds of a monotonic clock
    generation: str
    counts: dict[str, int]  # counter name -> value since the start of the process
    memory_kb: int = 0

    @property
    def broken_rules(self) -> int:
        """Return how many violations of its guarantees this process has counted."""
        return self.counts.get("broken", 0)


def decode_sample(lines: Iterable[str], at: float) -> Sample:
    """Decode an answer to ``vars``; raises ``ValueError`` if it is malformed."""
    counts: dict[str, int] = {}
    generation = ""
    memory_kb = 0
    for line in lines:
        if line == "END":
            return Sample(at, generation, counts, memory_kb)
        name, _, value = line.partition(":")
        number, _, metric_type = value.partition("|")
        if not number.isdecimal() or metric_type not in ("c", "g"):
            raise ValueError(f"invalid metric, expected NAME:VALUE|c or NAME:VALUE|g, got {line[:60]!r}")
        name = name.removeprefix("app.")
        if name.startswith("generation."):
            generation = name.partition(".")[2]
        elif name == "memory_kb":
            memory_kb = int(number)
        elif metric_type == "c":
            counts[name] = int(number)
    raise ValueError("the metrics are incomplete: the last line END is missing")


class ClassCounts(NamedTuple):
    """Requests of one class in a slice, by their result."""

    requests: int
    rejected: int
    failed: int
    late: int
    weight: float  # sum of the priority weights of the answers
    times: dict[float, int]  # upper bound of a response time bucket in ms -> number of answers


class Slice(NamedTuple):
    """Metrics of one host over one interval."""

    host: str
    duration_s: float
    classes: dict[str, ClassCounts]
    runs: int
    memory_kb: int


def slice_between(host: str, previous: Sample, current: Sample) -> Slice | None:
    """Return the slice between two samples; None if they are of two processes or not in order."""
    if current.at <= previous.at or current.generation != previous.generation:
        return None
    if any(current.counts.get(name, -1) < value for name, value in previous.counts.items()):
        return None
    change = {name: value - previous.counts.get(name, 0) for name, value in current.counts.items()}
    names = [name.removeprefix("success.") for name in change if name.startswith("success.")]
    classes = {name: _class_counts(name, change) for name in names}
    return Slice(host, current.at - previous.at, classes, change.get("backend_calls", 0), current.memory_kb)


def _class_counts(name: str, change: Mapping[str, int]) -> ClassCounts:
    succeeded, rejected, failed = (change.get(f"{result}.{name}", 0) for result in RESULT_COUNTERS)
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
    """Return the sum of several counts of one class."""
    times: dict[float, int] = {}
    for class_counts in counts:
        for bound, count in class_counts.times.items():
            times[bound] = times.get(bound, 0) + count
    return ClassCounts(
        requests=sum(class_counts.requests for class_counts in counts),
        rejected=sum(class_counts.rejected for class_counts in counts),
        failed=sum(class_counts.failed for class_counts in counts),
        late=sum(class_counts.late for class_counts in counts),
        weight=sum(class_counts.weight for class_counts in counts),
        times=times,
    )


def merge_slices(slices: Iterable[Slice], host: str = "") -> Slice | None:
    """Return several slices merged into one, with the largest memory and the mean duration; None if there are none."""
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
    """Return the upper bound in ms of the bucket that contains a quantile of the answers; 0 if there are none.

    ``times`` maps the upper bound of each bucket in ms to its number of answers; ``fraction`` is from 0 to 1.
    """
    total = sum(times.values())
    cumulative = 0
    for bound in sorted(times):
        cumulative += times[bound]
        if cumulative >= fraction * total - _ROUNDING_TOLERANCE:
            return bound
    return 0.0


def fraction_slower(times: Mapping[float, int], limit_ms: float) -> float:
    """Return the fraction of the answers that took longer than ``limit_ms``."""
    total = sum(times.values())
    return sum(count for bound, count in times.items() if bound > limit_ms) / total if total else 0.0
