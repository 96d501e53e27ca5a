"""When a list is believed: candidate, settling, held back, accepted, refused. No I/O, no clock: times come in.

    (nothing) -> settling -> accepted
                    |  ^        |  a list that differs is seen
                    v  |        v
       refused <- settling -> held -> accepted (unchanged for long, or by an operator)

What a look finds is a candidate: a list, faults, or nothing at all. It settles first, since tools write files
in pieces; one that keeps changing is judged after ``settle_most`` as it stands. Faults, a missing file and a
file that is not whole are refused, and the last accepted list stays. A list is judged against the accepted
one: it is held back where too many boxes go at once. Two shares are looked at, since a file cut short only
loses boxes, while a rolling deploy brings others in their place:

- loss: how much smaller the list becomes against the largest of the last ``loss_window``;
- turnover: how many boxes go or move in one step, whatever comes for them.
"""

from __future__ import annotations

import enum
from math import ceil
from typing import NamedTuple

import msgspec

from lapispick.file_errors import FileFault
from lapispick.fleet.snapshot import Difference, Snapshot, difference


class Policy(msgspec.Struct, frozen=True):
    """When a list is accepted; spans in seconds, shares from 0 to 1."""

    settle: float = 1.0
    settle_most: float = 3.0
    loss: float = 0.2
    loss_least: int = 1
    turnover: float = 0.5
    loss_window: float = 60.0
    hold: float = 300.0


class Phase(enum.Enum):
    """Where the candidate stands."""

    NONE = "none"  # nothing was seen so far
    SETTLING = "settling"
    HELD = "held"
    ACCEPTED = "accepted"
    REFUSED = "refused"


class Seen(NamedTuple):
    """What one look found: a list, or what is wrong."""

    snapshot: Snapshot | None
    faults: tuple[FileFault, ...] = ()
    unfinished: str = ""  # why the files may not be whole
    accept: str = ""  # the digest that an operator accepts, or its beginning


class Verdict(NamedTuple):
    """What follows from a look. ``news``: phase or candidate are others than at the last look."""

    phase: Phase
    ground: str
    news: bool
    accepted: Snapshot | None = None  # a list that is accepted just now
    difference: Difference = Difference()  # immutable


ACCEPT_LEAST = 8  # hex digits that an operator must give


class Acceptance:
    """Judges candidates one look after the other."""

    def __init__(self, policy: Policy, accepted: Snapshot | None = None) -> None:
        self.policy, self.accepted = policy, accepted
        self.phase, self.ground = Phase.NONE, ""
        self.candidate: Snapshot | None = None
        self._mark: tuple[object, ...] = ()  # what tells this candidate from others
        self._since = 0.0  # when it was seen first
        self._moving = 0.0  # when the first of a row of candidates was
        self._peaks: list[tuple[float, int]] = []  # (until when it counts, boxes) of lists that were replaced

    def see(self, now: float, seen: Seen) -> Verdict:
        """Take what a look found; ``now`` is any clock in seconds that never goes back."""
        before = (self.phase, self.ground, self._mark)
        mark = (seen.snapshot.digest if seen.snapshot else "", seen.faults, seen.unfinished)
        if mark != self._mark or self.phase is Phase.NONE:
            if self.phase in (Phase.NONE, Phase.ACCEPTED, Phase.REFUSED):
                self._moving = now
            self._mark, self._since, self.candidate = mark, now, seen.snapshot
            self.phase, self.ground = Phase.SETTLING, "a new candidate"
        accepted = self._judge(now, seen)
        diff = Difference()
        if accepted is not None:
            diff = difference(self.accepted, accepted) if self.accepted else Difference(tuple(sorted(accepted.boxes)))
            self._accept(now, accepted)
        return Verdict(self.phase, self.ground, (self.phase, self.ground, self._mark) != before, accepted, diff)

    def _accept(self, now: float, accepted: Snapshot) -> None:
        if self.accepted is not None:
            self._peaks.append((now + self.policy.loss_window, len(self.accepted.boxes)))
        # Only the largest of those that outlast it matters: the list stays short however often it changes.
        kept: list[tuple[float, int]] = []
        for until, size in sorted(self._peaks, reverse=True):
            if until > now and (not kept or size > kept[-1][1]):
                kept.append((until, size))
        self._peaks, self.accepted, self._moving = kept, accepted, now

    def _judge(self, now: float, seen: Seen) -> Snapshot | None:
        """Set the phase of the present candidate; return it where it is accepted just now."""
        snapshot, policy = seen.snapshot, self.policy
        if (
            snapshot is not None
            and self.accepted is not None
            and not seen.unfinished
            and snapshot.total == self.accepted.total
        ):
            self.phase, self.ground = Phase.ACCEPTED, "as accepted"
            return None
        if snapshot is not None and len(seen.accept) >= ACCEPT_LEAST and snapshot.digest.startswith(seen.accept):
            self.phase, self.ground = Phase.ACCEPTED, "accepted by an operator"
            return snapshot
        settled = now - self._since >= policy.settle
        waited = now - self._moving >= policy.settle_most
        if self.phase is Phase.SETTLING and not settled and not waited:
            return None
        if snapshot is None:
            self.phase, self.ground = Phase.REFUSED, str(seen.faults[0]) if seen.faults else "there is no file"
            return None
        if seen.unfinished:
            if waited:
                self.phase, self.ground = Phase.REFUSED, seen.unfinished
            return None
        if ground := self.objection(now, snapshot):
            if now - self._since >= policy.hold and policy.hold:
                self.phase, self.ground = Phase.ACCEPTED, f"unchanged for {policy.hold:g} s, though {ground}"
                return snapshot
            self.phase, self.ground = Phase.HELD, ground
            return None
        self.phase = Phase.ACCEPTED
        self.ground = "settled" if settled else f"changing for {policy.settle_most:g} s"
        return snapshot

    def objection(self, now: float, snapshot: Snapshot) -> str:
        """Return why a list needs more than settling; nothing where it does not."""
        if self.accepted is None:
            return ""
        policy, size = self.policy, len(snapshot.boxes)
        peak = max([len(self.accepted.boxes), *(n for until, n in self._peaks if until > now)])
        if peak - size > self._allowed(policy.loss, peak):
            return f"{size} boxes, where there were {peak}; {policy.loss:.0%} may go at once"
        diff = difference(self.accepted, snapshot)
        turned, had = len(diff.left) + len(diff.moved), len(self.accepted.boxes)
        if turned > self._allowed(policy.turnover, had):
            return f"{turned} of {had} boxes go or move; {policy.turnover:.0%} may at once"
        return ""

    def _allowed(self, share: float, of: int) -> int:
        # Rounded up, since "17% at a time" of a small fleet is; less a trifle for shares such as 0.07 of 100.
        return max(self.policy.loss_least, ceil(share * of - 1e-9))
