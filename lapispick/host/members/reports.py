"""Reports to operators on members and leases, as JSON. Programs read them, so the JSON names must not change."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lapispick.members.messages import Fact


class LoggedChange(NamedTuple):
    """Change of a member's state. ``time`` is Unix time in seconds."""

    time: float
    state: str
    reason: str


class MemberInfo(msgspec.Struct):
    """Member as shown to operators."""

    name: str
    state: str
    incarnation: int
    process_epoch: int = msgspec.field(name="life")
    address: str = msgspec.field(name="at")


class ViewInfo(msgspec.Struct):
    """Membership view as shown to operators."""

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
    """Lease as shown to operators: requested by an owner on this host, or granted with this host's vote."""

    slot: str
    owner: str
    fencing_token: int = msgspec.field(name="fence")
    remaining_s: float = msgspec.field(name="left")
    granted_to: str = ""
    waiting: list[str] = []


class ChangesInfo(msgspec.Struct):
    """Last changes of a member's state, oldest first."""

    name: str
    state: str
    changes: list[LoggedChange]
