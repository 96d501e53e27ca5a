"""Measures members in the model: ``python -m benchmarks.members [detectors] [sizes] [turns] [herd]``.

- detectors: time to notice a death, and false ones, against loss, one-way links and stalls; heartbeats to all and phi
  accrual beside it in the same runs, by the same seeds and faults;
- sizes: words and bytes a member and second, and time to notice, at 14 to 5,000 members;
- turns: time to a turn with and without faults, by how many want it;
- herd: what 200 boxes do after one cause that all see at one instant, before (pauses from 0.7 to 1, fixed periods, no
  turns) and now: instants in which more than 1.5 times the mean of them act, and the worst over the mean.
"""

from __future__ import annotations

import argparse
import random
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

import msgspec

from benchmarks.detectors import Accrual, Heartbeats
from lapispick import jitter
from lapispick.members.member import Bounds
from lapispick.members.membership_view import Bounds as Times
from lapispick.members.membership_view import View
from lapispick.model import runs
from lapispick.model.script import Step
from lapispick.model.world import Make, World, members

SECONDS, DIES = 120.0, 60.0
BOXES = 200  # of a herd
FAULTS = ("none", "loss 5%", "loss 20%", "loss 50%", "one way", "stalls", "slow")


class Play(NamedTuple):
    """One run of one detector."""

    detector: str
    fault: str
    seed: int
    size: int = 14


def _made(detector: str, names: list[str]) -> Make:
    if detector == "swim":
        return members(names)
    if detector == "swim, no health":
        return members(names, Bounds(view=Times(health_most=1)))
    kind: Any = Heartbeats if detector == "heartbeats" else Accrual
    return lambda name, life, now, rng: kind(name, life, names, now, rng)


def _script(fault: str, names: list[str], seed: int) -> tuple[list[Step], float]:
    rng = random.Random(f"{seed} {fault}")
    loss = float(fault.split()[1].rstrip("%")) / 100 if fault.startswith("loss") else 0.0
    script = [Step(DIES, "kill", names[-1], 1000.0)]
    if fault == "stalls":
        script += [Step(rng.uniform(5, 110), "stop", rng.choice(names[:-1]), 2.0) for _ in range(12)]
    if fault == "slow":  # one box whose every second is half lost
        slow = rng.choice(names[:-1])
        script += [Step(5.0 + 2 * n, "stop", slow, 1.2) for n in range(55)]
    return sorted(script), loss


def detected(play: Play) -> tuple[float, float, int, float]:
    """Return (first notice, last notice, false deaths, bytes a member and second) of one run; -1 = not noticed."""
    names = [f"disp-{n:04}" for n in range(1, play.size + 1)]
    script, loss = _script(play.fault, names, play.seed)
    world = World(play.seed, play.size, _made(play.detector, names), script, loss)
    if play.fault == "one way":  # three links of two boxes each that work one way only
        rng, cut = random.Random(f"{play.seed} links"), world._cut
        pairs = {tuple(rng.sample(names[:-1], 2)) for _ in range(3)}
        world._cut = lambda one, other: (one, other) in pairs or cut(one, other)  # type: ignore[method-assign]
    world.run(SECONDS)
    gone = names[-1]
    notices = sorted({by: at - DIES for at, by, who in world.deaths() if who == gone and at >= DIES}.values())
    false = len({(by, who) for at, by, who in world.deaths() if who != gone or at < DIES})
    whole = notices and len(notices) == play.size - 1
    return (notices[0] if notices else -1.0, notices[-1] if whole else -1.0, false, world.bytes / play.size / SECONDS)


def _detectors(pool: ProcessPoolExecutor, plays: int) -> list[dict[str, object]]:
    rows = []
    for fault in FAULTS:
        for detector in ("swim", "swim, no health", "heartbeats", "phi accrual"):
            found = list(pool.map(detected, [Play(detector, fault, seed) for seed in range(1, plays + 1)], chunksize=4))
            first, last = ([f[at] for f in found if f[at] >= 0] for at in (0, 1))
            rows.append(
                {
                    "fault": fault,
                    "detector": detector,
                    "plays": plays,
                    "first_s": round(sum(first) / max(1, len(first)), 1),
                    "last_s": round(sum(last) / max(1, len(last)), 1),
                    "unnoticed": plays - len(first),
                    "false": sum(f[2] for f in found),
                    "plays_with_false": sum(f[2] > 0 for f in found),
                    "bytes": round(sum(f[3] for f in found) / plays),
                }
            )
    return rows


def _sizes(pool: ProcessPoolExecutor, _plays: int) -> list[dict[str, object]]:
    script = "20s kill 5% for 1000s"
    told = [
        runs.Run(14, 60.0, 0.0, 1, script),
        runs.Run(200, 60.0, 0.0, 1, script),
        runs.Run(1000, 60.0, 0.0, 1, script),
        runs.Run(5000, 30.0, 0.0, 1, "5s kill 1% for 1000s"),
    ]
    return [msgspec.structs.asdict(found) for found in pool.map(runs.played, told)]


def _turns(pool: ProcessPoolExecutor, plays: int) -> list[dict[str, object]]:
    faults = {
        "none": ("", 0.0),
        "loss 20%": ("", 0.2),
        "a part of 2 in 5 cut off": ("20s part disp-0001,disp-0002 for 60s", 0.0),
        "deaths": ("\n".join(f"{20 + 10 * n}s kill disp-{n % 5 + 1:04} for 3s" for n in range(9)), 0.0),
    }
    rows = []
    for name, (script, loss) in faults.items():
        for want in (1, 5):
            found = list(
                pool.map(
                    runs.played,
                    [runs.Run(5, 120.0, loss, seed, script, want) for seed in range(1, max(2, plays // 4) + 1)],
                )
            )
            had = sum(f.turns for f in found)
            rows.append(
                {
                    "fault": name,
                    "want": want,
                    "turns": had,
                    "wait_s": round(sum(f.turn_wait * f.turns for f in found) / max(1, had), 2),
                    "overlaps": sum(f.overlaps for f in found),
                }
            )
    return rows


def _instants(times: list[float], span: float) -> tuple[float, float]:
    """Return the share of instants (a 200th of the span) with over 1.5 times the mean, and the worst over the mean."""
    counts = [0] * 200
    for at in times:
        if 0 <= at < span:
            counts[int(at / span * 200)] += 1
    mean = sum(counts) / len(counts)
    return sum(count > 1.5 * mean for count in counts) / len(counts), max(counts) / mean


def _reconnects(draw: Any, seed: int) -> list[float]:
    """Return when boxes try a broker again that is away for 30 s; all lost it at 0."""
    rng, times = random.Random(seed), []
    for _ in range(BOXES):
        at, pause = 0.0, 0.1
        while at < 30.0:
            at += draw(pause, rng.random())
            pause = min(10.0, pause * 2)
            times.append(at)
    return times


def _lookups(draw: Any, seed: int) -> list[float]:
    """Return when boxes that began at 0 look names up each 30 s, in the second hour."""
    rng, times = random.Random(seed), []
    for _ in range(BOXES):
        at = 0.0
        while at < 7200.0:
            at += draw(30.0, rng.random())
            times.append(at - 3600.0)
    return times


def _probes(now: bool, seed: int) -> list[float]:
    """Return when members that begin at one instant send words in their first 20 s."""
    names, times = frozenset(f"disp-{n:04}" for n in range(1, BOXES + 1)), []
    views = [View(name, "f", 1, names, Times(), random.Random(f"{seed} {name}")) for name in sorted(names)]
    if not now:
        for each in views:
            each._next = 0.0  # as it was
    for step in range(2000):
        for each in views:
            each._out = None  # all are answered
            times += [step / 100] * len(each.tick(step / 100))
    return times


def _undoing(turn: bool, seed: int) -> list[float]:
    """Return when each of 14 boxes goes back whose times to be confirmed are over at one instant."""
    if not turn:
        return [60.0] * 14
    names = [f"disp-{n:04}" for n in range(1, 15)]
    world, began = World(seed, 14, members(names, kinds={"restart": 1})), dict[str, float]()

    def look(name: str) -> None:
        world.at(world.now + 0.2, lambda: look(name))
        node, now = world.nodes[name], world.clock(name)
        if name in began:  # its process ends a second after, and what it held runs out
            return
        held = node.want(now, "restart", "agent")
        if held is not None and held.fence:
            began[name] = world.now
        world.poke(name)

    for name in names:
        world.at(60.0, lambda name=name: look(name))  # type: ignore[misc]
    world.run(400.0)
    return sorted(began.values())


def _herd(_pool: ProcessPoolExecutor, plays: int) -> list[dict[str, object]]:
    before = {
        "reconnects": lambda s: _reconnects(lambda p, d: p * (0.7 + 0.3 * d), s),
        "look-ups": lambda s: _lookups(lambda p, d: p, s),
        "probes": lambda s: _probes(False, s),
    }
    after = {
        "reconnects": lambda s: _reconnects(jitter.pause, s),
        "look-ups": lambda s: _lookups(jitter.period, s),
        "probes": lambda s: _probes(True, s),
    }
    spans, rows = {"reconnects": 30.0, "look-ups": 3600.0, "probes": 20.0}, []
    for what, span in spans.items():
        for when, made in (("before", before), ("now", after)):
            found = [_instants(made[what](seed), span) for seed in range(1, min(plays, 5) + 1)]
            rows.append(
                {
                    "what": what,
                    "when": when,
                    "instants": round(sum(f[0] for f in found) / len(found), 3),
                    "worst": round(sum(f[1] for f in found) / len(found), 1),
                }
            )
    for turn in (False, True):
        times = _undoing(turn, 1)
        rows.append(
            {
                "what": "undoing",
                "when": "now" if turn else "before",
                "boxes": len(times),
                "at_once": max(sum(abs(a - b) < 1.0 for b in times) for a in times),
                "seconds": round(times[-1] - times[0], 1),
            }
        )
    return rows


def main() -> None:
    """Play the parts that are named, or all, and print them as JSON, a row a line."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("parts", nargs="*", help="detectors, sizes, turns, herd")
    options.add_argument("--plays", type=int, default=20)
    options.add_argument("--jobs", type=int, default=4)
    options.add_argument("--plot", metavar="FILE", help="draw sizes")
    told = options.parse_args()
    parts = {"detectors": _detectors, "sizes": _sizes, "turns": _turns, "herd": _herd}
    with ProcessPoolExecutor(told.jobs) as pool:
        for part in told.parts or parts:
            rows = parts[part](pool, told.plays)
            for row in rows:
                print(part, msgspec.json.encode(row).decode(), flush=True)
            if part == "sizes" and told.plot:
                runs.draw([msgspec.convert(row, runs.Found) for row in rows], told.plot)


if __name__ == "__main__":
    main()
