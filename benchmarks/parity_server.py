"""A small model of one server under load: turns the actions of a controller into its next events.

It is no simulator: cores are shared evenly, and callers, clients and the dependency are a few draws each. What matters
is that its events are plausible, cover all kinds, and depend on nothing but a seed and the actions.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from benchmarks import parity_wire as wire
from benchmarks.parity_scenarios import DEDUPLICATED, IDEMPOTENT, Scenario, ServiceClass, start_settings
from benchmarks.parity_wire import Action, ActionCode, Outcome

COALESCED_WORK_FRACTION = 0.05  # of the work of the request that it is coalesced with
ERROR_FRACTION = 0.02  # of the runs
LATE_CANCEL_FRACTION = 0.03  # of the cancelled requests that end before the server hears of it
MAX_LATE_CANCEL_MS = 120.0
EARLY_CANCEL_FRACTION = 0.06  # of the requests whose caller gives up before its deadline
STRAY_CANCEL_FRACTION = 0.01  # of the requests that are cancelled after their answer
REPEAT_FRACTION = 0.12  # of the keyed requests that come again while the first is open
DUPLICATE_FRACTION = 0.03  # of the keyed requests that come twice in one batch
OBEYS_BACKPRESSURE_FRACTION = 0.85  # of the arrivals
TERMINATE_NOTICE_MS = 3000.0
CRASH_FRACTION = 0.3  # of the ends of an instance come without a notice
RESTART_MS = 700.0
RETRY_PAUSE_MS = 150.0
HEALTH_DELAY_MS = 1500.0
FAULT_MS = 2500.0
FAULT_SLOWDOWN = 6.0
HANG_FRACTION = 0.05  # of the calls during a fault
HANG_MS = 60000.0
GAUGE_WINDOW_MS = 500.0
KEY_SPACE = 400
INSTANCE_IDS = 1 << 40  # request ids of one instance
FAILED_CALLS = (
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.TIMEOUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.MOOT,
)
FAILED_CALL_ODDS = (4, 4, 4, 4, 4, 1, 1)
FAILURE_FRACTION_IN_FAULT = 0.45
USUAL_FAILURE_FRACTION = 0.02


class State(Enum):
    """Where a request stands."""

    QUEUED = auto()
    RUNNING = auto()
    AWAITING_CALL = auto()
    CALLING = auto()
    PAUSED = auto()
    COALESCED = auto()
    COMPLETED = auto()


OFF_CORE = (State.QUEUED, State.PAUSED, State.COALESCED)


@dataclass(eq=False)
class Task:
    """One request that a server has read."""

    id: int
    class_index: int
    key: int
    caller: int
    due: float
    kb: float
    work: float
    work_left: float
    same_as: int
    calls_at: list[float] = field(default_factory=list)  # the work left at each call, the next one last
    state: State = State.QUEUED
    started: float = 0.0
    called: float = 0.0
    call: int = 0  # the number of the call in progress
    answered: bool = False  # or cancelled


@dataclass
class KeyEntry:
    """One retained idempotency key."""

    owner: int
    expires_at: float


class Server:
    """One instance with its callers and its quota of the dependency."""

    def __init__(self, scenario: Scenario, number: int, seed: int, clock: float) -> None:
        self.scenario = scenario
        self.number = number
        self.rng = random.Random(f"{seed} {scenario.name} {number}")
        self.clock = clock
        self.alive = False
        self._next_id = 1
        self._sequence = 0
        self._agenda: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._events: list[bytes] = []
        self._fault_until = 0.0
        self._ranks = _class_bands(scenario.classes)
        self._start(scenario.warming_up)

    # What the driver calls.

    def first_events(self) -> list[bytes]:
        """Return the records of the start itself."""
        return self._events

    def events(self, clock: float) -> list[bytes]:
        """Let time pass up to ``clock``; return the records of what happened."""
        self._events = []
        elapsed, self.clock = clock - self.clock, clock
        if self.alive:
            self._advance_runs(elapsed)
        while self._agenda and self._agenda[0][0] <= clock:
            _, _, call, arguments = heapq.heappop(self._agenda)
            call(*arguments)
        if self.alive:
            self._arrivals(elapsed)
        return self._events

    def apply(self, action: Action) -> None:
        """Carry out one action of the controller."""
        handler = ACTION_HANDLERS.get(action.code)
        if handler is not None:
            handler(self, *action.fields)

    # Starts and ends.

    def _at(self, when: float, call: Callable[..., None], *arguments: object) -> None:
        self._sequence += 1
        heapq.heappush(self._agenda, (when, self._sequence, call, arguments))

    def _start(self, warming_up: bool) -> None:
        self.alive, self._born, self._warming_up = True, self.clock, warming_up
        self._tasks: dict[int, Task] = {}
        self._ended: dict[int, bool] = {}
        self._keys: dict[tuple[int, int], KeyEntry] = {}
        self._backpressure: float | None = None
        self._healthy, self._health_known_at = True, self.clock
        self._core_use = 0.0
        settings = start_settings(self.scenario, self.number, warming_up)
        self._events.append(wire.born(self.number, self.rng.getrandbits(64), settings))
        lifetime_ms = self.scenario.mean_lifetime_ms * self.rng.uniform(0.5, 1.5)
        end_instance = self._kill if self.rng.random() < CRASH_FRACTION else self._terminate_soon
        self._at(self.clock + lifetime_ms, end_instance)

    def _terminate_soon(self) -> None:
        stop_at = self.clock + TERMINATE_NOTICE_MS
        self._events.append(wire.terminate_soon(self.number, stop_at))
        self._at(stop_at, self._kill)

    def _kill(self) -> None:
        self.alive = False
        self._agenda.clear()
        self._events = [wire.kill(self.number)]
        if self.rng.random() < 0.5:
            self._start(warming_up=True)
        else:
            self._at(self.clock + RESTART_MS, self._start, True)

    # Arrivals.

    def _arrivals(self, elapsed: float) -> None:
        mean = self._rate() * elapsed
        while self.rng.random() < mean:
            mean -= 1.0
            class_index = self._draw_class()
            if self._caller_sends(self._rank(class_index)):
                self._arrive(class_index, self.rng.randrange(1, KEY_SPACE), 0.0, retry=False)

    def _rate(self) -> float:
        """Return the arrivals per ms at this moment."""
        scenario = self.scenario
        if not self._healthy and self.clock > self._health_known_at:
            return 0.0
        total_fraction = sum(service_class.request_fraction for service_class in scenario.classes)
        work = (
            sum(service_class.request_fraction * service_class.work_ms for service_class in scenario.classes)
            / total_fraction
        )
        phase = math.copysign(1.0, math.sin(self.clock * math.tau / scenario.swing_ms))
        load = scenario.load * (1 + scenario.swing * phase)
        return load * scenario.cores * scenario.speed / work

    def _draw_class(self) -> int:
        classes = self.scenario.classes
        return self.rng.choices(range(len(classes)), [service_class.request_fraction for service_class in classes])[0]

    def _rank(self, class_index: int) -> float:
        low, width = self._ranks[class_index]
        return low + width * self.rng.random()

    def _caller_sends(self, rank: float) -> bool:
        if self._backpressure is None or self.rng.random() > OBEYS_BACKPRESSURE_FRACTION:
            return True
        match self.scenario.backpressure_signal:
            case "level":
                return rank >= self._backpressure
            case "weight":
                return self.rng.random() < self._backpressure
            case "credit":
                return len(self._tasks) < self._backpressure * self.scenario.callers
        return True

    def _arrive(self, class_index: int, key: int, spent: float, retry: bool) -> None:
        """Let a request be read, now and then twice; ``spent`` is the time since its client's first attempt."""
        keyed = self.scenario.classes[class_index].idempotency == DEDUPLICATED
        is_duplicated = keyed and self.rng.random() < DUPLICATE_FRACTION
        following = self._request_id(self._next_id + 1)
        first = self._read(class_index, key, spent, retry, following if is_duplicated else 0)
        if is_duplicated:
            self._read(class_index, key, spent, True, first.id)

    def _request_id(self, count: int) -> int:
        return count + self.number * INSTANCE_IDS

    def _read(self, class_index: int, key: int, spent: float, retry: bool, duplicate_of: int) -> Task:
        """Let a server read a request; ``twin`` is the attempt of it that came in the same batch."""
        scenario, service_class, rng = self.scenario, self.scenario.classes[class_index], self.rng
        request = self._request_id(self._next_id)
        self._next_id += 1
        unread = round(rng.expovariate(1.0) * scenario.unread_ms * (1 + len(self._tasks) / (8 * scenario.cores)), 3)
        due = self.clock - unread + max(50.0, service_class.deadline_ms - spent)
        work = max(1.0, service_class.work_ms * rng.lognormvariate(-0.25, 0.7))
        caller, kb = rng.randrange(scenario.callers), rng.uniform(*scenario.request_kb)
        task = Task(request, class_index, key, caller, due, kb, work, work, duplicate_of)
        task.same_as = self._find_prior(task) or duplicate_of
        task.calls_at = self._draw_calls(service_class, work)
        self._tasks[request] = task
        self._events.append(wire.knock(self.number, self._knock_fields(task, unread, retry)))
        self._schedule_client(task, service_class, spent)
        return task

    def _draw_calls(self, service_class: ServiceClass, work: float) -> list[float]:
        if self.scenario.below == "off":
            return []
        mean = service_class.calls * (1.5 if self._warming_up else 1.0)
        count = int(mean) + (self.rng.random() < mean % 1)
        return sorted(work * self.rng.random() for _ in range(count))

    def _knock_fields(self, task: Task, unread: float, retry: bool) -> wire.Knock:
        service_class, scenario = self.scenario.classes[task.class_index], self.scenario
        bits = (wire.RETRY if retry else 0) | (wire.WRITE if service_class.write else 0)
        cost = 0.0
        if scenario.hints and self.rng.random() < 0.9:
            bits |= wire.COST_KNOWN
            cost = task.work * self.rng.uniform(0.7, 1.4)
        return wire.Knock(
            request=task.id,
            deadline=task.due if scenario.sends_deadline else 0.0,
            key=0 if service_class.idempotency == DEDUPLICATED else task.key,
            rank=self._rank(task.class_index),
            unread_for=unread,
            same_as=task.same_as,
            bits=bits,
            tenant=self.rng.randrange(scenario.tenants) if scenario.tenants else 0,
            memory_kb=task.kb,
            cost=cost,
            class_index=task.class_index,
            caller=task.caller,
        )

    def _find_prior(self, task: Task) -> int:
        """Return the request that this one repeats, 0 for none."""
        service_class = self.scenario.classes[task.class_index]
        if service_class.idempotency == DEDUPLICATED:
            entry = self._keys.get((task.class_index, task.key))
            return entry.owner if entry is not None and entry.expires_at > self.clock else 0
        if service_class.idempotency == IDEMPOTENT and self.scenario.fresh > 0:
            same = (t.id for t in self._tasks.values() if (t.class_index, t.key) == (task.class_index, task.key))
            return next(same, 0)
        return 0

    def _schedule_client(self, task: Task, service_class: ServiceClass, spent: float) -> None:
        """Draw what the caller of a request does later."""
        rng, left = self.rng, task.due - self.clock
        if rng.random() < EARLY_CANCEL_FRACTION:
            self._at(self.clock + left * rng.random(), self._cancel, task)
        self._at(task.due, self._cancel, task)
        if service_class.idempotency == DEDUPLICATED and rng.random() < REPEAT_FRACTION:
            delay = left * rng.random()
            self._at(self.clock + delay, self._arrive, task.class_index, task.key, spent + delay, True)

    def _cancel(self, task: Task) -> None:
        if task.answered or task.state is State.COMPLETED:
            return
        task.answered = True
        if task.state in OFF_CORE:
            self._end(task, ok=False)
        elif task.state in (State.AWAITING_CALL, State.CALLING):
            self._finish(task, Outcome.CANCELLED)
        if not self.scenario.reports_cancels:
            return
        late = self.rng.random() < LATE_CANCEL_FRACTION * 5
        self._at(self.clock + (MAX_LATE_CANCEL_MS * self.rng.random() if late else 0.0), self._hangup, task.id)

    def _hangup(self, request: int) -> None:
        self._events.append(wire.hangup(self.number, request))

    # Runs.

    def _advance_runs(self, elapsed: float) -> None:
        running = [task for task in self._tasks.values() if task.state is State.RUNNING]
        cores = self.scenario.cores
        used = min(1.0, len(running) / cores)
        self._core_use += (used - self._core_use) * min(1.0, elapsed / GAUGE_WINDOW_MS)
        if not running:
            return
        contention_factor = 1.0 if len(running) <= 1.4 * cores else 0.8
        step = elapsed * self._speed() * min(1.0, cores / len(running)) * contention_factor
        for task in running:
            self._advance(task, step)

    def _speed(self) -> float:
        scenario = self.scenario
        if not self._warming_up:
            return scenario.speed
        warm = min(1.0, (self.clock - self._born) / scenario.warm_up)
        return scenario.speed * (scenario.cold_speed_fraction + (1 - scenario.cold_speed_fraction) * warm)

    def _advance(self, task: Task, step: float) -> None:
        task.work_left -= step
        if task.calls_at and task.work_left <= task.calls_at[-1]:
            task.calls_at.pop()
            if task.answered:
                self._finish(task, Outcome.CANCELLED)
            else:
                task.state = State.AWAITING_CALL
                self._events.append(wire.blocked(self.number, task.id))
        elif task.work_left <= 0:
            failed = self.rng.random() < ERROR_FRACTION
            if task.answered and self.rng.random() < 0.5:
                self._finish(task, Outcome.CANCELLED)
            else:
                self._finish(task, Outcome.ERROR if failed else Outcome.OK)

    def _finish(self, task: Task, outcome: Outcome) -> None:
        """End a run with its event."""
        self._events.append(wire.run_over(self.number, task.id, outcome, self.clock - task.started))
        if self.scenario.reports_cancels and self.rng.random() < STRAY_CANCEL_FRACTION:
            self._at(self.clock + MAX_LATE_CANCEL_MS, self._hangup, task.id)
        self._end(task, ok=outcome is Outcome.OK)

    def _end(self, task: Task, ok: bool) -> None:
        """Forget a request; those coalesced with it get its result."""
        if task.state is State.COMPLETED:
            return
        task.state = State.COMPLETED
        self._tasks.pop(task.id, None)
        self._ended[task.id] = ok
        for other in list(self._tasks.values()):
            if other.state is State.COALESCED and other.same_as == task.id:
                self._at(self.clock + COALESCED_WORK_FRACTION * task.work, self._finish_coalesced, other, ok)

    def _finish_coalesced(self, task: Task, ok: bool) -> None:
        if task.state is State.COALESCED and not task.answered:
            self._finish(task, Outcome.OK if ok else Outcome.ERROR)

    # Calls.

    def _has_fault(self) -> bool:
        """Tell whether the dependency has a fault; spells of faults are drawn as calls are made."""
        fault_fraction = self.scenario.call_fault_fraction
        if self.clock > self._fault_until + FAULT_MS * (1 - fault_fraction) / max(fault_fraction, 0.01):
            self._fault_until = self.clock + FAULT_MS
        return fault_fraction > 0 and self.clock <= self._fault_until

    def _draw_call(self) -> tuple[float, Outcome]:
        """Return how long a call takes and how it ends."""
        rng, has_fault = self.rng, self._has_fault()
        duration_ms = self.scenario.call_ms * rng.lognormvariate(0.0, 0.4)
        if has_fault and rng.random() < 0.5:
            duration_ms *= FAULT_SLOWDOWN
        if has_fault and rng.random() < HANG_FRACTION:
            return HANG_MS, Outcome.TIMEOUT
        if rng.random() >= (FAILURE_FRACTION_IN_FAULT if has_fault else USUAL_FAILURE_FRACTION):
            return duration_ms, Outcome.OK
        outcome = rng.choices(FAILED_CALLS, FAILED_CALL_ODDS)[0]
        quick = outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        return duration_ms * (0.1 if quick else 1.0), outcome

    def _call_ends(self, task: Task, call: int, outcome: Outcome) -> None:
        if task.state is not State.CALLING or task.call != call:
            return
        self._events.append(wire.came_back(self.number, task.id, self.clock - task.called, outcome))
        task.state = State.RUNNING if outcome is Outcome.OK else State.AWAITING_CALL

    # Gauges.

    def _timer(self, token: int) -> None:
        gauges = [self._gauge(name) for name in self.scenario.gauges]
        self._events.append(wire.deadline_hit(self.number, token, gauges))

    def _gauge(self, name: str) -> float:
        running = sum(task.state is State.RUNNING for task in self._tasks.values())
        match name:
            case "core_use":
                return self._core_use
            case "on_cores":
                return running + 3 * self.rng.random()
            case "heap_share":
                return self._memory() / self.scenario.memory_kb
        return 10.0 + len(self._tasks)

    def _memory(self) -> float:
        factor, queued_states = self.scenario.run_factor, (State.QUEUED, State.COALESCED)
        requests = sum(task.kb * (1.0 if task.state in queued_states else factor) for task in self._tasks.values())
        return requests + self.scenario.key_kb * len(self._keys)

    # Actions.

    def _on_dispatch(self, request: int) -> None:
        task = self._tasks.get(request)
        if task is None:
            self._at(self.clock, self._abandon, request)
        elif task.state in (State.QUEUED, State.PAUSED):
            task.started = self.clock if task.state is State.QUEUED else task.started
            task.state = State.RUNNING

    def _abandon(self, request: int) -> None:
        self._events.append(wire.run_over(self.number, request, Outcome.MOOT, 0.0))

    def _on_pin(self, request: int, keep_for: float) -> None:
        task = self._tasks.get(request)
        if task is not None:
            self._keys[task.class_index, task.key] = KeyEntry(request, self.clock + keep_for)

    def _on_release_key(self, request: int) -> None:
        for name, entry in list(self._keys.items()):
            if entry.owner == request:
                del self._keys[name]

    def _on_join(self, request: int) -> None:
        task = self._tasks.get(request)
        if task is None:
            self._at(self.clock, self._abandon, request)
            return
        task.state, task.started = State.COALESCED, self.clock
        if task.same_as not in self._tasks:
            ok = self._ended.get(task.same_as, False)
            self._at(self.clock + COALESCED_WORK_FRACTION * task.work, self._finish_coalesced, task, ok)

    def _on_invoke(self, request: int, timeout: float) -> None:
        task = self._tasks.get(request)
        if task is None or task.state is not State.AWAITING_CALL:
            return
        task.state, task.called, task.call = State.CALLING, self.clock, task.call + 1
        duration_ms, outcome = self._draw_call()
        limit = timeout if timeout > 0 else self.scenario.classes[task.class_index].deadline_ms
        if duration_ms > limit:
            duration_ms, outcome = limit, Outcome.TIMEOUT
        self._at(self.clock + duration_ms, self._call_ends, task, task.call, outcome)

    def _on_go_on(self, request: int) -> None:
        task = self._tasks.get(request)
        if task is not None and task.state is State.AWAITING_CALL:
            task.state = State.RUNNING

    def _on_yank(self, request: int) -> None:
        task = self._tasks.get(request)
        if task is None or task.state not in (State.RUNNING, State.AWAITING_CALL, State.CALLING):
            return
        paused = self.scenario.cancel_mode == "pause"
        if paused and task.state is not State.RUNNING:
            return
        self._at(self.clock, self._confirm_cancel, task, paused)

    def _confirm_cancel(self, task: Task, paused: bool) -> None:
        """Confirm a cancellation, unless the run came to an end or a call first."""
        if task.state is not State.RUNNING and (paused or task.state is State.COMPLETED):
            return
        if task.answered:
            self._finish(task, Outcome.CANCELLED)
            return
        self._events.append(wire.run_over(self.number, task.id, Outcome.CANCELLED, self.clock - task.started))
        task.state = State.PAUSED if paused else State.QUEUED
        if not paused:
            task.work_left, task.call = task.work, task.call + 1

    def _on_say_no(self, request: int, come_back: float, no_retry: bool) -> None:
        task = self._tasks.get(request)
        if task is None or task.answered:
            return
        task.answered = True
        if task.state in OFF_CORE:
            self._end(task, ok=False)
        self._maybe_retry(task, come_back, 0.4 if no_retry else 1.0)

    def _on_report_failure(self, request: int) -> None:
        task = self._tasks.get(request)
        if task is None or task.answered:
            return
        task.answered = True
        if task.state in OFF_CORE:
            self._end(task, ok=False)
        elif task.state in (State.AWAITING_CALL, State.CALLING):
            self._at(self.clock, self._end_waiting, task)
        if self.scenario.classes[task.class_index].idempotency in (IDEMPOTENT, DEDUPLICATED):
            self._maybe_retry(task, 0.0, 1.0)

    def _end_waiting(self, task: Task) -> None:
        if task.state in (State.AWAITING_CALL, State.CALLING):
            self._finish(task, Outcome.CANCELLED)

    def _maybe_retry(self, task: Task, come_back: float, odds: float) -> None:
        if self.rng.random() > self.scenario.retry_fraction * odds:
            return
        delay = max(come_back, RETRY_PAUSE_MS) * self.rng.uniform(1.0, 1.5)
        left = task.due - self.clock - delay
        if left > 50.0:
            spent = self.scenario.classes[task.class_index].deadline_ms - left
            self._at(self.clock + delay, self._arrive, task.class_index, task.key, spent, True)

    def _on_mark_health(self, good: bool, _shallow: bool) -> None:
        if self.scenario.readiness and good != self._healthy:
            self._healthy, self._health_known_at = good, self.clock + HEALTH_DELAY_MS

    def _on_say(self, value: float) -> None:
        self._backpressure = value

    def _on_arm(self, after: float, token: int) -> None:
        self._at(self.clock + after, self._timer, token)


def _class_bands(classes: tuple[ServiceClass, ...]) -> list[tuple[float, float]]:
    """Return the band of ranks of each class as its low end and width: equal bands, ordered by priority weight."""
    width = 1 / len(classes)
    order = sorted(range(len(classes)), key=lambda class_index: (classes[class_index].priority_weight, class_index))
    return [(order.index(class_index) * width, width) for class_index in range(len(classes))]


ACTION_HANDLERS: dict[ActionCode, Callable[..., None]] = {
    ActionCode.DISPATCH: Server._on_dispatch,
    ActionCode.PIN: Server._on_pin,
    ActionCode.INVOKE: Server._on_invoke,
    ActionCode.SAY: Server._on_say,
    ActionCode.JOIN: Server._on_join,
    ActionCode.YANK: Server._on_yank,
    ActionCode.SAY_NO: Server._on_say_no,
    ActionCode.GO_ON: Server._on_go_on,
    ActionCode.RELEASE_KEY: Server._on_release_key,
    ActionCode.MARK_HEALTH: Server._on_mark_health,
    ActionCode.ARM: Server._on_arm,
    ActionCode.REPORT_FAILURE: Server._on_report_failure,
}
