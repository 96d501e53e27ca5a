"""What is given up when room for keys runs short: results, never the word that a key ran. No I/O, no clock.

A popular or large result must not push out the guard of another key: without it that key would run twice. So guards
have a part of the room that results cannot take, and new keys are turned away when guards fill all there is.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

GUARD = 200  # bytes that a key takes without its result, index and all: 431 with one of 300 (docs/MEASUREMENTS.md)
RESULTS_PART = 0.5  # of the room, at most for results


class Room(msgspec.Struct):
    """How much is taken, and by what."""

    most: int  # bytes
    guards: int = 0  # keys
    results: int = 0  # bytes
    sizes: OrderedDict[bytes, int] = msgspec.field(default_factory=OrderedDict)  # of results, the oldest first

    def admits(self) -> bool:
        """Tell whether one more key may be guarded."""
        return (self.guards + 1) * GUARD <= self.most

    def guard(self) -> list[bytes]:
        """Take room for a key; return the keys whose results go for it."""
        self.guards += 1
        return self._spare()

    def keep(self, key: bytes, size: int) -> list[bytes] | None:
        """Take room for a result; return the keys whose results go for it, None where this one has none itself."""
        if size > self.most * RESULTS_PART:
            return None
        self.results += size - self.sizes.pop(key, 0)
        self.sizes[key] = size
        return self._spare()

    def drop(self, key: bytes) -> None:
        """Give a key's room back once its window is over."""
        self.guards -= 1
        self.results -= self.sizes.pop(key, 0)

    def _spare(self) -> list[bytes]:
        gone = []
        limit = min(self.most * RESULTS_PART, self.most - self.guards * GUARD)
        while self.results > limit and self.sizes:
            key, size = self.sizes.popitem(last=False)
            self.results -= size
            gone.append(key)
        return gone
