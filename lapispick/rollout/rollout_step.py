"""Decides the steps of a rollout over the fleet: which agents to call, when a stage ends, when to roll back. No I/O.

Each step depends only on the state of the rollout and on the last reports of the agents. So a controller that takes
over continues from the stored state, and may repeat a call that was already made.

| phase (stored as) | what happens | what ends it |
| --- | --- | --- |
| BASELINE (watching) | no host changes; metrics are collected as the baseline | enough time: CHANGING |
| CHANGING | hosts of the stage, and matched controls, change as pacing admits | all reachable ones did: BAKING |
| BAKING | the warm hosts of the stage are compared | good: CONFIRMING; worse: ROLLING_BACK; else AWAITING_DECISION |
| CONFIRMING | the agents of the stage are called to keep the change | all did: WAITING, HELD or DONE |
| WAITING | no stage begins outside of the configured hours | the hours begin: CHANGING |
| HELD (holding) | no host begins to change | an operator resumes the rollout or rolls back |
| AWAITING_DECISION (asking) | inconclusive, or an agent rolled back | an operator accepts the stage or rolls back |
| ROLLING_BACK (returning) | all hosts of the rollout roll back, a few at once | all did: ROLLED_BACK |
| ROLLBACK_SUSPENDED (burning) | too many hosts are down; no host is restarted | enough hosts serve: ROLLING_BACK |
| DONE, ROLLED_BACK (undone) | the rollout is over | |

An unreachable host counts as down, is deferred and tried again in each later stage. A host that joins the list changes
in the last stage, and one that leaves the list is removed. A host that comes back in the old generation changes again
in the stage that is under way at that time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from lapispick.rollout.messages import Fence
from lapispick.rollout.rollback import resume_rollback, roll_back_hosts
from lapispick.rollout.rollout_state import FINAL_PHASES, HostCall, Order, Phase, RolloutState, copy_of
from lapispick.rollout.stage_changes import bake, change_hosts, wait_for_hours, watch_baseline
from lapispick.rollout.stage_completion import confirm_hosts, finish_stage
from lapispick.rollout.step_context import Observations, StepContext
from lapispick.rollout.stop_conditions import stop_reason

_CAN_BE_STOPPED = frozenset(
    (Phase.CHANGING, Phase.BAKING, Phase.CONFIRMING, Phase.WAITING, Phase.HELD, Phase.AWAITING_DECISION)
)
_CAN_BE_HELD = frozenset((Phase.BASELINE, Phase.CHANGING, Phase.BAKING, Phase.WAITING))
_CAN_BE_ROLLED_BACK = frozenset(Phase) - FINAL_PHASES - {Phase.ROLLING_BACK, Phase.ROLLBACK_SUSPENDED}

_PHASE_HANDLERS: dict[Phase, Callable[[StepContext], None]] = {
    Phase.BASELINE: watch_baseline,
    Phase.CHANGING: change_hosts,
    Phase.BAKING: bake,
    Phase.WAITING: wait_for_hours,
    Phase.CONFIRMING: confirm_hosts,
    Phase.ROLLING_BACK: roll_back_hosts,
    Phase.ROLLBACK_SUSPENDED: resume_rollback,
}


class Decision(NamedTuple):
    """Next state of a rollout, and the calls to make once that state is stored."""

    state: RolloutState
    calls: list[HostCall]


def decide(state: RolloutState, fence: Fence, observations: Observations) -> Decision:
    """Return the next state of a rollout and the calls that follow from it; ``state`` is not modified."""
    step = StepContext(copy_of(state), fence, observations)
    if not step.state.phase_since:
        step.state.phase_since = step.now
    _update_host_lists(step)
    _apply_order(step)
    if step.state.phase in _CAN_BE_STOPPED and (reason := stop_reason(step)):
        step.enter(Phase.ROLLING_BACK, reason)
    handle_phase = _PHASE_HANDLERS.get(step.state.phase)
    if handle_phase is not None:
        handle_phase(step)
    return Decision(step.state, step.calls)


def _update_host_lists(step: StepContext) -> None:
    """Remove hosts that left the list, and defer those that joined it or came back."""
    state = step.state
    listed = step.reports.keys()
    stages = state.plan.stages
    started_stages = stages[: state.stage + (state.phase != Phase.BASELINE)]
    planned = {name for stage in stages for name in stage}
    started = {name for stage in started_stages for name in stage}
    state.removed_hosts = sorted((planned | state.touched_hosts | set(state.deferred_hosts)) - listed)
    state.stage_hosts = [name for name in state.stage_hosts if name in listed]
    state.deferred_hosts = [name for name in state.deferred_hosts if name in listed]
    state.controls = [name for name in state.controls if name in listed]
    state.deferred_hosts += sorted(listed & started - state.touched_hosts - set(state.deferred_hosts))
    state.deferred_hosts += sorted(listed - planned - state.touched_hosts - set(state.deferred_hosts))


def _apply_order(step: StepContext) -> None:
    """Apply the newest order of an operator; an order that has no effect in this phase is dropped."""
    state = step.state
    order = state.order
    state.order = ""
    if order == Order.ROLL_BACK and state.phase in _CAN_BE_ROLLED_BACK:
        step.enter(Phase.ROLLING_BACK, "a person called it back")
    elif order == Order.HOLD and state.phase in _CAN_BE_HELD:
        state.held_phase = state.phase
        step.enter(Phase.HELD, "a person holds it")
    elif order == Order.RESUME:
        _resume(step)


def _resume(step: StepContext) -> None:
    state = step.state
    if state.phase == Phase.AWAITING_DECISION:
        step.enter(Phase.CONFIRMING, "a person says go")
    elif state.phase == Phase.HELD and state.held_phase:
        step.enter(Phase(state.held_phase), "a person says go")
    elif state.phase == Phase.HELD:
        finish_stage(step)
    elif state.phase == Phase.CHANGING and state.stage_hosts and not any(map(step.status, state.stage_hosts)):
        state.stage_hosts = []
        step.enter(Phase.DONE, "a person says go, without the boxes that nobody reaches")
