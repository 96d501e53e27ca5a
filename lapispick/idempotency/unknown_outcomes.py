"""Which requests may have been executed by a process that left no record of them. No I/O, no clock.

Where a process ended without its last message, everything that it may have read is of unknown outcome for one
idempotency window: requests created before its end, and all retries. Times are Unix ms.
"""

from __future__ import annotations


class UnknownOutcomes:
    """The latest end of such a process."""

    def __init__(self, window_ms: float) -> None:
        self.ended_at_ms = 0.0  # 0: there was none
        self._window_ms = window_ms

    def mark_until(self, ended_at_ms: float) -> None:
        """Note when such a process ended; 0 = none did."""
        self.ended_at_ms = max(self.ended_at_ms, ended_at_ms)

    def covers(self, created_at_ms: float, is_retry: bool) -> bool:
        """Tell whether an attempt's request may have been executed by such a process."""
        if not self.ended_at_ms > 0 or created_at_ms >= self.ended_at_ms + self._window_ms:
            return False
        return is_retry or created_at_ms <= self.ended_at_ms
