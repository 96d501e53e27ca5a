"""The slots of the named leases, and what one member remembers of them between its proposals. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from lapispick.members.configurations import Configurations
from lapispick.members.lease_proposer import LeaseProposer
from lapispick.members.leases import LeaseSettings
from lapispick.members.membership_view import MembershipView

BALLOTS_PER_EPOCH = 1000  # epochs are at least a second apart, and proposals hardly less
MAX_INDEX_DIGITS = 5


def slot_name(lease: str, index: int) -> str:
    """Return the name of a slot, as it is sent."""
    return f"{lease}/{index}"


class LeaseSlots:
    """The slots of all leases; ``counts`` says how many each named lease has."""

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
        """Tell whether a slot exists; keeps the voter's tables bounded."""
        lease, _, index = slot.partition("/")
        is_index = index.isdecimal() and len(index) <= MAX_INDEX_DIGITS
        return is_index and int(index) < self.count(lease)

    def new_proposer(self, lease: str, index: int, priority: int) -> LeaseProposer:
        """Return a proposer that continues with the ballot numbers of the slot's earlier ones."""
        slot = slot_name(lease, index)
        # Epochs grow with time, so fencing tokens increase even after all voters lost their state.
        epoch = self._view.process_epoch
        highest = max(self._highest_ballots.get(slot, 0), epoch * BALLOTS_PER_EPOCH)
        return LeaseProposer(self._view.name, epoch, slot, self._settings, self._configurations, priority, highest)

    def retire(self, proposer: LeaseProposer) -> None:
        """Remember the ballot numbers of a proposer that is used no more."""
        self._highest_ballots[proposer.slot] = proposer.highest_ballot_number

    def abandon(self, slot: str, expires_at: float) -> None:
        """Reserve a slot whose owner fell silent, and may act under the lease until it expires."""
        self._abandoned_until[slot] = expires_at

    def abandoned(self, lease: str, now: float) -> set[int]:
        """Return the indexes of a lease's reserved slots."""
        return {
            index for index in range(self.count(lease)) if self._abandoned_until.get(slot_name(lease, index), now) > now
        }
