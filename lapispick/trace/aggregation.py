"""Aggregates the blocks of traces into requests, and requests into a summary. No I/O.

A retry counts for the request that it repeats: the request is served if any of its attempts is, and its age is
measured from the creation of the first attempt. Records are processed by columns, a block at a time. Memory use is
proportional to the number of requests that are unanswered or may still be retried.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import numpy as np

from lapispick import admission
from lapispick.json_decoding import json_decoder
from lapispick.trace.arrays import Array
from lapispick.trace.block_reader import Block, Records
from lapispick.trace.duration_histograms import DurationHistograms
from lapispick.trace.record_types import Answered, Arrival, Gap
from lapispick.trace.request_answers import CancelledAttempts, add_answers
from lapispick.trace.request_table import FoundAttempts, RequestTable
from lapispick.trace.request_totals import TotalsCounter
from lapispick.trace.retry_linking import ReceivedAttempt, RetryLinker, subjects_of
from lapispick.trace.step_times import step_times
from lapispick.trace.summary import UNKNOWN_NAME, RequestTotals, Summary

if TYPE_CHECKING:
    from lapispick.trace import message_types

RETRY_MARGIN_MS = 30_000.0  # added to the idempotency window or deadline, for how long a request is kept for retries
DROP_DIVISOR = 4  # drop requests only once a quarter has expired, because dropping moves the remaining ones
WORST_WINDOWS = 5

_decode_settings = json_decoder(admission.Settings)


class SourceInfo(msgspec.Struct, frozen=True):
    """One incarnation of a host: its classes by number, and the correction of its clock, as in the file's header."""

    classes: tuple[tuple[str, admission.ClassSettings], ...]  # name and settings of each
    offset: float = 0.0  # ms that the clock is ahead at ``at``
    drift: float = 0.0  # ms that the clock gains per second
    at: float = 0.0  # ms, by the host's own clock


class _Classes:
    """The distinct classes of all sources."""

    def __init__(self, sources: Sequence[SourceInfo]) -> None:
        positions: dict[tuple[str, admission.ClassSettings], int] = {}
        # For each source, the positions of its classes among the distinct ones.
        self._by_source = [
            np.array([positions.setdefault(class_, len(positions)) for class_ in source.classes], np.int64)
            for source in sources
        ]
        self.names = [name for name, _ in positions]
        self.settings = [settings for _, settings in positions]

    def retention_ms(self) -> Array:
        """Return how long after its creation a request is kept for retries, ms, by class: shape (classes,)."""
        return np.array(
            [max(class_.idempotency_window_ms, class_.deadline_ms) + RETRY_MARGIN_MS for class_ in self.settings],
            np.float64,
        )

    def positions(self, source_index: Array, class_index: Array) -> Array:
        """Return the positions in ``names`` of classes that are given by source and class number.

        All arrays have shape (records,). Raises ``ValueError`` for a class number that the header does not list.
        """
        positions = np.zeros(len(class_index), np.int64)
        for source, source_positions in enumerate(self._by_source):
            in_source = source_index == source
            numbers = class_index[in_source]
            if len(numbers) and not 0 <= int(numbers.min()) <= int(numbers.max()) < len(source_positions):
                raise ValueError(
                    f"class number is not listed in the header: expected 0 <= number < {len(source_positions)}, "
                    f"got {int(numbers.min())} to {int(numbers.max())}"
                )
            positions[in_source] = source_positions[numbers]
        return positions


class _TimedRecords(NamedTuple):
    """Records of one type in a block, with their sources and times."""

    records: Records
    source_index: Array
    times: Array


class Aggregator:
    """Aggregates the blocks of a file, or of several files of one incarnation, which are added in order."""

    def __init__(self, sources: Sequence[SourceInfo]) -> None:
        self._classes = _Classes(sources)
        self._sources = sources
        self._table = RequestTable(len(sources), self._classes.retention_ms())
        self._linker = RetryLinker(self._table)
        self._totals = TotalsCounter(self._classes.names, self._classes.settings)
        self._accounts: dict[str, int] = {"": 0}
        self._queue_times = DurationHistograms()
        self._run_durations = DurationHistograms()
        self._now = -np.inf  # time of the last step, ms by the reference clock
        self._block_times: Array = np.zeros(0)  # of the steps of the current block
        by_class = {name: RequestTotals() for name in self._classes.names}
        self._summary = Summary(RequestTotals(), by_class, {}, {}, [], {}, {}, {})

    def add(self, block: Block) -> None:
        """Add one block; raises ``ValueError`` if its records contradict the header."""
        if not block.count:
            return
        source_index = block.source_index
        if int(source_index.min()) < 0 or int(source_index.max()) >= len(self._sources):
            raise ValueError(
                f"source is not listed in the header: expected 0 <= index < {len(self._sources)}, "
                f"got {int(source_index.min())} to {int(source_index.max())}"
            )
        self._block_times = self._corrected_times(block)
        self._add_requests(block)
        self._add_accounts(self._records(block, Arrival))
        self._add_starts(self._records(block, admission.StartRun))
        self._add_runs(self._records(block, admission.RunCompleted))
        self._add_degraded(self._records(block, admission.SkipCall))
        self._add_ends(block)
        self._add_rejections(block.records(admission.Reject))
        self._summary.lost_steps += int(block.records(Gap).column("steps").sum())
        self._now = float(self._block_times[-1])
        self._count_expired(self._now)

    def tracked_rows(self) -> int:
        """Return the number of requests, attempts and subjects in memory."""
        attempts = sum(attempts.size for attempts in self._table.attempts)
        return self._table.requests.size + attempts + len(self._linker)

    def finish(self) -> Summary:
        """Count the remaining requests and return the summary."""
        self._count_expired(np.inf)
        summary = self._summary
        windows = dict(sorted(summary.windows.items(), key=lambda item: int(item[0])))
        summary.windows = windows
        summary.accounts = dict(sorted(summary.accounts.items()))
        summary.rejection_reasons = dict(sorted(summary.rejection_reasons.items()))
        by_served_fraction = sorted(windows, key=lambda key: windows[key].served_weight / windows[key].offered_weight)
        summary.worst_windows = by_served_fraction[:WORST_WINDOWS]
        summary.queue_times = {name: self._queue_times.pop(name) for name in summary.classes}
        summary.run_durations = {name: self._run_durations.pop(name) for name in summary.classes}
        return summary

    def _corrected_times(self, block: Block) -> Array:
        """Return the times of a block's steps by the reference clock; those that would decrease are raised."""
        times = np.maximum.accumulate(step_times(self._sources, block))
        return np.maximum(times, self._now)

    def _records(self, block: Block, record_type: type) -> _TimedRecords:
        records = block.records(record_type)
        positions = records.step_positions
        return _TimedRecords(records, block.source_index[positions], self._block_times[positions])

    def _find_attempts(self, timed: _TimedRecords) -> FoundAttempts:
        return self._table.find_attempts(timed.records.column("id"), timed.source_index, timed.times)

    def _add_requests(self, block: Block) -> None:
        records, source_index, times = self._records(block, admission.RequestReceived)
        if not records.count:
            return
        ids = records.column("id")
        classes = self._classes.positions(source_index, records.column("class_index"))
        first = self._table.add(ids, source_index, times, records.column("age_ms"), classes)
        subjects = subjects_of(block, records, source_index)
        retries = records.column("retry_of").tolist()
        # Processed one by one, because an attempt may repeat another one of the same block.
        for row, (retry_of, subject) in enumerate(zip(retries, subjects, strict=True)):
            if retry_of or subject:
                attempt = ReceivedAttempt(source_index[row], ids[row], retry_of, subject, times[row], first + row)
                self._linker.link(attempt)

    def _add_accounts(self, arrivals: _TimedRecords) -> None:
        records = arrivals.records
        if not records.count:
            return
        names = [name.decode(errors="replace") for name in records.dictionary("account")]
        numbers = [self._accounts.setdefault(name, len(self._accounts)) for name in names]
        accounts = np.array(numbers, np.int64)[records.column("account")]
        request_rows = self._find_attempts(arrivals).request_rows
        account_of_request = self._table.requests["account"]
        sets_account = (request_rows >= 0) & (accounts > 0)
        sets_account[sets_account] = account_of_request[request_rows[sets_account]] == 0
        # In reverse order, so that the first account of a request overwrites later ones.
        account_of_request[request_rows[sets_account][::-1]] = accounts[sets_account][::-1]

    def _add_starts(self, starts: _TimedRecords) -> None:
        """Record the time from the arrival to the first start of each attempt."""
        if not starts.records.count:
            return
        found = self._find_attempts(starts)
        for source, record_rows, attempt_rows in found.by_source:
            attempts = self._table.attempts[source]
            waiting = attempts["waiting"][attempt_rows]
            started, first = np.unique(attempt_rows[waiting], return_index=True)
            starting_records = record_rows[waiting][first]
            attempts["waiting"][started] = False
            queue_times = starts.times[starting_records] - attempts["received_at"][started]
            self._add_durations(self._queue_times, found.request_rows[starting_records], queue_times)

    def _add_runs(self, runs: _TimedRecords) -> None:
        if not runs.records.count:
            return
        request_rows = self._find_attempts(runs).request_rows
        finished = (request_rows >= 0) & (runs.records.column("outcome") <= int(admission.Outcome.OK))
        durations = runs.records.column("duration_ms")[finished]
        self._add_durations(self._run_durations, request_rows[finished], durations)

    def _add_durations(self, histograms: DurationHistograms, request_rows: Array, durations: Array) -> None:
        class_index = self._table.requests["class_index"][request_rows]
        for class_ in np.unique(class_index).tolist():
            histograms.add(self._classes.names[class_], durations[class_index == class_])

    def _add_degraded(self, skipped_calls: _TimedRecords) -> None:
        if skipped_calls.records.count:
            request_rows = self._find_attempts(skipped_calls).request_rows
            self._table.requests["degraded"][request_rows[request_rows >= 0]] = True

    def _add_ends(self, block: Block) -> None:
        """Record answers and cancellations; an answer to an attempt that was cancelled before is ignored."""
        cancellations = self._records(block, admission.ClientCancelled)
        cancelled: dict[int, CancelledAttempts] = {}
        if cancellations.records.count:
            step_positions = cancellations.records.step_positions
            for source, record_rows, attempt_rows in self._find_attempts(cancellations).by_source:
                cancelled[source] = CancelledAttempts(attempt_rows, step_positions[record_rows])
        answers = self._records(block, Answered)
        if answers.records.count:
            add_answers(self._table, answers.records, answers.times, self._find_attempts(answers), cancelled)
        for source, (attempt_rows, _) in cancelled.items():
            self._table.attempts[source]["open"][attempt_rows] = False

    def _add_rejections(self, rejections: Records) -> None:
        if not rejections.count:
            return
        dictionary = rejections.dictionary("reason")
        counts = np.bincount(rejections.column("reason"), minlength=len(dictionary))
        reasons = self._summary.rejection_reasons
        for reason, count in zip(dictionary, counts.tolist(), strict=True):
            name = reason.decode(errors="replace") or UNKNOWN_NAME
            reasons[name] = reasons.get(name, 0) + count

    def _count_expired(self, now: float) -> None:
        """Count the oldest requests, which can't be retried any more, and drop them and their attempts."""
        requests = self._table.requests
        count = self._table.expired_count(now)
        if count < requests.size // DROP_DIVISOR and now < np.inf:
            return
        self._totals.add(self._summary, requests, count, list(self._accounts))
        self._table.drop(count)
        self._linker.remove_before(requests.first_index)


def source_info(source: message_types.Source) -> SourceInfo:
    """Return the classes and clock correction of a source in a file's header.

    Raises ``ValueError`` if its settings are invalid.
    """
    try:
        classes = _decode_settings(source.settings).classes
    except msgspec.MsgspecError as err:
        raise ValueError(f"invalid class settings in the header: {err}") from None
    names = list(source.classes) or [str(number) for number in range(len(classes))]
    return SourceInfo(tuple(zip(names, classes, strict=False)), source.offset, source.drift, source.at)


def summarise(sources: Iterable[message_types.Source], blocks: Iterable[Block]) -> Summary:
    """Return the summary of the blocks of a file, or of the files of one incarnation in their order."""
    aggregator = Aggregator([source_info(source) for source in sources])
    for block in blocks:
        aggregator.add(block)
    return aggregator.finish()
