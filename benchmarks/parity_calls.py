"""Model of the dependency of a server, which has periods of faults, and of the calls that runs make to it."""

from __future__ import annotations

from benchmarks import parity_wire as wire
from benchmarks.parity_instance import Instance
from benchmarks.parity_requests import ModelRequest, RequestState, RequestTable
from benchmarks.parity_wire import Outcome

FAULT_MS = 2500.0
MIN_FAULT_FRACTION = 0.01  # of the time; limits the pause between two faults
SLOW_FRACTION_IN_FAULT = 0.5
FAULT_SLOWDOWN_FACTOR = 6.0
HANG_FRACTION_IN_FAULT = 0.05
HANG_MS = 60000.0
FAILURE_FRACTION_IN_FAULT = 0.45
USUAL_FAILURE_FRACTION = 0.02  # without a fault
FAILED_CALLS = (
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.TIMEOUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.MOOT,
)
FAILED_CALL_WEIGHTS = (4, 4, 4, 4, 4, 1, 1)
QUICK_FAILURES = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
QUICK_FAILURE_DURATION_FACTOR = 0.1  # relative to other calls


class Dependency:
    """The dependency that an instance calls; its faults continue across restarts of the instance."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._fault_until = 0.0

    def draw_call(self) -> tuple[float, Outcome]:
        """Draw a call; return its duration in ms and its outcome."""
        rng, has_fault = self._instance.rng, self._has_fault()
        duration_ms = self._instance.scenario.call_ms * rng.lognormvariate(0.0, 0.4)
        if has_fault and rng.random() < SLOW_FRACTION_IN_FAULT:
            duration_ms *= FAULT_SLOWDOWN_FACTOR
        if has_fault and rng.random() < HANG_FRACTION_IN_FAULT:
            return HANG_MS, Outcome.TIMEOUT
        if rng.random() >= (FAILURE_FRACTION_IN_FAULT if has_fault else USUAL_FAILURE_FRACTION):
            return duration_ms, Outcome.OK
        outcome = rng.choices(FAILED_CALLS, FAILED_CALL_WEIGHTS)[0]
        return duration_ms * (QUICK_FAILURE_DURATION_FACTOR if outcome in QUICK_FAILURES else 1.0), outcome

    def _has_fault(self) -> bool:
        """Return True during a fault; a fault begins at the first call after the pause between two faults."""
        clock, fault_fraction = self._instance.clock, self._instance.scenario.call_fault_fraction
        if clock > self._fault_until + FAULT_MS * (1 - fault_fraction) / max(fault_fraction, MIN_FAULT_FRACTION):
            self._fault_until = clock + FAULT_MS
        return fault_fraction > 0 and clock <= self._fault_until


class Calls:
    """The calls of one process."""

    def __init__(self, instance: Instance, requests: RequestTable, dependency: Dependency) -> None:
        self._instance = instance
        self._requests = requests
        self._dependency = dependency

    def start(self, request_id: int, timeout_ms: float) -> None:
        """Start the call that a run waits for."""
        request = self._requests.get(request_id)
        if request is None or request.state is not RequestState.AWAITING_CALL:
            return
        request.state = RequestState.CALLING
        request.call_started_at = self._instance.clock
        request.call_number += 1
        duration_ms, outcome = self._dependency.draw_call()
        limit_ms = timeout_ms if timeout_ms > 0 else request.request_class.deadline_ms
        if duration_ms > limit_ms:
            duration_ms, outcome = limit_ms, Outcome.TIMEOUT
        self._instance.schedule(duration_ms, self._end, request, request.call_number, outcome)

    def _end(self, request: ModelRequest, call_number: int, outcome: Outcome) -> None:
        if request.state is not RequestState.CALLING or request.call_number != call_number:
            return
        instance = self._instance
        duration_ms = instance.clock - request.call_started_at
        instance.emit(wire.encode_call_completed(instance.number, request.id, duration_ms, outcome))
        request.state = RequestState.RUNNING if outcome is Outcome.OK else RequestState.AWAITING_CALL
