"""Aggregates requests record by record: the baseline for ``lapispick.trace.aggregation``, and its check.

It says what a summary means in the plainest way, keeps all it has seen, and is as slow as that makes it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from lapispick import admission
from lapispick.trace.aggregation import RETRY_MARGIN_MS, SourceInfo
from lapispick.trace.record_types import Answered, Arrival, Gap, Step
from lapispick.trace.summary import WINDOW_MS, RequestTotals


class _Request:
    def __init__(self, name: str, class_index: admission.ClassSettings, born: float) -> None:
        self.name, self.class_index, self.born = name, class_index, born
        self.until = born + max(class_index.idempotency_window_ms, class_index.deadline_ms) + RETRY_MARGIN_MS
        self.account, self.kind, self.age, self.poorer, self.tries = "", "", 0.0, False, 1


def fold(sources: list[SourceInfo], steps: Iterable[Step]) -> dict[str, Any]:
    """Return whole, classes, accounts, windows, grounds, waits and runs (sorted lists of ms) and gaps."""
    now, requests, tries, subjects = float("-inf"), [], {}, {}
    grounds: dict[str, int] = {}
    waits: dict[str, list[float]] = {}
    runs: dict[str, list[float]] = {}
    open_, came, gaps = set(), {}, 0
    for step in steps:
        source, box = sources[step.source_index], step.source_index
        now = max(now, step.now - source.offset - source.drift * (step.now - source.at) / 1000)
        arrived = {note.id: note for note in step.notes if type(note) is Arrival}

        def live(number: int, box: int = box, now: float = now) -> _Request | None:
            found = tries.get((box, number))
            return found if found is not None and found.until > now else None

        for event in step.events:
            kind = type(event)
            if kind is admission.RequestReceived:
                subject = arrived[event.id].subject if event.id in arrived else b""
                first = live(event.retry_of) if event.retry_of else None
                if first is None and subject and (first := subjects.get(subject)) and first.until <= now:
                    first = None
                if first is None:
                    first = _Request(*source.classes[event.class_index], now - event.age_ms)
                    requests.append(first)
                    if subject:
                        subjects[subject] = first
                else:
                    first.tries += 1
                tries[box, event.id] = first
                open_.add((box, event.id))
                came[box, event.id] = now
            elif kind is admission.ClientCancelled:
                open_.discard((box, event.id))
            elif kind is admission.RunCompleted and event.outcome <= admission.Outcome.OK and (found := live(event.id)):
                runs.setdefault(found.name, []).append(event.duration_ms)
        for note in step.notes:
            if type(note) is Arrival and (found := live(note.id)):
                found.account = found.account or note.account
            elif type(note) is Gap:
                gaps += note.steps
            elif type(note) is Answered and (found := live(note.id)) and (box, note.id) in open_:
                open_.discard((box, note.id))
                if found.kind != "served" and note.kind in ("served", "refused", "failed"):
                    found.kind, found.age = note.kind, now - found.born
        for action in step.actions:
            if type(action) is admission.StartRun and (found := live(action.id)) and (box, action.id) in came:
                waits.setdefault(found.name, []).append(now - came.pop((box, action.id)))
            elif type(action) is admission.SkipCall and (found := live(action.id)):
                found.poorer = True
            elif type(action) is admission.Reject:
                grounds[action.reason or "not told"] = grounds.get(action.reason or "not told", 0) + 1
    made: dict[str, Any] = {
        "whole": RequestTotals(),
        "classes": {},
        "accounts": {},
        "windows": {},
        "gaps": gaps,
        "grounds": dict(sorted(grounds.items())),
        "waits": waits,
        "runs": runs,
    }
    for one in requests:
        window = str(int(one.born // WINDOW_MS * WINDOW_MS))
        for into in (
            made["whole"],
            made["classes"].setdefault(one.name, RequestTotals()),
            made["accounts"].setdefault(one.account, RequestTotals()),
            made["windows"].setdefault(window, RequestTotals()),
        ):
            _count(into, one)
    return made


def _count(into: RequestTotals, one: _Request) -> None:
    served = one.kind == "served"
    in_aim = served and one.age <= one.class_index.latency_objective_ms
    into.requests += 1
    into.attempts += one.tries
    into.offered_weight += one.class_index.priority_weight
    if served:
        into.served_weight += (
            one.class_index.priority_weight
            * (1 if in_aim else one.class_index.late_weight)
            * (one.class_index.degraded_weight if one.poorer else 1)
        )
    into.within_objective += in_aim
    into.late += served and not in_aim
    into.degraded += served and one.poorer
    into.rejected += one.kind == "refused"
    into.failed += one.kind == "failed"
    into.unanswered += not one.kind
