"""Queue of gossip updates that are sent piggybacked on other messages. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil, log10

import msgspec

from lapispick.members.messages import MAX_UPDATES, GossipUpdate


def transmission_count(factor: float, cluster_size: int) -> int:
    """Return the number of times each member sends an update, so that it reaches all with high probability."""
    return ceil(factor * max(1.0, log10(cluster_size + 1)))


class _QueuedUpdate(msgspec.Struct):
    update: GossipUpdate
    transmissions_left: int


class GossipQueue:
    """Latest update about each member, with the number of transmissions left."""

    def __init__(self, retransmit_factor: float) -> None:
        self._retransmit_factor = retransmit_factor
        self._queued: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, update: GossipUpdate, cluster_size: int) -> None:
        """Queue an update; it replaces an earlier one about the same member."""
        self._queued[update.name] = _QueuedUpdate(update, transmission_count(self._retransmit_factor, cluster_size))

    def discard(self, name: str) -> None:
        """Drop the update about a member."""
        self._queued.pop(name, None)

    def take(self) -> Iterable[GossipUpdate]:
        """Return the updates for one message, the least transmitted first, and count these transmissions."""
        if not self._queued:
            return ()
        chosen = nsmallest(
            MAX_UPDATES, self._queued.values(), key=lambda entry: (-entry.transmissions_left, entry.update.name)
        )
        for entry in chosen:
            entry.transmissions_left -= 1
            if entry.transmissions_left <= 0:
                del self._queued[entry.update.name]
        return [entry.update for entry in chosen]
