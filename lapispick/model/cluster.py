"""A simulated cluster: one clock, links that lose and delay messages, clocks that drift, hosts that pause and die.

Each member runs ``members/member.py`` or anything else with the interface ``SimulatedMember``. One seed determines all
random draws, so a run can be repeated message by message.
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
MIN_DELAY_S = 0.002  # of a message; up to as much again is drawn
MIN_TICK_INTERVAL_S = 0.01
MAX_TICK_INTERVAL_S = 1.0


class SimulatedMember(Protocol):
    """What a member of a simulated cluster has to do."""

    def next_tick_at(self) -> float:
        """Return when the next tick has something to do."""

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due."""

    def receive(self, now: float, message: Any) -> list[Outgoing]:
        """Take a message."""

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""


# From a name, a process epoch, the time of the member's clock and a generator of its own.
MemberFactory = Callable[[str, int, float, random.Random], SimulatedMember]


class _Clock(NamedTuple):
    offset: float
    rate: float


class _Partition(NamedTuple):
    hosts: frozenset[str]
    both_ways: bool

    def cuts(self, sender: str, receiver: str) -> bool:
        return (sender in self.hosts) != (receiver in self.hosts) and (self.both_ways or sender in self.hosts)


class ObservedChange(NamedTuple):
    """A state change as one member saw it."""

    at: float
    observer: str
    change: StateChange


class ObservedDeath(NamedTuple):
    """One member declared another one dead."""

    at: float
    observer: str
    name: str


def host_names(size: int) -> list[str]:
    """Return the names of a cluster of this size."""
    return [f"disp-{number:04}" for number in range(1, size + 1)]


class SimulatedCluster:
    """A cluster in the simulation. ``loss`` and ``max_extra_delay_s`` may be changed while it runs."""

    def __init__(
        self, seed: int, size: int, factory: MemberFactory, script: Sequence[FaultStep] = (), loss: float = 0.0
    ) -> None:
        """Start ``size`` members within the first second, and inject the faults of the script."""
        self.rng = random.Random(seed)
        self.seed = seed
        self.factory = factory
        self.now = 0.0
        self.loss = loss
        self.max_extra_delay_s = 0.0
        self.blocked_links: set[tuple[str, str]] = set()  # sender and receiver
        self.names = host_names(size)
        self.sent_messages = 0
        self.sent_bytes = 0
        self.changes: list[ObservedChange] = []
        self.dead: set[str] = set()
        self.process_epochs = dict.fromkeys(self.names, 1)
        self.members: dict[str, Any] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count()
        self._clocks = {name: self._draw_clock() for name in self.names}
        self._paused: dict[str, list[Any]] = {}  # with the messages that wait
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
        """Schedule a call."""
        heapq.heappush(self._events, (when, next(self._counter), call))

    def run(self, until: float, check: Callable[[], None] | None = None) -> None:
        """Run until a time; ``check`` is called after each event."""
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
        """Tell whether a member is paused."""
        return name in self._paused

    def is_running(self, name: str) -> bool:
        """Tell whether a member is neither dead nor paused."""
        return name not in self.dead and name not in self._paused

    def _tick(self, name: str, epoch: int) -> None:
        if self.process_epochs[name] != epoch or name in self.dead:
            return
        member = self.members[name]
        if name not in self._paused:
            self.send(name, member.tick(self.clock(name)))
        wait = self.simulated_duration(name, member.next_tick_at() - self.clock(name))
        delay = min(MAX_TICK_INTERVAL_S, max(MIN_TICK_INTERVAL_S, wait))
        self.at(self.now + delay, partial(self._tick, name, epoch))

    def tick_now(self, name: str) -> None:
        """Let a running member do at once what is due."""
        if self.is_running(name):
            self.send(name, self.members[name].tick(self.clock(name)))

    def send(self, name: str, outgoing: Sequence[Outgoing]) -> None:
        """Send a member's messages, and record the state changes that it saw."""
        for to, message in outgoing:
            self.sent_messages += 1
            is_message = isinstance(message, messages.Message)
            self.sent_bytes += len(messages.encode_datagram(message)) if is_message else len(message)
            if self.rng.random() < self.loss or self._is_cut(name, to):
                continue
            delay = MIN_DELAY_S * (1 + self.rng.random())
            if self.max_extra_delay_s:
                delay += self.rng.random() * self.max_extra_delay_s
            self.at(self.now + delay, partial(self._deliver, to, message))
        for change in self.members[name].take_changes():
            self.changes.append(ObservedChange(self.now, name, change))

    def _deliver(self, to: str, message: Any) -> None:
        if to in self.dead:
            return
        if to in self._paused:
            self._paused[to].append(message)
            return
        self.send(to, self.members[to].receive(self.clock(to), message))

    # Faults.

    def _is_cut(self, sender: str, receiver: str) -> bool:
        if (sender, receiver) in self.blocked_links:
            return True
        return any(partition.cuts(sender, receiver) for partition in self._partitions.values())

    def _inject(self, step: FaultStep) -> None:
        hosts = step.affected(self.names, self.rng)
        number = next(self._counter)
        end = self.now + step.span
        if step.kind in (FaultKind.PARTITION, FaultKind.ONE_WAY_PARTITION):
            self._partitions[number] = _Partition(frozenset(hosts), step.kind == FaultKind.PARTITION)
            self.at(end, partial(self._heal, number))
        elif step.kind == FaultKind.LOSS:
            self.at(end, partial(setattr, self, "loss", self.loss))
            self.loss = step.value
        elif step.kind == FaultKind.DELAY:
            self.at(end, partial(setattr, self, "max_extra_delay_s", self.max_extra_delay_s))
            self.max_extra_delay_s = step.value
        else:
            for name in hosts:
                self._take_down(name, step.kind, end)

    def _heal(self, number: int) -> None:
        del self._partitions[number]

    def _take_down(self, name: str, kind: str, end: float) -> None:
        if not self.is_running(name):
            return
        if kind == FaultKind.PAUSE:
            self._paused[name] = []
            self.at(end, partial(self._resume, name))
        else:
            self.dead.add(name)
            self.at(end, partial(self._restart, name))

    def _resume(self, name: str) -> None:
        for message in self._paused.pop(name, []):
            self._deliver(name, message)

    def _restart(self, name: str) -> None:
        self.dead.discard(name)
        self.process_epochs[name] += 1
        self._start(name)

    # Results.

    def deaths(self) -> list[ObservedDeath]:
        """Return who declared whom dead, and when."""
        return [
            ObservedDeath(at, observer, change.name)
            for at, observer, change in self.changes
            if change.state is MemberState.DEAD
        ]


def member_factory(
    names: Sequence[str], settings: MemberSettings | None = None, slot_counts: Mapping[str, int] | None = None
) -> MemberFactory:
    """Return a factory of real members that share one configuration of these names."""
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
