"""Decides a rollout over the whole fleet: which agent is called, when a stage ends, when to roll back. No I/O.

Each step is decided from the rollout's state and from what the agents last reported. So a controller that takes over
continues from there, and a call that was made may be made again.

| phase (stored as) | what happens | what ends it |
| --- | --- | --- |
| BASELINE (watching) | nothing changes; the hosts are compared as they are | enough time: CHANGING |
| CHANGING | hosts of the stage, and as many controls, change as pacing admits | all reachable ones did: BAKING |
| BAKING | the stage is watched, from its last warm host on | good: CONFIRMING; worse: ROLLING_BACK; else a decision |
| CONFIRMING | the agents of the stage are called to keep the change | all did: the next stage, HELD or DONE |
| WAITING | nothing begins outside of the hours | the hours: CHANGING |
| HELD (holding) | nothing begins | an operator resumes it or rolls it back |
| AWAITING_DECISION (asking) | the analysis can't tell | an operator resumes it (as if good) or rolls it back |
| ROLLING_BACK (returning) | all hosts of the rollout go back, a few at once | none is left: ROLLED_BACK |
| ROLLBACK_SUSPENDED (burning) | too much of the fleet is down; nothing is restarted | it serves again: ROLLING_BACK |
| DONE, ROLLED_BACK (undone) | the rollout is over | |

An unreachable host is deferred and tried again in each later stage; it counts as down. A host that joins the list
comes last, and one that leaves it is removed. A host that comes back in the old generation changes again in the stage
that is under way then.
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

_PHASE_STEPS: dict[Phase, Callable[[StepContext], None]] = {
    Phase.BASELINE: watch_baseline,
    Phase.CHANGING: change_hosts,
    Phase.BAKING: bake,
    Phase.WAITING: wait_for_hours,
    Phase.CONFIRMING: confirm_hosts,
    Phase.ROLLING_BACK: roll_back_hosts,
    Phase.ROLLBACK_SUSPENDED: resume_rollback,
}


class Decision(NamedTuple):
    """The state from now on, and the calls to make once it is stored."""

    state: RolloutState
    calls: list[HostCall]


def decide(state: RolloutState, fence: Fence, observations: Observations) -> Decision:
    """Return the next state of a rollout and the calls that follow from it; ``state`` is left alone."""
    step = StepContext(copy_of(state), fence, observations)
    if not step.state.phase_since:
        step.state.phase_since = step.now
    _update_host_lists(step)
    _obey_order(step)
    if step.state.phase in _CAN_BE_STOPPED and (reason := stop_reason(step)):
        step.enter(Phase.ROLLING_BACK, reason)
    phase_step = _PHASE_STEPS.get(step.state.phase)
    if phase_step is not None:
        phase_step(step)
    return Decision(step.state, step.calls)


def _update_host_lists(step: StepContext) -> None:
    """Remove hosts that left the list, and defer those that joined or came back."""
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


def _obey_order(step: StepContext) -> None:
    """Carry out the newest order of an operator, where it means anything in this phase."""
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
