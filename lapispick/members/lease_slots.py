"""Slots of the named leases, and the state that one member keeps of them between its proposals. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from lapispick.members.configurations import Configurations
from lapispick.members.lease_proposer import LeaseProposer
from lapispick.members.leases import LeaseSettings
from lapispick.members.membership_view import MembershipView

BALLOTS_PER_EPOCH = 1000  # epochs, and nearly also the proposals for a slot, are at least 1 s apart
MAX_INDEX_DIGITS = 5


def slot_name(lease: str, index: int) -> str:
    """Return the name of a slot on the wire."""
    return f"{lease}/{index}"


class LeaseSlots:
    """Slots of all leases; ``counts`` is the number of slots by the name of the lease."""

    def __init__(
        self,
        view: MembershipView,
        configurations: Configurations,
        counts: Mapping[str, int],
        settings: LeaseSettings,
    ) -> None:
        self.counts = dict(counts)
        self._view = view
        self._configurations = configurations
        self._settings = settings
        self._highest_ballots: dict[str, int] = {}  # by slot
        self._abandoned_until: dict[str, float] = {}  # by slot

    def count(self, lease: str) -> int:
        """Return the number of slots of a lease; 0 for an unknown one."""
        return self.counts.get(lease, 0)

    def exists(self, slot: str) -> bool:
        """Return True if a slot exists. Voters reject other names, which keeps their tables bounded."""
        lease, _, index = slot.partition("/")
        is_index = index.isdecimal() and len(index) <= MAX_INDEX_DIGITS
        return is_index and int(index) < self.count(lease)

    def new_proposer(self, lease: str, index: int, priority: int) -> LeaseProposer:
        """Return a proposer whose ballot numbers continue those of earlier proposers of the slot."""
        slot = slot_name(lease, index)
        # Process epochs increase with time, so fencing tokens increase even after all voters lost their state.
        epoch = self._view.process_epoch
        highest = max(self._highest_ballots.get(slot, 0), epoch * BALLOTS_PER_EPOCH)
        return LeaseProposer(self._view.name, epoch, slot, self._settings, self._configurations, priority, highest)

    def retire(self, proposer: LeaseProposer) -> None:
        """Store the highest ballot number of a proposer that is no longer used."""
        self._highest_ballots[proposer.slot] = proposer.highest_ballot_number

    def abandon(self, slot: str, expires_at: float) -> None:
        """Reserve a slot whose owner stopped its requests, but may use the lease until it expires."""
        self._abandoned_until[slot] = expires_at

    def abandoned(self, lease: str, now: float) -> set[int]:
        """Return the indexes of the reserved slots of a lease."""
        return {
            index for index in range(self.count(lease)) if self._abandoned_until.get(slot_name(lease, index), now) > now
        }
