"""When requests have to be answered at the latest."""

from __future__ import annotations

from heapq import heappop, heappush

from lapispick.admission.request_state import QUEUED, TrackedRequest

ANSWER_MARGIN_MS = 30.0  # answers go out this much before the deadline; with a late timer they are still in time
MIN_REMAINING_FRACTION = 0.1  # of the time a request came with; a queued one is rejected when only this is left


class DeadlineTimers:
    """The times at which requests are looked at again."""

    __slots__ = ("_heap", "_sequence")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TrackedRequest]] = []
        self._sequence = 0

    def schedule(self, request: TrackedRequest) -> None:
        """Look at a request again when it has to be started or answered."""
        at = request.deadline_at
        if request.state is QUEUED:
            at -= MIN_REMAINING_FRACTION * (request.deadline_at - request.arrived_at)
        self._sequence += 1
        heappush(self._heap, (at, self._sequence, request))

    def pop_due(self, now: float) -> TrackedRequest | None:
        """Return the next request whose time has come."""
        if self._heap and self._heap[0][0] <= now:
            return heappop(self._heap)[2]
        return None
