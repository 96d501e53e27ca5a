"""Compares two traces, or a trace with a replay of it. No I/O.

Only the first difference is reliable: what follows would have been decided in situations that might not have come
about. The weight is estimated as if each run had the average weight of the recorded runs of its class.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import zip_longest

import msgspec

from lapispick import admission
from lapispick.trace.record_types import Step
from lapispick.trace.summary import UNKNOWN_NAME
from lapispick.trace.text_names import format_records, step_field_name

MAX_KNOWN_REQUESTS = 200_000  # whose class is stored; far more than are ever open
Decision = admission.StartRun | admission.Reject | admission.Fail | admission.SkipCall
_FINAL = (admission.Reject, admission.Fail)


class ClassDecisions(msgspec.Struct):
    """How often each decision was made for a class; the weight is estimated from the first side's runs."""

    runs: int = msgspec.field(default=0, name="run")
    rejected: int = msgspec.field(default=0, name="refused")
    failed: int = 0
    degraded: int = msgspec.field(default=0, name="poorer")
    priority_weight: float = msgspec.field(default=0.0, name="worth")

    def count(self, decision: Decision) -> None:
        """Count a decision."""
        if isinstance(decision, admission.StartRun):
            self.runs += 1
        elif isinstance(decision, admission.Reject):
            self.rejected += 1
        elif isinstance(decision, admission.Fail):
            self.failed += 1
        else:
            self.degraded += 1


class Divergence(msgspec.Struct):
    """The first step in which two sides differ, from 1, and what each has there."""

    step: int
    now: float
    field: str = msgspec.field(name="part")  # of a step, by its name in text; ``end`` where one trace is longer
    left: str
    right: str


class Decisions:
    """Counts decisions by class, on one side."""

    def __init__(self, class_name: Callable[[int, int], str]) -> None:
        """``class_name`` returns the name of a source's class."""
        self._class_name = class_name
        self._classes: dict[tuple[int, int], str] = {}  # by source and request
        self.by_class: dict[str, ClassDecisions] = {}
        self.reasons: Counter[str] = Counter()

    def add(self, step: Step, actions: Iterable[admission.Action]) -> None:
        """Add a step's requests and what one side ordered in it."""
        for event in step.events:
            if type(event) is admission.RequestReceived:
                self._classes[step.source_index, event.id] = self._class_name(step.source_index, event.class_index)
        for action in actions:
            if isinstance(action, Decision):
                self._count(step.source_index, action)
        if len(self._classes) > MAX_KNOWN_REQUESTS:
            for key in list(self._classes)[: MAX_KNOWN_REQUESTS // 2]:
                del self._classes[key]

    def _count(self, source_index: int, action: Decision) -> None:
        name = self._classes.get((source_index, action.id))
        if name is None:
            return
        self.by_class.setdefault(name, ClassDecisions()).count(action)
        if isinstance(action, admission.Reject):
            self.reasons[action.reason or UNKNOWN_NAME] += 1
        if isinstance(action, _FINAL):
            del self._classes[source_index, action.id]


def estimate(recorded: dict[str, ClassDecisions], other: dict[str, ClassDecisions], served: dict[str, float]) -> None:
    """Set the weight on both sides; ``served`` is what the recorded runs of each class earned."""
    for name, decisions in recorded.items():
        decisions.priority_weight = served.get(name, 0.0)
    for name, decisions in other.items():
        recorded_runs = recorded.get(name, ClassDecisions()).runs
        if recorded_runs:
            decisions.priority_weight = served.get(name, 0.0) / recorded_runs * decisions.runs
        else:
            decisions.priority_weight = 0.0


def first_divergence(
    left: Iterable[Step], right: Iterable[Step], on_pair: Callable[[Step, Step], None]
) -> Divergence | None:
    """Walk two traces step by step; return where they first differ.

    ``on_pair`` gets every pair of steps, an empty step where one trace has ended.
    """
    found = None
    for number, (one, two) in enumerate(zip_longest(left, right), 1):
        on_pair(one or Step(0.0), two or Step(0.0))
        if found is None and one != two:
            found = _divergence(number, one, two)
    return found


def _divergence(number: int, one: Step | None, two: Step | None) -> Divergence:
    if one is None or two is None:
        longer = one or two
        assert longer is not None
        left = "ended" if one is None else "goes on"
        right = "ended" if two is None else "goes on"
        return Divergence(number, longer.now, "end", left, right)
    field = next(name for name in Step._fields if getattr(one, name) != getattr(two, name))
    left, right = (_format(getattr(step, field)) for step in (one, two))
    return Divergence(number, one.now, step_field_name(field), left, right)


def _format(value: object) -> str:
    return format_records(value) if isinstance(value, tuple) else repr(value)
