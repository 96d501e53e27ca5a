"""The clock that all parts of the core and the decision module share."""

from __future__ import annotations

import time


class Clock:
    """Unix time in ms, the same for all events of one batch; it never goes backwards."""

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0.0

    def advance(self) -> None:
        """Set the time to the current time, unless that is earlier."""
        self.now = max(self.now, time.time() * 1000)
