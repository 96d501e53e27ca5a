"""Decides one host: which process is started, drained or killed, and when a change is rolled back. No I/O.

The state is stored before anything that follows from it is done, and each step is decided from the state and from what
is observed of the processes. So an agent that restarts at any instant continues from there; an action may be repeated.

| phase (stored as) | what serves | what ends it |
| --- | --- | --- |
| STEADY | the good generation | a change |
| CHANGING (trying) | what served before, while the new one starts | it accepts clients: UNCONFIRMED; it fails: STEADY |
| UNCONFIRMED (proving) | the new one | confirmed: STEADY; timeout, crash or a call: ROLLING_BACK |
| ROLLING_BACK (returning) | the new one; the good one starts beside it | the good one accepts clients: STEADY |
| STUCK | what served before; the good generation is not on disk | it is there again: ROLLING_BACK |

In every phase a host without any process starts the good generation: a host must never end up without a process.
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

HUNG_AFTER_STARTS = 5  # start timeouts after which a process that serves nobody, and has no successor, is replaced
MIN_UNRESPONSIVE_CHECKS = 5  # so that an agent that was suspended does not count that time by its first check
_CHANGE_IN_PROGRESS = (HostPhase.CHANGING, HostPhase.UNCONFIRMED)
_TRANSITIONS = (HostPhase.CHANGING, HostPhase.ROLLING_BACK)


class HostDecision(NamedTuple):
    """The state from now on, and what to do once it is stored."""

    state: HostState
    actions: list[Action]


def decide(state: HostState, now: float, observation: Observation, timeouts: Timeouts) -> HostDecision:
    """Return the next state of a host and the actions that follow from it; ``state`` is left alone."""
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
    if state.phase in _TRANSITIONS:
        move_to_target(context)
    _ensure_serving(context)
    _end_draining(context)
    return HostDecision(state, context.actions)


def _forget_processes_before_boot(context: HostContext) -> None:
    """Forget the processes from before the machine started; its clock began anew."""
    state = context.state
    is_first = not state.boot_id
    state.boot_id = context.observation.boot_id
    state.processes = []
    state.restart_not_before = 0.0
    if not is_first and state.phase in _CHANGE_IN_PROGRESS:
        context.roll_back("the machine started again before the change was confirmed")


def _update_processes(context: HostContext) -> None:
    """Take over what is observed of each process; kill processes that the state does not know."""
    state = context.state
    alive = context.observation.alive
    # An agent that died may have removed a process from the state without having killed it.
    unknown = sorted(alive - {process.number for process in state.processes})
    context.actions += [Kill(number) for number in unknown]
    for process in list(state.processes):
        if process.number in alive:
            _update_alive(context, process)
        elif process.was_alive:
            state.processes.remove(process)
            _process_ended(context, process)


def _update_alive(context: HostContext, process: HostProcess) -> None:
    process.was_alive = True
    process.has_accepted = process.has_accepted or context.accepts(process)
    if process.number not in context.observation.unresponsive:
        process.unresponsive_since = 0.0
        process.unresponsive_checks = 0
    elif process.has_accepted:
        process.unresponsive_since = process.unresponsive_since or context.now
        process.unresponsive_checks += 1


def _process_ended(context: HostContext, process: HostProcess) -> None:
    state = context.state
    if process.role == Role.DRAINING:
        return
    state.crashes += 1
    uptime_s = context.now - process.role_since
    context.back_off_after_crash(was_stable=uptime_s >= context.timeouts.min_uptime_s)
    if process.role == Role.STARTING:
        context.start_failed(f"the process of {process.generation} ended before it took clients")
    elif state.phase == HostPhase.UNCONFIRMED and process.change == state.change:
        context.roll_back(f"the process of {process.generation} ended")


def _ensure_serving(context: HostContext) -> None:
    """Start a process where none serves or starts, and replace one that hangs."""
    state = context.state
    serving = state.process(Role.SERVING)
    if serving is not None:
        if serving.was_alive and _is_hung(context, serving):
            state.processes.remove(serving)
            context.actions.append(Kill(serving.number))
            _process_ended(context, serving)
        elif not serving.was_alive:
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
    """Tell whether a process without a successor never accepted clients, or accepted some and answers no more.

    A process that was suspended for seconds, or is drained, or too busy for clients, is not hung.
    """
    timeout_s = HUNG_AFTER_STARTS * context.timeouts.start_s
    if not serving.has_accepted:
        return context.now - serving.role_since >= timeout_s
    if serving.unresponsive_checks < MIN_UNRESPONSIVE_CHECKS:
        return False
    return context.now - serving.unresponsive_since >= timeout_s


def _end_draining(context: HostContext) -> None:
    """Ask draining processes to end, and kill those that take too long."""
    for process in context.state.processes:
        if process.role != Role.DRAINING or process.number not in context.observation.alive:
            continue
        is_late = context.now - process.role_since >= context.timeouts.stop_s
        context.actions.append(Kill(process.number) if is_late else Terminate(process.number))
