"""Decides when a host list that was read is put in force. No I/O, no clock: times are passed in.

    (nothing) -> settling -> accepted
                    |  ^        |  a list that differs is observed
                    v  |        v
      rejected <- settling -> held -> accepted (unchanged for long, or by an operator)

What one poll of the files finds is a candidate: a list, its faults, or nothing at all. It settles first, since tools
write files in pieces; one that keeps changing is evaluated after ``max_settle_s`` as it is then. A list with faults, a
missing file and an incomplete file are rejected, and the last accepted list stays in force. A list is compared with
the accepted one, and held where too many hosts would go at once. Two fractions are bounded, since a truncated
file only loses hosts, while a rolling deployment replaces them:

- loss: how much smaller the list becomes against the largest of the last ``loss_window_s``;
- turnover: how many hosts are removed or move in one step, whatever replaces them.
"""

from __future__ import annotations

import enum
from math import ceil
from typing import NamedTuple

import msgspec

from lapispick.file_errors import FileFault
from lapispick.fleet.snapshot import Difference, Snapshot, difference

MIN_ACCEPT_DIGITS = 8  # hex digits of a digest that an operator must give
_ROUNDING_TOLERANCE = 1e-9  # 0.07 * 100 is a little over 7 in binary floating point


class Policy(msgspec.Struct, frozen=True):
    """When a list is accepted; fractions from 0 to 1."""

    settle_s: float = 1.0
    max_settle_s: float = 3.0
    max_loss_fraction: float = 0.2
    min_allowed_loss: int = 1  # hosts that may always go at once
    max_turnover_fraction: float = 0.5
    loss_window_s: float = 60.0
    hold_s: float = 300.0


class Phase(enum.Enum):
    """Where the candidate stands; the values are written to ``status.json``."""

    NONE = "none"  # nothing was observed so far
    SETTLING = "settling"
    HELD = "held"
    ACCEPTED = "accepted"
    REJECTED = "refused"


class Observation(NamedTuple):
    """What one poll of the files found: a list, or what is wrong."""

    snapshot: Snapshot | None
    faults: tuple[FileFault, ...] = ()
    incomplete_reason: str = ""  # why the files may be incomplete
    operator_digest: str = ""  # the digest that an operator accepts, or its beginning


class Verdict(NamedTuple):
    """What follows from an observation; ``is_new`` where phase, reason or candidate changed with it."""

    phase: Phase
    reason: str
    is_new: bool
    accepted: Snapshot | None = None  # a list that is accepted with this observation
    difference: Difference = Difference()  # immutable


class _Peak(NamedTuple):
    """The size of a list that was replaced, and until when losses are measured against it."""

    until: float
    size: int


class Acceptance:
    """Evaluates the candidates of successive observations."""

    def __init__(self, policy: Policy, accepted: Snapshot | None = None) -> None:
        self.policy = policy
        self.accepted = accepted
        self.phase = Phase.NONE
        self.reason = ""
        self.candidate: Snapshot | None = None
        self._candidate_identity: tuple[object, ...] = ()
        self._candidate_since = 0.0
        self._changing_since = 0.0  # when the first of successive candidates was observed
        self._peaks: list[_Peak] = []

    def observe(self, now: float, observation: Observation) -> Verdict:
        """Evaluate what a poll found; ``now`` is any monotonic clock in seconds."""
        before = (self.phase, self.reason, self._candidate_identity)
        self._note_candidate(now, observation)
        accepted = self._judge(now, observation)
        changes = Difference()
        if accepted is not None:
            changes = self._changes_to(accepted)
            self._accept(now, accepted)
        is_new = (self.phase, self.reason, self._candidate_identity) != before
        return Verdict(self.phase, self.reason, is_new, accepted, changes)

    def objection(self, now: float, snapshot: Snapshot) -> str:
        """Return why a list needs more than settling; empty where it does not."""
        if self.accepted is None:
            return ""
        policy = self.policy
        size = len(snapshot.hosts)
        accepted_size = len(self.accepted.hosts)
        peak = max([accepted_size, *(peak.size for peak in self._peaks if peak.until > now)])
        if peak - size > self._allowed(policy.max_loss_fraction, peak):
            return f"{size} hosts, where there were {peak}; {policy.max_loss_fraction:.0%} may go at once"
        changes = difference(self.accepted, snapshot)
        turnover = len(changes.left) + len(changes.moved)
        if turnover > self._allowed(policy.max_turnover_fraction, accepted_size):
            return f"{turnover} of {accepted_size} hosts go or move; {policy.max_turnover_fraction:.0%} may at once"
        return ""

    def _note_candidate(self, now: float, observation: Observation) -> None:
        """Start to settle where the observation differs from the one before."""
        digest = observation.snapshot.digest if observation.snapshot else ""
        identity = (digest, observation.faults, observation.incomplete_reason)
        if identity == self._candidate_identity and self.phase is not Phase.NONE:
            return
        if self.phase in (Phase.NONE, Phase.ACCEPTED, Phase.REJECTED):
            self._changing_since = now
        self._candidate_identity = identity
        self._candidate_since = now
        self.candidate = observation.snapshot
        self._set(Phase.SETTLING, "a new candidate")

    def _changes_to(self, accepted: Snapshot) -> Difference:
        if self.accepted:
            return difference(self.accepted, accepted)
        return Difference(tuple(sorted(accepted.hosts)))

    def _accept(self, now: float, accepted: Snapshot) -> None:
        if self.accepted is not None:
            self._peaks.append(_Peak(now + self.policy.loss_window_s, len(self.accepted.hosts)))
        # A peak counts only where it is larger than all that outlast it: the list stays short.
        relevant: list[_Peak] = []
        for peak in sorted(self._peaks, reverse=True):
            if peak.until > now and (not relevant or peak.size > relevant[-1].size):
                relevant.append(peak)
        self._peaks = relevant
        self.accepted = accepted
        self._changing_since = now

    def _judge(self, now: float, observation: Observation) -> Snapshot | None:
        """Set the phase of the present candidate; return it where it is accepted now."""
        if self._is_in_force(observation):
            return self._set(Phase.ACCEPTED, "as accepted")
        snapshot = observation.snapshot
        if snapshot is not None and _operator_accepts(observation.operator_digest, snapshot):
            self._set(Phase.ACCEPTED, "accepted by an operator")
            return snapshot
        settled = now - self._candidate_since >= self.policy.settle_s
        overdue = now - self._changing_since >= self.policy.max_settle_s
        if self.phase is Phase.SETTLING and not settled and not overdue:
            return None
        if snapshot is None:
            return self._set(Phase.REJECTED, str(observation.faults[0]) if observation.faults else "there is no file")
        if observation.incomplete_reason:
            return self._set(Phase.REJECTED, observation.incomplete_reason) if overdue else None
        return self._judge_settled(now, snapshot, settled)

    def _judge_settled(self, now: float, snapshot: Snapshot, settled: bool) -> Snapshot | None:
        """Accept a complete list, or hold it."""
        policy = self.policy
        objection = self.objection(now, snapshot)
        if not objection:
            self._set(Phase.ACCEPTED, "settled" if settled else f"changing for {policy.max_settle_s:g} s")
            return snapshot
        if now - self._candidate_since >= policy.hold_s and policy.hold_s:
            self._set(Phase.ACCEPTED, f"unchanged for {policy.hold_s:g} s, though {objection}")
            return snapshot
        return self._set(Phase.HELD, objection)

    def _is_in_force(self, observation: Observation) -> bool:
        """Tell whether the observed list is complete and equals the accepted one."""
        if observation.snapshot is None or self.accepted is None or observation.incomplete_reason:
            return False
        return observation.snapshot.digest_sum == self.accepted.digest_sum

    def _set(self, phase: Phase, reason: str) -> None:
        self.phase = phase
        self.reason = reason

    def _allowed(self, fraction: float, count: int) -> int:
        """Return how many of so many hosts may go; rounded up, since 17% of a small fleet may be under one host."""
        return max(self.policy.min_allowed_loss, ceil(fraction * count - _ROUNDING_TOLERANCE))


def _operator_accepts(operator_digest: str, snapshot: Snapshot) -> bool:
    return len(operator_digest) >= MIN_ACCEPT_DIGITS and snapshot.digest.startswith(operator_digest)
