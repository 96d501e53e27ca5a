"""States of members, and the record that a member keeps of each other member. No I/O."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from lapispick.members.messages import GossipUpdate


class MemberState(enum.IntEnum):
    """State of a member in a membership view. Within one incarnation, the higher state supersedes the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


STATE_NAMES = {state: state.name.lower() for state in MemberState}  # names on the wire
STATES_BY_NAME = {name: state for state, name in STATE_NAMES.items()}


class StateChange(NamedTuple):
    """Change of a member's state.

    ``returned``: the member was dead or had left, and is alive again within ``return_window_s`` of being declared dead.
    """

    name: str
    state: MemberState
    returned: bool = False
    cause: str = ""


class MemberRecord(msgspec.Struct):
    """Last known state of one other member.

    ``state_since`` is when ``state`` began, and ``witnesses`` are the members whose own probes it did not answer.
    """

    state: MemberState
    incarnation: int
    process_epoch: int
    state_since: float
    witnesses: frozenset[str] = frozenset()
    declared_dead_at: float = -1e9  # long before any start: never declared dead

    @property
    def version(self) -> tuple[int, int, MemberState]:
        """Return (process epoch, incarnation, state); a report with a higher version supersedes a lower one."""
        return self.process_epoch, self.incarnation, self.state

    def as_update(self, name: str) -> GossipUpdate:
        """Return this record as a gossip update."""
        return GossipUpdate(name, STATE_NAMES[self.state], self.incarnation, self.process_epoch)


UNKNOWN_MEMBER = MemberRecord(MemberState.ALIVE, 0, 0, 0.0)  # no report received yet; counts as alive


class MemberRecords:
    """Records of the other members about which reports were received, and the changes of their states."""

    def __init__(self, return_window_s: float) -> None:
        self.not_alive: set[str] = set()
        self.suspects: set[str] = set()
        self._return_window_s = return_window_s
        self._records: dict[str, MemberRecord] = {}
        self._changes: list[StateChange] = []

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[tuple[str, MemberRecord]]:
        return iter(self._records.items())

    def get(self, name: str) -> MemberRecord:
        """Return the record of a member, or ``UNKNOWN_MEMBER``."""
        return self._records.get(name, UNKNOWN_MEMBER)

    def get_or_add(self, now: float, name: str) -> MemberRecord:
        """Return the record of a member; a member without a record gets one as alive."""
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = MemberRecord(MemberState.ALIVE, 0, 0, now)
        return record

    def discard(self, name: str) -> None:
        """Drop the record of a member."""
        self._records.pop(name, None)
        self.not_alive.discard(name)
        self.suspects.discard(name)

    def unavailable_count(self) -> int:
        """Return the number of members that are dead or have left."""
        return sum(self._records[name].state > MemberState.SUSPECT for name in self.not_alive)

    def change_state(self, now: float, name: str, state: MemberState, cause: str) -> None:
        """Set the state of a member that has a record."""
        record = self._records[name]
        came_back = state is MemberState.ALIVE and record.state in (MemberState.DEAD, MemberState.LEFT)
        record.state = state
        record.state_since = now
        if state is MemberState.DEAD:
            record.declared_dead_at = now
        if state is MemberState.ALIVE:
            self.not_alive.discard(name)
        else:
            self.not_alive.add(name)
        if state is MemberState.SUSPECT:
            self.suspects.add(name)
        else:
            self.suspects.discard(name)
        returned = came_back and now - record.declared_dead_at <= self._return_window_s
        self.add_change(StateChange(name, state, returned, cause))

    def add_change(self, change: StateChange) -> None:
        """Add a state change for ``take_changes`` to return."""
        self._changes.append(change)

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call, and clear them."""
        changes = self._changes
        self._changes = []
        return changes

    def extend_suspicions(self, pause_s: float) -> None:
        """Move the start of all states other than alive forward by ``pause_s``."""
        for name in self.not_alive:
            self._records[name].state_since += pause_s
