"""Measures what members cost running hosts: ``python -m benchmarks.members_host [--boxes N] [--seconds S]``.

Hosts with and without section members, in one run, at rest; CPU of the host's own process by the system's count,
memory, words as the hosts count them, and the time until all see all after a start at one instant.
"""

from __future__ import annotations

import argparse
import os
import tempfile
import time
from pathlib import Path

from lapispick.fakes.fleet import Fleet
from lapispick.fakes.member_cluster import Talk

TICK = os.sysconf("SC_CLK_TCK")


def _cpu(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        told = file.read().rpartition(")")[2].split()
    return (int(told[11]) + int(told[12])) / TICK


def _rss_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


def run(boxes: int, seconds: float, on: bool) -> dict[str, float]:
    """Return what a host costs, as means."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder), 3, boxes, gateways=1, rate=1.0) as fleet:
        talk = Talk(fleet, "") if on else None
        began = time.monotonic()
        if talk is not None:
            talk.start()
        else:
            fleet.start()
        made = {"start_s": time.monotonic() - began}
        names = [box.name for box in fleet.hosts]
        if talk is not None:
            made["agree_s"] = talk.agree(names, within=60.0)
        pids = [box.processes[-1].pid for box in fleet.hosts]
        before, sent = [_cpu(pid) for pid in pids], _sent(talk, names)
        time.sleep(seconds)
        made["cpu_of_a_core"] = sum(_cpu(pid) - was for pid, was in zip(pids, before, strict=True)) / boxes / seconds
        made["words"] = (_sent(talk, names) - sent) / boxes / seconds
        made["rss_mb"] = sum(map(_rss_mb, pids)) / boxes
        return made


def _sent(talk: Talk | None, names: list[str]) -> int:
    return sum((talk.view(name) or {"sent": 0})["sent"] for name in names) if talk is not None else 0


def main() -> None:
    """Measure both and print them with their difference."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--boxes", type=int, default=14)
    options.add_argument("--seconds", type=float, default=30.0)
    told = options.parse_args()
    for on in (False, True, False, True):
        found = run(told.boxes, told.seconds, on)
        print("on " if on else "off", {name: round(value, 4) for name, value in found.items()}, flush=True)


if __name__ == "__main__":
    main()
