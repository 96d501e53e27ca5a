"""Pauses runs that exceed the slots as they return from their calls, and resumes them."""

from __future__ import annotations

from lapispick.admission.actions import CancelRun, StartRun
from lapispick.admission.request_state import PAUSED, RUNNING, TrackedRequest
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import Idempotency

MAX_RUNNING_RATIO = 1.3  # of the slots; with more running some are paused


class RunPauser:
    """Owns the runs that are paused or about to pause; used where a cancelled run keeps its work."""

    __slots__ = ("_requests", "_state")

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._requests: list[TrackedRequest] = []

    def balance(self, slots: int) -> None:
        """Resume paused runs while slots are free, and pause those with the latest objective over the bound."""
        state = self._state
        limit = state.concurrency_limit
        paused = [request for request in self._requests if request.state is PAUSED]
        pausing = len(self._requests) - len(paused)
        for request in paused[: max(0, slots - limit.running)]:
            self._requests.remove(request)
            request.state = RUNNING
            limit.occupy_slot()
            state.actions.append(StartRun(request.id))
        excess = limit.running - pausing - int(MAX_RUNNING_RATIO * slots)
        if excess > 0:
            self._pause(excess)

    def _pause(self, count: int) -> None:
        """Order this many runs to be paused, those with the latest objective first."""
        candidates = [request for request in self._state.requests.values() if self._can_pause(request)]
        candidates.sort(key=lambda request: -request.objective_at)
        for request in candidates[:count]:
            request.pause_requested = True
            self._requests.append(request)
            self._state.actions.append(CancelRun(request.id))

    def _can_pause(self, request: TrackedRequest) -> bool:
        """Only idempotent runs are paused: a second start of any other is never risked."""
        return (
            request.state is RUNNING
            and not request.answered
            and request not in self._requests
            and self._state.settings.classes[request.class_index].idempotency is Idempotency.IDEMPOTENT
        )

    def confirm(self, request: TrackedRequest) -> None:
        """Take in that a run was cancelled: if it was to pause, it is off the cores now."""
        if request in self._requests and request.state is RUNNING:
            request.state = PAUSED
            self._state.concurrency_limit.free_slot()

    def discard(self, request: TrackedRequest) -> None:
        """Forget a run that ended or came to its call."""
        if request in self._requests:
            self._requests.remove(request)
