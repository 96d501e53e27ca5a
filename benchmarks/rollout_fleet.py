"""Measures a good rollout on running hosts: worth served while it goes on, over the same load and seeds without one.

``python -m benchmarks.rollout_fleet [--boxes N] [--plays N]``, two minutes a play. Both halves of a play are runs of
the same fleet, one after the other, in an order that changes from play to play.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path

from lapispick.fakes.agents import FIGURES, Steering
from lapispick.fakes.fleet import Fleet

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
SPAN_S = 45.0  # of a run without a rollout


def run(seed: int, boxes: int, rate: float, work_s: float, rolls: bool) -> tuple[float, float, float]:
    """Return (worth served of that asked for, seconds, executor runs a request) of one run."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder), seed, boxes, gateways=3, rate=rate, work={"work_s": work_s}) as fleet,
    ):
        steering = Steering(fleet, PLAN)
        try:
            steering.up()
            _, words = steering.shelve(conf=FIGURES + "section log\n level warning\nend\n")
            began = time.time()
            if rolls:
                steering.steer("start", *words)
                while steering.phase("done", "asking", within=180.0)["phase"] == "asking":
                    steering.tool("go")
                    steering.phase("confirming", "waiting", "changing", "baking", "done")
            else:
                while time.time() - began < SPAN_S:
                    time.sleep(0.2)
            end = time.time() - fleet.patience
            broken = fleet.broken_rules()
            if broken:
                raise SystemExit(f"a rule was broken: {broken[:3]}")
            runs = sum(1 for r in fleet.account.runs if r.where == "executor")
            return fleet.worth(began, end), end - began, runs / max(1, len(fleet.account.tries))
        finally:
            steering.close()


def main() -> None:
    """Play and print ratios."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--boxes", type=int, default=6)
    options.add_argument("--plays", type=int, default=3)
    options.add_argument("--rate", type=float, default=40.0)
    options.add_argument("--work-ms", type=float, default=4.0, help="of a run on one of a box's two stand-in cores")
    told = options.parse_args()
    for seed in range(1, told.plays + 1):
        order = ((True, False), (False, True))[seed % 2]
        found = {rolls: run(seed, told.boxes, told.rate, told.work_ms / 1000, rolls) for rolls in order}
        rolled, still = found[True], found[False]
        print(
            f"seed {seed}: worth with a rollout {rolled[0]:.4f} in {rolled[1]:.0f} s, without {still[0]:.4f}, "
            f"ratio {rolled[0] / still[0]:.4f}; runs a try {rolled[2]:.3f} and {still[2]:.3f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
