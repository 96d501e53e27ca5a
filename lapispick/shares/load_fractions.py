"""Splits each host's load over its backends so that backend loads are proportional to their weights. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from lapispick.shares.subsets import Assignment, Backend, Host

FITTING_ROUNDS = 60  # enough to bring loads within 1 % of their targets where the assignment allows it

LoadFractions = dict[str, dict[str, float]]  # host -> backend -> fraction of the host's load


def load_fractions(hosts: Iterable[Host], backends: Iterable[Backend], assignment: Assignment) -> LoadFractions:
    """Return the fraction of its load that each host sends to each of its backends. The fractions of a host sum to 1.

    The method is iterative proportional fitting (Deming, Stephan, 1940).
    """
    host_weights = {host.name: host.weight for host in hosts}
    target_loads = _target_loads(host_weights, backends, assignment)
    loads = {name: dict.fromkeys(assignment.get(name, ()), weight) for name, weight in host_weights.items()}
    for _ in range(FITTING_ROUNDS):
        _fit_hosts(loads, host_weights)
        _fit_backends(loads, target_loads)
    return {host: {backend: load / sum(row.values()) for backend, load in row.items()} for host, row in loads.items()}


def backend_loads(hosts: Iterable[Host], fractions: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
    """Return the load of each backend if the load of each host equals its weight."""
    loads = Counter[str]()
    for host in hosts:
        for backend, fraction in fractions.get(host.name, {}).items():
            loads[backend] += host.weight * fraction
    return dict(loads)


def _target_loads(
    host_weights: Mapping[str, float], backends: Iterable[Backend], assignment: Assignment
) -> dict[str, float]:
    """Return the target load of each backend that some host uses."""
    backend_weights = {backend.name: backend.weight for backend in backends}
    used = {backend for host in host_weights for backend in assignment.get(host, ())}
    total_load = sum(weight for host, weight in host_weights.items() if assignment.get(host))
    used_weight = sum(backend_weights[name] for name in used)
    return {name: total_load * backend_weights[name] / used_weight for name in used}


def _fit_hosts(loads: LoadFractions, host_weights: Mapping[str, float]) -> None:
    """Scale the loads of each host so that they sum to its weight."""
    for host, row in loads.items():
        scale = host_weights[host] / sum(row.values()) if row else 0.0
        for backend in row:
            row[backend] *= scale


def _fit_backends(loads: LoadFractions, target_loads: Mapping[str, float]) -> None:
    """Scale the loads of each backend so that they sum to its target."""
    current_loads = Counter[str]()
    for row in loads.values():
        current_loads.update(row)
    for row in loads.values():
        for backend in row:
            row[backend] *= target_loads[backend] / current_loads[backend]
