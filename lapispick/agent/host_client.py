"""Calls of an agent to the processes of its host, at their operators' addresses."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lapispick.agent import line_client
from lapispick.host.addresses import parse_address
from lapispick.host.scheduler import EventLoop
from lapispick.rollout.host_state import HostProcess

CALL_TIMEOUT_S = 1.0
ACCEPTING_ANSWER = ["OK"]  # to a health check, from a process that accepts clients


class HealthChecks(NamedTuple):
    """Results of health checks of a host's processes, by the numbers of the processes."""

    accepting: frozenset[int] = frozenset()  # processes that accept clients
    unresponsive: frozenset[int] = frozenset()  # processes that did not answer in time


class HostClient:
    """Calls the processes of one host; a slot identifies the process to call."""

    def __init__(self, loop: EventLoop, slot_addresses: Sequence[str]) -> None:
        self._loop = loop
        self._slot_addresses = slot_addresses

    def call(self, slot: int, line: str) -> list[str] | None:
        """Return the answer of the process in a slot; None if it does not answer in time."""
        try:
            return line_client.call(self._loop, parse_address(self._slot_addresses[slot]), line, CALL_TIMEOUT_S)
        except OSError:
            return None

    def check_health(self, processes: Iterable[HostProcess]) -> HealthChecks:
        """Send a health check to each process and return the results."""
        answers = {process.number: self.call(process.slot, "check") for process in processes}
        return HealthChecks(
            frozenset(number for number, answer in answers.items() if answer == ACCEPTING_ANSWER),
            frozenset(number for number, answer in answers.items() if answer is None),
        )
