"""A worker host in a separate process, with fakes of its peers."""

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys

from lapispick.fakes.executor import Executor
from lapispick.fakes.gateway import GatewayConnection
from lapispick.fakes.log_events import internal_errors
from lapispick.fakes.registry import ServiceRegistry
from lapispick.fakes.start_settings import LIMITS, PLATFORM_INFO, make_start_settings
from lapispick.fakes.store import Store
from lapispick.fakes.waiting import TIMEOUT_S, wait_until

COMMAND = (sys.executable, "-m", "lapispick.host")


class HostProcess:
    """A process of a worker host.

    ``omit`` lists start settings to leave out; ``environ`` holds additional environment variables.
    """

    def __init__(
        self,
        folder,
        stop_ms=1500,
        environ=None,
        info=None,
        cwd=None,
        listen="127.0.0.1:0",
        wait_for_start=True,
        wait_for_ready=True,
        omit=(),
        limits=None,
        command=COMMAND,
        seed="8c1f30d27a5be964",
        executor=None,
        store=None,
        registry=None,
    ):
        self.folder = folder
        self.executor = executor or Executor()
        self.store = store or Store()
        self.registry = registry or ServiceRegistry()
        settings = make_start_settings(
            listen=listen,
            seed=seed,
            stop_ms=stop_ms,
            ops="127.0.0.1:0",
            limits={**LIMITS, **(limits or {})},
            settings=info or PLATFORM_INFO,
            **self._peer_addresses(),
        )
        self.config = {key: value for key, value in settings.items() if key not in omit}
        self.path = folder / f"config{len(list(folder.glob('config*.json'))) or ''}.json"
        self.log_path = self.path.with_suffix(".log")
        self.address = listen
        self._start(command, cwd, environ or {})
        if wait_for_start:
            self._wait_for_start(wait_for_ready)

    def _start(self, command, cwd, environ):
        self.path.write_text(json.dumps(self.config))
        environment = {**os.environ, "LB_CONFIG": str(self.path), **environ}
        self.process = subprocess.Popen(command, stderr=self.log_path.open("w"), cwd=cwd, env=environment)

    def _peer_addresses(self):
        """Return the addresses of the peers, keyed by start setting."""
        return {
            "executor": self.executor.address,
            "store": self.store.address,
            "roster": self.registry.address,
        }

    def _wait_for_start(self, wait_for_ready):
        try:
            listen_match = wait_until(lambda: re.search(r"event=started .*listen=(\S+)", self.log()), "the start")
            self.address = listen_match.group(1)
            ops_match = re.search(r"event=started .*ops=(\S+)", self.log())
            self.ops = ops_match.group(1) if ops_match else ""  # earlier versions have no ops address
            if wait_for_ready:
                self.wait_for_log("ready")
        except AssertionError:
            self.close()
            raise

    def start_successor(self, **overrides):
        """Start a second process of this host, as an upgrade does, with a new executor."""
        options = {
            "store": self.store,
            "registry": self.registry,
            "listen": self.config["listen"],
            "stop_ms": self.config["stop_ms"],
            "info": self.config["settings"],
        }
        return HostProcess(self.folder, **{**options, **overrides})

    def log(self):
        """Return the log of the process so far."""
        return self.log_path.read_text()

    def wait_for_log(self, event):
        """Wait until an event is logged."""
        return wait_until(lambda: f"event={event}" in self.log(), f"log line {event}")

    def check_no_internal_errors(self):
        """Fail if the process logged an internal error."""
        assert internal_errors(self.log()) == [], "the host logged internal errors"

    def gateway(self):
        """Return a new gateway connection to the host."""
        return GatewayConnection.connect(self.address)

    def call_ops(self, line=b"check", end=b"\n"):
        """Send a call to the ops address and return the lines of the answer."""
        host, port = self.ops.split(":")
        with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as sock:
            sock.sendall(line + end)
            return sock.makefile("rb").read().decode().splitlines()

    def metrics(self):
        """Return the metrics by name, without the prefix ``app.``."""
        *lines, last = self.call_ops(b"vars")
        assert last == "END"
        pairs = [re.fullmatch(r"app\.(\S+):(\d+)\|[cg]", line).groups() for line in lines]
        return {name: int(value) for name, value in pairs}

    def peak_memory_mb(self):
        """Return the peak resident memory of the process, in MB."""
        with open(f"/proc/{self.process.pid}/status") as file:
            return int(re.search(r"VmHWM:\s+(\d+)", file.read()).group(1)) / 1024

    def write_config(self, text=None, omit=(), **overrides):
        """Replace the start settings.

        By default they are those of the start, with the current addresses of the peers.
        """
        peers = {key: address for key, address in self._peer_addresses().items() if key not in omit}
        temporary_path = self.path.with_suffix(".new")
        temporary_path.write_text(text or json.dumps({**self.config, **peers, **overrides}))
        temporary_path.replace(self.path)

    def reload(self, text=None, omit=(), **overrides):
        """Replace the start settings, send SIGHUP and wait for the reload."""
        reloads_before = self.log().count("event=reload")
        self.write_config(text, omit, **overrides)
        self.process.send_signal(signal.SIGHUP)
        wait_until(lambda: self.log().count("event=reload") > reloads_before, "the reload")

    def terminate(self):
        """Request a shutdown with SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    @contextlib.contextmanager
    def suspended(self):
        """Suspend the process; when it resumes, it finds all data that was sent meanwhile at once."""
        self.process.send_signal(signal.SIGSTOP)
        try:
            wait_until(self.is_suspended, "the suspension of the process")
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)

    def is_suspended(self):
        """Return True if the process is suspended or has ended."""
        with open(f"/proc/{self.process.pid}/status") as file:
            return re.search(r"State:\s+[TZ]", file.read()) is not None

    def close(self):
        """Kill the process and close its peers."""
        self.process.kill()
        self.process.wait()
        for peer in (self.executor, self.store, self.registry):
            peer.close()
