"""Leases that owners at this member request, and this member's role as a proposer and voter. No I/O.

Owners are programs on this member's host. An owner requests a lease by name, repeats the request while it needs the
lease, and then releases it. The manager selects a slot for each request and runs its proposer.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from lapispick.members.configurations import Configurations
from lapispick.members.failure_detector import FailureDetector, Outgoing, RandomSource
from lapispick.members.lease_requests import LeaseRequest, LeaseRequests, LeaseStatus
from lapispick.members.lease_slots import LeaseSlots
from lapispick.members.lease_voter import LeaseVoter
from lapispick.members.leases import LeaseProposal, LeaseRelease, LeaseSettings, LeaseVote
from lapispick.members.messages import LeaseProposalMessage, LeaseReleaseMessage, LeaseVoteMessage, Message


class LeaseEventKind(enum.StrEnum):
    """Kind of a lease event."""

    ACQUIRED = "acquired"
    RENEWED = "renewed"
    LOST = "lost"
    RELEASED = "released"
    ABANDONED = "abandoned"  # the owner stopped requesting it; it is not released but expires


class LeaseEvent(NamedTuple):
    """Event of a lease; ``expires_at`` is a time of this member's clock."""

    kind: LeaseEventKind
    slot: str
    fencing_token: int
    expires_at: float
    owner: str = ""


class LeaseManager:
    """Lease requests of one member. ``slot_counts`` is the number of concurrent holders by the name of the lease."""

    def __init__(
        self,
        detector: FailureDetector,
        configurations: Configurations,
        voter: LeaseVoter,
        slot_counts: Mapping[str, int],
        settings: LeaseSettings,
        owner_timeout_s: float,
        max_requests: int,
        rng: RandomSource,
    ) -> None:
        self.voter = voter
        self.configurations = configurations
        self.settings = settings
        self.slots = LeaseSlots(detector.view, configurations, slot_counts, settings)
        self._view = detector.view
        self._build = detector.build
        self._owner_timeout_s = owner_timeout_s
        self._rng = rng
        self._requests = LeaseRequests(self.slots, max_requests, rng)
        self._events: list[LeaseEvent] = []

    def __len__(self) -> int:
        return len(self._requests)

    # Owners.

    def request(self, now: float, lease: str, owner: str, priority: int = 0) -> LeaseStatus | None:
        """Request a lease, or repeat a request; return None for an unknown lease or if there are too many requests.

        The owner uses the lease with its fencing token, and stops before ``remaining_s`` has passed.
        """
        request = self._requests.find(lease, owner)
        if request is None and not self._view.replaced:
            request = self._requests.add(now, lease, owner, priority)
        if request is None:
            return None
        request.last_requested_at = now
        request.priority = priority
        return request.status(now)

    def release(self, now: float, lease: str, owner: str) -> list[Outgoing]:
        """Release a lease, or withdraw the request for it; return the messages to send."""
        request = self._requests.remove(lease, owner)
        return [] if request is None else self._withdraw(now, request, LeaseEventKind.RELEASED)

    def statuses(self, now: float) -> list[LeaseStatus]:
        """Return the status of each request."""
        return [request.status(now) for request in self._requests]

    def take_events(self) -> list[LeaseEvent]:
        """Return the lease events since the last call, and clear them."""
        events = self._events
        self._events = []
        return events

    # Timing.

    def next_tick_at(self) -> float:
        """Return the time when ``tick`` is next due, in monotonic seconds."""
        return min((request.proposer.next_tick_at() for request in self._requests), default=float("inf"))

    def tick(self, now: float) -> list[Outgoing]:
        """Send due proposals and renewals, and drop the requests of owners that stopped repeating them."""
        outgoing = []
        for request in list(self._requests):
            if now - request.last_requested_at >= self._owner_timeout_s:
                outgoing += self._abandon(now, request)
            elif request.proposer.fencing_token or self._requests.may_propose(now, request):
                outgoing += self._tick_proposer(now, request)
        return outgoing

    def _tick_proposer(self, now: float, request: LeaseRequest) -> list[Outgoing]:
        proposer = request.proposer
        token_before = proposer.fencing_token
        proposer.priority = request.priority
        due = proposer.tick(now, self._rng.random())
        if token_before and not proposer.fencing_token:
            self._record(LeaseEventKind.LOST, request, token_before, now)
        if isinstance(due, LeaseRelease) and request.slot_count > 1:  # another proposer holds that slot
            self._requests.move_to_next_slot(request)
            due = msgspec.structs.replace(due, leaves_queue=True)
        return [] if due is None else self._send_to_voters(now, due)

    def _abandon(self, now: float, request: LeaseRequest) -> list[Outgoing]:
        """Drop the request of an owner that stopped repeating it.

        A lease that it holds is not released, because the owner may still use it. The lease is no longer renewed and
        expires. Until then no other owner at this member obtains the slot either.
        """
        self._requests.remove(request.lease, request.owner)
        proposer = request.proposer
        if not proposer.fencing_token:
            return self._withdraw(now, request, LeaseEventKind.ABANDONED)
        self._record(LeaseEventKind.ABANDONED, request, proposer.fencing_token, proposer.expires_at)
        self.slots.retire(proposer)
        self.slots.abandon(proposer.slot, proposer.expires_at)
        return []

    def lose_all(self, now: float) -> None:
        """Drop all requests, because another process uses this member's name and may hold the leases."""
        for request in self._requests:
            if request.proposer.holds(now):
                self._record(LeaseEventKind.LOST, request, request.proposer.fencing_token, now)
        self._requests.clear()

    # Messages.

    def receive(self, now: float, message: Message) -> list[Outgoing]:
        """Process a message about leases and return the answers; other messages are ignored."""
        if isinstance(message, LeaseProposalMessage):
            return self._receive_proposal(now, message)
        if isinstance(message, LeaseVoteMessage) and message.vote is not None:
            self._record_vote(now, message.sender, message.vote)
        elif isinstance(message, LeaseReleaseMessage) and message.release is not None:
            self._receive_release(now, message.sender, message.release)
        return []

    def _receive_proposal(self, now: float, message: LeaseProposalMessage) -> list[Outgoing]:
        proposal = message.proposal
        if proposal is None or proposal.ballot.proposer != message.sender:
            return []
        if proposal.process_epoch != message.process_epoch or not self.slots.exists(proposal.slot):
            return []
        vote = self.voter.vote(now, proposal)
        return [Outgoing(message.sender, self._build(LeaseVoteMessage, message.sender, vote=vote))]

    def _receive_release(self, now: float, sender: str, release: LeaseRelease) -> None:
        if release.ballot.proposer != sender:
            return
        self.voter.release(release)
        if not release.was_held:
            return
        for request in self._requests:
            if request.proposer.slot == release.slot:  # the random delays keep them from proposing at the same time
                request.proposer.retry_within(now, self._rng.random() * self.settings.retry_delay_s / 2)

    def _record_vote(self, now: float, voter: str, vote: LeaseVote) -> None:
        for request in self._requests:
            proposer = request.proposer
            if proposer.slot != vote.slot:
                continue
            token_before = proposer.fencing_token
            if proposer.record_vote(now, voter, vote):
                is_renewal = token_before == proposer.fencing_token
                kind = LeaseEventKind.RENEWED if is_renewal else LeaseEventKind.ACQUIRED
                self._record(kind, request, proposer.fencing_token, proposer.expires_at)

    def _withdraw(self, now: float, request: LeaseRequest, kind: LeaseEventKind) -> list[Outgoing]:
        proposer = request.proposer
        if proposer.fencing_token:
            self._record(kind, request, proposer.fencing_token, now)
        release = proposer.release()
        self.slots.retire(proposer)
        return [] if release is None else self._send_to_voters(now, release)

    def _send_to_voters(self, now: float, content: LeaseProposal | LeaseRelease) -> list[Outgoing]:
        """Send a proposal or a release to all voters, this member included."""
        voters = self.configurations.all_members()
        others = sorted(voters - {self._view.name})
        if isinstance(content, LeaseRelease):
            self.voter.release(content)
            return [Outgoing(name, self._build(LeaseReleaseMessage, name, release=content)) for name in others]
        if self._view.name in voters:
            self._record_vote(now, self._view.name, self.voter.vote(now, content))
        return [Outgoing(name, self._build(LeaseProposalMessage, name, proposal=content)) for name in others]

    def _record(self, kind: LeaseEventKind, request: LeaseRequest, fencing_token: int, expires_at: float) -> None:
        self._events.append(LeaseEvent(kind, request.proposer.slot, fencing_token, expires_at, request.owner))
