"""Runs the controller of a rollout from the command line."""

from __future__ import annotations

import sys
import time

from lapispick.agent.controller import Controller, ControllerOptions
from lapispick.agent.rollout_store import RolloutStore
from lapispick.cli.inventory import ListFiles
from lapispick.cli.output import ExitCode, print_line
from lapispick.cli.rollout_common import fail
from lapispick.cli.rollout_planning import Fleet
from lapispick.fleet import hosts, snapshot
from lapispick.fleet.acceptance import Acceptance, Observation
from lapispick.fleet.hosts import WorkerHost
from lapispick.host import logs
from lapispick.host.inventory import acceptance_policy
from lapispick.rollout import pacing
from lapispick.rollout.canary_analysis import AnalysisBounds
from lapispick.rollout.rollout_state import Phase, RolloutState

_KB_PER_MB = 1024


class ListReader:
    """Polls the host list and accepts lists by the fleet's acceptance policy."""

    def __init__(self, fleet: Fleet) -> None:
        self._files = ListFiles(fleet.source)
        self._acceptance = Acceptance(acceptance_policy(fleet.source.settings))

    def accepted_workers(self) -> list[WorkerHost] | None:
        """Read the list; return its hosts if this call accepted it, else None."""
        reading = self._files.read()
        read_list = None if reading.faults else snapshot.snapshot_of(reading.hosts)
        verdict = self._acceptance.observe(
            time.monotonic(), Observation(read_list, reading.faults, reading.incomplete_reason)
        )
        if verdict.accepted is None:
            return None
        return list(hosts.worker_hosts_of(verdict.accepted.hosts.values())[0])


def run_controller(store: RolloutStore, state: RolloutState, fleet: Fleet, default_memory_limit_mb: float) -> None:
    """Control a rollout until it is over or another controller takes over, and end the program."""
    logs.configure_logging()
    options = _controller_options(state, fleet, default_memory_limit_mb)
    controller = Controller(store, state, fleet.workers, options, ListReader(fleet).accepted_workers)
    final_state = controller.run()
    if controller.ended_reason:
        fail(ExitCode.NO_STATE, f"another controller took over, or this one failed: {controller.ended_reason}")
    print_line(f"{final_state.name}: {final_state.phase}: {final_state.reason}")
    sys.exit(0 if final_state.phase == Phase.DONE else ExitCode.DIFFERENCES)


def _controller_options(state: RolloutState, fleet: Fleet, default_memory_limit_mb: float) -> ControllerOptions:
    settings = fleet.settings
    bounds = AnalysisBounds(
        false_alarm_probability=settings.false_alarm_probability,
        stage_count=max(1, len(state.plan.stages)),
        request_margin=settings.tolerated_degradation,
        memory_limit_kb=default_memory_limit_mb * _KB_PER_MB,
    )
    return ControllerOptions(
        name=settings.controller_name,
        poll_interval_s=settings.poll_interval_s,
        analysis_bounds=bounds,
        hours=pacing.parse_hours(settings.hours),
        excluded_days=settings.excluded_days,
        names_file=fleet.source.settings.hosts_file,
    )
