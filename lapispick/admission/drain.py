"""Graceful shutdown: until when new requests are admitted, and by when all requests must be answered."""

from __future__ import annotations

from math import inf

from lapispick.admission.events import ShutdownRequested
from lapispick.admission.settings import Settings

GRACE_FRACTION = 0.9  # of the drain grace; clients notice draining late, so new requests are admitted this long
ADVERTISE_FRACTION = 0.5  # of the drain grace; after it the backpressure value diverts clients to other servers
STOP_MARGIN_MS = 120.0  # all requests are answered this long before the process is stopped


class Drain:
    """Times of a graceful shutdown; infinite while none is in progress."""

    __slots__ = ("_advertise_at", "_grace_ends_at", "_grace_ms", "stop_at")

    def __init__(self, settings: Settings) -> None:
        self._grace_ms = settings.drain_grace_ms
        self._advertise_at = inf
        self._grace_ends_at = inf
        self.stop_at = inf  # latest time of an answer

    def begin(self, event: ShutdownRequested, now: float) -> None:
        """Start draining; if another process of this server takes over, new requests are admitted until the stop."""
        self.stop_at = event.stop_at - STOP_MARGIN_MS
        if not event.handed_over:
            self._advertise_at = now + ADVERTISE_FRACTION * self._grace_ms
            self._grace_ends_at = now + GRACE_FRACTION * self._grace_ms

    def rejects(self, arrived_at: float) -> bool:
        """Return True if a request arrived after the end of the admission period."""
        return arrived_at > self._grace_ends_at

    def diverts_clients(self, now: float) -> bool:
        """Return True if the backpressure value must divert clients to other servers."""
        return now > self._advertise_at
