"""The clients of a modelled server: they send requests, give them up, and send them again."""

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

EARLY_CANCEL_FRACTION = 0.06  # of the requests whose caller gives up before its deadline
LATE_CANCEL_FRACTION = 0.15  # of the cancelled requests of which the server hears later
REPEAT_FRACTION = 0.12  # of the keyed requests that come again while the first is open
DUPLICATE_FRACTION = 0.03  # of the keyed requests that come twice in one batch
RETRY_PAUSE_MS = 150.0
MIN_REMAINING_MS = 50.0  # until the deadline; with less left nothing is sent
NO_RETRY_FRACTION = 0.4  # of the retries that are made although the rejection asks for none
KEY_COUNT = 400
COST_HINT_FRACTION = 0.9  # of the requests, in a scenario with hints
MIN_WORK_MS = 1.0
WARM_UP_CALL_FACTOR = 1.5  # caches are empty
QUEUE_PER_CORE = 8  # open requests per core that double the time that a request lies unread


class RequestFactory:
    """Draws what a request brings along: its work, calls, deadline and hints."""

    def __init__(
        self, instance: Instance, requests: RequestTable, keys: RetainedKeys, traffic: Traffic, cores: Cores
    ) -> None:
        self._instance = instance
        self._requests = requests
        self._keys = keys
        self._traffic = traffic
        self._cores = cores

    def read(self, class_index: int, key: int, spent_ms: float, is_retry: bool, duplicate_id: int) -> ModelRequest:
        """Let the server read a request; ``duplicate_id`` is the other attempt of it in the same batch, 0 for none."""
        scenario, rng = self._instance.scenario, self._instance.rng
        service_class = scenario.classes[class_index]
        request_id = self._instance.new_request_id()
        crowding = 1 + len(self._requests) / (QUEUE_PER_CORE * scenario.cores)
        unread_ms = round(rng.expovariate(1.0) * scenario.unread_ms * crowding, 3)
        remaining_ms = max(MIN_REMAINING_MS, service_class.deadline_ms - spent_ms)
        work_ms = max(MIN_WORK_MS, service_class.work_ms * rng.lognormvariate(-0.25, 0.7))
        request = ModelRequest(
            id=request_id,
            class_index=class_index,
            service_class=service_class,
            key=key,
            caller=rng.randrange(scenario.callers),
            deadline=self._instance.clock - unread_ms + remaining_ms,
            memory_kb=rng.uniform(*scenario.request_kb),
            work_ms=work_ms,
            work_left_ms=work_ms,
        )
        request.prior_id = self._find_prior(request) or duplicate_id
        request.calls_at = self._draw_calls(request)
        self._requests.add(request)
        self._instance.emit(wire.knock(self._instance.number, self._knock_fields(request, unread_ms, is_retry)))
        return request

    def _find_prior(self, request: ModelRequest) -> int:
        """Return the request that this one repeats, 0 for none."""
        idempotency = request.service_class.idempotency
        if idempotency == DEDUPLICATED:
            return self._keys.find_owner(request.class_index, request.key, self._instance.clock)
        if idempotency == IDEMPOTENT and self._instance.scenario.fresh > 0:
            return self._requests.find_equal(request.class_index, request.key)
        return 0

    def _draw_calls(self, request: ModelRequest) -> list[float]:
        rng = self._instance.rng
        if self._instance.scenario.below == "off":
            return []
        mean = request.service_class.calls * (WARM_UP_CALL_FACTOR if self._cores.warming_up else 1.0)
        count = int(mean) + (rng.random() < mean % 1)
        return sorted(request.work_ms * rng.random() for _ in range(count))

    def _knock_fields(self, request: ModelRequest, unread_ms: float, is_retry: bool) -> wire.Knock:
        service_class, scenario, rng = request.service_class, self._instance.scenario, self._instance.rng
        bits = (wire.RETRY if is_retry else 0) | (wire.WRITE if service_class.write else 0)
        cost = 0.0
        if scenario.hints and rng.random() < COST_HINT_FRACTION:
            bits |= wire.COST_KNOWN
            cost = request.work_ms * rng.uniform(0.7, 1.4)
        return wire.Knock(
            request=request.id,
            deadline=request.deadline if scenario.sends_deadline else 0.0,
            key=0 if service_class.idempotency == DEDUPLICATED else request.key,
            rank=self._traffic.draw_rank(request.class_index),
            unread_for=unread_ms,
            same_as=request.prior_id,
            bits=bits,
            tenant=rng.randrange(scenario.tenants) if scenario.tenants else 0,
            memory_kb=request.memory_kb,
            cost=cost,
            class_index=request.class_index,
            caller=request.caller,
        )


class Clients:
    """Sends the requests of all callers, cancels them, and retries what was rejected or failed."""

    def __init__(
        self, instance: Instance, requests: RequestTable, traffic: Traffic, factory: RequestFactory, runs: Runs
    ) -> None:
        self._instance = instance
        self._requests = requests
        self._traffic = traffic
        self._factory = factory
        self._runs = runs

    def send(self, elapsed: float) -> None:
        """Send the new requests of some time."""
        rng = self._instance.rng
        mean = self._traffic.rate_per_ms() * elapsed
        while rng.random() < mean:
            mean -= 1.0
            class_index = self._traffic.draw_class()
            if self._traffic.is_sent(self._traffic.draw_rank(class_index)):
                self._send_attempt(class_index, rng.randrange(1, KEY_COUNT), 0.0, is_retry=False)

    def _send_attempt(self, class_index: int, key: int, spent_ms: float, is_retry: bool) -> None:
        """Let a request be read, now and then twice; ``spent_ms`` is the time since its client's first attempt."""
        service_class = self._instance.scenario.classes[class_index]
        is_keyed = service_class.idempotency == DEDUPLICATED
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
        """Draw what the client of a request does later."""
        instance, rng = self._instance, self._instance.rng
        remaining_ms = request.deadline - instance.clock
        if rng.random() < EARLY_CANCEL_FRACTION:
            instance.schedule(remaining_ms * rng.random(), self._cancel, request)
        instance.agenda.add(request.deadline, self._cancel, request)
        if request.service_class.idempotency == DEDUPLICATED and rng.random() < REPEAT_FRACTION:
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
        instance.schedule(delay_ms, instance.emit_hangup, request.id)

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
        if request.service_class.idempotency in (IDEMPOTENT, DEDUPLICATED):
            self._maybe_retry(request, 0.0, 1.0)

    def _answer(self, request_id: int) -> ModelRequest | None:
        """Take note of an answer; return its request, or None where nobody waits for it."""
        request = self._requests.get(request_id)
        if request is None or request.answered:
            return None
        request.answered = True
        if request.state in OFF_CORE_STATES:
            self._runs.end(request, succeeded=False)
        return request

    def _maybe_retry(self, request: ModelRequest, retry_after_ms: float, odds: float) -> None:
        instance, rng = self._instance, self._instance.rng
        if rng.random() > instance.scenario.retry_fraction * odds:
            return
        delay_ms = max(retry_after_ms, RETRY_PAUSE_MS) * rng.uniform(1.0, 1.5)
        remaining_ms = request.deadline - instance.clock - delay_ms
        if remaining_ms > MIN_REMAINING_MS:
            spent_ms = request.service_class.deadline_ms - remaining_ms
            attempt = (request.class_index, request.key, spent_ms, True)
            instance.schedule(delay_ms, self._send_attempt, *attempt)
