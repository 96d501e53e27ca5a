"""The state of one host's agent, as it is stored, and what the agent observes. No I/O.

``host_step.py`` describes the phases and decides on the transitions between them. Times are seconds of a clock that
goes on while the agent is dead and starts anew with the machine; ``boot_id`` tells the starts of the machine apart.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec

from lapispick.rollout.generations import Generation
from lapispick.rollout.messages import Fence

SLOTS = 2  # addresses for operators and executors: of a process and of its successor
STATE_VERSION = 1

# Faults that controllers recognise: agents of all versions report them in these words.
NOT_CONFIRMED_IN_TIME = "was not confirmed in time"
CALLED_BACK = "called back"


class HostPhase(StrEnum):
    """The phases of a host; the values are stored and reported to controllers."""

    STEADY = "steady"
    CHANGING = "trying"
    UNCONFIRMED = "proving"
    ROLLING_BACK = "returning"
    STUCK = "stuck"


class Role(StrEnum):
    """What a process of the host is for; the values are stored."""

    SERVING = "serving"
    STARTING = "coming"
    DRAINING = "leaving"


class Timeouts(msgspec.Struct, frozen=True):
    """How long things may take, in seconds."""

    start_s: float = 6.0  # from the start of a process to accepting clients
    stop_s: float = 6.0  # from SIGTERM to the end of the process; then it is killed
    min_uptime_s: float = 10.0  # a process that lasted as long did not fail to start
    rollback_lease_wait_s: float = (
        0.0  # to wait for a lease before rolling back what nobody confirmed; 0 = none is requested
    )


class HostProcess(msgspec.Struct):
    """One process of the host, from before its start until after its end."""

    number: int
    generation: str
    slot: int
    role: Role
    change: int  # the number of the change it was started for
    role_since: float = msgspec.field(name="asked")
    was_alive: bool = msgspec.field(name="begun", default=False)
    has_accepted: bool = msgspec.field(name="took", default=False)
    unresponsive_since: float = msgspec.field(name="silent", default=0.0)  # on its operators' address; 0 = it answers
    unresponsive_checks: int = msgspec.field(name="looks", default=0)  # in a row


class HostState(msgspec.Struct):
    """All that an agent stores, under the names given to ``field``."""

    host: str = msgspec.field(name="box")
    good: str = ""  # the generation to roll back to; confirmed
    previous: str = ""  # what was good before the present rollout; it can still be rolled back to
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
        """Return the newest fence that the agent has seen."""
        return Fence(self.epoch, self.controller)

    def process(self, role: Role) -> HostProcess | None:
        """Return the newest process in a role."""
        in_role = (process for process in self.processes if process.role == role)
        return max(in_role, key=lambda process: process.number, default=None)

    def free_slot(self) -> int | None:
        """Return a slot that no process uses."""
        taken = {process.slot for process in self.processes}
        return next((slot for slot in range(SLOTS) if slot not in taken), None)


class Observation(NamedTuple):
    """What the agent observes of the processes and the generations on disk; processes by number."""

    alive: frozenset[int]
    accepting: frozenset[int]  # those that accept clients
    generations: Mapping[str, Generation]
    boot_id: str = ""
    unresponsive: frozenset[int] = frozenset()  # those that answered operators nothing at all
    has_lease: bool = False  # this host holds the lease to change


def copy_of(state: HostState) -> HostState:
    """Return a state that can be changed without touching this one."""
    processes = [msgspec.structs.replace(process) for process in state.processes]
    return msgspec.structs.replace(state, processes=processes)


def needed_generations(state: HostState) -> set[str]:
    """Return the generations that must stay on disk."""
    running = (process.generation for process in state.processes)
    return {state.good, state.previous, state.target, *running} - {""}
