"""Measures upgrades and the operators' address: ``python -m benchmarks.upgrade [restart] [calls] [keys]``.

All of it on loopback with the project's own stand-ins; runs end by themselves within a minute or two.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path

from benchmarks.common import cpu_s, memory_mb, ratio, show
from lapispick.fakes.peers import Executor, Gateway, Host, until

SPAN_S = 1.5  # s of load before and after


@contextlib.contextmanager
def _address() -> Iterator[str]:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


class Shop(threading.Thread):
    """Asks without a pause, half the time on new connections, and notes when it was served and when it was not."""

    def __init__(self, at: str, seed: int, stop: threading.Event) -> None:
        super().__init__(daemon=True)
        self.at, self.stop, self.rng = at, stop, random.Random(seed)
        self.served: list[float] = []
        self.closed = self.other = 0

    def run(self) -> None:
        """Ask until told to stop."""
        g = None
        while not self.stop.is_set():
            try:
                if g is None or g.away or self.rng.random() < 0.5:
                    if g is not None:
                        g.sock.close()
                    g = Gateway(self.at)
                n = g.request("book", "x", f"{self.rng.getrandbits(128):032x}")
                if "result" in g.answer(n):
                    self.served.append(time.monotonic())
                else:
                    self.other += 1
            except (OSError, AssertionError):
                self.closed += 1
                g = None
                time.sleep(0.005)  # a client that met a closed door looks again soon


def _one(upgrade: bool, seed: int) -> tuple[int, int, float]:
    """Return requests at a closed door, not served, and the longest span with none served, in ms."""
    stop = threading.Event()
    with _address() as at, tempfile.TemporaryDirectory() as folder:
        told = {"listen": at, "stop_ms": 2500, "environ": {"TMPDIR": folder}}
        hosts = [Host(Path(folder), executor=Executor(work_s=0.003), **told)]
        shops = [Shop(at, seed * 10 + i, stop) for i in range(6)]
        for shop in shops:
            shop.start()
        until(lambda: sum(len(s.served) for s in shops) > 100)
        time.sleep(SPAN_S)
        if not upgrade:
            hosts[0].leave()
            hosts[0].process.wait()
        hosts.append(hosts[0].beside(executor=Executor(work_s=0.003), environ={"TMPDIR": folder}))
        until(lambda: hosts[1].call() == ["OK"])
        if upgrade:
            hosts[0].leave()
            hosts[0].process.wait()
        time.sleep(SPAN_S)
        stop.set()
        for shop in shops:
            shop.join()
        for host in hosts:
            host.close()
    times = sorted(t for s in shops for t in s.served)
    gap = max(b - a for a, b in itertools.pairwise(times))
    return sum(s.closed for s in shops), sum(s.other for s in shops), gap * 1000


def restart(rounds: int = 5) -> None:
    """Compare an upgrade with what there was before: stop the old process, then start the new one."""
    rows, gaps = [], {}
    for name, upgrade in (("stop and start", False), ("upgrade", True)):
        made = [_one(upgrade, seed) for seed in range(rounds)]
        gaps[name] = statistics.median(gap for _, _, gap in made)
        rows.append((name, sum(c for c, _, _ in made), sum(o for _, o, _ in made), f"{gaps[name]:.0f}"))
    part = gaps["upgrade"] / gaps["stop and start"]
    show(
        f"one release under load, {rounds} runs each with seeds 0 to {rounds - 1}: requests that met a closed door, "
        f"that were not served, and the longest span with none served, ms (median; ratio {part:.3f})",
        ("", "closed", "not served", "longest gap"),
        rows,
    )


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


def calls(rounds: int = 5) -> None:
    """Measure the slowest call under load, and what reading the figures ten times a second takes from the load."""
    slowest, served, cpu = [], {False: [], True: []}, {False: [], True: []}
    for seed in range(rounds * 2):
        reading, stop = seed % 2 == 1, threading.Event()
        with _address() as at, tempfile.TemporaryDirectory() as folder:
            host = Host(Path(folder), executor=Executor(work_s=0.001), listen=at, environ={"TMPDIR": folder})
            shops = [Shop(at, seed * 10 + i, stop) for i in range(6)]
            for shop in shops:
                shop.start()
            until(lambda shops=shops: sum(len(s.served) for s in shops) > 100)
            began, before, first = time.monotonic(), cpu_s(host.process.pid), sum(len(s.served) for s in shops)
            # A process of its own either way, or what is measured would be the load's own interpreter.
            script = READER if reading else "import sys, time; time.sleep(float(sys.argv[2]))"
            told = subprocess.run(
                [sys.executable, "-c", script, host.ops, str(2 * SPAN_S)], capture_output=True, text=True, check=True
            )
            slowest += map(float, told.stdout.split())
            count = sum(len(s.served) for s in shops) - first
            served[reading].append(count / (time.monotonic() - began))
            cpu[reading].append((cpu_s(host.process.pid) - before) / count * 1e6)
            stop.set()
            for shop in shops:
                shop.join()
            host.close()
    rows = [
        (
            name,
            f"{statistics.median(values[False]):.0f}",
            f"{statistics.median(values[True]):.0f}",
            ratio(values[False], values[True]),
        )
        for name, values in (("served a second", served), ("CPU for a request, us", cpu))
    ]
    show(
        f"figures read ten times a second under load, {rounds} runs each; slowest of {len(slowest)} calls "
        f"{max(slowest):.0f} ms, median {statistics.median(slowest):.1f} ms",
        ("", "not read", "read", "ratio"),
        rows,
    )


def keys(counts: tuple[int, ...] = (100, 2000, 10_000)) -> None:
    """Measure how long a new process takes to say yes, by the keys that the old one knows."""
    rows = []
    for count in counts:
        with _address() as at, tempfile.TemporaryDirectory() as folder:
            old = Host(Path(folder), listen=at, environ={"TMPDIR": folder})
            g = old.gateway()
            for first in range(0, count, 30):
                numbers = [g.request("book", f"k{n}", f"{n:032x}") for n in range(first, min(count, first + 30))]
                for number in numbers:
                    g.answer(number)
            began = time.monotonic()
            new = old.beside(environ={"TMPDIR": folder})
            until(lambda new=new: new.call() == ["OK"])
            took, both = time.monotonic() - began, memory_mb(old.process.pid) + memory_mb(new.process.pid)
            rows.append((count, f"{took:.2f}", f"{both:.0f}"))
            new.close()
            old.close()
    show(
        "from the start of the new process to its yes, s, and the memory of both at the peak, MB",
        ("keys", "yes after", "memory"),
        rows,
    )


def main() -> None:
    """Run the parts that are named, by default all."""
    words = sys.argv[1:]
    rounds = int(os.environ.get("ROUNDS", "5"))
    for name, part in (("restart", lambda: restart(rounds)), ("calls", lambda: calls(rounds)), ("keys", keys)):
        if not words or name in words:
            part()


if __name__ == "__main__":
    main()
