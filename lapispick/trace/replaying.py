"""Replays a trace: feeds it to the current decision module by the recorded clock and compares the actions. No I/O.

The replay is open-loop: the actions of the current module don't change the recorded events. With a different module,
only the first difference is reliable; later ones show its decisions in situations that it might not have caused.
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
    """The first step whose replayed actions differ from the recorded ones."""

    number: int  # counted from 1
    now: float
    recorded: tuple[admission.Action, ...]
    replayed: tuple[admission.Action, ...]


@dataclasses.dataclass
class ReplayResult:
    """The result of a replay; actions are counted by name."""

    steps: int = 0
    differing_steps: int = 0
    first_difference: Difference | None = None
    lost_steps: int = 0  # in the gap at which the replay stopped
    recorded: Counter[str] = dataclasses.field(default_factory=Counter)
    replayed: Counter[str] = dataclasses.field(default_factory=Counter)

    def add(self, step: Step, replayed: tuple[admission.Action, ...]) -> None:
        """Compare the replayed actions of a step with the recorded ones, and count both."""
        self.steps += 1
        self.recorded.update(record_name(type(action)) for action in step.actions)
        self.replayed.update(record_name(type(action)) for action in replayed)
        if replayed != step.actions:
            self.differing_steps += 1
            self.first_difference = self.first_difference or Difference(self.steps, step.now, step.actions, replayed)


def replay(
    settings: bytes,
    seed: int,
    module_now: float,
    steps: Iterable[Step],
    on_step: StepObserver | None = None,
) -> ReplayResult:
    """Replay the steps of one incarnation from its first step; stop at a gap, as the state after it is unknown.

    ``on_step`` is called with each step, the actions of the current module, and its controller.
    """
    controller = Controller(msgspec.json.decode(settings, type=admission.Settings), seed, module_now)
    result = ReplayResult()
    for step in steps:
        if lost_steps := sum(note.steps for note in step.notes if type(note) is Gap):
            result.lost_steps += lost_steps
            break
        _adopt_estimates(controller, step)
        if not step.events and not step.actions and result.steps:
            continue  # the step has only notes
        actions = tuple(controller.step(step.now, list(step.events)))
        result.add(step, actions)
        if on_step is not None:
            on_step(step, actions, controller)
    return result


def _adopt_estimates(controller: Controller, step: Step) -> None:
    for note in step.notes:
        if type(note) is ExternalEvent and note.kind == ADOPTED:
            controller.adopt(msgspec.json.decode(note.details, type=admission.LearnedEstimates))
