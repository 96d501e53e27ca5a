"""The price test: compares the value of a request with the shadow price of the run time and cost it needs."""

from __future__ import annotations

from math import inf

from lapispick.admission.actions import Log
from lapispick.admission.request_state import TrackedRequest
from lapispick.admission.run_estimates import MIN_CORE_TIME_MS
from lapispick.admission.server_state import ServerState
from lapispick.admission.shadow_prices import SampledRequest

MAX_WAIT_FRACTION = 0.25  # of a request's spare time; from this expected wait on the prices apply in full


class PriceTest:
    """Admits all requests while no work waits, and under pressure only those whose value covers their price."""

    __slots__ = ("_needs_call", "_state")

    def __init__(self, state: ServerState) -> None:
        self._state = state
        # By queue. Requests of the other classes continue without a call if there is no capacity for one.
        self._needs_call = [settings.degraded_weight <= 0 for settings in state.settings.classes] * 2

    def admits(self, request: TrackedRequest) -> bool:
        """Return True if the value of a request covers its price, which is scaled by the pressure."""
        state = self._state
        now = state.now
        prices = state.shadow_prices
        queue = state.queue.queue_number_of(request, now)
        wait_ms = self._expected_wait_ms(queue)
        if wait_ms <= 0:
            prices.end_pressure()
            return True
        late = queue >= state.queue.late_offset
        value = request.value * (state.settings.classes[request.class_index].late_weight if late else 1.0)
        occupancy_ms = state.run_estimates.core_time_ms(request)
        if not prices.frozen and not late:
            self._sample(wait_ms, SampledRequest(request.class_index, value, occupancy_ms, request.cost))
        due_at = request.deadline_at if late else request.objective_at
        spare_ms = due_at - now - state.run_estimates.expected_run_ms(request)
        pressure = wait_ms / (MAX_WAIT_FRACTION * spare_ms) if spare_ms > 0 else inf
        price = prices.occupancy_price * occupancy_ms + prices.cost_price * request.cost
        # At a pressure of 1 or more the queue is so long that the answer would be late.
        admitted = pressure < 1 and value >= pressure * price
        if admitted:
            prices.admitted_cost += request.cost
        return admitted

    def _sample(self, wait_ms: float, request: SampledRequest) -> None:
        """Add a request to the sample, except while the server warms up: such prices would soon be wrong."""
        state = self._state
        if state.slow_start.speed_fraction(state.now) < 1:
            return
        state.shadow_prices.observe(state.now, wait_ms, request)
        log_text = state.shadow_prices.learn(state.concurrency_limit.value)
        if log_text is not None:
            state.actions.append(Log(log_text))

    def _expected_wait_ms(self, queue: int) -> float:
        """Return the expected wait of a request in this queue for a slot, or for its call if that takes longer."""
        state = self._state
        estimates = state.run_estimates
        needs_call = self._needs_call
        queued_ms = state.queue.work_ms
        late_offset = state.queue.late_offset
        work_ms = 0.0
        call_work_ms = 0.0
        for number in state.queue.order:
            if work := queued_ms[number]:
                work_ms += work
                if needs_call[number]:
                    class_index = number % late_offset
                    call_work_ms += (
                        work * estimates.call_ms[class_index] / max(MIN_CORE_TIME_MS, estimates.core_ms[class_index])
                    )
            if number == queue:
                break
        wait_ms = work_ms / state.concurrency_limit.value
        if state.settings.call_quota > 0 and needs_call[queue] and estimates.call_ms[queue % late_offset] > 0:
            downstream = state.downstream
            call_work_ms += len(downstream.waiting) * downstream.recent_call_ms
            wait_ms = max(wait_ms, call_work_ms / downstream.limit)
        return wait_ms
