"""Requests that an ended process may have executed without passing on a record of them. No I/O, no clock.

If a process ends without ``HandoverComplete``, the outcome of every request that it may have read is unknown for one
idempotency window. These are the requests created before its end, and all retries. Where retries are not marked, any
request created within the window may be a retry. That is counted only if the process ended in an upgrade, in which both
processes are one worker host; after a restart it would fail all keyed requests for a window. Times are in Unix ms.
"""

from __future__ import annotations


class UnknownOutcomes:
    """Requests of unknown outcome, by the latest time at which a process ended without passing on its records."""

    def __init__(self, window_ms: float) -> None:
        self.ended_at_ms = 0.0  # 0: no process ended without passing on its records
        self._ended_in_upgrade_at_ms = 0.0  # 0: none did in an upgrade
        self._window_ms = window_ms

    def record_process_end(self, ended_at_ms: float, in_upgrade: bool = False) -> None:
        """Record when a process ended without passing on its records; 0 = none did."""
        self.ended_at_ms = max(self.ended_at_ms, ended_at_ms)
        if in_upgrade:
            self._ended_in_upgrade_at_ms = max(self._ended_in_upgrade_at_ms, ended_at_ms)

    def covers(self, created_at_ms: float, is_retry: bool, retries_are_marked: bool = True) -> bool:
        """Return True if a process may have executed the request of this attempt without passing on the record."""
        if not retries_are_marked and self._is_in_window(created_at_ms, self._ended_in_upgrade_at_ms):
            return True
        if not self._is_in_window(created_at_ms, self.ended_at_ms):
            return False
        return is_retry or created_at_ms <= self.ended_at_ms

    def _is_in_window(self, created_at_ms: float, ended_at_ms: float) -> bool:
        return ended_at_ms > 0 and created_at_ms < ended_at_ms + self._window_ms
