"""Moves a host from its serving generation to its target, for a change or a rollback. No I/O and no clock."""

from __future__ import annotations

from lapispick.rollout.generations import can_reload
from lapispick.rollout.host_actions import Kill, Reload, Start, Terminate
from lapispick.rollout.host_context import HostContext
from lapispick.rollout.host_state import NOT_CONFIRMED_IN_TIME, HostPhase, HostProcess, Role


def move_to_target(context: HostContext) -> None:
    """Take the next step of the transition to the target generation."""
    state = context.state
    serving = state.process(Role.SERVING)
    starting = state.process(Role.STARTING)
    if starting is None and serving is not None and _is_at_target(context, serving):
        return _finish_transition(context)
    if state.target not in context.observation.generations:
        return _handle_missing_target(context)
    if starting is not None and starting.generation != state.target:  # its change was rolled back meanwhile
        state.processes.remove(starting)
        context.actions.append(Kill(starting.number))
        starting = None
    if starting is not None:
        return _advance_start(context, serving, starting)
    if serving is not None:  # if nothing serves, ``host_step`` starts a process in any phase
        return _reload_or_replace(context, serving)
    return None


def _is_at_target(context: HostContext, process: HostProcess) -> bool:
    state = context.state
    if process.generation != state.target:
        return False
    return not state.is_restart or process.change == state.change


def _finish_transition(context: HostContext) -> None:
    state = context.state
    if state.phase == HostPhase.CHANGING:
        state.phase = HostPhase.UNCONFIRMED
        state.confirm_deadline = context.now + state.confirm_timeout_s
    else:
        state.phase = HostPhase.STEADY
        state.good = state.target
        state.previous = ""
    state.is_restart = False


def _handle_missing_target(context: HostContext) -> None:
    state = context.state
    state.fault = f"{state.target} is gone from the shelf"
    if state.phase == HostPhase.ROLLING_BACK:
        state.phase = HostPhase.STUCK
        return
    state.phase = HostPhase.STEADY
    state.rolled_back_rollout = state.rollout
    state.target = state.good


def _reload_or_replace(context: HostContext, serving: HostProcess) -> None:
    """Reload the serving process if that is enough, otherwise start a successor."""
    if _can_reload_to_target(context, serving):
        serving.generation = context.state.target
        serving.change = context.state.change
        context.actions.append(Reload(serving))
        _finish_transition(context)
    elif not _waits_for_lease(context) and context.can_start():
        context.start_process(Role.STARTING, context.state.target)


def _can_reload_to_target(context: HostContext, serving: HostProcess) -> bool:
    state = context.state
    generations = context.observation.generations
    current = generations.get(serving.generation)
    if state.is_restart or current is None or not serving.has_accepted:
        return False
    return can_reload(current, generations[state.target])


def _waits_for_lease(context: HostContext) -> bool:
    """Return True if the rollback of an unconfirmed change still has to wait for a lease.

    If many hosts are partitioned from their controller, their confirmation timeouts expire at the same time, and the
    lease limits how many roll back at once. No fault of the serving generation is known, so the rollback may wait. The
    wait is limited, because a lease needs a majority of the members, which may not be reachable.
    """
    state = context.state
    if state.phase != HostPhase.ROLLING_BACK or state.fault != NOT_CONFIRMED_IN_TIME:
        return False
    if context.observation.has_lease:
        return False
    return context.now < state.confirm_deadline + context.timeouts.rollback_lease_wait_s


def _advance_start(context: HostContext, serving: HostProcess | None, starting: HostProcess) -> None:
    """Switch to a started process once it accepts clients, or kill it once it exceeds the start timeout."""
    if context.accepts(starting):
        if serving is not None:
            serving.role = Role.DRAINING
            serving.role_since = context.now
            context.actions.append(Terminate(serving.number))
        starting.role = Role.SERVING
        starting.role_since = context.now
        _finish_transition(context)
    elif context.now - starting.role_since >= context.timeouts.start_s:
        context.state.processes.remove(starting)
        context.actions.append(Kill(starting.number))
        reason = f"{starting.generation} took no clients within {context.timeouts.start_s:g} s"
        context.handle_failed_start(reason)
    elif not starting.was_running:
        context.actions.append(Start(starting))  # the agent may have crashed before it started the process
