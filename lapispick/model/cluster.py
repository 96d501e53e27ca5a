"""Simulated cluster: links lose and delay messages, members' clocks drift, and members are paused and killed.

All events happen on one simulated clock. Each member runs ``members/member.py`` or another implementation of the
``SimulatedMember`` interface. One seed determines all random numbers, so a run can be repeated message by message.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, NamedTuple, Protocol

from lapispick.members import messages
from lapispick.members.failure_detector import Outgoing
from lapispick.members.member import Member, MemberSettings
from lapispick.members.member_state import MemberState, StateChange
from lapispick.model.fault_script import FaultKind, FaultStep

FLEET = "model"
CONFIGURATION_DIGEST = "l"
DEFAULT_SLOT_COUNTS = {"job": 1}
MAX_CLOCK_DRIFT_RATIO = 0.004
MAX_CLOCK_OFFSET_S = 300
MIN_DELAY_S = 0.002  # of a message; a random delay of up to the same length is added
MIN_TICK_INTERVAL_S = 0.01
MAX_TICK_INTERVAL_S = 1.0


class SimulatedMember(Protocol):
    """Interface of a member of a simulated cluster."""

    def next_tick_at(self) -> float:
        """Return the time, by the member's clock, at which the next tick has work to do."""

    def tick(self, now: float) -> list[Outgoing]:
        """Do the work that is due, and return the messages to send."""

    def receive(self, now: float, message: Any) -> list[Outgoing]:
        """Process a received message, and return the messages to send."""

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""


# Arguments: the name, the process epoch, the time of the member's own clock, and the member's random generator.
MemberFactory = Callable[[str, int, float, random.Random], SimulatedMember]


class _Clock(NamedTuple):
    offset: float
    rate: float


class _Partition(NamedTuple):
    hosts: frozenset[str]
    both_ways: bool

    def blocks(self, sender: str, receiver: str) -> bool:
        return (sender in self.hosts) != (receiver in self.hosts) and (self.both_ways or sender in self.hosts)


class ObservedChange(NamedTuple):
    """State change in the view of one member."""

    at: float
    observer: str
    change: StateChange


class ObservedDeath(NamedTuple):
    """Declaration by one member that another one is dead."""

    at: float
    observer: str
    name: str


def host_names(size: int) -> list[str]:
    """Return the names of the hosts in a cluster of this size."""
    return [f"disp-{number:04}" for number in range(1, size + 1)]


class SimulatedCluster:
    """Cluster in the simulation. ``loss`` (a fraction) and ``max_extra_delay_s`` may be changed while it runs."""

    def __init__(
        self, seed: int, size: int, factory: MemberFactory, script: Sequence[FaultStep] = (), loss: float = 0.0
    ) -> None:
        """Create ``size`` members, whose first ticks are in the first second, and schedule the faults of the script."""
        self.rng = random.Random(seed)
        self.seed = seed
        self.factory = factory
        self.now = 0.0
        self.loss = loss
        self.max_extra_delay_s = 0.0
        self.blocked_links: set[tuple[str, str]] = set()  # pairs of sender and receiver
        self.names = host_names(size)
        self.sent_messages = 0
        self.sent_bytes = 0
        self.changes: list[ObservedChange] = []
        self.killed: set[str] = set()  # members that are killed and not yet restarted
        self.process_epochs = dict.fromkeys(self.names, 1)
        self.members: dict[str, Any] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._clocks = {name: self._draw_clock() for name in self.names}
        self._paused: dict[str, list[Any]] = {}  # by member: the messages to deliver when it resumes
        self._partitions: dict[int, _Partition] = {}
        for name in self.names:
            self._start(name)
        for step in script:
            self.at(step.at, partial(self._inject, step))

    def _draw_clock(self) -> _Clock:
        offset = self.rng.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S)
        return _Clock(offset, 1 + self.rng.uniform(-MAX_CLOCK_DRIFT_RATIO, MAX_CLOCK_DRIFT_RATIO))

    # Time.

    def clock(self, name: str) -> float:
        """Return the time of a member's own clock."""
        offset, rate = self._clocks[name]
        return offset + self.now * rate

    def simulated_duration(self, name: str, duration: float) -> float:
        """Return the simulated time in which a member's clock advances by ``duration``."""
        return duration / self._clocks[name].rate

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call at a simulated time."""
        heapq.heappush(self._events, (when, next(self._sequence_numbers), call))

    def run(self, until: float, check: Callable[[], None] | None = None) -> None:
        """Run until a simulated time; ``check`` is called after each event."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
            if check is not None:
                check()
        self.now = until

    # Members.

    def _start(self, name: str) -> None:
        epoch = self.process_epochs[name]
        rng = random.Random(f"{self.seed} {name} {epoch}")
        self.members[name] = self.factory(name, epoch, self.clock(name), rng)
        self.at(self.now + rng.random(), partial(self._tick, name, epoch))

    def is_paused(self, name: str) -> bool:
        """Return True if a member is paused."""
        return name in self._paused

    def is_running(self, name: str) -> bool:
        """Return True if a member is neither killed nor paused."""
        return name not in self.killed and name not in self._paused

    def _tick(self, name: str, epoch: int) -> None:
        if self.process_epochs[name] != epoch or name in self.killed:
            return
        member = self.members[name]
        if name not in self._paused:
            self.send(name, member.tick(self.clock(name)))
        wait = self.simulated_duration(name, member.next_tick_at() - self.clock(name))
        delay = min(MAX_TICK_INTERVAL_S, max(MIN_TICK_INTERVAL_S, wait))
        self.at(self.now + delay, partial(self._tick, name, epoch))

    def tick_now(self, name: str) -> None:
        """Tick a running member now instead of at its next tick; do nothing for a member that is not running."""
        if self.is_running(name):
            self.send(name, self.members[name].tick(self.clock(name)))

    def send(self, name: str, outgoing: Sequence[Outgoing]) -> None:
        """Send a member's messages, and record the state changes in its view."""
        for receiver, message in outgoing:
            self.sent_messages += 1
            is_message = isinstance(message, messages.Message)
            self.sent_bytes += len(messages.encode_datagram(message)) if is_message else len(message)
            if self.rng.random() < self.loss or self._is_blocked(name, receiver):
                continue
            delay = MIN_DELAY_S * (1 + self.rng.random())
            if self.max_extra_delay_s:
                delay += self.rng.random() * self.max_extra_delay_s
            self.at(self.now + delay, partial(self._deliver, receiver, message))
        for change in self.members[name].take_changes():
            self.changes.append(ObservedChange(self.now, name, change))

    def _deliver(self, receiver: str, message: Any) -> None:
        if receiver in self.killed:
            return
        if receiver in self._paused:
            self._paused[receiver].append(message)
            return
        self.send(receiver, self.members[receiver].receive(self.clock(receiver), message))

    # Faults.

    def _is_blocked(self, sender: str, receiver: str) -> bool:
        if (sender, receiver) in self.blocked_links:
            return True
        return any(partition.blocks(sender, receiver) for partition in self._partitions.values())

    def _inject(self, step: FaultStep) -> None:
        hosts = step.affected_hosts(self.names, self.rng)
        partition_number = next(self._sequence_numbers)
        end = self.now + step.span
        if step.kind in (FaultKind.PARTITION, FaultKind.ONE_WAY_PARTITION):
            self._partitions[partition_number] = _Partition(frozenset(hosts), step.kind == FaultKind.PARTITION)
            self.at(end, partial(self._heal, partition_number))
        elif step.kind == FaultKind.LOSS:
            self.at(end, partial(setattr, self, "loss", self.loss))
            self.loss = step.value
        elif step.kind == FaultKind.DELAY:
            self.at(end, partial(setattr, self, "max_extra_delay_s", self.max_extra_delay_s))
            self.max_extra_delay_s = step.value
        else:
            for name in hosts:
                self._pause_or_kill(name, step.kind, end)

    def _heal(self, partition_number: int) -> None:
        del self._partitions[partition_number]

    def _pause_or_kill(self, name: str, kind: str, end: float) -> None:
        if not self.is_running(name):
            return
        if kind == FaultKind.PAUSE:
            self._paused[name] = []
            self.at(end, partial(self._resume, name))
        else:
            self.killed.add(name)
            self.at(end, partial(self._restart, name))

    def _resume(self, name: str) -> None:
        for message in self._paused.pop(name, []):
            self._deliver(name, message)

    def _restart(self, name: str) -> None:
        self.killed.discard(name)
        self.process_epochs[name] += 1
        self._start(name)

    # Results.

    def deaths(self) -> list[ObservedDeath]:
        """Return all declarations of a member as dead, in chronological order."""
        return [
            ObservedDeath(at, observer, change.name)
            for at, observer, change in self.changes
            if change.state is MemberState.DEAD
        ]


def member_factory(
    names: Sequence[str], settings: MemberSettings | None = None, slot_counts: Mapping[str, int] | None = None
) -> MemberFactory:
    """Return a factory of real members; the names form the configuration that they share."""
    configuration = frozenset(names)
    member_settings = settings or MemberSettings()
    counts = slot_counts or DEFAULT_SLOT_COUNTS

    def start(name: str, epoch: int, now: float, rng: random.Random) -> Member:
        return Member(
            name,
            FLEET,
            epoch,
            configuration,
            CONFIGURATION_DIGEST,
            counts,
            member_settings,
            rng,
            now,
            is_first_process=epoch == 1,
        )

    return start
