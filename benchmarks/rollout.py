"""Measures the canary analysis and rollouts in simulated time: ``python -m benchmarks.rollout``.

- whole: final phases of complete rollouts of an unchanged generation (A/A), in which each stop is a false one;
- stages: how often the canary analysis and a fixed threshold on raw metrics stop a stage within the bake time, by the
  number of hosts: falsely in an A/A stage, and correctly if the change is worse by 5, 10 or 30 % for one class;
- lost: requests lost to a change that fails 30 % of them, in a staged rollout and in a change of all hosts at once;
- large: duration, CPU time and maximum number of hosts down in complete rollouts to 200 and 1,000 hosts.

Seeds count from 1.
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
THRESHOLD = 0.05  # excess of the unserved fraction over that of the unchanged hosts, as in an alert on raw metrics
THRESHOLD_SLICES = 10  # over which the excess is averaged
COMPARISON_S = 600.0
WORSE_CLASS = "book"


class Stage(NamedTuple):
    """Settings of one simulated stage."""

    seed: int
    changed: int
    unchanged: int
    worse: float  # fraction of the served requests of ``WORSE_CLASS`` that the change makes fail


class StageResult(NamedTuple):
    """Slices until the analysis and the threshold stopped a stage (0: not stopped), and the last outcome."""

    stopped_by_analysis: int
    stopped_by_threshold: int
    outcome: str


class LostFractions(NamedTuple):
    """Fractions of requests lost to a faulty change."""

    staged: float
    at_once: float


def simulate_stage(stage: Stage) -> StageResult:
    """Simulate one stage of a fleet whose hosts differ, drift and share a fluctuation of the load."""
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
        is_above_threshold = len(excesses) == THRESHOLD_SLICES and sum(excesses) / THRESHOLD_SLICES > THRESHOLD
        if not stopped_by_threshold and is_above_threshold:
            stopped_by_threshold = number - BASELINE_SLICES
        if not stopped_by_analysis and analysis.verdict().outcome is Outcome.WORSE:
            stopped_by_analysis = number - BASELINE_SLICES
    return StageResult(stopped_by_analysis, stopped_by_threshold, analysis.verdict().outcome.value)


def _draw_slices(fleet: SimulatedFleet) -> dict[str, Slice]:
    fleet.now += 1.0
    fleet.common_wave = max(0.0, 0.9 * fleet.common_wave + fleet.rng.gauss(0, 0.02))
    drawn = {name: fleet.draw_slice(host, 0.0) for name, host in fleet.hosts.items()}
    return {name: slice_ for name, slice_ in drawn.items() if slice_ is not None}


def _worsen(slice_: Slice, fraction: float, rng: random.Random) -> Slice:
    counts = slice_.classes[WORSE_CLASS]
    served = counts.requests - counts.rejected - counts.failed
    extra_failures = sum(rng.random() < fraction for _ in range(served))
    worse = counts._replace(failed=counts.failed + extra_failures, weight=counts.weight - extra_failures)
    return slice_._replace(classes={**slice_.classes, WORSE_CLASS: worse})


def _unserved_fraction(slices: dict[str, Slice], names: list[str]) -> float:
    merged = metrics.merge_slices([slices[name] for name in names])
    assert merged is not None
    return max(map(_unserved_of_class, merged.classes.values()))


def _unserved_of_class(counts: ClassCounts) -> float:
    return (counts.rejected + counts.failed) / max(1, counts.requests)


def simulate_rollout(seed: int) -> str:
    """Simulate an A/A rollout to 40 hosts, in which the operator always resumes, and return its last phase."""
    return SimulatedFleet(seed, 40, drift=0.001).play().phase


def lost_fractions(seed: int) -> LostFractions:
    """Return the fractions of requests lost to a change that fails 30 % of them, staged and all at once.

    If all hosts change at once, no unchanged host is left to compare with, so the analysis reaches no verdict, and the
    change is rolled back when the rollout awaits the operator's decision.
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


def simulate_large_rollout(size: int) -> dict[str, object]:
    """Simulate the rollout of a correct change to many hosts."""
    started_at = time.process_time()
    fleet = SimulatedFleet(1, size, rate=20.0)
    state = fleet.play(20_000)
    serving = sum(host.serving(fleet.now)[0] == NEW for host in fleet.hosts.values())
    return {
        "hosts": size,
        "phase": state.phase,
        "serving": serving,
        "hours": round(fleet.now / 3600, 2),
        "max_down": fleet.max_down,
        "cpu_s": round(time.process_time() - started_at, 1),
    }


def _measure_stages(pool: ProcessPoolExecutor, run_count: int) -> list[dict[str, object]]:
    return [
        _measure_stage(pool, changed, unchanged, worse, run_count if not worse else max(20, run_count // 5))
        for changed, unchanged in ((1, 1), (4, 4), (4, 36), (20, 20))
        for worse in (0.0, 0.05, 0.1, 0.3)
    ]


def _measure_stage(
    pool: ProcessPoolExecutor, changed: int, unchanged: int, worse: float, run_count: int
) -> dict[str, object]:
    stages = [Stage(seed, changed, unchanged, worse) for seed in range(1, run_count + 1)]
    results = list(pool.map(simulate_stage, stages, chunksize=5))
    stops = sorted(result.stopped_by_analysis for result in results if result.stopped_by_analysis)
    return {
        "changed": changed,
        "unchanged": unchanged,
        "worse": worse,
        "plays": run_count,
        "analysis": len(stops) / run_count,
        "threshold": sum(result.stopped_by_threshold > 0 for result in results) / run_count,
        "slices": stops[len(stops) // 2] if stops else 0,
        "good": sum(result.outcome == Outcome.GOOD.value for result in results) / run_count,
    }


def _measure_rollouts(pool: ProcessPoolExecutor, run_count: int) -> dict[str, int]:
    phases = list(pool.map(simulate_rollout, range(1, run_count + 1), chunksize=2))
    return {phase: phases.count(phase) for phase in sorted(set(phases))}


def _measure_lost(pool: ProcessPoolExecutor, run_count: int) -> dict[str, object]:
    fractions = list(pool.map(lost_fractions, range(1, run_count + 1)))
    staged = sum(lost.staged for lost in fractions) / run_count
    at_once = sum(lost.at_once for lost in fractions) / run_count
    return {"staged": round(staged, 5), "at once": round(at_once, 5), "ratio": round(staged / at_once, 3)}


def plot(rows: list[dict[str, object]], path: str) -> None:
    """Plot the fraction of stages stopped, over how much worse the change is, for the analysis and the threshold."""
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
    """Run the measurements that are named, by default all, and print the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("parts", nargs="*", help="whole, stages, lost, large")
    parser.add_argument("--plays", type=int, default=400, help="simulations per row; rows of a worse change use fewer")
    parser.add_argument("--jobs", type=int, default=4, help="worker processes")
    parser.add_argument("--plot", metavar="FILE", help="write a plot of the stages to this file")
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        measurements = {
            "whole": lambda: _measure_rollouts(pool, options.plays),
            "stages": lambda: _measure_stages(pool, options.plays),
            "lost": lambda: _measure_lost(pool, 8),
            "large": lambda: list(pool.map(simulate_large_rollout, (200, 1000))),
        }
        for name in options.parts or measurements:
            result = measurements[name]()
            print(name, msgspec.json.encode(result).decode(), flush=True)
            if name == "stages" and options.plot:
                plot(result, options.plot)


if __name__ == "__main__":
    main()
