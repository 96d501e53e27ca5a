"""The leases that owners at this member request, and this member's part as a proposer and voter. No I/O.

Owners are programs at this member's host. Each one requests a lease by name, repeats the request while it needs the
lease, and releases it. The manager picks a slot for each request and runs its proposer.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from lapispick.members.configurations import Configurations
from lapispick.members.failure_detector import FailureDetector, Outgoing, RandomSource
from lapispick.members.lease_proposer import LeaseProposer
from lapispick.members.lease_slots import LeaseSlots
from lapispick.members.lease_voter import LeaseVoter
from lapispick.members.leases import LeaseProposal, LeaseRelease, LeaseSettings, LeaseVote
from lapispick.members.messages import LeaseProposalMessage, LeaseReleaseMessage, LeaseVoteMessage, Message


class LeaseEventKind(enum.StrEnum):
    """What happened to a lease."""

    ACQUIRED = "acquired"
    RENEWED = "renewed"
    LOST = "lost"
    RELEASED = "released"
    ABANDONED = "abandoned"  # its owner stopped requesting it; it is left to expire


class LeaseEvent(NamedTuple):
    """Something happened to a lease; ``expires_at`` is by this member's clock."""

    kind: LeaseEventKind
    slot: str
    fencing_token: int
    expires_at: float
    owner: str = ""


class LeaseStatus(NamedTuple):
    """A requested lease: ``fencing_token`` is 0 while it is waited for, ``remaining_s`` the time to act under it."""

    lease: str
    slot: str
    fencing_token: int
    remaining_s: float
    owner: str = ""


class _Request(msgspec.Struct):
    lease: str
    owner: str
    priority: int
    last_requested: float
    since: float
    slot_count: int
    slot_index: int
    proposer: LeaseProposer


class LeaseManager:
    """All lease requests of one member. ``slot_counts``: how many may hold each named lease."""

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
        self._max_requests = max_requests
        self._rng = rng
        self._requests: dict[tuple[str, str], _Request] = {}  # by lease and owner
        self._events: list[LeaseEvent] = []

    def __len__(self) -> int:
        return len(self._requests)

    # Owners.

    def request(self, now: float, lease: str, owner: str, priority: int = 0) -> LeaseStatus | None:
        """Request a lease, or repeat a request; None for an unknown lease or too many requests.

        The owner acts under the fencing token, and stops before ``remaining_s`` is over.
        """
        request = self._requests.get((lease, owner))
        if request is None:
            request = self._add_request(now, lease, owner, priority)
            if request is None:
                return None
        request.last_requested = now
        request.priority = priority
        proposer = request.proposer
        if not proposer.holds(now):
            return LeaseStatus(lease, proposer.slot, 0, 0.0, owner)
        return LeaseStatus(lease, proposer.slot, proposer.fencing_token, proposer.expires_at - now, owner)

    def _add_request(self, now: float, lease: str, owner: str, priority: int) -> _Request | None:
        slot_count = self.slots.count(lease)
        if not slot_count or len(self._requests) >= self._max_requests or self._view.replaced:
            return None
        slot_index = int(self._rng.random() * slot_count) if slot_count > 1 else 0
        proposer = self.slots.new_proposer(lease, slot_index, priority)
        request = _Request(lease, owner, priority, now, now, slot_count, slot_index, proposer)
        self._requests[lease, owner] = request
        return request

    def release(self, now: float, lease: str, owner: str) -> list[Outgoing]:
        """Release a lease, or withdraw a request."""
        request = self._requests.pop((lease, owner), None)
        return [] if request is None else self._withdraw(now, request, LeaseEventKind.RELEASED)

    def statuses(self, now: float) -> list[LeaseStatus]:
        """Return all requests of this member's owners."""
        return [
            LeaseStatus(
                request.lease,
                request.proposer.slot,
                request.proposer.fencing_token if request.proposer.holds(now) else 0,
                max(0.0, request.proposer.expires_at - now),
                request.owner,
            )
            for request in self._requests.values()
        ]

    def take_events(self) -> list[LeaseEvent]:
        """Return what happened to leases since the last call."""
        events = self._events
        self._events = []
        return events

    # Time.

    def next_tick_at(self) -> float:
        """Return when the next call of ``tick`` has something to do."""
        return min((request.proposer.next_tick_at() for request in self._requests.values()), default=float("inf"))

    def tick(self, now: float) -> list[Outgoing]:
        """Propose, renew and give up what is due."""
        outgoing = []
        for request in list(self._requests.values()):
            if now - request.last_requested >= self._owner_timeout_s:
                outgoing += self._abandon(now, request)
            elif request.proposer.fencing_token or self._may_propose(now, request):
                outgoing += self._tick_proposer(now, request)
        return outgoing

    def _tick_proposer(self, now: float, request: _Request) -> list[Outgoing]:
        proposer = request.proposer
        token_before = proposer.fencing_token
        proposer.priority = request.priority
        due = proposer.tick(now, self._rng.random())
        if token_before and not proposer.fencing_token:
            self._record(LeaseEventKind.LOST, request, token_before, now)
        if isinstance(due, LeaseRelease) and request.slot_count > 1:  # another proposer has that slot
            self._use_slot(request, (request.slot_index + 1) % request.slot_count)
            due = msgspec.structs.replace(due, leaves_queue=True)
        return [] if due is None else self._send_to_voters(now, due)

    def _abandon(self, now: float, request: _Request) -> list[Outgoing]:
        """Drop the request of a silent owner. A lease is not released: the owner may still act under it.

        It expires, as it is not renewed; until then no other owner at this member obtains the slot either.
        """
        del self._requests[request.lease, request.owner]
        proposer = request.proposer
        if not proposer.fencing_token:
            return self._withdraw(now, request, LeaseEventKind.ABANDONED)
        self._record(LeaseEventKind.ABANDONED, request, proposer.fencing_token, proposer.expires_at)
        self.slots.retire(proposer)
        self.slots.abandon(proposer.slot, proposer.expires_at)
        return []

    def lose_all(self, now: float) -> None:
        """Drop all requests: another process has this member's name, and may hold the leases."""
        for request in self._requests.values():
            if request.proposer.holds(now):
                self._record(LeaseEventKind.LOST, request, request.proposer.fencing_token, now)
        self._requests.clear()

    # Slots.

    def _may_propose(self, now: float, request: _Request) -> bool:
        """Tell whether a request may propose now; it is moved to a slot that no other request here uses.

        Ballots carry the member's name, so voters would grant one slot to two of its owners.
        """
        others = [other for other in self._requests.values() if other is not request and other.lease == request.lease]
        if any(not other.proposer.fencing_token and _is_older(other, request) for other in others):
            return False
        used = {other.slot_index for other in others if other.proposer.fencing_token}
        used |= self.slots.abandoned(request.lease, now)
        if request.slot_index not in used:
            return True
        free = [index for index in range(request.slot_count) if index not in used]
        if free:
            self._use_slot(request, free[0])
        return bool(free)

    def _use_slot(self, request: _Request, slot_index: int) -> None:
        self.slots.retire(request.proposer)
        request.slot_index = slot_index
        request.proposer = self.slots.new_proposer(request.lease, slot_index, request.priority)
        request.proposer.set_waiting_since(request.since)

    # Messages.

    def receive(self, now: float, message: Message) -> list[Outgoing]:
        """Take a message about leases and return the answers; other messages are ignored."""
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
        for request in self._requests.values():
            if request.proposer.slot == release.slot:  # each at its own moment
                request.proposer.retry_within(now, self._rng.random() * self.settings.retry_delay_s / 2)

    def _record_vote(self, now: float, voter: str, vote: LeaseVote) -> None:
        for request in self._requests.values():
            proposer = request.proposer
            if proposer.slot != vote.slot:
                continue
            token_before = proposer.fencing_token
            if proposer.record_vote(now, voter, vote):
                is_renewal = token_before == proposer.fencing_token
                kind = LeaseEventKind.RENEWED if is_renewal else LeaseEventKind.ACQUIRED
                self._record(kind, request, proposer.fencing_token, proposer.expires_at)

    def _withdraw(self, now: float, request: _Request, kind: LeaseEventKind) -> list[Outgoing]:
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

    def _record(self, kind: LeaseEventKind, request: _Request, fencing_token: int, expires_at: float) -> None:
        self._events.append(LeaseEvent(kind, request.proposer.slot, fencing_token, expires_at, request.owner))


def _is_older(one: _Request, other: _Request) -> bool:
    return (one.since, one.owner) < (other.since, other.owner)
