"""Phases in which the hosts of a rollout are rolled back to the generation before it. No I/O and no clock."""

from __future__ import annotations

from lapispick.rollout.host_state import HostPhase
from lapispick.rollout.messages import RollBack
from lapispick.rollout.rollout_state import Phase
from lapispick.rollout.stage_completion import confirm_controls
from lapispick.rollout.step_context import StepContext

_STABLE_PHASES = (HostPhase.STEADY, HostPhase.STUCK)


def roll_back_hosts(step: StepContext) -> None:
    """Order the hosts of the rollout to roll back, a few at once, until all have done so."""
    state = step.state
    involved = {*state.touched_hosts, *state.deferred_hosts}
    remaining = sorted(name for name in involved if name in step.reports and not _is_rolled_back(step, name))
    confirm_controls(step)
    if not remaining:
        return step.enter(Phase.ROLLED_BACK, state.reason)
    down = step.down_count()
    if down > state.plan.max_down_fraction * len(step.reports):
        state.rollback_cause = state.rollback_cause or state.reason
        reason = f"{state.rollback_cause}; {down} of {len(step.reports)} boxes do not serve"
        return step.enter(Phase.ROLLBACK_SUSPENDED, reason)
    return _send_rollbacks(step, remaining)


def _send_rollbacks(step: StepContext, remaining: list[str]) -> None:
    rolling_back = step.rolling_back_count()
    for name in remaining:
        status = step.status(name)
        if status is None or status.phase == HostPhase.ROLLING_BACK:
            continue
        # A host that serves no clients is ordered to roll back at once, as that takes no capacity away.
        if rolling_back < step.state.plan.max_concurrent_rollbacks or not status.serving:
            step.send(name, RollBack(step.fence, step.state.name))
            rolling_back += 1


def _is_rolled_back(step: StepContext, name: str) -> bool:
    status = step.status(name)
    if status is None:
        # An unreachable agent rolls back an unconfirmed change itself, but a confirmed one only when ordered to.
        return False
    runs_change = status.rollout == step.state.name and status.rolled_back_rollout != step.state.name
    return not runs_change and status.phase in _STABLE_PHASES


def resume_rollback(step: StepContext) -> None:
    """Continue the rollback once the fraction of hosts that are down is at most half of ``max_down_fraction``."""
    if step.down_count() <= step.state.plan.max_down_fraction * len(step.reports) / 2:
        step.enter(Phase.ROLLING_BACK, step.state.rollback_cause)
