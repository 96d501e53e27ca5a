"""Order in which client connections are closed when descriptors run short.

This module does no I/O and reads no clock; callers pass times in seconds.

A connection with a pending answer is never evicted. A connection with unread input in the kernel's buffer is not
evicted either: the caller checks for such input before it closes a connection. Other connections are evicted in the
order of their ``EvictionClass``, and within a class the longest inactive connection is evicted first.

While descriptors suffice, no connection is closed for an incomplete message before ``MESSAGE_TIMEOUT_S``: some valid
requests take 2 s to arrive, and a misbehaving client has to be answered within 3 s of connecting.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from operator import itemgetter
from typing import NamedTuple, TypeVar

MESSAGE_TIMEOUT_S = 2.3  # from connecting to the end of the first message, or from first to last byte of a later one
NEW_CONNECTION_S = 0.1  # the first input of a connection may still be unread this long after it was accepted
# An incomplete message counts as still being sent for this long after its last received bytes. The timeout is shorter
# after the first part, because most clients that stop within a message stop after its first bytes.
FIRST_PART_TIMEOUT_S = 0.25
LATER_PART_TIMEOUT_S = 0.75
RECENTLY_SERVED_S = 0.3  # the next request of a busy gateway usually arrives within this time


class EvictionClass(IntEnum):
    """Classes of connections that may be evicted, in the order of eviction."""

    AT_FAULT = 1  # sent an invalid message, is being closed, or stopped reading its answers
    SILENT = 2  # never sent anything
    STOPPED = 3  # stopped within a message; even a slow link would have delivered a few more bytes
    IDLE = 4  # was served and is inactive; its gateway can reconnect at the cost of a handshake
    STARTED = 5  # has just sent the first part of a message, although most messages arrive in one part
    NEW = 6  # was accepted within ``NEW_CONNECTION_S``
    RECENTLY_SERVED = 7  # its next request may be in transit
    SENDING = 8  # is still sending a message, in several parts


class ConnectionState(NamedTuple):
    """State of one connection that decides on its eviction; all times are in seconds on the same clock."""

    accepted_at: float
    last_used_at: float  # when a complete message was last read or answered
    last_received_at: float  # when bytes last arrived
    receive_count: int  # how often bytes arrived
    message_started_at: float  # when its incomplete message started; 0 = there is none
    has_pending_answer: bool
    has_sent_valid_message: bool
    is_at_fault: bool  # see ``EvictionClass.AT_FAULT``


# Sort key of a connection in the order of eviction: its class, and the time of its last activity.
EvictionRank = tuple[EvictionClass, float]
ConnectionT = TypeVar("ConnectionT")


def is_overdue(state: ConnectionState, now: float) -> bool:
    """Return True if a client has taken too long to send a complete message."""
    if state.message_started_at:
        return now - state.message_started_at >= MESSAGE_TIMEOUT_S
    return not state.has_sent_valid_message and now - state.accepted_at >= MESSAGE_TIMEOUT_S


def eviction_rank(state: ConnectionState, now: float) -> EvictionRank | None:
    """Return the sort key of a connection in the order of eviction; None if it must stay open."""
    if state.has_pending_answer:
        return None
    if state.is_at_fault:
        return EvictionClass.AT_FAULT, state.last_used_at
    if state.message_started_at:
        return _incomplete_message_class(state, now), state.last_received_at
    if state.has_sent_valid_message:
        is_recent = now - state.last_used_at < RECENTLY_SERVED_S
        return (EvictionClass.RECENTLY_SERVED if is_recent else EvictionClass.IDLE), state.last_used_at
    is_new = now - state.accepted_at < NEW_CONNECTION_S
    return (EvictionClass.NEW if is_new else EvictionClass.SILENT), state.accepted_at


def _incomplete_message_class(state: ConnectionState, now: float) -> EvictionClass:
    has_continued = state.receive_count > 1
    timeout_s = LATER_PART_TIMEOUT_S if has_continued else FIRST_PART_TIMEOUT_S
    if now - state.last_received_at >= timeout_s:
        return EvictionClass.STOPPED
    return EvictionClass.SENDING if has_continued else EvictionClass.STARTED


def eviction_order(
    connections: Iterable[tuple[ConnectionT, ConnectionState]], now: float
) -> list[tuple[ConnectionT, EvictionClass]]:
    """Return the connections that may be evicted, with their classes, in the order of eviction."""
    ranked = []
    for connection, state in connections:
        rank = eviction_rank(state, now)
        if rank is not None:
            ranked.append((rank, connection))
    ranked.sort(key=itemgetter(0))
    return [(connection, eviction_class) for (eviction_class, _), connection in ranked]


def may_still_be_evicted(eviction_class: EvictionClass, state: ConnectionState, now: float) -> bool:
    """Return True if a connection may be evicted and is in the given class or an earlier one."""
    rank = eviction_rank(state, now)
    return rank is not None and rank[0] <= eviction_class
