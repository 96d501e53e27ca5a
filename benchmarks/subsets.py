"""Compares subsetting algorithms, written from their public descriptions: ``python -m benchmarks.subsets``.

- random: each host draws its backends at random, with its name as the seed;
- rounds: hosts are divided into rounds, and each round cuts its own shuffle of the backends into subsets, one for each
  host (deterministic subsetting);
- ring: hosts and backends are spaced evenly on a ring, and each host uses the backends in its arc (deterministic
  aperture);
- rendezvous: rendezvous hashing with bounds on the backends of a host and the hosts of a backend, the algorithm of the
  program (``lapispick/shares/subsets.py``).

All hosts have the same weight and load. The output has the loads of the backends if hosts divide theirs equally, and
with fitted load fractions; the number of hosts of a backend; the minimum number of zones of a backend's hosts; the
pairs of host and backend that are added when a host is removed, over the pairs that this host had; and the pairs that
are added when a backend is removed, over all pairs.
"""

from __future__ import annotations

import argparse
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from lapispick.shares import load_fractions, subsets
from lapispick.shares.subsets import Assignment, Backend, Host

Assign = Callable[[list[Host], list[Backend], int], Assignment]
ZONES = 3
REMOVAL_SEED = 1


class Case(NamedTuple):
    """Size of a fleet, and the number of hosts that each backend requires."""

    hosts: int
    backends: int
    min_hosts: int


CASES = (Case(12, 6, 3), Case(60, 20, 6), Case(200, 40, 10), Case(1000, 50, 40))


class Result(msgspec.Struct):
    """Result of one algorithm for one case; loads are multiples of the mean."""

    hosts: int
    backends: int
    min_hosts: int
    way: str
    max_load: float
    min_load: float
    max_fitted_load: float
    min_backend_hosts: int
    max_backend_hosts: int
    min_backend_zones: int
    host_removed_added_ratio: float
    backend_removed_added_fraction: float
    duration_s: float


def _subset_size(hosts: list[Host], backends: list[Backend], min_hosts: int) -> int:
    return max(1, round(min_hosts * len(backends) / len(hosts)))


def assign_random(hosts: list[Host], backends: list[Backend], min_hosts: int) -> Assignment:
    """Draw the backends of each host at random, with its name as the seed."""
    names = sorted(backend.name for backend in backends)
    size = min(_subset_size(hosts, backends, min_hosts), len(names))
    return {host.name: tuple(random.Random(host.name).sample(names, size)) for host in hosts}


def assign_rounds(hosts: list[Host], backends: list[Backend], min_hosts: int) -> Assignment:
    """Shuffle the backends for each round of hosts, and cut the shuffle into subsets."""
    size = _subset_size(hosts, backends, min_hosts)
    subset_count = max(1, len(backends) // size)
    assignment = {}
    for number, host in enumerate(sorted(host.name for host in hosts)):
        names = sorted(backend.name for backend in backends)
        random.Random(number // subset_count).shuffle(names)
        start = number % subset_count * size
        assignment[host] = tuple(names[start : start + size])
    return assignment


def assign_ring(hosts: list[Host], backends: list[Backend], min_hosts: int) -> Assignment:
    """Assign to each host the backends in its arc of the ring; backends that are partly in the arc are included."""
    names = sorted(backend.name for backend in backends)
    width = max(min_hosts / len(hosts), 1 / len(hosts))
    assignment = {}
    for number, host in enumerate(sorted(host.name for host in hosts)):
        position = number / len(hosts)
        low = int(position * len(names))
        high = max(low + 1, -int(-((position + width) * len(names)) // 1))
        assignment[host] = tuple({names[index % len(names)] for index in range(low, high)})
    return assignment


ALGORITHMS: dict[str, Assign] = {
    "random": assign_random,
    "rounds": assign_rounds,
    "ring": assign_ring,
    "rendezvous": subsets.assign_backends,
}


def _equal_loads(assignment: Assignment, backends: list[Backend]) -> list[float]:
    """Return the load of each backend if every host divides its load equally."""
    loads = Counter({backend.name: 0.0 for backend in backends})
    for assigned in assignment.values():
        for backend in assigned:
            loads[backend] += 1 / len(assigned)
    return list(loads.values())


def _host_removed_added_ratio(
    assign: Assign, hosts: list[Host], backends: list[Backend], min_hosts: int, removed_hosts: list[Host]
) -> float:
    """Return the pairs that are added when one host is removed, over the pairs that it had."""
    before = assign(hosts, backends, min_hosts)
    added = 0
    removed_pairs = 0
    for removed in removed_hosts:
        after = assign([host for host in hosts if host != removed], backends, min_hosts)
        added += len(subsets.compare_assignments(before, after).added)
        removed_pairs += len(before[removed.name])
    return added / max(1, removed_pairs)


def _backend_removed_added_fraction(
    assign: Assign, hosts: list[Host], backends: list[Backend], min_hosts: int, removed_backends: list[Backend]
) -> float:
    """Return the pairs that are added when one backend is removed, over all pairs."""
    before = assign(hosts, backends, min_hosts)
    added = 0
    for removed in removed_backends:
        after = assign(hosts, [backend for backend in backends if backend != removed], min_hosts)
        added += len(subsets.compare_assignments(before, after).added)
    return added / len(removed_backends) / sum(map(len, before.values()))


def measure(algorithm: str, case: Case, removals: int) -> Result:
    """Run one algorithm on one case."""
    assign = ALGORITHMS[algorithm]
    hosts = [Host(f"disp-{number:04}", f"z{number % ZONES}") for number in range(case.hosts)]
    backends = [Backend(f"broker-{number:03}") for number in range(case.backends)]
    started_at = time.perf_counter()
    assignment = assign(hosts, backends, case.min_hosts)
    duration_s = time.perf_counter() - started_at
    loads = _equal_loads(assignment, backends)
    mean_load = sum(loads) / len(loads)
    fractions = load_fractions.load_fractions(hosts, backends, assignment)
    fitted_loads = load_fractions.backend_loads(hosts, fractions)
    zone_of = {host.name: host.zone for host in hosts}
    hosts_of = {
        backend.name: [name for name, assigned in assignment.items() if backend.name in assigned]
        for backend in backends
    }
    rng = random.Random(REMOVAL_SEED)
    removed_hosts = rng.sample(hosts, removals)
    removed_backends = rng.sample(backends, min(removals, len(backends)))
    host_removed = _host_removed_added_ratio(assign, hosts, backends, case.min_hosts, removed_hosts)
    backend_removed = _backend_removed_added_fraction(assign, hosts, backends, case.min_hosts, removed_backends)
    return Result(
        hosts=case.hosts,
        backends=case.backends,
        min_hosts=case.min_hosts,
        way=algorithm,
        max_load=round(max(loads) / mean_load, 2),
        min_load=round(min(loads) / mean_load, 2),
        max_fitted_load=round(max(fitted_loads.values()) / (len(hosts) / len(backends)), 2),
        min_backend_hosts=min(map(len, hosts_of.values())),
        max_backend_hosts=max(map(len, hosts_of.values())),
        min_backend_zones=min(len({zone_of[name] for name in names}) for names in hosts_of.values()),
        host_removed_added_ratio=round(host_removed, 2),
        backend_removed_added_fraction=round(backend_removed, 3),
        duration_s=round(duration_s, 3),
    )


def main() -> None:
    """Run every algorithm on every case and print the results as JSON, one per line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument(
        "--plays", type=int, default=8, help="number of hosts and of backends that are removed, one at a time"
    )
    options = parser.parse_args()
    for case in CASES:
        for algorithm in ALGORITHMS:
            print(msgspec.json.encode(measure(algorithm, case, options.plays)).decode(), flush=True)


if __name__ == "__main__":
    main()
