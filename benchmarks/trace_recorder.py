"""Measures what the recorder costs a worker host: CPU for a request, with the recorder on and off."""

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
REQUESTS_PER_ROUND = 30  # at once, on one connection
OFF = "off"
ON = "on"


class _MeasuredHost:
    """A worker host on a core of its own, and a gateway's connection to it."""

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
        """Return the process that writes the trace, the only child."""
        return int(Path(f"/proc/{self.pid}/task/{self.pid}/children").read_text())

    def cpu_us_per_request(self) -> float:
        """Send one round's requests; return the CPU of the host's own process for each."""
        began = main_thread_cpu_s(self.pid)
        numbers = [self._gateway.request("track", "call:200") for _ in range(REQUESTS_PER_ROUND)]
        for number in numbers:
            self._gateway.answer(number)
        return (main_thread_cpu_s(self.pid) - began) / REQUESTS_PER_ROUND * 1e6


def measure_recorder(rounds: int = ROUNDS) -> None:
    """Compare two hosts in rounds of some milliseconds on one core, so that other load meets both alike."""
    core = min(os.sched_getaffinity(0))
    other_cores = os.sched_getaffinity(0) - {core}
    measured: dict[str, list[float]] = {OFF: [], ON: []}
    with tempfile.TemporaryDirectory() as folder:
        hosts = {name: _MeasuredHost(Path(folder) / name, name == ON, core) for name in measured}
        writer = hosts[ON].writer_pid()
        os.sched_setaffinity(0, other_cores)
        os.sched_setaffinity(writer, other_cores)
        for round_number in range(rounds + WARM_UP_ROUNDS):
            for name in (OFF, ON) if round_number % 2 else (ON, OFF):
                cost = hosts[name].cpu_us_per_request()
                if round_number >= WARM_UP_ROUNDS:
                    measured[name].append(cost)
        writer_cost = main_thread_cpu_s(writer) / REQUESTS_PER_ROUND / (rounds + WARM_UP_ROUNDS) * 1e6
        for each in hosts.values():
            each.host.close()
    show("CPU of the host for a request, us", ("", OFF, ON, "ratio"), _rows(measured, writer_cost))


def _rows(measured: dict[str, list[float]], writer_cost: float) -> list[tuple[Any, ...]]:
    off, on = measured[OFF], measured[ON]
    ratios = sorted(with_recorder / without for without, with_recorder in zip(off, on, strict=True))
    low, high = ratios[len(ratios) // 4], ratios[3 * len(ratios) // 4]
    means = (statistics.mean(off), statistics.mean(on))
    medians = (statistics.median(off), statistics.median(on))
    spread = f"{statistics.median(ratios):.3f} (half of the rounds: {low:.3f} to {high:.3f})"
    return [
        ("mean", f"{means[0]:.1f}", f"{means[1]:.1f}", f"{means[1] / means[0]:.3f}"),
        ("median", f"{medians[0]:.1f}", f"{medians[1]:.1f}", spread),
        ("the writer's process", "", f"{writer_cost:.1f}", ""),
    ]
