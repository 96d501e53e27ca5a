"""How long restarted hosts take to be ready when many start at once, and what a start spends its time on.

``python -m benchmarks.starts [--hosts 20] [--busy 0 4 8] [--plays 3]``
"""

from __future__ import annotations

import argparse
import datetime
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from lapispick.fakes.peers import Host

SPIN = "import time\nend = time.time() + 120\nwhile time.time() < end: pass"


def at(log: str, event: str) -> float:
    """Return when this event was logged, Unix s."""
    line = re.search(rf"ts=(\S+) .*event={event}\b", log)
    assert line is not None, f"no {event}"
    return datetime.datetime.fromisoformat(line.group(1)).timestamp()


def play(hosts: int, busy: int) -> list[tuple[float, float]]:
    """Start hosts at once beside busy loops; return for each the s until it was loaded and until it was ready."""
    spinning = [subprocess.Popen([sys.executable, "-c", SPIN]) for _ in range(busy)]
    made, began = [], []
    try:
        for _ in range(hosts):
            began.append(time.time())
            made.append(Host(Path(tempfile.mkdtemp()), started=False))
        for each in made:
            each.logged("ready")
        logs = [each.log() for each in made]
        return [(at(log, "started") - t, at(log, "ready") - t) for log, t in zip(logs, began, strict=True)]
    finally:
        for each in made:
            each.close()
        for spin in spinning:
            spin.kill()
            spin.wait()


def parts() -> list[tuple[str, float]]:
    """Return what an import of the host spends, ms of itself by package, the largest first."""
    told = subprocess.run(
        [sys.executable, "-X", "importtime", "-c", "import lapispick.host.__main__"],
        capture_output=True,
        text=True,
        check=True,
    ).stderr
    spent: dict[str, float] = {}
    for line in told.splitlines()[1:]:
        own, _, name = line.removeprefix("import time:").split("|")
        package = name.strip().split(".")[0]
        spent[package] = spent.get(package, 0.0) + int(own) / 1000
    return sorted(spent.items(), key=lambda pair: -pair[1])


def main() -> None:
    """Print the distribution and the parts."""
    told = argparse.ArgumentParser(description=__doc__)
    told.add_argument("--hosts", type=int, default=20)
    told.add_argument("--busy", type=int, nargs="+", default=[0, 4, 8])
    told.add_argument("--plays", type=int, default=3)
    args = told.parse_args()
    print(f"{args.hosts} at once, {args.plays} plays; s from the start of the process")
    print("busy loops  loaded p50  ready p50  p90  worst")
    for busy in args.busy:
        seen = [pair for _ in range(args.plays) for pair in play(args.hosts, busy)]
        loaded, ready = sorted(a for a, _ in seen), sorted(b for _, b in seen)
        n = len(seen)
        print(f"{busy:10}  {loaded[n // 2]:10.2f}  {ready[n // 2]:9.2f}  {ready[int(n * 0.9)]:.2f}  {ready[-1]:.2f}")
    spent = parts()
    print(
        f"one import alone: {sum(ms for _, ms in spent):.0f} ms, of these",
        ", ".join(f"{name} {ms:.0f}" for name, ms in spent[:8]),
    )


if __name__ == "__main__":
    main()
