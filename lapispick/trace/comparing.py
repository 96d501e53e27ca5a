"""Two traces, or a trace and what the present module makes of it: where they part, and what that is worth. No I/O.

Only the first difference is sound. What follows tells what the decisions would have been in situations that may not
have come about; worth is estimated as if a run were worth what the recorded runs of its class were on average.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import zip_longest
from typing import Any

import msgspec

from lapispick import admission
from lapispick.trace.record_types import Step
from lapispick.trace.text_names import described_all

KNOWN_MOST = 200_000  # requests whose class is kept; far more than are ever open, so that memory has a bound
DECISIONS: dict[type, str] = {
    admission.StartRun: "run",
    admission.Reject: "refused",
    admission.Fail: "failed",
    admission.SkipCall: "poorer",
}


class Choice(msgspec.Struct):
    """What was decided for a class; ``worth`` is estimated from the first side's runs."""

    run: int = 0
    refused: int = 0
    failed: int = 0
    poorer: int = 0
    worth: float = 0.0


class Split(msgspec.Struct):
    """The first step in which two sides differ, from 1, and what each has there."""

    step: int
    now: float
    part: str  # now, box, events, actions or notes
    left: str
    right: str


class Decisions:
    """Counts decisions by class, on one side."""

    def __init__(self, names: Callable[[int, int], str]) -> None:
        self._names = names
        self._cls: dict[tuple[int, int], str] = {}
        self.made: dict[str, Choice] = {}
        self.grounds: Counter[str] = Counter()

    def add(self, step: Step, actions: Iterable[Any]) -> None:
        """Take a step's requests and what one side ordered in it."""
        for event in step.events:
            if type(event) is admission.RequestReceived:
                self._cls[step.box, event.id] = self._names(step.box, event.cls)
        for action in actions:
            name = DECISIONS.get(type(action))
            if name is None or (cls := self._cls.get((step.box, action.id))) is None:
                continue
            made = self.made.setdefault(cls, Choice())
            setattr(made, name, getattr(made, name) + 1)
            if type(action) is admission.Reject:
                self.grounds[action.reason or "not told"] += 1
            if type(action) in (admission.Reject, admission.Fail):
                del self._cls[step.box, action.id]
        if len(self._cls) > KNOWN_MOST:
            for key in list(self._cls)[: KNOWN_MOST // 2]:
                del self._cls[key]


def estimate(recorded: dict[str, Choice], other: dict[str, Choice], served: dict[str, float]) -> None:
    """Write the worth into both sides: ``served`` is the worth that the recorded runs of a class earned."""
    for name, choice in recorded.items():
        choice.worth = served.get(name, 0.0)
    for name, choice in other.items():
        had = recorded.get(name, Choice())
        choice.worth = served.get(name, 0.0) / had.run * choice.run if had.run else 0.0


def first_split(left: Iterable[Step], right: Iterable[Step], seen: Callable[[Step, Step], None]) -> Split | None:
    """Walk two traces step by step; return where they part first. ``seen`` gets every pair, blank where one ended."""
    split = None
    for number, (a, b) in enumerate(zip_longest(left, right), 1):
        seen(a or Step(0.0), b or Step(0.0))
        if split is None and a != b:
            split = _split(number, a, b)
    return split


def _split(number: int, a: Step | None, b: Step | None) -> Split:
    if a is None or b is None:
        return Split(
            number,
            (a or b).now,
            "end",
            "ended" if a is None else "goes on",  # type: ignore[union-attr]
            "ended" if b is None else "goes on",
        )
    part = next(name for name in Step._fields if getattr(a, name) != getattr(b, name))
    return Split(number, a.now, part, _shown(getattr(a, part)), _shown(getattr(b, part)))


def _shown(value: Any) -> str:
    return described_all(value) if isinstance(value, tuple) else repr(value)
