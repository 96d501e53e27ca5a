"""The state machine of a request in flight on this host.

| state | meaning |
| --- | --- |
| QUEUED | the decision module has queued the request |
| CLAIMING | it waits for the decision on which process may run its idempotency key |
| COALESCED | it waits for the result of an earlier attempt |
| RUNNING | its run was started at the executor |
| PAUSING | a pause was requested from the executor; the run may end or request a call before it pauses |
| PAUSED | the executor has suspended the run until it is resumed |
| ENDED | its run ended, or will never be started in this process |

| from | event | to |
| --- | --- | --- |
| QUEUED, CLAIMING | the decision module starts it and its key may run in this process | RUNNING |
| QUEUED | the decision module starts it and the other process must decide on its key | CLAIMING |
| CLAIMING | another attempt runs or has run | COALESCED |
| QUEUED | the decision module coalesces it | COALESCED |
| QUEUED, CLAIMING | its key may not run and no attempt has a result | ENDED |
| RUNNING | the decision module cancels it while it is unanswered, and the cancel mode is to pause | PAUSING |
| PAUSING | the decision module cancels it again after it was answered, or the run requests a call | RUNNING |
| PAUSING | the executor reports the run as cancelled while the request is unanswered | PAUSED |
| PAUSED | the decision module starts it again | RUNNING |
| RUNNING, PAUSING, PAUSED | the executor reports the end of the run, or the run is considered lost | ENDED |

A request counts as answered once its final answer was sent or its client cancelled it. This is independent of the
state: the run of an answered request may continue for later attempts, and a cancelled run continues until the executor
reports its end. An event that the table does not list for a state changes nothing.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from lapispick.host.requests import Request
from lapispick.idempotency.table import IdempotencyRecord

if TYPE_CHECKING:
    from lapispick.host.store import StoreCall


class RunState(Enum):
    """State of a request in flight; the docstring of this module explains the states."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    COALESCED = "coalesced"
    RUNNING = "running"
    PAUSING = "pausing"
    PAUSED = "paused"
    ENDED = "ended"


IN_EXECUTOR_STATES = (RunState.RUNNING, RunState.PAUSING, RunState.PAUSED)
AWAITING_END_STATES = (*IN_EXECUTOR_STATES, RunState.CLAIMING)  # the core awaits a report, even after the final answer


class InFlightRequest(msgspec.Struct, eq=False):
    """A request in flight on this host."""

    id: int  # number of the request in the decision module's events and actions
    request: Request
    record: IdempotencyRecord | None = None  # of its idempotency key, which this attempt owns or repeats
    state: RunState = RunState.QUEUED
    answered: bool = False  # its final answer was sent, or its client cancelled it
    answered_at: float = 0.0  # Unix ms
    outcome_unknown: bool = False  # the command to start it or the report of its end may be lost
    start_withheld: bool = False  # the decision module started it, but the executor got no command
    call_notice_index: int = 0  # index of the executor's notice that requested its call
    call_body: str = ""
    store_call: StoreCall | None = None  # the call that its run waits for

    @property
    def in_executor(self) -> bool:
        """Return True if its run was started at the executor and has not ended."""
        return self.state in IN_EXECUTOR_STATES

    @property
    def awaits_end(self) -> bool:
        """Return True if a report that may end it is awaited."""
        return self.state in AWAITING_END_STATES

    def cancel_requested(self, pause: bool) -> None:
        """Record that a cancellation or a pause was requested from the executor."""
        if self.state is not RunState.PAUSED:
            self.state = RunState.PAUSING if pause else RunState.RUNNING

    def call_requested(self, notice_index: int, body: str) -> None:
        """Record the call that the run waits for; a run that requests a call is not paused."""
        self.call_notice_index = notice_index
        self.call_body = body
        if self.state is RunState.PAUSING:
            self.state = RunState.RUNNING

    def withhold_start(self, state: RunState) -> None:
        """Record that it is not started although the decision module started it."""
        self.start_withheld = True
        self.state = state
