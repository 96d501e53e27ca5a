"""The states of members and the records that are kept of them. No I/O."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from lapispick.members.messages import GossipUpdate


class MemberState(enum.IntEnum):
    """What is believed of a member; of one incarnation the higher state supersedes the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


STATE_NAMES = {state: state.name.lower() for state in MemberState}  # as they are sent
STATES_BY_NAME = {name: state for state, name in STATE_NAMES.items()}


class StateChange(NamedTuple):
    """A member changed its state. ``returned``: it was dead, or had left, for a short time only."""

    name: str
    state: MemberState
    returned: bool = False
    cause: str = ""


class MemberRecord(msgspec.Struct):
    """What is believed of one member. ``since`` is when ``state`` began; ``witnesses`` got no answer themselves."""

    state: MemberState
    incarnation: int
    process_epoch: int
    since: float
    witnesses: frozenset[str] = frozenset()
    died_at: float = -1e9

    @property
    def version(self) -> tuple[int, int, MemberState]:
        """Return (process epoch, incarnation, state): the higher report supersedes the lower."""
        return self.process_epoch, self.incarnation, self.state

    def as_update(self, name: str) -> GossipUpdate:
        """Return the report of this record."""
        return GossipUpdate(name, STATE_NAMES[self.state], self.incarnation, self.process_epoch)


UNKNOWN_MEMBER = MemberRecord(MemberState.ALIVE, 0, 0, 0.0)  # of which nothing was heard; counts as alive


class MemberRecords:
    """The records of the other members, as far as something was heard of them, and how their states changed."""

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
        """Return what is believed of a member."""
        return self._records.get(name, UNKNOWN_MEMBER)

    def get_or_add(self, now: float, name: str) -> MemberRecord:
        """Return the record of a member, added as alive where nothing was heard of it before."""
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = MemberRecord(MemberState.ALIVE, 0, 0, now)
        return record

    def discard(self, name: str) -> None:
        """Drop what is believed of a member."""
        self._records.pop(name, None)
        self.not_alive.discard(name)
        self.suspects.discard(name)

    def unavailable_count(self) -> int:
        """Return how many members are dead or have left."""
        return sum(self._records[name].state > MemberState.SUSPECT for name in self.not_alive)

    def change_state(self, now: float, name: str, state: MemberState, cause: str) -> None:
        """Set the state of a member that has a record."""
        record = self._records[name]
        came_back = state is MemberState.ALIVE and record.state in (MemberState.DEAD, MemberState.LEFT)
        record.state = state
        record.since = now
        if state is MemberState.DEAD:
            record.died_at = now
        if state is MemberState.ALIVE:
            self.not_alive.discard(name)
        else:
            self.not_alive.add(name)
        if state is MemberState.SUSPECT:
            self.suspects.add(name)
        else:
            self.suspects.discard(name)
        returned = came_back and now - record.died_at <= self._return_window_s
        self.add_change(StateChange(name, state, returned, cause))

    def add_change(self, change: StateChange) -> None:
        """Add a state change that ``take_changes`` will return."""
        self._changes.append(change)

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def extend_suspicions(self, pause_s: float) -> None:
        """Let all states other than alive have begun later by ``pause_s``."""
        for name in self.not_alive:
            self._records[name].since += pause_s
