"""What one box's agent decides: which process is started, told to leave or killed, when a change is undone. No I/O.

The state is on disk before anything that follows from it is done, and each step is decided from the state and from
what is seen of the processes. So an agent that dies at any instant goes on from there: what it orders may come twice.

| phase | what serves | what ends it |
| --- | --- | --- |
| steady | the good generation | a change |
| trying | what served before; the new one starts beside it, or by SIGHUP | it takes clients: proving. Not: steady |
| proving | the new one, not confirmed so far | confirmed: steady. Time up, it ends, a call: returning |
| returning | what is undone; the good one is started beside it | the good one takes clients: steady |
| stuck | what served before; the good one is gone from the shelf | it is there again: returning |

A box without any process starts the good one in every phase, for a box must never end with no host. Times are seconds
of a clock that goes on while the agent is dead and begins anew with the machine; ``boot`` tells machines' lives apart.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from lapispick.rollout import compat, messages
from lapispick.rollout.generations import Generation, in_place
from lapispick.rollout.messages import Fence

STEADY, TRYING, PROVING, RETURNING, STUCK = "steady", "trying", "proving", "returning", "stuck"
SERVING, COMING, LEAVING = "serving", "coming", "leaving"
SLOTS = 2  # addresses for operators and executors: a process and the one that comes after it
LATE = "was not confirmed in time"
HANGS = 5  # times what a start may take; then a process that serves nobody though there is no other is started anew
SILENT_LOOKS = 5  # in a row at least, so that an agent that slept does not take its first look for all of that time
PAUSE_S = (0.2, 10.0)  # s; first and longest pause before a process that ended is started again


class Bounds(msgspec.Struct, frozen=True):
    """How long things may take, s."""

    start: float = 6.0  # from a start to taking clients
    stop: float = 6.0  # from a notice to the end of the process; then it is killed
    steady: float = 10.0  # a process that lasted so long was no failed start
    turn_wait: float = 0.0  # for a turn to undo what nobody confirmed; 0 = none is asked for


class Life(msgspec.Struct):
    """One process of the host, from before its start to after its end."""

    number: int
    generation: str
    slot: int
    role: str
    change: int  # the change it was started for
    asked: float  # when its start was ordered, or its role was given
    begun: bool = False  # it was seen alive
    took: bool = False  # it was seen to take clients
    silent: float = 0.0  # since when its operators' address answers nothing; 0 = it does
    looks: int = 0  # in a row that found it silent


class State(msgspec.Struct):
    """All that an agent keeps on disk."""

    box: str
    good: str = ""  # what to go back to; confirmed
    previous: str = ""  # what was good before the present rollout; it can still be undone
    wanted: str = ""
    rollout: str = ""
    phase: str = STEADY
    change: int = 0  # counts changes and restarts
    again: bool = False
    deadline: float = 0.0
    confirm_s: float = 0.0
    epoch: int = 0
    who: str = ""
    fault: str = ""
    undone: str = ""
    boot: str = ""
    lives: list[Life] = []  # msgspec copies it
    last: int = 0  # of the lives' numbers
    crashes: int = 0
    pause: float = 0.0
    not_before: float = 0.0  # of the next start after a crash
    version: int = 1

    @property
    def fence(self) -> Fence:
        """Return whose calls count."""
        return Fence(self.epoch, self.who)

    def life(self, role: str) -> Life | None:
        """Return the newest life in a role."""
        return max((life for life in self.lives if life.role == role), key=lambda life: life.number, default=None)


class Seen(NamedTuple):
    """What is seen of the processes and the shelf."""

    alive: frozenset[int]
    takes: frozenset[int]  # of them those that take clients
    shelf: Mapping[str, Generation]
    boot: str = ""
    silent: frozenset[int] = frozenset()  # those that answered operators nothing at all
    turn: bool = False  # this box has the turn to change


class Start(NamedTuple):
    """Start a life, unless a process of it is there."""

    life: Life


class Reload(NamedTuple):
    """Let a life have another generation's configuration by SIGHUP."""

    life: Life


class Term(NamedTuple):
    """Tell a life to leave."""

    number: int


class Kill(NamedTuple):
    """End a life."""

    number: int


Action = Start | Reload | Term | Kill


def copy(state: State) -> State:
    """Return a state that can be changed without touching this one."""
    return msgspec.structs.replace(state, lives=[msgspec.structs.replace(life) for life in state.lives])


def protected(state: State) -> set[str]:
    """Return the generations that must stay on the shelf."""
    return {state.good, state.previous, state.wanted, *(life.generation for life in state.lives)} - {""}


def step(state: State, now: float, seen: Seen, bounds: Bounds) -> tuple[State, list[Action]]:
    """Return what is so from now on, and what to do once that is on disk."""
    return _Step(copy(state), now, seen, bounds).run()


class _Step:
    """One look at the box."""

    def __init__(self, state: State, now: float, seen: Seen, bounds: Bounds) -> None:
        self.s, self.now, self.seen, self.bounds = state, now, seen, bounds
        self.actions: list[Action] = []

    def run(self) -> tuple[State, list[Action]]:
        s = self.s
        if s.boot != self.seen.boot:
            self._booted()
        self._reap()
        if s.phase == PROVING and self.now >= s.deadline:
            self._return(LATE)
        if s.phase == STUCK and s.good in self.seen.shelf:
            s.phase, s.wanted = RETURNING, s.good
        if s.phase in (TRYING, RETURNING):
            self._go_over()
        self._cover()
        self._end_leavers()
        return s, self.actions

    def _booted(self) -> None:
        """Forget the processes of the machine's life before this one; its clock began anew."""
        s = self.s
        first, s.boot, s.lives, s.not_before = not s.boot, self.seen.boot, [], 0.0
        if not first and s.phase in (TRYING, PROVING):
            self._return("the machine started again before the change was confirmed")

    def _reap(self) -> None:
        s = self.s
        # A process whose life was struck off before the agent died, and that it had no time to end.
        self.actions += [Kill(number) for number in sorted(self.seen.alive - {life.number for life in s.lives})]
        for life in list(s.lives):
            if life.number in self.seen.alive:
                life.begun, life.took = True, life.took or life.number in self.seen.takes
                if life.number not in self.seen.silent:
                    life.silent, life.looks = 0.0, 0
                elif life.took:
                    life.silent, life.looks = life.silent or self.now, life.looks + 1
            elif life.begun:
                s.lives.remove(life)
                self._ended(life)

    def _ended(self, life: Life) -> None:
        s = self.s
        if life.role == LEAVING:
            return
        s.crashes += 1
        lasted = self.now - life.asked >= self.bounds.steady
        s.pause = PAUSE_S[0] if lasted else min(PAUSE_S[1], max(PAUSE_S[0], s.pause * 2))
        s.not_before = self.now + s.pause
        if life.role == COMING:
            self._failed(f"the process of {life.generation} ended before it took clients")
        elif s.phase == PROVING and life.change == s.change:
            self._return(f"the process of {life.generation} ended")

    def _return(self, why: str) -> None:
        """Undo the change that is under way."""
        s = self.s
        s.fault, s.undone, s.wanted, s.phase, s.again = why, s.rollout, s.good, RETURNING, False

    def _failed(self, why: str) -> None:
        """Take note of a start that came to nothing; what served before still does, if anything does."""
        s = self.s
        s.fault = why
        if s.phase == TRYING:
            s.undone, s.wanted, s.phase, s.again = s.rollout, s.good, STEADY, False
        elif s.phase == RETURNING:  # what is to be undone must not stay for one start that failed: again, after a pause
            s.pause = min(PAUSE_S[1], max(PAUSE_S[0], s.pause * 2))
            s.not_before = max(s.not_before, self.now + s.pause)

    def _settled(self, life: Life | None) -> bool:
        """Tell whether this life is what the present change wants."""
        s = self.s
        return life is not None and life.generation == s.wanted and not (s.again and life.change != s.change)

    def _go_over(self) -> None:
        s, serving, coming = self.s, self.s.life(SERVING), self.s.life(COMING)
        if self._settled(serving) and coming is None:
            return self._arrived()
        if s.wanted not in self.seen.shelf:
            s.fault = f"{s.wanted} is gone from the shelf"
            s.phase = STUCK if s.phase == RETURNING else STEADY
            if s.phase == STEADY:
                s.undone, s.wanted = s.rollout, s.good
            return None
        if coming is not None and coming.generation != s.wanted:  # of a change that is undone by now
            s.lives.remove(coming)
            self.actions.append(Kill(coming.number))
            coming = None
        if coming is None:
            if serving is None:
                return None  # that is for _cover
            was = self.seen.shelf.get(serving.generation)
            if not s.again and was is not None and serving.took and in_place(was, self.seen.shelf[s.wanted]):
                serving.generation, serving.change = s.wanted, s.change
                self.actions.append(Reload(serving))
                return self._arrived()
            if self._paced():
                return None  # others undo the same at this moment; what serves here serves on
            if self._free_slot() is None or self.now < s.not_before:
                return None  # a process before still leaves, or the last start has only just failed
            return self._start(COMING)
        if coming.number in self.seen.takes:
            if serving is not None:
                serving.role, serving.asked = LEAVING, self.now
                self.actions.append(Term(serving.number))
            coming.role, coming.asked = SERVING, self.now
            return self._arrived()
        if self.now - coming.asked >= self.bounds.start:
            s.lives.remove(coming)
            self.actions.append(Kill(coming.number))
            return self._failed(f"{coming.generation} took no clients within {self.bounds.start:g} s")
        if not coming.begun:
            self.actions.append(Start(coming))  # the agent may have died before it did so
        return None

    def _paced(self) -> bool:
        """Tell whether to wait for a turn before a change that nobody confirmed is undone.

        Where a controller is cut off from many boxes, all their times are over at one instant. Nothing is wrong with
        what serves as far as anybody knows, so it may wait; but not for ever, as a turn needs a majority.
        """
        s = self.s
        return (
            s.phase == RETURNING
            and s.fault == LATE
            and not self.seen.turn
            and self.now < s.deadline + self.bounds.turn_wait
        )

    def _arrived(self) -> None:
        s = self.s
        if s.phase == TRYING:
            s.phase, s.deadline = PROVING, self.now + s.confirm_s
        else:
            s.phase, s.good, s.previous = STEADY, s.wanted, ""
        s.again = False

    def _free_slot(self) -> int | None:
        taken = {life.slot for life in self.s.lives}
        return next((slot for slot in range(SLOTS) if slot not in taken), None)

    def _start(self, role: str, generation: str = "") -> None:
        s, slot = self.s, self._free_slot()
        assert slot is not None
        s.last += 1
        life = Life(s.last, generation or s.wanted, slot, role, s.change, self.now)
        s.lives.append(life)
        self.actions.append(Start(life))

    def _cover(self) -> None:
        """Never be without a host: start what is good where nothing serves."""
        s, serving = self.s, self.s.life(SERVING)
        if serving is not None and serving.begun and self._hangs(serving):
            s.lives.remove(serving)
            self.actions.append(Kill(serving.number))
            return self._ended(serving)
        if serving is not None:
            if not serving.begun:
                self.actions.append(Start(serving))
            return None
        if s.life(COMING) is not None or self.now < s.not_before or self._free_slot() is None:
            return None
        for generation in (s.wanted if s.phase == PROVING else s.good, s.good, s.previous, s.wanted):
            if generation and generation in self.seen.shelf:
                return self._start(SERVING, generation)
        s.phase, s.fault = STUCK, "no generation that was asked for is on the shelf"
        return None

    def _hangs(self, serving: Life) -> bool:
        """Tell whether what serves was started alone and takes nobody, or took clients and says nothing any more.

        A process that was stopped for seconds, and one that is drained or too busy for clients, is none of these.
        """
        long = HANGS * self.bounds.start
        if not serving.took:
            return self.now - serving.asked >= long
        return serving.looks >= SILENT_LOOKS and self.now - serving.silent >= long

    def _end_leavers(self) -> None:
        for life in self.s.lives:
            if life.role == LEAVING and life.number in self.seen.alive:
                late = self.now - life.asked >= self.bounds.stop
                self.actions.append(Kill(life.number) if late else Term(life.number))


# Calls.


def call(state: State, asked: messages.Call, now: float, seen: Seen) -> tuple[State, list[str]]:
    """Return what is so after a call, and its answer; nothing is done before the state is on disk."""
    if not messages.admits(state.fence, asked.fence):
        return state, [f"ERR fenced: {state.fence} steers, not {asked.fence}"]
    s = copy(state)
    s.epoch, s.who = asked.fence
    if isinstance(asked, messages.Change):
        return _change(s, asked, now, seen)
    if isinstance(asked, messages.Confirm):
        return _confirm(s, asked, now, seen)
    if isinstance(asked, messages.Back):
        return _back(s, asked)
    return s, ["OK"]


def _change(s: State, asked: messages.Change, now: float, seen: Seen) -> tuple[State, list[str]]:
    serving = s.life(SERVING)
    same = (s.rollout, s.wanted) == (asked.rollout, asked.generation)
    if same and s.phase in (TRYING, PROVING):
        return s, ["OK under way"]
    if same and s.phase == STEADY and s.undone != asked.rollout and s.good == asked.generation:
        return s, ["OK done"]
    if s.phase not in (STEADY, STUCK):
        return s, [f"ERR busy: {s.phase} for {s.rollout}"]
    if s.undone == asked.rollout:
        return s, [f"ERR undone: {s.fault}"]
    if serving is None or serving.number not in seen.takes:  # SIGHUP would end one that is only just starting
        return s, ["ERR nothing serves here"]
    for generation, what in ((asked.generation, "the generation"), (s.good, "what is good now, and to go back to,")):
        if generation not in seen.shelf:
            return s, [f"ERR {what} is not on the shelf: {generation}"]
    if not asked.again:
        old, new = (seen.shelf[g].speaks for g in (serving.generation, asked.generation))
        if found := compat.objections(old, new):
            return s, [f"ERR skips a step: {found[0]}"]
    s.wanted, s.rollout, s.phase, s.fault = asked.generation, asked.rollout, TRYING, ""
    s.change, s.again, s.confirm_s, s.pause = s.change + 1, asked.again, asked.confirm_s, 0.0
    s.previous = s.good
    return s, ["OK"]


def _confirm(s: State, asked: messages.Confirm, now: float, seen: Seen) -> tuple[State, list[str]]:
    if s.rollout != asked.rollout or s.undone == asked.rollout:
        return s, [f"ERR undone: {s.fault}" if s.undone == asked.rollout else "ERR another rollout"]
    if s.phase == STEADY:
        return s, ["OK done"]
    if s.phase != PROVING:
        return s, [f"ERR {s.phase}"]
    serving = s.life(SERVING)
    if now >= s.deadline:
        return s, ["ERR too late: it is undone now"]
    if serving is None or serving.number not in seen.takes:
        return s, ["ERR it takes no clients"]
    s.previous, s.good, s.phase = s.good, s.wanted, STEADY
    return s, ["OK"]


def _back(s: State, asked: messages.Back) -> tuple[State, list[str]]:
    if s.undone == asked.rollout:
        return s, ["OK undone"]
    if s.rollout != asked.rollout:
        return s, ["OK untouched"]
    if s.phase == STEADY and s.previous:
        s.good = s.previous  # it was confirmed before the rollout was stopped
    elif s.phase == STEADY:
        return s, ["OK untouched"]
    s.wanted, s.phase, s.again, s.fault, s.undone = s.good, RETURNING, False, "called back", asked.rollout
    s.change += 1
    return s, ["OK"]


def status(state: State, now: float, seen: Seen) -> messages.Status:
    """Return what is told of the box."""
    serving = state.life(SERVING)
    takes = serving is not None and serving.number in seen.takes
    generation = seen.shelf.get(serving.generation) if serving is not None else None
    return messages.Status(
        state.box,
        state.phase,
        serving.generation if serving is not None and takes else "",
        state.good,
        state.wanted,
        state.rollout,
        str(state.fence),
        state.fault,
        state.undone,
        max(0.0, state.deadline - now) if state.phase == PROVING else 0.0,
        now - serving.asked if serving is not None and takes else 0.0,
        state.last,
        state.crashes,
        tuple(sorted(seen.shelf)),
        generation.speaks if generation is not None else {},
    )
