"""Feeds a trace to the present module on its own clock and compares what it orders. No I/O.

This is open-loop: what the module orders now does not change what happened then. With another module only
the first difference is sound; what follows says what it would do in situations that it may not have got into.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec

from lapispick import admission
from lapispick.admission.controller import Controller
from lapispick.trace.record_types import Gap, Happened, Step
from lapispick.trace.text_names import record_name


class Difference(NamedTuple):
    """The first step whose actions differ."""

    number: int
    now: float
    recorded: tuple[Any, ...]
    replayed: tuple[Any, ...]


@dataclasses.dataclass
class Result:
    """What a replay found; actions are counted by kind."""

    steps: int = 0
    differing: int = 0
    first: Difference | None = None
    gaps: int = 0  # steps that were not recorded; behind one nothing can be compared
    recorded: Counter[str] = dataclasses.field(default_factory=Counter)
    replayed: Counter[str] = dataclasses.field(default_factory=Counter)


def replay(
    settings: bytes,
    seed: int,
    module_now: float,
    steps: Iterable[Step],
    seen: Callable[[Step, tuple[Any, ...], Controller], None] | None = None,
) -> Result:
    """Run the module over the steps of one incarnation from its first on; ends at a gap.

    ``seen`` gets each step, what the module orders now, and the module.
    """
    control = Controller(msgspec.json.decode(settings, type=admission.Settings), seed, module_now)
    made = Result()
    for step in steps:
        if gap := sum(note.steps for note in step.notes if type(note) is Gap):
            made.gaps += gap
            break
        for note in step.notes:
            if type(note) is Happened and note.what == "adopted":  # from the process before it, in an upgrade
                control.adopt(msgspec.json.decode(note.told, type=admission.LearnedEstimates))
        if not step.events and not step.actions and made.steps:
            continue  # notes only
        got = tuple(control.step(step.now, list(step.events)))
        made.steps += 1
        made.recorded.update(record_name(type(a)) for a in step.actions)
        made.replayed.update(record_name(type(a)) for a in got)
        if seen is not None:
            seen(step, got, control)
        if got != step.actions:
            made.differing += 1
            made.first = made.first or Difference(made.steps, step.now, step.actions, got)
    return made
