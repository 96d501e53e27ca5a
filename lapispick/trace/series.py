"""Time series of a trace for plots: arrivals, answers and rejections in each interval. No I/O.

Memory use is bounded by the number of intervals, not by that of steps; long traces get longer intervals.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import msgspec
import numpy as np

from lapispick import admission
from lapispick.trace.arrays import Array
from lapispick.trace.block_reader import Block, Records
from lapispick.trace.record_types import SERVED, Answered, Arrival, ExternalEvent
from lapispick.trace.summary import UNKNOWN_NAME

MAX_INTERVALS = 1200  # in one plot; more could not be distinguished
MIN_INTERVAL_MS = 250.0
MAX_AGES = 1000  # samples for the median of an interval
SHUTDOWN_MARK = "leave"  # ``Mark.name`` of the shutdown of a host


class Mark(NamedTuple):
    """An external event, such as a drain or a reload, or the shutdown of a host."""

    time: float  # ms
    name: str  # kind of the external event, or ``SHUTDOWN_MARK``


class Sample(NamedTuple):
    """A value at a time."""

    time: float  # ms
    value: float


class Series(msgspec.Struct):
    """Counts by interval; times and durations are in ms. Other programs read the JSON form."""

    begin: float  # start of the first interval
    interval_ms: float = msgspec.field(name="span")
    arrived: list[int]
    answers: dict[str, list[int]]  # by kind: served, refused, failed
    rejection_reasons: dict[str, list[int]] = msgspec.field(name="grounds")  # rejected attempts by reason
    open_attempts: list[int] = msgspec.field(name="inflight")  # without an answer at the end of the interval
    served_ages: list[float] = msgspec.field(name="waits")  # median from arrival to served answer; 0 if there is none
    marks: list[Mark]
    concurrency_limit: list[float] = msgspec.field(default_factory=list, name="limit")  # if replayed
    occupancy_price: list[float] = msgspec.field(default_factory=list, name="price")


def interval_ms(first: float, last: float) -> float:
    """Return the length of an interval in a plot from ``first`` to ``last``, ms."""
    return max(MIN_INTERVAL_MS, (last - first) / MAX_INTERVALS)


class _Counts:
    """Counts by name and interval."""

    def __init__(self, interval_count: int) -> None:
        self._interval_count = interval_count
        self._by_name: dict[str, Array] = {}

    def add(self, name: str, intervals: Array) -> None:
        """Add one to the count of each of these intervals, as often as it occurs."""
        counts = self._by_name.setdefault(name, np.zeros(self._interval_count, np.int64))
        counts += np.bincount(intervals, minlength=self._interval_count)

    def add_by_value(self, records: Records, field: str, intervals: Array) -> None:
        """Count records by the value of a string field."""
        if not records.count:
            return
        indices = records.column(field)
        for index, value in enumerate(records.dictionary(field)):
            self.add(value.decode(errors="replace") or UNKNOWN_NAME, intervals[indices == index])

    def total(self) -> Array:
        """Return the sums of the counts over all names: shape (intervals,)."""
        return sum(self._by_name.values(), np.zeros(self._interval_count, np.int64))

    def lists(self) -> dict[str, list[int]]:
        """Return the counts by name."""
        return {name: counts.tolist() for name, counts in sorted(self._by_name.items())}


class _SeriesBuilder:
    """Builds a ``Series`` from blocks."""

    def __init__(self, first: float, last: float) -> None:
        self._first = first
        self._interval_ms = interval_ms(first, last)
        self._interval_count = int((last - first) // self._interval_ms) + 1
        self._arrived = _Counts(self._interval_count)
        self._answers = _Counts(self._interval_count)
        self._rejection_reasons = _Counts(self._interval_count)
        self._cancelled = _Counts(self._interval_count)
        self._ages: list[list[float]] = [[] for _ in range(self._interval_count)]
        self._marks: list[Mark] = []

    def add(self, block: Block, times: Array) -> None:
        """Add a block, given the times of its steps."""
        intervals = np.clip((times - self._first) // self._interval_ms, 0, self._interval_count - 1).astype(np.int64)

        def intervals_of(records: Records) -> Array:
            return intervals[records.step_positions]

        arrivals = block.records(Arrival)
        self._arrived.add("all", intervals_of(arrivals))
        cancellations = block.records(admission.ClientCancelled)
        self._cancelled.add("all", intervals_of(cancellations))
        answers = block.records(Answered)
        self._answers.add_by_value(answers, "kind", intervals_of(answers))
        rejections = block.records(admission.Reject)
        self._rejection_reasons.add_by_value(rejections, "reason", intervals_of(rejections))
        self._add_ages(answers, intervals_of(answers))
        self._add_marks(block, times)

    def build(self) -> Series:
        """Return the series."""
        arrived = self._arrived.total()
        ended = self._answers.total() + self._cancelled.total()
        return Series(
            begin=self._first,
            interval_ms=self._interval_ms,
            arrived=arrived.tolist(),
            answers=self._answers.lists(),
            rejection_reasons=self._rejection_reasons.lists(),
            open_attempts=np.maximum(0, np.cumsum(arrived - ended)).tolist(),
            served_ages=[float(np.median(ages)) if ages else 0.0 for ages in self._ages],
            marks=self._marks,
        )

    def _add_ages(self, answers: Records, intervals: Array) -> None:
        is_served = np.array([kind == SERVED.encode() for kind in answers.dictionary("kind")], np.bool_)
        served = is_served[answers.column("kind")]
        served_intervals = intervals[served]
        served_ages = answers.column("age_ms")[served]
        for interval in np.unique(served_intervals).tolist():
            ages = self._ages[interval]
            remaining = max(0, MAX_AGES - len(ages))
            ages += served_ages[served_intervals == interval][:remaining].tolist()

    def _add_marks(self, block: Block, times: Array) -> None:
        events = block.records(ExternalEvent)
        event_times = times[events.step_positions].tolist()
        self._marks += map(Mark, event_times, events.values("kind"))
        shutdowns = block.records(admission.ShutdownRequested)
        self._marks += [Mark(time, SHUTDOWN_MARK) for time in times[shutdowns.step_positions].tolist()]


def build_series(blocks: Iterable[tuple[Block, Array]], first: float, last: float) -> Series:
    """Return the series of blocks, each with the times of its steps (ms), from the first to the last time."""
    builder = _SeriesBuilder(first, last)
    for block, times in blocks:
        builder.add(block, times)
    return builder.build()


def resample(samples: Sequence[Sample], series: Series) -> list[float]:
    """Return the last sampled value up to the end of each interval; before the first sample, its value."""
    value = samples[0].value if samples else 0.0
    position = 0
    values: list[float] = []
    for interval in range(len(series.arrived)):
        end = series.begin + (interval + 1) * series.interval_ms
        while position < len(samples) and samples[position].time < end:
            value = samples[position].value
            position += 1
        values.append(value)
    return values
