"""Decides whether a durable write fits before a request's deadline, and what a failing disk means. No I/O, no clock.

Writes share syncs (group commit): a write that arrives during a sync waits for it and for the next one. The latency of
a sync is learned as an exponentially weighted mean and mean deviation, as in TCP's retransmission timer (RFC 6298). A
sync that hangs does not update them, so the current sync counts for as long as it has run. All times are ms.
"""

from __future__ import annotations

from enum import Enum

import msgspec

DECAY = 0.9  # weight of the learned mean and deviation at each sync
MAX_DEVIATIONS = 3.0  # above the mean, for the longest sync that is expected
MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 10_000.0
MAX_COUNTED_FAILURES = 20  # keeps the power of two in bounds


class DiskHealth(Enum):
    """The state of the disk."""

    HEALTHY = "healthy"
    FAILED = "failed"  # the last sync failed, so what it wrote is unknown
    UNAVAILABLE = "unavailable"  # full, read-only or of another host: retried only after a backoff


class WriteDecision(Enum):
    """What happens to a keyed request before its intent is written."""

    WRITE = "write"
    REJECT = "reject"  # certainly not executed; answered with a Retry-After
    UNGUARDED = "unguarded"  # executed without a durable record, where the operator allows it


class WriteAdmission(msgspec.Struct):
    """The learned sync latency and the health of the disk."""

    allow_unguarded: bool  # the operator prefers to serve without the guarantee over rejecting keyed requests
    mean_ms: float = 5.0  # until the first syncs are known
    deviation_ms: float = 5.0
    health: DiskHealth = DiskHealth.HEALTHY
    sync_started_ms: float = 0.0  # 0: no sync is running
    failures: int = 0
    retry_at_ms: float = 0.0  # no write before this while the disk is not healthy

    def expected_wait_ms(self, now_ms: float) -> float:
        """Return how long a write that arrives now is expected to wait."""
        one_sync_ms = self.mean_ms + MAX_DEVIATIONS * self.deviation_ms
        if not self.sync_started_ms:
            return one_sync_ms
        elapsed_ms = now_ms - self.sync_started_ms
        remaining_ms = max(elapsed_ms, one_sync_ms - elapsed_ms)  # one that is overdue may take as long again
        return remaining_ms + one_sync_ms

    def decide(self, now_ms: float, deadline_ms: float, run_ms: float) -> WriteDecision:
        """Decide on a keyed request that arrives now: two syncs and its execution must fit before its deadline."""
        if self.health is not DiskHealth.HEALTHY and now_ms < self.retry_at_ms:
            return WriteDecision.UNGUARDED if self.allow_unguarded else WriteDecision.REJECT
        if now_ms + self.expected_wait_ms(now_ms) + run_ms + self.mean_ms > deadline_ms:
            return WriteDecision.REJECT
        return WriteDecision.WRITE

    def retry_after_ms(self, now_ms: float) -> float:
        """Return after how long a rejected request may be retried."""
        return max(self.retry_at_ms - now_ms, self.expected_wait_ms(now_ms))

    def on_sync_started(self, now_ms: float) -> None:
        """Note that a sync is running."""
        self.sync_started_ms = now_ms

    def on_sync_completed(self, now_ms: float) -> None:
        """Learn from a sync that succeeded."""
        duration_ms = now_ms - self.sync_started_ms
        self.sync_started_ms = 0.0
        self.deviation_ms = DECAY * self.deviation_ms + (1 - DECAY) * abs(duration_ms - self.mean_ms)
        self.mean_ms = DECAY * self.mean_ms + (1 - DECAY) * duration_ms
        self.health = DiskHealth.HEALTHY
        self.failures = 0
        self.retry_at_ms = 0.0

    def on_sync_failed(self, now_ms: float, unavailable: bool) -> None:
        """Back off after a sync that failed; ``unavailable``: the next one would fail too."""
        self.sync_started_ms = 0.0
        self.health = DiskHealth.UNAVAILABLE if unavailable else DiskHealth.FAILED
        self.retry_at_ms = now_ms + min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
