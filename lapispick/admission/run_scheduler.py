"""Starts queued requests while slots and memory last."""

from __future__ import annotations

from lapispick.admission.actions import RejectReason, StartRun
from lapispick.admission.backpressure import MAX_READ_DELAY_FRACTION
from lapispick.admission.request_lifecycle import RequestLifecycle
from lapispick.admission.request_state import RUNNING, TrackedRequest
from lapispick.admission.run_pauser import RunPauser
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import CancelMode


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
            self._pauser.balance(state.concurrency_limit.slots_left_by_peer())
        heaps = state.queue.heaps
        if not any(heaps):
            return
        slots = state.concurrency_limit.slots(read_delay > MAX_READ_DELAY_FRACTION)
        for queue in state.queue.order:
            if heaps[queue] and not self._start_from(queue, slots):
                return

    def _start_from(self, queue: int, slots: int) -> bool:
        """Start what is in one queue; False where slots or memory are used up."""
        state = self._state
        limit = state.concurrency_limit
        requests = state.queue
        in_time = queue < requests.late_offset
        while (request := requests.first(queue)) is not None:
            if limit.running >= slots:
                limit.record_reached()
                return False
            if in_time and self._will_be_late(request):
                self._demote(request)
            elif state.memory.reserve_run(request):
                self._start(request)
            else:
                return False
        return True

    def _will_be_late(self, request: TrackedRequest) -> bool:
        """Tell whether a run that starts now is expected to miss the latency objective."""
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

    def _start(self, request: TrackedRequest) -> None:
        """Start a request whose memory is reserved."""
        state = self._state
        state.queue.remove(request)
        request.state = RUNNING
        state.concurrency_limit.occupy_slot()
        state.idempotency.mark_executed(request.id)
        state.actions.append(StartRun(request.id))
