"""Replays a trace: feeds it to the present decision module on the recorded clock and compares the actions. No I/O.

The replay is open-loop: what the module orders now does not change the recorded events. With another module only the
first difference is reliable; later ones show its decisions in situations that it might not have caused.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from lapispick import admission
from lapispick.admission.controller import Controller
from lapispick.trace.record_types import ADOPTED, ExternalEvent, Gap, Step
from lapispick.trace.text_names import record_name

StepObserver = Callable[[Step, tuple[admission.Action, ...], Controller], None]


class Difference(NamedTuple):
    """The first step whose actions differ."""

    number: int
    now: float
    recorded: tuple[admission.Action, ...]
    replayed: tuple[admission.Action, ...]


@dataclasses.dataclass
class ReplayResult:
    """The result of a replay; actions are counted by name."""

    steps: int = 0
    differing: int = 0
    first: Difference | None = None
    lost_steps: int = 0  # in the gap at which the replay ended
    recorded: Counter[str] = dataclasses.field(default_factory=Counter)
    replayed: Counter[str] = dataclasses.field(default_factory=Counter)

    def add(self, step: Step, replayed: tuple[admission.Action, ...]) -> None:
        """Compare the actions of a step."""
        self.steps += 1
        self.recorded.update(record_name(type(action)) for action in step.actions)
        self.replayed.update(record_name(type(action)) for action in replayed)
        if replayed != step.actions:
            self.differing += 1
            self.first = self.first or Difference(self.steps, step.now, step.actions, replayed)


def replay(
    settings: bytes,
    seed: int,
    module_now: float,
    steps: Iterable[Step],
    on_step: StepObserver | None = None,
) -> ReplayResult:
    """Replay the steps of one incarnation from its first on; ends at a gap, as the state behind it is unknown.

    ``on_step`` gets each step, the actions of the present module, and the module.
    """
    controller = Controller(msgspec.json.decode(settings, type=admission.Settings), seed, module_now)
    result = ReplayResult()
    for step in steps:
        if lost_steps := sum(note.steps for note in step.notes if type(note) is Gap):
            result.lost_steps += lost_steps
            break
        _adopt_estimates(controller, step)
        if not step.events and not step.actions and result.steps:
            continue  # notes only
        actions = tuple(controller.step(step.now, list(step.events)))
        result.add(step, actions)
        if on_step is not None:
            on_step(step, actions, controller)
    return result


def _adopt_estimates(controller: Controller, step: Step) -> None:
    for note in step.notes:
        if type(note) is ExternalEvent and note.kind == ADOPTED:
            controller.adopt(msgspec.json.decode(note.details, type=admission.LearnedEstimates))
