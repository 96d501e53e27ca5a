"""One member: its view, its vote and claims, its facts, behind one face. No I/O, no clock, no randomness of its own.

Whoever runs it hands in words and the time of a monotonic clock, and sends what comes back. The host's peer module and
the model run the same code.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

import msgspec

from lapispick.members import gossip_facts, leases, membership_view
from lapispick.members.gossip_facts import Signals
from lapispick.members.leases import Claim, Claimer, Lists, Release, Voter
from lapispick.members.membership_view import Change, Send, State, View
from lapispick.members.messages import Claims, Fact, Releases, Rumour, Votes, Whole, Word


class Random(Protocol):
    """What draws."""

    def random(self) -> float: ...
    def shuffle(self, x: list[str]) -> None: ...
    def sample(self, population: list[str], k: int) -> list[str]: ...


class Bounds(msgspec.Struct, frozen=True):
    """All times of a member."""

    view: membership_view.Bounds = membership_view.Bounds()
    turns: leases.Bounds = leases.Bounds()
    signals: gossip_facts.Bounds = gossip_facts.Bounds()
    keep: float = 5.0  # s; a want that nobody speaks for any more is dropped
    wants_most: int = 64


class Held(NamedTuple):
    """A turn as its owner is told: ``fence`` 0 = it waits. ``left`` is how long it may still act, s."""

    turn: str
    slot: str
    fence: int
    left: float


class Event(NamedTuple):
    """A turn was got or lost."""

    what: str  # got, renewed, lost, released, dropped
    slot: str
    fence: int
    until: float  # by this member's clock
    owner: str = ""


class _Want(msgspec.Struct):
    turn: str
    owner: str
    priority: int
    spoken: float  # when its owner spoke for it last
    since: float
    slots: int
    at: int  # which slot is claimed
    claimer: Claimer


class Node:
    """One member of the fleet."""

    def __init__(
        self,
        name: str,
        fleet: str,
        life: int,
        names: Iterable[str],
        digest: str,
        kinds: Mapping[str, int],
        bounds: Bounds,
        rng: Random,
        now: float,
        fresh: bool = False,
    ) -> None:
        """``kinds``: how many may hold each named turn. ``fresh``: it is known that there was no life before."""
        self.name, self.bounds, self.kinds, self._rng = name, bounds, dict(kinds), rng
        self.view = View(name, fleet, life, names, bounds.view, rng, now, digest)
        self.lists = Lists(self.view.names, digest, bounds.turns)
        self.voter = Voter(bounds.turns, self.lists, now, fresh)
        self.signals = Signals(bounds.signals)
        self._wants: dict[tuple[str, str], _Want] = {}
        self._highest: dict[str, int] = {}  # slot -> the highest ballot that was heard of
        self._blocked: dict[str, float] = {}  # slot -> until when a silent owner at this box may believe it holds it
        self._events: list[Event] = []
        self._expires = now

    @property
    def life(self) -> int:
        """Return this life's number, which may have grown since the start."""
        return self.view.life

    def listed(self, names: Iterable[str], digest: str, now: float) -> None:
        """Take an accepted list."""
        self.view.listed(names, now, digest)
        self.lists.change(self.view.names, digest, now)

    # Time and words.

    def due(self) -> float:
        """Return when the next tick is worth while."""
        waits = [self.view.due(), *(want.claimer.due() for want in self._wants.values())]
        return min(waits)

    def tick(self, now: float) -> list[Send]:
        """Do what is due."""
        if self.view.replaced:
            self._gone(now)
            return []
        sends = self.view.tick(now)
        for key, want in list(self._wants.items()):
            sends += self._claim(now, key, want)
        if now >= self._expires:
            self._expires = now + self.bounds.signals.forget / 10
            self.signals.expire(now, self.view.names)
        return [self._told(now, send) for send in sends]

    def take(self, now: float, word: Word) -> list[Send]:
        """Take a word; returns what it asks for."""
        if self.view.replaced:
            return []
        counts = not self.view.stranger(word)
        sends = self.view.take(now, word)
        if counts:
            for fact in word.facts[:FACTS_TAKEN]:
                self._fact(now, fact)
            sends += self._turn(now, word)
        return [self._told(now, send) for send in sends]

    def _fact(self, now: float, fact: Fact) -> None:
        known = self.view.other(fact.author) and fact.life >= self.view.held(fact.author).life
        if known or (fact.author == self.name and fact.life == self.life):
            self.signals.hear(now, fact, self.view.size())

    def _told(self, now: float, send: Send) -> Send:
        facts = self.signals.news(now)
        return Send(send.to, msgspec.structs.replace(send.word, facts=facts)) if facts else send

    def _gone(self, now: float) -> None:
        """Give up all turns: another process has this name, and may hold them."""
        for want in self._wants.values():
            if want.claimer.holds(now):
                self._events.append(Event("lost", want.claimer.slot, want.claimer.fence, now, want.owner))
        self._wants.clear()

    # The whole view, over a stream.

    def whole(self, now: float, answer: bool = False) -> Whole:
        """Return all that is held."""
        return Whole(
            self.view.fleet,
            self.name,
            self.life,
            self.view.incarnation,
            list=self.view.digest,
            states=tuple(self.view.records()),
            held=self.signals.all(now),
            answer=answer,
        )

    def merge(self, now: float, word: Whole) -> bool:
        """Take another's whole view; False where it is a stranger's."""
        if self.view.stranger(word):
            self.view.take(now, word)  # which counts it
            return False
        self.view.take(now, word)
        most = self.view.size()
        for rumour in word.states[:most]:
            self.view.heard(now, rumour, word.sender)
        for fact in word.held[: most * self.bounds.signals.most]:
            self._fact(now, fact)
        return True

    # Facts.

    def say(self, now: float, kind: str, subject: str, value: float, count: int = 1, text: str = "") -> None:
        """Say a fact of this member's own."""
        self.signals.say(
            now, self.name, self.life, self.view.health, self.view.size(), kind, subject, value, count, text
        )

    # Turns.

    def want(self, now: float, turn: str, owner: str, priority: int = 0) -> Held | None:
        """Ask for a turn, or speak for it again; None where there is no such turn or too many are asked for.

        Whoever acts under a turn bears its fence, and stops before what is left of the lease is over.
        """
        key, slots = (turn, owner), self.kinds.get(turn, 0)
        want = self._wants.get(key)
        if want is None:
            if not slots or len(self._wants) >= self.bounds.wants_most or self.view.replaced:
                return None
            at = int(self._rng.random() * slots) if slots > 1 else 0
            want = _Want(turn, owner, priority, now, now, slots, at, self._claimer(turn, at, priority))
            self._wants[key] = want
        want.spoken, want.priority = now, priority
        claimer = want.claimer
        holds = claimer.holds(now)
        return Held(turn, claimer.slot, claimer.fence if holds else 0, claimer.until - now if holds else 0.0)

    def done(self, now: float, turn: str, owner: str) -> list[Send]:
        """Give a turn back, or stop asking for it."""
        want = self._wants.pop((turn, owner), None)
        return [] if want is None else self._release(now, want, "released")

    def turns(self, now: float) -> list[tuple[str, Held]]:
        """Return what is wanted or held here, with its owners."""
        return [
            (
                want.owner,
                Held(
                    want.turn,
                    want.claimer.slot,
                    want.claimer.fence if want.claimer.holds(now) else 0,
                    max(0.0, want.claimer.until - now),
                ),
            )
            for want in self._wants.values()
        ]

    def changes(self) -> list[Change]:
        """Take what changed in the view."""
        return self.view.changes()

    def events(self) -> list[Event]:
        """Take what became of turns."""
        found, self._events = self._events, []
        return found

    def _claimer(self, turn: str, at: int, priority: int) -> Claimer:
        slot = f"{turn}/{at}"
        # Lives grow with the time at least, so fences go on upwards when all voters restarted and none remembers any.
        highest = max(self._highest.get(slot, 0), self.life * CLAIMS_A_LIFE)
        return Claimer(self.name, self.life, slot, self.bounds.turns, self.lists, priority, highest)

    def _claim(self, now: float, key: tuple[str, str], want: _Want) -> list[Send]:
        claimer = want.claimer
        if now - want.spoken >= self.bounds.keep:
            return self._drop(now, key, want)
        if not claimer.fence and not self._alone(now, want):
            return []
        claimer, before = want.claimer, want.claimer.fence
        claimer.priority = want.priority
        said = claimer.tick(now, self._rng.random())
        if before and not claimer.fence:
            self._events.append(Event("lost", claimer.slot, before, now, want.owner))
        if isinstance(said, Release) and want.slots > 1:  # that slot is another's: the next one
            self._move(want, (want.at + 1) % want.slots)
            said = msgspec.structs.replace(said, moves=True)
        return [] if said is None else self._all(now, said)

    def _drop(self, now: float, key: tuple[str, str], want: _Want) -> list[Send]:
        """Forget a want whose owner is silent. A turn that it holds is not given back: it may believe in it still.

        What it was told ends with the lease, which is renewed no more; until then nobody here has the slot either.
        """
        del self._wants[key]
        claimer = want.claimer
        if not claimer.fence:
            return self._release(now, want, "dropped")
        self._events.append(Event("dropped", claimer.slot, claimer.fence, claimer.until, want.owner))
        self._highest[claimer.slot] = claimer.highest
        self._blocked[claimer.slot] = claimer.until
        return []

    def _alone(self, now: float, want: _Want) -> bool:
        """Tell whether a want may claim now; it is moved to a slot that no other want of this member has.

        Ballots bear the member's name, so voters would grant one slot to two of its owners.
        """
        others = [other for other in self._wants.values() if other is not want and other.turn == want.turn]
        if any(not other.claimer.fence and (other.since, other.owner) < (want.since, want.owner) for other in others):
            return False  # the elder one first
        taken = {other.at for other in others if other.claimer.fence}
        taken |= {at for at in range(want.slots) if self._blocked.get(f"{want.turn}/{at}", now) > now}
        if want.at not in taken:
            return True
        free = [at for at in range(want.slots) if at not in taken]
        if free:
            self._move(want, free[0])
        return bool(free)

    def _move(self, want: _Want, at: int) -> None:
        self._highest[want.claimer.slot] = want.claimer.highest
        want.at, want.claimer = at, self._claimer(want.turn, at, want.priority)
        want.claimer.waits_since(want.since)

    def _release(self, now: float, want: _Want, what: str) -> list[Send]:
        claimer = want.claimer
        if claimer.fence:
            self._events.append(Event(what, claimer.slot, claimer.fence, now, want.owner))
        said = claimer.release()
        self._highest[claimer.slot] = claimer.highest
        return [] if said is None else self._all(now, said)

    def _all(self, now: float, said: Claim | Release) -> list[Send]:
        """Say something to all voters, this member's own among them."""
        if isinstance(said, Release):
            self.voter.release(said)
        elif self.name in self.lists.everyone():
            self._voted(now, self.name, self.voter.take(now, said))
        others = sorted(self.lists.everyone() - {self.name})
        kind, more = (Claims, "claim") if isinstance(said, Claim) else (Releases, "release")
        return [Send(name, self.view.word(kind, name, **{more: said})) for name in others]

    def _turn(self, now: float, word: Word) -> list[Send]:
        if isinstance(word, Claims) and word.claim is not None:
            if word.claim.ballot.name != word.sender or word.claim.life != word.life or not self._slot(word.claim.slot):
                return []  # nobody claims for others, nor what is no turn here
            vote = self.voter.take(now, word.claim)
            return [Send(word.sender, self.view.word(Votes, word.sender, vote=vote))]
        if isinstance(word, Votes) and word.vote is not None:
            self._voted(now, word.sender, word.vote)
        elif isinstance(word, Releases) and word.release is not None and word.release.ballot.name == word.sender:
            self.voter.release(word.release)
            self._freed(now, word.release)
        return []

    def _freed(self, now: float, release: Release) -> None:
        """Claim a slot that was given back soon, each at a moment of its own."""
        for want in self._wants.values() if release.done else ():
            if want.claimer.slot == release.slot:
                want.claimer.hurry(now, self._rng.random() * self.bounds.turns.pause / 2)

    def _slot(self, slot: str) -> bool:
        """Tell whether there is such a slot; guards the voter's memory."""
        turn, _, at = slot.partition("/")
        return at.isdecimal() and len(at) < 6 and int(at) < self.kinds.get(turn, 0)

    def _voted(self, now: float, voter: str, vote: leases.Vote) -> None:
        for want in self._wants.values():
            claimer = want.claimer
            if claimer.slot != vote.slot:
                continue
            before = claimer.fence
            if claimer.take(now, voter, vote):
                what = "renewed" if before == claimer.fence else "got"
                self._events.append(Event(what, claimer.slot, claimer.fence, claimer.until, want.owner))


FACTS_TAKEN = 8  # of one word
CLAIMS_A_LIFE = 1000  # ballots for each number of a life; lives are a second apart and claims hardly less
ALIVE, DEAD = State.ALIVE, State.DEAD
__all__ = ["ALIVE", "DEAD", "Bounds", "Event", "Held", "Node", "Rumour"]
