"""How requests are answered and completed, whatever led to it."""

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

MIN_LOG_INTERVAL_MS = 20_000.0  # between two lines on one bound
MIN_RETRY_AFTER_FRACTION = 0.8  # jitter, so that not all clients return at one time

NOT_SHED = (RejectReason.DRAIN, RejectReason.REPEAT)  # rejections that are no sign of overload


class RequestLifecycle:
    """Gives the one final answer of each request, and forgets the request when its run is over."""

    __slots__ = ("_logged_at", "_pauser", "_state")

    def __init__(self, state: ServerState, pauser: RunPauser) -> None:
        self._state = state
        self._pauser = pauser
        self._logged_at: dict[str, float] = {}  # by bound

    def reject(self, request: TrackedRequest, reason: RejectReason, retry_elsewhere: bool = False) -> None:
        """Give a request that never ran its final answer, with a Retry-After of a mean run of its class."""
        state = self._state
        self.log_bound(reason)
        retry_after_ms = min(state.run_estimates.run_ms[request.class_index], state.settings.max_retry_after_ms)
        retry_after_ms = round(retry_after_ms * state.generator.uniform(MIN_RETRY_AFTER_FRACTION, 1), 1)
        state.actions.append(Reject(request.id, retry_after_ms, not retry_elsewhere, reason.value))
        self._mark_answered(request, shed=reason not in NOT_SHED)
        self._complete(request)

    def fail(self, request: TrackedRequest) -> None:
        """Give a request that may have run its final answer, and stop it."""
        self._state.actions.append(Fail(request.id))
        self._mark_answered(request, shed=True)
        if request.state is COALESCED or request.state is PAUSED:
            self._complete(request)
        elif request.state is RUNNING:
            self._cancel_run(request)

    def log_bound(self, bound: str) -> None:
        """Log which bound a request met, at most once in ``MIN_LOG_INTERVAL_MS`` for each bound."""
        state = self._state
        if state.now - self._logged_at.get(bound, -inf) > MIN_LOG_INTERVAL_MS:
            self._logged_at[bound] = state.now
            limit = state.concurrency_limit
            state.actions.append(Log(f"{bound} binds: limit {limit.value:.0f}, running {limit.running}"))

    def on_client_cancelled(self, event: ClientCancelled) -> None:
        """Drop what waits and stop what runs; no answer is owed any more."""
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
        """Learn from a run and forget its request."""
        request = self._state.requests.get(event.id)
        if request is None:
            return
        outcome = event.outcome
        if outcome is Outcome.ABANDONED or (outcome is Outcome.CANCELLED and not request.answered):
            # Paused now; or not cancelled by this module, and the answer at the deadline still stands.
            self._pauser.confirm(request)
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
        """Answer all whose time has come: each request that was read has one final answer by its deadline."""
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
        """Note that no answer is owed any more; ``shed`` if that is a sign of overload where requests wait."""
        request.answered = True
        state = self._state
        # Late retries at an idle server must not keep callers away.
        overload = shed and (state.concurrency_limit.reached or len(state.downstream.waiting) > 0)
        state.backpressure.record_answered(request.caller, overload)

    def _cancel_run(self, request: TrackedRequest) -> None:
        """Stop a run that nobody waits for; a keyed one continues, as a retry can still get its result."""
        settings = self._state.settings
        if (
            settings.cancel_mode is not CancelMode.NONE
            and settings.classes[request.class_index].idempotency is not Idempotency.KEYED
        ):
            self._state.actions.append(CancelRun(request.id))

    def _complete(self, request: TrackedRequest) -> None:
        """Forget a request and give back what it holds; a key that never ran is free again."""
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
