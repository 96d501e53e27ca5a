"""Facts that members tell each other, with age and author. No I/O and no clock.

What is held of an author's kind and subject is its latest word: by life, by number within it, and of the same word the
eldest telling. That order is total, and the one held is the greatest that was heard. So merging is a join of a
semilattice: in any order, any number of times, the same facts are held in the end (a map of maxima).

An age grows by the time that each member holds a fact, by its own clock; what it spends on links is not counted, so a
fact is at least as old as it says, and never younger because it went round. Beyond ``forget`` it is gone everywhere,
and the tables hold at most ``most`` facts an author: one that floods crowds out its own words only.

Whoever decides on a fact asks for ``weighed``: the mean over authors, each with a weight that falls by half with each
``half`` of age and with the author's own ill health, and with more observations counting for more. ``agreed`` is for
what turns traffic away: never by one author's word alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil, log, log10
from typing import NamedTuple

import msgspec

from lapispick.members.messages import FACTS_MOST, LIFE_MOST, TEXT_MOST, Fact

# Kinds and what their value is.
STORE, COLD, DRAINING, GENERATION, LOAD = "store", "cold", "draining", "generation", "load"
KINDS = {
    STORE: "mean time of a call to this address over the usual one; 0 = none is answered",
    COLD: "1 while the executor of the author is not at full speed",
    DRAINING: "1 while the author drains or leaves",
    GENERATION: "what the author runs, in the text",
    LOAD: "share of the author's room that is taken",
}


class Bounds(msgspec.Struct, frozen=True):
    """Times in s."""

    half: float = 10.0  # of age that halve a weight
    forget: float = 60.0
    most: int = 16  # facts of one author
    authors: int = 2  # that have to agree at least on what turns traffic away
    spread: float = 4.0  # times log10 of the fleet that a fact is told


class Weighed(NamedTuple):
    """What all authors say together."""

    value: float
    weight: float  # 0: nobody says anything
    authors: int


class _Held(NamedTuple):
    fact: Fact
    born: float  # by this member's clock


class Signals:
    """All facts that this member holds."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.refused = 0
        self._held: dict[str, dict[tuple[str, str], _Held]] = {}
        self._news: dict[tuple[str, str, str], int] = {}  # fact -> how often it is still to be told
        self._number = 0

    def __len__(self) -> int:
        return sum(map(len, self._held.values()))

    # Telling.

    def say(
        self,
        now: float,
        author: str,
        life: int,
        health: int,
        size: int,
        kind: str,
        subject: str,
        value: float,
        count: int = 1,
        text: str = "",
    ) -> None:
        """Say a fact of one's own; the same value again only once the last word is a third of its time old."""
        held = self._held.get(author, {}).get((kind, subject))
        if (
            held is not None
            and held.fact.life == life
            and (held.fact.value, held.fact.text) == (value, text)
            and now - held.born < self.bounds.forget / 3
        ):
            return
        self._number += 1
        self.hear(now, Fact(author, life, self._number, kind, subject, value, count, 0.0, health, text), size)

    def hear(self, now: float, fact: Fact, size: int) -> bool:
        """Merge a fact; True where it was news."""
        if not self._fit(fact) or fact.age >= self.bounds.forget:
            self.refused += 1
            return False
        of = self._held.setdefault(fact.author, {})
        key, made = (fact.kind, fact.subject), _Held(fact, now - fact.age)
        held = of.get(key)
        if held is not None and _order(held) >= _order(made):
            return False
        told = held is not None and (held.fact.life, held.fact.number) == (fact.life, fact.number)
        of[key] = made
        if len(of) > self.bounds.most:
            oldest = min(of, key=lambda each: (of[each].born, each))
            del of[oldest]
            self._news.pop((fact.author, *oldest), None)
            if oldest == key:
                return False
        if not told:  # an elder telling of what is known is no news
            self._news[fact.author, *key] = ceil(self.bounds.spread * max(1.0, log10(size + 1)))
        return not told

    @staticmethod
    def _fit(fact: Fact) -> bool:
        return (
            fact.kind in KINDS
            and max(len(fact.subject), len(fact.text)) <= TEXT_MOST
            and 0 <= fact.value < 1e9
            and 0 <= fact.age < 1e9
            and 0 < fact.count < 1 << 40
            and 0 <= fact.health < 100
            and 0 <= fact.number < LIFE_MOST
            and 0 <= fact.life < LIFE_MOST
        )

    def news(self, now: float) -> tuple[Fact, ...]:
        """Take what goes with the next word: what was told least so far goes first."""
        if not self._news:
            return ()
        chosen = nsmallest(FACTS_MOST, self._news, key=lambda each: (-self._news[each], each))
        told = []
        for name, kind, subject in chosen:
            left = self._news.pop((name, kind, subject)) - 1
            held = self._held.get(name, {}).get((kind, subject))
            if held is None or now - held.born >= self.bounds.forget:
                continue
            if left > 0:
                self._news[name, kind, subject] = left
            told.append(_aged(held, now))
        return tuple(told)

    def all(self, now: float) -> tuple[Fact, ...]:
        """Return all facts with their ages of now."""
        return tuple(
            _aged(held, now)
            for of in self._held.values()
            for held in of.values()
            if now - held.born < self.bounds.forget
        )

    # Forgetting.

    def expire(self, now: float, names: Iterable[str]) -> None:
        """Forget what is too old, and authors that the list names no more."""
        known = names if isinstance(names, frozenset) else set(names)
        for author in list(self._held):
            of = self._held[author]
            for key in [k for k, held in of.items() if author not in known or now - held.born >= self.bounds.forget]:
                del of[key]
                self._news.pop((author, *key), None)
            if not of:
                del self._held[author]

    # Asking.

    def weighed(self, now: float, kind: str, subject: str = "") -> Weighed:
        """Return what all authors say of a subject, each by its age, its health and what it rests on."""
        total, weights, authors = 0.0, 0.0, 0
        for held, weight in self._found(now, kind, subject):
            total, weights, authors = total + held.fact.value * weight, weights + weight, authors + 1
        return Weighed(total / weights if weights else 0.0, weights, authors)

    def agreed(self, now: float, kind: str, subject: str, least: float) -> bool:
        """Tell whether enough authors that are well say at least this much, and weigh more than those who say less."""
        yes, no, authors = 0.0, 0.0, 0
        for held, weight in self._found(now, kind, subject):
            if held.fact.value >= least:
                yes, authors = yes + weight, authors + (held.fact.health == 0)
            else:
                no += weight
        return authors >= self.bounds.authors and yes > no

    def _found(self, now: float, kind: str, subject: str) -> list[tuple[_Held, float]]:
        found = []
        for of in self._held.values():
            held = of.get((kind, subject))
            if held is not None and now - held.born < self.bounds.forget:
                trust = 0.5 ** ((now - held.born) / self.bounds.half) / (1 + held.fact.health)
                found.append((held, trust * (1 + log(held.fact.count))))
        return found


def _order(held: _Held) -> tuple[int, int, float]:
    return held.fact.life, held.fact.number, -held.born


def _aged(held: _Held, now: float) -> Fact:
    return msgspec.structs.replace(held.fact, age=round(now - held.born, 3))
