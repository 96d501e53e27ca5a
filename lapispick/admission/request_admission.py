"""Admission of received requests: each is coalesced with an earlier attempt, rejected or queued."""

from __future__ import annotations

from lapispick.admission.actions import RejectReason, RetainKey
from lapispick.admission.coalescing import Coalescer
from lapispick.admission.deadlines import ANSWER_MARGIN_MS
from lapispick.admission.events import RequestReceived
from lapispick.admission.price_test import PriceTest
from lapispick.admission.request_lifecycle import RequestLifecycle
from lapispick.admission.request_state import TrackedRequest
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import ClassSettings, Idempotency

RETRY_ELSEWHERE_REASONS = (RejectReason.DRAIN, RejectReason.MEMORY)  # another server may accept the request


class RequestAdmission:
    """Admission decisions for received requests."""

    __slots__ = ("_coalescer", "_lifecycle", "_price_test", "_state", "read_delay_fraction")

    def __init__(self, state: ServerState, lifecycle: RequestLifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._coalescer = Coalescer(state, lifecycle)
        self._price_test = PriceTest(state)
        self.read_delay_fraction = 0.0  # time the last request lay unread, over its class's latency objective

    def on_request_received(self, event: RequestReceived) -> None:
        """Coalesce, reject or queue a request."""
        request = self._track(event)
        if event.retry_of and self._coalescer.coalesce(request, event.retry_of):
            return
        reason = self._reject_reason(request)
        if reason is None:
            self._queue(request, event.retry_of)
        else:
            self._lifecycle.reject(request, reason, retry_elsewhere=reason in RETRY_ELSEWHERE_REASONS)

    def _track(self, event: RequestReceived) -> TrackedRequest:
        """Create the state of a request and count the request."""
        state = self._state
        settings = state.settings.classes[event.class_index]
        request = TrackedRequest(event, state.now)
        due_at = event.deadline_at if event.deadline_at > 0 else request.arrived_at + settings.deadline_ms
        request.value = settings.priority_weight
        if state.settings.weight_by_work and request.cost > 0:
            request.value *= request.cost
        request.objective_at = self._objective_at(event, request, settings, due_at)
        request.deadline_at = min(due_at - ANSWER_MARGIN_MS, state.drain.stop_at)
        state.requests[request.id] = request
        state.memory.reserve(request)
        self.read_delay_fraction = event.age_ms / settings.latency_objective_ms
        state.backpressure.record_received(event.rank, request.caller, self.read_delay_fraction)
        state.idle_timeout.record_request(state.now, request.caller)
        state.deadlines.schedule(request)
        return request

    def _objective_at(
        self, event: RequestReceived, request: TrackedRequest, settings: ClassSettings, due_at: float
    ) -> float:
        """Return the time at which the latency objective ends; it counts from the client's first attempt."""
        state = self._state
        if state.settings.lower_tier:
            if event.deadline_at > 0:
                return due_at  # the objective of a call is the timeout that its caller set
            spent_ms = 0.0
        else:
            spent_ms = state.attempt_history.time_since_first_attempt(due_at - request.arrived_at, settings.deadline_ms)
        stretch_ms = settings.objective_stretch * state.run_estimates.core_time_ms(request)
        objective_ms = min(settings.deadline_ms, settings.latency_objective_ms + stretch_ms)
        return request.arrived_at - spent_ms + objective_ms

    def _reject_reason(self, request: TrackedRequest) -> RejectReason | None:
        """Return the reason to reject a request, or None if it is admitted."""
        state = self._state
        if state.drain.rejects(request.arrived_at):
            return RejectReason.DRAIN
        if state.now >= request.deadline_at:
            return RejectReason.LATE
        if not state.memory.fits(state.settings.key_memory_kb):
            return RejectReason.MEMORY
        if not self._price_test.admits(request):
            return RejectReason.PRICE
        return None

    def _queue(self, request: TrackedRequest, retry_of: int) -> None:
        """Queue a request; its key is retained before a retry can arrive, as otherwise two attempts could run."""
        state = self._state
        settings = state.settings.classes[request.class_index]
        if settings.idempotency is Idempotency.KEYED:
            window_ms = settings.idempotency_window_ms
            state.idempotency.retain(request.id, state.now + window_ms, state.idempotency.get(retry_of))
            state.actions.append(RetainKey(request.id, window_ms))
        state.queue.push(request, state.now)
