"""Which of M backends does each of N hosts use? Every box computes the same answer from the list alone. No I/O.

Rendezvous (Thaler, Ravishankar, 1998) with bounds on both sides (after Mirrokni, Thorup, Zadimoghaddam, 2018): all
pairs go by their score, a digest of both names, the highest first; a pair is taken where the backend still needs a
host, the host has room, and the backend not its part of that zone. What a box that comes or goes changes is what it
took, and the short chains that follow from full hosts.

- Each backend has exactly as many hosts as it needs, or all of them: none is left without, and the counts are equal.
  A host that is left without any has one more, of those with the fewest hosts.
- Hosts' rooms are in proportion to their weights, with ``slack`` on top, which keeps the chains short.
- A backend's hosts are spread over as many zones as there are, as evenly as their number allows.
- Rooms and zones give way where they would leave a backend short, in this order: zones, then rooms.

``shares`` divides each host's load over its backends so that the backends' loads are in proportion to their weights, as
closely as the pairs allow (iterative proportional fitting: Deming, Stephan, 1940).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from math import ceil
from typing import NamedTuple

from lapispick.digests import blake2b

SLACK = 0.25  # of a host's room, over its part of all that is needed
ROUNDS = 60  # of fitting; after them loads are within 1 % where the pairs allow it


class Host(NamedTuple):
    """A worker host."""

    name: str
    zone: str = ""
    weight: float = 1.0


class Backend(NamedTuple):
    """Something that hosts use: a broker, an address of a store."""

    name: str
    weight: float = 1.0


Chosen = dict[str, tuple[str, ...]]  # host -> its backends, by name


def score(host: str, backend: str) -> int:
    """Return how well two go together, the same on every box."""
    return int.from_bytes(blake2b(f"{host}\0{backend}".encode(), digest_size=8).digest())


def needs(backends: Iterable[Backend], hosts: int, least: int) -> dict[str, int]:
    """Return how many hosts each backend needs: ``least`` for the lightest, more by weight, all at most."""
    known = list(backends)
    lightest = min((each.weight for each in known), default=1.0)
    return {each.name: min(hosts, round(least * each.weight / lightest)) for each in known}


def rooms(hosts: Iterable[Host], total: int, backends: int) -> dict[str, int]:
    """Return how many backends each host takes at most."""
    known = list(hosts)
    weights = sum(each.weight for each in known)
    return {each.name: min(backends, ceil(total * each.weight / weights * (1 + SLACK))) for each in known}


def assign(hosts: Iterable[Host], backends: Iterable[Backend], least: int, each: int = 1) -> Chosen:
    """Return the backends of each host, where each backend needs ``least`` hosts or more, and each host ``each``."""
    known, targets = {one.name: one for one in hosts}, {one.name: one for one in backends}
    if not known or not targets:
        return {name: () for name in known}
    wanted = needs(targets.values(), len(known), least)
    room = rooms(known.values(), sum(wanted.values()), len(targets))
    zones = len({one.zone for one in known.values()})
    pairs = sorted(((score(h, b), h, b) for h in known for b in targets), reverse=True)
    state = _State(known, wanted, room)
    even = {name: max(1, many // zones) for name, many in wanted.items()}
    rest = {name: ceil(many / zones) for name, many in wanted.items()}
    for zoned, roomy in ((even, True), (rest, True), (None, True), (None, False)):
        if not state.short():
            break
        state.take(pairs, zoned, roomy)
    for name in sorted(known):
        state.fill(name, min(each, len(targets)))
    return {name: tuple(sorted(state.chosen[name])) for name in sorted(known)}


class _State:
    """What is taken so far."""

    def __init__(self, hosts: Mapping[str, Host], wanted: dict[str, int], room: Mapping[str, int]) -> None:
        self._hosts, self._wanted, self._room = hosts, dict(wanted), room
        self.chosen: dict[str, set[str]] = {name: set() for name in hosts}
        self._in_zone: Counter[tuple[str, str]] = Counter()
        self._many: Counter[str] = Counter()

    def short(self) -> bool:
        """Tell whether some backend still needs a host."""
        return any(self._wanted.values())

    def take(self, pairs: Iterable[tuple[int, str, str]], zoned: Mapping[str, int] | None, roomy: bool) -> None:
        """Take pairs by their score, within rooms and so many hosts of a zone for each backend."""
        for _, host, backend in pairs:
            zone, mine = self._hosts[host].zone, self.chosen[host]
            if not self._wanted[backend] or backend in mine:
                continue
            if roomy and len(mine) >= self._room[host]:
                continue
            if zoned is not None and self._in_zone[backend, zone] >= zoned[backend]:
                continue
            mine.add(backend)
            self._wanted[backend] -= 1
            self._many[backend] += 1
            self._in_zone[backend, zone] += 1

    def fill(self, host: str, least: int) -> None:
        """Let a host have some backends at least: those with the fewest hosts, by score."""
        mine = self.chosen[host]
        while len(mine) < least:
            others = [backend for backend in self._wanted if backend not in mine]
            backend = min(others, key=lambda b: (self._many[b], -score(host, b)))
            mine.add(backend)
            self._many[backend] += 1


def shares(hosts: Iterable[Host], backends: Iterable[Backend], chosen: Chosen) -> dict[str, dict[str, float]]:
    """Return which part of its load each host gives to each of its backends; the parts of a host sum to 1."""
    weight = {each.name: each.weight for each in hosts}
    wanted = {each.name: each.weight for each in backends}
    used = {backend for name in weight for backend in chosen.get(name, ())}
    total = sum(weight[name] for name in weight if chosen.get(name))
    goal = {name: total * wanted[name] / sum(wanted[each] for each in used) for name in used}
    parts = {name: dict.fromkeys(chosen.get(name, ()), weight[name]) for name in weight}
    for _ in range(ROUNDS):
        for name, row in parts.items():  # each host gives all that it has
            scale = weight[name] / sum(row.values()) if row else 0.0
            for backend in row:
                row[backend] *= scale
        loads = Counter[str]()
        for row in parts.values():
            loads.update(row)
        for row in parts.values():
            for backend in row:
                row[backend] *= goal[backend] / loads[backend]
    return {name: {backend: value / sum(row.values()) for backend, value in row.items()} for name, row in parts.items()}


def loads(hosts: Iterable[Host], parts: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
    """Return the load of each backend."""
    found = Counter[str]()
    for each in hosts:
        for backend, part in parts.get(each.name, {}).items():
            found[backend] += each.weight * part
    return dict(found)


class Moved(NamedTuple):
    """What a change moves: pairs that end and that begin, and how many have to, whatever one does."""

    ended: tuple[tuple[str, str], ...]
    begun: tuple[tuple[str, str], ...]
    needed: int


def moved(old: Chosen, new: Chosen) -> Moved:
    """Return what moves from one choice to another."""
    was, now = ({(host, backend) for host, mine in each.items() for backend in mine} for each in (old, new))
    gone = {pair for pair in was if pair[0] not in new}
    lost = Counter(backend for _, backend in gone)
    many_was, many_now = (Counter(backend for _, backend in each) for each in (was, now))
    # Pairs of hosts that are gone have to be replaced, as far as the backend still needs as many.
    needed = sum(max(0, many_now[b] - (many_was[b] - lost[b])) for b in many_now)
    return Moved(tuple(sorted(was - now)), tuple(sorted(now - was)), needed)


def explained(name: str, hosts: Sequence[Host], backends: Sequence[Backend], least: int) -> list[tuple[str, int, int]]:
    """Return for each backend of a host by which place in that backend's order it has it, and how many it needs."""
    mine = assign(hosts, backends, least).get(name, ())
    wanted = needs(backends, len(hosts), least)
    return [
        (backend, 1 + sum(score(each.name, backend) > score(name, backend) for each in hosts), wanted[backend])
        for backend in mine
    ]
