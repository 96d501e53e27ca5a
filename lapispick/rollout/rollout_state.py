"""The state of a rollout, as a controller stores it. No I/O.

``rollout_step.py`` describes the phases and decides on the transitions between them.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec

from lapispick.rollout.messages import Call, Status
from lapispick.rollout.rollout_plan import Plan

MAX_NOTES = 200


class Phase(StrEnum):
    """The phases of a rollout; the values are stored and shown."""

    BASELINE = "watching"
    CHANGING = "changing"
    BAKING = "baking"
    CONFIRMING = "confirming"
    HELD = "holding"
    AWAITING_DECISION = "asking"
    ROLLING_BACK = "returning"
    ROLLBACK_SUSPENDED = "burning"
    WAITING = "waiting"
    DONE = "done"
    ROLLED_BACK = "undone"


FINAL_PHASES = frozenset((Phase.DONE, Phase.ROLLED_BACK))


class Order(StrEnum):
    """What an operator may ask of a rollout."""

    HOLD = "hold"
    RESUME = "go"
    ROLL_BACK = "back"


class RolloutState(msgspec.Struct):
    """All that a controller stores of a rollout, under the names given to ``field``. Times are Unix seconds."""

    name: str
    plan: Plan
    phase: Phase = Phase.BASELINE
    stage: int = 0  # from 0
    phase_since: float = msgspec.field(name="since", default=0.0)
    last_change_at: float = msgspec.field(name="warm", default=0.0)  # of a host of this stage, as the controller saw it
    stage_hosts: list[str] = msgspec.field(name="boxes", default_factory=list)
    controls: list[str] = []  # unchanged hosts that are restarted to compare with
    deferred_hosts: list[str] = msgspec.field(name="later", default_factory=list)  # joined, or were unreachable
    confirmed_hosts: list[str] = msgspec.field(name="past", default_factory=list)  # of earlier stages
    removed_hosts: list[str] = msgspec.field(name="gone", default_factory=list)
    reason: str = ""
    rollback_cause: str = msgspec.field(name="cause", default="")  # kept while the rollback is suspended
    order: str = msgspec.field(name="told", default="")  # an operator's newest order; empty = none
    held_phase: str = msgspec.field(name="held", default="")  # that an operator held; empty = the plan holds
    notes: list[tuple[float, str]] = []

    @property
    def touched_hosts(self) -> set[str]:
        """Return the hosts that this rollout has asked to change so far."""
        return {*self.confirmed_hosts, *self.stage_hosts}

    @property
    def is_over(self) -> bool:
        """Tell whether the rollout has ended."""
        return self.phase in FINAL_PHASES


class HostReport(NamedTuple):
    """What a controller knows of one host."""

    status: Status | None  # the last that its agent reported
    age_s: float
    memory_kb: int = 0
    broken_rules: int = 0  # by the serving process


class HostCall(NamedTuple):
    """A call to make to a host's agent."""

    host: str
    call: Call


class ComparisonGroups(NamedTuple):
    """The hosts to compare in a stage."""

    changed: list[str]
    unchanged: list[str]


def copy_of(state: RolloutState) -> RolloutState:
    """Return a state that can be changed without touching this one."""
    return msgspec.structs.replace(
        state,
        stage_hosts=list(state.stage_hosts),
        controls=list(state.controls),
        deferred_hosts=list(state.deferred_hosts),
        confirmed_hosts=list(state.confirmed_hosts),
        removed_hosts=list(state.removed_hosts),
        notes=list(state.notes),
    )


def control_rollout_name(state: RolloutState) -> str:
    """Return the name under which controls are restarted, so that no agent takes a restart for the change itself."""
    return f"{state.name}.c"


def deviations(state: RolloutState, reports: Mapping[str, HostReport]) -> list[str]:
    """Return the hosts that run something else than the rollout has them run, for people."""
    found = []
    for name, report in sorted(reports.items()):
        if report.status is None:
            found.append(f"{name}: its agent has not answered")
        elif report.age_s >= state.plan.unreachable_after_s:
            found.append(f"{name}: not heard of for {report.age_s:.0f} s")
        elif name in state.confirmed_hosts and report.status.serving != state.plan.generation:
            found.append(f"{name}: serves {report.status.serving or 'nobody'}, though its stage is over")
    return found


def comparison_groups(state: RolloutState, reports: Mapping[str, HostReport]) -> ComparisonGroups:
    """Return the changed hosts of the stage that are warm, and the unchanged hosts that are as warm."""
    plan = state.plan
    warm = {
        name: report.status
        for name, report in reports.items()
        if report.status is not None
        and report.age_s < plan.unreachable_after_s
        and report.status.serving_s >= plan.warm_up_s
    }
    changed = [name for name in state.stage_hosts if name in warm and warm[name].serving == plan.generation]
    unchanged = [
        name for name, status in warm.items() if name not in state.touched_hosts and status.serving != plan.generation
    ]
    # Controls were restarted together with the changed hosts, so a kind that has controls is compared with them only.
    controlled_kinds = {plan.host_kinds.get(name) for name in state.controls}
    comparable = [
        name for name in unchanged if name in state.controls or plan.host_kinds.get(name) not in controlled_kinds
    ]
    return ComparisonGroups(changed, comparable)
