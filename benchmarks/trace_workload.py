"""Trace workload: the real decision module with seeded arrivals, simulated run and call durations, and retries.

Values have the precision of the platform's protocol and the executor: ``born`` and ``patience`` are whole ms, a rank
has four decimals, a size one, and run durations are rounded to us; the clock has steps of 2**-12 ms, like the system's
clock. Keyed requests have a subject, and one in five of the rejected and failed requests is retried.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterator
from heapq import heappop, heappush
from typing import Any, NamedTuple

import msgspec

from lapispick import admission
from lapispick.admission.controller import Controller
from lapispick.fakes.start_settings import PLATFORM_INFO, make_platform_info
from lapispick.platform_settings import StartSettings, admission_settings
from lapispick.trace.record_types import FAILED, REJECTED, SERVED, Answered, Arrival, Step

SEED = 7
START_MS = 1_764_576_000_000.0  # Unix time
REQUESTS_PER_S = 130.0
KEYED_FRACTION = 0.2
RETRIED_FRACTION = 0.2
MEAN_RETRY_PAUSE_MS = 200
MEAN_RUN_PHASE_MS = 30.0  # of each part of a run, before and after its call
CALL_MS = (3, 40)
RUN_MS = (20, 90)
PATIENCES_MS = (2900, 3000, 4000)
ACCOUNTS = 6
CALLERS = 4
CLOCK_STEPS_PER_MS = 4096
TIMERS_AFTER_END_MS = 10_000  # until the last requests are answered
SETTINGS = admission_settings(msgspec.convert(make_platform_info(Cores=3, CallsOut=30.0), StartSettings))
CLASS_NAMES = [service["Name"] for service in PLATFORM_INFO["Services"]]
ACCOUNT_NAMES = [f"account-{number}" for number in range(ACCOUNTS)]


class _Attempt(NamedTuple):
    """One attempt of a simulated request."""

    class_index: int
    subject: bytes
    born_at: int
    retry_of: int
    account: int


class _ItemKind(enum.StrEnum):
    """Kind of a scheduled item."""

    ARRIVAL = "arrive"
    RETRY = "again"
    TIMER = "timer"
    CALL_REQUEST = "call"
    CALL_REPLY = "called"
    RUN_END = "end"


class _Scheduled(NamedTuple):
    """Item that is due at a time; items with the same time are processed by ``order``."""

    at: float
    order: int
    kind: _ItemKind
    detail: Any  # attempt of a retry, token of a timer, None for an arrival; otherwise the request id


class _Workload:
    """Simulated clock and peers that drive a controller."""

    def __init__(self, minutes: float, source_index: int) -> None:
        self._random = random.Random(SEED + source_index)
        self._controller = Controller(SETTINGS, SEED, START_MS)
        self._end_at = START_MS + minutes * 60_000
        self._queue = [_Scheduled(START_MS + 1, 0, _ItemKind.ARRIVAL, None)]
        self._last_request = 0
        self._action_count = 0
        self._open_attempts: dict[int, _Attempt] = {}  # by request id
        self._now = START_MS

    def steps(self) -> Iterator[Step]:
        """Yield the steps until all scheduled items are processed."""
        yield Step(START_MS, (), tuple(self._controller.step(START_MS, [])))
        heappush(self._queue, _Scheduled(START_MS, -1, _ItemKind.TIMER, 0))
        while self._queue:
            item = heappop(self._queue)
            self._now = round(item.at * CLOCK_STEPS_PER_MS) / CLOCK_STEPS_PER_MS
            notes: list[Any] = []
            event = self._event(item, notes)
            if event is None:
                continue
            actions = self._controller.step(self._now, [event])
            for action in actions:
                self._action_count += 1
                self._carry_out(action, notes)
            yield Step(self._now, (event,), tuple(actions), tuple(notes))

    def _push(self, at: float, kind: _ItemKind, detail: Any) -> None:
        heappush(self._queue, _Scheduled(at, self._action_count, kind, detail))

    def _event(self, item: _Scheduled, notes: list[Any]) -> Any:
        """Return the event for the controller, or None if the item is obsolete; adds the notes of the event."""
        rng = self._random
        if item.kind in (_ItemKind.ARRIVAL, _ItemKind.RETRY):
            return self._request(item.detail, notes) if self._now <= self._end_at else None
        if item.kind is _ItemKind.TIMER:
            gauges = (round(rng.uniform(0.2, 1), 3), float(rng.randrange(30)), 0.1, 3.0)
            return admission.TimerFired(item.detail, gauges)
        if item.detail not in self._open_attempts:
            return None
        if item.kind is _ItemKind.CALL_REQUEST:
            return admission.CallRequested(item.detail)
        if item.kind is _ItemKind.CALL_REPLY:
            reply = admission.CallCompleted(item.detail, admission.Outcome.OK, round(rng.uniform(*CALL_MS), 3))
            self._push(self._now + rng.expovariate(1 / MEAN_RUN_PHASE_MS), _ItemKind.RUN_END, item.detail)
            return reply
        completion = admission.RunCompleted(item.detail, admission.Outcome.OK, round(rng.uniform(*RUN_MS), 3))
        notes.append(Answered(item.detail, SERVED, self._now - self._open_attempts.pop(item.detail).born_at))
        return completion

    def _request(self, retried: _Attempt | None, notes: list[Any]) -> admission.RequestReceived:
        """Return the event of a new request or of a retry; adds its note."""
        rng = self._random
        self._last_request += 1
        number = self._last_request
        attempt = self._new_attempt() if retried is None else retried
        self._open_attempts[number] = attempt
        deadline_at = attempt.born_at + rng.choice(PATIENCES_MS)
        event = admission.RequestReceived(
            id=number,
            deadline_at=float(deadline_at),
            rank=rng.randrange(10_000) / 10_000,
            age_ms=self._now - attempt.born_at,
            retry_of=attempt.retry_of,
            cost=0.0,
            request_memory_kb=rng.randrange(100, 560) / 10,
            class_index=attempt.class_index,
            caller=rng.randrange(CALLERS),
        )
        notes.append(Arrival(number, ACCOUNT_NAMES[attempt.account], attempt.subject, float(attempt.born_at)))
        return event

    def _new_attempt(self) -> _Attempt:
        """Return the attempt of a new request, and schedule the next arrival."""
        rng = self._random
        class_index = int(rng.random() < KEYED_FRACTION)
        subject = rng.randbytes(8) if class_index else b""
        born_at = int(self._now - rng.uniform(0, 3))
        attempt = _Attempt(class_index, subject, born_at, 0, rng.randrange(ACCOUNTS))
        self._push(self._now + rng.expovariate(REQUESTS_PER_S) * 1000, _ItemKind.ARRIVAL, None)
        return attempt

    def _carry_out(self, action: Any, notes: list[Any]) -> None:
        """Schedule the consequences of an action; adds the note of an answer."""
        rng = self._random
        kind = type(action)
        if kind is admission.StartRun:
            self._push(self._now + rng.expovariate(1 / MEAN_RUN_PHASE_MS), _ItemKind.CALL_REQUEST, action.id)
        elif kind is admission.StartCall:
            self._push(self._now + rng.uniform(*CALL_MS), _ItemKind.CALL_REPLY, action.id)
        elif kind is admission.SkipCall:
            self._push(self._now + rng.uniform(*CALL_MS), _ItemKind.RUN_END, action.id)
        elif kind is admission.SetTimer and self._now < self._end_at + TIMERS_AFTER_END_MS:
            self._push(self._now + action.delay_ms, _ItemKind.TIMER, action.token)
        elif kind in (admission.Reject, admission.Fail) and action.id in self._open_attempts:
            attempt = self._open_attempts.pop(action.id)
            answer = REJECTED if kind is admission.Reject else FAILED
            notes.append(Answered(action.id, answer, self._now - attempt.born_at))
            if rng.random() < RETRIED_FRACTION:
                retry = attempt._replace(retry_of=action.id, born_at=int(self._now))
                self._push(self._now + rng.expovariate(1 / MEAN_RETRY_PAUSE_MS), _ItemKind.RETRY, retry)


def record_steps(minutes: float, source_index: int = 0) -> Iterator[Step]:
    """Yield the steps of a workload whose arrivals last ``minutes``."""
    return _Workload(minutes, source_index).steps()
