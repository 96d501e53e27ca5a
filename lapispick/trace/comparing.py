"""Compares two traces, or a trace with a replay of it. No I/O.

Only the first difference is reliable, because other decisions at that step could have changed all later situations. The
priority weight is estimated as if each run had the average weight of the recorded runs of its class.
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

MAX_KNOWN_REQUESTS = 200_000  # whose class is stored; far more than are ever unanswered at a time
Decision = admission.StartRun | admission.Reject | admission.Fail | admission.SkipCall
_FINAL_DECISIONS = (admission.Reject, admission.Fail)


class ClassDecisions(msgspec.Struct):
    """Number of decisions for a class, by kind, and the priority weight estimated from the recorded runs."""

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
    """The first step that differs between two traces, and the content of the differing field on each side."""

    step: int  # counted from 1
    now: float
    field: str = msgspec.field(name="part")  # of ``Step``, by its name in text; ``end`` if one trace is longer
    left: str
    right: str


class DecisionCounter:
    """Counts the decisions in one trace or replay by class, and the rejections by reason."""

    def __init__(self, class_name: Callable[[int, int], str]) -> None:
        """``class_name`` returns the name of a class, given the indexes of its source and of the class."""
        self._class_name = class_name
        self._classes: dict[tuple[int, int], str] = {}  # names by source and request
        self.by_class: dict[str, ClassDecisions] = {}
        self.rejection_reasons: Counter[str] = Counter()

    def add(self, step: Step, actions: Iterable[admission.Action]) -> None:
        """Record the requests of a step, and count the decisions among the actions of one side."""
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
            self.rejection_reasons[action.reason or UNKNOWN_NAME] += 1
        if isinstance(action, _FINAL_DECISIONS):
            del self._classes[source_index, action.id]


def estimate_priority_weights(
    recorded: dict[str, ClassDecisions], other: dict[str, ClassDecisions], served: dict[str, float]
) -> None:
    """Estimate the priority weight on both sides; ``served`` is the served weight of the recorded runs by class."""
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
    """Compare two traces step by step and return the first difference, None if there is none.

    ``on_pair`` is called with every pair of steps, with an empty step where one trace has ended.
    """
    divergence = None
    for number, (left_step, right_step) in enumerate(zip_longest(left, right), 1):
        on_pair(left_step or Step(0.0), right_step or Step(0.0))
        if divergence is None and left_step != right_step:
            divergence = _divergence(number, left_step, right_step)
    return divergence


def _divergence(number: int, left_step: Step | None, right_step: Step | None) -> Divergence:
    if left_step is None or right_step is None:
        longer = left_step or right_step
        assert longer is not None
        left = "ended" if left_step is None else "goes on"
        right = "ended" if right_step is None else "goes on"
        return Divergence(number, longer.now, "end", left, right)
    field = next(name for name in Step._fields if getattr(left_step, name) != getattr(right_step, name))
    left, right = (_format(getattr(step, field)) for step in (left_step, right_step))
    return Divergence(number, left_step.now, step_field_name(field), left, right)


def _format(value: object) -> str:
    return format_records(value) if isinstance(value, tuple) else repr(value)
