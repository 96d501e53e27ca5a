"""Contents of the inventory's ``status.json`` in the state folder; commands of other versions read it too."""

from __future__ import annotations

import msgspec

from lapispick.fleet.acceptance import Phase


class InventoryStatus(msgspec.Struct, frozen=True):
    """State of the candidate, and the list in force. The order and encoded names of the fields are fixed."""

    at: float  # Unix seconds
    phase: Phase
    reason: str = msgspec.field(name="ground")
    accepted_digest: str = msgspec.field(name="accepted")  # empty = no list has been accepted yet
    accepted_hosts: int = msgspec.field(name="boxes")
    candidate_digest: str = msgspec.field(name="candidate")
    faults: list[str]
