"""Assignment of hosts to stages, so that no stage takes all of a zone or failure domain. No I/O and no clock.

Hosts are put in a pseudorandom order that mixes zones, domains and machine types. It depends only on the list and on
the rollout's name: every controller computes the same stages, and another rollout begins with other hosts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from math import ceil
from typing import NamedTuple

from lapispick.digests import blake2b
from lapispick.file_errors import suggest_nearest
from lapispick.fleet.hosts import WorkerHost

MAX_COUNT = 100_000
_HASH_BYTES = 8
_HASH_RANGE = 2.0**64
_NAMES_PREFIX = "box:"
_ROUNDING_TOLERANCE = 1e-9  # keeps an exact fraction of the fleet from being rounded up

FailureDomain = tuple[str, ...]  # ("zone", zone) or ("domain", zone, domain): hosts that can fail together


class StageSize(NamedTuple):
    """Size of one stage: hosts by name, else a number of hosts, else a cumulative fraction of the fleet."""

    names: tuple[str, ...] = ()
    count: int = 0
    fraction: float = 0.0  # of all hosts, in this stage and the ones before it


class Limits(NamedTuple):
    """Limits on how much of a failure domain one stage may take."""

    max_zone_fraction: float = 0.6


def parse_size(text: str) -> StageSize:
    """Parse the size of a stage: ``3``, ``25%`` or ``box:NAME,NAME``; raises ``ValueError`` if it is invalid."""
    if text.startswith(_NAMES_PREFIX):
        names = tuple(filter(None, text.removeprefix(_NAMES_PREFIX).split(",")))
        if not names:
            raise ValueError(f"expected box:NAME,NAME, got {text!r}")
        return StageSize(names)
    if text.endswith("%"):
        return StageSize(fraction=_parse_fraction(text))
    if not text.isdecimal() or not 0 < int(text) <= MAX_COUNT:
        raise ValueError(f"expected a count, a percentage or box:NAME,NAME, got {text!r}")
    return StageSize(count=int(text))


def _parse_fraction(text: str) -> float:
    try:
        fraction = float(text[:-1]) / 100
    except ValueError:
        fraction = -1.0
    if not 0 < fraction <= 1:
        raise ValueError(f"expected a percentage above 0% and up to 100%, got {text!r}")
    return fraction


def _keyed_hash(rollout: str, name: str) -> bytes:
    return blake2b(name.encode(), digest_size=_HASH_BYTES, key=rollout.encode()[:64]).digest()


def mixed_order(hosts: Iterable[WorkerHost], rollout: str) -> list[WorkerHost]:
    """Return the hosts in an order in which any prefix has a similar share of each zone, domain and machine type."""
    groups: dict[tuple[str, ...], list[WorkerHost]] = {}
    for host in hosts:
        groups.setdefault((host.zone, host.domain, host.machine), []).append(host)
    positioned: list[tuple[float, bytes, WorkerHost]] = []
    for group, members in groups.items():
        # A shift per group determines which of several groups of equal size comes first.
        shift = int.from_bytes(_keyed_hash(rollout, "/".join(group))) / _HASH_RANGE
        members.sort(key=lambda host: _keyed_hash(rollout, host.name))
        for index, host in enumerate(members):
            positioned.append(((index + shift) / len(members), _keyed_hash(rollout, host.name), host))
    return [host for _, _, host in sorted(positioned, key=lambda item: item[:2])]


def _failure_domains(host: WorkerHost) -> tuple[FailureDomain, FailureDomain]:
    return ("zone", host.zone), ("domain", host.zone, host.domain)


def _capacities(hosts: Sequence[WorkerHost], max_fraction: float) -> dict[FailureDomain, int]:
    """Return how many hosts of each failure domain one stage may take: never all hosts of a domain with two or more."""
    sizes: Counter[FailureDomain] = Counter()
    for host in hosts:
        sizes.update(_failure_domains(host))
    return {
        domain: max(1, min(ceil(size * max_fraction - _ROUNDING_TOLERANCE), size - 1)) for domain, size in sizes.items()
    }


def assign(hosts: Sequence[WorkerHost], sizes: Sequence[StageSize], rollout: str, limits: Limits) -> list[list[str]]:
    """Return the names of the hosts of each stage.

    Hosts that exceed the limits of a stage come in a later stage or, if the stages cover the whole fleet, in additional
    stages. Raises ``ValueError`` if a stage names a host that does not exist, or two stages name the same host.
    """
    by_name = {host.name: host for host in hosts}
    named = [name for size in sizes for name in size.names]
    _check_names(named, by_name)
    remaining = [host for host in mixed_order(hosts, rollout) if host.name not in named]
    capacities = _capacities(hosts, limits.max_zone_fraction)
    stages: list[list[str]] = []
    assigned = 0
    for size in sizes:
        cumulative_count = ceil(size.fraction * len(hosts) - _ROUNDING_TOLERANCE)
        count = len(size.names) or size.count or max(0, cumulative_count - assigned)
        stage = _fill_stage([by_name[name] for name in size.names], remaining, count, capacities)
        stages.append([host.name for host in stage])
        assigned += len(stage)
    includes_all = any(size.fraction >= 1 for size in sizes)
    while remaining and includes_all:
        stage = _fill_stage([], remaining, len(remaining), capacities)
        stages.append([host.name for host in stage])
    return [stage for stage in stages if stage]


def _check_names(named: Sequence[str], by_name: dict[str, WorkerHost]) -> None:
    for name in named:
        if name not in by_name:
            raise ValueError(f"unknown host {name}{suggest_nearest(name, by_name)}")
    if len(set(named)) != len(named):
        raise ValueError(f"expected each host in one stage only, got '{' '.join(named)}'")


def _fill_stage(
    stage: list[WorkerHost], remaining: list[WorkerHost], count: int, capacities: dict[FailureDomain, int]
) -> list[WorkerHost]:
    """Move hosts from ``remaining`` to the stage until it has ``count`` hosts or no capacity for any other host."""
    taken: Counter[FailureDomain] = Counter()
    for host in stage:
        taken.update(_failure_domains(host))
    for host in list(remaining):
        if len(stage) >= count:
            break
        if all(taken[domain] < capacities[domain] for domain in _failure_domains(host)):
            taken.update(_failure_domains(host))
            stage.append(host)
            remaining.remove(host)
    return stage


def remarks(hosts: Sequence[WorkerHost], stages: Sequence[Sequence[str]], limits: Limits) -> list[str]:
    """Return remarks on a plan that an operator should read before the rollout starts."""
    by_name = {host.name: host for host in hosts}
    capacities = _capacities(hosts, limits.max_zone_fraction)
    texts = []
    assigned: set[str] = set()
    for number, stage in enumerate(stages, 1):
        stage_hosts = [by_name[name] for name in stage]
        assigned.update(stage)
        texts += _capacity_remarks(number, stage_hosts, capacities)
        if number < len(stages):
            texts += _comparison_remarks(number, stage_hosts, [host for host in hosts if host.name not in assigned])
    missing = by_name.keys() - assigned
    if missing:
        texts.append(f"{len(missing)} hosts are in no stage and are not changed, such as {min(missing)}")
    texts += [f"{host.name} has no agent (lapispick_agent)" for host in hosts if not host.agent_address]
    return texts


def _capacity_remarks(number: int, stage: list[WorkerHost], capacities: dict[FailureDomain, int]) -> list[str]:
    taken: Counter[FailureDomain] = Counter()
    for host in stage:
        taken.update(_failure_domains(host))
    return [
        f"stage {number} takes {count} hosts of {' '.join(filter(None, domain))}; expected at most {capacities[domain]}"
        for domain, count in sorted(taken.items())
        if count > capacities[domain]
    ]


def _comparison_remarks(number: int, stage: list[WorkerHost], unchanged: list[WorkerHost]) -> list[str]:
    kinds = {host.kind for host in stage} - {host.kind for host in unchanged}
    return [
        f"stage {number} leaves no unchanged host of {'/'.join(filter(None, kind)) or 'its kind'} to compare with"
        for kind in sorted(kinds)
    ]
