"""Wires the parts of the worker host together and starts them."""

from __future__ import annotations

import gc
import logging
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from lapispick.conf import settings as conf
from lapispick.conf.sections import Settings
from lapispick.file_errors import InvalidFileError
from lapispick.host import events
from lapispick.host.config import Config, ConfigError, load
from lapispick.host.core import Core
from lapispick.host.executor import ExecutorLink
from lapispick.host.handover.handshake import HostIdentity
from lapispick.host.handover.service import Handover
from lapispick.host.jsonrpc.front import JsonRpcFront
from lapispick.host.logs import log, setup
from lapispick.host.metrics import ExtendedMetrics
from lapispick.host.ops import Operators
from lapispick.host.registry import RegistryClient
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.store import StoreClient
from lapispick.host.streams import GRACEFUL_CLOSE_S
from lapispick.idempotency.ownership import Role

LOG = "host"
CLOSE_LISTENER_S = 0.4  # s before the end; until then those who did not hear yet are refused in plain words
# ms; a process that was succeeded is stopped after the longest deadline, or this if that is less, and this more
HANDED_MS = (3000.0, 700.0)
CROSSED_S = 0.4  # s; requests that crossed our goaway have been read by then
RELOADED = ("executor", "store", "roster", "stop_ms")  # keys that a reload changes in place
OLD_FILE, OLD_VARIABLE = "deploy/amqp.toml", "LAPISPICK_AMQP"  # as in lapispick.conf.legacy
END_S = 0.05  # s before the end; by then all is answered and handed over
LAST_S = 0.12  # s before the end; until then clients may end their side too, and the rest is for the end of the process


class Signals:
    """Signals as bytes on a socket, so that the loop takes them like anything else."""

    def __init__(self) -> None:
        self.told, self._tell = socket.socketpair()
        for end in (self.told, self._tell):
            end.setblocking(False)
        signal.set_wakeup_fd(self._tell.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)

    def take(self) -> bytes:
        """Return the numbers of those that came."""
        try:
            return self.told.recv(256)
        except BlockingIOError:
            return b""


class Host:
    """All parts of one worker host."""

    def __init__(self, config: Config, own: Settings, signals: Signals) -> None:
        limits, settings = config.limits, config.start
        self.loop, self.config, self.signals, self.leaving = EventLoop(limits.unsent), config, signals, False
        loop = self.loop
        self.core = core = Core(
            loop, settings, int(config.seed, 16), limits.kept, limits.open, [s.name for s in config.settings.services]
        )
        self.executor = core.peers.executor = ExecutorLink(loop, config.address("executor"), core.post)
        self.store = core.peers.store = StoreClient(loop, config.store_address, core.post, most=limits.calls)
        self.registry = RegistryClient(loop, config.address("roster"), config.name)
        core.health.on_listed = self.registry.set
        self.gateways = JsonRpcFront(
            loop,
            config.address("listen"),
            config.settings,
            settings,
            limits.connections,
            core.post,
            lambda: core.answers.backpressure,
        )
        core.peers.fronts.append(self.gateways)
        self.operators = None
        if config.ops:
            self.operators = Operators(
                loop,
                config.address("ops"),
                limits.operators,
                {
                    "check": self._check,
                    "vars": self._figures,
                    "drain-on": lambda: self._drain(True),
                    "drain-off": lambda: self._drain(False),
                },
            )
        self.members = self._members(own) if own.members.enabled else None
        self.handover = self._handover(own)
        if own.metrics.enabled:
            core.answers.extended_metrics = ExtendedMetrics(
                [s.name for s in config.settings.services],
                [(c.latency_objective_ms, c.priority_weight, c.late_weight) for c in settings.classes],
                os.environ.get("LAPISPICK_GENERATION", ""),
                _memory_kb,
            )
        self.recorder = None
        if own.trace.enabled:
            from lapispick.host.recorder import Recorder

            self.recorder = core.peers.recorder = Recorder(
                loop, own.trace, config.name, config.settings, config.limits.memory_mb
            )
        if own.amqp.enabled:
            self._consume(own)

    def _consume(self, own: Settings) -> None:
        """Let the AMQP front follow the list; what is off is not even imported."""
        from lapispick.fleet.reconciler import Bounds
        from lapispick.host.amqp import inventory_schema
        from lapispick.host.amqp.front import AmqpFront
        from lapispick.host.dns_resolver import DnsResolver
        from lapispick.host.inventory import Inventory

        config, told, core = self.config, own.inventory, self.core
        names = DnsResolver(self.loop, told.resolve_timeout_s, told.hosts_file)
        bounds = Bounds(
            told.max_changing_fraction,
            told.min_changing,
            told.change_timeout_s,
            own.amqp.drain_timeout_s,
            config.limits.brokers,
        )
        front = AmqpFront(self.loop, bounds, config.settings, config.start, core.post, names, told.resolve_interval_s)
        core.peers.fronts.append(front)
        inventory = Inventory(self.loop, told, inventory_schema.schema(config.settings), front.apply)
        front.start()
        self.loop.spawn(inventory.serve)

    def _members(self, own: Settings) -> Any:
        """Talk to the other worker hosts of the list; what is off is not even imported."""
        from lapispick.host.members.service import MembersService
        from lapispick.host.members.store_watch import StoreWatch

        config = self.config
        self.store_watch = StoreWatch(self.core.post)
        self.store.post = self.store_watch.post
        listing = msgspec.structs.replace(own.inventory, group=own.fleet.group, state_folder=own.fleet.state_folder)
        made = MembersService(
            self.loop, own.members, listing, config.name, int(config.seed, 16), self._facts, config.limits.unsent // 4
        )
        if self.operators is not None:
            self.operators.answers(made.calls.without_arguments(), made.calls.with_arguments)
        return made

    def _facts(self) -> list[tuple[str, str, float, int, str]]:
        """Return what the other worker hosts are told of this one: kind, subject, value, count, text."""
        core, health = self.core, self.core.health.state
        made = [
            ("draining", "", float(health.draining or health.shutting_down), 1, ""),
            ("load", "", round(core.owed / max(1, self.config.limits.open), 2), 1, ""),
            ("cold", "", float(not health.ready), 1, ""),
        ]
        if (store := self.store_watch.relative_latency()) is not None:
            made.append(("store", self.config.store, *store, ""))
        if generation := os.environ.get("LAPISPICK_GENERATION", ""):
            made.append(("generation", "", 1.0, 1, generation))
        return made

    def _handover(self, own: Settings) -> Handover | None:
        """Find out whether another process of this worker host serves; without one, listen at once."""
        config, core = self.config, self.core
        folder = own.handover.folder or os.environ.get("TMPDIR")
        made = None
        if own.handover.enabled and folder and config.address("listen")[1]:
            try:
                made = Handover(
                    self.loop,
                    Path(folder),
                    HostIdentity(config.name, config.listen),
                    config.limits.unsent,
                    self.gateways,
                    core.post,
                    self._share,
                )
            except OSError as err:  # a platform that has no place for it: alone, as before
                log(LOG, logging.WARNING, "handover-off", error=err)
        if made is None or made.lock.acquired:
            self.gateways.listen()
            if made is not None and made.lock.previous_end_s:
                core.idempotency.ownership.unknown_outcomes.mark_until(made.lock.previous_end_s * 1000)
        else:
            core.health.state.listening = False
            core.idempotency.ownership.role = Role.SUSPENDED
        return made

    def _share(self, others: int | None) -> None:
        """Divide descriptors with another process of this worker host."""
        self.gateways.peer_connections, self.store.shared = others, others is not None

    def _opened(self, listener: socket.socket | None) -> None:
        """Take clients, beside the process that served so far or after it."""
        self.gateways.listen(listener)
        self.core.health.state.listening = True
        for serve in (self.gateways.serve, self.registry.serve):
            self.loop.spawn(serve)
        log(LOG, logging.INFO, "open", listen=self.gateways.address, passed=listener is not None)

    def _check(self) -> list[str]:
        """Tell whether this process takes clients."""
        return [f"ERR {why}" if (why := self.core.health.state.not_accepting_reason) else "OK"]

    def _figures(self) -> list[str]:
        extended = self.core.answers.extended_metrics.lines() if self.core.answers.extended_metrics is not None else []
        return [*self.core.answers.metrics.lines(self.core.owed), *extended, "END"]

    def _drain(self, on: bool) -> list[str]:
        self.core.post(events.DrainChanged(on))  # in the queue before any health check that is read after this
        return ["OK"]

    def run(self) -> None:
        """Run until told to leave."""
        for serve in (self.core.serve, self.executor.serve, self._watch):
            self.loop.spawn(serve)
        if self.gateways.is_listening:
            for serve in (self.gateways.serve, self.registry.serve):
                self.loop.spawn(serve)
            if self.handover is not None:
                self.loop.spawn(self.handover.serve)
        elif self.handover is not None:
            self.loop.spawn(self.handover.join, self._opened, lambda: self.core.health.state.ready)
        if self.operators is not None:
            self.loop.spawn(self.operators.serve)
        if self.members is not None:
            self.loop.spawn(self.members.serve)
        limits = self.config.limits
        log(
            LOG,
            logging.INFO,
            "started",
            name=self.config.name,
            listen=self.gateways.address,
            ops=self.operators.address if self.operators else "no",
            cores=limits.cores,
            memory_mb=limits.memory_mb,
            sockets=limits.sockets,
            stop_ms=self.config.stop_ms,
        )
        gc.freeze()
        self.loop.run()

    def _watch(self) -> None:
        """Act on signals, for ever: SIGHUP may come at any time, also while we leave."""
        while True:
            self.loop.wait_for_io(self.signals.told.fileno(), READ)
            came = self.signals.take()
            if signal.SIGHUP in came:
                self.loop.call_soon(self._reload)
            if not self.leaving and (signal.SIGTERM in came or signal.SIGINT in came):
                self.leaving = True
                self.loop.spawn(self._leave)

    def _reload(self) -> None:
        """Read the configuration again and go over to the peers' new addresses; the rest needs a restart."""
        try:
            fresh = load()
        except ConfigError as err:
            log(LOG, logging.ERROR, "reload-refused", fault=err)
            return
        keys = [f.name for f in msgspec.structs.fields(Config)]
        changed = [key for key in keys if getattr(fresh, key) != getattr(self.config, key)]
        taken = [key for key in changed if key in RELOADED]
        for key in taken:
            setattr(self.config, key, getattr(fresh, key))
        log(LOG, logging.INFO, "reloaded", changed=",".join(taken) or "nothing")
        if self.recorder is not None:
            self.recorder.happened("reloaded", ",".join(taken))
        if left := [key for key in changed if key not in RELOADED]:
            log(LOG, logging.WARNING, "reload-left-out", needs_restart=",".join(left))
        self.executor.move(self.config.address("executor"))
        self.store.move(self.config.store_address)
        self.registry.move(self.config.address("roster"))

    def _leave(self) -> None:
        """Serve until shortly before the process is stopped, and end once all that was read is answered."""
        stop_ms, loop = self.config.stop_ms, self.loop
        if self.members is not None:
            self.members.leave()
        if self.handover is not None and self.handover.peer_serves:
            return self._hand_over(self.handover)
        self.core.post(events.ShutdownRequested(stop_ms))
        end_at = time.monotonic() + stop_ms / 1000
        loop.sleep(max(0.0, end_at - CLOSE_LISTENER_S - time.monotonic()))
        self.gateways.close_listener()
        loop.sleep(CLOSE_LISTENER_S / 2)  # what came with the last connections is read meanwhile
        while True:
            loop.sleep(0.01)  # once at least, however late it is: what came while we were held up is still read
            if time.monotonic() >= end_at - END_S or self._done():
                break
        self._end(end_at)

    def _done(self) -> bool:
        """Tell whether all that came was read and answered, and the answers handed to the system."""
        return (
            self.core.owed == 0
            and self.gateways.is_idle()
            and all(front.is_flushed() for front in self.core.peers.fronts)
        )

    def _hand_over(self, handover: Handover) -> None:
        """End once all that was read here is answered; the other process of this worker host goes on."""
        deadline = max(c.deadline_ms for c in self.config.start.classes)
        stop_ms, loop = min(self.config.stop_ms, min(deadline, HANDED_MS[0]) + HANDED_MS[1]), self.loop
        self.core.post(events.ShutdownRequested(stop_ms, handed_over=True))
        self.gateways.close_listener(handover.listener_shared)
        began = time.monotonic()
        end_at = began + stop_ms / 1000
        while time.monotonic() < end_at - END_S:
            loop.sleep(0.02)
            if time.monotonic() > began + CROSSED_S and self._done():
                break
        self._end(end_at)

    def _end(self, end_at: float) -> None:
        # From here on nothing is read that would be lost, nor run behind the last word to the other process; peers
        # still get what is on its way, which a process that ends over unread bytes would reset.
        self.gateways.close_connections()
        last = min(end_at - LAST_S, time.monotonic() + GRACEFUL_CLOSE_S)
        while time.monotonic() < last and not self.gateways.all_closed():
            self.loop.sleep(0.005)
        if self.handover is not None:
            self.handover.finish()
        if self.recorder is not None:
            self.recorder.close(end_at - time.monotonic())
        log(LOG, logging.INFO, "ended", unanswered=self.core.owed)
        self.loop.stop()


def _memory_kb() -> tuple[int, int]:
    """Return the memory that the process holds and that it held at worst, as the system counts it."""
    with open("/proc/self/status", "rb") as file:
        told = dict(line.split(b":", 1) for line in file.read().splitlines())
    return int(told[b"VmRSS"].split()[0]), int(told[b"VmHWM"].split()[0])


def _own_settings() -> Settings:
    """Read the operators' settings, and the file that was theirs before; raises ``InvalidFileError``."""
    own = conf.load()
    if os.environ.get(OLD_VARIABLE) or os.path.exists(OLD_FILE):
        from lapispick.conf import legacy

        path = legacy.located(os.environ)
        assert path is not None
        log(LOG, logging.WARNING, "amqp-toml-old", file=path, use=conf.located())
        own = legacy.merged(own, path)
    return own


def main() -> int:
    """Start from the environment; 2 for a faulty configuration."""
    setup()
    signals = Signals()  # first of all; until here the start command ignores SIGHUP, which would end the process
    try:
        config, own = load(), _own_settings()
        logging.getLogger().setLevel(own.log.level.upper())
        Host(config, own, signals).run()
    except ConfigError as err:
        log(LOG, logging.ERROR, "config-faulty", fault=err)
        return 2
    except InvalidFileError as err:
        for fault in err.faults:
            log(LOG, logging.ERROR, "config-faulty", fault=fault)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
