"""State of a rollout, as a controller stores it. No I/O.

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
    """Phases of a rollout; the values are stored and shown."""

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
    """Orders that an operator can give to a rollout; the values are stored."""

    HOLD = "hold"
    RESUME = "go"
    ROLL_BACK = "back"


class RolloutState(msgspec.Struct):
    """Stored state of a rollout. Fields are stored under the names given to ``field``; times are Unix seconds."""

    name: str
    plan: Plan
    phase: Phase = Phase.BASELINE
    stage: int = 0  # counted from 0
    phase_since: float = msgspec.field(name="since", default=0.0)
    # Last change of a host of this stage, as seen by the controller.
    last_change_at: float = msgspec.field(name="warm", default=0.0)
    stage_hosts: list[str] = msgspec.field(name="boxes", default_factory=list)
    controls: list[str] = []  # unchanged hosts that are restarted for the comparison
    # Hosts that joined the list or were unreachable.
    deferred_hosts: list[str] = msgspec.field(name="later", default_factory=list)
    confirmed_hosts: list[str] = msgspec.field(name="past", default_factory=list)  # of earlier stages
    removed_hosts: list[str] = msgspec.field(name="gone", default_factory=list)
    reason: str = ""
    rollback_cause: str = msgspec.field(name="cause", default="")  # reason of the rollback, kept while it is suspended
    order: str = msgspec.field(name="told", default="")  # newest order of an operator; empty = none
    held_phase: str = msgspec.field(name="held", default="")  # phase to resume; empty = held by the plan
    notes: list[tuple[float, str]] = []

    @property
    def touched_hosts(self) -> set[str]:
        """Return the hosts of the stages that have begun, except the deferred ones."""
        return {*self.confirmed_hosts, *self.stage_hosts}

    @property
    def is_over(self) -> bool:
        """Return True if the rollout has ended."""
        return self.phase in FINAL_PHASES


class HostReport(NamedTuple):
    """Last status and metrics of one host that a controller has received."""

    status: Status | None  # None before the first report of its agent
    age_s: float  # of the status
    memory_kb: int = 0
    broken_rules: int = 0  # violations of its guarantees that the serving process has counted


class HostCall(NamedTuple):
    """Call to the agent of a host, to be made once the state is stored."""

    host: str
    call: Call


class ComparisonGroups(NamedTuple):
    """Hosts to compare in a stage."""

    changed: list[str]
    unchanged: list[str]


def copy_of(state: RolloutState) -> RolloutState:
    """Return a copy of a state with its own lists."""
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
    """Return the rollout name for restarts of controls, so that an agent does not mistake a restart for the change."""
    return f"{state.name}.c"


def deviations(state: RolloutState, reports: Mapping[str, HostReport]) -> list[str]:
    """Return descriptions of the hosts whose state differs from the one that the rollout expects."""
    descriptions = []
    for name, report in sorted(reports.items()):
        if report.status is None:
            descriptions.append(f"{name}: its agent has not answered")
        elif report.age_s >= state.plan.unreachable_after_s:
            descriptions.append(f"{name}: not heard of for {report.age_s:.0f} s")
        elif name in state.confirmed_hosts and report.status.serving != state.plan.generation:
            descriptions.append(f"{name}: serves {report.status.serving or 'nobody'}, though its stage is over")
    return descriptions


def comparison_groups(state: RolloutState, reports: Mapping[str, HostReport]) -> ComparisonGroups:
    """Return the warm changed hosts of the stage and the warm unchanged hosts to compare them with."""
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
    # Controls are restarted together with the changed hosts and are therefore equally warm. Changed hosts of a kind
    # with controls are compared with these controls only.
    controlled_kinds = {plan.host_kinds.get(name) for name in state.controls}
    comparable = [
        name for name in unchanged if name in state.controls or plan.host_kinds.get(name) not in controlled_kinds
    ]
    return ComparisonGroups(changed, comparable)
