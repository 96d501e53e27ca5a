"""Measures membership and leases in simulations: ``python -m benchmarks.members [detectors] [sizes] [leases] [herd]``.

- detectors: time to detect a death and number of false deaths, under message loss, one-way links and pauses, compared
  with heartbeats to all members and with phi accrual under the same seeds and faults;
- sizes: messages and bytes per member and second, and time to detect a death, for 14 to 5,000 members;
- leases: time to obtain a lease, with and without faults, by the number of members that request it;
- herd: load peaks of 200 hosts that react to the same event at the same time (a thundering herd), with the former code
  (backoffs multiplied by 0.7 to 1, fixed periods, no leases) and with jitter and leases: the fraction of instants above
  1.5 times the mean, and the busiest instant over the mean.
"""

from __future__ import annotations

import argparse
import random
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

import msgspec

from benchmarks import members_herd
from benchmarks.detectors import HeartbeatDetector, PhiAccrualDetector
from lapispick.members.member import MemberSettings
from lapispick.members.suspicion import SwimSettings
from lapispick.model import runs
from lapispick.model.cluster import MemberFactory, SimulatedCluster, host_names, member_factory
from lapispick.model.fault_script import FaultKind, FaultStep

RUN_S = 120.0
DEATH_AT_S = 60.0
NEVER_RESTARTS_S = 1000.0  # longer than a run
NOT_DETECTED = -1.0
FAULTS = ("none", "loss 5%", "loss 20%", "loss 50%", "one way", "stalls", "slow")
DETECTORS = ("swim", "swim, no health", "heartbeats", "phi accrual")
LEASE_FAULTS = {
    "none": ("", 0.0),
    "loss 20%": ("", 0.2),
    "a part of 2 in 5 cut off": ("20s part disp-0001,disp-0002 for 60s", 0.0),
    "deaths": ("\n".join(f"{20 + 10 * n}s kill disp-{n % 5 + 1:04} for 3s" for n in range(9)), 0.0),
}

Row = dict[str, object]


class DetectorRun(NamedTuple):
    """Settings of one run of one detector."""

    detector: str
    fault: str
    seed: int
    size: int = 14


class DetectorResult(NamedTuple):
    """Times from the death to the first and last detection (-1: none), false deaths, bytes per member and second."""

    first_s: float
    last_s: float
    false_deaths: int
    bytes_per_member_s: float


def _factory(detector: str, names: list[str]) -> MemberFactory:
    if detector == "swim":
        return member_factory(names)
    if detector == "swim, no health":
        return member_factory(names, MemberSettings(swim=SwimSettings(max_health_multiplier=1)))
    detector_type: Any = HeartbeatDetector if detector == "heartbeats" else PhiAccrualDetector
    return lambda name, epoch, now, rng: detector_type(name, names, now, rng)


def _loss(fault: str) -> float:
    return float(fault.split()[1].rstrip("%")) / 100 if fault.startswith("loss") else 0.0


def _script(fault: str, names: list[str], seed: int) -> list[FaultStep]:
    """Return the steps that kill the last member and pause other members."""
    rng = random.Random(f"{seed} {fault}")
    script = [FaultStep(DEATH_AT_S, FaultKind.KILL, names[-1], NEVER_RESTARTS_S)]
    if fault == "stalls":
        script += [FaultStep(rng.uniform(5, 110), FaultKind.PAUSE, rng.choice(names[:-1]), 2.0) for _ in range(12)]
    if fault == "slow":  # one host that is paused for more than half of the time
        slow = rng.choice(names[:-1])
        script += [FaultStep(5.0 + 2 * n, FaultKind.PAUSE, slow, 1.2) for n in range(55)]
    return sorted(script)


def _one_way_links(names: list[str], seed: int) -> set[tuple[str, str]]:
    """Return three links, as sender and receiver, that fail in one direction."""
    rng = random.Random(f"{seed} links")
    links = set()
    for _ in range(3):
        sender, receiver = rng.sample(names[:-1], 2)
        links.add((sender, receiver))
    return links


def run_detector(run: DetectorRun) -> DetectorResult:
    """Simulate members with one detector, one fault and one death."""
    names = host_names(run.size)
    script = _script(run.fault, names, run.seed)
    cluster = SimulatedCluster(run.seed, run.size, _factory(run.detector, names), script, _loss(run.fault))
    if run.fault == "one way":
        cluster.blocked_links = _one_way_links(names, run.seed)
    cluster.run(RUN_S)
    killed = names[-1]
    detected_by: dict[str, float] = {}
    false_deaths = set()
    for at, observer, name in cluster.deaths():
        if name == killed and at >= DEATH_AT_S:
            detected_by[observer] = at - DEATH_AT_S
        else:
            false_deaths.add((observer, name))
    times = sorted(detected_by.values())
    first_s = times[0] if times else NOT_DETECTED
    last_s = times[-1] if times and len(times) == run.size - 1 else NOT_DETECTED
    return DetectorResult(first_s, last_s, len(false_deaths), cluster.sent_bytes / run.size / RUN_S)


def _mean(values: list[float]) -> float:
    return round(sum(values) / max(1, len(values)), 1)


def _detector_row(fault: str, detector: str, results: list[DetectorResult]) -> Row:
    first = [result.first_s for result in results if result.first_s >= 0]
    last = [result.last_s for result in results if result.last_s >= 0]
    return {
        "fault": fault,
        "detector": detector,
        "plays": len(results),
        "first_s": _mean(first),
        "last_s": _mean(last),
        "unnoticed": len(results) - len(first),
        "false": sum(result.false_deaths for result in results),
        "plays_with_false": sum(result.false_deaths > 0 for result in results),
        "bytes": round(sum(result.bytes_per_member_s for result in results) / len(results)),
    }


def _measure_detectors(pool: ProcessPoolExecutor, run_count: int) -> list[Row]:
    rows = []
    for fault in FAULTS:
        for detector in DETECTORS:
            detector_runs = [DetectorRun(detector, fault, seed) for seed in range(1, run_count + 1)]
            rows.append(_detector_row(fault, detector, list(pool.map(run_detector, detector_runs, chunksize=4))))
    return rows


def _measure_sizes(pool: ProcessPoolExecutor, _run_count: int) -> list[Row]:
    script = "20s kill 5% for 1000s"
    settings = [
        runs.RunSettings(14, 60.0, 0.0, 1, script),
        runs.RunSettings(200, 60.0, 0.0, 1, script),
        runs.RunSettings(1000, 60.0, 0.0, 1, script),
        runs.RunSettings(5000, 30.0, 0.0, 1, "5s kill 1% for 1000s"),
    ]
    return [msgspec.to_builtins(metrics) for metrics in pool.map(runs.simulate, settings)]


def _measure_leases(pool: ProcessPoolExecutor, run_count: int) -> list[Row]:
    rows = []
    for fault, (script, loss) in LEASE_FAULTS.items():
        for requesters in (1, 5):
            seeds = range(1, max(2, run_count // 4) + 1)
            settings = [runs.RunSettings(5, 120.0, loss, seed, script, requesters) for seed in seeds]
            metrics = list(pool.map(runs.simulate, settings))
            leases = sum(run_metrics.leases for run_metrics in metrics)
            total_wait_s = sum(run_metrics.mean_lease_wait_s * run_metrics.leases for run_metrics in metrics)
            rows.append(
                {
                    "fault": fault,
                    "requesters": requesters,
                    "leases": leases,
                    "wait_s": round(total_wait_s / max(1, leases), 2),
                    "overlaps": sum(run_metrics.overlaps for run_metrics in metrics),
                }
            )
    return rows


def _measure_herd(_pool: ProcessPoolExecutor, run_count: int) -> list[Row]:
    return members_herd.measure(run_count)


MEASUREMENTS = {
    "detectors": _measure_detectors,
    "sizes": _measure_sizes,
    "leases": _measure_leases,
    "herd": _measure_herd,
}


def main() -> None:
    """Run the measurements that are named, by default all, and print their rows as JSON, one per line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("parts", nargs="*", help=", ".join(MEASUREMENTS))
    parser.add_argument("--plays", type=int, default=20, help="runs per row; leases and herd use fewer, sizes one")
    parser.add_argument("--jobs", type=int, default=4, help="worker processes")
    parser.add_argument("--plot", metavar="FILE", help="write a plot of the sizes to this file")
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        for name in options.parts or MEASUREMENTS:
            rows = MEASUREMENTS[name](pool, options.plays)
            for row in rows:
                print(name, msgspec.json.encode(row).decode(), flush=True)
            if name == "sizes" and options.plot:
                runs.plot([msgspec.convert(row, runs.RunMetrics) for row in rows], options.plot)


if __name__ == "__main__":
    main()
