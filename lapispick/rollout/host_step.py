"""Decides for one host which processes to start, drain or kill, and when to roll a change back. No I/O.

The state is stored before the actions of a decision are carried out, and each decision follows from the stored state
and the observed processes. So an agent that restarts at any time continues from the stored state; it may repeat an
action.

| phase (stored as) | serving generation | next phase |
| --- | --- | --- |
| STEADY | the good one | a change: CHANGING; a rollback of a confirmed change: ROLLING_BACK |
| CHANGING (trying) | the same as before, while the new one starts | it accepts clients: UNCONFIRMED; it fails: STEADY |
| UNCONFIRMED (proving) | the new one | confirmed: STEADY; timeout, crash or a call: ROLLING_BACK |
| ROLLING_BACK (returning) | the new one, while the good one starts | the good one accepts clients: STEADY |
| STUCK | the same as before; the good one is not on disk | it is on disk again: ROLLING_BACK |

In every phase a host without a process starts the good generation, as a host must never remain without a process.
"""

from __future__ import annotations

from typing import NamedTuple

from lapispick.rollout.host_actions import Action, Kill, Start, Terminate
from lapispick.rollout.host_context import HostContext
from lapispick.rollout.host_state import (
    NOT_CONFIRMED_IN_TIME,
    HostPhase,
    HostProcess,
    HostState,
    Observation,
    Role,
    Timeouts,
    copy_of,
)
from lapispick.rollout.host_transition import move_to_target

HUNG_AFTER_START_TIMEOUTS = 5  # start timeouts until a process that serves no clients and has no successor is replaced
# A suspended agent must not count the time of its suspension as unresponsiveness at its first check afterwards.
MIN_UNRESPONSIVE_CHECKS = 5
_CHANGE_PHASES = (HostPhase.CHANGING, HostPhase.UNCONFIRMED)
_TRANSITION_PHASES = (HostPhase.CHANGING, HostPhase.ROLLING_BACK)


class HostDecision(NamedTuple):
    """New state of a host, and the actions to carry out once it is stored."""

    state: HostState
    actions: list[Action]


def decide(state: HostState, now: float, observation: Observation, timeouts: Timeouts) -> HostDecision:
    """Return the next state of a host and the resulting actions; ``state`` itself is not modified."""
    context = HostContext(copy_of(state), now, observation, timeouts)
    state = context.state
    if state.boot_id != observation.boot_id:
        _forget_processes_before_boot(context)
    _update_processes(context)
    if state.phase == HostPhase.UNCONFIRMED and now >= state.confirm_deadline:
        context.roll_back(NOT_CONFIRMED_IN_TIME)
    if state.phase == HostPhase.STUCK and state.good in observation.generations:
        state.phase = HostPhase.ROLLING_BACK
        state.target = state.good
    if state.phase in _TRANSITION_PHASES:
        move_to_target(context)
    _ensure_serving(context)
    _end_draining(context)
    return HostDecision(state, context.actions)


def _forget_processes_before_boot(context: HostContext) -> None:
    """Remove the processes and times from before the machine's last boot, which also reset its clock."""
    state = context.state
    is_first = not state.boot_id
    state.boot_id = context.observation.boot_id
    state.processes = []
    state.restart_not_before = 0.0
    if not is_first and state.phase in _CHANGE_PHASES:
        context.roll_back("the machine started again before the change was confirmed")


def _update_processes(context: HostContext) -> None:
    """Update the state from the observed processes; kill processes that are not in the state."""
    state = context.state
    running = context.observation.running
    # An agent that crashed may have removed a process from the state before it killed the process.
    unknown = sorted(running - {process.number for process in state.processes})
    context.actions += [Kill(number) for number in unknown]
    for process in list(state.processes):
        if process.number in running:
            _update_running(context, process)
        elif process.was_running:
            state.processes.remove(process)
            _handle_process_end(context, process)


def _update_running(context: HostContext, process: HostProcess) -> None:
    process.was_running = True
    process.has_accepted = process.has_accepted or context.accepts(process)
    if process.number not in context.observation.unresponsive:
        process.unresponsive_since = 0.0
        process.unresponsive_checks = 0
    elif process.has_accepted:
        process.unresponsive_since = process.unresponsive_since or context.now
        process.unresponsive_checks += 1


def _handle_process_end(context: HostContext, process: HostProcess) -> None:
    state = context.state
    if process.role == Role.DRAINING:
        return
    state.crashes += 1
    uptime_s = context.now - process.role_since
    context.back_off_after_crash(was_stable=uptime_s >= context.timeouts.min_uptime_s)
    if process.role == Role.STARTING:
        context.handle_failed_start(f"the process of {process.generation} ended before it took clients")
    elif state.phase == HostPhase.UNCONFIRMED and process.change == state.change:
        context.roll_back(f"the process of {process.generation} ended")


def _ensure_serving(context: HostContext) -> None:
    """Start a process if none serves or starts, and kill a serving process that hangs so that it is replaced."""
    state = context.state
    serving = state.process(Role.SERVING)
    if serving is not None:
        if serving.was_running and _is_hung(context, serving):
            state.processes.remove(serving)
            context.actions.append(Kill(serving.number))
            _handle_process_end(context, serving)
        elif not serving.was_running:
            context.actions.append(Start(serving))
        return
    if state.process(Role.STARTING) is not None or not context.can_start():
        return
    preferred = state.target if state.phase == HostPhase.UNCONFIRMED else state.good
    for generation in (preferred, state.good, state.previous, state.target):
        if generation and generation in context.observation.generations:
            context.start_process(Role.SERVING, generation)
            return
    state.phase = HostPhase.STUCK
    state.fault = "no generation that was asked for is on the shelf"


def _is_hung(context: HostContext, serving: HostProcess) -> bool:
    """Return True if a process without a successor never accepted clients in time, or has stopped answering.

    A process that was suspended for seconds, is drained, or is too busy to accept clients is not hung.
    """
    timeout_s = HUNG_AFTER_START_TIMEOUTS * context.timeouts.start_s
    if not serving.has_accepted:
        return context.now - serving.role_since >= timeout_s
    if serving.unresponsive_checks < MIN_UNRESPONSIVE_CHECKS:
        return False
    return context.now - serving.unresponsive_since >= timeout_s


def _end_draining(context: HostContext) -> None:
    """Send SIGTERM to draining processes, and kill those that exceed the stop timeout."""
    for process in context.state.processes:
        if process.role != Role.DRAINING or process.number not in context.observation.running:
            continue
        is_late = context.now - process.role_since >= context.timeouts.stop_s
        context.actions.append(Kill(process.number) if is_late else Terminate(process.number))
