"""Which hosts change in which stage, so that no stage takes all of a zone or failure domain. No I/O and no clock.

Hosts are put in an order that mixes zones, domains and machine types, drawn from the rollout's name: the same list and
name give the same stages to every controller, and another rollout begins with other hosts.
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
_DRAW_BYTES = 8
_DRAW_RANGE = 2.0**64
_NAMES_PREFIX = "box:"
_ROUNDING = 1e-9  # keeps an exact fraction of the fleet from being rounded up

FaultGroup = tuple[str, ...]  # ("zone", zone) or ("domain", zone, domain): hosts that fail together


class StageSize(NamedTuple):
    """What one stage is to hold: hosts by name, else a number of hosts, else a fraction of all up to its end."""

    names: tuple[str, ...] = ()
    count: int = 0
    fraction: float = 0.0


class Limits(NamedTuple):
    """How much of what fails together one stage may take."""

    max_zone_fraction: float = 0.6


def parse_size(text: str) -> StageSize:
    """Read the size of a stage: ``3``, ``25%`` or ``box:NAME,NAME``; raises ``ValueError``."""
    if text.startswith(_NAMES_PREFIX):
        names = tuple(filter(None, text.removeprefix(_NAMES_PREFIX).split(",")))
        if not names:
            raise ValueError(f"{text!r} names no box")
        return StageSize(names)
    if text.endswith("%"):
        return StageSize(fraction=_parse_fraction(text))
    if not text.isdecimal() or not 0 < int(text) <= MAX_COUNT:
        raise ValueError(f"{text!r} is neither a count, nor a share, nor box:NAME,NAME")
    return StageSize(count=int(text))


def _parse_fraction(text: str) -> float:
    try:
        fraction = float(text[:-1]) / 100
    except ValueError:
        fraction = -1.0
    if not 0 < fraction <= 1:
        raise ValueError(f"{text!r} is no share from 0% to 100%")
    return fraction


def _draw(rollout: str, name: str) -> bytes:
    return blake2b(name.encode(), digest_size=_DRAW_BYTES, key=rollout.encode()[:64]).digest()


def mixed_order(hosts: Iterable[WorkerHost], rollout: str) -> list[WorkerHost]:
    """Return the hosts so that any head of the list has a like share of each zone, domain and machine type."""
    groups: dict[tuple[str, ...], list[WorkerHost]] = {}
    for host in hosts:
        groups.setdefault((host.zone, host.domain, host.machine), []).append(host)
    placed: list[tuple[float, bytes, WorkerHost]] = []
    for group, members in groups.items():
        # Groups of one size take turns at being first.
        shift = int.from_bytes(_draw(rollout, "/".join(group))) / _DRAW_RANGE
        members.sort(key=lambda host: _draw(rollout, host.name))
        for index, host in enumerate(members):
            placed.append(((index + shift) / len(members), _draw(rollout, host.name), host))
    return [host for _, _, host in sorted(placed, key=lambda place: place[:2])]


def _fault_groups(host: WorkerHost) -> tuple[FaultGroup, FaultGroup]:
    return ("zone", host.zone), ("domain", host.zone, host.domain)


def _capacities(hosts: Sequence[WorkerHost], max_fraction: float) -> dict[FaultGroup, int]:
    """Return how many hosts of each group one stage may take: never all, where there are two or more."""
    sizes: Counter[FaultGroup] = Counter()
    for host in hosts:
        sizes.update(_fault_groups(host))
    return {group: max(1, min(ceil(size * max_fraction - _ROUNDING), size - 1)) for group, size in sizes.items()}


def assign(hosts: Sequence[WorkerHost], sizes: Sequence[StageSize], rollout: str, limits: Limits) -> list[list[str]]:
    """Return the names of each stage's hosts; hosts for which a stage has no capacity come later, or in one more.

    Raises ``ValueError`` where a stage names a host that does not exist, or two stages name the same one.
    """
    by_name = {host.name: host for host in hosts}
    named = [name for size in sizes for name in size.names]
    _check_names(named, by_name)
    remaining = [host for host in mixed_order(hosts, rollout) if host.name not in named]
    capacities = _capacities(hosts, limits.max_zone_fraction)
    stages: list[list[str]] = []
    assigned = 0
    for size in sizes:
        up_to = ceil(size.fraction * len(hosts) - _ROUNDING)
        count = len(size.names) or size.count or max(0, up_to - assigned)
        stage = _fill([by_name[name] for name in size.names], remaining, count, capacities)
        stages.append([host.name for host in stage])
        assigned += len(stage)
    includes_all = any(size.fraction >= 1 for size in sizes)
    while remaining and includes_all:
        stage = _fill([], remaining, len(remaining), capacities)
        stages.append([host.name for host in stage])
    return [stage for stage in stages if stage]


def _check_names(named: Sequence[str], by_name: dict[str, WorkerHost]) -> None:
    for name in named:
        if name not in by_name:
            raise ValueError(f"there is no box {name}{suggest_nearest(name, by_name)}")
    if len(set(named)) != len(named):
        raise ValueError("a box stands in two stages")


def _fill(
    stage: list[WorkerHost], remaining: list[WorkerHost], count: int, capacities: dict[FaultGroup, int]
) -> list[WorkerHost]:
    """Move hosts from ``remaining`` to the stage until it holds ``count`` or has no capacity for any other."""
    taken: Counter[FaultGroup] = Counter()
    for host in stage:
        taken.update(_fault_groups(host))
    for host in list(remaining):
        if len(stage) >= count:
            break
        if all(taken[group] < capacities[group] for group in _fault_groups(host)):
            taken.update(_fault_groups(host))
            stage.append(host)
            remaining.remove(host)
    return stage


def remarks(hosts: Sequence[WorkerHost], stages: Sequence[Sequence[str]], limits: Limits) -> list[str]:
    """Return what an operator should know of a plan before it begins."""
    by_name = {host.name: host for host in hosts}
    capacities = _capacities(hosts, limits.max_zone_fraction)
    found = []
    assigned: set[str] = set()
    for number, stage in enumerate(stages, 1):
        stage_hosts = [by_name[name] for name in stage]
        assigned.update(stage)
        found += _capacity_remarks(number, stage_hosts, capacities)
        if number < len(stages):
            found += _comparison_remarks(number, stage_hosts, [host for host in hosts if host.name not in assigned])
    missing = by_name.keys() - assigned
    if missing:
        found.append(f"{len(missing)} boxes stay as they are, such as {min(missing)}")
    found += [f"{host.name} has no agent (lapispick_agent)" for host in hosts if not host.agent_address]
    return found


def _capacity_remarks(number: int, stage: list[WorkerHost], capacities: dict[FaultGroup, int]) -> list[str]:
    taken: Counter[FaultGroup] = Counter()
    for host in stage:
        taken.update(_fault_groups(host))
    return [
        f"stage {number} takes {count} boxes of {' '.join(filter(None, group))}; {capacities[group]} may go at once"
        for group, count in sorted(taken.items())
        if count > capacities[group]
    ]


def _comparison_remarks(number: int, stage: list[WorkerHost], unchanged: list[WorkerHost]) -> list[str]:
    kinds = {host.kind for host in stage} - {host.kind for host in unchanged}
    return [
        f"stage {number} leaves no box of {'/'.join(filter(None, kind)) or 'its kind'} to compare with"
        for kind in sorted(kinds)
    ]
