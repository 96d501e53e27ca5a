"""Worker host of an emulated fleet: its folder, its address, its processes and their executors."""

import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys

from lapispick.fakes.commands import ROOT
from lapispick.fakes.fleet_peers import STORE, RecordingExecutor
from lapispick.fakes.ports import call_ops, free_port
from lapispick.fakes.waiting import wait_until

REGISTRY = "registry"


class FleetHost:
    """A host: a folder and a serving address that its processes share, and an executor for each process."""

    def __init__(self, fleet, name, zone="", machine=""):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.machine = machine
        self.folder = fleet.folder / name
        (self.folder / "tmp").mkdir(parents=True)
        self._port_holder = socket.socket()  # reserves the port; the processes share it by SO_REUSEPORT
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._port_holder.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._port_holder.getsockname()[1]}"
        self.store_address = fleet.net.tcp(name, STORE, fleet.store.address)
        self.registry_address = fleet.net.udp(name, REGISTRY, fleet.registry.address)
        self.executors = []
        self.processes = []
        self._start_count = 0
        self.clock_skew_s = 0.0
        self.agent = None

    def slot(self):
        """Create an executor for one more process; return its address and an operator address as settings."""
        executor = RecordingExecutor(
            self.fleet.record, self.name, f"p{len(self.executors)}", **self.fleet.executor_options
        )
        executor.slowdown = self.fleet.slowdowns.get(self.name, 1.0)
        self.executors.append(executor)
        return {"ops": f"127.0.0.1:{free_port()}", "executor": executor.address}

    def config(self, **overrides):
        """Return the platform configuration of a process."""
        return {
            "name": self.name,
            "listen": self.address,
            "executor": "",
            "roster": self.registry_address,
            "store": self.store_address,
            "seed": f"{self.fleet.random.getrandbits(64):016x}",
            "stop_ms": self.fleet.stop_ms,
            "ops": "",
            "limits": {"cores": 1.0, "memory_mb": self.fleet.memory_limit_mb, "sockets": 256},
            "settings": self.fleet.info,
            **overrides,
        }

    def environ(self, **overrides):
        """Return the environment variables of a process."""
        return {**os.environ, "TMPDIR": str(self.folder / "tmp"), "PYTHONPATH": str(ROOT), **overrides}

    def start(self, program=None, conf=None, clock_skew_s=0.0):
        """Start a process without an agent and return it once it accepts clients."""
        slot = self.slot()
        self._start_count += 1
        path = self.folder / f"config-{self._start_count}.json"
        path.write_text(json.dumps(self.config(**slot)))
        environ = self.environ(LB_CONFIG=str(path), **({"LAPISPICK_CONF": str(conf)} if conf else {}))
        environ["PYTHONPATH"] = str(program or ROOT)
        self.clock_skew_s = clock_skew_s
        if clock_skew_s:
            environ["PYTHONPATH"] = f"{self._skewed_clock_folder()}{os.pathsep}{environ['PYTHONPATH']}"
        process = subprocess.Popen(
            [sys.executable, "-m", "lapispick.host"],
            env=environ,
            cwd=program or ROOT,
            stderr=path.with_suffix(".log").open("w"),
        )
        self.processes.append(process)
        process.ops = slot["ops"]
        process.name = self.executors[-1].process
        wait_until(lambda: call_ops(process.ops, "check") == ["OK"], f"a passing health check of {self.name}")
        return process

    def _skewed_clock_folder(self):
        """Return a folder for PYTHONPATH that skews the wall clock of a process but not its monotonic clock."""
        folder = self.folder / "skew"
        folder.mkdir(exist_ok=True)
        (folder / "sitecustomize.py").write_text(
            f"import time\n_true = time.time\ntime.time = lambda: _true() + {self.clock_skew_s!r}\n"
        )
        return folder

    def serving_pids(self):
        """Return the ids of the processes that serve this host, started by the test or by the agent."""
        if self.agent is not None:
            return self.agent.pids()
        return [process.pid for process in self.processes if process.poll() is None]

    def kill(self, lose_disk=False):
        """Kill all processes of the host at once, as a power failure does; its disk is kept or lost."""
        self.fleet.record.begin_fault("killed", [self.name])
        if self.agent is not None:
            self._kill_with_agent()
        self._kill_processes()
        if lose_disk:
            shutil.rmtree(self.folder / "tmp")
            (self.folder / "tmp").mkdir()

    def _kill_with_agent(self):
        self.agent.kill()
        for pid in self.agent.pids():
            os.kill(pid, signal.SIGKILL)
        wait_until(lambda: not self.agent.pids(), f"the end of all processes of {self.name}")

    def _kill_processes(self):
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()

    def peak_memory_mb(self):
        """Return the peak memory of each running process; measure again if one ended meanwhile."""

        def measure():
            peaks = [process_peak_memory_mb(pid) for pid in self.serving_pids()]
            return (peaks,) if None not in peaks else None

        return wait_until(measure, f"a measurement of the memory of all processes of {self.name}")[0]

    def close(self):
        """Kill all processes and close their executors."""
        self._kill_processes()
        for executor in self.executors:
            executor.close()
        self._port_holder.close()


def process_peak_memory_mb(pid):
    """Return the peak memory of a process, or None if it has ended."""
    try:
        with open(f"/proc/{pid}/status") as file:
            peak = re.search(r"VmHWM:\s+(\d+)", file.read())
    except OSError:
        return None
    return int(peak.group(1)) / 1024 if peak else None
