"""Measures the judge and rollouts in simulated time: ``python -m benchmarks.rollout``. Seeds count from 1.

- false stops: rollouts of the same generation (A/A) by the judge, and by a fixed threshold on raw figures;
- detection within the bake time of a change that is worse by 5, 10 and 30 % for one class, by number of boxes, by both;
- worth lost to a change that kills 30 % of served worth: staged against all at once;
- whole rollouts of 200 and 1,000 boxes: what they take, and boxes down at the worst.
"""

from __future__ import annotations

import argparse
import random
import time
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import msgspec

from benchmarks.rollout_model import NEW, OLD, Fleet
from lapispick.rollout import metrics, rollout_state
from lapispick.rollout.canary_analysis import Bounds, Judge, Outcome
from lapispick.rollout.host_state import SERVING, Life
from lapispick.rollout.metrics import Class, Slice

BAKE, BEFORE = 60, 60  # slices
RAW = 0.05  # of a share, over the old boxes' in the last ten slices: what a pager rule with a fixed threshold has


class Stage(NamedTuple):
    """One stage that is played."""

    seed: int
    changed: int
    old: int
    worse: float


class Found(NamedTuple):
    """When the judge and the threshold stopped it, in slices; 0 = they did not. ``outcome`` is the judge's last."""

    judge: int
    raw: int
    outcome: str


def played(stage: Stage) -> Found:
    """Play one stage of a fleet whose boxes differ, drift and share a wave of load."""
    fleet = Fleet(stage.seed, stage.changed + stage.old, drift=0.001)
    names = list(fleet.boxes)
    changed, old = names[: stage.changed], names[stage.changed :]
    judge = Judge(Bounds(), {name: 1 for name in names})
    for each in fleet.boxes.values():
        each.procs[1], each.state.lives = (OLD, -100.0), [_life()]
    rng, found, raw = random.Random(f"{stage.seed} worse"), 0, 0
    window: list[tuple[float, float]] = []
    for n in range(1, BEFORE + BAKE + 1):
        fleet.now += 1.0
        fleet.common = max(0.0, 0.9 * fleet.common + fleet.rng.gauss(0, 0.02))
        slices = {name: s for name, each in fleet.boxes.items() if (s := fleet.slice(each, 0.0)) is not None}
        if n > BEFORE and stage.worse:
            slices |= {name: _worsened(slices[name], stage.worse, rng) for name in changed}
        if n <= BEFORE:
            judge.before(changed, old, slices)
            continue
        judge.after(changed, old, slices)
        window = [*window, (_unserved(slices, changed), _unserved(slices, old))][-10:]
        if not raw and len(window) == 10 and sum(a - b for a, b in window) / 10 > RAW:
            raw = n - BEFORE
        if not found and judge.verdict().outcome is Outcome.WORSE:
            found = n - BEFORE
    return Found(found, raw, judge.verdict().outcome.value)


def _life() -> Life:
    return Life(1, OLD, 0, SERVING, 0, -100.0, True, True)


def _worsened(told: Slice, by: float, rng: random.Random) -> Slice:
    book = told.classes["book"]
    more = sum(rng.random() < by for _ in range(book.asked - book.refused - book.failed))
    worse = Class(book.asked, book.refused, book.failed + more, book.late, book.worth - more, book.times)
    return told._replace(classes={**told.classes, "book": worse})


def _unserved(slices: dict[str, Slice], names: list[str]) -> float:
    whole = metrics.merged([slices[name] for name in names])
    assert whole is not None
    return max((c.refused + c.failed) / max(1, c.asked) for c in whole.classes.values())


def rolled(seed: int) -> str:
    """Play a whole A/A rollout of 40 boxes; a person who is asked says go."""
    return Fleet(seed, 40, drift=0.001).play().phase


def lost(seed: int) -> tuple[float, float]:
    """Return the share of worth that a change costs which kills 30 % of it: staged, and all at once.

    All at once there is nothing left to compare with, so nobody can tell, and a person calls it back when asked.
    """
    made = []
    for staged in (True, False):
        plan = {} if staged else {"pace": rollout_state.pace.Bounds(60, 0.0), "back_most": 60, "controls": False}
        fleet = Fleet(seed, 60, plan, effect=lambda cls, warm: 0.3)
        if not staged:
            fleet.course.plan = msgspec.structs.replace(fleet.course.plan, stages=(tuple(fleet.boxes),))
        fleet.play(600.0, "back")
        while fleet.now < 600.0:  # the same span for both
            fleet.second()
        made.append(fleet.lost / fleet.bare)
    return made[0], made[1]


def large(size: int) -> dict[str, object]:
    """Roll a good change through many boxes."""
    began = time.process_time()
    fleet = Fleet(1, size, rate=20.0)
    course = fleet.play(20_000)
    serving = sum(b.serving(fleet.now)[0] == NEW for b in fleet.boxes.values())
    return {
        "boxes": size,
        "phase": course.phase,
        "serving": serving,
        "hours": round(fleet.now / 3600, 2),
        "down_most": fleet.worst_down,
        "cpu_s": round(time.process_time() - began, 1),
    }


def _stages(pool: ProcessPoolExecutor, plays: int) -> list[dict[str, object]]:
    rows = []
    for changed, old in ((1, 1), (4, 4), (4, 36), (20, 20)):
        for worse in (0.0, 0.05, 0.1, 0.3):
            many = plays if not worse else max(20, plays // 5)
            told = [Stage(seed, changed, old, worse) for seed in range(1, many + 1)]
            found = list(pool.map(played, told, chunksize=5))
            stops = sorted(f.judge for f in found if f.judge)
            rows.append(
                {
                    "changed": changed,
                    "old": old,
                    "worse": worse,
                    "plays": many,
                    "judge": len(stops) / many,
                    "raw": sum(f.raw > 0 for f in found) / many,
                    "slices": stops[len(stops) // 2] if stops else 0,
                    "good": sum(f.outcome == "good" for f in found) / many,
                }
            )
    return rows


def _whole(pool: ProcessPoolExecutor, plays: int) -> dict[str, int]:
    found = list(pool.map(rolled, range(1, plays + 1), chunksize=2))
    return {phase: found.count(phase) for phase in sorted(set(found))}


def _lost(pool: ProcessPoolExecutor, plays: int) -> dict[str, object]:
    shares = list(pool.map(lost, range(1, plays + 1)))
    staged, once = (sum(s[at] for s in shares) / len(shares) for at in (0, 1))
    return {"staged": round(staged, 5), "at once": round(once, 5), "ratio": round(staged / once, 3)}


def plot(rows: list[dict[str, object]], path: str) -> None:
    """Draw how often a stage was stopped, by how much worse it was: the judge and the fixed threshold."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, sharey=True, figsize=(9, 3.5))
    for axis, kind in zip(axes, ("judge", "raw"), strict=True):
        for changed, old in sorted({(row["changed"], row["old"]) for row in rows}):
            line = [(row["worse"], row[kind]) for row in rows if (row["changed"], row["old"]) == (changed, old)]
            axis.plot(*zip(*line, strict=True), marker="o", label=f"{changed} changed, {old} old")
        axis.set_title({"judge": "judge", "raw": "fixed threshold on raw figures"}[kind])
        axis.set_xlabel("worse for one class by")
    axes[0].set_ylabel("stages stopped within the bake")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Play the parts that are named, or all, and print them as JSON."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("parts", nargs="*", help="whole, stages, lost, large")
    options.add_argument("--plays", type=int, default=400)
    options.add_argument("--jobs", type=int, default=4)
    options.add_argument("--plot", metavar="FILE", help="draw detection by boxes, for the part stages")
    told = options.parse_args()
    with ProcessPoolExecutor(told.jobs) as pool:
        parts = {
            "whole": lambda: _whole(pool, told.plays),
            "stages": lambda: _stages(pool, told.plays),
            "lost": lambda: _lost(pool, 8),
            "large": lambda: list(pool.map(large, (200, 1000))),
        }
        for part in told.parts or parts:
            found = parts[part]()
            print(part, msgspec.json.encode(found).decode(), flush=True)
            if part == "stages" and told.plot:
                plot(found, told.plot)


if __name__ == "__main__":
    main()
