"""The states of members and the records that are kept of them. No I/O."""

from __future__ import annotations

import enum
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
        """Return what orders reports: the higher one supersedes the lower."""
        return self.process_epoch, self.incarnation, self.state

    def as_update(self, name: str) -> GossipUpdate:
        """Return the report of this record."""
        return GossipUpdate(name, STATE_NAMES[self.state], self.incarnation, self.process_epoch)


UNKNOWN_MEMBER = MemberRecord(MemberState.ALIVE, 0, 0, 0.0)  # of which nothing was heard; counts as alive
