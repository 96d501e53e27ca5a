"""The state of one request on a server. This module only stores data; the decisions are made elsewhere."""

from __future__ import annotations

from enum import IntEnum

from lapispick.admission.events import RequestReceived


class RequestState(IntEnum):
    """Processing state of a request."""

    QUEUED = 0
    RUNNING = 1  # uses the cores or a disk
    CALLING = 2  # its downstream call is in flight
    WAITING_FOR_CALL = 3  # its downstream call has not started; it waits for capacity or for a retry delay
    PAUSED = 4  # does not use the cores; the work done is kept
    COALESCED = 5  # waits for the result of another attempt of the same request
    COMPLETED = 6


# Module-level names for the members: states are compared several times per event, and a global lookup is faster.
QUEUED = RequestState.QUEUED
RUNNING = RequestState.RUNNING
CALLING = RequestState.CALLING
WAITING_FOR_CALL = RequestState.WAITING_FOR_CALL
PAUSED = RequestState.PAUSED
COALESCED = RequestState.COALESCED
COMPLETED = RequestState.COMPLETED

NOT_QUEUED = -1  # queue number of a request that is in no queue


class TrackedRequest:
    """A request that this server has read. Attributes named ``*_at`` are clock times in ms."""

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
        "queue_number",
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
        self.blocked_ms = 0.0  # total time from requesting a downstream call until the run resumes
        self.call_ms = 0.0  # part of ``blocked_ms`` with a call in flight
        self.queue_number = NOT_QUEUED
        self.queued_work_ms = 0.0  # work added to the total of its queue; exactly this amount is subtracted again
        self.state = QUEUED
        self.call_attempts = 0
        self.answered = False
        self.pause_requested = False  # if true, the run time includes a pause and the estimates ignore it
