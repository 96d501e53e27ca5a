"""Types, constants and assertions that the modules of properties share."""

from __future__ import annotations

from collections.abc import Callable

from lapispick.members.member_state import MemberState
from lapispick.model.cluster import SimulatedCluster

Property = Callable[[int], None]

POLL_INTERVAL_S = 0.1  # time between two requests of a lease owner
LEASE = "job"
OWNER = "owner"


class PropertyError(AssertionError):
    """Violation of a property; the message describes the observed behaviour."""


def require(condition: bool, observed: str) -> None:
    """Raise ``PropertyError`` unless the condition is true."""
    if not condition:
        raise PropertyError(observed)


def require_agreement(cluster: SimulatedCluster, live: set[str], absent: set[str]) -> None:
    """Raise ``PropertyError`` unless each live member sees the other live ones as alive, the absent as dead or left."""
    for observer in sorted(live):
        view = cluster.members[observer].view
        for name in sorted(live | absent):
            expected = (MemberState.ALIVE,) if name in live else (MemberState.DEAD, MemberState.LEFT)
            if name != observer and view.state_of(name) not in expected:
                states = " or ".join(state.name for state in expected)
                raise PropertyError(
                    f"{observer} sees {name} as {view.state_of(name)!r} at {cluster.now:.0f} s, expected {states}"
                )
