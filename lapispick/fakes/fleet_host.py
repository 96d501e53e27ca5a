"""A worker host of an emulated fleet: its folder, its address, its processes and their executors."""

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
    """One host: a folder that its processes share, a serving address, and slots for a process and its successor."""

    def __init__(self, fleet, name, zone="", machine=""):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.machine = machine
        self.folder = fleet.folder / name
        (self.folder / "tmp").mkdir(parents=True)
        self._port_holder = socket.socket()  # keeps the port for processes that share it
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._port_holder.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._port_holder.getsockname()[1]}"
        self.store_address = fleet.net.tcp(name, STORE, fleet.store.address)
        self.registry_address = fleet.net.udp(name, REGISTRY, fleet.registry.address)
        self.executors = []
        self.processes = []
        self._starts = 0
        self.clock_skew_s = 0.0
        self.agent = None

    def slot(self):
        """Return what one more process needs: where operators call, and an executor of its own."""
        executor = RecordingExecutor(
            self.fleet.record, self.name, f"p{len(self.executors)}", **self.fleet.executor_options
        )
        executor.slowdown = self.fleet.slowdowns.get(self.name, 1.0)
        self.executors.append(executor)
        return {"ops": f"127.0.0.1:{free_port()}", "executor": executor.address}

    def config(self, **over):
        """Return the platform's configuration of a process."""
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
            **over,
        }

    def environ(self, **over):
        """Return the environment of a process."""
        return {**os.environ, "TMPDIR": str(self.folder / "tmp"), "PYTHONPATH": str(ROOT), **over}

    def start(self, program=None, conf=None, skew=0.0):
        """Start a process without an agent; returns it once it accepts clients. ``skew``: of its wall clock, s."""
        slot = self.slot()
        self._starts += 1
        path = self.folder / f"config-{self._starts}.json"
        path.write_text(json.dumps(self.config(**slot)))
        environ = self.environ(LB_CONFIG=str(path), **({"LAPISPICK_CONF": str(conf)} if conf else {}))
        environ["PYTHONPATH"] = str(program or ROOT)
        self.clock_skew_s = skew
        if skew:
            environ["PYTHONPATH"] = f"{self._skewed_clock_folder(skew)}{os.pathsep}{environ['PYTHONPATH']}"
        process = subprocess.Popen(
            [sys.executable, "-m", "lapispick.host"],
            env=environ,
            cwd=program or ROOT,
            stderr=path.with_suffix(".log").open("w"),
        )
        self.processes.append(process)
        process.ops = slot["ops"]
        process.name = self.executors[-1].process
        wait_until(lambda: call_ops(process.ops, "check") == ["OK"], f"yes from {self.name}")
        return process

    def _skewed_clock_folder(self, skew):
        """Return a folder that lets a process begin with another wall clock; its monotonic one is left alone."""
        folder = self.folder / "skew"
        folder.mkdir(exist_ok=True)
        (folder / "sitecustomize.py").write_text(
            f"import time\n_true = time.time\ntime.time = lambda: _true() + {skew!r}\n"
        )
        return folder

    def serving_pids(self):
        """Return the process ids of whatever serves this host: its own processes, or its agent's."""
        if self.agent is not None:
            return self.agent.pids()
        return [process.pid for process in self.processes if process.poll() is None]

    def kill(self, lose_disk=False):
        """Kill all processes of the host at once, as a power cut does; its disk is kept or lost."""
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
        wait_until(lambda: not self.agent.pids(), "the end of all processes")

    def _kill_processes(self):
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()

    def peak_memory_mb(self):
        """Return the peak memory of each process that runs; looks again where one ended meanwhile."""

        def measured():
            peaks = [process_peak_memory_mb(pid) for pid in self.serving_pids()]
            return (peaks,) if None not in peaks else None

        return wait_until(measured, f"the memory of all processes of {self.name}")[0]

    def close(self):
        """Kill all processes and close their executors."""
        self._kill_processes()
        for executor in self.executors:
            executor.close()
        self._port_holder.close()


def process_peak_memory_mb(pid):
    """Return the peak memory of a process; None where it has ended."""
    try:
        with open(f"/proc/{pid}/status") as file:
            found = re.search(r"VmHWM:\s+(\d+)", file.read())
    except OSError:
        return None
    return int(found.group(1)) / 1024 if found else None
