"""The reports to operators on members and leases, as JSON. The names in the JSON are fixed; programs read them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lapispick.members.messages import Fact


class LoggedChange(NamedTuple):
    """A member's change of state: Unix time, state and reason."""

    time: float
    state: str
    reason: str


class MemberInfo(msgspec.Struct):
    """A member as operators see it."""

    name: str
    state: str
    incarnation: int
    process_epoch: int = msgspec.field(name="life")
    address: str = msgspec.field(name="at")


class ViewInfo(msgspec.Struct):
    """The membership view as operators see it."""

    name: str
    process_epoch: int = msgspec.field(name="life")
    incarnation: int
    health_score: int = msgspec.field(name="health")
    configuration_digest: str = msgspec.field(name="list")
    size: int
    live_count: int = msgspec.field(name="seen")
    has_quorum: bool = msgspec.field(name="majority")
    replaced: bool
    members: list[MemberInfo]
    facts: list[Fact]
    rejected: dict[str, int] = msgspec.field(name="dropped")
    sent: int
    received: int


class LeaseInfo(msgspec.Struct):
    """A lease as operators see it: one that an owner here requested, or one that this host's vote was given to."""

    slot: str
    owner: str
    fencing_token: int = msgspec.field(name="fence")
    remaining_s: float = msgspec.field(name="left")
    granted_to: str = ""
    waiting: list[str] = []


class ChangesInfo(msgspec.Struct):
    """The last changes of a member's state, oldest first."""

    name: str
    state: str
    changes: list[LoggedChange]
