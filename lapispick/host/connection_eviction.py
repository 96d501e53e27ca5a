"""Whom a crowd costs its connection. No I/O and no clock: all times are seconds of one clock, told by the caller.

A connection with an open request is never closed for room, nor one whose bytes wait unread in the system; the front
looks before it closes. Of the others the least loss goes first, the longest quiet of each kind:

1. a peer that was at fault, has had our last word, or stopped reading its answers;
2. one that never said a thing: a true request is begun at once;
3. one that stopped in the middle of a message: a slow link still brings a few bytes, who never ends brings none;
4. one that was served and is idle: its gateway opens another at the price of a handshake;
5. one that has just begun a message, but did not send it whole at once as most do;
6. one that has just connected, where a flood leaves no other;
7. one that was served just now and may have its next request on the way;
8. one that goes on with its message.

Where there is room, nobody is closed before ``FIRST_S``: some true requests take 2 s to write, and bad clients are owed
a word within 3 s of connecting.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, TypeVar

FIRST_S = 2.3  # s; from connecting to the end of a first message, or from the first byte of a later one to its end
YOUNG_S = 0.1  # s; what a connection this new sends may not be read yet
# s; a message whose last bytes came since is still being written: after its first bytes, and after some more, which
# most of those who mean to stop in the middle never send
QUIET_S = (0.25, 0.75)
JUST_S = 0.3  # s; who was served since may send more at once; at 190 a second these stay a small part of the room


class Standing(NamedTuple):
    """What is known of one connection."""

    since: float  # when it was accepted
    used_at: float  # when a whole message of it was read or answered last
    heard_at: float  # when it brought bytes last
    pieces: int  # how often it has brought some
    begun_at: float  # when the message began that it is in the middle of; 0 = it is in none
    open: bool  # an answer is owed on it
    served: bool  # it has brought a message that could be used
    at_fault: bool


C = TypeVar("C")


def overdue(c: Standing, now: float) -> bool:
    """Tell whether a peer has taken too long to bring a whole message."""
    if c.begun_at:
        return now - c.begun_at >= FIRST_S
    return not c.served and now - c.since >= FIRST_S


def rank(c: Standing, now: float) -> tuple[int, float] | None:
    """Return a connection's place in the order in which they go, lowest first; None where it stays."""
    if c.open:
        return None
    if c.at_fault:
        return 1, c.used_at
    if c.begun_at:
        going_on = c.pieces > 1
        writing = now - c.heard_at < QUIET_S[going_on]
        return (3 if not writing else 8 if going_on else 5), c.heard_at
    if c.served:
        return (7 if now - c.used_at < JUST_S else 4), c.used_at
    return (6 if now - c.since < YOUNG_S else 2), c.since


def order(connections: Iterable[tuple[C, Standing]], now: float) -> list[tuple[C, int]]:
    """Return those that may go with their kind, whom it costs least first; who writes a message goes last of all."""
    ranked = [
        (place, at, c) for at, (c, standing) in enumerate(connections) if (place := rank(standing, now)) is not None
    ]
    return [(c, place[0]) for place, _, c in sorted(ranked, key=lambda r: r[:2])]


def still(kind: int, c: Standing, now: float) -> bool:
    """Tell whether a connection may go at no more cost than when it was put in order."""
    place = rank(c, now)
    return place is not None and place[0] <= kind
