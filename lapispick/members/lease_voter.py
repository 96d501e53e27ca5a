"""Voter of quorum leases: grants slots and queues the proposers that wait for them. No I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lapispick.members.configurations import Configurations
from lapispick.members.leases import MAX_BALLOT_NUMBER, Ballot, LeaseProposal, LeaseRelease, LeaseSettings, LeaseVote

NO_BALLOT = Ballot(0, "")


class Grant(msgspec.Struct):
    """Grant of a slot by this voter."""

    ballot: Ballot
    process_epoch: int
    expires_at: float

    def belongs_to(self, proposal: LeaseProposal) -> bool:
        """Return True if the proposer holds the grant. A restarted process does not: the old one may still run."""
        return (self.ballot.proposer, self.process_epoch) == (proposal.ballot.proposer, proposal.process_epoch)


class GrantStatus(NamedTuple):
    """Status of a grant for reports; ``remaining_s`` is the time until it expires."""

    ballot: Ballot
    remaining_s: float


class _Waiter(msgspec.Struct):
    waiting_since: float
    last_proposal_at: float
    priority: int
    overtaken_count: int = 0


class LeaseVoter:
    """Votes on lease proposals. ``is_first_process``: no earlier process of this member can have granted any."""

    def __init__(
        self, settings: LeaseSettings, configurations: Configurations, now: float, is_first_process: bool = False
    ) -> None:
        self.settings = settings
        self.configurations = configurations
        # An earlier process of this member may have granted every slot just before this one started.
        self.rejects_until = now if is_first_process else now + settings.grant_s
        self._grants: dict[str, Grant] = {}
        self._highest: dict[str, Ballot] = {}
        self._waiters: dict[str, dict[str, _Waiter]] = {}

    def vote(self, now: float, proposal: LeaseProposal) -> LeaseVote:
        """Answer a proposal."""
        self.configurations.expire(now)
        slot = proposal.slot
        proposer = proposal.ballot.proposer
        highest = self._highest.get(slot, NO_BALLOT)
        if not self._is_acceptable(proposal):
            return self._reject(proposal, self.settings.retry_delay_s)
        grant = self._unexpired_grant(now, slot)
        waiter = self._enqueue(now, proposal)
        is_holder = grant is not None and grant.belongs_to(proposal)
        if self._must_wait(now, slot, proposer, grant, is_holder):
            return self._reject(proposal, self._retry_after(now, grant))
        # A renewal keeps its ballot, so the resource sees one fencing token. Any other ballot needs a number higher
        # than all earlier ones. The name is not compared, because the resource compares fencing tokens only.
        is_renewal = is_holder and grant is not None and proposal.ballot == grant.ballot
        if not is_renewal and proposal.ballot.number <= highest.number:
            return self._reject(proposal, self.settings.retry_delay_s)
        self._highest[slot] = max(highest, proposal.ballot)
        self._grants[slot] = Grant(proposal.ballot, proposal.process_epoch, now + self.settings.grant_s)
        if not is_holder:
            self._dequeue(slot, proposer, waiter)
        return LeaseVote(slot, proposal.ballot, True, proposal.ballot.number, renewal=proposal.renewal)

    def release(self, release: LeaseRelease) -> None:
        """Free a slot that its holder or proposer released."""
        grant = self._grants.get(release.slot)
        if grant is not None and grant.ballot == release.ballot:
            del self._grants[release.slot]
        if release.leaves_queue:
            self._waiters.get(release.slot, {}).pop(release.ballot.proposer, None)

    def grants(self, now: float) -> dict[str, GrantStatus]:
        """Return the unexpired grants of this voter, by slot."""
        return {
            slot: GrantStatus(grant.ballot, grant.expires_at - now)
            for slot, grant in self._grants.items()
            if grant.expires_at > now
        }

    def waiting(self, slot: str) -> list[str]:
        """Return the sorted names of the proposers that wait for a slot at this voter."""
        return sorted(self._waiters.get(slot, ()))

    def queued_slot_count(self) -> int:
        """Return the number of slots that have or had a queue."""
        return len(self._waiters)

    def _is_acceptable(self, proposal: LeaseProposal) -> bool:
        return (
            self.configurations.contains(proposal.configuration_digest)
            and proposal.ballot.proposer in self.configurations.all_members()
            and proposal.ballot.number <= MAX_BALLOT_NUMBER
        )

    def _unexpired_grant(self, now: float, slot: str) -> Grant | None:
        grant = self._grants.get(slot)
        if grant is not None and grant.expires_at <= now:
            del self._grants[slot]
            return None
        return grant

    def _must_wait(self, now: float, slot: str, proposer: str, grant: Grant | None, is_holder: bool) -> bool:
        if now < self.rejects_until:
            return True
        if is_holder:
            return False
        return grant is not None or self._first_in_queue(now, slot) != proposer

    def _retry_after(self, now: float, grant: Grant | None) -> float:
        free_at = grant.expires_at if grant is not None else self.rejects_until
        return min(max(self.settings.retry_delay_s, free_at - now), self.settings.lease_s)

    def _reject(self, proposal: LeaseProposal, retry_after_s: float) -> LeaseVote:
        highest = self._highest.get(proposal.slot, NO_BALLOT)
        return LeaseVote(proposal.slot, proposal.ballot, False, highest.number, retry_after_s, proposal.renewal)

    def _enqueue(self, now: float, proposal: LeaseProposal) -> _Waiter:
        queue = self._waiters.setdefault(proposal.slot, {})
        self._drop_stale_waiters(now, queue)
        # The proposer may have waited for other slots of the same lease before.
        waiting_since = now - min(max(0.0, proposal.waited_s), self.settings.max_waited_s)
        waiter = queue.setdefault(proposal.ballot.proposer, _Waiter(waiting_since, now, proposal.priority))
        waiter.last_proposal_at = now
        waiter.priority = proposal.priority
        return waiter

    def _drop_stale_waiters(self, now: float, queue: dict[str, _Waiter]) -> None:
        members = self.configurations.all_members()
        stale = [
            name
            for name, waiter in queue.items()
            if now - waiter.last_proposal_at > self.settings.waiter_timeout_s or name not in members
        ]
        for name in stale:
            del queue[name]

    def _first_in_queue(self, now: float, slot: str) -> str:
        """Return the next holder: a waiter that was overtaken too often, else by priority and waiting time."""

        def rank(item: tuple[str, _Waiter]) -> tuple[bool, int, str]:
            name, waiter = item
            # Whole steps make all voters use the same order. Proposals that are sent at the same time reach the voters
            # in different orders, and with exact waiting times they would split the votes again and again.
            aged_priority = waiter.priority + int((now - waiter.waiting_since) / self.settings.priority_aging_s)
            return waiter.overtaken_count < self.settings.max_overtakes, -aged_priority, name

        return min(self._waiters[slot].items(), key=rank)[0]

    def _dequeue(self, slot: str, proposer: str, granted: _Waiter) -> None:
        queue = self._waiters[slot]
        for name, waiter in queue.items():
            if name != proposer and waiter.waiting_since + self.settings.simultaneous_window_s < granted.waiting_since:
                waiter.overtaken_count += 1
        del queue[proposer]
