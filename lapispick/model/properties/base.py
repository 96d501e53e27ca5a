"""What the modules of properties share."""

from __future__ import annotations

from collections.abc import Callable

from lapispick.members.member_state import MemberState
from lapispick.model.cluster import SimulatedCluster

Property = Callable[[int], None]

POLL_INTERVAL_S = 0.1  # of the owners of leases
LEASE = "job"
OWNER = "owner"


class PropertyError(AssertionError):
    """A property does not hold; says what was observed."""


def require(holds: bool, observed: str) -> None:
    """Raise ``PropertyError`` unless the condition holds."""
    if not holds:
        raise PropertyError(observed)


def require_agreement(cluster: SimulatedCluster, alive: set[str], absent: set[str]) -> None:
    """Raise ``PropertyError`` unless all live members believe each other alive, and the others dead or left."""
    for observer in sorted(alive):
        view = cluster.members[observer].view
        for name in sorted(alive | absent):
            expected = (MemberState.ALIVE,) if name in alive else (MemberState.DEAD, MemberState.LEFT)
            if name != observer and view.state_of(name) not in expected:
                raise PropertyError(f"{observer} believes {name} to be {view.state_of(name)!r} at {cluster.now:.0f}")
