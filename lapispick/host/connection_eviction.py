"""Decides which client connections are closed when descriptors run short. No I/O, no clock: times are in seconds.

A connection that owes an answer is never evicted. Nor is one with unread input in the kernel's buffer, for which the
caller checks before it closes one. The others go in the order of their ``EvictionClass``, and within a class the one
that has been inactive for longest goes first.

While descriptors suffice, no connection is closed for an incomplete message before ``MESSAGE_TIMEOUT_S``: some valid
requests take 2 s to arrive, and a misbehaving client has to be answered within 3 s of connecting.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from operator import itemgetter
from typing import NamedTuple, TypeVar

MESSAGE_TIMEOUT_S = 2.3  # from connecting to the end of the first message, or from the first byte of a later one
NEW_CONNECTION_S = 0.1  # what a connection sends so soon after it was accepted may not be read yet
# How long after its last bytes an incomplete message counts as being sent. Most clients that stop within a message do
# so after its first bytes.
FIRST_PART_TIMEOUT_S = 0.25
LATER_PART_TIMEOUT_S = 0.75
RECENTLY_SERVED_S = 0.3  # the next request of a busy gateway usually arrives within this time


class EvictionClass(IntEnum):
    """The classes of connections that may be evicted, in the order in which they go."""

    AT_FAULT = 1  # sent an invalid message, is being closed, or stopped reading its answers
    SILENT = 2  # never sent anything
    STOPPED = 3  # stopped within a message; a slow link still delivers a few bytes
    IDLE = 4  # was served; its gateway can open another connection for the cost of a handshake
    STARTED = 5  # has just started a message, though most are sent in one piece
    NEW = 6  # has just been accepted
    RECENTLY_SERVED = 7  # its next request may be on the way
    SENDING = 8  # continues to send a message


class ConnectionState(NamedTuple):
    """What is known of one connection; times are seconds of one clock."""

    accepted_at: float
    last_used_at: float  # when a complete message was last read or answered
    last_received_at: float  # when bytes last arrived
    receive_count: int  # how often bytes arrived
    message_started_at: float  # when its incomplete message started; 0 = it has none
    owes_answer: bool
    is_proven: bool  # it has sent a valid message
    is_at_fault: bool


# The place of a connection in the order of eviction, the lowest first: its class, and since when it is inactive.
EvictionRank = tuple[EvictionClass, float]
C = TypeVar("C")


def is_overdue(state: ConnectionState, now: float) -> bool:
    """Tell whether a client has taken too long to send a complete message."""
    if state.message_started_at:
        return now - state.message_started_at >= MESSAGE_TIMEOUT_S
    return not state.is_proven and now - state.accepted_at >= MESSAGE_TIMEOUT_S


def eviction_rank(state: ConnectionState, now: float) -> EvictionRank | None:
    """Return the place of a connection in the order of eviction; None where it must stay open."""
    if state.owes_answer:
        return None
    if state.is_at_fault:
        return EvictionClass.AT_FAULT, state.last_used_at
    if state.message_started_at:
        return _class_within_message(state, now), state.last_received_at
    if state.is_proven:
        is_recent = now - state.last_used_at < RECENTLY_SERVED_S
        return (EvictionClass.RECENTLY_SERVED if is_recent else EvictionClass.IDLE), state.last_used_at
    is_new = now - state.accepted_at < NEW_CONNECTION_S
    return (EvictionClass.NEW if is_new else EvictionClass.SILENT), state.accepted_at


def _class_within_message(state: ConnectionState, now: float) -> EvictionClass:
    has_continued = state.receive_count > 1
    timeout_s = LATER_PART_TIMEOUT_S if has_continued else FIRST_PART_TIMEOUT_S
    if now - state.last_received_at >= timeout_s:
        return EvictionClass.STOPPED
    return EvictionClass.SENDING if has_continued else EvictionClass.STARTED


def eviction_order(connections: Iterable[tuple[C, ConnectionState]], now: float) -> list[tuple[C, EvictionClass]]:
    """Return the connections that may be evicted, the first to go first, with their classes."""
    ranked = []
    for connection, state in connections:
        rank = eviction_rank(state, now)
        if rank is not None:
            ranked.append((rank, connection))
    ranked.sort(key=itemgetter(0))
    return [(connection, eviction_class) for (eviction_class, _), connection in ranked]


def may_still_be_evicted(eviction_class: EvictionClass, state: ConnectionState, now: float) -> bool:
    """Tell whether a connection may go and is in no later class than when the order was computed."""
    rank = eviction_rank(state, now)
    return rank is not None and rank[0] <= eviction_class
