"""Admission of durable writes by deadline, and backoff while the disk fails. No I/O, no clock.

Writes share syncs (group commit): a write that arrives during a sync waits for it and for the next one. The latency of
a sync is estimated by an exponentially weighted mean and mean deviation, as in TCP's retransmission timer (RFC 6298).
A sync that hangs does not update them, so the time that the current sync has taken is considered too. All times are
in ms.
"""

from __future__ import annotations

from enum import Enum

import msgspec

DECAY = 0.9  # weight of the previous mean and deviation at each sync
MAX_DEVIATIONS = 3.0  # the longest expected sync is this many mean deviations above the mean
MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 10_000.0
MAX_COUNTED_FAILURES = 20  # bounds the power of two in the backoff


class DiskHealth(Enum):
    """Health of the disk."""

    HEALTHY = "healthy"
    FAILED = "failed"  # the last sync failed, so it is unknown what was written
    UNAVAILABLE = "unavailable"  # full, read-only or owned by another host; retried only after a backoff


class WriteDecision(Enum):
    """Decision on a keyed request before its intent is written."""

    WRITE = "write"
    REJECT = "reject"  # not executed; answered with a Retry-After
    UNRECORDED = "unrecorded"  # executed without a durable record, if the operator allows it


class WriteAdmission(msgspec.Struct):
    """Admission control of durable writes by the estimated sync latency and the health of the disk."""

    allow_unrecorded: bool  # while the disk fails, execute keyed requests without a durable record, not reject them
    mean_ms: float = 5.0  # estimate until the first syncs have completed
    deviation_ms: float = 5.0  # likewise
    health: DiskHealth = DiskHealth.HEALTHY
    sync_started_ms: float = 0.0  # 0 if no sync is running
    failures: int = 0  # since the last sync that succeeded
    retry_at_ms: float = 0.0  # while the disk is not healthy, no write starts before this time

    def expected_wait_ms(self, now_ms: float) -> float:
        """Return how long a write that arrives now is expected to wait."""
        one_sync_ms = self.mean_ms + MAX_DEVIATIONS * self.deviation_ms
        if not self.sync_started_ms:
            return one_sync_ms
        elapsed_ms = now_ms - self.sync_started_ms
        remaining_ms = max(elapsed_ms, one_sync_ms - elapsed_ms)  # an overdue sync may take as long again
        return remaining_ms + one_sync_ms

    def decide(self, now_ms: float, deadline_ms: float, execution_ms: float) -> WriteDecision:
        """Return the decision on a keyed request that arrives now.

        Two syncs and the execution must end before the deadline.
        """
        if self.health is not DiskHealth.HEALTHY and now_ms < self.retry_at_ms:
            return WriteDecision.UNRECORDED if self.allow_unrecorded else WriteDecision.REJECT
        if now_ms + self.expected_wait_ms(now_ms) + execution_ms + self.mean_ms > deadline_ms:
            return WriteDecision.REJECT
        return WriteDecision.WRITE

    def retry_after_ms(self, now_ms: float) -> float:
        """Return the delay after which a rejected request may be retried."""
        return max(self.retry_at_ms - now_ms, self.expected_wait_ms(now_ms))

    def on_sync_started(self, now_ms: float) -> None:
        """Record the start of a sync."""
        self.sync_started_ms = now_ms

    def on_sync_completed(self, now_ms: float) -> None:
        """Update the estimates after a sync that succeeded."""
        duration_ms = now_ms - self.sync_started_ms
        self.sync_started_ms = 0.0
        self.deviation_ms = DECAY * self.deviation_ms + (1 - DECAY) * abs(duration_ms - self.mean_ms)
        self.mean_ms = DECAY * self.mean_ms + (1 - DECAY) * duration_ms
        self.health = DiskHealth.HEALTHY
        self.failures = 0
        self.retry_at_ms = 0.0

    def on_sync_failed(self, now_ms: float, unavailable: bool) -> None:
        """Back off after a sync that failed. If ``unavailable``, the next sync would fail too."""
        self.sync_started_ms = 0.0
        self.health = DiskHealth.UNAVAILABLE if unavailable else DiskHealth.FAILED
        self.retry_at_ms = now_ms + min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
