"""Compares ways to choose subsets, each from its public description: ``python -m benchmarks.subsets``.

- random: each host draws its backends by a seed of its name;
- rounds: hosts in rounds, each round with a shuffle of its own, cut into subsets (deterministic subsetting);
- ring: hosts and backends evenly on a ring, each host has what its stretch covers (deterministic aperture);
- kept: rendezvous with bounds on both sides (``lapispick/shares/subsets.py``).

Hosts of equal weight and load. Backends' loads with equal parts and with fitted ones; hosts of a backend; zones of a
backend's hosts at least; pairs that begin when a host goes, over those that it had; when a backend goes, of all.
"""

from __future__ import annotations

import argparse
import random
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from lapispick.shares import subsets
from lapispick.shares.subsets import Backend, Chosen, Host

Way = Callable[[list[Host], list[Backend], int], Chosen]
CASES = ((12, 6, 3), (60, 20, 6), (200, 40, 10), (1000, 50, 40))  # hosts, backends, hosts that a backend needs


def drawn(hosts: list[Host], backends: list[Backend], least: int) -> Chosen:
    """Draw, by the host's name."""
    size = max(1, round(least * len(backends) / len(hosts)))
    names = sorted(b.name for b in backends)
    return {h.name: tuple(random.Random(h.name).sample(names, min(size, len(names)))) for h in hosts}


def rounds(hosts: list[Host], backends: list[Backend], least: int) -> Chosen:
    """Shuffle for each round of hosts, and cut the shuffle into subsets."""
    size = max(1, round(least * len(backends) / len(hosts)))
    count = max(1, len(backends) // size)
    made = {}
    for n, host in enumerate(sorted(h.name for h in hosts)):
        names = sorted(b.name for b in backends)
        random.Random(n // count).shuffle(names)
        at = n % count * size
        made[host] = tuple(names[at : at + size])
    return made


def ring(hosts: list[Host], backends: list[Backend], least: int) -> Chosen:
    """Cover a stretch of the ring, with shares by what is covered; here with whole pairs."""
    names, n = sorted(b.name for b in backends), len(hosts)
    width = max(least / n, 1 / n)
    made = {}
    for at, host in enumerate(sorted(h.name for h in hosts)):
        low, high = at / n * len(names), (at / n + width) * len(names)
        made[host] = tuple({names[k % len(names)] for k in range(int(low), max(int(low) + 1, -int(-high // 1)))})
    return made


WAYS: dict[str, Way] = {"random": drawn, "rounds": rounds, "ring": ring, "kept": subsets.assign}


def measured(way: Way, hosts: list[Host], backends: list[Backend], least: int, plays: int) -> dict[str, object]:
    """Return the figures of one way on one case."""
    began = time.perf_counter()
    chosen = way(hosts, backends, least)
    took = time.perf_counter() - began
    load = Counter({b.name: 0.0 for b in backends})
    for mine in chosen.values():
        for backend in mine:
            load[backend] += 1 / len(mine)
    mean = sum(load.values()) / len(load)
    fitted = subsets.loads(hosts, subsets.shares(hosts, backends, chosen))
    zone = {h.name: h.zone for h in hosts}
    holders = {b.name: [h for h, mine in chosen.items() if b.name in mine] for b in backends}
    rng, moves, needs, apart = random.Random(1), 0, 0, 0
    for gone in rng.sample(hosts, plays):
        found = subsets.moved(chosen, way([h for h in hosts if h != gone], backends, least))
        moves, needs = moves + len(found.begun), needs + len(chosen[gone.name])
    for lost in rng.sample(backends, min(plays, len(backends))):
        found = subsets.moved(chosen, way(hosts, [b for b in backends if b != lost], least))
        apart += len(found.begun)
    pairs = sum(map(len, chosen.values()))
    return {
        "worst_load": round(max(load.values()) / mean, 2),
        "least_load": round(min(load.values()) / mean, 2),
        "worst_fitted": round(max(fitted.values()) / (len(hosts) / len(backends)), 2),
        "hosts_least": min(map(len, holders.values())),
        "hosts_most": max(map(len, holders.values())),
        "zones_least": min(len({zone[h] for h in each}) for each in holders.values()),
        "host_gone_moves": round(moves / max(1, needs), 2),
        "backend_gone_moves_of_all": round(apart / min(plays, len(backends)) / pairs, 3),
        "s": round(took, 3),
    }


def main() -> None:
    """Play all cases."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--plays", type=int, default=8)
    told = options.parse_args()
    for many, backends, least in CASES:
        hosts = [Host(f"disp-{n:04}", f"z{n % 3}") for n in range(many)]
        for name, way in WAYS.items():
            row = measured(way, hosts, [Backend(f"broker-{n:03}") for n in range(backends)], least, told.plays)
            case = {"hosts": many, "backends": backends, "least": least, "way": name}
            print(msgspec.json.encode({**case, **row}).decode(), flush=True)


if __name__ == "__main__":
    main()
