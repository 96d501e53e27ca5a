"""The record of one request while a server has it. It holds what is known and decides nothing."""

from __future__ import annotations

from enum import IntEnum

from lapispick.admission.events import RequestReceived


class RequestState(IntEnum):
    """What is happening to a request."""

    QUEUED = 0
    RUNNING = 1  # on the cores or at a disk
    CALLING = 2  # its downstream call is in flight
    WAITING_FOR_CALL = 3  # for capacity; its call is not made yet
    PAUSED = 4  # taken off the cores; the work done is kept
    COALESCED = 5  # waits for the result of another attempt of the same request
    COMPLETED = 6


# The members as globals: states are compared by identity several times an event.
QUEUED = RequestState.QUEUED
RUNNING = RequestState.RUNNING
CALLING = RequestState.CALLING
WAITING_FOR_CALL = RequestState.WAITING_FOR_CALL
PAUSED = RequestState.PAUSED
COALESCED = RequestState.COALESCED
COMPLETED = RequestState.COMPLETED

NOT_QUEUED = -1  # the queue number of a request that is in no queue


class TrackedRequest:
    """One request that this server has read. Times called ``*_at`` are clock times in ms."""

    __slots__ = (
        "answered",
        "arrived_at",
        "blocked_ms",
        "call_attempts",
        "call_ms",
        "call_needed_at",
        "call_started_at",
        "caller",
        "class_index",
        "cost",
        "deadline_at",
        "id",
        "memory_kb",
        "objective_at",
        "pause_requested",
        "queue",
        "queued_work_ms",
        "state",
        "value",
    )

    def __init__(self, event: RequestReceived, now: float) -> None:
        self.id = event.id
        self.class_index = event.class_index
        self.caller = event.caller
        self.memory_kb = event.request_memory_kb
        self.cost = event.cost
        self.arrived_at = now - event.age_ms
        self.deadline_at = 0.0
        self.objective_at = 0.0
        self.value = 0.0
        self.call_needed_at = 0.0
        self.call_started_at = 0.0
        self.blocked_ms = 0.0  # from needing a call to going on
        self.call_ms = 0.0  # the part of it with a call in flight
        self.queue = NOT_QUEUED
        self.queued_work_ms = 0.0  # what it added to its queue's work, so that the same is taken off again
        self.state = QUEUED
        self.call_attempts = 0
        self.answered = False
        self.pause_requested = False  # its run time would include the pause, so it is not learned
