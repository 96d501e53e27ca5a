"""The idle timeout of client connections."""

from __future__ import annotations

from math import inf

from lapispick.admission.settings import Settings

RETENTION_FRACTION = 0.2  # of the callers' idle timeout; keeping a connection for so long costs as much as a new one
AVERAGED_REQUESTS = 40  # span of the moving average of returning callers
MIN_RETURNING_FRACTION = 0.5  # of the requests; below it an idle connection costs more than it saves
INITIAL_TIMEOUT_FRACTION = 0.6  # of the callers' idle timeout; the timeout while no caller is known
MAX_SHED_FRACTION = 0.3  # of the requests read; above it a full connection table costs less than reading them
STEP_RATIO = 1.03  # per window
MIN_IDLE_TIMEOUT_MS = 10.0  # the minimum on the wire
MIN_CHANGE_FRACTION = 0.1  # of the timeout; smaller changes are not applied


class IdleTimeout:
    """The idle timeout: the maximum if callers return before an idle connection costs as much as a new one.

    Otherwise it adapts to overload: a full connection table rejects callers without reading their requests, and accepts
    as many connections per timeout as it has entries. The timeout of a connection is fixed when the connection becomes
    idle, so the steps are small.
    """

    __slots__ = ("_applied_ms", "_max_ms", "_returning_fraction", "last_seen", "value_ms")

    def __init__(self, settings: Settings) -> None:
        self._max_ms = settings.idle_timeout_ms
        self._applied_ms = settings.idle_timeout_ms
        self._returning_fraction = 0.0  # of the requests; their caller sent another one within the retention time
        self.value_ms = settings.idle_timeout_ms * INITIAL_TIMEOUT_FRACTION
        self.last_seen: dict[int, float] = {}  # by caller, within the retention time, oldest first

    def record_request(self, now: float, caller: int) -> None:
        """Record a request, and whether its caller sent another one within the retention time."""
        retained_since = now - RETENTION_FRACTION * self._max_ms
        last_seen = self.last_seen
        returned = last_seen.pop(caller, -inf) >= retained_since
        last_seen[caller] = now
        while last_seen[oldest := next(iter(last_seen))] < retained_since:
            del last_seen[oldest]
        self._returning_fraction += (returned - self._returning_fraction) / AVERAGED_REQUESTS

    def close_window(self, shed_fraction: float) -> float | None:
        """Return the new timeout in ms, or None if it stays."""
        self.value_ms *= STEP_RATIO if shed_fraction > MAX_SHED_FRACTION else 1 / STEP_RATIO
        if self._returning_fraction > MIN_RETURNING_FRACTION:
            self.value_ms = self._max_ms
        else:
            self.value_ms = min(self._max_ms, max(MIN_IDLE_TIMEOUT_MS, self.value_ms))
        if abs(self.value_ms - self._applied_ms) <= MIN_CHANGE_FRACTION * self._applied_ms:
            return None
        self._applied_ms = self.value_ms
        return self.value_ms
