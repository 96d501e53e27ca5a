"""Runs the actions that the agent decides on: starts, reloads and ends processes of the host."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable, Mapping

from lapispick.agent.host_launcher import HostLauncher
from lapispick.agent.processes import ProcessTable
from lapispick.host.logs import log
from lapispick.host.worker_threads import WorkerThreads
from lapispick.rollout import host_state
from lapispick.rollout.generations import Generation
from lapispick.rollout.host_actions import Action, Kill, Reload, Start, Terminate
from lapispick.rollout.host_state import HostProcess, HostState

LOG = "agent"


class ActionRunner:
    """Runs actions on the processes of one host.

    ``failpoint`` is called with the name of each step at which a test may end the agent.
    """

    def __init__(
        self,
        processes: ProcessTable,
        launcher: HostLauncher,
        worker_threads: WorkerThreads,
        failpoint: Callable[[str], None],
    ) -> None:
        self._processes = processes
        self._launcher = launcher
        self._worker_threads = worker_threads
        self._failpoint = failpoint

    def run(self, action: Action, state: HostState, generations: Mapping[str, Generation]) -> None:
        """Run one action of a decision whose ``state`` has been stored; raises ``OSError``."""
        if isinstance(action, Start):
            self._start(action.process, state, generations)
        elif isinstance(action, Reload):
            self._reload(action.process, generations)
        elif isinstance(action, Terminate):
            self._failpoint("terminating")
            self._processes.signal(action.number, signal.SIGTERM)
            self._failpoint("terminated")
        elif isinstance(action, Kill):
            self._failpoint("killing")
            self._processes.kill(action.number)
            log(LOG, logging.WARNING, "host-killed", process=action.number)

    def _start(self, process: HostProcess, state: HostState, generations: Mapping[str, Generation]) -> None:
        if process.number in self._processes.running_numbers():
            return
        self._failpoint("starting")
        self._write_config(process, generations)
        self._worker_threads.run(self._launcher.start, process, host_state.needed_generations(state))
        log(LOG, logging.INFO, "host-started", process=process.number, generation=process.generation)
        self._failpoint("started")

    def _reload(self, process: HostProcess, generations: Mapping[str, Generation]) -> None:
        self._failpoint("reloading")
        self.reload_config(process, generations)
        log(LOG, logging.INFO, "host-reloaded", process=process.number, generation=process.generation)
        self._failpoint("reloaded")

    def reload_config(self, process: HostProcess, generations: Mapping[str, Generation]) -> None:
        """Write the configuration of a running process and signal the process to reload it; raises ``OSError``."""
        self._write_config(process, generations)
        self._processes.signal(process.number, signal.SIGHUP)

    def _write_config(self, process: HostProcess, generations: Mapping[str, Generation]) -> None:
        self._worker_threads.run(self._launcher.write_config, process, generations[process.generation])
