"""Starts queued requests while slots and memory are available."""

from __future__ import annotations

from lapispick.admission.actions import RejectReason, StartRun
from lapispick.admission.backpressure import MAX_READ_DELAY_FRACTION
from lapispick.admission.request_lifecycle import RequestLifecycle
from lapispick.admission.request_state import RUNNING, TrackedRequest
from lapispick.admission.run_pauser import RunPauser
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import CancelMode


class RunScheduler:
    """Scheduler of queued requests: highest-value queue first, within it the earliest end of the objective first."""

    __slots__ = ("_can_pause", "_lifecycle", "_pauser", "_state")

    def __init__(self, state: ServerState, lifecycle: RequestLifecycle, pauser: RunPauser) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._pauser = pauser
        self._can_pause = state.settings.cancel_mode is CancelMode.PAUSE

    def start_queued(self, read_delay_fraction: float) -> None:
        """Start the requests that fit; ``read_delay_fraction`` is that of the last request that was read."""
        state = self._state
        if self._can_pause:  # independent of the read delay: late reading reduces starts but pauses no runs
            self._pauser.balance(state.concurrency_limit.slots_left_by_peer())
        heaps = state.queue.heaps
        if not any(heaps):
            return
        slots = state.concurrency_limit.slots(read_delay_fraction > MAX_READ_DELAY_FRACTION)
        for queue_number in state.queue.order:
            if heaps[queue_number] and not self._start_from(queue_number, slots):
                return

    def _start_from(self, queue_number: int, slots: int) -> bool:
        """Start the requests of one queue; return False if slots or memory are used up."""
        state = self._state
        limit = state.concurrency_limit
        request_queue = state.queue
        in_time = queue_number < request_queue.late_offset
        while (request := request_queue.first(queue_number)) is not None:
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
        """Return True if a run that starts now is expected to miss its latency objective."""
        return self._state.now + self._state.run_estimates.expected_run_ms(request) > request.objective_at

    def _demote(self, request: TrackedRequest) -> None:
        """Move a request that can't meet its objective to the late queue; reject it if a late answer has no value."""
        state = self._state
        state.queue.remove(request)
        if state.settings.classes[request.class_index].late_weight > 0:
            request.objective_at = min(request.objective_at, state.now)
            state.queue.push(request, state.now)
        else:
            self._lifecycle.reject(request, RejectReason.LATE)

    def _start(self, request: TrackedRequest) -> None:
        """Start a request whose memory is already reserved."""
        state = self._state
        state.queue.remove(request)
        request.state = RUNNING
        state.concurrency_limit.occupy_slot()
        state.idempotency.mark_executed(request.id)
        state.actions.append(StartRun(request.id))
