"""Seeded scripts of faults for the fleet rig: what breaks, between whom, when, and what ends it.

A step begins at a time or when a named point is passed (a line of a log), lasts for a span, and is undone. The same
seed gives the same script. Every step notes its fault in the fleet record, so that the checker excuses what it touched
and nothing else.
"""

import contextlib
import dataclasses
import shutil
import time

from lapispick.fakes.fleet import ROSTER, STORE
from lapispick.fakes.peers import until

KINDS = ("part", "one way", "reset", "slow", "stop", "kill")
DISKS = ("kill and lose the disk", "kill and put the disk back")  # after these a host does not know what it ran


@dataclasses.dataclass
class Step:
    """One fault: ``at`` is seconds from the script's start, or a function that tells when its point is passed."""

    at: object
    kind: str
    box: str
    span: float = 1.0

    def __str__(self):
        when = f"{self.at:.1f} s" if isinstance(self.at, float) else "a point"
        return f"{self.kind} {self.box} at {when} for {self.span:.1f} s"


def drawn(rng, fleet, steps, span, kinds=KINDS):
    """Draw a script: so many steps within a span, one box each, one after the other."""
    times = sorted(rng.uniform(0, span) for _ in range(steps))
    return [Step(at, rng.choice(kinds), rng.choice(fleet.hosts).name, rng.uniform(0.2, 1.5)) for at in times]


def play(fleet, steps):
    """Play a script, step by step."""
    began = time.monotonic()
    for step in steps:
        if callable(step.at):
            until(step.at, f"the point of {step}")
        else:
            time.sleep(max(0.0, began + step.at - time.monotonic()))
        print(f"{time.monotonic() - began:6.2f} {step}")
        _one(fleet, step)


def _one(fleet, step):
    box, everyone = fleet[step.box], [n for n in fleet.endpoints() if n not in {b.name for b in fleet.hosts}]
    if step.kind in ("part", "one way"):
        heal = fleet.partition(everyone, [box.name], one_way=step.kind == "one way")
        time.sleep(step.span)
        heal()
    elif step.kind == "reset":
        number = fleet.record.begin_fault("reset", [box.name])
        fleet.net.reset(everyone, [box.name])
        fleet.record.end_fault(number)
    elif step.kind == "slow":
        fleet.net.slow([STORE, ROSTER, *(g.name for g in fleet.gateways)], [box.name], delay=0.05, jitter=0.1)
        time.sleep(step.span)
        fleet.net.heal()
    elif step.kind == "stop":
        wake = fleet.suspend(box)
        time.sleep(step.span)
        wake()
    else:
        _killed(fleet, box, step)


def _killed(fleet, box, step):
    disk, old = box.folder / "tmp", box.folder / "older"
    number = fleet.record.begin_fault("killed", [box.name])
    box.kill(lose_disk="lose" in step.kind)
    if "put" in step.kind and old.exists():
        shutil.rmtree(disk)
        shutil.copytree(old, disk, ignore=_sockets)
    else:
        shutil.rmtree(old, ignore_errors=True)
        with contextlib.suppress(FileNotFoundError):
            shutil.copytree(disk, old, ignore=_sockets)
    time.sleep(step.span)
    box.start(skew=box.clock_skew_s)
    fleet.record.end_fault(number)
    fleet.record.end_all_faults()


def _sockets(_folder, names):
    return [name for name in names if name.endswith(".sock")]
