"""A trace over time: what was asked and decided in each span, for plots. No I/O.

Memory follows the time that a trace covers, not what happened in it; long traces get longer spans.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import numpy as np

from lapispick import admission
from lapispick.trace.record_types import Answered, Arrival, Happened
from lapispick.trace.records import Block

POINTS_MOST = 1200  # spans of one plot; more are not seen
SPAN_LEAST = 250.0  # ms
KEPT_MOST = 1000  # ages that a span's median is taken of


class Series(msgspec.Struct):
    """Counts by span; ``begin`` is the first one's first ms, ``span`` their length in ms."""

    begin: float
    span: float
    arrived: list[int]
    answers: dict[str, list[int]]  # by served, refused, failed
    grounds: dict[str, list[int]]  # refused tries
    inflight: list[int]  # tries without an answer at the end of the span
    waits: list[float]  # from coming to the box to the final answer of what was served, median, ms; 0 where none was
    marks: list[tuple[float, str]]  # what operators did and when a box left
    limit: list[float] = []  # of the module, where it could be replayed
    price: list[float] = []


def span_of(first: float, last: float) -> float:
    """Return the span in ms for a plot from first to last."""
    return max(SPAN_LEAST, (last - first) / POINTS_MOST)


class _Rows:
    def __init__(self, count: int) -> None:
        self._count = count
        self.made: dict[str, Any] = {}

    def add(self, name: str, at: Any) -> None:
        """Count these spans under a name."""
        held = self.made.setdefault(name, np.zeros(self._count, np.int64))
        held += np.bincount(at, minlength=self._count)

    def lists(self) -> dict[str, list[int]]:
        """Return the counts by name."""
        return {name: held.tolist() for name, held in sorted(self.made.items())}


def series(blocks: Iterable[tuple[Block, Any]], first: float, last: float) -> Series:
    """Return what blocks and the times of their steps (ms) tell between the first and the last."""
    span = span_of(first, last)
    count = int((last - first) // span) + 1
    came, answers, grounds, gone = _Rows(count), _Rows(count), _Rows(count), _Rows(count)
    marks: list[tuple[float, str]] = []
    ages: list[list[float]] = [[] for _ in range(count)]

    def at(times: Any) -> Any:
        return np.clip((times - first) // span, 0, count - 1).astype(np.int64)

    for block, times in blocks:
        rows = block.rows(Arrival)
        came.add("all", at(times[rows.steps]))
        rows = block.rows(admission.ClientCancelled)
        gone.add("all", at(times[rows.steps]))
        _by_word(block.rows(Answered), "kind", answers, at, times)
        _by_word(block.rows(admission.Reject), "reason", grounds, at, times)
        rows = block.rows(Answered)
        served = np.array([word == b"served" for word in rows.words("kind")], np.bool_)[rows.column("kind")]
        spans, held = at(times[rows.steps])[served], rows.column("age")[served]
        for place in np.unique(spans).tolist():
            room = KEPT_MOST - len(ages[place])
            ages[place] += held[spans == place][: max(0, room)].tolist()
        rows = block.rows(Happened)
        marks += zip(times[rows.steps].tolist(), rows.values("what"), strict=True)
        marks += [(time, "leave") for time in times[block.rows(admission.ShutdownRequested).steps].tolist()]
    arrived = came.made.get("all", np.zeros(count, np.int64))
    ended = sum(answers.made.values(), gone.made.get("all", np.zeros(count, np.int64)))
    return Series(
        first,
        span,
        arrived.tolist(),
        answers.lists(),
        grounds.lists(),
        np.maximum(0, np.cumsum(arrived - ended)).tolist(),
        [float(np.median(held)) if held else 0.0 for held in ages],
        marks,
    )


def _by_word(rows: Any, field: str, into: _Rows, at: Any, times: Any) -> None:
    if rows.count:
        spans, places = at(times[rows.steps]), rows.column(field)
        for place, word in enumerate(rows.words(field)):
            into.add(word.decode(errors="replace") or "not told", spans[places == place])


def sampled(points: Sequence[tuple[float, float]], made: Series) -> list[float]:
    """Return the last value in each span of what was sampled at times; before the first, the first."""
    held, at, out = points[0][1] if points else 0.0, 0, []
    for n in range(len(made.arrived)):
        until = made.begin + (n + 1) * made.span
        while at < len(points) and points[at][0] < until:
            held, at = points[at][1], at + 1
        out.append(held)
    return out
