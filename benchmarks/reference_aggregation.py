"""Reference implementation of ``lapispick.trace.aggregation``, to check and to benchmark it.

It processes one step at a time and keeps every request in memory. It is slow, but its code defines the meaning of a
summary in the simplest way.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterable
from typing import Any

from lapispick import admission
from lapispick.trace.aggregation import RETRY_MARGIN_MS, SourceInfo
from lapispick.trace.record_types import FAILED, REJECTED, SERVED, Answered, Arrival, Gap, Step
from lapispick.trace.summary import UNKNOWN_NAME, WINDOW_MS, RequestTotals

AttemptId = tuple[int, int]  # index of the source, and id of the request at that source


@dataclasses.dataclass
class ReferenceSummary:
    """Summary of the outcomes of requests; durations are in ms, as recorded."""

    total: RequestTotals = dataclasses.field(default_factory=RequestTotals)
    classes: dict[str, RequestTotals] = dataclasses.field(default_factory=dict)
    accounts: dict[str, RequestTotals] = dataclasses.field(default_factory=dict)
    windows: dict[str, RequestTotals] = dataclasses.field(default_factory=dict)
    rejection_reasons: Counter[str] = dataclasses.field(default_factory=Counter)
    queue_times: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    run_durations: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    lost_steps: int = 0


class _Request:
    """State of a request over all its attempts."""

    def __init__(self, class_name: str, settings: admission.ClassSettings, born_at: float) -> None:
        self.class_name = class_name
        self.settings = settings
        self.born_at = born_at
        retry_window_ms = max(settings.idempotency_window_ms, settings.deadline_ms) + RETRY_MARGIN_MS
        self.expires_at = born_at + retry_window_ms
        self.account = ""
        self.answer = ""
        self.age_ms = 0.0
        self.degraded = False
        self.attempts = 1


class _Aggregator:
    """Aggregator to which steps are added in order."""

    def __init__(self, sources: list[SourceInfo]) -> None:
        self._sources = sources
        self._now = float("-inf")  # ms, corrected for the clock of the source
        self._requests: list[_Request] = []
        self._by_attempt: dict[AttemptId, _Request] = {}
        self._by_subject: dict[bytes, _Request] = {}
        self._open_attempts: set[AttemptId] = set()
        self._received_at: dict[AttemptId, float] = {}  # only attempts whose run has not started
        self._summary = ReferenceSummary()

    def add(self, step: Step) -> None:
        """Add the events, notes and actions of a step."""
        source = self._sources[step.source_index]
        corrected = step.now - source.offset - source.drift * (step.now - source.at) / 1000
        self._now = max(self._now, corrected)
        subjects = {note.id: note.subject for note in step.notes if type(note) is Arrival}
        for event in step.events:
            self._add_event(step.source_index, event, subjects)
        for note in step.notes:
            self._add_note(step.source_index, note)
        for action in step.actions:
            self._add_action(step.source_index, action)

    def finish(self) -> ReferenceSummary:
        """Return the summary of all steps that were added."""
        summary = self._summary
        for request in self._requests:
            window = str(int(request.born_at // WINDOW_MS * WINDOW_MS))
            _add_request(summary.total, request)
            _add_request(summary.classes.setdefault(request.class_name, RequestTotals()), request)
            _add_request(summary.accounts.setdefault(request.account, RequestTotals()), request)
            _add_request(summary.windows.setdefault(window, RequestTotals()), request)
        return summary

    def _find(self, attempt: AttemptId) -> _Request | None:
        request = self._by_attempt.get(attempt)
        return request if request is not None and request.expires_at > self._now else None

    def _add_event(self, source_index: int, event: Any, subjects: dict[int, bytes]) -> None:
        kind = type(event)
        if kind is admission.RequestReceived:
            self._add_attempt(source_index, event, subjects.get(event.id, b""))
        elif kind is admission.ClientCancelled:
            self._open_attempts.discard((source_index, event.id))
        elif kind is admission.RunCompleted and event.outcome <= admission.Outcome.OK:
            request = self._find((source_index, event.id))
            if request is not None:
                durations = self._summary.run_durations.setdefault(request.class_name, [])
                durations.append(event.duration_ms)

    def _add_attempt(self, source_index: int, event: admission.RequestReceived, subject: bytes) -> None:
        request = self._find((source_index, event.retry_of)) if event.retry_of else None
        if request is None and subject:
            request = self._by_subject.get(subject)
            if request is not None and request.expires_at <= self._now:
                request = None
        if request is None:
            name, settings = self._sources[source_index].classes[event.class_index]
            request = _Request(name, settings, self._now - event.age_ms)
            self._requests.append(request)
            if subject:
                self._by_subject[subject] = request
        else:
            request.attempts += 1
        attempt = (source_index, event.id)
        self._by_attempt[attempt] = request
        self._open_attempts.add(attempt)
        self._received_at[attempt] = self._now

    def _add_note(self, source_index: int, note: Any) -> None:
        if type(note) is Gap:
            self._summary.lost_steps += note.steps
        elif type(note) is Arrival:
            request = self._find((source_index, note.id))
            if request is not None:
                request.account = request.account or note.account
        elif type(note) is Answered:
            self._add_answer((source_index, note.id), note.kind)

    def _add_answer(self, attempt: AttemptId, answer: str) -> None:
        request = self._find(attempt)
        if request is None or attempt not in self._open_attempts:
            return
        self._open_attempts.discard(attempt)
        if request.answer != SERVED and answer in (SERVED, REJECTED, FAILED):
            request.answer = answer
            request.age_ms = self._now - request.born_at

    def _add_action(self, source_index: int, action: Any) -> None:
        kind = type(action)
        if kind is admission.Reject:
            self._summary.rejection_reasons[action.reason or UNKNOWN_NAME] += 1
        if kind not in (admission.StartRun, admission.SkipCall):
            return
        attempt = (source_index, action.id)
        request = self._find(attempt)
        if request is None:
            return
        if kind is admission.SkipCall:
            request.degraded = True
        elif attempt in self._received_at:
            queue_times = self._summary.queue_times.setdefault(request.class_name, [])
            queue_times.append(self._now - self._received_at.pop(attempt))


def aggregate(sources: list[SourceInfo], steps: Iterable[Step]) -> ReferenceSummary:
    """Return the summary of steps."""
    aggregator = _Aggregator(sources)
    for step in steps:
        aggregator.add(step)
    return aggregator.finish()


def _add_request(totals: RequestTotals, request: _Request) -> None:
    settings = request.settings
    served = request.answer == SERVED
    within_objective = served and request.age_ms <= settings.latency_objective_ms
    totals.requests += 1
    totals.attempts += request.attempts
    totals.offered_weight += settings.priority_weight
    if served:
        late_factor = 1 if within_objective else settings.late_weight
        degraded_factor = settings.degraded_weight if request.degraded else 1
        totals.served_weight += settings.priority_weight * late_factor * degraded_factor
    totals.within_objective += within_objective
    totals.late += served and not within_objective
    totals.degraded += served and request.degraded
    totals.rejected += request.answer == REJECTED
    totals.failed += request.answer == FAILED
    totals.unanswered += not request.answer
