"""The controller of one server: dispatches each event to its handler and closes the control windows."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf
from typing import Any, NamedTuple

from lapispick.admission.actions import Action, Advertise, Log, SetHealth, SetIdleTimeout, SetTimer
from lapispick.admission.downstream_calls import DownstreamCalls
from lapispick.admission.events import (
    CORE_USE_GAUGE,
    ON_CORES_GAUGE,
    PEER_CALLS_GAUGE,
    PEER_MEMORY_GAUGE,
    PEER_RUNS_GAUGE,
    CallCompleted,
    CallRequested,
    ClientCancelled,
    Event,
    LearnedEstimates,
    RequestReceived,
    RunCompleted,
    ShutdownRequested,
    TimerFired,
)
from lapispick.admission.request_admission import RequestAdmission
from lapispick.admission.request_lifecycle import RequestLifecycle
from lapispick.admission.run_pauser import RunPauser
from lapispick.admission.run_scheduler import RunScheduler
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import Settings

TIMER_INTERVAL_MS = 40.0  # with ANSWER_MARGIN_MS it bounds how late an overdue request is answered
CONTROL_WINDOW_MS = 240.0  # interval at which the concurrency limit, backpressure value and idle timeout adapt
TIMER_TOKEN = 0


class RequestUsage(NamedTuple):
    """Resources that the requests of this process use at present."""

    running: int
    memory_kb: float
    calls_in_flight: int


class Controller:
    """Entry point of the decision module, a state machine without clock or I/O: events in, actions out."""

    __slots__ = ("_admission", "_calls", "_handlers", "_lifecycle", "_next_window_at", "_scheduler", "state")

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        settings.validate()
        self.state = ServerState(settings, seed, now)
        pauser = RunPauser(self.state)
        self._lifecycle = RequestLifecycle(self.state, pauser)
        self._admission = RequestAdmission(self.state, self._lifecycle)
        self._calls = DownstreamCalls(self.state, self._lifecycle, pauser)
        self._scheduler = RunScheduler(self.state, self._lifecycle, pauser)
        self._next_window_at = -inf
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._admission.on_request_received,
            ClientCancelled: self._lifecycle.on_client_cancelled,
            RunCompleted: self._lifecycle.on_run_completed,
            CallRequested: self._calls.on_call_requested,
            CallCompleted: self._calls.on_call_completed,
            ShutdownRequested: self._on_shutdown_requested,
            TimerFired: self._on_timer_fired,
        }

    def step(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Process the events that occurred up to ``now``; return the actions in the order of their execution."""
        state = self.state
        state.now = now
        state.events = events
        state.actions = []
        if self._next_window_at == -inf:
            self._next_window_at = now
            state.actions.append(SetHealth(True, True))
            state.actions.append(SetTimer(TIMER_INTERVAL_MS, TIMER_TOKEN))
        state.downstream.advance(now)
        handlers = self._handlers
        for event in events:
            handlers[type(event)](event)
        self._lifecycle.answer_overdue()
        self._calls.start_waiting_calls()
        self._scheduler.start_queued(self._admission.read_delay_fraction)
        return state.actions

    def usage(self) -> RequestUsage:
        """Return the resources that this process uses, for the peer process of this server."""
        state = self.state
        return RequestUsage(state.concurrency_limit.running, state.memory.used_kb, state.downstream.in_flight)

    def learned_estimates(self) -> LearnedEstimates:
        """Return the learned estimates for the process that replaces this one; see ``adopt``."""
        state = self.state
        estimates = state.run_estimates
        return LearnedEstimates(
            core_ms=tuple(estimates.core_ms),
            run_ms=tuple(estimates.run_ms),
            blocked_ms=tuple(estimates.blocked_ms),
            call_ms=tuple(estimates.call_ms),
            runs=tuple(estimates.runs),
            concurrency_limit=state.concurrency_limit.value,
            call_times=state.downstream.call_times,
            call_limit=state.downstream.limit,
            prices=state.shadow_prices.current,
            prices_frozen=state.shadow_prices.frozen,
        )

    def adopt(self, learned: LearnedEstimates) -> None:
        """Start with the estimates of another process on this host; estimates learned here take precedence."""
        state = self.state
        if not state.run_estimates.adopt(learned):
            return
        state.concurrency_limit.adopt(learned.concurrency_limit)
        state.downstream.adopt(learned.call_times, learned.call_limit)
        state.shadow_prices.adopt(learned.prices, learned.prices_frozen)

    def _on_shutdown_requested(self, event: ShutdownRequested) -> None:
        """Start draining: every request that was read is answered before the stop."""
        state = self.state
        state.drain.begin(event, state.now)
        if not event.handed_over:
            state.actions.append(SetHealth(False, True))
            state.actions.append(Log("drain: leaving, new requests are sent elsewhere"))
        stop_at = state.drain.stop_at
        for request in state.requests.values():
            if request.deadline_at > stop_at:
                request.deadline_at = stop_at
                state.deadlines.schedule(request)
        self._next_window_at = state.now

    def _on_timer_fired(self, event: TimerFired) -> None:
        """Request the next timer, read the gauges and close the control window if its interval has passed."""
        state = self.state
        state.actions.append(SetTimer(TIMER_INTERVAL_MS, TIMER_TOKEN))
        gauges = dict(zip(state.settings.gauges, event.gauges, strict=False))
        state.concurrency_limit.peer_runs = gauges.get(PEER_RUNS_GAUGE, 0.0)
        state.memory.peer_kb = gauges.get(PEER_MEMORY_GAUGE, 0.0)
        state.downstream.peer_calls = gauges.get(PEER_CALLS_GAUGE, 0.0)
        state.concurrency_limit.record_threads_on_cores(gauges.get(ON_CORES_GAUGE, 0.0))
        if state.now >= self._next_window_at:
            self._next_window_at = state.now + CONTROL_WINDOW_MS
            self._close_window(gauges.get(CORE_USE_GAUGE, 0.0))

    def _close_window(self, core_use: float) -> None:
        """Expire keys; adapt the concurrency limit, the queue order, the backpressure value and the idle timeout."""
        state = self.state
        now = state.now
        state.idempotency.expire(now)
        state.concurrency_limit.close_window(state.slow_start.speed_fraction(now), core_use)
        state.queue.sort()
        value = state.backpressure.close_window(state.drain.diverts_clients(now))
        if value is not None:
            state.actions.append(Advertise(value))
        timeout_ms = state.idle_timeout.close_window(state.backpressure.shed_fraction)
        if timeout_ms is not None:
            state.actions.append(SetIdleTimeout(timeout_ms))
