"""Tracks which hosts the list contains, and their incarnations. No I/O, no clock.

A host that returns to the list within a time window keeps its identity and gets a new incarnation.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec


class Presence(msgspec.Struct, frozen=True):
    """Presence of one host in the list; times are in seconds of the caller's clock."""

    name: str
    incarnation: int  # counts from 1
    joined_at: float
    left_at: float | None = None


class PresenceTracker:
    """Hosts that are in the list, and for a limited time those that left it."""

    def __init__(self, return_window_s: float, max_departed: int) -> None:
        self.present: dict[str, Presence] = {}
        self._departed: OrderedDict[str, Presence] = OrderedDict()  # the oldest first
        self._return_window_s = return_window_s
        self._max_departed = max_departed

    def apply(self, now: float, joined: Iterable[str], left: Iterable[str]) -> list[Presence]:
        """Apply a change of the list; return the hosts that joined and had left within the return window."""
        for name in left:
            if (removed := self.present.pop(name, None)) is not None:
                self._departed.pop(name, None)
                self._departed[name] = msgspec.structs.replace(removed, left_at=now)
        self._expire(now)
        returned: list[Presence] = []
        for name in joined:
            earlier = self._departed.pop(name, None)
            presence = Presence(name, earlier.incarnation + 1 if earlier else 1, now)
            self.present[name] = presence
            if earlier is not None:
                returned.append(presence)
        return returned

    def _expire(self, now: float) -> None:
        """Remove departed hosts that are too old or too many.

        Without a bound, memory would grow in a fleet that keeps replacing hosts under new names.
        """
        while self._departed:
            oldest = next(iter(self._departed.values()))
            in_window = oldest.left_at is not None and now - oldest.left_at <= self._return_window_s
            if len(self._departed) <= self._max_departed and in_window:
                return
            self._departed.popitem(last=False)
