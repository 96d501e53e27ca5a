"""Assembles the parts of the worker host, and starts the greenlets that serve them."""

from __future__ import annotations

import gc
import logging
import os
import signal
import socket
from typing import TYPE_CHECKING

from lapispick.conf.sections import Settings
from lapispick.host.config import Config
from lapispick.host.core import Core
from lapispick.host.executor import ExecutorLink
from lapispick.host.handover.handshake import HostIdentity
from lapispick.host.handover.service import Handover
from lapispick.host.jsonrpc.front import JsonRpcFront
from lapispick.host.logs import log
from lapispick.host.operator_calls import HostCalls
from lapispick.host.ops import OperatorServer
from lapispick.host.registry import RegistryClient
from lapispick.host.reload import ConfigurationReloader
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.shutdown import GracefulShutdown
from lapispick.host.signals import SHUTDOWN_SIGNALS, SignalSocket
from lapispick.host.store import StoreClient
from lapispick.idempotency.ownership import Role

if TYPE_CHECKING:
    from lapispick.host.members.service import MembersService
    from lapispick.host.recorder import Recorder

LOG = "host"
GENERATION_VARIABLE = "LAPISPICK_GENERATION"


class Host:
    """All parts of one worker host. The modules of an optional part are imported only if it is enabled."""

    def __init__(self, config: Config, operator_settings: Settings, signals: SignalSocket) -> None:
        """``config`` is the platform's; ``operator_settings`` are those of ``lapispick.conf``."""
        limits = config.limits
        self._config = config
        self._admission_settings = config.admission_settings
        self._signals = signals
        self._shutting_down = False
        self._loop = loop = EventLoop(limits.max_unsent_bytes)
        self.core = core = self._make_core()
        self._executor = ExecutorLink(loop, config.executor_address, core.post)
        core.peers.executor = self._executor.commands
        core.peers.store = self._store = StoreClient(loop, config.store_address, core.post, limits.max_calls)
        self._registry = RegistryClient(loop, config.registry_address, config.name)
        core.health.on_listed = self._registry.set_listed
        self.gateways = self._make_gateways()
        core.peers.fronts.append(self.gateways)
        self._operator_server = self._make_operator_server() if config.ops else None
        self._members = self._make_members(operator_settings) if operator_settings.members.enabled else None
        self._handover = self._make_handover(operator_settings)
        self._listen_or_wait()
        if operator_settings.metrics.enabled:
            self._enable_extended_metrics()
        self._recorder = self._make_recorder(operator_settings) if operator_settings.trace.enabled else None
        if operator_settings.amqp.enabled:
            from lapispick.host.amqp.assembly import start_amqp_front

            start_amqp_front(loop, config, operator_settings, core)
        self._reloader = ConfigurationReloader(config, self._executor, self._store, self._registry, self._recorder)
        self._shutdown = GracefulShutdown(
            loop, config, core, self.gateways, self._members, self._handover, self._recorder
        )

    # Construction of the parts.

    def _make_core(self) -> Core:
        config = self._config
        limits = config.limits
        class_names = [request_class.name for request_class in config.start_settings.request_classes]
        return Core(
            self._loop,
            self._admission_settings,
            config.seed_number,
            limits.max_result_bytes,
            limits.max_open_requests,
            limits.max_keys,
            class_names,
        )

    def _make_gateways(self) -> JsonRpcFront:
        config = self._config
        answers = self.core.answers
        return JsonRpcFront(
            self._loop,
            config.listen_address,
            config.start_settings,
            self._admission_settings,
            config.limits.max_connections,
            config.limits.max_input_bytes,
            self.core.post,
            lambda: answers.backpressure,
        )

    def _make_operator_server(self) -> OperatorServer:
        config = self._config
        return OperatorServer(
            self._loop, config.operators_address, config.limits.max_operator_connections, HostCalls(self.core).by_name()
        )

    def _make_members(self, operator_settings: Settings) -> MembersService:
        from lapispick.host.members.assembly import make_members_service

        members = make_members_service(self._loop, self._config, operator_settings, self.core, self._store)
        if self._operator_server is not None:
            self._operator_server.add_calls(members.calls.without_arguments(), members.calls.with_arguments)
        return members

    def _make_handover(self, operator_settings: Settings) -> Handover | None:
        """Return the link to another process of this worker host, or None if there can be no hand-over."""
        config = self._config
        folder = operator_settings.handover.folder or os.environ.get("TMPDIR")
        has_fixed_port = config.listen_address[1] != 0
        if not (operator_settings.handover.enabled and folder and has_fixed_port):
            return None
        try:
            return Handover(
                self._loop,
                folder,
                HostIdentity(config.name, config.listen),
                config.limits.max_unsent_bytes,
                self.gateways,
                self.core.post,
                self._set_peer_connections,
            )
        except OSError as err:  # the folder can't hold the lock and the socket, so there is no hand-over
            log(LOG, logging.WARNING, "handover-off", error=err)
            return None

    def _make_recorder(self, operator_settings: Settings) -> Recorder:
        from lapispick.host.recorder import Recorder

        config = self._config
        recorder = Recorder(
            self._loop, operator_settings.trace, config.name, config.start_settings, config.limits.memory_mb
        )
        self.core.peers.recorder = recorder
        return recorder

    def _enable_extended_metrics(self) -> None:
        from lapispick.host.extended_metrics import ExtendedMetrics

        config = self._config
        self.core.answers.extended_metrics = ExtendedMetrics(
            [request_class.name for request_class in config.start_settings.request_classes],
            [(c.latency_objective_ms, c.priority_weight, c.late_weight) for c in self._admission_settings.classes],
            os.environ.get(GENERATION_VARIABLE, ""),
            _read_memory_kb,
        )

    # Hand-over.

    def _listen_or_wait(self) -> None:
        """Listen at once, or wait if another process of this worker host owns the idempotency records."""
        ownership = self.core.idempotency.ownership
        lock = self._handover.lock if self._handover is not None else None
        if lock is not None and not lock.acquired:
            self.core.health.state.listening = False
            ownership.role = Role.SUSPENDED
            return
        self.gateways.listen()
        if lock is not None and lock.previous_end_s:
            ownership.unknown_outcomes.record_process_end(lock.previous_end_s * 1000)

    def _set_peer_connections(self, count: int | None) -> None:
        """Share the descriptors with another process that has ``count`` connections; None = no other process runs."""
        self.gateways.peer_connections = count
        self._store.peer_connected = count is not None

    def _accept_clients(self, listener: socket.socket | None) -> None:
        """Start to accept clients, while the previous process still serves or after its end."""
        self.gateways.listen(listener)
        self.core.health.state.listening = True
        self._serve_clients()
        log(LOG, logging.INFO, "open", listen=self.gateways.address, passed=listener is not None)

    # Running.

    def run(self) -> None:
        """Run until a signal ends the process."""
        for serve in (self.core.serve, self._executor.serve, self._watch_signals):
            self._loop.spawn(serve)
        if self.gateways.is_listening:
            self._serve_clients()
            if self._handover is not None:
                self._loop.spawn(self._handover.serve)
        elif self._handover is not None:
            self._loop.spawn(self._handover.join, self._accept_clients, lambda: self.core.health.state.ready)
        if self._operator_server is not None:
            self._loop.spawn(self._operator_server.serve)
        if self._members is not None:
            self._loop.spawn(self._members.serve)
        self._log_start()
        gc.freeze()
        self._loop.run()

    def _serve_clients(self) -> None:
        self._loop.spawn(self.gateways.serve)
        self._loop.spawn(self._registry.serve)

    def _log_start(self) -> None:
        limits = self._config.limits
        log(
            LOG,
            logging.INFO,
            "started",
            name=self._config.name,
            listen=self.gateways.address,
            ops=self._operator_server.address if self._operator_server else "no",
            cores=limits.cores,
            memory_mb=limits.memory_mb,
            sockets=limits.sockets,
            stop_ms=self._config.stop_ms,
        )

    def _watch_signals(self) -> None:
        """Handle signals until the process ends, as SIGHUP may be received during a shutdown too."""
        while True:
            self._loop.wait_for_io(self._signals.fileno(), READ)
            received = self._signals.read()
            if signal.SIGHUP in received:
                self._loop.call_soon(self._reloader.reload)
            if not self._shutting_down and any(number in received for number in SHUTDOWN_SIGNALS):
                self._shutting_down = True
                self._loop.spawn(self._shutdown.run)


def _read_memory_kb() -> tuple[int, int]:
    """Return the resident memory of this process and its peak, kB."""
    with open("/proc/self/status", "rb") as file:
        status = dict(line.split(b":", 1) for line in file.read().splitlines())
    return int(status[b"VmRSS"].split()[0]), int(status[b"VmHWM"].split()[0])
