"""The queued requests: one queue for each class in time, and one for those past their latency objective."""

from __future__ import annotations

from heapq import heappop, heappush

from lapispick.admission.request_state import NOT_QUEUED, QUEUED, TrackedRequest
from lapispick.admission.run_estimates import MIN_CORE_TIME_MS, RunEstimates
from lapispick.admission.settings import Settings


class RequestQueue:
    """Queues by class and lateness, the most valuable work first, in each the earliest objective first.

    Queue numbers below ``late_offset`` are classes; the queue of a class's late requests is ``late_offset`` + class.
    """

    __slots__ = ("_estimates", "_sequence", "_settings", "heaps", "late_offset", "order", "work_ms")

    def __init__(self, settings: Settings, estimates: RunEstimates) -> None:
        self._settings = settings
        self._estimates = estimates
        self._sequence = 0
        self.late_offset = len(settings.classes)
        queues = 2 * self.late_offset
        self.heaps: list[list[tuple[float, int, TrackedRequest]]] = [[] for _ in range(queues)]
        self.work_ms = [0.0] * queues  # expected time on the cores of what waits
        self.order = list(range(queues))  # as they are served

    def push(self, request: TrackedRequest, now: float) -> None:
        """Queue a request."""
        queue = self.number_of(request, now)
        work_ms = self._estimates.core_time_ms(request)
        request.queue = queue
        request.queued_work_ms = work_ms
        self.work_ms[queue] += work_ms
        self._sequence += 1
        heappush(self.heaps[queue], (request.objective_at, self._sequence, request))

    def number_of(self, request: TrackedRequest, now: float) -> int:
        """Return the queue that a request belongs to."""
        return request.class_index + (self.late_offset if now >= request.objective_at else 0)

    def first(self, queue: int) -> TrackedRequest | None:
        """Return the request of a queue that is served next; those that left the queue are dropped here."""
        heap = self.heaps[queue]
        while heap:
            request = heap[0][2]
            if request.state is QUEUED and request.queue == queue:
                return request
            heappop(heap)
        return None

    def remove(self, request: TrackedRequest) -> None:
        """Take a request's work off its queue; ``first`` drops its entry later."""
        if request.queue != NOT_QUEUED:
            self.work_ms[request.queue] -= request.queued_work_ms
            request.queue = NOT_QUEUED

    def sort(self) -> None:
        """Order the queues by the value of a unit of work, the highest first."""
        self.order.sort(key=lambda queue: (-self._value_density(queue), queue))

    def _value_density(self, queue: int) -> float:
        """Return the value of a unit of work in a queue."""
        class_index = queue % self.late_offset
        settings = self._settings.classes[class_index]
        value = settings.priority_weight * (settings.late_weight if queue >= self.late_offset else 1.0)
        return (
            value
            if self._settings.weight_by_work
            else value / max(MIN_CORE_TIME_MS, self._estimates.core_ms[class_index])
        )
