"""Context of one step of a rollout: its state, the reports of the hosts and the resulting calls. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lapispick.rollout.canary_analysis import Verdict
from lapispick.rollout.host_state import HostPhase
from lapispick.rollout.messages import Call, Fence, Status
from lapispick.rollout.pacing import PacedHost
from lapispick.rollout.rollout_state import (
    MAX_NOTES,
    HostCall,
    HostReport,
    Phase,
    RolloutState,
    control_rollout_name,
)

_CHANGED_PHASES = (HostPhase.UNCONFIRMED, HostPhase.STEADY)
_TRANSITION_PHASES = (HostPhase.CHANGING, HostPhase.ROLLING_BACK)


class Observations(NamedTuple):
    """Input of a step besides the state of the rollout."""

    now: float  # Unix seconds
    reports: Mapping[str, HostReport]  # of all hosts in the list
    verdict: Verdict | None  # of the canary analysis; None before there is one
    closed_reason: str = ""  # why no stage may begin now; empty if one may


class StepContext:
    """Context of one step of a rollout, which modifies ``state`` and adds to ``calls``."""

    def __init__(self, state: RolloutState, fence: Fence, observations: Observations) -> None:
        self.state = state
        self.fence = fence
        self.now = observations.now
        self.reports = observations.reports
        self.verdict = observations.verdict
        self.closed_reason = observations.closed_reason
        self.calls: list[HostCall] = []

    def enter(self, phase: Phase, reason: str) -> None:
        """Enter a phase and record the reason."""
        self.state.phase = phase
        self.state.phase_since = self.now
        self.state.reason = reason
        self.state.notes = [*self.state.notes, (self.now, f"{phase}: {reason}")][-MAX_NOTES:]

    def send(self, host: str, call: Call) -> None:
        """Add a call to the agent of a host, to be made once the state is stored."""
        self.calls.append(HostCall(host, call))

    @property
    def phase_duration_s(self) -> float:
        """Return how long the rollout has been in its current phase."""
        return self.now - self.state.phase_since

    # Reports of the agents.

    def status(self, host: str) -> Status | None:
        """Return the status of a host; None if its agent has not reported recently."""
        report = self.reports.get(host)
        if report is None or report.age_s >= self.state.plan.unreachable_after_s:
            return None
        return report.status

    def is_confirmed(self, host: str) -> bool:
        """Return True if a host keeps the new generation."""
        status = self.status(host)
        return status is not None and status.phase == HostPhase.STEADY and status.good == self.state.plan.generation

    def has_changed(self, host: str) -> bool:
        """Return True if a host serves the new generation, confirmed or not."""
        status = self.status(host)
        if status is None or status.serving != self.state.plan.generation:
            return False
        return status.phase in _CHANGED_PHASES

    def has_restarted(self, control: str) -> bool:
        """Return True if a control was restarted for this rollout."""
        status = self.status(control)
        if status is None or status.rollout != control_rollout_name(self.state):
            return False
        return status.phase in _CHANGED_PHASES

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
        """Return how many hosts of the list serve no clients; unreachable hosts count as down."""
        return sum(not (status := self.status(host)) or not status.serving for host in self.reports)

    def rolling_back_count(self) -> int:
        """Return how many hosts are rolling back."""
        return sum(self._phase_of(host) == HostPhase.ROLLING_BACK for host in self.reports)

    def paced_hosts(self, waiting: Iterable[str]) -> list[PacedHost]:
        """Return all hosts of the list for pacing; those in ``waiting`` come first, in this order."""
        positions = {name: position for position, name in enumerate(waiting)}
        hosts = []
        for name in sorted(self.reports):
            status = self.status(name)
            is_serving = status is not None and bool(status.serving)
            is_changing = status is not None and status.phase in _TRANSITION_PHASES
            hosts.append(PacedHost(name, is_serving, is_changing, name in positions and status is not None))
        return sorted(hosts, key=lambda host: positions.get(host.name, len(positions)))
