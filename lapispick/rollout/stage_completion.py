"""Phase in which a stage is confirmed, and the transition to the next stage. No I/O and no clock."""

from __future__ import annotations

from lapispick.rollout.host_state import HostPhase
from lapispick.rollout.messages import Confirm
from lapispick.rollout.rollout_state import Phase, control_rollout_name
from lapispick.rollout.stage_changes import defer_hosts
from lapispick.rollout.step_context import StepContext


def confirm_hosts(step: StepContext) -> None:
    """Order the hosts of the stage to keep the change, until all reachable ones have confirmed it."""
    state = step.state
    rolled_back = next((name for name in state.stage_hosts if _has_rolled_back(step, name)), None)
    if rolled_back is not None:
        return step.enter(Phase.AWAITING_DECISION, f"{rolled_back}: undone before it could be confirmed")
    unconfirmed = [name for name in state.stage_hosts if not step.is_confirmed(name)]
    for name in unconfirmed:
        step.send(name, Confirm(step.fence, state.name))
    confirm_controls(step)
    any_reachable = any(step.status(name) is not None for name in unconfirmed)
    if any_reachable or (unconfirmed and step.phase_duration_s < state.plan.unreachable_after_s):
        return None
    defer_hosts(step, unconfirmed)  # their next status shows whether they kept the change
    if state.stage + 1 in state.plan.hold_after_stages:
        state.held_phase = ""
        return step.enter(Phase.HELD, f"stage {state.stage + 1} is over; the plan holds here")
    return finish_stage(step)


def _has_rolled_back(step: StepContext, name: str) -> bool:
    status = step.status(name)
    return status is not None and status.rolled_back_rollout == step.state.name


def confirm_controls(step: StepContext) -> None:
    """Order restarted controls to keep the generation that they run, which is still the old one."""
    for name in step.unconfirmed_controls():
        step.send(name, Confirm(step.fence, control_rollout_name(step.state)))


def finish_stage(step: StepContext) -> None:
    """Count the stage's hosts as confirmed, and continue with the next stage or end the rollout."""
    state = step.state
    state.confirmed_hosts += state.stage_hosts
    state.stage_hosts = []
    state.controls = []
    reverted = [name for name in state.confirmed_hosts if _has_reverted(step, name)]
    state.confirmed_hosts = [name for name in state.confirmed_hosts if name not in reverted]
    state.deferred_hosts += reverted
    if state.stage + 1 >= len(state.plan.stages) and not state.deferred_hosts:
        return step.enter(Phase.DONE, f"{len(state.confirmed_hosts)} boxes serve {state.plan.generation}")
    state.stage += 1
    return step.enter(Phase.WAITING, step.closed_reason or "the next stage")


def _has_reverted(step: StepContext, name: str) -> bool:
    """Return True if a confirmed host came back in the old generation."""
    status = step.status(name)
    return status is not None and status.phase == HostPhase.STEADY and not step.is_confirmed(name)
