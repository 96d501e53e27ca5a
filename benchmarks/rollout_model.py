"""A fleet in simulated time: the agents' and the controller's own decision code, with processes that are drawn.

A box's process takes a drawn time to take clients. Figures are drawn by box and class: each box has an offset of its
own, all share a wave of load and a store that may collapse, a warm process serves better than a cold one, and a bad
generation serves worse. It is no proof of anything that sockets do; the tests on running hosts are.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from lapispick.fleet.hosts import Worker
from lapispick.rollout import host_state, pacing, rollout_state, stages
from lapispick.rollout.canary_analysis import Bounds as Judging
from lapispick.rollout.canary_analysis import Judge, Outcome
from lapispick.rollout.compat import Spoken
from lapispick.rollout.generations import Generation
from lapispick.rollout.host_state import Bounds, Kill, Reload, Seen, Start, State, Term
from lapispick.rollout.messages import Fence
from lapispick.rollout.metrics import Class, Slice, merged
from lapispick.rollout.rollout_state import Course, Heard, Plan

SPEAKS = {"handover": Spoken(1, 1, 1)}
OLD, NEW = "a" * 16, "b" * 16
SHELF = {name: Generation(name, name, "", {}, SPEAKS) for name in (OLD, NEW)}
CLASSES = {"track": 0.33, "quote": 0.32, "ping": 0.2, "book": 0.15}
WANTS = ("1", "10%", "50%", "100%")
Effect = Callable[[str, float], float]  # (class, warm share) -> part of the requests that is lost


class Box:
    """One box with its agent's state, in simulated time."""

    def __init__(self, name: str, rng: random.Random, start_s: float = 1.0) -> None:
        self.name, self.rng, self.start_s = name, rng, start_s
        self.state = State(name, good=OLD, wanted=OLD, boot="1")
        self.procs: dict[int, tuple[str, float]] = {}  # life -> generation, when it takes clients
        self.agent_up, self.reached, self.fails = True, True, set[str]()  # fails: generations that never take clients
        self.starts = 0
        self.base = max(0.0, rng.gauss(0.06, 0.03))
        self.told: tuple[float, Any] | None = None

    def seen(self, now: float) -> Seen:
        """Return what the agent sees."""
        takes = frozenset(n for n, (_, at) in self.procs.items() if at <= now)
        return Seen(frozenset(self.procs), takes, SHELF, "1")

    def step(self, now: float) -> None:
        """Let the agent look once."""
        if not self.agent_up:
            return
        self.state, actions = host_state.step(self.state, now, self.seen(now), Bounds())
        for action in actions:
            self.act(action, now)

    def act(self, action: host_state.Action, now: float) -> None:
        """Do what the agent orders."""
        if isinstance(action, Start):
            if action.life.number not in self.procs:
                self.starts += 1
                never = action.life.generation in self.fails
                ready = math.inf if never else now + self.start_s * self.rng.uniform(0.5, 2)
                self.procs[action.life.number] = (action.life.generation, ready)
        elif isinstance(action, Reload):
            self.procs[action.life.number] = (action.life.generation, self.procs[action.life.number][1])
        elif isinstance(action, Term | Kill):
            self.procs.pop(action.number, None)

    def heard(self, now: float) -> Heard:
        """Return what a controller knows of it."""
        if self.agent_up and self.reached:
            self.told = (now, host_state.status(self.state, now, self.seen(now)))
        return Heard(None, math.inf) if self.told is None else Heard(self.told[1], now - self.told[0])

    def serving(self, now: float) -> tuple[str, float]:
        """Return what serves here, and since when; nothing where nothing does."""
        life = self.state.life(host_state.SERVING)
        if life is None or life.number not in self.procs or self.procs[life.number][1] > now:
            return "", 0.0
        return self.procs[life.number][0], now - self.procs[life.number][1]


def drawn(rng: random.Random, n: int, p: float) -> int:
    """Draw a binomial number, by a normal one where that is close."""
    p = min(0.98, max(0.0, p))
    if n * p * (1 - p) < 9:
        return sum(rng.random() < p for _ in range(n))
    return min(n, max(0, round(rng.gauss(n * p, math.sqrt(n * p * (1 - p))))))


class Fleet:
    """Boxes, their load, a controller and its judge."""

    def __init__(
        self,
        seed: int,
        size: int,
        plan: dict[str, Any] | None = None,
        wants: tuple[str, ...] = WANTS,
        rate: float = 60.0,
        effect: Effect | None = None,
        harm: float = 0.0,
        drift: float = 0.002,
    ) -> None:
        self.rng, self.now, self.rate, self.effect = random.Random(seed), 0.0, rate, effect
        self.harm, self.drift = harm, drift
        self.boxes = {f"d{n:04}": Box(f"d{n:04}", random.Random(f"{seed} {n}")) for n in range(size)}
        workers = [
            Worker(name, f"{name}:1", agent=f"{name}:2", zone=f"z{n % 3}", machine="old" if n % 2 else "new")
            for n, name in enumerate(self.boxes)
        ]
        bounds = stages.Bounds(0.6)
        most = max(2, size // 20)
        held = {
            "warm_up": 10.0,
            "bake": 60.0,
            "bake_most": 180.0,
            "confirm": 900.0,
            "watch": 30.0,
            "back_most": most,
            "pace": pacing.Bounds(most, 0.8),
            **(plan or {}),
        }
        assigned = stages.assign(workers, [stages.want(w) for w in wants], f"r{seed}", bounds)
        kinds = {w.name: w.kind for w in workers}
        self.course = Course(f"r{seed}", Plan(NEW, tuple(map(tuple, assigned)), kinds=kinds, **held))
        self.judge: Judge | None = None
        self.verdict: Any = None
        self.old: list[dict[str, Slice]] = []
        self.common, self.collapse = 0.0, 0.0
        self.lost, self.asked, self.bare = 0.0, 0.0, 0.0
        self.worst_down = 0
        self._stage = -1

    def slice(self, each: Box, harmed: float) -> Slice | None:
        """Draw what one box did in a second."""
        generation, age = each.serving(self.now)
        classes, warm = {}, min(1.0, age / 10.0)
        each.base = max(0.0, each.base + self.rng.gauss(0, self.drift))
        for name, share in CLASSES.items():
            n = max(0, round(self.rng.gauss(self.rate * share, math.sqrt(self.rate * share))))
            usual = each.base + self.common + self.collapse + harmed + 0.1 * (1 - warm)
            worse = self.effect(name, warm) if self.effect is not None and generation == NEW else 0.0
            self.asked += n
            self.bare += n * (1 - min(1.0, usual))
            if not generation:
                self.lost += n * (1 - min(1.0, usual))
                continue
            refused = drawn(self.rng, n, usual + worse)
            self.lost += n * min(worse, 1.0)
            failed = drawn(self.rng, n - refused, 0.01)
            served = n - refused - failed
            times = {16.0: drawn(self.rng, n, 0.5), 32.0: drawn(self.rng, n, 0.4), 64.0: drawn(self.rng, n, 0.09)}
            classes[name] = Class(n, refused, failed, drawn(self.rng, served, 0.02), float(served), times)
        if not generation:
            return None
        runs = sum(c.asked - c.refused for c in classes.values())
        return Slice(each.name, 1.0, classes, runs, int(30_000 + self.rng.gauss(0, 200)))

    def second(self) -> None:
        """Let a second pass: agents look, figures come, the controller decides."""
        self.now += 1.0
        for each in self.boxes.values():
            each.step(self.now)
        down = sum(not each.serving(self.now)[0] for each in self.boxes.values())
        self.worst_down = max(self.worst_down, down if self.now > 10 else 0)
        self.common = max(0.0, 0.9 * self.common + self.rng.gauss(0, 0.02))
        new = sum(each.serving(self.now)[0] == NEW for each in self.boxes.values())
        harmed = self.harm * new / len(self.boxes)
        slices = {
            n: s
            for n, each in self.boxes.items()
            if (s := self.slice(each, harmed if each.serving(self.now)[0] == OLD else 0.0)) is not None
        }
        self.weigh(slices)
        heard = {name: each.heard(self.now) for name, each in self.boxes.items()}
        self.course, calls = rollout_state.step(self.course, self.now, Fence(1, "sim"), heard, self.verdict)
        for told in calls:
            each = self.boxes[told.box]
            if each.agent_up and each.reached:
                each.state, _ = host_state.call(each.state, told.call, self.now, each.seen(self.now))

    def weigh(self, slices: dict[str, Slice]) -> None:
        """Do as the controller does with its judge."""
        course = self.course
        if course.phase in (rollout_state.CHANGING, rollout_state.BAKING):
            heard = {name: each.heard(self.now) for name, each in self.boxes.items()}
            changed, old = rollout_state.groups(course, heard)
            if self._stage != course.stage:
                self._stage, self.verdict = course.stage, None
                self.judge = Judge(Judging(stages=len(course.plan.stages)), dict(course.plan.kinds))
                for each in self.old:
                    self.judge.before(course.boxes, [n for n in each if n not in course.touched], each)
            assert self.judge is not None
            if changed and old:
                self.judge.after(changed, old, slices)
            if int(self.now) % 3 == 0:
                self.verdict = self.judge.verdict()
        if course.phase not in (rollout_state.DONE, rollout_state.UNDONE):
            self.old = [*self.old, {n: s for n, s in slices.items() if n not in course.touched}][-60:]

    def play(self, most: float = 5000.0, person: str = "go") -> Course:
        """Play until the rollout is over; a person answers each question in the same way."""
        while self.course.phase not in rollout_state.OVER and self.now < most:
            if self.course.phase == rollout_state.ASKING:
                self.course.told = person
            self.second()
        return self.course


def whole(slices: dict[str, Slice]) -> Slice | None:
    """Return the fleet as one box."""
    return merged(slices.values())


__all__ = ["NEW", "OLD", "Box", "Fleet", "Outcome"]
