"""Measures the weight that running hosts serve during a rollout of a correct change, and without a rollout.

``python -m benchmarks.rollout_fleet [--hosts N] [--plays N]`` takes about two minutes per seed. For each seed, it runs
the same fleet under the same load with and without a rollout, one after the other. The order alternates between seeds.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from lapispick.fakes.agents import LOG_WARNINGS_SETTINGS, METRICS_SETTINGS, RolloutFleet
from lapispick.fakes.fleet import Fleet
from lapispick.fakes.rule_checker import AT_EXECUTOR

PLAN = """ stages 1 50% 100%
 warm-up 1s
 bake 3s
 bake-most 4s
 confirm 120s
 change-most 1
 serving-least 50%
 zone-most 100%
 look 300ms
"""
RUN_S = 45.0  # duration of a run without a rollout


class Result(NamedTuple):
    """Measurements of one run."""

    served_weight: float  # fraction of the offered weight
    duration_s: float
    runs_per_attempt: float


def run(seed: int, hosts: int, rate: float, work_s: float, with_rollout: bool) -> Result:
    """Run a fleet with or without a rollout."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder), seed, hosts, gateways=3, rate=rate, executor_options={"work_s": work_s}) as fleet,
    ):
        rollout_fleet = RolloutFleet(fleet, PLAN)
        try:
            rollout_fleet.start()
            _, options = rollout_fleet.add_generation(settings=METRICS_SETTINGS + LOG_WARNINGS_SETTINGS)
            started_at = time.time()
            if with_rollout:
                rollout_fleet.start_controller("start", *options)
                while rollout_fleet.wait_for_phase("done", "asking", timeout_s=180.0)["phase"] == "asking":
                    rollout_fleet.run_command("go")
                    rollout_fleet.wait_for_phase("confirming", "waiting", "changing", "baking", "done")
            else:
                while time.time() - started_at < RUN_S:
                    time.sleep(0.2)
            end = time.time() - fleet.request_timeout_s
            broken = fleet.broken_rules()
            if broken:
                raise SystemExit(f"expected no broken rules, got {broken[:3]}")
            runs = sum(1 for execution in fleet.record.executions if execution.where == AT_EXECUTOR)
            return Result(
                fleet.served_weight_fraction(started_at, end),
                end - started_at,
                runs / max(1, len(fleet.record.attempts)),
            )
        finally:
            rollout_fleet.close()


def main() -> None:
    """Run the fleet for each seed and print the ratios."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--hosts", "--boxes", type=int, default=6, help="number of hosts")
    parser.add_argument("--plays", type=int, default=3, help="number of seeds, from 1")
    parser.add_argument("--rate", type=float, default=40.0, help="requests per second of each of the three gateways")
    parser.add_argument(
        "--work-ms", type=float, default=4.0, help="duration of a run on one of a host's two emulated cores"
    )
    options = parser.parse_args()
    for seed in range(1, options.plays + 1):
        order = ((True, False), (False, True))[seed % 2]
        results = {
            with_rollout: run(seed, options.hosts, options.rate, options.work_ms / 1000, with_rollout)
            for with_rollout in order
        }
        rollout = results[True]
        baseline = results[False]
        print(
            f"seed {seed}: weight with a rollout {rollout.served_weight:.4f} in {rollout.duration_s:.0f} s, "
            f"without {baseline.served_weight:.4f}, ratio {rollout.served_weight / baseline.served_weight:.4f}; "
            f"runs an attempt {rollout.runs_per_attempt:.3f} and {baseline.runs_per_attempt:.3f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
