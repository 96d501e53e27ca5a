"""Starts queued requests while slots and memory last."""

from __future__ import annotations

from heapq import heappop

from lapispick.admission.actions import RejectReason, StartRun
from lapispick.admission.backpressure import MAX_READ_DELAY_FRACTION
from lapispick.admission.concurrency_limit import MIN_OWN_QUOTA_FRACTION
from lapispick.admission.request_lifecycle import RequestLifecycle
from lapispick.admission.request_state import QUEUED, RUNNING, TrackedRequest
from lapispick.admission.run_pauser import RunPauser
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import CancelMode

LATE_READING_FRACTION = 0.5  # of the limit; what runs while reading is late


class RunScheduler:
    """Starts the most valuable queue first, in each the earliest objective first."""

    __slots__ = ("_can_pause", "_lifecycle", "_pauser", "_state")

    def __init__(self, state: ServerState, lifecycle: RequestLifecycle, pauser: RunPauser) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._pauser = pauser
        self._can_pause = state.settings.cancel_mode is CancelMode.PAUSE

    def start_queued(self, read_delay: float) -> None:
        """Start what fits; ``read_delay`` is that of the last request, a fraction of its latency objective."""
        state = self._state
        if self._can_pause:  # late reading starts less, and pauses nothing
            limit = state.concurrency_limit
            self._pauser.balance(max(1, int(limit.value) - int(limit.peer_runs)))
        heaps = state.queue.heaps
        if not any(heaps):
            return
        slots = self._slots(read_delay)
        for queue in state.queue.order:
            if heaps[queue] and not self._start_from(queue, slots):
                return

    def _slots(self, read_delay: float) -> int:
        """Return how many may run now; another process of this server takes a part of them."""
        limit = self._state.concurrency_limit
        slots = int(limit.value * (LATE_READING_FRACTION if read_delay > MAX_READ_DELAY_FRACTION else 1.0))
        return max(int(MIN_OWN_QUOTA_FRACTION * slots), slots - int(limit.peer_runs))

    def _start_from(self, queue: int, slots: int) -> bool:
        """Start what is in one queue; False where slots or memory are used up."""
        state = self._state
        heap = state.queue.heaps[queue]
        while heap:
            request = heap[0][2]
            if request.state is not QUEUED or request.queue != queue:
                heappop(heap)
                continue
            if state.running >= slots:
                state.concurrency_limit.reached = True
                return False
            if queue < state.queue.late_offset and self._will_be_late(request):
                heappop(heap)
                self._demote(request)
                continue
            run_kb = state.memory.run_kb(request)
            if not state.memory.fits(run_kb):
                return False
            heappop(heap)
            self._start(request, run_kb)
        return True

    def _will_be_late(self, request: TrackedRequest) -> bool:
        return self._state.now + self._state.run_estimates.expected_run_ms(request) > request.objective_at

    def _demote(self, request: TrackedRequest) -> None:
        """Queue a request that can't meet its objective as late, or reject it where a late answer has no value."""
        state = self._state
        state.queue.remove(request)
        if state.settings.classes[request.class_index].late_weight > 0:
            request.objective_at = min(request.objective_at, state.now)
            state.queue.push(request, state.now)
        else:
            self._lifecycle.reject(request, RejectReason.LATE)

    def _start(self, request: TrackedRequest, run_kb: float) -> None:
        state = self._state
        state.queue.remove(request)
        request.state = RUNNING
        state.memory.used_kb += run_kb
        state.running += 1
        state.idempotency.mark_executed(request.id)
        state.actions.append(StartRun(request.id))
