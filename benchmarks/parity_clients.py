"""Model of the clients of a server: they send, cancel and retry requests."""

from __future__ import annotations

from benchmarks import parity_wire as wire
from benchmarks.parity_instance import Instance
from benchmarks.parity_requests import (
    CALL_STATES,
    OFF_CORE_STATES,
    ModelRequest,
    RequestState,
    RequestTable,
    RetainedKeys,
)
from benchmarks.parity_runs import MAX_LATE_CANCEL_MS, Cores, Runs
from benchmarks.parity_scenarios import DEDUPLICATED, IDEMPOTENT
from benchmarks.parity_traffic import Traffic
from benchmarks.parity_wire import Outcome

EARLY_CANCEL_FRACTION = 0.06  # fraction of requests cancelled at a random time before the deadline
LATE_CANCEL_FRACTION = 0.15  # fraction of cancellations that reach the server with a delay
REPEAT_FRACTION = 0.12  # fraction of keyed requests sent again before the deadline
DUPLICATE_FRACTION = 0.03  # fraction of keyed requests that arrive twice in one batch
RETRY_PAUSE_MS = 150.0
MIN_REMAINING_MS = 50.0  # least time to the deadline; no retry is sent with less
NO_RETRY_FRACTION = 0.4  # fraction of retries that are sent despite a no-retry hint
KEY_COUNT = 400
COST_HINT_FRACTION = 0.9  # fraction of requests with a hint, in a scenario with cost hints
MIN_WORK_MS = 1.0
WARM_UP_CALL_FACTOR = 1.5  # caches are empty during warm-up, so runs make more calls
QUEUE_PER_CORE = 8  # open requests per core at which the mean unread time has doubled


class RequestFactory:
    """Draws the properties of a request: its work, calls, deadline and hints."""

    def __init__(
        self, instance: Instance, requests: RequestTable, keys: RetainedKeys, traffic: Traffic, cores: Cores
    ) -> None:
        self._instance = instance
        self._requests = requests
        self._keys = keys
        self._traffic = traffic
        self._cores = cores

    def read(self, class_index: int, key: int, spent_ms: float, is_retry: bool, duplicate_id: int) -> ModelRequest:
        """Create a request that the server reads; ``duplicate_id`` is its other attempt in this batch, 0 for none."""
        scenario, rng = self._instance.scenario, self._instance.rng
        request_class = scenario.classes[class_index]
        request_id = self._instance.new_request_id()
        queue_factor = 1 + len(self._requests) / (QUEUE_PER_CORE * scenario.cores)
        unread_ms = round(rng.expovariate(1.0) * scenario.unread_ms * queue_factor, 3)
        remaining_ms = max(MIN_REMAINING_MS, request_class.deadline_ms - spent_ms)
        work_ms = max(MIN_WORK_MS, request_class.work_ms * rng.lognormvariate(-0.25, 0.7))
        request = ModelRequest(
            id=request_id,
            class_index=class_index,
            request_class=request_class,
            key=key,
            caller=rng.randrange(scenario.callers),
            deadline=self._instance.clock - unread_ms + remaining_ms,
            memory_kb=rng.uniform(*scenario.request_memory_kb),
            work_ms=work_ms,
            work_left_ms=work_ms,
        )
        request.retry_of = self._find_repeated_request(request) or duplicate_id
        request.calls_at = self._draw_calls(request)
        self._requests.add(request)
        self._instance.emit(
            wire.encode_request_received(self._instance.number, self._request_fields(request, unread_ms, is_retry))
        )
        return request

    def _find_repeated_request(self, request: ModelRequest) -> int:
        """Return the id of the earlier attempt that this request repeats, 0 for none."""
        idempotency = request.request_class.idempotency
        if idempotency == DEDUPLICATED:
            return self._keys.find_owner(request.class_index, request.key, self._instance.clock)
        if idempotency == IDEMPOTENT and self._instance.scenario.freshness_ms > 0:
            return self._requests.find_equal(request.class_index, request.key)
        return 0

    def _draw_calls(self, request: ModelRequest) -> list[float]:
        rng = self._instance.rng
        if self._instance.scenario.downstream == "off":
            return []
        mean_count = request.request_class.calls * (WARM_UP_CALL_FACTOR if self._cores.warming_up else 1.0)
        count = int(mean_count) + (rng.random() < mean_count % 1)
        return sorted(request.work_ms * rng.random() for _ in range(count))

    def _request_fields(self, request: ModelRequest, unread_ms: float, is_retry: bool) -> wire.RequestReceived:
        request_class, scenario, rng = request.request_class, self._instance.scenario, self._instance.rng
        flags = (wire.RETRY_BIT if is_retry else 0) | (wire.WRITE_BIT if request_class.is_write else 0)
        cost = 0.0
        if scenario.sends_cost_hints and rng.random() < COST_HINT_FRACTION:
            flags |= wire.COST_KNOWN_BIT
            cost = request.work_ms * rng.uniform(0.7, 1.4)
        return wire.RequestReceived(
            request=request.id,
            deadline=request.deadline if scenario.callers_send_deadline else 0.0,
            key=0 if request_class.idempotency == DEDUPLICATED else request.key,
            rank=self._traffic.draw_rank(request.class_index),
            age_ms=unread_ms,
            retry_of=request.retry_of,
            flags=flags,
            tenant=rng.randrange(scenario.tenants) if scenario.tenants else 0,
            memory_kb=request.memory_kb,
            cost=cost,
            class_index=request.class_index,
            caller=request.caller,
        )


class Clients:
    """Sends and cancels the requests of all callers, and retries rejected and failed ones."""

    def __init__(
        self, instance: Instance, requests: RequestTable, traffic: Traffic, factory: RequestFactory, runs: Runs
    ) -> None:
        self._instance = instance
        self._requests = requests
        self._traffic = traffic
        self._factory = factory
        self._runs = runs

    def send(self, elapsed_ms: float) -> None:
        """Send the new requests of an interval in ms."""
        rng = self._instance.rng
        expected_count = self._traffic.rate_per_ms() * elapsed_ms
        while rng.random() < expected_count:
            expected_count -= 1.0
            class_index = self._traffic.draw_class()
            if self._traffic.draw_is_sent(self._traffic.draw_rank(class_index)):
                self._send_attempt(class_index, rng.randrange(1, KEY_COUNT), 0.0, is_retry=False)

    def _send_attempt(self, class_index: int, key: int, spent_ms: float, is_retry: bool) -> None:
        """Send an attempt, sometimes twice in one batch; ``spent_ms`` is the time since the first attempt."""
        request_class = self._instance.scenario.classes[class_index]
        is_keyed = request_class.idempotency == DEDUPLICATED
        is_duplicated = is_keyed and self._instance.rng.random() < DUPLICATE_FRACTION
        second_id = self._instance.upcoming_request_id(2) if is_duplicated else 0
        first = self._read(class_index, key, spent_ms, is_retry, second_id)
        if is_duplicated:
            self._read(class_index, key, spent_ms, True, first.id)

    def _read(self, class_index: int, key: int, spent_ms: float, is_retry: bool, duplicate_id: int) -> ModelRequest:
        request = self._factory.read(class_index, key, spent_ms, is_retry, duplicate_id)
        self._schedule_client(request, spent_ms)
        return request

    def _schedule_client(self, request: ModelRequest, spent_ms: float) -> None:
        """Schedule the cancellation of a request, and possibly a repeated attempt."""
        instance, rng = self._instance, self._instance.rng
        remaining_ms = request.deadline - instance.clock
        if rng.random() < EARLY_CANCEL_FRACTION:
            instance.schedule(remaining_ms * rng.random(), self._cancel, request)
        instance.scheduler.add(request.deadline, self._cancel, request)
        if request.request_class.idempotency == DEDUPLICATED and rng.random() < REPEAT_FRACTION:
            delay_ms = remaining_ms * rng.random()
            attempt = (request.class_index, request.key, spent_ms + delay_ms, True)
            instance.schedule(delay_ms, self._send_attempt, *attempt)

    def _cancel(self, request: ModelRequest) -> None:
        if request.answered or request.state is RequestState.COMPLETED:
            return
        request.answered = True
        if request.state in OFF_CORE_STATES:
            self._runs.end(request, succeeded=False)
        elif request.state in CALL_STATES:
            self._runs.finish(request, Outcome.CANCELLED)
        instance, rng = self._instance, self._instance.rng
        if not instance.scenario.reports_cancels:
            return
        is_late = rng.random() < LATE_CANCEL_FRACTION
        delay_ms = MAX_LATE_CANCEL_MS * rng.random() if is_late else 0.0
        instance.schedule(delay_ms, instance.emit_client_cancelled, request.id)

    # Actions of the controller.

    def reject(self, request_id: int, retry_after_ms: float, no_retry: bool) -> None:
        """Answer a request with a rejection."""
        request = self._answer(request_id)
        if request is not None:
            self._maybe_retry(request, retry_after_ms, NO_RETRY_FRACTION if no_retry else 1.0)

    def fail(self, request_id: int) -> None:
        """Answer a request with a failure."""
        request = self._answer(request_id)
        if request is None:
            return
        if request.state in CALL_STATES:
            self._instance.schedule(0.0, self._runs.cancel_waiting, request)
        if request.request_class.idempotency in (IDEMPOTENT, DEDUPLICATED):
            self._maybe_retry(request, 0.0, 1.0)

    def _answer(self, request_id: int) -> ModelRequest | None:
        """Mark a request as answered and return it; return None if no client waits for it."""
        request = self._requests.get(request_id)
        if request is None or request.answered:
            return None
        request.answered = True
        if request.state in OFF_CORE_STATES:
            self._runs.end(request, succeeded=False)
        return request

    def _maybe_retry(self, request: ModelRequest, retry_after_ms: float, probability_factor: float) -> None:
        instance, rng = self._instance, self._instance.rng
        if rng.random() > instance.scenario.retry_fraction * probability_factor:
            return
        delay_ms = max(retry_after_ms, RETRY_PAUSE_MS) * rng.uniform(1.0, 1.5)
        remaining_ms = request.deadline - instance.clock - delay_ms
        if remaining_ms > MIN_REMAINING_MS:
            spent_ms = request.request_class.deadline_ms - remaining_ms
            attempt = (request.class_index, request.key, spent_ms, True)
            instance.schedule(delay_ms, self._send_attempt, *attempt)
