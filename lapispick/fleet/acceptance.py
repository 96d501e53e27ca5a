"""Decides when a host list that was read from the inventory files is accepted. No I/O, no clock: callers pass times.

    none -> settling -> accepted
               |  ^        |  a poll finds another list
               v  |        v
    rejected <- settling -> held -> accepted (unchanged for ``hold_s``, or accepted by an operator)

The result of one poll of the files is a candidate: a list, its faults, or nothing if there is no file. It settles
first, since tools write files in several parts; a candidate that keeps changing is evaluated after ``max_settle_s`` in
its current state. A list with faults, a missing file and an incomplete file are rejected, and the last accepted list
stays in force. A complete list is compared with the accepted one, and held if it would remove or move too many hosts at
once. Two fractions are limited separately, since a truncated file only loses hosts, while a rolling deployment replaces
them:

- loss: by how much the list shrinks, compared with the largest list of the last ``loss_window_s``;
- turnover: how many hosts are removed or move in one step, regardless of how many are added.
"""

from __future__ import annotations

import enum
from math import ceil
from typing import NamedTuple

import msgspec

from lapispick.file_errors import FileFault
from lapispick.fleet.snapshot import Difference, Snapshot, difference

MIN_ACCEPT_DIGITS = 8  # the least number of hex digits of a digest that an operator must give
_ROUNDING_TOLERANCE = 1e-9  # 0.07 * 100 is slightly more than 7 in binary floating point


class Policy(msgspec.Struct, frozen=True):
    """Limits that decide when a list is accepted; fractions are from 0 to 1."""

    settle_s: float = 1.0
    max_settle_s: float = 3.0
    max_loss_fraction: float = 0.2
    min_allowed_loss: int = 1  # hosts that may always be removed or moved at once, whatever the fractions allow
    max_turnover_fraction: float = 0.5
    loss_window_s: float = 60.0
    hold_s: float = 300.0  # 0 = a held list is accepted by an operator only


class Phase(enum.Enum):
    """Phase of the candidate; the values are stored in ``status.json``."""

    NONE = "none"  # nothing has been observed yet
    SETTLING = "settling"
    HELD = "held"
    ACCEPTED = "accepted"
    REJECTED = "refused"


class Observation(NamedTuple):
    """Result of one poll of the files: a list, or the faults if there is none."""

    snapshot: Snapshot | None
    faults: tuple[FileFault, ...] = ()
    incomplete_reason: str = ""  # why the files may be incomplete
    operator_digest: str = ""  # the digest that an operator accepted, or its first digits


class Verdict(NamedTuple):
    """Result of evaluating an observation; ``is_new`` if it changed the phase, the reason or the candidate."""

    phase: Phase
    reason: str
    is_new: bool
    accepted: Snapshot | None = None  # the list that this observation caused to be accepted
    difference: Difference = Difference()  # immutable, so the default can be shared


class _Peak(NamedTuple):
    """Size of a replaced list, and the time until which losses are measured against it."""

    expires_at: float
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
        self._changing_since = 0.0  # when the first of several successive candidates was observed
        self._peaks: list[_Peak] = []

    def observe(self, now: float, observation: Observation) -> Verdict:
        """Evaluate the result of a poll; ``now`` is the time of any monotonic clock in seconds."""
        previous = (self.phase, self.reason, self._candidate_identity)
        self._update_candidate(now, observation)
        accepted = self._evaluate(now, observation)
        changes = Difference()
        if accepted is not None:
            changes = self._changes_to(accepted)
            self._accept(now, accepted)
        is_new = (self.phase, self.reason, self._candidate_identity) != previous
        return Verdict(self.phase, self.reason, is_new, accepted, changes)

    def hold_reason(self, now: float, snapshot: Snapshot) -> str:
        """Return which limit a list exceeds, so that it has to be held; empty if it exceeds none."""
        if self.accepted is None:
            return ""
        policy = self.policy
        size = len(snapshot.hosts)
        accepted_size = len(self.accepted.hosts)
        peak = max([accepted_size, *(peak.size for peak in self._peaks if peak.expires_at > now)])
        if peak - size > self._allowed_count(policy.max_loss_fraction, peak):
            return f"{size} hosts, where there were {peak}; {policy.max_loss_fraction:.0%} may go at once"
        changes = difference(self.accepted, snapshot)
        turnover = len(changes.left) + len(changes.moved)
        if turnover > self._allowed_count(policy.max_turnover_fraction, accepted_size):
            return f"{turnover} of {accepted_size} hosts go or move; {policy.max_turnover_fraction:.0%} may at once"
        return ""

    def _update_candidate(self, now: float, observation: Observation) -> None:
        """Start to settle if the observation differs from the previous one."""
        digest = observation.snapshot.digest if observation.snapshot else ""
        identity = (digest, observation.faults, observation.incomplete_reason)
        if identity == self._candidate_identity and self.phase is not Phase.NONE:
            return
        if self.phase in (Phase.NONE, Phase.ACCEPTED, Phase.REJECTED):
            self._changing_since = now
        self._candidate_identity = identity
        self._candidate_since = now
        self.candidate = observation.snapshot
        self._set_phase(Phase.SETTLING, "a new candidate")

    def _changes_to(self, accepted: Snapshot) -> Difference:
        if self.accepted:
            return difference(self.accepted, accepted)
        return Difference(tuple(sorted(accepted.hosts)))

    def _accept(self, now: float, accepted: Snapshot) -> None:
        if self.accepted is not None:
            self._peaks.append(_Peak(now + self.policy.loss_window_s, len(self.accepted.hosts)))
        # A peak matters only if it is larger than all peaks that expire later. Dropping the others bounds the list.
        relevant: list[_Peak] = []
        for peak in sorted(self._peaks, reverse=True):
            if peak.expires_at > now and (not relevant or peak.size > relevant[-1].size):
                relevant.append(peak)
        self._peaks = relevant
        self.accepted = accepted
        self._changing_since = now

    def _evaluate(self, now: float, observation: Observation) -> Snapshot | None:
        """Set the phase of the current candidate; return the list if it is accepted now."""
        if self._is_in_force(observation):
            return self._set_phase(Phase.ACCEPTED, "as accepted")
        snapshot = observation.snapshot
        if snapshot is not None and _operator_accepts(observation.operator_digest, snapshot):
            self._set_phase(Phase.ACCEPTED, "accepted by an operator")
            return snapshot
        settled = now - self._candidate_since >= self.policy.settle_s
        max_settle_elapsed = now - self._changing_since >= self.policy.max_settle_s
        if self.phase is Phase.SETTLING and not settled and not max_settle_elapsed:
            return None
        if snapshot is None:
            return self._set_phase(
                Phase.REJECTED, str(observation.faults[0]) if observation.faults else "there is no file"
            )
        if observation.incomplete_reason:
            return self._set_phase(Phase.REJECTED, observation.incomplete_reason) if max_settle_elapsed else None
        return self._evaluate_complete(now, snapshot, settled)

    def _evaluate_complete(self, now: float, snapshot: Snapshot, settled: bool) -> Snapshot | None:
        """Accept or hold a complete list whose settling is over."""
        policy = self.policy
        hold_reason = self.hold_reason(now, snapshot)
        if not hold_reason:
            self._set_phase(Phase.ACCEPTED, "settled" if settled else f"changing for {policy.max_settle_s:g} s")
            return snapshot
        if now - self._candidate_since >= policy.hold_s and policy.hold_s:
            self._set_phase(Phase.ACCEPTED, f"unchanged for {policy.hold_s:g} s, though {hold_reason}")
            return snapshot
        return self._set_phase(Phase.HELD, hold_reason)

    def _is_in_force(self, observation: Observation) -> bool:
        """Return True if the observed list is complete and equals the accepted one."""
        if observation.snapshot is None or self.accepted is None or observation.incomplete_reason:
            return False
        return observation.snapshot.digest_sum == self.accepted.digest_sum

    def _set_phase(self, phase: Phase, reason: str) -> None:
        self.phase = phase
        self.reason = reason

    def _allowed_count(self, fraction: float, host_count: int) -> int:
        """Return how many hosts may change at once; rounded up, as 17% of a small fleet may be less than one host."""
        return max(self.policy.min_allowed_loss, ceil(fraction * host_count - _ROUNDING_TOLERANCE))


def _operator_accepts(operator_digest: str, snapshot: Snapshot) -> bool:
    return len(operator_digest) >= MIN_ACCEPT_DIGITS and snapshot.digest.startswith(operator_digest)
