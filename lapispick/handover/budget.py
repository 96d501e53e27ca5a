"""Divides the file descriptors of a worker host between its two processes during an upgrade. No I/O, no clock.

Each process knows what the other used some ten milliseconds ago. A quarter of the connections is reserved for each, so
that neither is starved; beyond that both together stay within what one process may use, but for what both accept
between two reports.
"""

from __future__ import annotations

RESERVED_CONNECTIONS_FRACTION = 0.25
CALLS_FRACTION = 0.5  # the decision module keeps the calls of both together far below the bound


def max_connections(limit: int, peer_connections: int | None) -> int:
    """Return how many clients' connections this process may hold; ``peer_connections`` is None without a peer."""
    if peer_connections is None:
        return limit
    reserved = int(limit * RESERVED_CONNECTIONS_FRACTION)
    return max(reserved, min(limit - reserved, limit - peer_connections))


def max_calls(limit: int, shared: bool) -> int:
    """Return how many connections for calls this process may hold."""
    if not shared:
        return limit
    return max(1, int(limit * CALLS_FRACTION))
