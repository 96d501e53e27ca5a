"""Lease requests of the owners at one member, and the slot that each request uses. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from lapispick.members.failure_detector import RandomSource
from lapispick.members.lease_proposer import LeaseProposer
from lapispick.members.lease_slots import LeaseSlots


class LeaseStatus(NamedTuple):
    """Status of a requested lease.

    ``fencing_token`` is 0 while the owner waits for the lease, ``remaining_s`` is the time for which it may be used.
    """

    lease: str
    slot: str
    fencing_token: int
    remaining_s: float
    owner: str = ""


class LeaseRequest(msgspec.Struct):
    """Request of an owner for a lease; ``last_requested_at`` is when the owner last made or repeated it."""

    lease: str
    owner: str
    priority: int
    last_requested_at: float
    requested_at: float
    slot_count: int
    slot_index: int
    proposer: LeaseProposer

    def status(self, now: float) -> LeaseStatus:
        """Return the status of the lease for its owner."""
        proposer = self.proposer
        if not proposer.holds(now):
            return LeaseStatus(self.lease, proposer.slot, 0, 0.0, self.owner)
        return LeaseStatus(self.lease, proposer.slot, proposer.fencing_token, proposer.expires_at - now, self.owner)

    def is_older_than(self, other: LeaseRequest) -> bool:
        """Return True if this request precedes the other one while both wait for a slot."""
        return (self.requested_at, self.owner) < (other.requested_at, other.owner)


class LeaseRequests:
    """Lease requests of the owners at one member, at most ``max_requests``."""

    def __init__(self, slots: LeaseSlots, max_requests: int, rng: RandomSource) -> None:
        self._slots = slots
        self._max_requests = max_requests
        self._rng = rng
        self._requests: dict[tuple[str, str], LeaseRequest] = {}  # by lease and owner

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[LeaseRequest]:
        return iter(self._requests.values())

    def find(self, lease: str, owner: str) -> LeaseRequest | None:
        """Return the request of an owner for a lease; None if there is none."""
        return self._requests.get((lease, owner))

    def add(self, now: float, lease: str, owner: str, priority: int) -> LeaseRequest | None:
        """Add a request for a random slot; return None for an unknown lease or if there are too many requests."""
        slot_count = self._slots.count(lease)
        if not slot_count or len(self._requests) >= self._max_requests:
            return None
        slot_index = int(self._rng.random() * slot_count) if slot_count > 1 else 0
        proposer = self._slots.new_proposer(lease, slot_index, priority)
        request = LeaseRequest(lease, owner, priority, now, now, slot_count, slot_index, proposer)
        self._requests[lease, owner] = request
        return request

    def remove(self, lease: str, owner: str) -> LeaseRequest | None:
        """Remove a request and return it; None if there is none."""
        return self._requests.pop((lease, owner), None)

    def clear(self) -> None:
        """Remove all requests."""
        self._requests.clear()

    def may_propose(self, now: float, request: LeaseRequest) -> bool:
        """Return True if a request may propose now, after moving it to a slot that no other request here uses.

        Ballots carry the name of the member, not of the owner, so voters would grant one slot to two of its owners.
        """
        others = [other for other in self if other is not request and other.lease == request.lease]
        if any(not other.proposer.fencing_token and other.is_older_than(request) for other in others):
            return False
        used = {other.slot_index for other in others if other.proposer.fencing_token}
        used |= self._slots.abandoned(request.lease, now)
        if request.slot_index not in used:
            return True
        free = [index for index in range(request.slot_count) if index not in used]
        if free:
            self._move_to_slot(request, free[0])
        return bool(free)

    def move_to_next_slot(self, request: LeaseRequest) -> None:
        """Move a request to the next slot of its lease, because another member holds the current one."""
        self._move_to_slot(request, (request.slot_index + 1) % request.slot_count)

    def _move_to_slot(self, request: LeaseRequest, slot_index: int) -> None:
        self._slots.retire(request.proposer)
        request.slot_index = slot_index
        request.proposer = self._slots.new_proposer(request.lease, slot_index, request.priority)
        request.proposer.set_waiting_since(request.requested_at)
