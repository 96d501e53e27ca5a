"""Answering and completing requests: the part that all event handlers share."""

from __future__ import annotations

from math import inf

from lapispick.admission.actions import CancelRun, Fail, Log, Reject, RejectReason, ReleaseKey
from lapispick.admission.events import ClientCancelled, Outcome, RunCompleted
from lapispick.admission.request_state import (
    CALLING,
    COALESCED,
    COMPLETED,
    PAUSED,
    QUEUED,
    RUNNING,
    TrackedRequest,
)
from lapispick.admission.run_pauser import RunPauser
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import CancelMode, Idempotency

MIN_LOG_INTERVAL_MS = 20_000.0  # between two log lines about the same bound
MIN_RETRY_AFTER_FRACTION = 0.8  # jitter, so that clients do not all retry at the same time

NOT_SHED_REASONS = (RejectReason.DRAIN, RejectReason.REPEAT)  # these rejections do not indicate overload


class RequestLifecycle:
    """Final answers and removal of requests: exactly one answer each, and removal when the run has ended."""

    __slots__ = ("_logged_at", "_pauser", "_state")

    def __init__(self, state: ServerState, pauser: RunPauser) -> None:
        self._state = state
        self._pauser = pauser
        self._logged_at: dict[str, float] = {}  # time of the last log line, by bound

    def reject(self, request: TrackedRequest, reason: RejectReason, retry_elsewhere: bool = False) -> None:
        """Reject a request that never ran; its Retry-After is the mean run time of its class, with jitter."""
        state = self._state
        self.log_bound(reason)
        retry_after_ms = min(state.run_estimates.run_ms[request.class_index], state.settings.max_retry_after_ms)
        retry_after_ms = round(retry_after_ms * state.generator.uniform(MIN_RETRY_AFTER_FRACTION, 1), 1)
        state.actions.append(Reject(request.id, retry_after_ms, not retry_elsewhere, reason.value))
        self._mark_answered(request, shed=reason not in NOT_SHED_REASONS)
        self._complete(request)

    def fail(self, request: TrackedRequest) -> None:
        """Fail a request that may have run, and cancel its run."""
        self._state.actions.append(Fail(request.id))
        self._mark_answered(request, shed=True)
        if request.state is COALESCED or request.state is PAUSED:
            self._complete(request)
        elif request.state is RUNNING:
            self._cancel_run(request)

    def log_bound(self, bound: str) -> None:
        """Log that a bound restricts requests, at most once in ``MIN_LOG_INTERVAL_MS`` for each bound."""
        state = self._state
        if state.now - self._logged_at.get(bound, -inf) > MIN_LOG_INTERVAL_MS:
            self._logged_at[bound] = state.now
            limit = state.concurrency_limit
            state.actions.append(Log(f"{bound} binds: limit {limit.value:.0f}, running {limit.running}"))

    def on_client_cancelled(self, event: ClientCancelled) -> None:
        """Drop a request that waits, or cancel its run; the request no longer needs an answer."""
        state = self._state
        request = state.requests.get(event.id)
        if request is None or request.answered:
            return
        self._mark_answered(request, shed=True)
        if request.state in (QUEUED, COALESCED, PAUSED):
            self._complete(request)
        else:
            if state.now > request.objective_at:
                state.concurrency_limit.record_failure()
            self._cancel_run(request)

    def on_run_completed(self, event: RunCompleted) -> None:
        """Update the estimates from a completed run and remove its request."""
        request = self._state.requests.get(event.id)
        if request is None:
            return
        outcome = event.outcome
        if outcome is Outcome.ABANDONED or (outcome is Outcome.CANCELLED and not request.answered):
            # Either the run is paused now, or this module did not cancel it and fails the request at its deadline.
            self._pauser.on_run_cancelled(request)
            return
        limit = self._state.concurrency_limit
        if outcome is Outcome.OK and request.state is not COALESCED and not request.pause_requested:
            limit.record_run(self._state.run_estimates.learn(request, event.duration_ms))
        elif outcome is Outcome.ERROR:
            limit.record_failure()
        if not request.answered:
            self._mark_answered(request, shed=False)
        self._complete(request)

    def answer_overdue(self) -> None:
        """Answer the requests that are due, so that each request gets its final answer by its deadline."""
        state = self._state
        while (request := state.deadlines.pop_due(state.now)) is not None:
            if request.answered:
                continue
            if request.state is QUEUED:
                self.reject(request, RejectReason.LIMIT)
            elif state.now >= request.deadline_at:
                self.fail(request)
            else:
                state.deadlines.schedule(request)

    def _mark_answered(self, request: TrackedRequest, shed: bool) -> None:
        """Record that a request no longer needs an answer; ``shed`` indicates overload if other requests wait."""
        request.answered = True
        state = self._state
        # Late retries at an idle server must not raise the backpressure value.
        overloaded = shed and (state.concurrency_limit.reached or len(state.downstream.waiting) > 0)
        state.backpressure.record_answered(request.caller, overloaded)

    def _cancel_run(self, request: TrackedRequest) -> None:
        """Cancel a run that no client waits for; a keyed run continues because a retry can still get its result."""
        settings = self._state.settings
        if (
            settings.cancel_mode is not CancelMode.NONE
            and settings.classes[request.class_index].idempotency is not Idempotency.KEYED
        ):
            self._state.actions.append(CancelRun(request.id))

    def _complete(self, request: TrackedRequest) -> None:
        """Remove a request and release its resources; the key of a request that never ran is released, too."""
        state = self._state
        if request.state is RUNNING:
            state.concurrency_limit.free_slot()
        elif request.state is CALLING:
            state.downstream.abandon_call()
        elif request.state is QUEUED:
            state.queue.remove(request)
            if state.idempotency.release(request.id):
                state.actions.append(ReleaseKey(request.id))
        state.memory.release(request)
        self._pauser.discard(request)
        request.state = COMPLETED
        del state.requests[request.id]
