"""Handling of controllers' calls: the change of the agent's state and the answer. No I/O and no clock."""

from __future__ import annotations

from typing import NamedTuple

from lapispick.rollout import compat, messages
from lapispick.rollout.generations import Generation
from lapispick.rollout.host_state import ROLLBACK_ORDERED, HostPhase, HostProcess, HostState, Observation, Role, copy_of
from lapispick.rollout.messages import Change, Confirm, RollBack, Status

# First lines of answers.
OK = "OK"
DONE = "OK done"
UNDER_WAY = "OK under way"
UNTOUCHED = "OK untouched"
ROLLED_BACK = "OK undone"
NOTHING_SERVES = "ERR nothing serves here"


class CallResult(NamedTuple):
    """State after a call, and the first line of the answer; the state is stored before anything acts on it."""

    state: HostState
    answer: str


def handle_call(state: HostState, call: messages.Call, now: float, observation: Observation) -> CallResult:
    """Handle a call of a controller, or reject it if its fence is too old; ``state`` itself is not modified."""
    if not messages.is_fence_accepted(state.fence, call.fence):
        return CallResult(state, f"ERR fenced: {state.fence} steers, not {call.fence}")
    changed = copy_of(state)
    changed.epoch = call.fence.epoch
    changed.controller = call.fence.controller
    if isinstance(call, Change):
        return CallResult(changed, _begin_change(changed, call, observation))
    if isinstance(call, Confirm):
        return CallResult(changed, _confirm(changed, call, now, observation))
    if isinstance(call, RollBack):
        return CallResult(changed, _roll_back(changed, call))
    return CallResult(changed, OK)


def _accepting_process(state: HostState, observation: Observation) -> HostProcess | None:
    """Return the serving process if it accepts clients, else None."""
    serving = state.process(Role.SERVING)
    return serving if serving is not None and serving.number in observation.accepting else None


def _begin_change(state: HostState, call: Change, observation: Observation) -> str:
    answer = _answer_without_change(state, call) or _rejection_answer(state, call, observation)
    if answer:
        return answer
    state.target = call.generation
    state.rollout = call.rollout
    state.phase = HostPhase.CHANGING
    state.fault = ""
    state.change += 1
    state.is_restart = call.restart
    state.confirm_timeout_s = call.confirm_timeout_s
    state.restart_backoff_s = 0.0
    state.previous = state.good
    return OK


def _answer_without_change(state: HostState, call: Change) -> str:
    """Return the answer to a change that is in progress, done or rolled back, or that another blocks; else empty."""
    is_same = (state.rollout, state.target) == (call.rollout, call.generation)
    if is_same and state.phase in (HostPhase.CHANGING, HostPhase.UNCONFIRMED):
        return UNDER_WAY
    was_rolled_back = state.rolled_back_rollout == call.rollout
    if is_same and state.phase == HostPhase.STEADY and not was_rolled_back and state.good == call.generation:
        return DONE
    if state.phase not in (HostPhase.STEADY, HostPhase.STUCK):
        return f"ERR busy: {state.phase} for {state.rollout}"
    return f"ERR undone: {state.fault}" if was_rolled_back else ""


def _rejection_answer(state: HostState, call: Change, observation: Observation) -> str:
    """Return the answer that rejects a new change; empty if the change can begin."""
    serving = _accepting_process(state, observation)
    if serving is None:  # SIGHUP would terminate a process that is still starting
        return NOTHING_SERVES
    generations = observation.generations
    if call.generation not in generations:
        return f"ERR the generation is not on the shelf: {call.generation}"
    if state.good not in generations:
        return f"ERR what is good now, and to go back to, is not on the shelf: {state.good}"
    if call.restart:
        return ""
    current = generations[serving.generation]
    incompatibilities = compat.incompatibilities(current.formats, generations[call.generation].formats)
    return f"ERR skips a step: {incompatibilities[0]}" if incompatibilities else ""


def _confirm(state: HostState, call: Confirm, now: float, observation: Observation) -> str:
    if state.rolled_back_rollout == call.rollout:
        return f"ERR undone: {state.fault}"
    if state.rollout != call.rollout:
        return "ERR another rollout"
    if state.phase == HostPhase.STEADY:
        return DONE
    if state.phase != HostPhase.UNCONFIRMED:
        return f"ERR {state.phase}"
    if now >= state.confirm_deadline:
        return "ERR too late: it is undone now"
    if _accepting_process(state, observation) is None:
        return "ERR it takes no clients"
    state.previous = state.good
    state.good = state.target
    state.phase = HostPhase.STEADY
    return OK


def _roll_back(state: HostState, call: RollBack) -> str:
    if state.rolled_back_rollout == call.rollout:
        return ROLLED_BACK
    if state.rollout != call.rollout:
        return UNTOUCHED
    if state.phase == HostPhase.STEADY:
        if not state.previous:
            return UNTOUCHED
        state.good = state.previous  # the change was confirmed before the rollout was stopped
    state.target = state.good
    state.phase = HostPhase.ROLLING_BACK
    state.is_restart = False
    state.fault = ROLLBACK_ORDERED
    state.rolled_back_rollout = call.rollout
    state.change += 1
    return OK


def status_of(state: HostState, now: float, observation: Observation, memory_limit_mb: float = 0.0) -> Status:
    """Return the status that the agent reports to controllers."""
    serving = state.process(Role.SERVING)
    accepting = _accepting_process(state, observation)
    is_unconfirmed = state.phase == HostPhase.UNCONFIRMED
    return Status(
        host=state.host,
        phase=state.phase,
        serving=accepting.generation if accepting is not None else "",
        good=state.good,
        target=state.target,
        rollout=state.rollout,
        fence=str(state.fence),
        fault=state.fault,
        rolled_back_rollout=state.rolled_back_rollout,
        confirm_left_s=max(0.0, state.confirm_deadline - now) if is_unconfirmed else 0.0,
        serving_s=now - accepting.role_since if accepting is not None else 0.0,
        started_processes=state.last_process_number,
        crashes=state.crashes,
        generations=tuple(sorted(observation.generations)),
        formats=_formats_of(serving, observation),
        memory_limit_mb=memory_limit_mb,
    )


def _formats_of(serving: HostProcess | None, observation: Observation) -> dict[str, tuple[int, int, int]]:
    generation: Generation | None = observation.generations.get(serving.generation) if serving is not None else None
    return generation.formats if generation is not None else {}
