"""Measures the CPU cost of the trace recorder: CPU time per request of a host with the recorder on and off."""

from __future__ import annotations

import os
import socket
import statistics
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.common import main_thread_cpu_s, show
from lapispick.fakes.host_process import HostProcess

ROUNDS = 300
WARM_UP_ROUNDS = 20
REQUESTS_PER_ROUND = 30  # sent at once on one connection
OFF = "off"
ON = "on"


class _MeasuredHost:
    """Worker host that is bound to one core, and a gateway connection to it."""

    def __init__(self, folder: Path, recording: bool, core: int) -> None:
        folder.mkdir()
        conf = folder / "own.conf"
        conf.write_text(f"section trace\n enabled {'yes' if recording else 'no'}\n folder t\nend\n")
        self.host = HostProcess(folder, environ={**os.environ, "LAPISPICK_CONF": str(conf)})
        self.pid = self.host.process.pid
        self._gateway = self.host.gateway()
        self._gateway.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        os.sched_setaffinity(self.pid, {core})

    def writer_pid(self) -> int:
        """Return the id of the process that writes the trace, the only child of the host."""
        return int(Path(f"/proc/{self.pid}/task/{self.pid}/children").read_text())

    def cpu_us_per_request(self) -> float:
        """Send one round of requests; return the CPU time of the host's main thread per request, in us."""
        cpu_before_s = main_thread_cpu_s(self.pid)
        numbers = [self._gateway.request("track", "call:200") for _ in range(REQUESTS_PER_ROUND)]
        for number in numbers:
            self._gateway.answer(number)
        return (main_thread_cpu_s(self.pid) - cpu_before_s) / REQUESTS_PER_ROUND * 1e6


def measure_recorder(rounds: int = ROUNDS) -> None:
    """Compare two hosts in alternating rounds of a few ms on the same core, so that other load affects both equally."""
    core = min(os.sched_getaffinity(0))
    other_cores = os.sched_getaffinity(0) - {core}
    costs_us: dict[str, list[float]] = {OFF: [], ON: []}
    with tempfile.TemporaryDirectory() as folder:
        hosts = {name: _MeasuredHost(Path(folder) / name, name == ON, core) for name in costs_us}
        writer_pid = hosts[ON].writer_pid()
        os.sched_setaffinity(0, other_cores)
        os.sched_setaffinity(writer_pid, other_cores)
        for round_number in range(rounds + WARM_UP_ROUNDS):
            for name in (OFF, ON) if round_number % 2 else (ON, OFF):
                cost_us = hosts[name].cpu_us_per_request()
                if round_number >= WARM_UP_ROUNDS:
                    costs_us[name].append(cost_us)
        writer_cost_us = main_thread_cpu_s(writer_pid) / REQUESTS_PER_ROUND / (rounds + WARM_UP_ROUNDS) * 1e6
        for measured_host in hosts.values():
            measured_host.host.close()
    show("CPU of the host for a request, us", ("", OFF, ON, "ratio"), _rows(costs_us, writer_cost_us))


def _rows(costs_us: dict[str, list[float]], writer_cost_us: float) -> list[tuple[Any, ...]]:
    off, on = costs_us[OFF], costs_us[ON]
    ratios = sorted(with_recorder / without for without, with_recorder in zip(off, on, strict=True))
    low, high = ratios[len(ratios) // 4], ratios[3 * len(ratios) // 4]
    means = (statistics.mean(off), statistics.mean(on))
    medians = (statistics.median(off), statistics.median(on))
    spread = f"{statistics.median(ratios):.3f} (half of the rounds: {low:.3f} to {high:.3f})"
    return [
        ("mean", f"{means[0]:.1f}", f"{means[1]:.1f}", f"{means[1] / means[0]:.3f}"),
        ("median", f"{medians[0]:.1f}", f"{medians[1]:.1f}", spread),
        ("the writer's process", "", f"{writer_cost_us:.1f}", ""),
    ]
