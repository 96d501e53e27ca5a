"""How two processes of one worker host divide its descriptors. No I/O and no clock.

Each knows what the other had some ten milliseconds ago. A quarter stays free for either, so that neither is shut out;
for the rest the sum of both stays within what one process may use.
"""

from __future__ import annotations

LEAST_PART = 0.25  # of the connections; what the other process may always open
CALLS_PART = 0.5  # of the calls at once; the module keeps both together to far less


def connections(most: int, others: int | None) -> int:
    """Return how many clients' connections this process may hold; ``others``: the other's, None = there is none."""
    if others is None:
        return most
    least = int(most * LEAST_PART)
    return max(least, min(most - least, most - others))


def calls(most: int, shared: bool) -> int:
    """Return how many connections for calls this process may hold."""
    return max(1, int(most * CALLS_PART)) if shared else most
