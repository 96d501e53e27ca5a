"""The downstream calls of running requests: starts, retries or skips them, or lets them wait for capacity."""

from __future__ import annotations

from lapispick.admission.actions import SkipCall, StartCall
from lapispick.admission.events import CallCompleted, CallRequested, Outcome
from lapispick.admission.request_lifecycle import RequestLifecycle
from lapispick.admission.request_state import CALLING, RUNNING, WAITING_FOR_CALL, TrackedRequest
from lapispick.admission.run_pauser import RunPauser
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import Idempotency

REMAINING_RUN_FRACTION = 0.3  # of a run's time on the cores; the expected part after a call
MIN_CALL_TIME_FRACTION = 0.5  # of the usual time that a call blocks its run; with less spare time it is skipped
MAX_CALL_ATTEMPTS = 4  # for each call that a run requests
CALL_RETRY_DELAY_MS = 60.0
MIN_CALL_TIMEOUT_MS = 0.1  # on the wire, 0 means no timeout

BOUND_NAME = "calls"  # of this limit in log lines
NEVER_RAN_OUTCOMES = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.ABANDONED)


class DownstreamCalls:
    """Makes the calls of requests within the limit; skips the call of a request that can continue without it."""

    __slots__ = ("_degradable", "_lifecycle", "_pauser", "_state")

    def __init__(self, state: ServerState, lifecycle: RequestLifecycle, pauser: RunPauser) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._pauser = pauser
        self._degradable = [settings.degraded_weight > 0 for settings in state.settings.classes]

    def on_call_requested(self, event: CallRequested) -> None:
        """Free the slot of a request that needs a call, and make, skip or delay the call."""
        state = self._state
        request = state.requests.get(event.id)
        if request is None or request.state is not RUNNING:
            return
        state.concurrency_limit.free_slot()
        self._pauser.discard(request)
        request.state = WAITING_FOR_CALL
        request.call_attempts = 0
        request.call_needed_at = state.now
        self._start_or_delay_call(request)

    def on_call_completed(self, event: CallCompleted) -> None:
        """Resume a run with the reply of its call, or handle the failure of the call."""
        state = self._state
        request = state.requests.get(event.id)
        if request is None or request.state is not CALLING:
            return
        single_loss = state.downstream.finish_call(event.duration_ms, event.outcome, state.generator)
        request.call_ms += state.now - request.call_started_at
        if event.outcome is Outcome.OK:
            self._resume_run(request)
            return
        request.state = WAITING_FOR_CALL
        if not request.answered:
            self._handle_call_failure(request, event.outcome, single_loss)

    def start_waiting_calls(self) -> None:
        """Make waiting calls while there is capacity; required and retried calls go first."""
        now = self._state.now
        downstream = self._state.downstream
        while (request := downstream.pop_ready(now)) is not None:
            self._start_or_delay_call(request)

    def _start_or_delay_call(self, request: TrackedRequest) -> None:
        """Make the call of a request, skip it, or let the request wait for capacity."""
        if request.state is not WAITING_FOR_CALL or request.answered:
            return
        if self._degradable[request.class_index]:
            self._call_or_skip(request)
            return
        state = self._state
        if state.downstream.has_capacity():
            self._start_call(request, request.deadline_at - state.now)
        else:
            self._lifecycle.log_bound(BOUND_NAME)
            state.downstream.wait(request, state.now)

    def _call_or_skip(self, request: TrackedRequest) -> None:
        """Make a skippable call if its reply can arrive in time; otherwise let it wait for capacity or skip it."""
        state = self._state
        downstream = state.downstream
        spare_ms = self._spare_ms(request)
        if spare_ms < MIN_CALL_TIME_FRACTION * state.run_estimates.blocked_ms[request.class_index]:
            self._skip_call(request)
        elif downstream.has_capacity():
            self._start_call(request, min(spare_ms, downstream.skippable_call_timeout_ms()))
        elif downstream.should_wait(request.call_needed_at, state.now):
            downstream.wait_degradable(request)
        else:
            self._skip_call(request)

    def _spare_ms(self, request: TrackedRequest) -> float:
        """Return the maximum duration of a call with which the run still ends in time."""
        state = self._state
        due_at = request.objective_at if state.now < request.objective_at else request.deadline_at
        return due_at - state.now - REMAINING_RUN_FRACTION * state.run_estimates.core_time_ms(request)

    def _start_call(self, request: TrackedRequest, timeout_ms: float) -> None:
        """Make the call of a request, with a timeout of at most the maximum duration of a call."""
        if timeout_ms <= 0:
            return  # the deadline of the request has passed
        state = self._state
        downstream = state.downstream
        request.state = CALLING
        request.call_started_at = state.now
        request.call_attempts += 1
        downstream.start_call()
        timeout_ms = round(min(timeout_ms, downstream.max_call_ms()), 1) or MIN_CALL_TIMEOUT_MS
        state.actions.append(StartCall(request.id, timeout_ms))

    def _skip_call(self, request: TrackedRequest) -> None:
        """Let a run continue without its call."""
        self._state.actions.append(SkipCall(request.id))
        self._resume_run(request)

    def _resume_run(self, request: TrackedRequest) -> None:
        """Mark a request as running again, which occupies a slot."""
        state = self._state
        request.blocked_ms = request.blocked_ms + state.now - request.call_needed_at
        request.state = RUNNING
        state.concurrency_limit.occupy_slot()

    def _handle_call_failure(self, request: TrackedRequest, outcome: Outcome, single_loss: bool) -> None:
        """Retry a failed call, skip it or fail its request; a call that may have had an effect is never retried."""
        state = self._state
        settings = state.settings.classes[request.class_index]
        safe_to_retry = outcome in NEVER_RAN_OUTCOMES or settings.idempotency is Idempotency.IDEMPOTENT
        should_retry = safe_to_retry and request.call_attempts < MAX_CALL_ATTEMPTS
        if single_loss and should_retry and request.call_attempts == 1:
            self._start_or_delay_call(request)
        elif settings.degraded_weight > 0 and not (should_retry and outcome is Outcome.CONNECT_FAILED):
            self._skip_call(request)
        elif should_retry:
            state.downstream.wait(request, state.now + CALL_RETRY_DELAY_MS)
        else:
            self._lifecycle.fail(request)
