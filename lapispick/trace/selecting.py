"""Selects the records of a cut: by time, and by the class, account and outcome of requests. No I/O.

A step is kept until the outcomes of all its attempts are known, at most for little more than the longest deadline. So
memory use depends on the number of open attempts and not on the length of the trace. An attempt that spans an edge of
the window is marked, selected with all its records or left out, as the ``EdgePolicy`` says.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from lapispick import admission
from lapispick.trace.record_types import Answered, Arrival, SpansBoundary, Step

if TYPE_CHECKING:
    from lapispick.trace.record_types import Note, Record

    R = TypeVar("R", bound=Record)

LATE_ANSWER_MS = 1000.0  # added to the longest deadline: an answer may be late, and its note comes one step later
NO_ANSWER = "gone"  # the outcome of an attempt without an answer
RETENTION_HORIZONS = 2  # attempts are kept for this many times ``Selector._horizon_ms``
_END_RECORD_TYPES = (Answered, admission.ClientCancelled)  # records that end an attempt


class EdgePolicy(enum.StrEnum):
    """Treatment of attempts that span an edge of the window; the values are options of ``trace cut``."""

    MARK = "mark"
    COMPLETE = "whole"  # select all their records, also those outside the window
    DROP = "drop"


class Selection(NamedTuple):
    """Criteria of a cut; an empty set selects all."""

    since: float = float("-inf")  # start of the window, ms, inclusive
    until: float = float("inf")  # end of the window, ms, exclusive
    classes: frozenset[str] = frozenset()
    accounts: frozenset[str] = frozenset()
    outcomes: frozenset[str] = frozenset()
    edges: EdgePolicy = EdgePolicy.MARK

    @property
    def by_request(self) -> bool:
        """Return True if requests are selected by class, account or outcome."""
        return bool(self.classes or self.accounts or self.outcomes)

    def includes(self, now: float) -> bool:
        """Return True if a time is within the window."""
        return self.since <= now < self.until


class _Attempt:
    """State of an attempt, from the records read so far."""

    __slots__ = (
        "account",
        "class_name",
        "ended_inside",
        "first_seen_at",
        "has_records_inside",
        "outcome",
        "starts_with_request",
    )

    def __init__(self, first_seen_at: float, starts_with_request: bool) -> None:
        self.first_seen_at = first_seen_at
        self.starts_with_request = starts_with_request  # False: it began before the first step that was read
        self.has_records_inside = False  # inside the window
        self.ended_inside = False
        self.class_name = ""
        self.account = ""
        self.outcome = ""


AttemptId = tuple[int, int]  # index of the source, and id of the request


class _PendingStep(NamedTuple):
    """A step that is kept until the outcomes of its attempts are known."""

    now: float
    step: Step
    attempts: list[AttemptId]


class _SpannedEdges(NamedTuple):
    """The edges of the window that an attempt spans."""

    began_before: bool
    ends_after: bool


def _attempt_id(step: Step, record: Record) -> AttemptId | None:
    """Return the attempt that a record belongs to, None if it belongs to none."""
    number = getattr(record, "id", None)
    return None if number is None else (step.source_index, number)


class Selector:
    """Yields the selected steps and records, from the steps in and around a window in order."""

    def __init__(
        self,
        selection: Selection,
        class_name: Callable[[int, int], str],
        deadline_ms: float,
        step_time: Callable[[Step], float],
    ) -> None:
        """``class_name`` returns the name of a class, given the indexes of its source and of the class.

        ``step_time`` returns the time of a step in ms.
        """
        self._selection = selection
        self._class_name = class_name
        self._step_time = step_time
        self._horizon_ms = deadline_ms + LATE_ANSWER_MS
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._pending: deque[_PendingStep] = deque()
        self._marked: set[AttemptId] = set()

    @property
    def margin_ms(self) -> float:
        """Return how far beyond the window steps must be read, ms."""
        selection = self._selection
        return self._horizon_ms if selection.edges is EdgePolicy.COMPLETE or selection.by_request else 0.0

    def run(self, steps: Iterable[Step]) -> Iterator[Step]:
        """Yield the selected steps, each with its selected records only."""
        for step in steps:
            now = self._step_time(step)
            self._add(now, step)
            while self._pending and self._is_oldest_decidable(now):
                yield from self._select(self._pending.popleft())
        while self._pending:
            yield from self._select(self._pending.popleft())

    def _add(self, now: float, step: Step) -> None:
        """Update the attempts of a step from its records, and append the step to the pending ones."""
        inside = self._selection.includes(now)
        attempts: list[AttemptId] = []
        for records in (step.events, step.notes, step.actions):
            for record in records:
                attempt_id = _attempt_id(step, record)
                if attempt_id is not None:
                    attempts.append(attempt_id)
                    self._update_attempt(now, step, record, attempt_id, inside)
        self._pending.append(_PendingStep(now, step, attempts))

    def _update_attempt(self, now: float, step: Step, record: Record, attempt_id: AttemptId, inside: bool) -> None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            attempt = self._attempts[attempt_id] = _Attempt(now, isinstance(record, admission.RequestReceived))
        attempt.has_records_inside |= inside
        if isinstance(record, admission.RequestReceived):
            attempt.class_name = self._class_name(step.source_index, record.class_index)
        elif isinstance(record, Arrival):
            attempt.account = record.account
        elif isinstance(record, _END_RECORD_TYPES) and not attempt.outcome:
            attempt.outcome = record.kind if isinstance(record, Answered) else NO_ANSWER
            attempt.ended_inside = inside

    def _is_oldest_decidable(self, now: float) -> bool:
        """Return True if the outcomes of the oldest pending step's attempts are known or can't follow any more."""
        oldest = self._pending[0]
        if now - oldest.now > self._horizon_ms:
            return True
        return all(self._attempts[attempt_id].outcome for attempt_id in oldest.attempts if attempt_id in self._attempts)

    def _matches(self, attempt: _Attempt | None) -> bool:
        """Return True if an attempt meets the criteria other than time."""
        selection = self._selection
        if attempt is None:
            return not selection.by_request
        if selection.classes and attempt.class_name not in selection.classes:
            return False
        if selection.accounts and attempt.account not in selection.accounts:
            return False
        return not selection.outcomes or (attempt.outcome or NO_ANSWER) in selection.outcomes

    def _spanned_edges(self, attempt: _Attempt) -> _SpannedEdges:
        began_before = not attempt.starts_with_request or attempt.first_seen_at < self._selection.since
        return _SpannedEdges(
            began_before and attempt.has_records_inside, attempt.has_records_inside and not attempt.ended_inside
        )

    def _is_selected(self, attempt_id: AttemptId | None, inside: bool) -> bool:
        """Return True if a record of this attempt is selected; None stands for a record without an attempt."""
        selection = self._selection
        if attempt_id is None:
            return inside and not selection.by_request
        attempt = self._attempts.get(attempt_id)
        if not self._matches(attempt):
            return False
        if attempt is None or selection.edges is EdgePolicy.MARK:
            return inside
        if selection.edges is EdgePolicy.COMPLETE:
            return attempt.has_records_inside
        return inside and not any(self._spanned_edges(attempt))

    def _select(self, pending: _PendingStep) -> Iterator[Step]:
        step = pending.step
        inside = self._selection.includes(pending.now)
        events = self._selected_records(step, step.events, inside)
        actions = self._selected_records(step, step.actions, inside)
        notes: tuple[Note, ...] = self._selected_records(step, step.notes, inside)
        marks_edges = inside and self._selection.edges is EdgePolicy.MARK
        if marks_edges:
            notes += self._edge_marks(pending.attempts)
        keeps_empty = marks_edges and not self._selection.by_request
        if keeps_empty or events or actions or notes:
            yield step._replace(events=events, actions=actions, notes=notes)
        self._remove_expired_attempts(pending.now)

    def _selected_records(self, step: Step, records: tuple[R, ...], inside: bool) -> tuple[R, ...]:
        """Return the selected ones among records of a step."""
        return tuple(record for record in records if self._is_selected(_attempt_id(step, record), inside))

    def _edge_marks(self, attempts: list[AttemptId]) -> tuple[SpansBoundary, ...]:
        """Return a mark for each attempt that spans an edge and is not marked yet."""
        marks: list[SpansBoundary] = []
        for attempt_id in dict.fromkeys(attempts):
            attempt = self._attempts.get(attempt_id)
            if attempt is None or attempt_id in self._marked or not self._matches(attempt):
                continue
            edges = self._spanned_edges(attempt)
            if any(edges):
                self._marked.add(attempt_id)
                marks.append(SpansBoundary(attempt_id[1], edges.began_before, edges.ends_after))
        return tuple(marks)

    def _remove_expired_attempts(self, now: float) -> None:
        """Remove attempts for which no more records can follow; the dict is in the order of their first records."""
        while self._attempts:
            attempt_id, attempt = next(iter(self._attempts.items()))
            if now - attempt.first_seen_at <= RETENTION_HORIZONS * self._horizon_ms:
                break
            del self._attempts[attempt_id]
            self._marked.discard(attempt_id)
