"""Who is alive, as this member sees it. No I/O, no clock, no randomness of its own.

SWIM (Das, Gupta, Motivala, 2002) with suspicion, and local health as in Lifeguard (Dadgar and others, 2018):

- Each period one member is probed, in an order that is shuffled anew each round, so that every one is probed within
  two rounds. Without an answer a few others are asked to probe it; links that work one way, or not between two
  members only, don't make it dead.
- One that nobody got an answer from is suspect, and dead once its suspicion lasted; it refutes by a higher incarnation.
  The suspicion is shorter the more members confirm it, and longer the worse this member's own health is.
- This member's own health goes down by probes of its own that fail and by refutations of its own: a slow member blames
  itself first. It multiplies its timeouts.
- News goes as rumours on the words that are sent anyway, each a number of times that grows with the logarithm of the
  fleet.

| state | what it says | beaten by |
| --- | --- | --- |
| alive | it answered, or says so itself | suspect of the same incarnation, anything of a later one |
| suspect | nobody got an answer in time | alive of a later incarnation, dead of the same |
| dead | its suspicion ran out | alive of a later incarnation, or of a later life |
| left | it said so itself, or the list names it no more | alive of a later life |

A life is a start of the process: it is a number that only grows where there is a disk, and the time of the start
where there is none. A later life beats all that was said of earlier ones. One that was lost with the disk, on a clock
that went back, is given back by whoever remembers: a process that has only just started takes the next one. One that
hears of a later life of its own after that was replaced: it says no more.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from heapq import nsmallest
from math import ceil, log, log10
from typing import NamedTuple, Protocol

import msgspec

from lapispick.members.messages import LIFE_MOST, RUMOURS_MOST, Ack, Ask, Probe, Rumour, Word

OLDER = "an older life"
SLEPT = 1.5  # periods between two ticks; a member that is on time has one far more often


class State(enum.IntEnum):
    """What is held of a member; of one incarnation the higher beats the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


WORDS = {state: state.name.lower() for state in State}
STATES = {word: state for state, word in WORDS.items()}


class Bounds(msgspec.Struct, frozen=True):
    """Times in s."""

    period: float = 1.0  # between two probes
    timeout: float = 0.3  # for a direct answer; then others are asked
    helpers: int = 3
    suspicion: float = 5.0  # times log10 of the fleet times the period, at least this many periods
    suspicion_most: float = 6.0  # times the least, with no confirmation
    confirmations: int = 3
    health_most: int = 8  # multiplier of timeouts at worst
    returned: float = 120.0  # one that was dead so long ago is told as returned
    spread: float = 4.0  # times log10 of the fleet that a rumour is told
    joining: float = 10.0  # after the start; so long a process takes a later life than one that is remembered of it


class Random(Protocol):
    """What draws."""

    def random(self) -> float: ...  # noqa: D102
    def shuffle(self, x: list[str]) -> None: ...  # noqa: D102
    def sample(self, population: list[str], k: int) -> list[str]: ...  # noqa: D102


class Send(NamedTuple):
    """A word for a member."""

    to: str
    word: Word


class Change(NamedTuple):
    """A member's state is another one now."""

    name: str
    state: State
    returned: bool = False
    cause: str = ""


class Member(msgspec.Struct):
    """What is held of one member."""

    state: State
    incarnation: int
    life: int
    since: float
    accusers: frozenset[str] = frozenset()
    died: float = -1e9


UNKNOWN = Member(State.ALIVE, 0, 0, 0.0)  # of whom nothing was heard; counts as alive until it is probed


class _Out(msgspec.Struct):
    """One probe that is out."""

    number: int
    target: str
    at: float
    asked: bool = False


class View:
    """The view that this member has of the fleet."""

    def __init__(
        self,
        name: str,
        fleet: str,
        life: int,
        names: Iterable[str],
        bounds: Bounds,
        rng: Random,
        now: float = 0.0,
        digest: str = "",
    ) -> None:
        self.name, self.fleet, self.life, self.bounds, self.digest = name, fleet, life, bounds, digest
        self.incarnation, self.health = 0, 0
        self.names: frozenset[str] = frozenset()  # that the list names
        self.members: dict[str, Member] = {}  # those of whom something was heard
        self.replaced = False  # another process has this name now
        self._lost: set[str] = set()  # those held for suspect, dead or left
        self._suspects: set[str] = set()
        self._born = now
        self.dropped: dict[str, int] = {}
        self._rng, self._order, self._rumours = rng, list[str](), dict[str, tuple[Rumour, int]]()
        self._out: _Out | None = None
        self._helping: dict[int, tuple[str, int, str]] = {}  # our number -> who asked, with which number, about whom
        # Boxes that start at one instant probe at moments of their own.
        self._next = now + rng.random() * bounds.period
        self._ticked, self._number, self._changes = now, 0, list[Change]()
        self.listed(names, now, digest)

    # What is held.

    def listed(self, names: Iterable[str], now: float, digest: str = "") -> None:
        """Take the accepted list: exactly its boxes are members; a new one counts as alive until it is probed."""
        wanted = frozenset(names)  # perhaps the very set that others hold: a model has thousands of members
        self.digest = digest
        for name in sorted(self.names - wanted - {self.name}):
            self.members.pop(name, None)
            self._rumours.pop(name, None)
            self._lost.discard(name)
            self._suspects.discard(name)
            self._changes.append(Change(name, State.LEFT, cause="the list names it no more"))
        for name in sorted(wanted - self.names - {self.name}) if self.names else ():
            self._changes.append(Change(name, State.ALIVE, cause="the list names it"))
        self.names = wanted
        self._order = [name for name in self._order if name in wanted]
        if self._out is not None and self._out.target not in wanted:
            self._out = None

    def size(self) -> int:
        """Return how many boxes the list names, this one with them."""
        return len(self.names) + (self.name not in self.names)

    def seen(self) -> int:
        """Return how many of them this one believes in, itself with them."""
        return self.size() - sum(self.members[name].state > State.SUSPECT for name in self._lost)

    def majority(self) -> bool:
        """Tell whether a claim could be decided here: over half of the list, not of the view."""
        return 2 * self.seen() > self.size()

    def state(self, name: str) -> State | None:
        """Return what is held of a member; None for one that the list does not name."""
        if name == self.name:
            return State.ALIVE
        return self.held(name).state if self.other(name) else None

    def other(self, name: str) -> bool:
        """Tell whether the list names this box, and it is not this one."""
        return name in self.names and name != self.name

    def held(self, name: str) -> Member:
        """Return what is held of a member of the list."""
        return self.members.get(name, UNKNOWN)

    def alive(self) -> list[str]:
        """Return the others that are alive, by name."""
        return sorted(self.names - self._lost - {self.name})

    def changes(self) -> list[Change]:
        """Take what changed since the last time."""
        found, self._changes = self._changes, []
        return found

    # Time.

    def tick(self, now: float) -> list[Send]:
        """Do what is due; it may be called at any time."""
        self._woke(now)
        sends = self._waits(now)
        for name in sorted(self._suspects):
            held = self.members[name]
            if now - held.since >= self._patience(held):
                told = f"no answer and no word for {now - held.since:.1f} s; {len(held.accusers)} got none"
                self._hold(now, Rumour(name, WORDS[State.DEAD], held.incarnation, held.life), told)
        if now >= self._next:
            # A member that slept does not make up for the probes it missed.
            self._next = max(self._next + self.bounds.period, now + self.bounds.period / 2)
            sends += self._probe(now)
        return sends

    def _woke(self, now: float) -> None:
        """Take note of having slept: what nobody heard meanwhile says nothing of the others, and much of this one."""
        gap, self._ticked = now - self._ticked, now
        if gap > SLEPT * self.bounds.period:
            for name in self._lost:
                self.members[name].since += gap
            self._out, self.health = None, min(self.bounds.health_most - 1, self.health + 1)

    def due(self) -> float:
        """Return when the next tick is worth while."""
        waits = [self._next]
        if self._out is not None:
            waits.append(self._out.at + self._timeout())
        return min(waits)

    def _timeout(self) -> float:
        return self.bounds.timeout * (1 + self.health)

    def _patience(self, held: Member) -> float:
        """Return how long a suspicion lasts: shorter the more confirm it, longer the less this one trusts itself."""
        bounds = self.bounds
        least = bounds.suspicion * max(1.0, log10(self.size())) * bounds.period
        most = least * bounds.suspicion_most
        part = min(1.0, log(len(held.accusers) + 1) / log(bounds.confirmations + 1))
        return max(least, most - (most - least) * part) * (1 + self.health / 2)

    def _waits(self, now: float) -> list[Send]:
        out = self._out
        if out is None:
            return []
        if not out.asked and now - out.at >= self._timeout():
            out.asked = True
            others = [name for name in self.alive() if name != out.target]
            chosen = self._rng.sample(others, min(self.bounds.helpers, len(others)))
            return [Send(name, self._word(Ask, name, number=out.number, target=out.target)) for name in chosen]
        if out.asked and now - out.at >= max(self.bounds.period * (1 + self.health), 2 * self._timeout()) * 0.9:
            self._out = None
            self.health = min(self.bounds.health_most - 1, self.health + 1)
            held = self.held(out.target)
            if held.state in (State.ALIVE, State.SUSPECT):
                self._hold(
                    now,
                    Rumour(out.target, WORDS[State.SUSPECT], held.incarnation, held.life, self.name),
                    "no answer to this member nor to those it asked",
                )
        return []

    def _probe(self, now: float) -> list[Send]:
        if self._out is not None:
            return []
        if not self._order:
            # The dead are probed too, once a round: a partition that heals is found by those on both sides.
            self._order = sorted(
                name for name in self.names if name != self.name and self.held(name).state is not State.LEFT
            )
            self._rng.shuffle(self._order)
        if not self._order:
            return []
        target = self._order.pop()
        self._number += 1
        self._out = _Out(self._number, target, now)
        return [Send(target, self._word(Probe, target, number=self._number))]

    # Words.

    def take(self, now: float, word: Word) -> list[Send]:
        """Take a word; what is none of this fleet's is counted and dropped."""
        why = self.stranger(word)
        if why:
            self.dropped[why] = self.dropped.get(why, 0) + 1
            if why == OLDER and isinstance(word, Probe):  # it is told the life that is remembered
                return [Send(word.sender, self._word(Ack, word.sender, older=True, number=word.number))]
            return []
        self._hold(now, Rumour(word.sender, WORDS[State.ALIVE], word.incarnation, word.life), "it says so itself")
        for rumour in word.rumours[:RUMOURS_MOST]:
            self.heard(now, rumour, word.sender)
        if isinstance(word, Probe):
            return [Send(word.sender, self._word(Ack, word.sender, number=word.number))]
        if isinstance(word, Ask):
            return self._help(word)
        if isinstance(word, Ack):
            return self._answered(now, word)
        return []

    def stranger(self, word: Word) -> str:
        """Return why a word does not count; empty where it does."""
        if word.fleet != self.fleet:
            return "another fleet"
        if not self.other(word.sender):
            return "not on the list"
        if word.life < self.held(word.sender).life:
            return OLDER
        return "of the future" if word.life > LIFE_MOST or word.incarnation > LIFE_MOST else ""

    def _help(self, word: Ask) -> list[Send]:
        if not self.other(word.target):
            return []
        self._number += 1
        if len(self._helping) >= self.size():  # answers that never came
            self._helping.pop(next(iter(self._helping)))
        self._helping[self._number] = (word.sender, word.number, word.target)
        return [Send(word.target, self._word(Probe, word.target, number=self._number, asker=word.sender))]

    def _answered(self, now: float, word: Ack) -> list[Send]:
        out = self._out
        if out is not None and word.number == out.number and (word.of or word.sender) == out.target:
            self._out = None
            if not out.asked:
                self.health = max(0, self.health - 1)
        elif (asked := self._helping.pop(word.number, None)) is not None and asked[2] == word.sender:
            return [Send(asked[0], self._word(Ack, asked[0], number=asked[1], of=asked[2]))]
        return []

    def heard(self, now: float, rumour: Rumour, sender: str) -> None:
        """Take what somebody says of a member."""
        if rumour.state not in STATES or max(rumour.life, rumour.incarnation) > LIFE_MOST:
            return  # of a later version, or nonsense that nothing could ever beat
        if rumour.name != self.name:
            return self._hold(now, rumour, f"{sender} says so")
        if rumour.life > self.life:
            if now - self._born > self.bounds.joining:
                self.replaced = True
            else:
                self.life, self.incarnation = rumour.life + 1, 0
                self._tell(Rumour(self.name, WORDS[State.ALIVE], 0, self.life))
            return None
        stale = rumour.life < self.life or rumour.incarnation < self.incarnation
        if STATES[rumour.state] is not State.ALIVE and not stale:
            self.incarnation = rumour.incarnation + 1  # refuted: who says so beats what was said
            self.health = min(self.bounds.health_most - 1, self.health + 1)
            self._tell(Rumour(self.name, WORDS[State.ALIVE], self.incarnation, self.life))
        return None

    def _hold(self, now: float, rumour: Rumour, cause: str) -> None:
        """Hold what beats what is held: a later life, a later incarnation, a higher state of the same."""
        if not self.other(rumour.name):
            return
        held = self.members.get(rumour.name)
        if held is None:
            held = self.members[rumour.name] = Member(State.ALIVE, 0, 0, now)
        state, old = STATES[rumour.state], (held.life, held.incarnation, held.state)
        if (rumour.life, rumour.incarnation, state) <= old:
            same = (rumour.life, rumour.incarnation, state) == old
            if same and state is State.SUSPECT and rumour.by and rumour.by not in held.accusers:
                held.accusers |= {rumour.by}  # one more got no answer itself: that is news to be told on
                self._tell(rumour)
            return
        was, first = held.state, not held.life
        held.life, held.incarnation, held.state = rumour.life, rumour.incarnation, state
        if was is not state:
            held.since = now
            back = state is State.ALIVE and was in (State.DEAD, State.LEFT)
            if state is State.DEAD:
                held.died = now
            (self._lost.discard if state is State.ALIVE else self._lost.add)(rumour.name)
            (self._suspects.add if state is State.SUSPECT else self._suspects.discard)(rumour.name)
            self._changes.append(Change(rumour.name, state, back and now - held.died <= self.bounds.returned, cause))
        held.accusers = frozenset({rumour.by} if state is State.SUSPECT and rumour.by else ())
        if was is not state or not first:  # that one is there who counts as alive anyway is no news
            self._tell(rumour)

    def leave(self) -> list[Send]:
        """Say to a few that this member leaves; they tell the others."""
        rumour = Rumour(self.name, WORDS[State.LEFT], self.incarnation, self.life)
        self._tell(rumour)
        alive = self.alive()
        return [Send(name, self._word(Probe, name)) for name in self._rng.sample(alive, min(3, len(alive)))]

    def records(self) -> list[Rumour]:
        """Return all that is held, for a member that asks for the whole view."""
        return [
            Rumour(self.name, WORDS[State.ALIVE], self.incarnation, self.life),
            *(Rumour(name, WORDS[held.state], held.incarnation, held.life) for name, held in self.members.items()),
        ]

    # Rumours.

    def _tell(self, rumour: Rumour) -> None:
        times = ceil(self.bounds.spread * max(1.0, log10(self.size() + 1)))
        self._rumours[rumour.name] = (rumour, times)

    def word(self, kind: Callable[..., Word], to: str, **more: object) -> Word:
        """Make a word for a member, with the news that it bears."""
        return self._word(kind, to, **more)

    def _word(self, kind: Callable[..., Word], to: str, older: bool = False, **more: object) -> Word:
        # Whoever is held for suspect or dead is told so with each word, and can refute it, whatever rumours were lost.
        held = self.held(to)
        own = (
            ()
            if held.state is State.ALIVE and not older
            else (Rumour(to, WORDS[held.state], held.incarnation, held.life),)
        )
        # Those told least so far go first, so that news is not kept from going by what is old.
        chosen = nsmallest(RUMOURS_MOST, self._rumours.items(), key=lambda r: (-r[1][1], r[0])) if self._rumours else ()
        for name, (rumour, left) in chosen:
            if left <= 1:
                del self._rumours[name]
            else:
                self._rumours[name] = (rumour, left - 1)
        rumours = (*own, *(rumour for _, (rumour, _) in chosen if not own or rumour.name != to))
        return kind(self.fleet, self.name, self.life, self.incarnation, rumours[:RUMOURS_MOST], self.digest, **more)
