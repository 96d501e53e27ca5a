"""What ``status.json`` in the state folder says of the inventory; commands of other versions read it."""

from __future__ import annotations

import msgspec

from lapispick.fleet.acceptance import Phase


class InventoryStatus(msgspec.Struct, frozen=True):
    """Where the candidate stands and which list is in force. The order and encoded names of the fields are fixed."""

    at: float  # Unix seconds
    phase: Phase
    reason: str = msgspec.field(name="ground")
    accepted_digest: str = msgspec.field(name="accepted")  # empty: nothing was accepted so far
    accepted_hosts: int = msgspec.field(name="boxes")
    candidate_digest: str = msgspec.field(name="candidate")
    faults: list[str]
