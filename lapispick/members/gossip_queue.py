"""Gossip updates that wait to be sent, piggybacked on other messages. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil, log10

import msgspec

from lapispick.members.messages import MAX_UPDATES, GossipUpdate


def transmission_count(factor: float, cluster_size: int) -> int:
    """Return how often an update is sent by each member, so that it reaches all members with high probability."""
    return ceil(factor * max(1.0, log10(cluster_size + 1)))


class _Queued(msgspec.Struct):
    update: GossipUpdate
    transmissions_left: int


class GossipQueue:
    """The latest update about each member, with the number of transmissions that are left."""

    def __init__(self, retransmit_factor: float) -> None:
        self._retransmit_factor = retransmit_factor
        self._queued: dict[str, _Queued] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, update: GossipUpdate, cluster_size: int) -> None:
        """Queue an update, in place of an earlier one about the same member."""
        self._queued[update.name] = _Queued(update, transmission_count(self._retransmit_factor, cluster_size))

    def discard(self, name: str) -> None:
        """Drop the update about a member."""
        self._queued.pop(name, None)

    def take(self) -> Iterable[GossipUpdate]:
        """Return the updates for one message, those sent least often first, and count their transmission."""
        if not self._queued:
            return ()
        chosen = nsmallest(
            MAX_UPDATES, self._queued.values(), key=lambda each: (-each.transmissions_left, each.update.name)
        )
        for each in chosen:
            each.transmissions_left -= 1
            if each.transmissions_left <= 0:
                del self._queued[each.update.name]
        return [each.update for each in chosen]
