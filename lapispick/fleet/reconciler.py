"""Decides which instances to open, drain and close so that the running instances match the desired state.

No I/O, no clock: callers pass times. A unit (for example a broker) has a key and a spec; an instance of it is opening,
open or draining. Instances of one key may overlap: when the spec changes, the new instance is opened first, and the old
one is drained once the new one is open, so that a wrong password doesn't interrupt a working connection.

The order of a step is: units without any instance are opened, then new instances are opened beside old ones, then
removed units are drained, each group ordered by key. At most a fraction of the units changes at once. A change that is
stuck no longer counts after ``change_timeout_s``, since otherwise one unreachable broker would block all other changes.
An instance that drains for longer than ``drain_timeout_s`` is closed.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from heapq import nsmallest
from math import ceil
from typing import Any, NamedTuple

import msgspec

_MIN_STEP_DELAY_S = 0.01
_MAX_STEP_DELAY_S = 60.0


class Bounds(msgspec.Struct, frozen=True):
    """Limits of concurrent changes."""

    max_changing_fraction: float = 0.25  # of the units
    min_changing: int = 2  # units that may always change at once, whatever the fraction allows
    change_timeout_s: float = 10.0  # a change that takes longer no longer counts
    drain_timeout_s: float = 30.0
    max_instances: int = 100  # of all units together, including draining ones


class State(enum.Enum):
    """State of an instance."""

    OPENING = "opening"
    OPEN = "open"
    DRAINING = "draining"


class Open(NamedTuple):
    """Action: open a new instance with this number."""

    instance: int
    key: str
    spec: Any


class Drain(NamedTuple):
    """Action: accept nothing more in this instance, and end it once everything that it accepted is done."""

    instance: int
    key: str


class Close(NamedTuple):
    """Action: end this instance immediately."""

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
    was_opened: bool = False  # an instance that was never open has nothing to drain


class Reconciler:
    """Compares the desired units with the existing instances, and returns the actions that are needed."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.desired: dict[str, Any] = {}
        self.instances: dict[int, Instance] = {}
        self.omitted_count = 0  # desired units without an instance because of ``max_instances``
        self._pending: set[str] = set()  # desired units without any instance
        self._last_number = 0

    def set_unit(self, key: str, spec: Any) -> None:
        """Add a desired unit, or replace its spec; specs are compared by ``==``."""
        if key not in self.desired and not self._has_instance(key):
            self._pending.add(key)
        self.desired[key] = spec

    def remove_unit(self, key: str) -> None:
        """Remove a unit from the desired ones."""
        self.desired.pop(key, None)
        self._pending.discard(key)

    def set_desired(self, desired: Mapping[str, Any]) -> None:
        """Replace all desired units."""
        for key in self.desired.keys() - desired.keys():
            self.remove_unit(key)
        for key, spec in desired.items():
            self.set_unit(key, spec)

    def record_opened(self, now: float, number: int) -> None:
        """Record that an instance is open; a draining instance stays draining."""
        instance = self.instances.get(number)
        if instance is not None and instance.state is State.OPENING:
            instance.state = State.OPEN
            instance.since = now
            instance.was_opened = True

    def record_lost(self, now: float, number: int) -> None:
        """Record that an open instance has to open again, for example after its connection was lost."""
        instance = self.instances.get(number)
        if instance is not None and instance.state is State.OPEN:
            instance.state = State.OPENING
            instance.since = now

    def record_ended(self, number: int) -> None:
        """Record that an instance has ended."""
        instance = self.instances.pop(number, None)
        if instance is not None and instance.key in self.desired and not self._has_instance(instance.key):
            self._pending.add(instance.key)

    def changing_count(self, now: float) -> int:
        """Return how many units are opening or draining without being stuck."""
        keys = {
            instance.key
            for instance in self.instances.values()
            if (instance.state is State.OPENING or (instance.state is State.DRAINING and instance.was_opened))
            and now - instance.since < self.bounds.change_timeout_s
        }
        return len(keys)

    def step(self, now: float) -> list[Action]:
        """Return the actions that are due; from now on the instances count as opening or draining."""
        instances_by_key: dict[str, list[Instance]] = {}
        for instance in self.instances.values():
            instances_by_key.setdefault(instance.key, []).append(instance)
        unit_count = max(len(self.desired), len(instances_by_key))
        allowed = max(self.bounds.min_changing, ceil(self.bounds.max_changing_fraction * unit_count))
        budget = allowed - self.changing_count(now)
        actions = self._close_overdue(now)
        opened = self._open_pending(now, budget)
        actions += opened
        budget -= len(opened)
        self.omitted_count = len(self._pending) if self._is_full() else 0
        for key in sorted(instances_by_key.keys() & self.desired.keys()):
            replacements = self._replace(now, key, instances_by_key[key], budget)
            budget -= bool(replacements)
            actions += replacements
            actions += [self._drain(now, instance) for instance in self._superseded(instances_by_key[key], key)]
        for key in sorted(instances_by_key.keys() - self.desired.keys()):
            undrained = _undrained(instances_by_key[key])
            was_opened = any(instance.was_opened for instance in undrained)
            if undrained and (budget > 0 or not was_opened):
                actions += [self._drain(now, instance) for instance in undrained]
                budget -= was_opened
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
            self.record_ended(instance.number)
        return [Close(instance.number, instance.key) for instance in overdue]

    def _open_pending(self, now: float, budget: int) -> list[Action]:
        """Open units without any instance; only as many keys as can be opened are sorted, since thousands may wait."""
        count = min(budget, self.bounds.max_instances - len(self.instances))
        return [self._open(now, key) for key in nsmallest(max(0, count), self._pending)]

    def _replace(self, now: float, key: str, instances: list[Instance], budget: int) -> list[Action]:
        """Open an instance with the desired spec beside the old ones; drain these first at the limit of instances."""
        if budget <= 0 or self._has_desired_spec(instances, key):
            return []
        if not self._is_full():
            return [self._open(now, key)]
        return [self._drain(now, instance) for instance in _undrained(instances)]

    def _has_desired_spec(self, instances: list[Instance], key: str) -> bool:
        return any(instance.spec == self.desired[key] for instance in _undrained(instances))

    def _superseded(self, instances: list[Instance], key: str) -> list[Instance]:
        """Return the instances of other specs that are no longer needed."""
        outdated = [instance for instance in _undrained(instances) if instance.spec != self.desired[key]]
        if any(instance.state is State.OPEN and instance.spec == self.desired[key] for instance in instances):
            return outdated
        # An instance that is still opening does no work, so it can be drained before its replacement is open.
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


def _undrained(instances: list[Instance]) -> list[Instance]:
    return [instance for instance in instances if instance.state is not State.DRAINING]


def next_step_delay_s(reconciler: Reconciler, now: float) -> float:
    """Return after how many seconds a step is due if no event happens before."""
    bounds = reconciler.bounds
    delays: list[float] = []
    for instance in reconciler.instances.values():
        elapsed_s = now - instance.since
        if instance.state is State.DRAINING:
            delays.append(bounds.drain_timeout_s - elapsed_s)
        if instance.state is not State.OPEN:
            delays.append(bounds.change_timeout_s - elapsed_s)
    return max(_MIN_STEP_DELAY_S, min((delay for delay in delays if delay > 0), default=_MAX_STEP_DELAY_S))
