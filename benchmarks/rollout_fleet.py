"""Measures a good rollout on running hosts: weight served meanwhile, over the same load and seeds without one.

``python -m benchmarks.rollout_fleet [--hosts N] [--plays N]``, two minutes a play. Both halves of a play are runs of
the same fleet, one after the other, in an order that changes from play to play.
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
RUN_S = 45.0  # of a run without a rollout


class Result(NamedTuple):
    """What one run measured."""

    served_weight: float  # of that asked for
    duration_s: float
    runs_per_attempt: float


def run(seed: int, hosts: int, rate: float, work_s: float, rolls: bool) -> Result:
    """Run a fleet with a rollout, or without."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder), seed, hosts, gateways=3, rate=rate, executor_options={"work_s": work_s}) as fleet,
    ):
        rollout_fleet = RolloutFleet(fleet, PLAN)
        try:
            rollout_fleet.start()
            _, options = rollout_fleet.add_generation(settings=METRICS_SETTINGS + LOG_WARNINGS_SETTINGS)
            began = time.time()
            if rolls:
                rollout_fleet.start_controller("start", *options)
                while rollout_fleet.wait_for_phase("done", "asking", timeout_s=180.0)["phase"] == "asking":
                    rollout_fleet.run_command("go")
                    rollout_fleet.wait_for_phase("confirming", "waiting", "changing", "baking", "done")
            else:
                while time.time() - began < RUN_S:
                    time.sleep(0.2)
            end = time.time() - fleet.request_timeout_s
            broken = fleet.broken_rules()
            if broken:
                raise SystemExit(f"a rule was broken: {broken[:3]}")
            runs = sum(1 for execution in fleet.record.executions if execution.where == AT_EXECUTOR)
            return Result(
                fleet.served_weight_fraction(began, end), end - began, runs / max(1, len(fleet.record.attempts))
            )
        finally:
            rollout_fleet.close()


def main() -> None:
    """Play and print ratios."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--hosts", "--boxes", type=int, default=6)
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--work-ms", type=float, default=4.0, help="of a run on one of a host's two emulated cores")
    options = parser.parse_args()
    for seed in range(1, options.plays + 1):
        order = ((True, False), (False, True))[seed % 2]
        found = {rolls: run(seed, options.hosts, options.rate, options.work_ms / 1000, rolls) for rolls in order}
        rolled = found[True]
        still = found[False]
        print(
            f"seed {seed}: weight with a rollout {rolled.served_weight:.4f} in {rolled.duration_s:.0f} s, "
            f"without {still.served_weight:.4f}, ratio {rolled.served_weight / still.served_weight:.4f}; "
            f"runs an attempt {rolled.runs_per_attempt:.3f} and {still.runs_per_attempt:.3f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
