"""Incarnations of hosts: one that returns in time is the same host in a new incarnation. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec


class Presence(msgspec.Struct, frozen=True):
    """One host in the list; incarnations count from 1. Times are those that were passed in, in seconds."""

    name: str
    incarnation: int
    joined: float
    left: float | None = None


class PresenceTracker:
    """The hosts that are present, and for a while those that left."""

    def __init__(self, return_window_s: float, max_left: int) -> None:
        self.present: dict[str, Presence] = {}
        self._left: OrderedDict[str, Presence] = OrderedDict()  # the oldest first
        self._return_window_s = return_window_s
        self._max_left = max_left

    def apply(self, now: float, joined: Iterable[str], left: Iterable[str]) -> list[Presence]:
        """Apply a change of the list; return those of the joined that have returned."""
        for name in left:
            if (removed := self.present.pop(name, None)) is not None:
                self._left.pop(name, None)
                self._left[name] = msgspec.structs.replace(removed, left=now)
        self._expire(now)
        returned: list[Presence] = []
        for name in joined:
            earlier = self._left.pop(name, None)
            presence = Presence(name, earlier.incarnation + 1 if earlier else 1, now)
            self.present[name] = presence
            if earlier is not None:
                returned.append(presence)
        return returned

    def _expire(self, now: float) -> None:
        """Bound the memory: a fleet whose hosts are replaced over and over has no end of names."""
        while self._left:
            oldest = next(iter(self._left.values()))
            in_window = oldest.left is not None and now - oldest.left <= self._return_window_s
            if len(self._left) <= self._max_left and in_window:
                return
            self._left.popitem(last=False)
