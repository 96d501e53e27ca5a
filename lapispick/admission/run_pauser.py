"""Pauses and resumes runs: runs that return from downstream calls can exceed the slots."""

from __future__ import annotations

from lapispick.admission.actions import CancelRun, StartRun
from lapispick.admission.request_state import PAUSED, RUNNING, TrackedRequest
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import Idempotency

MAX_RUNNING_RATIO = 1.3  # running requests over slots; runs above it are paused


class RunPauser:
    """Tracker of the runs that are paused or being paused; used with ``CancelMode.PAUSE`` only."""

    __slots__ = ("_requests", "_state")

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._requests: list[TrackedRequest] = []

    def balance(self, slots: int) -> None:
        """Resume paused runs while slots are free; pause runs above ``MAX_RUNNING_RATIO``, latest objective first."""
        state = self._state
        limit = state.concurrency_limit
        paused = [request for request in self._requests if request.state is PAUSED]
        pausing_count = len(self._requests) - len(paused)
        for request in paused[: max(0, slots - limit.running)]:
            self._requests.remove(request)
            request.state = RUNNING
            limit.occupy_slot()
            state.actions.append(StartRun(request.id))
        excess = limit.running - pausing_count - int(MAX_RUNNING_RATIO * slots)
        if excess > 0:
            self._pause(excess)

    def _pause(self, count: int) -> None:
        """Request a pause for ``count`` runs, those with the latest objective first."""
        candidates = [request for request in self._state.requests.values() if self._can_pause(request)]
        candidates.sort(key=lambda request: -request.objective_at)
        for request in candidates[:count]:
            request.pause_requested = True
            self._requests.append(request)
            self._state.actions.append(CancelRun(request.id))

    def _can_pause(self, request: TrackedRequest) -> bool:
        """Return True for an idempotent run that may be paused; other runs must never be started a second time."""
        return (
            request.state is RUNNING
            and not request.answered
            and request not in self._requests
            and self._state.settings.classes[request.class_index].idempotency is Idempotency.IDEMPOTENT
        )

    def on_run_cancelled(self, request: TrackedRequest) -> None:
        """Record the end of a cancelled run: a run with a requested pause is paused now and frees its slot."""
        if request in self._requests and request.state is RUNNING:
            request.state = PAUSED
            self._state.concurrency_limit.free_slot()

    def discard(self, request: TrackedRequest) -> None:
        """Stop tracking a run that ended or needs a downstream call."""
        if request in self._requests:
            self._requests.remove(request)
