"""What one step of a rollout works on: the state, the hosts' reports, and the calls that follow. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lapispick.rollout.canary_analysis import Verdict
from lapispick.rollout.host_state import HostPhase
from lapispick.rollout.messages import Call, Fence, Status
from lapispick.rollout.pacing import Candidate
from lapispick.rollout.rollout_state import (
    MAX_NOTES,
    HostCall,
    HostReport,
    Phase,
    RolloutState,
    control_rollout_name,
)

_SETTLED_ON_CHANGE = (HostPhase.UNCONFIRMED, HostPhase.STEADY)
_MOVING = (HostPhase.CHANGING, HostPhase.ROLLING_BACK)


class Observations(NamedTuple):
    """What a step is decided from, beside the rollout's own state."""

    now: float  # Unix s
    reports: Mapping[str, HostReport]  # of all hosts in the list
    verdict: Verdict | None  # of the canary analysis, once there is one
    closed_reason: str = ""  # why no stage may begin now; empty where one may


class StepContext:
    """One step of a rollout: changes ``state`` and collects ``calls``."""

    def __init__(self, state: RolloutState, fence: Fence, observations: Observations) -> None:
        self.state = state
        self.fence = fence
        self.now = observations.now
        self.reports = observations.reports
        self.verdict = observations.verdict
        self.closed_reason = observations.closed_reason
        self.calls: list[HostCall] = []

    def enter(self, phase: Phase, reason: str) -> None:
        """Go over to a phase and note why."""
        self.state.phase = phase
        self.state.phase_since = self.now
        self.state.reason = reason
        self.state.notes = [*self.state.notes, (self.now, f"{phase}: {reason}")][-MAX_NOTES:]

    def send(self, host: str, call: Call) -> None:
        """Make a call to a host's agent once the state is stored."""
        self.calls.append(HostCall(host, call))

    @property
    def phase_duration_s(self) -> float:
        """Return for how long the rollout has been in its phase."""
        return self.now - self.state.phase_since

    # What the agents report.

    def status(self, host: str) -> Status | None:
        """Return the status of a host; None where its agent did not report in time."""
        report = self.reports.get(host)
        if report is None or report.age_s >= self.state.plan.unreachable_after_s:
            return None
        return report.status

    def is_confirmed(self, host: str) -> bool:
        """Tell whether a host serves the new generation and keeps it."""
        status = self.status(host)
        return status is not None and status.phase == HostPhase.STEADY and status.good == self.state.plan.generation

    def has_changed(self, host: str) -> bool:
        """Tell whether a host serves the new generation, confirmed or not."""
        status = self.status(host)
        if status is None or status.serving != self.state.plan.generation:
            return False
        return status.phase in _SETTLED_ON_CHANGE

    def has_restarted(self, control: str) -> bool:
        """Tell whether a control was restarted for this rollout."""
        status = self.status(control)
        if status is None or status.rollout != control_rollout_name(self.state):
            return False
        return status.phase in _SETTLED_ON_CHANGE

    def unconfirmed_controls(self) -> list[str]:
        """Return the controls whose restart is not confirmed yet."""
        return [
            name
            for name in self.state.controls
            if self.has_restarted(name) and self._phase_of(name) == HostPhase.UNCONFIRMED
        ]

    def _phase_of(self, host: str) -> str:
        status = self.status(host)
        return status.phase if status is not None else ""

    def down_count(self) -> int:
        """Return how many hosts of the list serve no clients, as far as is known."""
        return sum(not (status := self.status(host)) or not status.serving for host in self.reports)

    def rolling_back_count(self) -> int:
        """Return how many hosts go back to another generation now."""
        return sum(self._phase_of(host) == HostPhase.ROLLING_BACK for host in self.reports)

    def pacing_candidates(self, waiting: Iterable[str]) -> list[Candidate]:
        """Return all hosts of the list for pacing; those in ``waiting`` come first, in this order."""
        position = {name: place for place, name in enumerate(waiting)}
        candidates = []
        for name in sorted(self.reports):
            status = self.status(name)
            is_serving = status is not None and bool(status.serving)
            is_changing = status is not None and status.phase in _MOVING
            candidates.append(Candidate(name, is_serving, is_changing, name in position and status is not None))
        return sorted(candidates, key=lambda candidate: position.get(candidate.name, len(position)))
