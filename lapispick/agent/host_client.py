"""Calls of an agent to its host, at the operators' address of each process."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lapispick.agent import line_client
from lapispick.host.addresses import parse_address
from lapispick.host.scheduler import EventLoop
from lapispick.rollout.host_state import HostProcess

CALL_TIMEOUT_S = 1.0
ACCEPTING = ["OK"]


class HealthChecks(NamedTuple):
    """What the processes of a host answered to health checks, by their numbers."""

    accepting: frozenset[int] = frozenset()  # those that accept clients
    unresponsive: frozenset[int] = frozenset()  # those that answered nothing in time


class HostClient:
    """Calls the processes of one host by their slots."""

    def __init__(self, loop: EventLoop, slot_addresses: Sequence[str]) -> None:
        self._loop = loop
        self._slot_addresses = slot_addresses

    def call(self, slot: int, line: str) -> list[str] | None:
        """Return the answer of the process in a slot; None where it does not answer in time."""
        try:
            return line_client.call(self._loop, parse_address(self._slot_addresses[slot]), line, CALL_TIMEOUT_S)
        except OSError:
            return None

    def check(self, processes: Iterable[HostProcess]) -> HealthChecks:
        """Check the health of some processes."""
        answers = {process.number: self.call(process.slot, "check") for process in processes}
        return HealthChecks(
            frozenset(number for number, answer in answers.items() if answer == ACCEPTING),
            frozenset(number for number, answer in answers.items() if answer is None),
        )
