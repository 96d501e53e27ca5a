"""Decides what to open, drain and close so that the running instances match the desired state.

No I/O, no clock: times are passed in. A unit (a broker, say) has a key and a spec; an instance of it is opening, open
or draining. Instances of one key may overlap: where the spec changes, the new instance is opened first, and the old
one is drained once the new one is open, so that a wrong password interrupts nothing that works. The order of a step
is: units without any instance are opened, then new instances beside old ones, then units that were removed are
drained, each by key. At most a fraction of the units changes at once; a change that is stuck stops counting after
``change_timeout_s``, or one unreachable broker would stop all other changes. An instance that drains for too long is
closed.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from heapq import nsmallest
from math import ceil
from typing import Any, NamedTuple

import msgspec

_MIN_PAUSE_S = 0.01
_MAX_PAUSE_S = 60.0


class Bounds(msgspec.Struct, frozen=True):
    """How much may change at once."""

    max_changing_fraction: float = 0.25  # of the units
    min_changing: int = 2  # units that may always change
    change_timeout_s: float = 10.0  # a change that takes longer stops counting
    drain_timeout_s: float = 30.0
    max_instances: int = 100  # of all units together, draining ones too


class State(enum.Enum):
    """The state of an instance."""

    OPENING = "opening"
    OPEN = "open"
    DRAINING = "draining"


class Open(NamedTuple):
    """Open an instance."""

    instance: int
    key: str
    spec: Any


class Drain(NamedTuple):
    """Accept nothing more in this instance, and end it once all is done."""

    instance: int
    key: str


class Close(NamedTuple):
    """End this instance now."""

    instance: int
    key: str


Action = Open | Drain | Close


class Instance(msgspec.Struct):
    """One instance of a unit."""

    number: int
    key: str
    spec: Any
    state: State
    since: float  # when it entered its state
    served: bool = False  # it was open once; one that never was has nothing to drain


class Reconciler:
    """Compares the desired units with the instances that exist."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.desired: dict[str, Any] = {}
        self.instances: dict[int, Instance] = {}
        self.left_out = 0  # desired units without an instance because of ``max_instances``
        self._pending: set[str] = set()  # desired units without any instance
        self._last_number = 0

    def put(self, key: str, spec: Any) -> None:
        """Desire a unit with this spec; specs are compared by ``==``."""
        if key not in self.desired and not self._has_instance(key):
            self._pending.add(key)
        self.desired[key] = spec

    def drop(self, key: str) -> None:
        """Desire a unit no more."""
        self.desired.pop(key, None)
        self._pending.discard(key)

    def set_desired(self, desired: Mapping[str, Any]) -> None:
        """Replace all desired units."""
        for key in self.desired.keys() - desired.keys():
            self.drop(key)
        for key, spec in desired.items():
            self.put(key, spec)

    def opened(self, now: float, number: int) -> None:
        """Note that an instance is open; one that drains stays draining."""
        instance = self.instances.get(number)
        if instance is not None and instance.state is State.OPENING:
            instance.state = State.OPEN
            instance.since = now
            instance.served = True

    def lost(self, now: float, number: int) -> None:
        """Note that an open instance has to open again, as after a broken connection."""
        instance = self.instances.get(number)
        if instance is not None and instance.state is State.OPEN:
            instance.state = State.OPENING
            instance.since = now

    def ended(self, number: int) -> None:
        """Note that an instance has ended."""
        instance = self.instances.pop(number, None)
        if instance is not None and instance.key in self.desired and not self._has_instance(instance.key):
            self._pending.add(instance.key)

    def changing(self, now: float) -> int:
        """Return how many units are opening or draining and not stuck."""
        keys = {
            instance.key
            for instance in self.instances.values()
            if (instance.state is State.OPENING or (instance.state is State.DRAINING and instance.served))
            and now - instance.since < self.bounds.change_timeout_s
        }
        return len(keys)

    def step(self, now: float) -> list[Action]:
        """Return what to do now; the instances count as begun or draining from here on."""
        by_key: dict[str, list[Instance]] = {}
        for instance in self.instances.values():
            by_key.setdefault(instance.key, []).append(instance)
        unit_count = max(len(self.desired), len(by_key))
        allowed = max(self.bounds.min_changing, ceil(self.bounds.max_changing_fraction * unit_count))
        budget = allowed - self.changing(now)
        actions = self._close_overdue(now)
        opened = self._open_pending(now, budget)
        actions += opened
        budget -= len(opened)
        self.left_out = len(self._pending) if self._is_full() else 0
        for key in sorted(by_key.keys() & self.desired.keys()):
            replacing = self._replace(now, key, by_key[key], budget)
            budget -= bool(replacing)
            actions += replacing
            actions += [self._drain(now, instance) for instance in self._superseded(by_key[key], key)]
        for key in sorted(by_key.keys() - self.desired.keys()):
            live = _live(by_key[key])
            served = any(instance.served for instance in live)
            if live and (budget > 0 or not served):
                actions += [self._drain(now, instance) for instance in live]
                budget -= served
        return actions

    def _has_instance(self, key: str) -> bool:
        return any(instance.key == key for instance in self.instances.values())

    def _is_full(self) -> bool:
        return len(self.instances) >= self.bounds.max_instances

    def _close_overdue(self, now: float) -> list[Action]:
        overdue = [
            instance
            for instance in self.instances.values()
            if instance.state is State.DRAINING and now - instance.since >= self.bounds.drain_timeout_s
        ]
        for instance in overdue:
            self.ended(instance.number)
        return [Close(instance.number, instance.key) for instance in overdue]

    def _open_pending(self, now: float, budget: int) -> list[Action]:
        """Open units without any instance; of thousands only as many are sorted as can begin."""
        count = min(budget, self.bounds.max_instances - len(self.instances))
        return [self._open(now, key) for key in nsmallest(max(0, count), self._pending)]

    def _replace(self, now: float, key: str, instances: list[Instance], budget: int) -> list[Action]:
        """Open an instance of the desired spec beside old ones, or drain these where there is room for one only."""
        if budget <= 0 or self._has_desired_spec(instances, key):
            return []
        if not self._is_full():
            return [self._open(now, key)]
        return [self._drain(now, instance) for instance in _live(instances)]

    def _has_desired_spec(self, instances: list[Instance], key: str) -> bool:
        return any(instance.spec == self.desired[key] for instance in _live(instances))

    def _superseded(self, instances: list[Instance], key: str) -> list[Instance]:
        """Return the instances that the one of the desired spec replaces."""
        outdated = [instance for instance in _live(instances) if instance.spec != self.desired[key]]
        if any(instance.state is State.OPEN and instance.spec == self.desired[key] for instance in instances):
            return outdated
        # One that never opened can go without a replacement.
        return [instance for instance in outdated if instance.state is State.OPENING]

    def _open(self, now: float, key: str) -> Action:
        self._last_number += 1
        self._pending.discard(key)
        self.instances[self._last_number] = Instance(self._last_number, key, self.desired[key], State.OPENING, now)
        return Open(self._last_number, key, self.desired[key])

    def _drain(self, now: float, instance: Instance) -> Action:
        instance.state = State.DRAINING
        instance.since = now
        return Drain(instance.number, instance.key)


def _live(instances: list[Instance]) -> list[Instance]:
    return [instance for instance in instances if instance.state is not State.DRAINING]


def next_due(reconciler: Reconciler, now: float) -> float:
    """Return after how many seconds a step is worthwhile though nothing happens."""
    bounds = reconciler.bounds
    delays: list[float] = []
    for instance in reconciler.instances.values():
        elapsed_s = now - instance.since
        if instance.state is State.DRAINING:
            delays.append(bounds.drain_timeout_s - elapsed_s)
        if instance.state is not State.OPEN:
            delays.append(bounds.change_timeout_s - elapsed_s)
    return max(_MIN_PAUSE_S, min((delay for delay in delays if delay > 0), default=_MAX_PAUSE_S))
