"""The idle timeout of clients' connections."""

from __future__ import annotations

from math import inf

from lapispick.admission.settings import Settings

RETENTION_FRACTION = 0.2  # of the callers' idle time; keeping a connection that long costs what a new one does
RETURN_MEMORY_REQUESTS = 40  # the span of the moving average
MIN_RETURNING_FRACTION = 0.5  # of the requests; with fewer an idle connection costs more than it saves
INITIAL_TIMEOUT_FRACTION = 0.6  # of the callers' idle time; while no caller is known
MAX_SHED_FRACTION = 0.3  # of the requests read; with more shed a full connection table costs less than reading them
STEP_RATIO = 1.03  # a window
MIN_IDLE_TIMEOUT_MS = 10.0  # the least that the wire takes
MIN_CHANGE_FRACTION = 0.1  # smaller changes are not ordered


class IdleTimeout:
    """The idle timeout: the maximum where callers return before an idle connection costs as much as a new one.

    Elsewhere it adapts to overload: a full connection table rejects callers without reading their requests, and accepts
    as many connections per timeout as it has places. A connection has the timeout of the moment when it became idle, so
    the steps are small.
    """

    __slots__ = ("_longest_ms", "_ordered_ms", "_returning", "last_seen", "value_ms")

    def __init__(self, settings: Settings) -> None:
        self._longest_ms = settings.idle_timeout_ms
        self._ordered_ms = settings.idle_timeout_ms
        self._returning = 0.0  # fraction of requests from a caller that was here within the retention time
        self.value_ms = settings.idle_timeout_ms * INITIAL_TIMEOUT_FRACTION
        self.last_seen: dict[int, float] = {}  # by caller, within the retention time, the oldest first

    def record_request(self, now: float, caller: int) -> None:
        """Count whether this request's caller was here within the retention time."""
        since = now - RETENTION_FRACTION * self._longest_ms
        last_seen = self.last_seen
        returned = last_seen.pop(caller, -inf) >= since
        last_seen[caller] = now
        while last_seen[oldest := next(iter(last_seen))] < since:
            del last_seen[oldest]
        self._returning += (returned - self._returning) / RETURN_MEMORY_REQUESTS

    def close_window(self, shed_fraction: float) -> float | None:
        """Return the next timeout to order in ms, or None where it stays."""
        self.value_ms *= STEP_RATIO if shed_fraction > MAX_SHED_FRACTION else 1 / STEP_RATIO
        if self._returning > MIN_RETURNING_FRACTION:
            self.value_ms = self._longest_ms
        else:
            self.value_ms = min(self._longest_ms, max(MIN_IDLE_TIMEOUT_MS, self.value_ms))
        if abs(self.value_ms - self._ordered_ms) <= MIN_CHANGE_FRACTION * self._ordered_ms:
            return None
        self._ordered_ms = self.value_ms
        return self.value_ms
