"""The agent of one host: stores its state, observes the host's processes, and runs the actions of ``host_step.py``.

The state is written to disk before any action that follows from it. The agent may end at any time; the host continues
to serve, and its next agent finds its processes.
"""

from __future__ import annotations

import functools
import logging
import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from lapispick.agent import processes
from lapispick.agent.action_runner import LOG, ActionRunner
from lapispick.agent.errors import UnknownGenerationError
from lapispick.agent.generation_store import GenerationStore
from lapispick.agent.host_client import HealthChecks, HostClient
from lapispick.agent.host_launcher import HostLauncher
from lapispick.agent.processes import ProcessTable
from lapispick.agent.rollback_lease import RollbackLease
from lapispick.agent.state_file import StateFile
from lapispick.conf.sections import AgentSettings
from lapispick.host.addresses import parse_address
from lapispick.host.logs import log
from lapispick.host.ops import OperatorServer
from lapispick.host.scheduler import EventLoop
from lapispick.host.worker_threads import WorkerThreads
from lapispick.rollout import host_calls, host_state, host_step, messages
from lapispick.rollout.generations import Generation
from lapispick.rollout.host_state import HostPhase, HostState, Observation, Role, Timeouts

MAX_CALLERS = 16
FORWARDED_CALLS = ("check", "vars", "drain-on", "drain-off")  # answered by the host itself
NO_HOST_ANSWER = "ERR no host serves here"
_DECISION_PAUSE_S = 0.002
_DISK_ERROR_LOG_INTERVAL_S = 5


class Agent:
    """The agent of one host."""

    def __init__(
        self, name: str, settings: AgentSettings, platform_config: dict[str, Any], python: str = sys.executable
    ) -> None:
        """Lock the folder and read the stored state; raises ``StateFileError`` and ``OSError``.

        ``platform_config`` is the platform's configuration of the host.
        """
        self.name = name
        self.settings = settings
        self.folder = Path(str(settings.folder)).absolute()
        self.state_file = StateFile(self.folder, name)
        self.state = self.state_file.state
        self.generation_store = GenerationStore(self.folder / "generations", python)
        self.processes = ProcessTable(f"{name}:{self.folder}")
        self.loop = EventLoop()
        self.worker_threads = WorkerThreads(self.loop)
        self._launcher = HostLauncher(settings, platform_config, self.processes, self.generation_store, python)
        self._runner = ActionRunner(self.processes, self._launcher, self.worker_threads, self.failpoint)
        self._memory_limit_mb = float(platform_config.get("limits", {}).get("memory_mb", 0.0))
        lease_wait_s = settings.rollback_lease_wait_s if settings.rollback_lease else 0.0
        self._timeouts = Timeouts(settings.start_timeout_s, settings.stop_timeout_s, rollback_lease_wait_s=lease_wait_s)
        self._generations = self.generation_store.all()
        self._client = HostClient(self.loop, settings.slot_ops)
        self._lease = RollbackLease(settings.rollback_lease, self._forward)
        self._checks = HealthChecks()
        self._is_deciding = False
        self._disk_error_logged_at = 0.0
        calls: dict[str, Callable[[], list[str]]] = {"status": self._status}
        for call_name in FORWARDED_CALLS:
            calls[call_name] = functools.partial(self._forward, call_name)
        self.operator_server = OperatorServer(
            self.loop, parse_address(settings.listen, 0), MAX_CALLERS, calls, self._handle_call
        )

    def failpoint(self, name: str) -> None:
        """Mark a named step at which tests may end the process."""

    def adopt(self, generation: str) -> None:
        """Set the good generation of a host that has none yet; raises ``UnknownGenerationError``."""
        if self.state.good or not generation:
            return
        if generation not in self._generations:
            raise UnknownGenerationError(generation, self.generation_store.folder)
        self.state = msgspec.structs.replace(host_state.copy_of(self.state), good=generation, target=generation)

    def run(self) -> None:
        """Run until SIGTERM or SIGINT; the host continues to serve."""
        self.processes.find_marked_processes()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: self.loop.stop())
        self.loop.spawn(self.operator_server.serve)
        self.loop.spawn(self._serve)
        log(
            LOG,
            logging.INFO,
            "agent-started",
            host=self.name,
            at=self.operator_server.address,
            phase=self.state.phase,
            good=self.state.good or "none",
            processes=len(self.processes.running_numbers()),
        )
        self.loop.run()

    def _serve(self) -> None:
        self._repeat_reload()
        while True:
            try:
                self._step()
            except OSError as err:  # no action runs before its decision is stored; running processes continue
                self._log_disk_error(err)
            self.loop.sleep(self.settings.poll_interval_s)

    def _repeat_reload(self) -> None:
        """Reload the serving process, as the previous agent may have ended before it sent the signal."""
        running = self.processes.running_numbers()
        for process in self.state.processes:
            is_reloadable = process.role == Role.SERVING and process.has_accepted and process.number in running
            if is_reloadable and process.generation in self._generations:
                self._runner.reload_config(process, self._generations)

    def _log_disk_error(self, err: OSError) -> None:
        if time.monotonic() - self._disk_error_logged_at > _DISK_ERROR_LOG_INTERVAL_S:
            self._disk_error_logged_at = time.monotonic()
            log(LOG, logging.ERROR, "agent-disk-failed", error=err)

    # Observing and deciding.

    def _observation(self) -> Observation:
        return Observation(
            running=self.processes.running_numbers(),
            accepting=self._checks.accepting,
            generations=self._generations,
            boot_id=processes.boot_id(),
            unresponsive=self._checks.unresponsive,
            has_lease=self._lease.is_held,
        )

    def _step(self) -> None:
        self._generations = self.worker_threads.run(self._rotate_logs_and_read_generations)
        running = self.processes.running_numbers()
        self._checks = self._client.check_health(
            [process for process in self.state.processes if process.number in running]
        )
        self._lease.update(self._is_rolling_back_unconfirmed())
        with self._decision_lock():
            decision = host_step.decide(self.state, time.monotonic(), self._observation(), self._timeouts)
            self._save(decision.state)
            for action in decision.actions:
                self._runner.run(action, self.state, self._generations)

    def _is_rolling_back_unconfirmed(self) -> bool:
        is_unconfirmed = self.state.fault == host_state.NOT_CONFIRMED_IN_TIME
        return self.state.phase == HostPhase.ROLLING_BACK and is_unconfirmed

    def _rotate_logs_and_read_generations(self) -> dict[str, Generation]:
        self._launcher.rotate_logs()
        return self.generation_store.all()

    @contextmanager
    def _decision_lock(self) -> Iterator[None]:
        """Allow only one decision at a time to be made, stored and acted on."""
        while self._is_deciding:
            self.loop.sleep(_DECISION_PAUSE_S)
        self._is_deciding = True
        try:
            yield
        finally:
            self._is_deciding = False

    def _save(self, state: HostState) -> None:
        """Store a state unless it equals the current one; raises ``OSError``."""
        if state == self.state:
            return
        self.failpoint("decided")
        self.worker_threads.run(self.state_file.save, state)
        self._log_phase(state)
        self.state = state
        self.failpoint("stored")

    def _log_phase(self, state: HostState) -> None:
        previous = self.state
        if (previous.phase, previous.target, previous.fault) == (state.phase, state.target, state.fault):
            return
        log(
            LOG,
            logging.INFO,
            "agent-phase",
            phase=state.phase,
            target=state.target,
            good=state.good,
            rollout=state.rollout or "none",
            fault=state.fault or "none",
        )

    # Calls.

    def _forward(self, line: str) -> list[str]:
        serving = self.state.process(Role.SERVING)
        answer = self._client.call(serving.slot, line) if serving is not None else None
        return answer or [NO_HOST_ANSWER]

    def _status(self) -> list[str]:
        status = host_calls.status_of(self.state, time.monotonic(), self._observation(), self._memory_limit_mb)
        return messages.encode_status(status)

    def _handle_call(self, line: str) -> list[str]:
        """Handle a call that changes the state; the answer is returned once the change is on disk."""
        try:
            call = messages.decode_call(line)
        except ValueError as err:
            return [f"ERR {err}"]
        try:
            with self._decision_lock():
                result = host_calls.handle_call(self.state, call, time.monotonic(), self._observation())
                self._save(result.state)
        except OSError as err:
            return [f"ERR the state can't be kept: {err.strerror}"]
        self.failpoint("answering")
        log(LOG, logging.INFO, "agent-called", call=line, answer=result.answer)
        if not result.answer.startswith(host_calls.OK):
            return [result.answer]
        return [result.answer, *self._status()[1:]]
