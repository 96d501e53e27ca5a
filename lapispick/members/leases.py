"""Named turns with at most k holders over the whole fleet, by leases that a majority of the list grants. No I/O.

A turn with k holders is k slots of one holder each: with grants counted over k at once, up to 2k - 1 could have a
majority.

- A claim bears a ballot, a number and the claimer's name. A voter grants it where the number is higher than any that
  it has granted, and no lease of somebody else runs at it. The number of a claim that a majority grants is the fencing
  number: any two majorities share a voter, so a later holder's is higher, and what the turn guards refuses a lower one.
- The holder counts its lease from before it asked, the voter from when it granted; by monotonic clocks that may drift
  apart by ``drift``, the holder's lease ends first. A holder that slept past its lease finds it over, by its own
  clock.
- A voter that started without its state may have granted before: it grants nothing for the longest lease after its
  start.
- The list may change. Whoever claims needs a majority of each list that was in force within the last ``lists_for``,
  and a voter grants only to claimers whose list is one of those that it holds itself. So a claim under the old list
  and one under the new one share a voter, however much the list changed.
- Voters refuse by order: who has waited longer goes first, a higher priority goes before, and gains with waiting. No
  claimer is passed by another one more often than ``passes`` times.

Without a majority nobody gets a turn, and nothing that serves requests asks for one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

NEVER = float("-inf")  # a clock may show anything, also less than 0
BALLOT_MOST = 1 << 52  # more would end the numbers for all, and is exact in no JSON


class Bounds(msgspec.Struct, frozen=True):
    """Times in s by monotonic clocks."""

    lease: float = 10.0
    drift: float = 0.02  # by which any two clocks may differ, as a part
    wait: float = 1.0  # for answers to a claim
    pause: float = 0.5  # before a claim that failed is made again, times 1 to 2 by the caller's draw
    lists_for: float = 30.0  # an older list counts on for so long; over the longest lease
    forget: float = 5.0  # a waiter that asks no more is forgotten
    passes: int = 3
    together: float = 1.0  # those who began to wait within so long of each other began together, and pass nobody
    waited_most: float = 600.0  # more is not believed of a claimer that waited elsewhere
    ageing: float = 10.0  # s of waiting that weigh as much as one step of priority


class Ballot(NamedTuple):
    """The number of a claim, and whose it is; of one number a voter grants one claim only."""

    number: int
    name: str


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Asks for a slot, or for more of a lease that is held."""

    slot: str
    ballot: Ballot
    life: int
    list: str
    priority: int = 0
    waited: float = 0.0


class Vote(msgspec.Struct, frozen=True, tag="vote"):
    """The answer: granted, or the highest ballot that stands against it and how long to keep away."""

    slot: str
    ballot: Ballot
    granted: bool
    highest: int = 0
    pause: float = 0.0


class Release(msgspec.Struct, frozen=True, tag="release"):
    """The holder is ``done`` before its lease is; or a claim that failed is given back, and perhaps for good.

    Whoever ``moves`` on to another slot waits for this one no more: else all could wait for those who do.
    """

    slot: str
    ballot: Ballot
    done: bool = False
    moves: bool = False


class _Grant(msgspec.Struct):
    ballot: Ballot
    life: int
    until: float


class _Waiter(msgspec.Struct):
    since: float
    seen: float
    priority: int
    passed: int = 0


class Lists:
    """The accepted lists that count: the present one, and those that it replaced lately."""

    def __init__(self, names: Iterable[str], digest: str, bounds: Bounds) -> None:
        self._bounds = bounds
        self.held: list[tuple[str, frozenset[str], float]] = [(digest, frozenset(names), float("inf"))]

    def change(self, names: Iterable[str], digest: str, now: float) -> None:
        """Let another list count, beside those before it for a while."""
        if digest == self.held[-1][0]:
            return
        last, before, _ = self.held[-1]
        self.held[-1] = (last, before, now + self._bounds.lists_for)
        self.held.append((digest, frozenset(names), float("inf")))

    def expire(self, now: float) -> None:
        """Drop the lists whose time is over."""
        self.held = [each for each in self.held if each[2] > now]

    def holds(self, digest: str) -> bool:
        """Tell whether a list is one of those that count."""
        return any(digest == each for each, _, _ in self.held)

    def decided(self, votes: Iterable[str]) -> bool:
        """Tell whether these are a majority of every list that counts."""
        given = set(votes)
        return all(2 * len(given & names) > len(names) for _, names, _ in self.held)

    def hopeless(self, refused: Iterable[str]) -> bool:
        """Tell whether no majority of some list is left."""
        lost = set(refused)
        return any(2 * len(lost & names) >= len(names) for _, names, _ in self.held)

    def everyone(self) -> set[str]:
        """Return the boxes of all lists that count."""
        return set().union(*(names for _, names, _ in self.held))


class Voter:
    """Grants slots. ``fresh``: it has no state of an earlier life, and knows that there was none."""

    def __init__(self, bounds: Bounds, lists: Lists, now: float, fresh: bool = False) -> None:
        self.bounds, self.lists = bounds, lists
        # As if all had been granted at the end of its last life, whenever that was.
        self.quiet_until = now if fresh else now + bounds.lease * (1 + bounds.drift)
        self._grants: dict[str, _Grant] = {}
        self._highest: dict[str, Ballot] = {}
        self._waiters: dict[str, dict[str, _Waiter]] = {}

    def take(self, now: float, claim: Claim) -> Vote:
        """Answer a claim."""
        self.lists.expire(now)
        name, slot = claim.ballot.name, claim.slot
        highest = self._highest.get(slot, Ballot(0, ""))
        if not self.lists.holds(claim.list) or name not in self.lists.everyone() or claim.ballot.number > BALLOT_MOST:
            return Vote(slot, claim.ballot, False, highest.number, self.bounds.pause)
        held = self._grants.get(slot)
        if held is not None and held.until <= now:
            held = self._grants.pop(slot) and None
        waiter = self._wait(now, claim)
        # Another life of the same box is another holder: the process before may have been stopped, not ended.
        mine = held is not None and (held.ballot.name, held.life) == (name, claim.life)
        if now < self.quiet_until or (held is not None and not mine) or (not mine and self._first(now, slot) != name):
            pause = max(self.bounds.pause, (held.until - now) if held is not None else self.quiet_until - now)
            return Vote(slot, claim.ballot, False, highest.number, min(pause, self.bounds.lease))
        # A renewal keeps its ballot, so that what the turn guards sees one holder; any other must be higher.
        # By the number alone: a resource compares no names, so two holders must never have one number.
        renews = mine and held is not None and claim.ballot == held.ballot
        if not renews and claim.ballot.number <= highest.number:
            return Vote(slot, claim.ballot, False, highest.number, self.bounds.pause)
        self._highest[slot] = max(highest, claim.ballot)
        self._grants[slot] = _Grant(claim.ballot, claim.life, now + self.bounds.lease * (1 + self.bounds.drift))
        if not mine:
            self._passed(slot, name, waiter)
        return Vote(slot, claim.ballot, True, claim.ballot.number)

    def _wait(self, now: float, claim: Claim) -> _Waiter:
        waiting = self._waiters.setdefault(claim.slot, {})
        known = self.lists.everyone()
        for name in [n for n, w in waiting.items() if now - w.seen > self.bounds.forget or n not in known]:
            del waiting[name]
        since = now - min(max(0.0, claim.waited), self.bounds.waited_most)  # it may have waited for other slots
        made = waiting.setdefault(claim.ballot.name, _Waiter(since, now, claim.priority))
        made.seen, made.priority = now, claim.priority
        return made

    def _first(self, now: float, slot: str) -> str:
        """Return whose turn it is: who was passed too often, else by priority and waiting."""

        def rank(item: tuple[str, _Waiter]) -> tuple[bool, int, str]:
            name, waiter = item
            # In whole steps: all voters must see one order. Those who began to wait at one instant came to each of them
            # in another one, and if each went by that, votes would be split for as long as all wait.
            due = waiter.priority + int((now - waiter.since) / self.bounds.ageing)
            return waiter.passed < self.bounds.passes, -due, name

        return min(self._waiters[slot].items(), key=rank)[0]

    def _passed(self, slot: str, name: str, waiter: _Waiter) -> None:
        for other, each in self._waiters[slot].items():
            if other != name and each.since + self.bounds.together < waiter.since:
                each.passed += 1
        del self._waiters[slot][name]

    def release(self, release: Release) -> None:
        """Free a slot whose holder is done."""
        held = self._grants.get(release.slot)
        if held is not None and held.ballot == release.ballot:
            del self._grants[release.slot]
        if release.moves:
            self._waiters.get(release.slot, {}).pop(release.ballot.name, None)

    def held(self, now: float) -> dict[str, tuple[Ballot, float]]:
        """Return the slots that are granted here, with their ballots and how long still, s."""
        return {slot: (grant.ballot, grant.until - now) for slot, grant in self._grants.items() if grant.until > now}

    def waiting(self, slot: str) -> list[str]:
        """Return who waits for a slot, as far as this voter was asked."""
        return sorted(self._waiters.get(slot, ()))


class Claimer:
    """Claims one slot, and holds it while its lease runs."""

    def __init__(
        self, name: str, life: int, slot: str, bounds: Bounds, lists: Lists, priority: int = 0, highest: int = 0
    ) -> None:
        self.name, self.life, self.slot, self.bounds, self.lists = name, life, slot, bounds, lists
        self.priority, self.fence, self.until = priority, 0, NEVER
        self._ballot: Ballot | None = None
        self._asked, self._since, self._next = NEVER, NEVER, NEVER
        self._votes, self._refused, self.highest = set[str](), set[str](), highest

    def hurry(self, now: float, wait: float) -> None:
        """Claim soon: the slot was given back. Claims that are out are left to their end."""
        if not self.fence and self._ballot is None:
            self._next = min(self._next, now + wait)

    def waits_since(self, since: float) -> None:
        """Say that it has waited since then, for other slots of the same turn."""
        self._since = since

    def due(self) -> float:
        """Return when the next tick is worth while."""
        waits = [self._next]
        if self.fence:
            waits.append(self.until)
        elif self._ballot is not None:
            waits.append(self._asked + (0.0 if self.lists.hopeless(self._refused) else self.bounds.wait))
        return min(waits)

    def holds(self, now: float) -> bool:
        """Tell whether the turn is this one's, by its own clock, at this very moment."""
        return self.fence > 0 and now < self.until

    def tick(self, now: float, draw: float) -> Claim | Release | None:
        """Return what is due for everyone. ``draw`` from 0 to 1 spreads claimers apart.

        A claim that failed is given back before the next one: two claimers with half of the votes each would otherwise
        keep each other out for as long as both ask.
        """
        self.lists.expire(now)
        if self._since == NEVER:
            self._since = now
        if self.fence and now >= self.until:
            self.fence = 0  # it ran out: a new claim, with a new number
        hopeless = self.lists.hopeless(self._refused)
        if self._ballot is not None and not self.fence and (hopeless or now - self._asked > self.bounds.wait):
            failed, self._ballot = self._ballot, None
            if hopeless:  # no need to wait for the rest
                self._next = now + self.bounds.pause * (1 + draw)
            return Release(self.slot, failed)
        if now < self._next:
            return None
        renews = self.holds(now)
        if not renews:
            self._ballot = Ballot(self.highest + 1, self.name)
            self.highest += 1
        assert self._ballot is not None
        self._asked, self._votes, self._refused = now, set(), set()
        self._next = now + (self.bounds.lease / 3 if renews else self.bounds.wait + self.bounds.pause * (1 + draw))
        return Claim(self.slot, self._ballot, self.life, self.lists.held[-1][0], self.priority, now - self._since)

    def take(self, now: float, voter: str, vote: Vote) -> bool:
        """Take an answer; True where the turn became this one's, or its lease longer, just now."""
        self.highest = max(self.highest, vote.highest)
        if vote.ballot != self._ballot or now - self._asked > self.bounds.wait:
            return False  # of an older claim, or too late to count from when it was asked
        if not vote.granted:
            self._refused.add(voter)
            return False
        self._votes.add(voter)
        if not self.lists.decided(self._votes):
            return False
        until = self._asked + self.bounds.lease * (1 - self.bounds.drift)
        if now >= until:
            return False
        fresh = until > self.until or not self.fence
        self.fence, self.until = vote.ballot.number, max(self.until, until)
        self._next = self._asked + self.bounds.lease / 3
        return fresh

    def release(self) -> Release | None:
        """Give the turn back; nothing may be done under it any more."""
        if self._ballot is None:
            return None
        made = Release(self.slot, self._ballot, self.fence > 0)
        self.fence, self.until, self._ballot, self._since, self._next = 0, NEVER, None, NEVER, NEVER
        return made
