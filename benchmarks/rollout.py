"""Measures the canary analysis and rollouts in simulated time: ``python -m benchmarks.rollout``. Seeds count from 1.

- false stops: rollouts of the same generation (A/A) by the analysis, and by a fixed threshold on raw metrics;
- detection within the bake time of a change that is worse by 5, 10 and 30 % for one class, by number of hosts, by both;
- requests lost to a change that fails 30 % of them: staged against all at once;
- whole rollouts of 200 and 1,000 hosts: what they take, and the most hosts that were down.
"""

from __future__ import annotations

import argparse
import random
import time
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import msgspec

from benchmarks.rollout_model import NEW, OLD, SimulatedFleet
from lapispick.rollout import metrics, pacing
from lapispick.rollout.canary_analysis import AnalysisBounds, CanaryAnalysis, Outcome
from lapispick.rollout.host_state import HostProcess, Role
from lapispick.rollout.metrics import ClassCounts, Slice

BAKE_SLICES = 60
BASELINE_SLICES = 60
THRESHOLD = 0.05  # of the unserved fraction, over the unchanged hosts', as an alert on raw metrics has it
THRESHOLD_SLICES = 10
COMPARISON_S = 600.0
WORSE_CLASS = "book"


class Stage(NamedTuple):
    """One stage that is played."""

    seed: int
    changed: int
    unchanged: int
    worse: float


class StageResult(NamedTuple):
    """When the analysis and the threshold stopped it, in slices; 0 = they did not. ``outcome`` is the last one."""

    stopped_by_analysis: int
    stopped_by_threshold: int
    outcome: str


class LostFractions(NamedTuple):
    """The fraction of requests that a bad change loses."""

    staged: float
    at_once: float


def play_stage(stage: Stage) -> StageResult:
    """Play one stage of a fleet whose hosts differ, drift and share a wave of load."""
    fleet = SimulatedFleet(stage.seed, stage.changed + stage.unchanged, drift=0.001)
    names = list(fleet.hosts)
    changed = names[: stage.changed]
    unchanged = names[stage.changed :]
    analysis = CanaryAnalysis(AnalysisBounds(), dict.fromkeys(names, 1))
    for host in fleet.hosts.values():
        host.processes[1] = (OLD, -100.0)
        host.state.processes = [HostProcess(1, OLD, 0, Role.SERVING, 0, -100.0, True, True)]
    rng = random.Random(f"{stage.seed} worse")
    stopped_by_analysis = 0
    stopped_by_threshold = 0
    excesses: list[float] = []
    for number in range(1, BASELINE_SLICES + BAKE_SLICES + 1):
        slices = _draw_slices(fleet)
        if number <= BASELINE_SLICES:
            analysis.add_baseline(changed, unchanged, slices)
            continue
        if stage.worse:
            slices |= {name: _worsen(slices[name], stage.worse, rng) for name in changed}
        analysis.add_canary(changed, unchanged, slices)
        excess = _unserved_fraction(slices, changed) - _unserved_fraction(slices, unchanged)
        excesses = [*excesses, excess][-THRESHOLD_SLICES:]
        is_over = len(excesses) == THRESHOLD_SLICES and sum(excesses) / THRESHOLD_SLICES > THRESHOLD
        if not stopped_by_threshold and is_over:
            stopped_by_threshold = number - BASELINE_SLICES
        if not stopped_by_analysis and analysis.verdict().outcome is Outcome.WORSE:
            stopped_by_analysis = number - BASELINE_SLICES
    return StageResult(stopped_by_analysis, stopped_by_threshold, analysis.verdict().outcome.value)


def _draw_slices(fleet: SimulatedFleet) -> dict[str, Slice]:
    fleet.now += 1.0
    fleet.common_wave = max(0.0, 0.9 * fleet.common_wave + fleet.rng.gauss(0, 0.02))
    drawn = {name: fleet.draw_slice(host, 0.0) for name, host in fleet.hosts.items()}
    return {name: slice_ for name, slice_ in drawn.items() if slice_ is not None}


def _worsen(slice_: Slice, by: float, rng: random.Random) -> Slice:
    counts = slice_.classes[WORSE_CLASS]
    served = counts.requests - counts.rejected - counts.failed
    more = sum(rng.random() < by for _ in range(served))
    worse = counts._replace(failed=counts.failed + more, weight=counts.weight - more)
    return slice_._replace(classes={**slice_.classes, WORSE_CLASS: worse})


def _unserved_fraction(slices: dict[str, Slice], names: list[str]) -> float:
    merged = metrics.merge_slices([slices[name] for name in names])
    assert merged is not None
    return max(map(_unserved_of_class, merged.classes.values()))


def _unserved_of_class(counts: ClassCounts) -> float:
    return (counts.rejected + counts.failed) / max(1, counts.requests)


def play_rollout(seed: int) -> str:
    """Play a whole A/A rollout of 40 hosts; an operator who is asked resumes it."""
    return SimulatedFleet(seed, 40, drift=0.001).play().phase


def lost_fractions(seed: int) -> LostFractions:
    """Return what a change costs that fails 30 % of the requests: staged, and all at once.

    All at once there is nothing left to compare with, so nothing is decided, and an operator rolls it back when asked.
    """
    return LostFractions(_lost_fraction(seed, staged=True), _lost_fraction(seed, staged=False))


def _lost_fraction(seed: int, staged: bool) -> float:
    plan = {"pace": pacing.Limits(60, 0.0), "max_concurrent_rollbacks": 60, "use_controls": False}
    fleet = SimulatedFleet(seed, 60, {} if staged else plan, effect=lambda class_name, warm: 0.3)
    if not staged:
        fleet.rollout.plan = msgspec.structs.replace(fleet.rollout.plan, stages=(tuple(fleet.hosts),))
    fleet.play(COMPARISON_S, "back")
    while fleet.now < COMPARISON_S:
        fleet.second()
    return fleet.lost_requests / fleet.served_without_change


def play_large(size: int) -> dict[str, object]:
    """Roll a good change through many hosts."""
    began = time.process_time()
    fleet = SimulatedFleet(1, size, rate=20.0)
    state = fleet.play(20_000)
    serving = sum(host.serving(fleet.now)[0] == NEW for host in fleet.hosts.values())
    return {
        "hosts": size,
        "phase": state.phase,
        "serving": serving,
        "hours": round(fleet.now / 3600, 2),
        "max_down": fleet.max_down,
        "cpu_s": round(time.process_time() - began, 1),
    }


def _measure_stages(pool: ProcessPoolExecutor, plays: int) -> list[dict[str, object]]:
    return [
        _measure_stage(pool, changed, unchanged, worse, plays if not worse else max(20, plays // 5))
        for changed, unchanged in ((1, 1), (4, 4), (4, 36), (20, 20))
        for worse in (0.0, 0.05, 0.1, 0.3)
    ]


def _measure_stage(
    pool: ProcessPoolExecutor, changed: int, unchanged: int, worse: float, plays: int
) -> dict[str, object]:
    stages = [Stage(seed, changed, unchanged, worse) for seed in range(1, plays + 1)]
    results = list(pool.map(play_stage, stages, chunksize=5))
    stops = sorted(result.stopped_by_analysis for result in results if result.stopped_by_analysis)
    return {
        "changed": changed,
        "unchanged": unchanged,
        "worse": worse,
        "plays": plays,
        "analysis": len(stops) / plays,
        "threshold": sum(result.stopped_by_threshold > 0 for result in results) / plays,
        "slices": stops[len(stops) // 2] if stops else 0,
        "good": sum(result.outcome == Outcome.GOOD.value for result in results) / plays,
    }


def _measure_rollouts(pool: ProcessPoolExecutor, plays: int) -> dict[str, int]:
    phases = list(pool.map(play_rollout, range(1, plays + 1), chunksize=2))
    return {phase: phases.count(phase) for phase in sorted(set(phases))}


def _measure_lost(pool: ProcessPoolExecutor, plays: int) -> dict[str, object]:
    fractions = list(pool.map(lost_fractions, range(1, plays + 1)))
    staged = sum(each.staged for each in fractions) / plays
    at_once = sum(each.at_once for each in fractions) / plays
    return {"staged": round(staged, 5), "at once": round(at_once, 5), "ratio": round(staged / at_once, 3)}


def plot(rows: list[dict[str, object]], path: str) -> None:
    """Draw how often a stage was stopped, by how much worse it was: the analysis and the fixed threshold."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    titles = {"analysis": "canary analysis", "threshold": "fixed threshold on raw metrics"}
    figure, axes = pyplot.subplots(1, 2, sharey=True, figsize=(9, 3.5))
    for axis, (kind, title) in zip(axes, titles.items(), strict=True):
        for sizes in sorted({(row["changed"], row["unchanged"]) for row in rows}):
            line = [(row["worse"], row[kind]) for row in rows if (row["changed"], row["unchanged"]) == sizes]
            axis.plot(*zip(*line, strict=True), marker="o", label=f"{sizes[0]} changed, {sizes[1]} unchanged")
        axis.set_title(title)
        axis.set_xlabel("worse for one class by")
    axes[0].set_ylabel("stages stopped within the bake")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Play the parts that are named, or all, and print them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("parts", nargs="*", help="whole, stages, lost, large")
    parser.add_argument("--plays", type=int, default=400)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--plot", metavar="FILE", help="draw detection by hosts, for the part stages")
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        parts = {
            "whole": lambda: _measure_rollouts(pool, options.plays),
            "stages": lambda: _measure_stages(pool, options.plays),
            "lost": lambda: _measure_lost(pool, 8),
            "large": lambda: list(pool.map(play_large, (200, 1000))),
        }
        for name in options.parts or parts:
            found = parts[name]()
            print(name, msgspec.json.encode(found).decode(), flush=True)
            if name == "stages" and options.plot:
                plot(found, options.plot)


if __name__ == "__main__":
    main()
