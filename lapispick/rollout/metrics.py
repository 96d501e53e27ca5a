"""From the figures that boxes tell to slices that can be compared. No I/O and no clock.

A slice is what one box did in a short span: counts by class, times to answer, memory. Counts start at 0 with each
process, so a slice in which another process came to serve is left out; the judge has that from the agent's state.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

KINDS = ("success", "busy", "failure")
MORE = "more"  # the bucket of times beyond the largest bound


class Told(msgspec.Struct, frozen=True):
    """All figures of one process at one time."""

    at: float
    generation: str
    counts: dict[str, int]
    memory_kb: int = 0

    @property
    def broken(self) -> int:
        """Return how often this process broke a rule."""
        return self.counts.get("broken", 0)


def read(lines: Iterable[str], at: float) -> Told:
    """Read an answer to ``vars``; raises ``ValueError``."""
    counts, generation, memory, ended = dict[str, int](), "", 0, False
    for line in lines:
        if line == "END":
            ended = True
            break
        name, _, value = line.partition(":")
        number, _, kind = value.partition("|")
        if not number.isdecimal() or kind not in ("c", "g"):
            raise ValueError(f"{line[:60]!r} is no figure")
        name = name.removeprefix("app.")
        if name.startswith("generation."):
            generation = name.partition(".")[2]
        elif name == "memory_kb":
            memory = int(number)
        elif kind == "c":
            counts[name] = int(number)
    if not ended:
        raise ValueError("the figures have no END")
    return Told(at, generation, counts, memory)


class Class(NamedTuple):
    """What became of one class's requests in a slice."""

    asked: int
    refused: int
    failed: int
    late: int
    worth: float
    times: dict[float, int]  # ms, the bucket's bound -> answers


class Slice(NamedTuple):
    """What one box did in one span."""

    box: str
    span: float
    classes: dict[str, Class]
    runs: int
    memory_kb: int


def sliced(box: str, was: Told, now: Told) -> Slice | None:
    """Return what came between two tellings; None where another process tells, or nothing can be read of it."""
    if (
        now.at <= was.at
        or now.generation != was.generation
        or any(now.counts.get(name, -1) < value for name, value in was.counts.items())
    ):
        return None
    change = {name: value - was.counts.get(name, 0) for name, value in now.counts.items()}
    classes = {}
    for name in change:
        if name.startswith("success."):
            classes[name[8:]] = _class(name[8:], change)
    return Slice(box, now.at - was.at, classes, change.get("backend_calls", 0), now.memory_kb)


def _class(name: str, change: Mapping[str, int]) -> Class:
    counts = [change.get(f"{kind}.{name}", 0) for kind in KINDS]
    times, head = dict[float, int](), f"took.{name}."
    for key, value in change.items():
        if value and key.startswith(head):
            bound = key[len(head) :]
            times[float("inf") if bound == MORE else float(bound)] = value
    late, worth = change.get(f"late.{name}", 0), change.get(f"worth.{name}", 0) / 1000
    return Class(sum(counts), counts[1], counts[2], late, worth, times)


def joined(parts: Sequence[Class]) -> Class:
    """Return several counts of a class as one."""
    times: dict[float, int] = {}
    for part in parts:
        for bound, count in part.times.items():
            times[bound] = times.get(bound, 0) + count
    return Class(*(sum(part[at] for part in parts) for at in range(5)), times)  # type: ignore[arg-type]


def merged(slices: Iterable[Slice]) -> Slice | None:
    """Return several slices as one, as if one box had done it all; memory is the worst."""
    held = list(slices)
    if not held:
        return None
    classes: dict[str, Class] = {}
    for name in {name for each in held for name in each.classes}:
        classes[name] = joined([each.classes[name] for each in held if name in each.classes])
    return Slice(
        "",
        sum(each.span for each in held) / len(held),
        classes,
        sum(each.runs for each in held),
        max(each.memory_kb for each in held),
    )


def quantile(times: Mapping[float, int], part: float) -> float:
    """Return the bound of the bucket in which this part of the answers lies; 0 for none."""
    total, passed = sum(times.values()), 0
    for bound in sorted(times):
        passed += times[bound]
        if passed >= part * total - 1e-9:
            return bound
    return 0.0


def slower(times: Mapping[float, int], than: float) -> float:
    """Return the share of answers that took longer than a bound."""
    total = sum(times.values())
    return sum(count for bound, count in times.items() if bound > than) / total if total else 0.0
