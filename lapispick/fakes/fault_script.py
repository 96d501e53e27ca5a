"""Seeded fault scripts for an emulated fleet: the kind, the host, the start and the duration of each fault.

A step starts at a time or when a condition holds (for example a log line), lasts for its duration, and is undone. The
same seed gives the same script. Every step but a slow link records its fault in the fleet's record, so that the rule
checker excuses the attempts that the fault affected and no others.
"""

import contextlib
import dataclasses
import enum
import shutil
import time
from collections.abc import Callable

from lapispick.fakes.fleet import REGISTRY, STORE
from lapispick.fakes.waiting import wait_until

MIN_STEP_S = 0.2
MAX_STEP_S = 1.5
IMPAIRED_DELAY_S = 0.05
IMPAIRED_JITTER_S = 0.1


class FaultKind(enum.StrEnum):
    """Kinds of faults. After a kind that changes the disk, a host has lost the records of what it ran."""

    PARTITION = "partition"
    ONE_WAY_PARTITION = "one-way partition"
    RESET = "reset"
    SLOW = "slow"
    STOP = "stop"
    KILL = "kill"
    KILL_AND_LOSE_DISK = "kill and lose the disk"
    KILL_AND_RESTORE_DISK = "kill and restore an older disk"


DISK_KEEPING_KINDS = (
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.RESET,
    FaultKind.SLOW,
    FaultKind.STOP,
    FaultKind.KILL,
)


@dataclasses.dataclass
class FaultStep:
    """A fault; ``start`` is in seconds after the script's start, or a function that returns True once it may start."""

    start: float | Callable[[], bool]
    kind: FaultKind
    host: str
    duration_s: float = 1.0

    def __str__(self):
        when = f"{self.start:.1f} s" if isinstance(self.start, float) else "its condition"
        return f"{self.kind} {self.host} at {when} for {self.duration_s:.1f} s"


def draw(rng, fleet, step_count, span_s, kinds=DISK_KEEPING_KINDS):
    """Draw a script of steps that start in sequence within a span and affect one host each."""
    starts = sorted(rng.uniform(0, span_s) for _ in range(step_count))
    steps = []
    for start in starts:
        kind = rng.choice(kinds)
        host = rng.choice(fleet.hosts).name
        steps.append(FaultStep(start, kind, host, rng.uniform(MIN_STEP_S, MAX_STEP_S)))
    return steps


def play(fleet, steps):
    """Run the steps of a script in sequence."""
    started_at = time.monotonic()
    for step in steps:
        if callable(step.start):
            wait_until(step.start, f"the start of {step}")
        else:
            time.sleep(max(0.0, started_at + step.start - time.monotonic()))
        print(f"{time.monotonic() - started_at:6.2f} {step}")
        _play_step(fleet, step)


def _play_step(fleet, step):
    host = fleet[step.host]
    host_names = {fleet_host.name for fleet_host in fleet.hosts}
    others = [name for name in fleet.endpoints() if name not in host_names]
    if step.kind in (FaultKind.PARTITION, FaultKind.ONE_WAY_PARTITION):
        heal = fleet.partition(others, [host.name], one_way=step.kind == FaultKind.ONE_WAY_PARTITION)
        time.sleep(step.duration_s)
        heal()
    elif step.kind == FaultKind.RESET:
        fault = fleet.record.begin_fault("reset", [host.name])
        fleet.net.reset(others, [host.name])
        fleet.record.end_fault(fault)
    elif step.kind == FaultKind.SLOW:
        peers = [STORE, REGISTRY, *(gateway.name for gateway in fleet.gateways)]
        fleet.net.impair(peers, [host.name], delay_s=IMPAIRED_DELAY_S, jitter_s=IMPAIRED_JITTER_S)
        time.sleep(step.duration_s)
        fleet.net.heal()
    elif step.kind == FaultKind.STOP:
        resume = fleet.suspend(host)
        time.sleep(step.duration_s)
        resume()
    else:
        _kill_and_restart(fleet, host, step)


def _kill_and_restart(fleet, host, step):
    """Kill a host and start it again; its disk is kept, lost, or replaced by its copy from an earlier kill."""
    disk = host.folder / "tmp"
    older_disk = host.folder / "older"
    fault = fleet.record.begin_fault("killed", [host.name])
    host.kill(lose_disk=step.kind == FaultKind.KILL_AND_LOSE_DISK)
    if step.kind == FaultKind.KILL_AND_RESTORE_DISK and older_disk.exists():
        shutil.rmtree(disk)
        shutil.copytree(older_disk, disk, ignore=_socket_names)
    else:
        shutil.rmtree(older_disk, ignore_errors=True)
        with contextlib.suppress(FileNotFoundError):
            shutil.copytree(disk, older_disk, ignore=_socket_names)
    time.sleep(step.duration_s)
    host.start(clock_skew_s=host.clock_skew_s)
    fleet.record.end_fault(fault)
    fleet.record.end_all_faults()


def _socket_names(_folder, names):
    return [name for name in names if name.endswith(".sock")]
