"""Runs of the model, and what became of them in figures."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from lapispick.members.member import Bounds
from lapispick.model.script import parse
from lapispick.model.world import World, members

TURN, HOLDS_S = "job", 0.5  # s that an owner keeps a turn


class Run(msgspec.Struct, frozen=True):
    """One run. ``want``: members that want a turn all the time."""

    size: int
    seconds: float = 60.0
    loss: float = 0.0
    seed: int = 1
    script: str = ""
    want: int = 0


class Found(msgspec.Struct):
    """What became of a run. Times in s; -1 = it did not happen."""

    size: int
    words: float  # a member and second
    bytes: float
    killed: int
    noticed: int  # of those killed
    notice_first: float  # mean time from a death to the first who knows
    notice_all: float  # to the last of those alive
    false_deaths: int  # members that were never dead and were called so by somebody
    turns: int
    turn_wait: float  # mean time from one holder's end to the next one's start
    overlaps: int  # instants with two holders
    cpu_s: float


class _Turns:
    """Owners in the model: each holds its turn for a moment and gives it back."""

    def __init__(self, world: World, owners: list[str]) -> None:
        self.world, self.owners = world, owners
        self.got, self.waits, self.overlaps = 0, 0.0, 0
        self._since: dict[str, float] = {}
        self._free = 0.0
        for name in owners:
            world.at(world.rng.random(), lambda name=name: self._look(name))  # type: ignore[misc]

    def _look(self, name: str) -> None:
        world = self.world
        world.at(world.now + 0.1, lambda: self._look(name))
        if not world.awake(name):
            return
        node, now = world.nodes[name], world.clock(name)
        held = node.want(now, TURN, "owner")
        if held is not None and held.fence and name not in self._since:
            self._since[name] = world.now
            self.got += 1
            self.waits += world.now - self._free
        elif held is not None and not held.fence:
            self._since.pop(name, None)
        if name in self._since and world.now - self._since[name] >= HOLDS_S:
            del self._since[name]
            self._free = world.now
            world.out(name, node.done(now, TURN, "owner"))
        else:
            world.poke(name)

    def check(self) -> None:
        """Count the instants at which two members hold the turn, each by its own clock."""
        holders = [
            name
            for name in self._since
            if name not in self.world.dead
            and any(held.fence for _, held in self.world.nodes[name].turns(self.world.clock(name)))
        ]
        self.overlaps += len(holders) > 1


def played(run: Run, bounds: Bounds | None = None) -> Found:
    """Play one run."""
    began = time.process_time()
    names = [f"disp-{n:04}" for n in range(1, run.size + 1)]
    world = World(run.seed, run.size, members(names, bounds), parse(run.script), run.loss)
    killed: dict[str, float] = {}
    _watch(world, killed)
    owners = _Turns(world, world.names[: run.want])
    world.run(run.seconds, owners.check if run.want else None)
    deaths = world.deaths()
    first, last = dict[str, float](), dict[str, float]()
    for at, by, who in deaths:
        if who in killed and at >= killed[who] and by not in killed:
            first.setdefault(who, at - killed[who])
            last[who] = at - killed[who]
    noticed = len(first)
    false = {who for at, _, who in deaths if who not in killed}
    return Found(
        run.size,
        world.sent / run.size / run.seconds,
        world.bytes / run.size / run.seconds,
        len(killed),
        noticed,
        _mean(first),
        _mean(last),
        len(false),
        owners.got,
        owners.waits / owners.got if owners.got else -1.0,
        owners.overlaps,
        time.process_time() - began,
    )


def _mean(values: dict[str, float]) -> float:
    return sum(values.values()) / len(values) if values else -1.0


def _watch(world: World, killed: dict[str, float]) -> None:
    """Note when members die; they are looked at every tenth of a second."""

    def look() -> None:
        for name in world.dead:
            killed.setdefault(name, world.now)
        world.at(world.now + 0.1, look)

    world.at(0.0, look)


def draw(rows: list[Found], path: str) -> None:
    """Draw rows by size."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(11, 3.2))
    values: tuple[tuple[str, Callable[[Found], float]], ...] = (
        ("s until the first knows of a death", lambda r: r.notice_first),
        ("words a member and second", lambda r: r.words),
        ("bytes a member and second", lambda r: r.bytes),
    )
    for axis, (label, value) in zip(axes, values, strict=True):
        axis.plot([row.size for row in rows], [value(row) for row in rows], marker="o")
        axis.set_xscale("log")
        axis.set_ylim(bottom=0)
        axis.set_xlabel("members")
        axis.set_title(label, fontsize=9)
    figure.tight_layout()
    figure.savefig(path)
