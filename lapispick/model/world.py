"""Members on one simulated clock: links that lose and delay words, clocks that drift, boxes that stop and die.

What runs at each member is ``members/member.py``, or anything with the same face: ``due``, ``tick``, ``take`` and
``changes``. One seed draws all that is random, so a run can be repeated word by word.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from lapispick.members import messages
from lapispick.members.member import Bounds, Node
from lapispick.members.membership_view import Change, Send, State
from lapispick.model.script import Step

DRIFT = 0.004  # by which members' clocks run apart at most, as a part
LATE_S = 0.002  # of a word on its way, at least and on top at most


class Decides(Protocol):
    """What a member of the model has to do."""

    def due(self) -> float: ...  # noqa: D102
    def tick(self, now: float) -> list[Send]: ...  # noqa: D102
    def take(self, now: float, word: Any) -> list[Send]: ...  # noqa: D102
    def changes(self) -> list[Change]: ...  # noqa: D102


Make = Callable[[str, int, float, random.Random], Decides]  # name, life, its clock's time, what draws


class World:
    """A fleet in the model."""

    def __init__(self, seed: int, size: int, make: Make, script: Sequence[Step] = (), loss: float = 0.0) -> None:
        """Let ``size`` members begin within their first second; faults by the script."""
        self.rng, self.now, self.loss, self.late = random.Random(seed), 0.0, loss, 0.0
        self.names = [f"disp-{n:04}" for n in range(1, size + 1)]
        self.make, self.seed = make, seed
        self.sent, self.bytes = 0, 0
        self.changes: list[tuple[float, str, Change]] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._clocks = {n: (self.rng.uniform(-300, 300), 1 + self.rng.uniform(-DRIFT, DRIFT)) for n in self.names}
        self._asleep: dict[str, list[Any]] = {}
        self.dead: set[str] = set()
        self.lives = dict.fromkeys(self.names, 1)
        self._sides: dict[int, tuple[frozenset[str], bool]] = {}  # a cut: those on one side, both ways or from them
        self.nodes: dict[str, Any] = {}
        for name in self.names:
            self.born(name)
        for step in script:
            self.at(step.at, lambda step=step: self._strike(step))  # type: ignore[misc]

    # Time.

    def clock(self, name: str) -> float:
        """Return what a member's own clock shows."""
        offset, rate = self._clocks[name]
        return offset + self.now * rate

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._queue, (when, next(self._count), call))

    def run(self, until: float, check: Callable[[], None] | None = None) -> None:
        """Let time pass; ``check`` is asked after each event."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
            if check is not None:
                check()
        self.now = until

    # Members.

    def born(self, name: str) -> None:
        """Let a member begin, as a new life with no state."""
        life = self.lives[name]
        rng = random.Random(f"{self.seed} {name} {life}")
        self.nodes[name] = self.make(name, life, self.clock(name), rng)
        self.at(self.now + rng.random(), lambda: self._turn(name, life))

    def awake(self, name: str) -> bool:
        """Tell whether a member runs at this moment."""
        return name not in self.dead and name not in self._asleep

    def _turn(self, name: str, life: int) -> None:
        if self.lives[name] != life or name in self.dead:
            return
        node = self.nodes[name]
        if name not in self._asleep:
            self.out(name, node.tick(self.clock(name)))
        _, rate = self._clocks[name]
        wait = (node.due() - self.clock(name)) / rate
        self.at(self.now + min(1.0, max(0.01, wait)), lambda: self._turn(name, life))

    def poke(self, name: str) -> None:
        """Let a member look at once at what is due."""
        if self.awake(name):
            self.out(name, self.nodes[name].tick(self.clock(name)))

    def out(self, name: str, sends: Sequence[Send]) -> None:
        """Send words, and note what changed for their sender."""
        for to, word in sends:
            self.sent += 1
            self.bytes += len(messages.datagram(word)) if isinstance(word, messages.Word) else len(word)
            if self.rng.random() < self.loss or self._cut(name, to):
                continue
            late = LATE_S * (1 + self.rng.random()) + (self.rng.random() * self.late if self.late else 0.0)
            self.at(self.now + late, lambda to=to, word=word: self._arrive(to, word))  # type: ignore[misc]
        for change in self.nodes[name].changes():
            self.changes.append((self.now, name, change))

    def _arrive(self, to: str, word: Any) -> None:
        if to in self.dead:
            return
        if to in self._asleep:  # what came meanwhile is read when it wakes
            self._asleep[to].append(word)
            return
        self.out(to, self.nodes[to].take(self.clock(to), word))

    # Faults.

    def _cut(self, one: str, other: str) -> bool:
        return any((one in side) != (other in side) and (both or one in side) for side, both in self._sides.values())

    def _strike(self, step: Step) -> None:
        boxes, number = step.chosen(self.names, self.rng), next(self._count)
        if step.kind in ("part", "one-way"):
            self._sides[number] = (frozenset(boxes), step.kind == "part")
            self.at(self.now + step.span, lambda: self._sides.pop(number) and None)
        elif step.kind in ("loss", "late"):
            was = getattr(self, step.kind)
            setattr(self, step.kind, step.value)
            self.at(self.now + step.span, lambda: setattr(self, step.kind, was))
        for name in boxes if step.kind in ("stop", "kill") else ():
            if name in self.dead or name in self._asleep:
                continue
            if step.kind == "stop":
                self._asleep[name] = []
                self.at(self.now + step.span, lambda name=name: self._wake(name))  # type: ignore[misc]
            else:
                self.dead.add(name)
                self.at(self.now + step.span, lambda name=name: self._back(name))  # type: ignore[misc]

    def _wake(self, name: str) -> None:
        for word in self._asleep.pop(name, []):
            self._arrive(name, word)

    def _back(self, name: str) -> None:
        self.dead.discard(name)
        self.lives[name] += 1
        self.born(name)

    # What became of it.

    def deaths(self) -> list[tuple[float, str, str]]:
        """Return who called whom dead, and when."""
        return [(at, by, change.name) for at, by, change in self.changes if change.state is State.DEAD]


def members(names: Sequence[str], bounds: Bounds | None = None, kinds: dict[str, int] | None = None) -> Make:
    """Return what makes real members of these names, which hold one list in common."""
    known, times = frozenset(names), bounds or Bounds()
    return lambda name, life, now, rng: Node(
        name, "model", life, known, "l", kinds or {"job": 1}, times, rng, now, fresh=life == 1
    )
