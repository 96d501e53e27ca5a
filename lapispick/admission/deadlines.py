"""Timers for the deadlines of requests."""

from __future__ import annotations

from heapq import heappop, heappush

from lapispick.admission.request_state import QUEUED, TrackedRequest

ANSWER_MARGIN_MS = 30.0  # before the deadline, so that answers are in time even if the timer fires late
# Fraction of the time between arrival and deadline. A request that is still queued is rejected when only this is left.
MIN_REMAINING_FRACTION = 0.1


class DeadlineTimers:
    """The times at which requests have to be checked again."""

    __slots__ = ("_heap", "_sequence")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TrackedRequest]] = []
        self._sequence = 0

    def schedule(self, request: TrackedRequest) -> None:
        """Check a request again at the latest time to start it if it is queued, otherwise to answer it."""
        at = request.deadline_at
        if request.state is QUEUED:
            at -= MIN_REMAINING_FRACTION * (request.deadline_at - request.arrived_at)
        self._sequence += 1
        heappush(self._heap, (at, self._sequence, request))

    def pop_due(self, now: float) -> TrackedRequest | None:
        """Return the next request whose time has passed, or None."""
        if self._heap and self._heap[0][0] <= now:
            return heappop(self._heap)[2]
        return None
