"""The record of one request while a server has it. It holds what is known and decides nothing."""

from __future__ import annotations

from lapispick.admission import RequestReceived

HELD, RUNNING, CALLING, WANTS_CALL, PAUSED, JOINED, OVER = range(7)


class Entry:
    """One request that this server has read."""

    __slots__ = (
        "aim_at",
        "answered",
        "arrived",
        "call_ms",
        "caller",
        "cls",
        "cost",
        "deadline_at",
        "id",
        "in_call_ms",
        "kb",
        "needed",
        "queue",
        "queued_ms",
        "rank",
        "since",
        "state",
        "thinned",
        "tries",
        "worth",
    )

    def __init__(self, e: RequestReceived, now: float) -> None:
        self.id, self.cls, self.caller = e.id, e.cls, e.caller
        self.kb, self.cost, self.rank, self.arrived = e.request_memory_kb, e.cost, e.rank, now - e.age_ms
        self.deadline_at = self.aim_at = self.worth = 0.0
        self.since = self.needed = self.call_ms = self.in_call_ms = 0.0  # since: its last call was made
        self.queue, self.queued_ms = -1, 0.0  # what it adds to its queue's work, so that the sum stays exact
        self.state, self.tries, self.answered = HELD, 0, False
        self.thinned = False  # it was paused, or told to, so that the cores are less crowded
