"""Settings of quorum leases, and the messages between proposers and voters. No I/O.

A lease with a limit of k concurrent holders consists of k slots with one holder each. (If each voter granted the lease
to k holders at once, up to 2k - 1 proposers could have a quorum.)

- A proposal carries a ballot: a number and the proposer's name. A voter (``lease_voter.py``) grants it if the number is
  higher than any number that it has granted, and no other holder has an unexpired lease. The ballot number of a
  proposal that a quorum granted is the fencing token. Two quorums have a voter in common, so a later holder has a
  higher token, and the protected resource can reject lower tokens.
- A renewal keeps its ballot and counts up ``renewal``, which the vote repeats. A vote that was for an earlier proposal
  and arrives late does not count for the present one: the voter's grant may end before the lease that it would give.
- The holder's lease starts when it sends the proposal, the voter's grant when the voter grants it. As long as the rates
  of the monotonic clocks differ by less than ``clock_drift_ratio``, the holder's lease expires first. A holder that was
  paused for longer than its lease finds the lease expired by its own clock.
- A voter that starts without its state may have granted leases before. It grants nothing until the longest of them has
  expired.
- The configuration of members may change (``configurations.py``). A proposal needs a quorum in each configuration that
  was current within the last ``configuration_overlap_s``, and a voter grants a lease only to proposers whose
  configuration it uses itself. A proposal under the old and one under the new configuration therefore have a voter in
  common.
- Voters queue the waiting proposers by priority plus waiting time. No proposer is overtaken by the same other one more
  than ``max_overtakes`` + 1 times.

Without a quorum no member obtains a lease. Serving requests never waits for a lease.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

NEVER = float("-inf")  # a time before all others; monotonic clocks may start at any value, also below 0
UNNUMBERED = -1  # renewal in a vote of a version that does not repeat it
MAX_BALLOT_NUMBER = 1 << 52  # a JSON number (double) represents all integers up to here exactly


class LeaseSettings(msgspec.Struct, frozen=True):
    """Settings of the leases. Times are in seconds of monotonic clocks."""

    lease_s: float = 10.0
    clock_drift_ratio: float = 0.02  # largest relative difference between the rates of two clocks
    vote_timeout_s: float = 1.0
    retry_delay_s: float = 0.5  # before a failed proposal is repeated, times a random factor of 1 to 2
    configuration_overlap_s: float = 30.0  # a replaced configuration counts for this time, longer than any lease
    waiter_timeout_s: float = 5.0  # a waiter that sends no proposal for this time is dropped
    max_overtakes: int = 3
    simultaneous_window_s: float = 1.0  # waiters that began to wait within it do not count as overtaking each other
    max_waited_s: float = 600.0  # longest reported waiting time that a voter takes into account
    priority_aging_s: float = 10.0  # waiting time that is equivalent to one step of priority

    @property
    def grant_s(self) -> float:
        """Return the duration of a voter's grant: the lease plus the clock drift."""
        return self.lease_s * (1 + self.clock_drift_ratio)

    @property
    def holder_lease_s(self) -> float:
        """Return the time for which a holder may use a lease: the lease minus the clock drift."""
        return self.lease_s * (1 - self.clock_drift_ratio)

    @property
    def renewal_interval_s(self) -> float:
        """Return the time between two renewals of a held lease."""
        return self.lease_s / 3


class Ballot(NamedTuple):
    """Number of a proposal, and its proposer. A voter grants each number at most once."""

    number: int
    proposer: str


class LeaseProposal(msgspec.Struct, frozen=True, tag="claim"):
    """Request to a voter for a slot, or for the renewal of a lease that is held."""

    slot: str
    ballot: Ballot
    process_epoch: int = msgspec.field(name="life")
    configuration_digest: str = msgspec.field(name="list")
    priority: int = 0
    waited_s: float = msgspec.field(default=0.0, name="waited")
    renewal: int = 0  # number of proposals with this ballot before this one


class LeaseVote(msgspec.Struct, frozen=True, tag="vote"):
    """Answer to a proposal; a rejection has the highest ballot number granted and the time before a retry."""

    slot: str
    ballot: Ballot
    granted: bool
    highest_ballot_number: int = msgspec.field(default=0, name="highest")
    retry_after_s: float = msgspec.field(default=0.0, name="pause")
    renewal: int = UNNUMBERED  # of the proposal


class LeaseRelease(msgspec.Struct, frozen=True, tag="release"):
    """Release of a slot: of a lease before it expires (``was_held``), or of a proposal that failed.

    ``leaves_queue``: the proposer continues with another slot, and must not block the queue of this one meanwhile.
    """

    slot: str
    ballot: Ballot
    was_held: bool = msgspec.field(default=False, name="done")
    leaves_queue: bool = msgspec.field(default=False, name="moves")
