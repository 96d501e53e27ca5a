"""Context of one step of a host: its state, the observation and the resulting actions. No I/O and no clock."""

from __future__ import annotations

from lapispick.rollout.host_actions import Action, Start
from lapispick.rollout.host_state import HostPhase, HostProcess, HostState, Observation, Role, Timeouts

MIN_RESTART_BACKOFF_S = 0.2
MAX_RESTART_BACKOFF_S = 10.0


class HostContext:
    """Context of one step of a host, which modifies ``state`` and appends to ``actions``."""

    def __init__(self, state: HostState, now: float, observation: Observation, timeouts: Timeouts) -> None:
        self.state = state
        self.now = now
        self.observation = observation
        self.timeouts = timeouts
        self.actions: list[Action] = []

    def accepts(self, process: HostProcess) -> bool:
        """Return True if a process accepts clients."""
        return process.number in self.observation.accepting

    def roll_back(self, fault: str) -> None:
        """Begin to roll back the change that is in progress."""
        state = self.state
        state.fault = fault
        state.rolled_back_rollout = state.rollout
        state.target = state.good
        state.phase = HostPhase.ROLLING_BACK
        state.is_restart = False

    def handle_failed_start(self, fault: str) -> None:
        """Record a failed start; a change is given up, a rollback is retried after a backoff.

        A process that served before the start still serves.
        """
        state = self.state
        state.fault = fault
        if state.phase == HostPhase.CHANGING:
            self.give_up_change()
        elif state.phase == HostPhase.ROLLING_BACK:  # one failed start must not leave the change in place
            self._back_off_after_failed_start()

    def give_up_change(self) -> None:
        """End a change and keep the good generation, which still serves."""
        state = self.state
        state.rolled_back_rollout = state.rollout
        state.target = state.good
        state.phase = HostPhase.STEADY
        state.is_restart = False

    def back_off_after_crash(self, was_stable: bool) -> None:
        """Delay the next start by the minimum backoff if the process was stable, else by twice the previous backoff."""
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
        """Return True if a slot is free and the backoff is over."""
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
