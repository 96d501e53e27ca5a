"""The time that all parts of the core and the decision module see."""

from __future__ import annotations

import time


class Clock:
    """Unix time in ms, the same for all events of one batch; it never goes back."""

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0.0

    def advance(self) -> None:
        """Move on to the present."""
        self.now = max(self.now, time.time() * 1000)
