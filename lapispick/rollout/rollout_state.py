"""A rollout's course over the whole fleet: which agent is told what, when a stage is over, when to go back. No I/O.

Each step is decided from the rollout's state and from what the agents last said of their boxes, so a controller that
takes over goes on from there, and whatever was told before may be told again.

| phase | what goes on | what ends it |
| --- | --- | --- |
| watching | nothing is changed; the boxes are compared as they are | it lasted long enough: changing |
| changing | boxes of the stage, and as many controls, begin by the pace | all that are reached did so: baking |
| baking | the stage is watched, so long after its last box is warm | good: confirming. Worse: returning. Else: asking |
| confirming | the agents of the stage are told that it is good | all said so: the next stage, holding, or done |
| waiting | nothing begins: it is outside of the hours | they come: changing |
| holding | nothing begins: a person has the word | ``go``, ``back`` |
| asking | nobody can tell: a person decides | ``go`` (as if good), ``back`` |
| returning | every box of this rollout goes back, by its own pace | none is left: undone |
| burning | too much of the fleet does not serve: nothing is started anew | it serves again: returning |
| done, undone | over | |

A box that can't be reached is passed over and asked again in each later stage; it counts as down. One that joins
comes last. One that leaves is struck off. One that comes back in the old generation is changed again, in the stage
that is under way then.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import ceil
from typing import NamedTuple

import msgspec

from lapispick.rollout import pacing
from lapispick.rollout.canary_analysis import Outcome, Verdict
from lapispick.rollout.messages import Back, Call, Change, Confirm, Fence, Status
from lapispick.rollout.pacing import Place

WATCHING, CHANGING, BAKING, CONFIRMING = "watching", "changing", "baking", "confirming"
HOLDING, ASKING, RETURNING, BURNING, DONE, UNDONE = "holding", "asking", "returning", "burning", "done", "undone"
WAITING = "waiting"
OVER = (DONE, UNDONE)
NOTES_MOST = 200  # of the course that are kept
LATE = "was not confirmed in time"


class Plan(msgspec.Struct, frozen=True):
    """What a rollout is to do."""

    generation: str
    stages: tuple[tuple[str, ...], ...]
    hold: tuple[int, ...] = ()  # stages after which a person says go, from 1
    kinds: dict[str, tuple[str, str]] = {}  # box -> zone and machine
    warm_up: float = 20.0
    bake: float = 120.0
    bake_most: float = 900.0
    confirm: float = 1800.0
    watch: float = 30.0  # before the first stage
    pace: pacing.Bounds = pacing.Bounds()
    back_most: int = 2
    unreached: float = 10.0
    fire: float = 0.3
    controls: bool = True
    memory_most: float = 0.9  # of a box's limit; a changed box that holds more stops the rollout
    memory_mb: float = 0.0  # the limit of boxes whose agents tell none; 0 = any


class Course(msgspec.Struct):
    """All that a controller keeps of a rollout."""

    name: str
    plan: Plan
    phase: str = WATCHING
    stage: int = 0  # from 0
    since: float = 0.0  # Unix s; when this phase began
    warm: float = 0.0  # when the last box of the stage changed, as the controller saw it
    boxes: list[str] = []  # of the stage under way
    controls: list[str] = []
    later: list[str] = []  # that joined, or were passed over
    past: list[str] = []  # of stages before, confirmed
    gone: list[str] = []
    reason: str = ""
    cause: str = ""  # why it goes back; a fire on the way does not take its place
    told: str = ""  # what a person last asked for
    held: str = ""  # the phase in which a person held it; empty = the plan did, after a stage
    notes: list[tuple[float, str]] = []

    @property
    def touched(self) -> set[str]:
        """Return the boxes that this rollout has asked to change so far."""
        return {*self.past, *self.boxes}


class Heard(NamedTuple):
    """What is known of one box."""

    status: Status | None  # the last that its agent said
    age: float  # s, since then
    memory_kb: int = 0
    broken: int = 0  # rules that the serving process broke


class Told(NamedTuple):
    """A call for a box's agent."""

    box: str
    call: Call


def control(course: Course) -> str:
    """Return the name that controls' restarts bear, so that no agent takes one for a part of the change."""
    return f"{course.name}.c"


def step(
    course: Course, now: float, fence: Fence, heard: Mapping[str, Heard], verdict: Verdict | None, may_begin: str = ""
) -> tuple[Course, list[Told]]:
    """Return the course from now on, and the calls to make once it is kept.

    ``heard`` holds all boxes of the list; ``may_begin`` says why no stage may begin now, empty where one may.
    """
    made = msgspec.structs.replace(
        course,
        boxes=list(course.boxes),
        controls=list(course.controls),
        later=list(course.later),
        past=list(course.past),
        gone=list(course.gone),
        notes=list(course.notes),
    )
    return _Step(made, now, fence, heard, verdict, may_begin).run()


class _Step:
    """One look at the fleet."""

    def __init__(
        self,
        course: Course,
        now: float,
        fence: Fence,
        heard: Mapping[str, Heard],
        verdict: Verdict | None,
        may_begin: str,
    ) -> None:
        self.c, self.now, self.fence, self.heard = course, now, fence, heard
        self.verdict, self.may_begin, self.calls = verdict, may_begin, list[Told]()

    def run(self) -> tuple[Course, list[Told]]:
        c = self.c
        if not c.since:
            c.since = self.now
        self._listed()
        self._orders()
        if c.phase in (CHANGING, BAKING, CONFIRMING, WAITING, HOLDING, ASKING) and (why := self._alarm()):
            self._enter(RETURNING, why)
        handler = {
            WATCHING: self._watching,
            CHANGING: self._changing,
            BAKING: self._baking,
            WAITING: self._waiting,
            CONFIRMING: self._confirming,
            RETURNING: self._returning,
            BURNING: self._burning,
        }.get(c.phase)
        if handler is not None:
            handler()
        return c, self.calls

    def _enter(self, phase: str, why: str) -> None:
        c = self.c
        c.phase, c.since, c.reason = phase, self.now, why
        c.notes = [*c.notes, (self.now, f"{phase}: {why}")][-NOTES_MOST:]

    def _status(self, box: str) -> Status | None:
        """Return what a box's agent says, if it said so in time."""
        held = self.heard.get(box)
        return held.status if held is not None and held.age < self.c.plan.unreached else None

    def _listed(self) -> None:
        """Strike off boxes that left the list, and let those that joined or came back be asked later."""
        c = self.c
        begun = c.plan.stages[: c.stage + (c.phase != WATCHING)]
        planned, over = ({name for stage in stages for name in stage} for stages in (c.plan.stages, begun))
        c.gone = sorted((planned | c.touched | set(c.later)) - self.heard.keys())
        for part in (c.boxes, c.later, c.controls):
            part[:] = [name for name in part if name in self.heard]
        c.later += sorted(self.heard.keys() & over - c.touched - set(c.later))
        c.later += sorted(self.heard.keys() - planned - c.touched - set(c.later))

    def _orders(self) -> None:
        """Do what a person last asked for, where it means anything."""
        c, told = self.c, self.c.told
        c.told = ""
        if told == "back" and c.phase not in (*OVER, RETURNING, BURNING):
            self._enter(RETURNING, "a person called it back")
        elif told == "hold" and c.phase in (WATCHING, CHANGING, BAKING, WAITING):
            c.held = c.phase
            self._enter(HOLDING, "a person holds it")
        elif told == "go" and c.phase == ASKING:
            self._enter(CONFIRMING, "a person says go")
        elif told == "go" and c.phase == HOLDING and c.held:
            self._enter(c.held, "a person says go")
        elif told == "go" and c.phase == HOLDING:
            self._next()
        elif told == "go" and c.phase == CHANGING and c.boxes and not any(self._status(name) for name in c.boxes):
            c.boxes = []
            self._enter(DONE, "a person says go, without the boxes that nobody reaches")

    # What stops at once, without statistics.

    def _alarm(self) -> str:
        c = self.c
        for name in sorted(c.touched):
            held = self.heard.get(name)
            status = held.status if held is not None else None
            if status is None:
                continue
            if status.undone == c.name and status.fault != "called back":
                if status.fault == LATE:
                    continue  # nobody reached it: no ground against the change
                return f"{name}: {status.fault}"
            if held is None or status.serving != c.plan.generation:
                continue
            if held.broken:
                return f"{name}: broke a rule {held.broken} times (broken, in its figures)"
            most = c.plan.memory_most * (status.memory_mb or c.plan.memory_mb)
            if most and held.memory_kb > most * 1024:
                return f"{name}: holds {held.memory_kb // 1024} MB of at most {most:.0f}"
        if self.verdict is not None and self.verdict.outcome is Outcome.WORSE and c.phase in (CHANGING, BAKING):
            return self.verdict.ground
        return ""

    # The phases.

    def _watching(self) -> None:
        if self.now - self.c.since >= self.c.plan.watch and not self.may_begin:
            self._begin_stage()

    def _begin_stage(self) -> None:
        c = self.c
        planned = list(c.plan.stages[c.stage]) if c.stage < len(c.plan.stages) else []
        last = c.stage >= len(c.plan.stages) - 1
        c.boxes = [name for name in planned if name in self.heard]
        # Whoever was passed over is asked again; whoever joined comes with the last stage.
        planned_ever = {name for stage in c.plan.stages for name in stage}
        again = [name for name in c.later if last or name in planned_ever]
        c.boxes += [name for name in again if name not in c.boxes]
        c.later = [name for name in c.later if name not in c.boxes]
        c.controls = self._matched() if c.plan.controls else []
        c.warm = self.now
        self._enter(CHANGING, f"stage {c.stage + 1}: {len(c.boxes)} boxes, {len(c.controls)} controls")

    def _matched(self) -> list[str]:
        """Return a like box of the old generation for each of the stage, as far as there are any left."""
        c, kinds = self.c, self.c.plan.kinds
        left = [
            name
            for name in sorted(self.heard)
            if name not in c.touched
            and name not in c.later
            and (status := self._status(name)) is not None
            and status.phase == "steady"
        ]
        found = []
        for name in c.boxes:
            like = next((other for other in left if kinds.get(other) == kinds.get(name)), None)
            if like is not None:
                left.remove(like)
                found.append(like)
        return found

    def _is_good(self, name: str) -> bool:
        """Tell whether a box is wholly over: it serves the new generation, confirmed."""
        status = self._status(name)
        return status is not None and status.phase == "steady" and status.good == self.c.plan.generation

    def _changed(self, name: str) -> bool:
        status = self._status(name)
        return status is not None and status.serving == self.c.plan.generation and status.phase in ("proving", "steady")

    def _restarted(self, name: str) -> bool:
        status = self._status(name)
        return status is not None and status.rollout == control(self.c) and status.phase in ("proving", "steady")

    def _places(self, waiting: Iterable[str]) -> list[Place]:
        wants, made = set(waiting), []
        for name in sorted(self.heard):
            status = self._status(name)
            serves = status is not None and bool(status.serving)
            moving = status is not None and status.phase in ("trying", "returning")
            made.append(Place(name, serves, moving, name in wants and status is not None))
        order = {name: at for at, name in enumerate(waiting)}
        return sorted(made, key=lambda p: order.get(p.name, len(order)))

    def _changing(self) -> None:
        c, plan = self.c, self.c.plan
        late = [n for n in c.boxes if (s := self._status(n)) is not None and s.undone == c.name and s.fault == LATE]
        if late:
            return self._enter(ASKING, f"{late[0]}: undone, as it {LATE}; nobody reached its agent meanwhile")
        waiting = [n for n in c.boxes if not self._changed(n)]
        restarts = [n for n in c.controls if not self._restarted(n)]
        reached = [n for n in (*waiting, *restarts) if self._status(n) is not None]
        if not reached:
            return self._all_begun(waiting)
        begin, why = pacing.next_boxes(self._places([*waiting, *restarts]), plan.pace)
        c.reason = why or c.reason
        for name in begin:
            again = name in restarts
            status = self._status(name)
            generation = status.good if again and status is not None else plan.generation
            rollout = control(c) if again else c.name
            self.calls.append(Told(name, Change(self.fence, rollout, generation, plan.confirm, again)))
        if begin:
            c.warm = self.now
        return None

    def _all_begun(self, left: list[str]) -> None:
        c, plan = self.c, self.c.plan
        silent = [n for n in left if self._status(n) is None]
        if len(silent) == len(c.boxes) and c.boxes:
            c.reason = f"none of the stage's {len(c.boxes)} boxes can be reached"
            return
        if silent and self.now - c.warm < plan.unreached:
            return
        for name in silent:
            c.boxes.remove(name)
            c.later.append(name)
        c.warm = max([c.warm, *(self.now - s.since_s for n in c.boxes if (s := self._status(n)) is not None)])
        self._enter(BAKING, f"{len(c.boxes)} boxes changed, {len(silent)} passed over")

    def _baking(self) -> None:
        c, plan = self.c, self.c.plan
        for name in c.boxes:
            status = self._status(name)
            if status is not None and status.undone == c.name:
                return self._enter(ASKING, f"{name}: undone, as it {status.fault}")
            if status is not None and status.phase == "steady" and status.good != plan.generation:
                return self._enter(CHANGING, f"{name}: back in {status.good}")  # it was away while the stage began
        watched = self.now - c.warm - plan.warm_up
        verdict = self.verdict
        if verdict is not None and verdict.outcome is Outcome.GOOD and watched >= plan.bake:
            return self._enter(CONFIRMING, verdict.ground)
        if watched >= plan.bake_most:
            return self._enter(ASKING, verdict.ground if verdict is not None else "there are no figures")
        return None

    def _confirming(self) -> None:
        c = self.c
        late = [n for n in c.boxes if (s := self._status(n)) is not None and s.undone == c.name]
        if late:
            return self._enter(ASKING, f"{late[0]}: undone before it could be confirmed")
        open_ = [n for n in c.boxes if not self._is_good(n)]
        for name in open_:
            self.calls.append(Told(name, Confirm(self.fence, c.name)))
        for name in c.controls:
            status = self._status(name)
            if status is not None and status.rollout == control(c) and status.phase == "proving":
                self.calls.append(Told(name, Confirm(self.fence, control(c))))
        if open_ and not all(self._status(n) is None for n in open_):
            return None
        if open_ and self.now - c.since < c.plan.unreached:
            return None
        for name in open_:  # silent since: whether it kept the change is seen when it speaks again
            c.boxes.remove(name)
            c.later.append(name)
        if c.stage + 1 in c.plan.hold:
            c.held = ""
            return self._enter(HOLDING, f"stage {c.stage + 1} is over; the plan holds here")
        return self._next()

    def _next(self) -> None:
        c = self.c
        c.past += c.boxes
        c.boxes, c.controls = [], []
        strays = [
            name
            for name in c.past
            if (status := self._status(name)) is not None and status.phase == "steady" and not self._is_good(name)
        ]
        c.past = [name for name in c.past if name not in strays]
        c.later += strays  # they came back in the old generation
        if c.stage + 1 >= len(c.plan.stages) and not c.later:
            return self._enter(DONE, f"{len(c.past)} boxes serve {c.plan.generation}")
        c.stage += 1
        return self._enter(WAITING, self.may_begin or "the next stage")

    def _waiting(self) -> None:
        if not self.may_begin:
            return self._begin_stage()
        self.c.reason = self.may_begin
        return None

    def _returning(self) -> None:
        c, plan = self.c, self.c.plan
        left = sorted(n for n in {*c.touched, *c.later} if n in self.heard and not self._returned(n))
        controls = [
            n
            for n in c.controls
            if (s := self._status(n)) is not None and s.rollout == control(c) and s.phase == "proving"
        ]
        for name in controls:  # they run what they ran: they are kept as they are
            self.calls.append(Told(name, Confirm(self.fence, control(c))))
        if not left:
            return self._enter(UNDONE, c.reason)
        down = sum(not (s := self._status(n)) or not s.serving for n in self.heard)
        if down > plan.fire * len(self.heard):
            c.cause = c.cause or c.reason
            return self._enter(BURNING, f"{c.cause}; {down} of {len(self.heard)} boxes do not serve")
        moving = sum((s := self._status(n)) is not None and s.phase == "returning" for n in self.heard)
        for name in left:
            status = self._status(name)
            if status is None or status.phase == "returning":
                continue
            # One that serves nobody is worth mending before any other, and costs no one anything.
            if moving < plan.back_most or not status.serving:
                self.calls.append(Told(name, Back(self.fence, c.name)))
                moving += 1
        return None

    def _returned(self, name: str) -> bool:
        status = self._status(name)
        if status is None:
            # Unreached, it undoes by itself what nobody confirms; what was confirmed waits for it to be heard.
            return False
        mine = status.rollout == self.c.name and status.undone != self.c.name
        return not mine and status.phase in ("steady", "stuck")

    def _burning(self) -> None:
        down = sum(not (s := self._status(n)) or not s.serving for n in self.heard)
        if down <= self.c.plan.fire * len(self.heard) / 2:
            self._enter(RETURNING, self.c.cause)


def deviations(course: Course, heard: Mapping[str, Heard]) -> list[str]:
    """Return the boxes that run something else than the course has them run, for ``status``."""
    found = []
    for name, each in sorted(heard.items()):
        if each.status is None:
            found.append(f"{name}: its agent has not answered")
        elif each.age >= course.plan.unreached:
            found.append(f"{name}: not heard of for {each.age:.0f} s")
        elif name in course.past and each.status.serving != course.plan.generation:
            found.append(f"{name}: serves {each.status.serving or 'nobody'}, though its stage is over")
    return found


def groups(course: Course, heard: Mapping[str, Heard]) -> tuple[list[str], list[str]]:
    """Return the changed boxes of the stage that are warm, and the old ones that are as warm, to be compared."""
    plan = course.plan
    warm = {
        name: each.status
        for name, each in heard.items()
        if each.status is not None and each.age < plan.unreached and each.status.since_s >= plan.warm_up
    }
    changed = [name for name in course.boxes if name in warm and warm[name].serving == plan.generation]
    old = [name for name, status in warm.items() if name not in course.touched and status.serving != plan.generation]
    # Controls began anew when the changed ones did; where there are any of a kind, they are the ones to compare with.
    like = {plan.kinds.get(name) for name in course.controls}
    return changed, [n for n in old if n in course.controls or plan.kinds.get(n) not in like]


def stages_left(course: Course) -> int:
    """Return how many stages come after this one."""
    return max(0, len(course.plan.stages) - course.stage - 1)


def slice_span(plan: Plan) -> float:
    """Return how long one slice of the judge is, s: a sixtieth of the watch, and not under half a second."""
    return max(0.5, ceil(plan.bake / 60 * 10) / 10)


def share_over(course: Course, heard: Sequence[str]) -> float:
    """Return the share of the fleet that serves the new generation for good."""
    return len([n for n in course.past if n in heard]) / len(heard) if heard else 0.0
