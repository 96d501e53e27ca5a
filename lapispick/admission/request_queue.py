"""The queued requests: for each class one queue of requests in time, and one of late requests."""

from __future__ import annotations

from heapq import heappop, heappush

from lapispick.admission.request_state import NOT_QUEUED, QUEUED, TrackedRequest
from lapispick.admission.run_estimates import MIN_CORE_TIME_MS, RunEstimates
from lapispick.admission.settings import Settings


class RequestQueue:
    """Queues by class and lateness; each queue is ordered by the end of the latency objective, the earliest first.

    The queue with the most value per unit of work is served first. The number of a queue is its class index, plus
    ``late_offset`` if it contains the late requests, those past their latency objective.
    """

    __slots__ = ("_estimates", "_sequence", "_settings", "heaps", "late_offset", "order", "work_ms")

    def __init__(self, settings: Settings, estimates: RunEstimates) -> None:
        self._settings = settings
        self._estimates = estimates
        self._sequence = 0
        self.late_offset = len(settings.classes)
        queue_count = 2 * self.late_offset
        self.heaps: list[list[tuple[float, int, TrackedRequest]]] = [[] for _ in range(queue_count)]
        self.work_ms = [0.0] * queue_count  # expected core time of the queued requests, by queue
        self.order = list(range(queue_count))  # queue numbers in the order in which the queues are served

    def push(self, request: TrackedRequest, now: float) -> None:
        """Queue a request."""
        queue_number = self.queue_number_of(request, now)
        work_ms = self._estimates.core_time_ms(request)
        request.queue_number = queue_number
        request.queued_work_ms = work_ms
        self.work_ms[queue_number] += work_ms
        self._sequence += 1
        heappush(self.heaps[queue_number], (request.objective_at, self._sequence, request))

    def queue_number_of(self, request: TrackedRequest, now: float) -> int:
        """Return the number of the queue that a request belongs to."""
        return request.class_index + (self.late_offset if now >= request.objective_at else 0)

    def first(self, queue_number: int) -> TrackedRequest | None:
        """Return the next request of a queue; entries of requests that left the queue are dropped here."""
        heap = self.heaps[queue_number]
        while heap:
            request = heap[0][2]
            if request.state is QUEUED and request.queue_number == queue_number:
                return request
            heappop(heap)
        return None

    def remove(self, request: TrackedRequest) -> None:
        """Subtract the work of a request from its queue; ``first`` drops the entry later."""
        if request.queue_number != NOT_QUEUED:
            self.work_ms[request.queue_number] -= request.queued_work_ms
            request.queue_number = NOT_QUEUED

    def sort(self) -> None:
        """Sort the queues by the value per unit of work, the highest first."""
        self.order.sort(key=lambda queue_number: (-self._value_density(queue_number), queue_number))

    def _value_density(self, queue_number: int) -> float:
        """Return the value per unit of work of the requests in a queue."""
        class_index = queue_number % self.late_offset
        settings = self._settings.classes[class_index]
        value = settings.priority_weight * (settings.late_weight if queue_number >= self.late_offset else 1.0)
        return (
            value
            if self._settings.weight_by_work
            else value / max(MIN_CORE_TIME_MS, self._estimates.core_ms[class_index])
        )
