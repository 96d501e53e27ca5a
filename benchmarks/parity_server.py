"""Small model of one server under load: derives the next events from the actions of a controller.

The model is much simpler than the simulator: runs share the cores evenly, and callers, clients and the dependency take
a few random draws each. It only has to produce plausible events of all kinds that depend on nothing but a seed and the
actions.
"""

from __future__ import annotations

from collections.abc import Callable

from benchmarks import parity_wire as wire
from benchmarks.parity_calls import Calls, Dependency
from benchmarks.parity_clients import Clients, RequestFactory
from benchmarks.parity_instance import Instance
from benchmarks.parity_requests import ModelRequest, RequestState, RequestTable, RetainedKeys
from benchmarks.parity_runs import Cores, Runs
from benchmarks.parity_scenarios import Scenario, start_settings
from benchmarks.parity_traffic import Traffic
from benchmarks.parity_wire import Action, ActionCode

SHUTDOWN_NOTICE_MS = 3000.0
CRASH_FRACTION = 0.3  # fraction of ends of a process without a shutdown notice
IMMEDIATE_RESTART_FRACTION = 0.5  # fraction of restarts without a pause; the others take RESTART_MS
RESTART_MS = 700.0


class Gauges:
    """Gauges that a process reports."""

    def __init__(self, instance: Instance, requests: RequestTable, keys: RetainedKeys, cores: Cores) -> None:
        self._instance = instance
        self._requests = requests
        self._keys = keys
        self._cores = cores

    def read_all(self) -> list[float]:
        """Return the values of the gauges in the order of the scenario."""
        return [self._read(name) for name in self._instance.scenario.gauges]

    def _read(self, name: str) -> float:
        match name:
            case "core_use":
                return self._cores.mean_use
            case "on_cores":
                return len(self._requests.in_state(RequestState.RUNNING)) + 3 * self._instance.rng.random()
            case "heap_share":
                return self._memory_kb() / self._instance.scenario.memory_kb
        return 10.0 + len(self._requests)

    def _memory_kb(self) -> float:
        scenario = self._instance.scenario
        requests_kb = sum(self._request_memory_kb(request) for request in self._requests)
        return requests_kb + scenario.key_memory_kb * len(self._keys)

    def _request_memory_kb(self, request: ModelRequest) -> float:
        is_waiting = request.state in (RequestState.QUEUED, RequestState.COALESCED)
        return request.memory_kb * (1.0 if is_waiting else self._instance.scenario.run_memory_factor)


class ServerProcess:
    """One process of an instance: its requests, runs, calls and clients; a restart creates a new one."""

    def __init__(self, instance: Instance, dependency: Dependency, warming_up: bool) -> None:
        self._instance = instance
        self._requests = RequestTable()
        self._keys = RetainedKeys()
        self._cores = Cores(instance, warming_up)
        self._runs = Runs(instance, self._requests, self._cores)
        self._calls = Calls(instance, self._requests, dependency)
        self._traffic = Traffic(instance, self._requests)
        factory = RequestFactory(instance, self._requests, self._keys, self._traffic, self._cores)
        self._clients = Clients(instance, self._requests, self._traffic, factory, self._runs)
        self._gauges = Gauges(instance, self._requests, self._keys, self._cores)
        self._action_handlers = self._build_handlers()

    def _build_handlers(self) -> dict[ActionCode, Callable[..., None]]:
        return {
            ActionCode.DISPATCH: self._runs.dispatch,
            ActionCode.PIN: self._retain_key,
            ActionCode.INVOKE: self._calls.start,
            ActionCode.SAY: self._traffic.set_backpressure,
            ActionCode.JOIN: self._runs.coalesce,
            ActionCode.YANK: self._runs.cancel,
            ActionCode.SAY_NO: self._clients.reject,
            ActionCode.GO_ON: self._runs.skip_call,
            ActionCode.RELEASE_KEY: self._keys.release,
            ActionCode.MARK_HEALTH: self._traffic.set_health,
            ActionCode.ARM: self._set_timer,
            ActionCode.REPORT_FAILURE: self._clients.fail,
        }

    def advance_runs(self, elapsed_ms: float) -> None:
        """Advance all runs by an interval in ms."""
        self._runs.advance(elapsed_ms)

    def send_requests(self, elapsed_ms: float) -> None:
        """Send the new requests of an interval in ms."""
        self._clients.send(elapsed_ms)

    def apply(self, action: Action) -> None:
        """Carry out one action of the controller."""
        handler = self._action_handlers.get(action.code)
        if handler is not None:
            handler(*action.fields)

    def _retain_key(self, request_id: int, retain_ms: float) -> None:
        request = self._requests.get(request_id)
        if request is not None:
            self._keys.retain(request, self._instance.clock + retain_ms)

    def _set_timer(self, delay_ms: float, token: int) -> None:
        self._instance.schedule(delay_ms, self._fire_timer, token)

    def _fire_timer(self, token: int) -> None:
        self._instance.emit(wire.encode_timer_fired(self._instance.number, token, self._gauges.read_all()))


class Server:
    """One instance with its callers and its dependency, across crashes, shutdowns and restarts."""

    def __init__(self, scenario: Scenario, number: int, seed: int, clock: float) -> None:
        self._instance = Instance(scenario, number, seed, clock)
        self._dependency = Dependency(self._instance)
        self._is_running = False
        self._start(scenario.warming_up)

    # Interface of the driver.

    def first_events(self) -> list[bytes]:
        """Return the encoded events of the first start."""
        return self._instance.take_records()

    def events(self, clock: float) -> list[bytes]:
        """Advance the model to ``clock``; return the encoded events of this interval."""
        instance = self._instance
        elapsed_ms, instance.clock = clock - instance.clock, clock
        if self._is_running:
            self._process.advance_runs(elapsed_ms)
        instance.scheduler.run_due(clock)
        if self._is_running:
            self._process.send_requests(elapsed_ms)
        return instance.take_records()

    def apply(self, action: Action) -> None:
        """Carry out one action of the controller."""
        self._process.apply(action)

    # Starts and ends.

    def _start(self, warming_up: bool) -> None:
        instance = self._instance
        self._is_running = True
        self._process = ServerProcess(instance, self._dependency, warming_up)
        settings = start_settings(instance.scenario, instance.number, warming_up)
        instance.emit(wire.encode_instance_started(instance.number, instance.rng.getrandbits(64), settings))
        lifetime_ms = instance.scenario.mean_lifetime_ms * instance.rng.uniform(0.5, 1.5)
        end_process = self._kill if instance.rng.random() < CRASH_FRACTION else self._announce_shutdown
        instance.schedule(lifetime_ms, end_process)

    def _announce_shutdown(self) -> None:
        instance = self._instance
        stop_at = instance.clock + SHUTDOWN_NOTICE_MS
        instance.emit(wire.encode_shutdown_requested(instance.number, stop_at))
        instance.scheduler.add(stop_at, self._kill)

    def _kill(self) -> None:
        instance = self._instance
        self._is_running = False
        instance.scheduler.clear()
        instance.drop_records()
        instance.emit(wire.encode_instance_killed(instance.number))
        if instance.rng.random() < IMMEDIATE_RESTART_FRACTION:
            self._start(warming_up=True)
        else:
            instance.schedule(RESTART_MS, self._start, True)
