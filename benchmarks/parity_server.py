"""A small model of one server under load: turns the actions of a controller into its next events.

It is no simulator: cores are shared evenly, and callers, clients and the dependency are a few draws each. What matters
is that its events are plausible, cover all kinds, and depend on nothing but a seed and the actions.
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

TERMINATE_NOTICE_MS = 3000.0
CRASH_FRACTION = 0.3  # of the ends of an instance come without a notice
IMMEDIATE_RESTART_FRACTION = 0.5  # of the restarts
RESTART_MS = 700.0


class Gauges:
    """What a process measures of itself."""

    def __init__(self, instance: Instance, requests: RequestTable, keys: RetainedKeys, cores: Cores) -> None:
        self._instance = instance
        self._requests = requests
        self._keys = keys
        self._cores = cores

    def read_all(self) -> list[float]:
        """Return the gauges of the scenario in their order."""
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
        return requests_kb + scenario.key_kb * len(self._keys)

    def _request_memory_kb(self, request: ModelRequest) -> float:
        is_waiting = request.state in (RequestState.QUEUED, RequestState.COALESCED)
        return request.memory_kb * (1.0 if is_waiting else self._instance.scenario.run_factor)


class ServerProcess:
    """One process of an instance: its requests, runs, calls and clients; a restart begins with another one."""

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
        self._action_handlers = self._handlers()

    def _handlers(self) -> dict[ActionCode, Callable[..., None]]:
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

    def advance_runs(self, elapsed: float) -> None:
        """Let all runs do their work of some time."""
        self._runs.advance(elapsed)

    def send_requests(self, elapsed: float) -> None:
        """Let the clients send the new requests of some time."""
        self._clients.send(elapsed)

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
        self._instance.emit(wire.deadline_hit(self._instance.number, token, self._gauges.read_all()))


class Server:
    """One instance with its callers and its quota of the dependency, through crashes, withdrawals and restarts."""

    def __init__(self, scenario: Scenario, number: int, seed: int, clock: float) -> None:
        self._instance = Instance(scenario, number, seed, clock)
        self._dependency = Dependency(self._instance)
        self._is_alive = False
        self._start(scenario.warming_up)

    # What the driver calls.

    def first_events(self) -> list[bytes]:
        """Return the records of the start itself."""
        return self._instance.take_records()

    def events(self, clock: float) -> list[bytes]:
        """Let time pass up to ``clock``; return the records of what happened."""
        instance = self._instance
        elapsed, instance.clock = clock - instance.clock, clock
        if self._is_alive:
            self._process.advance_runs(elapsed)
        instance.agenda.run_due(clock)
        if self._is_alive:
            self._process.send_requests(elapsed)
        return instance.take_records()

    def apply(self, action: Action) -> None:
        """Carry out one action of the controller."""
        self._process.apply(action)

    # Starts and ends.

    def _start(self, warming_up: bool) -> None:
        instance = self._instance
        self._is_alive = True
        self._process = ServerProcess(instance, self._dependency, warming_up)
        settings = start_settings(instance.scenario, instance.number, warming_up)
        instance.emit(wire.born(instance.number, instance.rng.getrandbits(64), settings))
        lifetime_ms = instance.scenario.mean_lifetime_ms * instance.rng.uniform(0.5, 1.5)
        end_process = self._kill if instance.rng.random() < CRASH_FRACTION else self._terminate_soon
        instance.schedule(lifetime_ms, end_process)

    def _terminate_soon(self) -> None:
        instance = self._instance
        stop_at = instance.clock + TERMINATE_NOTICE_MS
        instance.emit(wire.terminate_soon(instance.number, stop_at))
        instance.agenda.add(stop_at, self._kill)

    def _kill(self) -> None:
        instance = self._instance
        self._is_alive = False
        instance.agenda.clear()
        instance.drop_records()
        instance.emit(wire.kill(instance.number))
        if instance.rng.random() < IMMEDIATE_RESTART_FRACTION:
            self._start(warming_up=True)
        else:
            instance.schedule(RESTART_MS, self._start, True)
