"""Requests that an ended process may have executed without passing on a record of them. No I/O, no clock.

If a process ends without ``HandoverComplete``, the outcome of every request that it may have read is unknown for one
idempotency window. These are the requests created before its end, and all retries. Times are in Unix ms.
"""

from __future__ import annotations


class UnknownOutcomes:
    """Requests of unknown outcome, by the latest time at which a process ended without passing on its records."""

    def __init__(self, window_ms: float) -> None:
        self.ended_at_ms = 0.0  # 0: no process ended without passing on its records
        self._window_ms = window_ms

    def record_process_end(self, ended_at_ms: float) -> None:
        """Record when a process ended without passing on its records; 0 = none did."""
        self.ended_at_ms = max(self.ended_at_ms, ended_at_ms)

    def covers(self, created_at_ms: float, is_retry: bool) -> bool:
        """Return True if a process may have executed the request of this attempt without passing on the record."""
        if not self.ended_at_ms > 0 or created_at_ms >= self.ended_at_ms + self._window_ms:
            return False
        return is_retry or created_at_ms <= self.ended_at_ms
