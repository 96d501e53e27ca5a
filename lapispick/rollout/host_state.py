"""Stored state of one host's agent, and the agent's observations. No I/O.

``host_step.py`` describes the phases and decides on the transitions between them. Times are seconds of a monotonic
clock that keeps running while the agent is down and restarts when the machine boots; ``boot_id`` identifies the boot.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec

from lapispick.rollout.generations import Generation
from lapispick.rollout.messages import Fence

SLOT_COUNT = 2  # for a process and its successor; each slot has its own addresses for operators and executors
STATE_VERSION = 1

# Controllers compare these faults as text, so agents of all versions must report exactly this text.
NOT_CONFIRMED_IN_TIME = "was not confirmed in time"
ROLLBACK_ORDERED = "called back"


class HostPhase(StrEnum):
    """Phase of a host; the values are stored and reported to controllers."""

    STEADY = "steady"
    CHANGING = "trying"
    UNCONFIRMED = "proving"
    ROLLING_BACK = "returning"
    STUCK = "stuck"


class Role(StrEnum):
    """Role of a process of the host; the values are stored."""

    SERVING = "serving"
    STARTING = "coming"
    DRAINING = "leaving"


class Timeouts(msgspec.Struct, frozen=True):
    """Time limits of an agent, in seconds."""

    start_s: float = 6.0  # from the start of a process to accepting clients
    stop_s: float = 6.0  # from SIGTERM to the exit of the process; after that it is killed
    min_uptime_s: float = 10.0  # after a process that ran this long, the restart backoff begins at its minimum
    rollback_lease_wait_s: float = 0.0  # wait for a lease before rolling back an unconfirmed change; 0 = none requested


class HostProcess(msgspec.Struct):
    """One process of the host, from the decision to start it until its exit is observed.

    The names passed to ``field`` are those of the stored record.
    """

    number: int
    generation: str
    slot: int
    role: Role
    change: int  # the value of ``HostState.change`` that the process runs for
    role_since: float = msgspec.field(name="asked")
    was_running: bool = msgspec.field(name="begun", default=False)  # has been observed running
    has_accepted: bool = msgspec.field(name="took", default=False)
    unresponsive_since: float = msgspec.field(name="silent", default=0.0)  # at its operators' address; 0 = it answers
    unresponsive_checks: int = msgspec.field(name="looks", default=0)  # consecutive


class HostState(msgspec.Struct):
    """Stored state of an agent; the names passed to ``field`` are those of the stored record."""

    host: str = msgspec.field(name="box")
    good: str = ""  # the last confirmed generation, to which a change is rolled back
    previous: str = ""  # the good generation before the current rollout, to which it can still be rolled back
    target: str = msgspec.field(name="wanted", default="")  # the generation to move to
    rollout: str = ""
    phase: HostPhase = HostPhase.STEADY
    change: int = 0  # counts changes and restarts
    is_restart: bool = msgspec.field(name="again", default=False)
    confirm_deadline: float = msgspec.field(name="deadline", default=0.0)
    confirm_timeout_s: float = msgspec.field(name="confirm_s", default=0.0)
    epoch: int = 0
    controller: str = msgspec.field(name="who", default="")
    fault: str = ""
    rolled_back_rollout: str = msgspec.field(name="undone", default="")
    boot_id: str = msgspec.field(name="boot", default="")
    processes: list[HostProcess] = msgspec.field(name="lives", default_factory=list)
    last_process_number: int = msgspec.field(name="last", default=0)
    crashes: int = 0
    restart_backoff_s: float = msgspec.field(name="pause", default=0.0)
    restart_not_before: float = msgspec.field(name="not_before", default=0.0)
    version: int = STATE_VERSION

    @property
    def fence(self) -> Fence:
        """Return the newest fence that the agent has accepted."""
        return Fence(self.epoch, self.controller)

    def process(self, role: Role) -> HostProcess | None:
        """Return the newest process in a role, or None."""
        in_role = (process for process in self.processes if process.role == role)
        return max(in_role, key=lambda process: process.number, default=None)

    def free_slot(self) -> int | None:
        """Return a slot that no process uses, or None."""
        taken = {process.slot for process in self.processes}
        return next((slot for slot in range(SLOT_COUNT) if slot not in taken), None)


class Observation(NamedTuple):
    """Observation of the processes, by their numbers, and of the generations on disk."""

    running: frozenset[int]
    accepting: frozenset[int]  # processes that accept clients
    generations: Mapping[str, Generation]
    boot_id: str = ""
    unresponsive: frozenset[int] = frozenset()  # processes that did not answer a health check at all
    has_lease: bool = False  # this host holds the rollback lease


def copy_of(state: HostState) -> HostState:
    """Return a copy whose modification leaves the original state unchanged."""
    processes = [msgspec.structs.replace(process) for process in state.processes]
    return msgspec.structs.replace(state, processes=processes)


def needed_generations(state: HostState) -> set[str]:
    """Return the generations that must remain on disk."""
    running = (process.generation for process in state.processes)
    return {state.good, state.previous, state.target, *running} - {""}
