"""What one step of a host works on: the state, the observation, and the actions that follow. No I/O, no clock."""

from __future__ import annotations

from lapispick.rollout.host_actions import Action, Start
from lapispick.rollout.host_state import HostPhase, HostProcess, HostState, Observation, Role, Timeouts

MIN_RESTART_BACKOFF_S = 0.2
MAX_RESTART_BACKOFF_S = 10.0


class HostContext:
    """One step of a host: changes ``state`` and collects ``actions``."""

    def __init__(self, state: HostState, now: float, observation: Observation, timeouts: Timeouts) -> None:
        self.state = state
        self.now = now
        self.observation = observation
        self.timeouts = timeouts
        self.actions: list[Action] = []

    def accepts(self, process: HostProcess) -> bool:
        """Tell whether a process accepts clients."""
        return process.number in self.observation.accepting

    def roll_back(self, fault: str) -> None:
        """Undo the change that is under way."""
        state = self.state
        state.fault = fault
        state.rolled_back_rollout = state.rollout
        state.target = state.good
        state.phase = HostPhase.ROLLING_BACK
        state.is_restart = False

    def start_failed(self, fault: str) -> None:
        """Take note of a failed start; what served before still does, if anything does."""
        state = self.state
        state.fault = fault
        if state.phase == HostPhase.CHANGING:
            self.give_up_change()
        elif state.phase == HostPhase.ROLLING_BACK:  # one failed start must not keep what is to be rolled back
            self._back_off_after_failed_start()

    def give_up_change(self) -> None:
        """Stay in the good generation, which still serves."""
        state = self.state
        state.rolled_back_rollout = state.rollout
        state.target = state.good
        state.phase = HostPhase.STEADY
        state.is_restart = False

    def back_off_after_crash(self, was_stable: bool) -> None:
        """Put off the next start: by the shortest pause after a stable process, else by twice the pause before."""
        state = self.state
        state.restart_backoff_s = MIN_RESTART_BACKOFF_S if was_stable else self._doubled_backoff_s()
        state.restart_not_before = self.now + state.restart_backoff_s

    def _back_off_after_failed_start(self) -> None:
        state = self.state
        state.restart_backoff_s = self._doubled_backoff_s()
        state.restart_not_before = max(state.restart_not_before, self.now + state.restart_backoff_s)

    def _doubled_backoff_s(self) -> float:
        return min(MAX_RESTART_BACKOFF_S, max(MIN_RESTART_BACKOFF_S, self.state.restart_backoff_s * 2))

    def can_start(self) -> bool:
        """Tell whether a slot is free and no backoff is under way."""
        return self.state.free_slot() is not None and self.now >= self.state.restart_not_before

    def start_process(self, role: Role, generation: str) -> None:
        """Start a process of a generation in a free slot."""
        state = self.state
        slot = state.free_slot()
        assert slot is not None
        state.last_process_number += 1
        process = HostProcess(state.last_process_number, generation, slot, role, state.change, self.now)
        state.processes.append(process)
        self.actions.append(Start(process))
