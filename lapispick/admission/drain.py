"""Graceful shutdown: how long new requests are taken, and when all has to be answered."""

from __future__ import annotations

from math import inf

from lapispick.admission.events import ShutdownRequested
from lapispick.admission.settings import Settings

GRACE_FRACTION = 0.9  # of the grace; clients learn late that a server is draining, so it serves them while it may
ADVERTISE_FRACTION = 0.5  # of the grace; from then on the backpressure value keeps clients away
STOP_MARGIN_MS = 120.0  # all is answered this long before the process is stopped


class Drain:
    """The times of a graceful shutdown; infinite while there is none."""

    __slots__ = ("_advertise_at", "_grace_ends_at", "_grace_ms", "stop_at")

    def __init__(self, settings: Settings) -> None:
        self._grace_ms = settings.drain_grace_ms
        self._advertise_at = inf
        self._grace_ends_at = inf
        self.stop_at = inf  # the last time for an answer

    def begin(self, event: ShutdownRequested, now: float) -> None:
        """Begin to drain; where another process of this server goes on, new requests are taken until the stop."""
        self.stop_at = event.stop_at - STOP_MARGIN_MS
        if not event.handed_over:
            self._advertise_at = now + ADVERTISE_FRACTION * self._grace_ms
            self._grace_ends_at = now + GRACE_FRACTION * self._grace_ms

    def rejects(self, arrived_at: float) -> bool:
        """Tell whether a request came too late."""
        return arrived_at > self._grace_ends_at

    def keeps_clients_away(self, now: float) -> bool:
        """Tell whether clients are to send their requests elsewhere."""
        return now > self._advertise_at
