"""Divides the file descriptors of a worker host between its two processes during an upgrade. No I/O, no clock.

Each process knows how many connections the other had some ten milliseconds ago. A quarter of the connections is
reserved for each process, so that neither is starved. Apart from that, both together stay within the limit of one
process; they may exceed it by the connections that both accept between two reports.
"""

from __future__ import annotations

RESERVED_CONNECTIONS_FRACTION = 0.25
CALLS_FRACTION = 0.5  # the decision module keeps the calls of both processes together far below the limit


def max_connections(limit: int, peer_connections: int | None) -> int:
    """Return how many client connections this process may hold; ``peer_connections`` is None without a peer."""
    if peer_connections is None:
        return limit
    reserved = int(limit * RESERVED_CONNECTIONS_FRACTION)
    return max(reserved, min(limit - reserved, limit - peer_connections))


def max_calls(limit: int, shared: bool) -> int:
    """Return how many connections to the store this process may hold; ``shared`` is True while there is a peer."""
    if not shared:
        return limit
    return max(1, int(limit * CALLS_FRACTION))
