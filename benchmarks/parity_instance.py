"""Shared state of the parts of one modelled server: clock, random numbers, scheduler, request ids, event records."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from benchmarks import parity_wire as wire
from benchmarks.parity_scenarios import Scenario

IDS_PER_INSTANCE = 1 << 40


class Scheduler:
    """Scheduled callbacks, ordered by time; callbacks of the same time run in the order in which they were added."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = 0

    def add(self, when: float, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule ``callback`` with these arguments at the time ``when``."""
        self._sequence += 1
        heapq.heappush(self._entries, (when, self._sequence, callback, arguments))

    def run_due(self, clock: float) -> None:
        """Run all callbacks that are due, including those added by other callbacks."""
        while self._entries and self._entries[0][0] <= clock:
            _, _, callback, arguments = heapq.heappop(self._entries)
            callback(*arguments)

    def clear(self) -> None:
        """Drop all scheduled callbacks."""
        self._entries.clear()


class Instance:
    """One instance of a scenario; it is kept across restarts, each of which starts a new process.

    All random numbers come from one generator, so the order of draws in the parts is part of the model.
    """

    def __init__(self, scenario: Scenario, number: int, seed: int, clock: float) -> None:
        self.scenario = scenario
        self.number = number
        self.rng = random.Random(f"{seed} {scenario.name} {number}")
        self.clock = clock
        self.scheduler = Scheduler()
        self._last_number = 0
        self._records: list[bytes] = []

    def schedule(self, delay_ms: float, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule ``callback`` with these arguments after a delay."""
        self.scheduler.add(self.clock + delay_ms, callback, *arguments)

    def emit(self, record: bytes) -> None:
        """Add an encoded event to the events of this step."""
        self._records.append(record)

    def take_records(self) -> list[bytes]:
        """Return and remove the encoded events added since the last call."""
        records, self._records = self._records, []
        return records

    def drop_records(self) -> None:
        """Drop the encoded events of this step."""
        self._records.clear()

    def new_request_id(self) -> int:
        """Allocate the id of a new request."""
        self._last_number += 1
        return self.upcoming_request_id(0)

    def upcoming_request_id(self, ahead: int) -> int:
        """Return the id of the request that is ``ahead`` allocations later; 0 returns the last allocated id."""
        return self._last_number + ahead + self.number * IDS_PER_INSTANCE

    def emit_client_cancelled(self, request_id: int) -> None:
        """Add the event that the client cancelled a request."""
        self.emit(wire.encode_client_cancelled(self.number, request_id))
