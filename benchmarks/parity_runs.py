"""Model of the runs of a server: runs share the cores evenly, and end, fail, pause or wait for a call."""

from __future__ import annotations

from benchmarks import parity_wire as wire
from benchmarks.parity_instance import Instance
from benchmarks.parity_requests import CALL_STATES, ModelRequest, RequestState, RequestTable
from benchmarks.parity_wire import Outcome

COALESCED_WORK_FRACTION = 0.05  # of the work of the request with which it is coalesced
ERROR_FRACTION = 0.02  # fraction of runs that fail
MAX_LATE_CANCEL_MS = 120.0  # delay of a cancellation event
STRAY_CANCEL_FRACTION = 0.01  # fraction of runs whose request is cancelled after their end
STOPS_WHEN_CANCELLED_FRACTION = (
    0.5  # fraction of runs that end as cancelled, if their request was answered or cancelled
)
GAUGE_WINDOW_MS = 500.0
MAX_RUNS_PER_CORE = 1.4  # above this number, contention slows all runs
CONTENTION_SPEED_FACTOR = 0.8


class Cores:
    """The cores of a process: their speed, which increases during warm-up, and their mean use."""

    def __init__(self, instance: Instance, warming_up: bool) -> None:
        self._instance = instance
        self._started_at = instance.clock
        self.warming_up = warming_up
        self.mean_use = 0.0

    def share(self, run_count: int, elapsed_ms: float) -> float:
        """Advance the mean use by an interval; return the work in ms that each of ``run_count`` runs does in it."""
        cores = self._instance.scenario.cores
        used = min(1.0, run_count / cores)
        self.mean_use += (used - self.mean_use) * min(1.0, elapsed_ms / GAUGE_WINDOW_MS)
        if not run_count:
            return 0.0
        contention_factor = 1.0 if run_count <= MAX_RUNS_PER_CORE * cores else CONTENTION_SPEED_FACTOR
        return elapsed_ms * self._speed() * min(1.0, cores / run_count) * contention_factor

    def _speed(self) -> float:
        scenario = self._instance.scenario
        if not self.warming_up:
            return scenario.speed
        warm_fraction = min(1.0, (self._instance.clock - self._started_at) / scenario.warm_up_ms)
        return scenario.speed * (
            scenario.initial_speed_fraction + (1 - scenario.initial_speed_fraction) * warm_fraction
        )


class Runs:
    """Starts, advances, cancels and ends the runs of a process."""

    def __init__(self, instance: Instance, requests: RequestTable, cores: Cores) -> None:
        self._instance = instance
        self._requests = requests
        self._cores = cores

    # Progress over time.

    def advance(self, elapsed_ms: float) -> None:
        """Advance all runs by an interval in ms."""
        running = self._requests.in_state(RequestState.RUNNING)
        work_ms = self._cores.share(len(running), elapsed_ms)
        for request in running:
            self._advance(request, work_ms)

    def _advance(self, request: ModelRequest, work_ms: float) -> None:
        request.work_left_ms -= work_ms
        if request.calls_at and request.work_left_ms <= request.calls_at[-1]:
            request.calls_at.pop()
            if request.answered:
                self.finish(request, Outcome.CANCELLED)
            else:
                request.state = RequestState.AWAITING_CALL
                self._instance.emit(wire.encode_call_requested(self._instance.number, request.id))
        elif request.work_left_ms <= 0:
            failed = self._instance.rng.random() < ERROR_FRACTION
            if request.answered and self._instance.rng.random() < STOPS_WHEN_CANCELLED_FRACTION:
                self.finish(request, Outcome.CANCELLED)
            else:
                self.finish(request, Outcome.ERROR if failed else Outcome.OK)

    # Ends of runs.

    def finish(self, request: ModelRequest, outcome: Outcome) -> None:
        """End a run and add its event."""
        instance = self._instance
        instance.emit(
            wire.encode_run_completed(instance.number, request.id, outcome, instance.clock - request.started_at)
        )
        if instance.scenario.reports_cancels and instance.rng.random() < STRAY_CANCEL_FRACTION:
            instance.schedule(MAX_LATE_CANCEL_MS, instance.emit_client_cancelled, request.id)
        self.end(request, succeeded=outcome is Outcome.OK)

    def end(self, request: ModelRequest, succeeded: bool) -> None:
        """End a request, and schedule the ends of the requests coalesced with it."""
        if request.state is RequestState.COMPLETED:
            return
        request.state = RequestState.COMPLETED
        self._requests.end(request, succeeded)
        for other in self._requests.in_state(RequestState.COALESCED):
            if other.retry_of == request.id:
                self._schedule_coalesced(other, request.work_ms, succeeded)

    def _schedule_coalesced(self, request: ModelRequest, work_ms: float, succeeded: bool) -> None:
        self._instance.schedule(COALESCED_WORK_FRACTION * work_ms, self._finish_coalesced, request, succeeded)

    def _finish_coalesced(self, request: ModelRequest, succeeded: bool) -> None:
        if request.state is RequestState.COALESCED and not request.answered:
            self.finish(request, Outcome.OK if succeeded else Outcome.ERROR)

    def cancel_waiting(self, request: ModelRequest) -> None:
        """Cancel a run that waits for a call."""
        if request.state in CALL_STATES:
            self.finish(request, Outcome.CANCELLED)

    # Actions of the controller.

    def dispatch(self, request_id: int) -> None:
        """Start a queued request or resume a paused run."""
        request = self._requests.get(request_id)
        if request is None:
            self._instance.schedule(0.0, self._abandon, request_id)
        elif request.state in (RequestState.QUEUED, RequestState.PAUSED):
            if request.state is RequestState.QUEUED:
                request.started_at = self._instance.clock
            request.state = RequestState.RUNNING

    def _abandon(self, request_id: int) -> None:
        self._instance.emit(wire.encode_run_completed(self._instance.number, request_id, Outcome.MOOT, 0.0))

    def coalesce(self, request_id: int) -> None:
        """Make a request wait for the result of the attempt that it repeats."""
        request = self._requests.get(request_id)
        if request is None:
            self._instance.schedule(0.0, self._abandon, request_id)
            return
        request.state, request.started_at = RequestState.COALESCED, self._instance.clock
        if request.retry_of not in self._requests:
            succeeded = self._requests.has_succeeded(request.retry_of)
            self._schedule_coalesced(request, request.work_ms, succeeded)

    def skip_call(self, request_id: int) -> None:
        """Continue a run without the call that it waits for."""
        request = self._requests.get(request_id)
        if request is not None and request.state is RequestState.AWAITING_CALL:
            request.state = RequestState.RUNNING

    def cancel(self, request_id: int) -> None:
        """Cancel or pause a run; a run that waits for a call can't be paused."""
        request = self._requests.get(request_id)
        if request is None or request.state not in (RequestState.RUNNING, *CALL_STATES):
            return
        paused = self._instance.scenario.cancel_mode == "pause"
        if paused and request.state is not RequestState.RUNNING:
            return
        self._instance.schedule(0.0, self._confirm_cancel, request, paused)

    def _confirm_cancel(self, request: ModelRequest, paused: bool) -> None:
        """Confirm a cancellation, unless the run ended or, in cancel mode pause, needed a call first."""
        if request.state is not RequestState.RUNNING and (paused or request.state is RequestState.COMPLETED):
            return
        if request.answered:
            self.finish(request, Outcome.CANCELLED)
            return
        instance = self._instance
        duration_ms = instance.clock - request.started_at
        instance.emit(wire.encode_run_completed(instance.number, request.id, Outcome.CANCELLED, duration_ms))
        request.state = RequestState.PAUSED if paused else RequestState.QUEUED
        if not paused:
            request.work_left_ms = request.work_ms
            request.call_number += 1
