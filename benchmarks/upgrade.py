"""Measures upgrades of a worker host, and calls to its operators' address under load.

    python -m benchmarks.upgrade [restart] [calls] [keys]

``restart`` compares an upgrade under load with a stop and a start. ``calls`` measures calls that read the metrics.
``keys`` measures how long a new process takes to become ready. All of it runs on loopback with the project's fakes of
the peers, and takes a minute or two. ``ROUNDS`` sets the number of runs.
"""

from __future__ import annotations

import itertools
import os
import random
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from benchmarks.common import comparison_row, main_thread_cpu_s, peak_memory_mb, show
from lapispick.fakes.executor import Executor
from lapispick.fakes.gateway import GatewayConnection
from lapispick.fakes.host_process import HostProcess
from lapispick.fakes.ports import reserved_address
from lapispick.fakes.waiting import wait_until

LOAD_S = 1.5  # duration of the load before and after the measured change
CLIENTS = 6
WARM_UP_REQUESTS = 100  # served before a measurement begins
RECONNECT_PAUSE_S = 0.005  # pause of a client after a refused connection
STOP_MS = 2500
DEFAULT_ROUNDS = 5
KEY_COUNTS = (100, 2000, 10_000)
REQUESTS_IN_FLIGHT = 30


class Client(threading.Thread):
    """Thread that sends one request after the other, half of them on new connections."""

    def __init__(self, address: str, seed: int, stop: threading.Event) -> None:
        super().__init__(daemon=True)
        self.served_at: list[float] = []  # monotonic s
        self.refused_connections = 0
        self.not_served = 0
        self._address = address
        self._stop_event = stop
        self._rng = random.Random(seed)
        self._gateway: GatewayConnection | None = None

    def run(self) -> None:
        """Send requests until the stop event is set."""
        while not self._stop_event.is_set():
            try:
                self._request(self._connection())
            except (OSError, AssertionError):
                self.refused_connections += 1
                self._gateway = None
                time.sleep(RECONNECT_PAUSE_S)

    def _connection(self) -> GatewayConnection:
        gateway = self._gateway
        if gateway is None or gateway.goaway_received or self._rng.random() < 0.5:
            if gateway is not None:
                gateway.sock.close()
            gateway = self._gateway = GatewayConnection.connect(self._address)
        return gateway

    def _request(self, gateway: GatewayConnection) -> None:
        number = gateway.request("book", "x", f"{self._rng.getrandbits(128):032x}")
        if "result" in gateway.answer(number):
            self.served_at.append(time.monotonic())
        else:
            self.not_served += 1


class Load:
    """Clients that send requests until the load is stopped."""

    def __init__(self, address: str, seed: int) -> None:
        self._stop_event = threading.Event()
        self.clients = [Client(address, seed * 10 + number, self._stop_event) for number in range(CLIENTS)]

    @property
    def served(self) -> int:
        """Number of requests that were served."""
        return sum(len(client.served_at) for client in self.clients)

    def start(self) -> None:
        """Start the clients and wait until some requests are served."""
        for client in self.clients:
            client.start()
        wait_until(lambda: self.served > WARM_UP_REQUESTS)

    def stop(self) -> None:
        """Stop the clients."""
        self._stop_event.set()
        for client in self.clients:
            client.join()

    def longest_gap_ms(self) -> float:
        """Return the longest time in which no request was served."""
        times = sorted(at for client in self.clients for at in client.served_at)
        return max(after - before for before, after in itertools.pairwise(times)) * 1000


class Release(NamedTuple):
    """Effects of one release on the clients."""

    refused_connections: int
    not_served: int
    longest_gap_ms: float


def _stop_host(host: HostProcess) -> None:
    host.terminate()
    host.process.wait()


def measure_release(upgrade: bool, seed: int) -> Release:
    """Replace a host process under load, by an upgrade or by a stop and a start."""
    with reserved_address() as address, tempfile.TemporaryDirectory() as folder:
        environ = {"TMPDIR": folder}
        old = HostProcess(
            Path(folder), executor=Executor(work_s=0.003), listen=address, stop_ms=STOP_MS, environ=environ
        )
        load = Load(address, seed)
        load.start()
        time.sleep(LOAD_S)
        if not upgrade:
            _stop_host(old)
        new = old.start_successor(executor=Executor(work_s=0.003), environ=environ)
        wait_until(lambda: new.call_ops() == ["OK"])
        if upgrade:
            _stop_host(old)
        time.sleep(LOAD_S)
        load.stop()
        for host in (old, new):
            host.close()
    return Release(
        sum(client.refused_connections for client in load.clients),
        sum(client.not_served for client in load.clients),
        load.longest_gap_ms(),
    )


def compare_restarts(rounds: int) -> None:
    """Compare an upgrade with a stop of the old process and a start of the new one."""
    rows = []
    gaps_ms = {}
    for name, upgrade in (("stop and start", False), ("upgrade", True)):
        releases = [measure_release(upgrade, seed) for seed in range(rounds)]
        gaps_ms[name] = statistics.median(release.longest_gap_ms for release in releases)
        refused = sum(release.refused_connections for release in releases)
        not_served = sum(release.not_served for release in releases)
        rows.append((name, refused, not_served, f"{gaps_ms[name]:.0f}"))
    gap_ratio = gaps_ms["upgrade"] / gaps_ms["stop and start"]
    show(
        f"one release under load, {rounds} runs each with seeds 0 to {rounds - 1}: refused connections, requests that "
        f"were not served, and the longest time with none served, ms (median; ratio {gap_ratio:.3f})",
        ("", "refused", "not served", "longest gap"),
        rows,
    )


# Both scripts run in a separate process. In this process, the clients' use of the interpreter would distort the result.
READER = """
import sys, time
from lapispick.cli.ops import call
from lapispick.host.addresses import parse_address
at, end = parse_address(sys.argv[1]), time.monotonic() + float(sys.argv[2])
while time.monotonic() < end:
    began = time.monotonic()
    call(at, "vars")
    print((time.monotonic() - began) * 1000)
    time.sleep(0.1)
"""
SLEEPER = "import sys, time; time.sleep(float(sys.argv[2]))"


class CallLoad(NamedTuple):
    """Performance of a host under load, with or without reads of its metrics."""

    call_durations_ms: list[float]
    served_per_s: float
    cpu_us_per_request: float


def measure_calls(reading: bool, seed: int) -> CallLoad:
    """Run a host under load, and read its metrics ten times a second or not at all."""
    with reserved_address() as address, tempfile.TemporaryDirectory() as folder:
        host = HostProcess(Path(folder), executor=Executor(work_s=0.001), listen=address, environ={"TMPDIR": folder})
        load = Load(address, seed)
        load.start()
        started_at = time.monotonic()
        cpu_before_s = main_thread_cpu_s(host.process.pid)
        served_before = load.served
        script = READER if reading else SLEEPER
        command = [sys.executable, "-c", script, host.ops, str(2 * LOAD_S)]
        output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
        served = load.served - served_before
        result = CallLoad(
            [float(line) for line in output.split()],
            served / (time.monotonic() - started_at),
            (main_thread_cpu_s(host.process.pid) - cpu_before_s) / served * 1e6,
        )
        load.stop()
        host.close()
    return result


def measure_metrics_calls(rounds: int) -> None:
    """Measure the slowest metrics call under load, and the cost of ten such calls a second."""
    without_reads: list[CallLoad] = []
    with_reads: list[CallLoad] = []
    for round_number in range(rounds):
        without_reads.append(measure_calls(reading=False, seed=2 * round_number))
        with_reads.append(measure_calls(reading=True, seed=2 * round_number + 1))
    durations_ms = [duration_ms for result in with_reads for duration_ms in result.call_durations_ms]
    show(
        f"metrics read ten times a second under load, {rounds} runs each; slowest of {len(durations_ms)} calls "
        f"{max(durations_ms):.0f} ms, median {statistics.median(durations_ms):.1f} ms",
        ("", "not read", "read", "ratio"),
        [
            comparison_row(
                "served a second",
                [result.served_per_s for result in without_reads],
                [result.served_per_s for result in with_reads],
                0,
            ),
            comparison_row(
                "CPU for a request, us",
                [result.cpu_us_per_request for result in without_reads],
                [result.cpu_us_per_request for result in with_reads],
                0,
            ),
        ],
    )


class Takeover(NamedTuple):
    """Time until a new process was ready, and the sum of the peak memory of both processes."""

    ready_after_s: float
    memory_mb: float


def _execute_keyed_requests(gateway: GatewayConnection, count: int) -> None:
    """Let a host execute ``count`` keyed requests."""
    for first in range(0, count, REQUESTS_IN_FLIGHT):
        batch = range(first, min(count, first + REQUESTS_IN_FLIGHT))
        numbers = [gateway.request("book", f"k{number}", f"{number:032x}") for number in batch]
        for number in numbers:
            gateway.answer(number)


def measure_takeover(count: int) -> Takeover:
    """Upgrade a host that has ``count`` idempotency records."""
    with reserved_address() as address, tempfile.TemporaryDirectory() as folder:
        environ = {"TMPDIR": folder}
        old = HostProcess(Path(folder), listen=address, environ=environ)
        _execute_keyed_requests(old.gateway(), count)
        started_at = time.monotonic()
        new = old.start_successor(environ=environ)
        wait_until(lambda: new.call_ops() == ["OK"])
        duration_s = time.monotonic() - started_at
        peak_mb = peak_memory_mb(old.process.pid) + peak_memory_mb(new.process.pid)
        new.close()
        old.close()
    return Takeover(duration_s, peak_mb)


def measure_takeovers(rounds: int) -> None:
    """Measure how long a new process takes to be ready, by the number of idempotency records of the old one."""
    takeovers = {count: measure_takeover(count) for count in KEY_COUNTS}
    show(
        "from the start of the new process until it is ready, s, and the peak memory of both, MB",
        ("keys", "ready after", "memory"),
        [
            (count, f"{takeover.ready_after_s:.2f}", f"{takeover.memory_mb:.0f}")
            for count, takeover in takeovers.items()
        ],
    )


MEASUREMENTS: dict[str, Callable[[int], None]] = {
    "restart": compare_restarts,
    "calls": measure_metrics_calls,
    "keys": measure_takeovers,
}


def main() -> None:
    """Run the measurements that are named, by default all."""
    names = sys.argv[1:]
    rounds = int(os.environ.get("ROUNDS", DEFAULT_ROUNDS))
    for name, measure in MEASUREMENTS.items():
        if not names or name in names:
            measure(rounds)


if __name__ == "__main__":
    main()
