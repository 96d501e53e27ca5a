"""The agent of one host: stores its state, observes the host's processes, and does what ``host_step.py`` decides.

The state is on disk before anything that follows from it is done. The agent may end at any instant; the host continues
to serve, and its next agent finds it.
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
FORWARDED_CALLS = ("check", "vars", "drain-on", "drain-off")  # that the host itself answers
NO_HOST = "ERR no host serves here"
_DECISION_PAUSE_S = 0.002
_DISK_ERROR_LOG_INTERVAL_S = 5


class Agent:
    """The agent of one host."""

    def __init__(self, name: str, settings: AgentSettings, base: dict[str, Any], python: str = sys.executable) -> None:
        """Take the folder; raises ``StateFileError`` and ``OSError``. ``base``: the platform's configuration."""
        self.name = name
        self.settings = settings
        self.folder = Path(str(settings.folder)).absolute()
        self.state_file = StateFile(self.folder, name)
        self.state = self.state_file.state
        self.store = GenerationStore(self.folder / "generations", python)
        self.processes = ProcessTable(f"{name}:{self.folder}")
        self.loop = EventLoop()
        self.work = WorkerThreads(self.loop)
        self._launcher = HostLauncher(settings, base, self.processes, self.store, python)
        self._runner = ActionRunner(self.processes, self._launcher, self.work, self.point)
        self._memory_limit_mb = float(base.get("limits", {}).get("memory_mb", 0.0))
        lease_wait_s = settings.rollback_lease_wait_s if settings.rollback_lease else 0.0
        self._timeouts = Timeouts(settings.start_timeout_s, settings.stop_timeout_s, rollback_lease_wait_s=lease_wait_s)
        self._generations = self.store.all()
        self._client = HostClient(self.loop, settings.slot_ops)
        self._lease = RollbackLease(settings.rollback_lease, self._forward)
        self._checks = HealthChecks()
        self._is_deciding = False
        self._disk_error_logged_at = 0.0
        calls: dict[str, Callable[[], list[str]]] = {"status": self._status}
        for name_of_call in FORWARDED_CALLS:
            calls[name_of_call] = functools.partial(self._forward, name_of_call)
        self.operators = OperatorServer(
            self.loop, parse_address(settings.listen, 0), MAX_CALLERS, calls, self._handle_call
        )

    def point(self, name: str) -> None:
        """Mark a named point; tests end the process at each of them."""

    def adopt(self, generation: str) -> None:
        """Make a generation the good one where the host has none yet; raises ``UnknownGenerationError``."""
        if self.state.good or not generation:
            return
        if generation not in self._generations:
            raise UnknownGenerationError(generation, self.store.folder)
        self.state = msgspec.structs.replace(host_state.copy_of(self.state), good=generation, target=generation)

    def run(self) -> None:
        """Run until SIGTERM or SIGINT; the host continues to serve."""
        self.processes.find()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.loop.stop())
        self.loop.spawn(self.operators.serve)
        self.loop.spawn(self._serve)
        log(
            LOG,
            logging.INFO,
            "agent-started",
            host=self.name,
            at=self.operators.address,
            phase=self.state.phase,
            good=self.state.good or "none",
            processes=len(self.processes.alive()),
        )
        self.loop.run()

    def _serve(self) -> None:
        self._repeat_reload()
        while True:
            try:
                self._step()
            except OSError as err:  # nothing is done that is not stored; running processes continue
                self._log_disk_error(err)
            self.loop.sleep(self.settings.poll_interval_s)

    def _repeat_reload(self) -> None:
        """Reload the serving process: the agent before this one may have ended before it sent the signal."""
        alive = self.processes.alive()
        for process in self.state.processes:
            is_reloadable = process.role == Role.SERVING and process.has_accepted and process.number in alive
            if is_reloadable and process.generation in self._generations:
                self._runner.send_config(process, self._generations)

    def _log_disk_error(self, err: OSError) -> None:
        if time.monotonic() - self._disk_error_logged_at > _DISK_ERROR_LOG_INTERVAL_S:
            self._disk_error_logged_at = time.monotonic()
            log(LOG, logging.ERROR, "agent-disk-failed", error=err)

    # Observing and deciding.

    def _observation(self) -> Observation:
        return Observation(
            running=self.processes.alive(),
            accepting=self._checks.accepting,
            generations=self._generations,
            boot_id=processes.boot_id(),
            unresponsive=self._checks.unresponsive,
            has_lease=self._lease.is_held,
        )

    def _step(self) -> None:
        self._generations = self.work.run(self._refresh_disk)
        alive = self.processes.alive()
        self._checks = self._client.check([each for each in self.state.processes if each.number in alive])
        self._lease.update(self._rolls_back_unconfirmed())
        with self._exclusive():
            decision = host_step.decide(self.state, time.monotonic(), self._observation(), self._timeouts)
            self._save(decision.state)
            for action in decision.actions:
                self._runner.run(action, self.state, self._generations)

    def _rolls_back_unconfirmed(self) -> bool:
        is_unconfirmed = self.state.fault == host_state.NOT_CONFIRMED_IN_TIME
        return self.state.phase == HostPhase.ROLLING_BACK and is_unconfirmed

    def _refresh_disk(self) -> dict[str, Generation]:
        self._launcher.rotate_logs()
        return self.store.all()

    @contextmanager
    def _exclusive(self) -> Iterator[None]:
        """Let one decision be made, stored and acted on at a time."""
        while self._is_deciding:
            self.loop.sleep(_DECISION_PAUSE_S)
        self._is_deciding = True
        try:
            yield
        finally:
            self._is_deciding = False

    def _save(self, state: HostState) -> None:
        """Store a state, unless it is the present one; raises ``OSError``."""
        if state == self.state:
            return
        self.point("decided")
        self.work.run(self.state_file.save, state)
        self._log_phase(state)
        self.state = state
        self.point("stored")

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
        return answer or [NO_HOST]

    def _status(self) -> list[str]:
        status = host_calls.status_of(self.state, time.monotonic(), self._observation(), self._memory_limit_mb)
        return messages.encode_status(status)

    def _handle_call(self, line: str) -> list[str]:
        """Carry out a call that changes something; it is answered once the change is on disk."""
        try:
            call = messages.decode_call(line)
        except ValueError as err:
            return [f"ERR {err}"]
        try:
            with self._exclusive():
                result = host_calls.handle_call(self.state, call, time.monotonic(), self._observation())
                self._save(result.state)
        except OSError as err:
            return [f"ERR the state can't be kept: {err.strerror}"]
        self.point("answering")
        log(LOG, logging.INFO, "agent-called", call=line, answer=result.answer)
        if not result.answer.startswith(host_calls.OK):
            return [result.answer]
        return [result.answer, *self._status()[1:]]
