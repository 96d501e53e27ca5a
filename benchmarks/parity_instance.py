"""What the parts of one modelled server share: its clock, random numbers, agenda, request ids and outgoing records."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from benchmarks import parity_wire as wire
from benchmarks.parity_scenarios import Scenario

IDS_PER_INSTANCE = 1 << 40


class Agenda:
    """Calls at times to come, in the order of their times; those of one time in the order in which they were added."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = 0

    def add(self, when: float, call: Callable[..., None], *arguments: object) -> None:
        """Call this with these arguments once it is ``when``."""
        self._sequence += 1
        heapq.heappush(self._entries, (when, self._sequence, call, arguments))

    def run_due(self, clock: float) -> None:
        """Make all calls that are due, also those that are added meanwhile."""
        while self._entries and self._entries[0][0] <= clock:
            _, _, call, arguments = heapq.heappop(self._entries)
            call(*arguments)

    def clear(self) -> None:
        """Drop all calls."""
        self._entries.clear()


class Instance:
    """One instance of a scenario; it outlasts the processes that run as this instance one after the other.

    All random numbers come from one generator, so the order in which the parts draw is part of the model.
    """

    def __init__(self, scenario: Scenario, number: int, seed: int, clock: float) -> None:
        self.scenario = scenario
        self.number = number
        self.rng = random.Random(f"{seed} {scenario.name} {number}")
        self.clock = clock
        self.agenda = Agenda()
        self._last_request = 0
        self._records: list[bytes] = []

    def schedule(self, delay_ms: float, call: Callable[..., None], *arguments: object) -> None:
        """Call this with these arguments after some time."""
        self.agenda.add(self.clock + delay_ms, call, *arguments)

    def emit(self, record: bytes) -> None:
        """Add an event to those of this step."""
        self._records.append(record)

    def take_records(self) -> list[bytes]:
        """Return the events since the last call."""
        records, self._records = self._records, []
        return records

    def drop_records(self) -> None:
        """Drop the events of this step."""
        self._records.clear()

    def new_request_id(self) -> int:
        """Return the id of one more request."""
        self._last_request += 1
        return self.upcoming_request_id(0)

    def upcoming_request_id(self, ahead: int) -> int:
        """Return the id that a later request will have; 0 ahead is the last one."""
        return self._last_request + ahead + self.number * IDS_PER_INSTANCE

    def emit_hangup(self, request_id: int) -> None:
        """Report that nobody waits for a request any more."""
        self.emit(wire.hangup(self.number, request_id))
