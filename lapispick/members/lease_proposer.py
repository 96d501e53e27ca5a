"""Proposer of quorum leases: proposes itself as the holder of one slot, and renews the lease. No I/O."""

from __future__ import annotations

from lapispick.members.configurations import Configurations
from lapispick.members.leases import NEVER, UNNUMBERED, Ballot, LeaseProposal, LeaseRelease, LeaseSettings, LeaseVote


class LeaseProposer:
    """Proposals of one member for one slot. ``fencing_token`` is 0 unless the lease was acquired."""

    def __init__(
        self,
        name: str,
        process_epoch: int,
        slot: str,
        settings: LeaseSettings,
        configurations: Configurations,
        priority: int = 0,
        highest_ballot_number: int = 0,
    ) -> None:
        self.name = name
        self.process_epoch = process_epoch
        self.slot = slot
        self.settings = settings
        self.configurations = configurations
        self.priority = priority
        self.highest_ballot_number = highest_ballot_number
        self.fencing_token = 0
        self.expires_at = NEVER
        self._ballot: Ballot | None = None
        self._renewal = 0  # number of proposals with this ballot before the last one
        self._proposed_at = NEVER
        self._waiting_since = NEVER
        self._next_proposal_at = NEVER
        self._granting_voters: set[str] = set()
        self._rejecting_voters: set[str] = set()

    def retry_within(self, now: float, delay_s: float) -> None:
        """Propose within ``delay_s``, because the slot was released. An outstanding proposal is not interrupted."""
        if not self.fencing_token and self._ballot is None:
            self._next_proposal_at = min(self._next_proposal_at, now + delay_s)

    def set_waiting_since(self, since: float) -> None:
        """Set the start of the waiting time, which includes the time spent on other slots of the same lease."""
        self._waiting_since = since

    def next_tick_at(self) -> float:
        """Return the time when ``tick`` is next due, in monotonic seconds."""
        times = [self._next_proposal_at]
        if self.fencing_token:
            times.append(self.expires_at)
        elif self._ballot is not None:
            is_lost = self.configurations.excludes_quorum(self._rejecting_voters)
            times.append(self._proposed_at + (0.0 if is_lost else self.settings.vote_timeout_s))
        return min(times)

    def holds(self, now: float) -> bool:
        """Return True if the lease is held now, by this member's own clock."""
        return self.fencing_token > 0 and now < self.expires_at

    def tick(self, now: float, jitter: float) -> LeaseProposal | LeaseRelease | None:
        """Return the due message to all voters. ``jitter``, from 0 to 1, spreads the retries of competing proposers.

        A failed proposal is released before the next one. Otherwise two proposers with half of the votes each would
        block each other for as long as both propose.
        """
        self.configurations.expire(now)
        if self._waiting_since == NEVER:
            self._waiting_since = now
        if self.fencing_token and now >= self.expires_at:
            self.fencing_token = 0  # the next proposal gets a new ballot number
        if release := self._take_failed_proposal(now, jitter):
            return release
        if now < self._next_proposal_at:
            return None
        return self._propose(now, jitter)

    def _take_failed_proposal(self, now: float, jitter: float) -> LeaseRelease | None:
        if self._ballot is None or self.fencing_token:
            return None
        is_lost = self.configurations.excludes_quorum(self._rejecting_voters)
        if not is_lost and now - self._proposed_at <= self.settings.vote_timeout_s:
            return None
        failed = self._ballot
        self._ballot = None
        if is_lost:  # a quorum is impossible, whatever the remaining votes are
            self._next_proposal_at = now + self._retry_delay(jitter)
        return LeaseRelease(self.slot, failed)

    def _propose(self, now: float, jitter: float) -> LeaseProposal:
        is_renewal = self.holds(now)
        if is_renewal:
            self._renewal += 1
        else:
            self._renewal = 0
            self._ballot = Ballot(self.highest_ballot_number + 1, self.name)
            self.highest_ballot_number += 1
        assert self._ballot is not None
        self._proposed_at = now
        self._granting_voters = set()
        self._rejecting_voters = set()
        if is_renewal:
            self._next_proposal_at = now + self.settings.renewal_interval_s
        else:
            self._next_proposal_at = now + (self.settings.vote_timeout_s + self._retry_delay(jitter))
        return LeaseProposal(
            self.slot,
            self._ballot,
            self.process_epoch,
            self.configurations.current_digest,
            self.priority,
            now - self._waiting_since,
            self._renewal,
        )

    def _retry_delay(self, jitter: float) -> float:
        return self.settings.retry_delay_s * (1 + jitter)

    def record_vote(self, now: float, voter: str, vote: LeaseVote) -> bool:
        """Record a vote; return True if it completed a quorum that acquired or renewed the lease."""
        self.highest_ballot_number = max(self.highest_ballot_number, vote.highest_ballot_number)
        if not self._is_for_last_proposal(vote) or now - self._proposed_at > self.settings.vote_timeout_s:
            return False
        if not vote.granted:
            self._rejecting_voters.add(voter)
            return False
        self._granting_voters.add(voter)
        if not self.configurations.is_quorum(self._granting_voters):
            return False
        expires_at = self._proposed_at + self.settings.holder_lease_s
        if now >= expires_at:
            return False
        is_extended = expires_at > self.expires_at or not self.fencing_token
        self.fencing_token = vote.ballot.number
        self.expires_at = max(self.expires_at, expires_at)
        self._next_proposal_at = self._proposed_at + self.settings.renewal_interval_s
        return is_extended

    def _is_for_last_proposal(self, vote: LeaseVote) -> bool:
        return vote.ballot == self._ballot and vote.renewal in (self._renewal, UNNUMBERED)

    def release(self) -> LeaseRelease | None:
        """Release the lease or the outstanding proposal; the owner must not use the lease any more."""
        if self._ballot is None:
            return None
        release = LeaseRelease(self.slot, self._ballot, self.fencing_token > 0)
        self.fencing_token = 0
        self.expires_at = NEVER
        self._ballot = None
        self._waiting_since = NEVER
        self._next_proposal_at = NEVER
        return release
