"""Assigns each of N hosts a subset of M backends. Every host computes the same assignment from the lists alone. No I/O.

The algorithm is rendezvous hashing (Thaler, Ravishankar, 1998) with bounds on both sides (after Mirrokni, Thorup,
Zadimoghaddam, 2018). Pairs of a host and a backend are visited by descending score, which is a digest of both names. A
pair is assigned if the backend still requires a host, the host has capacity left, and the backend has not reached its
limit of hosts in the zone of the host. When a host joins or leaves, only its own pairs change, and a short chain of
other pairs if some hosts are at capacity.

- Each backend has exactly as many hosts as it requires, or all hosts if there are fewer. A host that would have no
  backend is assigned to one with the fewest hosts, which may then have more hosts than it requires.
- The capacity of a host is proportional to its weight, plus ``CAPACITY_SLACK_RATIO``, which keeps the chains short.
- The hosts of a backend are spread over all zones as evenly as their number allows.
- If these limits would leave a backend with too few hosts, zone limits are dropped first, then capacities.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from math import ceil
from typing import NamedTuple

from lapispick.digests import blake2b

CAPACITY_SLACK_RATIO = 0.25  # capacity above a host's proportional part of all required pairs
SCORE_BYTES = 8


class Host(NamedTuple):
    """Worker host."""

    name: str
    zone: str = ""
    weight: float = 1.0


class Backend(NamedTuple):
    """Server that hosts use: a broker, or an address of a store."""

    name: str
    weight: float = 1.0


class ScoredPair(NamedTuple):
    """Names of a host and a backend, with the score of the pair."""

    score: int
    host: str
    backend: str


class BackendRank(NamedTuple):
    """Place of a host, counted from 1, among all hosts by their score for a backend; and the hosts that it requires."""

    backend: str
    place: int
    required_hosts: int


Assignment = dict[str, tuple[str, ...]]  # host -> its backends, by name


def pair_score(host: str, backend: str) -> int:
    """Return the score of a pair. Every host computes the same score."""
    return int.from_bytes(blake2b(f"{host}\0{backend}".encode(), digest_size=SCORE_BYTES).digest())


def required_hosts(backends: Iterable[Backend], host_count: int, min_hosts: int) -> dict[str, int]:
    """Return how many hosts each backend requires.

    The backend with the lowest weight requires ``min_hosts``, and the others more in proportion to their weights.
    """
    backend_list = list(backends)
    min_weight = min((backend.weight for backend in backend_list), default=1.0)
    return {backend.name: min(host_count, round(min_hosts * backend.weight / min_weight)) for backend in backend_list}


def host_capacities(hosts: Iterable[Host], required_pairs: int, backend_count: int) -> dict[str, int]:
    """Return the maximum number of backends of each host."""
    host_list = list(hosts)
    total_weight = sum(host.weight for host in host_list)
    return {
        host.name: min(backend_count, ceil(required_pairs * host.weight / total_weight * (1 + CAPACITY_SLACK_RATIO)))
        for host in host_list
    }


def assign_backends(
    hosts: Iterable[Host], backends: Iterable[Backend], min_hosts: int, min_backends: int = 1
) -> Assignment:
    """Return the backends of each host.

    Each backend has at least ``min_hosts`` hosts, or all hosts if there are fewer. Each host has at least
    ``min_backends`` backends, or all backends if there are fewer.
    """
    hosts_by_name = {host.name: host for host in hosts}
    backends_by_name = {backend.name: backend for backend in backends}
    if not hosts_by_name or not backends_by_name:
        return dict.fromkeys(hosts_by_name, ())
    required = required_hosts(backends_by_name.values(), len(hosts_by_name), min_hosts)
    capacities = host_capacities(hosts_by_name.values(), sum(required.values()), len(backends_by_name))
    builder = _AssignmentBuilder(hosts_by_name, required, capacities)
    builder.assign_required(_pairs_by_score(hosts_by_name, backends_by_name))
    for host in sorted(hosts_by_name):
        builder.assign_minimum(host, min(min_backends, len(backends_by_name)))
    return builder.assignment()


def _pairs_by_score(hosts: Iterable[str], backends: Iterable[str]) -> list[ScoredPair]:
    backend_names = list(backends)
    pairs = [ScoredPair(pair_score(host, backend), host, backend) for host in hosts for backend in backend_names]
    return sorted(pairs, reverse=True)


class _AssignmentBuilder:
    """Assignment under construction."""

    def __init__(self, hosts: Mapping[str, Host], required: Mapping[str, int], capacities: Mapping[str, int]) -> None:
        self._hosts = hosts
        self._required = required
        self._missing_hosts = dict(required)  # backend -> number of hosts that it still requires
        self._capacities = capacities
        self._backends_of: dict[str, set[str]] = {name: set() for name in hosts}
        self._hosts_in_zone: Counter[tuple[str, str]] = Counter()  # by (backend, zone)
        self._host_count: Counter[str] = Counter()  # by backend

    def assignment(self) -> Assignment:
        """Return the assignment, sorted by name."""
        return {host: tuple(sorted(self._backends_of[host])) for host in sorted(self._backends_of)}

    def assign_required(self, pairs: Iterable[ScoredPair]) -> None:
        """Assign the hosts that backends require, dropping limits one by one while a backend has too few hosts."""
        zone_count = len({host.zone for host in self._hosts.values()})
        even_limits = {name: max(1, count // zone_count) for name, count in self._required.items()}
        rounded_up_limits = {name: ceil(count / zone_count) for name, count in self._required.items()}
        self._assign(pairs, even_limits)
        self._assign(pairs, rounded_up_limits)
        self._assign(pairs, None)
        self._assign(pairs, None, limit_capacity=False)

    def assign_minimum(self, host: str, min_backends: int) -> None:
        """Assign a host at least ``min_backends`` backends, those with the fewest hosts first, then by score."""
        assigned = self._backends_of[host]
        while len(assigned) < min_backends:
            candidates = [backend for backend in self._missing_hosts if backend not in assigned]
            backend = min(candidates, key=lambda name: (self._host_count[name], -pair_score(host, name)))
            assigned.add(backend)
            self._host_count[backend] += 1

    def _assign(
        self, pairs: Iterable[ScoredPair], zone_limits: Mapping[str, int] | None, limit_capacity: bool = True
    ) -> None:
        """Assign pairs in their order; ``zone_limits`` are the most hosts of one zone for each backend."""
        if not any(self._missing_hosts.values()):
            return
        for _, host, backend in pairs:
            zone = self._hosts[host].zone
            assigned = self._backends_of[host]
            if not self._missing_hosts[backend] or backend in assigned:
                continue
            if limit_capacity and len(assigned) >= self._capacities[host]:
                continue
            if zone_limits is not None and self._hosts_in_zone[backend, zone] >= zone_limits[backend]:
                continue
            assigned.add(backend)
            self._missing_hosts[backend] -= 1
            self._host_count[backend] += 1
            self._hosts_in_zone[backend, zone] += 1


class AssignmentChange(NamedTuple):
    """Difference of two assignments in (host, backend) pairs, and the least number of pairs that had to be added."""

    removed: tuple[tuple[str, str], ...]
    added: tuple[tuple[str, str], ...]
    min_added: int


def compare_assignments(old: Assignment, new: Assignment) -> AssignmentChange:
    """Return the difference of two assignments."""
    old_pairs = _pairs_of(old)
    new_pairs = _pairs_of(new)
    old_counts = Counter(backend for _, backend in old_pairs)
    new_counts = Counter(backend for _, backend in new_pairs)
    # Pairs of removed hosts must be replaced, up to the number of hosts of the backend in the new assignment.
    lost_counts = Counter(backend for host, backend in old_pairs if host not in new)
    min_added = sum(max(0, count - (old_counts[name] - lost_counts[name])) for name, count in new_counts.items())
    return AssignmentChange(tuple(sorted(old_pairs - new_pairs)), tuple(sorted(new_pairs - old_pairs)), min_added)


def _pairs_of(assignment: Assignment) -> set[tuple[str, str]]:
    return {(host, backend) for host, assigned in assignment.items() for backend in assigned}


def explain_assignment(
    host: str, hosts: Sequence[Host], backends: Sequence[Backend], min_hosts: int
) -> list[BackendRank]:
    """Return the rank of a host for each of its backends, which explains the assignment."""
    assigned = assign_backends(hosts, backends, min_hosts).get(host, ())
    required = required_hosts(backends, len(hosts), min_hosts)
    ranks = []
    for backend in assigned:
        own_score = pair_score(host, backend)
        hosts_ahead = sum(pair_score(other.name, backend) > own_score for other in hosts)
        ranks.append(BackendRank(backend, 1 + hosts_ahead, required[backend]))
    return ranks
