"""What to open, drain and close so that what runs becomes what is wanted. No I/O, no clock: times come in.

A unit (a broker, say) has a key and a spec; a life of it is opening, open or draining. Lives of one key may
overlap: where the spec changes, the new life is opened first and the old one drained once the new one is
open, so that a wrong password costs nothing that works. The order of a step is: units that were never there
are opened, then new lives beside old ones, then units that left are drained, each by key. At most a share of
the units is in change at once; a change that is stuck counts no longer after a while, or one dead broker
would stop all other changes. A life that drains for too long is closed.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from heapq import nsmallest
from math import ceil
from typing import Any, NamedTuple

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """How much may be in change; spans in seconds."""

    share: float = 0.25
    least: int = 2
    wait: float = 10.0  # a change that takes longer counts no more
    drain: float = 30.0  # a life may drain for so long
    lives: int = 100  # of all units together, draining ones too


class State(enum.Enum):
    """Where a life stands."""

    OPENING = "opening"
    OPEN = "open"
    DRAINING = "draining"


class Open(NamedTuple):
    """Begin a life."""

    life: int
    key: str
    spec: Any


class Drain(NamedTuple):
    """Take nothing more in this life and end it once all is done."""

    life: int
    key: str


class Close(NamedTuple):
    """End this life now."""

    life: int
    key: str


Action = Open | Drain | Close


class Life(msgspec.Struct):
    """One life of a unit."""

    number: int
    key: str
    spec: Any
    state: State
    since: float
    served: bool = False  # it was open once; one that never was has nothing to drain


class Plan:
    """Holds what is wanted against what lives."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.wanted: dict[str, Any] = {}
        self.lives: dict[int, Life] = {}
        self.left_out = 0  # wanted units for which there is no room
        self._fresh: set[str] = set()  # wanted units without any life
        self._last = 0

    def put(self, key: str, spec: Any) -> None:
        """Let a unit live with this spec; specs are compared by ``==``."""
        if key not in self.wanted and all(life.key != key for life in self.lives.values()):
            self._fresh.add(key)
        self.wanted[key] = spec

    def drop(self, key: str) -> None:
        """Let a unit live no more."""
        self.wanted.pop(key, None)
        self._fresh.discard(key)

    def want(self, wanted: Mapping[str, Any]) -> None:
        """Set all that is to live."""
        for key in self.wanted.keys() - wanted.keys():
            self.drop(key)
        for key, spec in wanted.items():
            self.put(key, spec)

    def opened(self, now: float, life: int) -> None:
        """Take note that a life is open; one that drains stays so."""
        if (known := self.lives.get(life)) is not None and known.state is State.OPENING:
            known.state, known.since, known.served = State.OPEN, now, True

    def lost(self, now: float, life: int) -> None:
        """Take note that an open life has to open again, as after a broken connection."""
        if (known := self.lives.get(life)) is not None and known.state is State.OPEN:
            known.state, known.since = State.OPENING, now

    def ended(self, life: int) -> None:
        """Take note that a life is over."""
        known = self.lives.pop(life, None)
        if (
            known is not None
            and known.key in self.wanted
            and all(other.key != known.key for other in self.lives.values())
        ):
            self._fresh.add(known.key)

    def in_change(self, now: float) -> int:
        """Return how many units are opening or draining and not stuck."""
        return len(
            {
                life.key
                for life in self.lives.values()
                if (life.state is State.OPENING or (life.state is State.DRAINING and life.served))
                and now - life.since < self.bounds.wait
            }
        )

    def step(self, now: float) -> list[Action]:
        """Return what to do now; the lives count as begun or draining from here on."""
        by_key: dict[str, list[Life]] = {}
        for life in self.lives.values():
            by_key.setdefault(life.key, []).append(life)
        size = max(len(self.wanted), len(by_key))
        room = max(self.bounds.least, ceil(self.bounds.share * size)) - self.in_change(now)
        actions: list[Action] = self._overdue(now)
        # Thousands may be wanted and few have room: only as many are put in order as can begin.
        places = min(room, self.bounds.lives - len(self.lives))
        for key in nsmallest(max(0, places), self._fresh):
            actions.append(self._begin(now, key))
            room -= 1
        self.left_out = len(self._fresh) if len(self.lives) >= self.bounds.lives else 0
        for key in sorted(by_key):
            lives = by_key[key]
            if key not in self.wanted:
                continue
            if room > 0 and not self._lives(lives, key):
                if len(self.lives) < self.bounds.lives:
                    actions.append(self._begin(now, key))
                    room -= 1
                elif old := [life for life in lives if life.state is not State.DRAINING]:
                    actions += [self._drain(now, life) for life in old]  # no room for both lives
                    room -= 1
            actions += [self._drain(now, life) for life in self._replaced(lives, key)]
        for key in sorted(by_key.keys() - self.wanted.keys()):
            live = [life for life in by_key[key] if life.state is not State.DRAINING]
            served = any(life.served for life in live)
            if live and (room > 0 or not served):
                actions += [self._drain(now, life) for life in live]
                room -= served
        return actions

    def _lives(self, lives: list[Life], key: str) -> bool:
        """Tell whether a life of the wanted spec is there."""
        return any(life.state is not State.DRAINING and life.spec == self.wanted[key] for life in lives)

    def _replaced(self, lives: list[Life], key: str) -> list[Life]:
        """Return the lives that the wanted one makes needless."""
        stale = [life for life in lives if life.state is not State.DRAINING and life.spec != self.wanted[key]]
        ready = any(life.state is State.OPEN and life.spec == self.wanted[key] for life in lives)
        # One that never opened does nothing that would be missed.
        return stale if ready else [life for life in stale if life.state is State.OPENING]

    def _overdue(self, now: float) -> list[Action]:
        late = [
            life
            for life in self.lives.values()
            if life.state is State.DRAINING and now - life.since >= self.bounds.drain
        ]
        for life in late:
            self.ended(life.number)
        return [Close(life.number, life.key) for life in late]

    def _begin(self, now: float, key: str) -> Open:
        self._last += 1
        self._fresh.discard(key)
        self.lives[self._last] = Life(self._last, key, self.wanted[key], State.OPENING, now)
        return Open(self._last, key, self.wanted[key])

    def _drain(self, now: float, life: Life) -> Drain:
        life.state, life.since = State.DRAINING, now
        return Drain(life.number, life.key)


def next_due(plan: Plan, now: float) -> float:
    """Return after how many seconds a step is worth while though nothing happens."""
    spans = [plan.bounds.drain - (now - life.since) for life in plan.lives.values() if life.state is State.DRAINING]
    spans += [plan.bounds.wait - (now - life.since) for life in plan.lives.values() if life.state is not State.OPEN]
    return max(0.01, min((s for s in spans if s > 0), default=60.0))
