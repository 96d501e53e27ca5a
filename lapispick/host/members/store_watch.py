"""Observes the completed calls of the store client, for the gossiped fact about the store's latency."""

from __future__ import annotations

import time
from collections.abc import Callable

from lapispick.admission import Outcome
from lapispick.host.events import CallCompleted
from lapispick.members.store_latency import RelativeLatency, StoreLatency


class StoreWatch:
    """Forwards the store client's events to the core, and records the latency of calls."""

    def __init__(self, post: Callable[[CallCompleted], None]) -> None:
        self._post = post
        self._latency = StoreLatency()

    def post(self, event: CallCompleted) -> None:
        """Record and forward an event of the store client."""
        self._latency.record_call(time.monotonic(), event.duration_ms, event.outcome is Outcome.OK)
        self._post(event)

    def relative_latency(self) -> RelativeLatency | None:
        """Return the store's current latency relative to the usual one; None after too few calls."""
        return self._latency.relative_latency(time.monotonic())
