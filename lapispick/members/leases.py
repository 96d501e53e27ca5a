"""Quorum leases: their settings and the messages between proposers and voters. No I/O.

A lease with a limit of k concurrent holders consists of k slots with one holder each. (If grants were counted over k
holders at once, up to 2k - 1 proposers could have a quorum.)

- A proposal carries a ballot: a number and the proposer's name. A voter (``lease_voter.py``) grants it if the number is
  higher than any that it has granted and no unexpired lease of another holder exists. The ballot number of a proposal
  that a quorum granted is the fencing token. Two quorums share a voter, so a later holder's token is higher, and the
  guarded resource can reject lower ones.
- The holder counts the lease from before it sent the proposal, the voter from when it granted. As long as the monotonic
  clocks drift apart by less than ``clock_drift_ratio``, the holder's lease expires first. A holder that was paused past
  its lease finds it expired by its own clock.
- A voter that started without its state may have granted leases before. It grants nothing for the longest lease after
  its start.
- The configuration of members may change (``configurations.py``): a proposal needs a quorum in each configuration that
  was in force within the last ``configuration_overlap_s``, and a voter grants only to proposers whose configuration it
  holds itself. A proposal under the old and one under the new configuration thus share a voter.
- Voters queue the waiting proposers by priority plus waiting time. No proposer is overtaken by the same other one more
  than ``max_overtakes`` + 1 times.

Without a quorum nobody obtains a lease, and nothing that serves requests waits for one.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

NEVER = float("-inf")  # monotonic clocks may start anywhere, also below 0
MAX_BALLOT_NUMBER = 1 << 52  # exact in a JSON double


class LeaseSettings(msgspec.Struct, frozen=True):
    """Times in seconds of monotonic clocks."""

    lease_s: float = 10.0
    clock_drift_ratio: float = 0.02  # largest difference between the rates of two clocks
    vote_timeout_s: float = 1.0
    retry_delay_s: float = 0.5  # before a failed proposal is repeated, times 1 to 2
    configuration_overlap_s: float = 30.0  # a replaced configuration counts for so long; longer than the longest lease
    waiter_timeout_s: float = 5.0  # a waiter that proposes no more is dropped
    max_overtakes: int = 3
    simultaneous_s: float = 1.0  # waiters that began within this interval do not count as overtaken by each other
    max_waited_s: float = 600.0  # limit of the waiting time that a proposer may report
    priority_aging_s: float = 10.0  # waiting time that weighs as much as one step of priority

    @property
    def grant_s(self) -> float:
        """Return how long a voter keeps a grant: the lease with the clocks' drift added."""
        return self.lease_s * (1 + self.clock_drift_ratio)

    @property
    def holder_lease_s(self) -> float:
        """Return how long a holder may use a lease: the lease with the clocks' drift taken off."""
        return self.lease_s * (1 - self.clock_drift_ratio)

    @property
    def renewal_interval_s(self) -> float:
        """Return the time between two renewals of a held lease."""
        return self.lease_s / 3


class Ballot(NamedTuple):
    """The number of a proposal, and whose it is. A voter grants each number at most once."""

    number: int
    proposer: str


class LeaseProposal(msgspec.Struct, frozen=True, tag="claim"):
    """Asks a voter for a slot, or to extend a lease that is held."""

    slot: str
    ballot: Ballot
    process_epoch: int = msgspec.field(name="life")
    configuration_digest: str = msgspec.field(name="list")
    priority: int = 0
    waited_s: float = msgspec.field(default=0.0, name="waited")


class LeaseVote(msgspec.Struct, frozen=True, tag="vote"):
    """The answer to a proposal; if it is rejected, with the highest ballot number granted and a time to wait."""

    slot: str
    ballot: Ballot
    granted: bool
    highest_ballot_number: int = msgspec.field(default=0, name="highest")
    retry_after_s: float = msgspec.field(default=0.0, name="pause")


class LeaseRelease(msgspec.Struct, frozen=True, tag="release"):
    """Gives a slot back: a lease before it expires (``was_held``), or a proposal that failed.

    A proposer that ``leaves_queue`` continues with another slot and must not block this slot's queue meanwhile.
    """

    slot: str
    ballot: Ballot
    was_held: bool = msgspec.field(default=False, name="done")
    leaves_queue: bool = msgspec.field(default=False, name="moves")
