"""Measures how long hosts take to be ready when many start at once, and which imports a start spends its time on.

python -m benchmarks.starts [--hosts 20] [--busy 0 4 8] [--plays 3]
"""

from __future__ import annotations

import argparse
import datetime
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import NamedTuple

from lapispick.fakes.peers import Host

BUSY_LOOP = "import time\nend = time.time() + 120\nwhile time.time() < end: pass"
SHOWN_PACKAGES = 8


class Start(NamedTuple):
    """Durations of one start, s from the start of the process."""

    loaded_s: float
    ready_s: float


class ImportCost(NamedTuple):
    """How long the modules of a package took to import by themselves."""

    package: str
    duration_ms: float


def event_time(log: str, event: str) -> float:
    """Return when this event was logged, Unix s."""
    line = re.search(rf"ts=(\S+) .*event={event}\b", log)
    assert line is not None, f"no {event}"
    return datetime.datetime.fromisoformat(line.group(1)).timestamp()


@contextmanager
def busy_loops(count: int) -> Iterator[None]:
    """Run this many processes that use a core each."""
    processes = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(count)]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def start_hosts(hosts: int, busy: int) -> list[Start]:
    """Start hosts at once beside busy loops."""
    with busy_loops(busy), ExitStack() as stack:
        started = []
        began = []
        for _ in range(hosts):
            began.append(time.time())
            host = Host(Path(tempfile.mkdtemp()), started=False)
            stack.callback(host.close)
            started.append(host)
        for host in started:
            host.logged("ready")
        logs = [host.log() for host in started]
        return [
            Start(event_time(log, "started") - began_at, event_time(log, "ready") - began_at)
            for log, began_at in zip(logs, began, strict=True)
        ]


def import_costs() -> list[ImportCost]:
    """Return what an import of the host costs, by package, the most expensive first."""
    report = subprocess.run(
        [sys.executable, "-X", "importtime", "-c", "import lapispick.host.__main__"],
        capture_output=True,
        text=True,
        check=True,
    ).stderr
    costs_ms: dict[str, float] = {}
    for line in report.splitlines()[1:]:
        own_us, _, name = line.removeprefix("import time:").split("|")
        package = name.strip().split(".")[0]
        costs_ms[package] = costs_ms.get(package, 0.0) + int(own_us) / 1000
    costs = [ImportCost(package, duration_ms) for package, duration_ms in costs_ms.items()]
    return sorted(costs, key=lambda cost: -cost.duration_ms)


def print_starts(busy: int, starts: list[Start]) -> None:
    """Print one row of the distribution."""
    loaded = sorted(start.loaded_s for start in starts)
    ready = sorted(start.ready_s for start in starts)
    median = len(starts) // 2
    p90 = int(len(starts) * 0.9)
    print(f"{busy:10}  {loaded[median]:10.2f}  {ready[median]:9.2f}  {ready[p90]:.2f}  {ready[-1]:.2f}")


def main() -> None:
    """Print the distribution of starts and the costs of imports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=20)
    parser.add_argument("--busy", type=int, nargs="+", default=[0, 4, 8])
    parser.add_argument("--plays", type=int, default=3)
    args = parser.parse_args()
    print(f"{args.hosts} at once, {args.plays} plays; s from the start of the process")
    print("busy loops  loaded p50  ready p50  p90  worst")
    for busy in args.busy:
        print_starts(busy, [start for _ in range(args.plays) for start in start_hosts(args.hosts, busy)])
    costs = import_costs()
    print(
        f"one import alone: {sum(cost.duration_ms for cost in costs):.0f} ms, of these",
        ", ".join(f"{cost.package} {cost.duration_ms:.0f}" for cost in costs[:SHOWN_PACKAGES]),
    )


if __name__ == "__main__":
    main()
