"""Phases in which the hosts of a stage change and are observed. No I/O and no clock."""

from __future__ import annotations

from lapispick.rollout import pacing
from lapispick.rollout.canary_analysis import Outcome
from lapispick.rollout.host_state import NOT_CONFIRMED_IN_TIME, HostPhase
from lapispick.rollout.messages import Change
from lapispick.rollout.rollout_state import Phase, control_rollout_name
from lapispick.rollout.step_context import StepContext


def watch_baseline(step: StepContext) -> None:
    """Begin the first stage once the baseline has been observed for long enough."""
    if step.phase_duration_s >= step.state.plan.baseline_s and not step.closed_reason:
        begin_stage(step)


def wait_for_hours(step: StepContext) -> None:
    """Begin the next stage once the configured hours allow it."""
    if step.closed_reason:
        step.state.reason = step.closed_reason
    else:
        begin_stage(step)


def begin_stage(step: StepContext) -> None:
    """Choose the hosts and controls of the stage."""
    state = step.state
    stages = state.plan.stages
    planned = stages[state.stage] if state.stage < len(stages) else ()
    is_last = state.stage >= len(stages) - 1
    state.stage_hosts = [name for name in planned if name in step.reports]
    # Hosts that were unreachable are tried again in each stage; hosts that joined the list change in the last one.
    planned_in_any_stage = {name for stage in stages for name in stage}
    retried = [name for name in state.deferred_hosts if is_last or name in planned_in_any_stage]
    state.stage_hosts += [name for name in retried if name not in state.stage_hosts]
    state.deferred_hosts = [name for name in state.deferred_hosts if name not in state.stage_hosts]
    state.controls = _matched_controls(step) if state.plan.use_controls else []
    state.last_change_at = step.now
    host_count = len(state.stage_hosts)
    step.enter(Phase.CHANGING, f"stage {state.stage + 1}: {host_count} boxes, {len(state.controls)} controls")


def _matched_controls(step: StepContext) -> list[str]:
    """Return an unchanged host of the same kind for each host of the stage, as long as any are available."""
    state = step.state
    kinds = state.plan.host_kinds
    available = [name for name in sorted(step.reports) if _can_be_control(step, name)]
    controls = []
    for name in state.stage_hosts:
        match = next((other for other in available if kinds.get(other) == kinds.get(name)), None)
        if match is not None:
            available.remove(match)
            controls.append(match)
    return controls


def _can_be_control(step: StepContext, name: str) -> bool:
    if name in step.state.touched_hosts or name in step.state.deferred_hosts:
        return False
    status = step.status(name)
    return status is not None and status.phase == HostPhase.STEADY


def change_hosts(step: StepContext) -> None:
    """Order hosts of the stage to change and controls to restart, as many at once as pacing admits."""
    state = step.state
    timed_out = next((name for name in state.stage_hosts if _confirm_timed_out(step, name)), None)
    if timed_out is not None:
        reason = f"{timed_out}: undone, as it {NOT_CONFIRMED_IN_TIME}; nobody reached its agent meanwhile"
        return step.enter(Phase.AWAITING_DECISION, reason)
    unchanged = [name for name in state.stage_hosts if not step.has_changed(name)]
    restarts = [name for name in state.controls if not step.has_restarted(name)]
    waiting = [*unchanged, *restarts]
    if all(step.status(name) is None for name in waiting):
        return _finish_changes(step, unchanged)
    admission = pacing.next_hosts(step.paced_hosts(waiting), state.plan.pace)
    state.reason = admission.reason or state.reason
    for name in admission.hosts:
        _send_change(step, name, is_restart=name in restarts)
    if admission.hosts:
        state.last_change_at = step.now
    return None


def _confirm_timed_out(step: StepContext, name: str) -> bool:
    status = step.status(name)
    if status is None or status.rolled_back_rollout != step.state.name:
        return False
    return status.fault == NOT_CONFIRMED_IN_TIME


def _send_change(step: StepContext, name: str, is_restart: bool) -> None:
    state = step.state
    status = step.status(name)
    generation = status.good if is_restart and status is not None else state.plan.generation
    rollout = control_rollout_name(state) if is_restart else state.name
    step.send(name, Change(step.fence, rollout, generation, state.plan.confirm_timeout_s, is_restart))


def _finish_changes(step: StepContext, unchanged: list[str]) -> None:
    """Begin to bake once all reachable hosts have changed; defer the unreachable ones after a timeout."""
    state = step.state
    unreachable = [name for name in unchanged if step.status(name) is None]
    if state.stage_hosts and len(unreachable) == len(state.stage_hosts):
        state.reason = f"none of the stage's {len(state.stage_hosts)} boxes can be reached"
        return
    if unreachable and step.now - state.last_change_at < state.plan.unreachable_after_s:
        return
    defer_hosts(step, unreachable)
    statuses = [step.status(name) for name in state.stage_hosts]
    serving_since = [step.now - status.serving_s for status in statuses if status is not None]
    state.last_change_at = max([state.last_change_at, *serving_since])
    step.enter(Phase.BAKING, f"{len(state.stage_hosts)} boxes changed, {len(unreachable)} passed over")


def defer_hosts(step: StepContext, names: list[str]) -> None:
    """Take hosts out of the stage and try them again in a later one."""
    for name in names:
        step.state.stage_hosts.remove(name)
        step.state.deferred_hosts.append(name)


def bake(step: StepContext) -> None:
    """Wait until the canary analysis decides or the maximum bake time is over."""
    state = step.state
    for name in state.stage_hosts:
        status = step.status(name)
        if status is None:
            continue
        if status.rolled_back_rollout == state.name:
            return step.enter(Phase.AWAITING_DECISION, f"{name}: undone, as it {status.fault}")
        if status.phase == HostPhase.STEADY and status.good != state.plan.generation:
            # The host was unreachable when the stage began and came back in the old generation.
            return step.enter(Phase.CHANGING, f"{name}: back in {status.good}")
    baked_s = step.now - state.last_change_at - state.plan.warm_up_s
    verdict = step.verdict
    if verdict is not None and verdict.outcome is Outcome.GOOD and baked_s >= state.plan.min_bake_s:
        return step.enter(Phase.CONFIRMING, verdict.reason)
    if baked_s >= state.plan.max_bake_s:
        reason = verdict.reason if verdict is not None else "there are no figures"
        return step.enter(Phase.AWAITING_DECISION, reason)
    return None
