"""Selects the records of a cut: by time, and by the class, account and outcome of requests. No I/O.

A step waits until the outcomes of all its attempts are known, which the longest deadline bounds; so memory follows
what is open and not the length of the trace. An attempt that spans an edge of the window is marked, selected with all
its records or left out, by the ``EdgePolicy``.
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

LATE_ANSWER_MS = 1000.0  # beyond the longest deadline: an answer may be late, and its note comes a step later
NO_ANSWER = "gone"  # the outcome of an attempt without an answer
MEMORY_HORIZONS = 2  # an attempt is forgotten after so many horizons
_ENDS = (Answered, admission.ClientCancelled)  # the records that end an attempt


class EdgePolicy(enum.StrEnum):
    """What becomes of attempts that span an edge of the window; the values are options of ``trace cut``."""

    MARK = "mark"
    COMPLETE = "whole"  # select all their records
    DROP = "drop"


class Selection(NamedTuple):
    """What a cut selects; an empty set stands for all."""

    since: float = float("-inf")  # ms; the window begins here
    until: float = float("inf")  # ms; the window ends before
    classes: frozenset[str] = frozenset()
    accounts: frozenset[str] = frozenset()
    outcomes: frozenset[str] = frozenset()
    edges: EdgePolicy = EdgePolicy.MARK

    @property
    def by_request(self) -> bool:
        """Tell whether requests are selected by more than time."""
        return bool(self.classes or self.accounts or self.outcomes)

    def includes(self, now: float) -> bool:
        """Tell whether a time is within the window."""
        return self.since <= now < self.until


class _Attempt:
    """What is known of an attempt so far."""

    __slots__ = ("account", "class_name", "ended_inside", "inside", "outcome", "since", "starts_with_request")

    def __init__(self, since: float, starts_with_request: bool) -> None:
        self.since = since
        self.starts_with_request = starts_with_request  # else it began before the first step that was read
        self.inside = False  # any record of it is within the window
        self.ended_inside = False
        self.class_name = ""
        self.account = ""
        self.outcome = ""


AttemptId = tuple[int, int]  # index of the source, and number of the request


class _PendingStep(NamedTuple):
    """A step whose attempts are not all known to have ended."""

    now: float
    step: Step
    attempts: list[AttemptId]


class _Edges(NamedTuple):
    """Which edges of the window an attempt spans."""

    began_before: bool
    ends_after: bool


def _attempt_id(step: Step, record: Record) -> AttemptId | None:
    """Return the attempt that a record belongs to."""
    number = getattr(record, "id", None)
    return None if number is None else (step.source_index, number)


class Selector:
    """Takes the steps around a window, in order, and yields what is selected."""

    def __init__(
        self,
        selection: Selection,
        class_name: Callable[[int, int], str],
        deadline_ms: float,
        step_time: Callable[[Step], float],
    ) -> None:
        """``class_name`` returns the name of a source's class, ``step_time`` the time of a step in ms."""
        self._selection = selection
        self._class_name = class_name
        self._step_time = step_time
        self._horizon_ms = deadline_ms + LATE_ANSWER_MS
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._pending: deque[_PendingStep] = deque()
        self._marked: set[AttemptId] = set()

    @property
    def margin(self) -> float:
        """Return how far beyond the window steps are needed, ms."""
        selection = self._selection
        return self._horizon_ms if selection.edges is EdgePolicy.COMPLETE or selection.by_request else 0.0

    def run(self, steps: Iterable[Step]) -> Iterator[Step]:
        """Yield the steps that are selected, with the selected records of them."""
        for step in steps:
            now = self._step_time(step)
            self._add(now, step)
            while self._pending and self._is_decidable(now):
                yield from self._select(self._pending.popleft())
        while self._pending:
            yield from self._select(self._pending.popleft())

    def _add(self, now: float, step: Step) -> None:
        """Note what the records of a step say of their attempts."""
        inside = self._selection.includes(now)
        attempts: list[AttemptId] = []
        for records in (step.events, step.notes, step.actions):
            for record in records:
                attempt_id = _attempt_id(step, record)
                if attempt_id is not None:
                    attempts.append(attempt_id)
                    self._note(now, step, record, attempt_id, inside)
        self._pending.append(_PendingStep(now, step, attempts))

    def _note(self, now: float, step: Step, record: Record, attempt_id: AttemptId, inside: bool) -> None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            attempt = self._attempts[attempt_id] = _Attempt(now, isinstance(record, admission.RequestReceived))
        attempt.inside |= inside
        if isinstance(record, admission.RequestReceived):
            attempt.class_name = self._class_name(step.source_index, record.class_index)
        elif isinstance(record, Arrival):
            attempt.account = record.account
        elif isinstance(record, _ENDS) and not attempt.outcome:
            attempt.outcome = record.kind if isinstance(record, Answered) else NO_ANSWER
            attempt.ended_inside = inside

    def _is_decidable(self, now: float) -> bool:
        """Tell whether the outcomes of the oldest pending step are known, or none can come any more."""
        oldest = self._pending[0]
        if now - oldest.now > self._horizon_ms:
            return True
        return all(self._attempts[each].outcome for each in oldest.attempts if each in self._attempts)

    def _matches(self, attempt: _Attempt | None) -> bool:
        """Tell whether an attempt is one of those that are selected, whenever it was."""
        selection = self._selection
        if attempt is None:
            return not selection.by_request
        if selection.classes and attempt.class_name not in selection.classes:
            return False
        if selection.accounts and attempt.account not in selection.accounts:
            return False
        return not selection.outcomes or (attempt.outcome or NO_ANSWER) in selection.outcomes

    def _edges(self, attempt: _Attempt) -> _Edges:
        began_before = not attempt.starts_with_request or attempt.since < self._selection.since
        return _Edges(began_before and attempt.inside, attempt.inside and not attempt.ended_inside)

    def _is_selected(self, attempt_id: AttemptId | None, inside: bool) -> bool:
        """Tell whether a record of an attempt, or of none, is selected."""
        selection = self._selection
        if attempt_id is None:
            return inside and not selection.by_request
        attempt = self._attempts.get(attempt_id)
        if not self._matches(attempt):
            return False
        if attempt is None or selection.edges is EdgePolicy.MARK:
            return inside
        if selection.edges is EdgePolicy.COMPLETE:
            return attempt.inside
        return inside and not any(self._edges(attempt))

    def _select(self, pending: _PendingStep) -> Iterator[Step]:
        step = pending.step
        inside = self._selection.includes(pending.now)
        events = self._selected(step, step.events, inside)
        actions = self._selected(step, step.actions, inside)
        notes: tuple[Note, ...] = self._selected(step, step.notes, inside)
        marks_edges = inside and self._selection.edges is EdgePolicy.MARK
        if marks_edges:
            notes += self._edge_marks(pending.attempts)
        keeps_empty = marks_edges and not self._selection.by_request
        if keeps_empty or events or actions or notes:
            yield step._replace(events=events, actions=actions, notes=notes)
        self._forget(pending.now)

    def _selected(self, step: Step, records: tuple[R, ...], inside: bool) -> tuple[R, ...]:
        """Return the records of a step that are selected."""
        return tuple(record for record in records if self._is_selected(_attempt_id(step, record), inside))

    def _edge_marks(self, attempts: list[AttemptId]) -> tuple[SpansBoundary, ...]:
        """Return a note for each attempt that spans an edge and has none yet."""
        marks: list[SpansBoundary] = []
        for attempt_id in dict.fromkeys(attempts):
            attempt = self._attempts.get(attempt_id)
            if attempt is None or attempt_id in self._marked or not self._matches(attempt):
                continue
            edges = self._edges(attempt)
            if any(edges):
                self._marked.add(attempt_id)
                marks.append(SpansBoundary(attempt_id[1], edges.began_before, edges.ends_after))
        return tuple(marks)

    def _forget(self, now: float) -> None:
        """Forget attempts of which no record can come any more; dicts keep the order of arrival."""
        while self._attempts:
            attempt_id, attempt = next(iter(self._attempts.items()))
            if now - attempt.since <= MEMORY_HORIZONS * self._horizon_ms:
                break
            del self._attempts[attempt_id]
            self._marked.discard(attempt_id)
