"""Measures how long hosts take to become ready when many start at once, and the import time by package.

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
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from lapispick.fakes.busy_processes import busy_processes
from lapispick.fakes.host_process import HostProcess

SHOWN_PACKAGES = 8  # the packages with the longest import times


class Start(NamedTuple):
    """Times of one start, in s after the start of the process."""

    loaded_s: float
    ready_s: float


class ImportCost(NamedTuple):
    """Import time of the modules of a package, without the modules that they import."""

    package: str
    duration_ms: float


def event_time(log: str, event: str) -> float:
    """Return the Unix time in s at which an event was logged."""
    line = re.search(rf"ts=(\S+) .*event={event}\b", log)
    assert line is not None, f"expected event={event} in the log"
    return datetime.datetime.fromisoformat(line.group(1)).timestamp()


def start_hosts(hosts: int, busy: int) -> list[Start]:
    """Start hosts at the same time, while busy processes use the CPU."""
    with busy_processes(busy), ExitStack() as stack:
        host_processes = []
        start_times = []
        for _ in range(hosts):
            start_times.append(time.time())
            host = HostProcess(Path(tempfile.mkdtemp()), wait_for_start=False)
            stack.callback(host.close)
            host_processes.append(host)
        for host in host_processes:
            host.wait_for_log("ready")
        logs = [host.log() for host in host_processes]
        return [
            Start(event_time(log, "started") - started_at, event_time(log, "ready") - started_at)
            for log, started_at in zip(logs, start_times, strict=True)
        ]


def import_costs() -> list[ImportCost]:
    """Return the import times of the host's packages, the longest first."""
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
    """Print a row with percentiles of the start times."""
    loaded = sorted(start.loaded_s for start in starts)
    ready = sorted(start.ready_s for start in starts)
    median = len(starts) // 2
    p90 = int(len(starts) * 0.9)
    print(f"{busy:10}  {loaded[median]:10.2f}  {ready[median]:9.2f}  {ready[p90]:.2f}  {ready[-1]:.2f}")


def main() -> None:
    """Print the percentiles of the start times, and the import times."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--hosts", type=int, default=20, help="hosts that start at once")
    parser.add_argument(
        "--busy", type=int, nargs="+", default=[0, 4, 8], help="numbers of busy processes, one row each"
    )
    parser.add_argument("--plays", type=int, default=3, help="repetitions of each row")
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
