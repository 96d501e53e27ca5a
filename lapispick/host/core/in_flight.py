"""What the core knows of a request while this host has it, as a state machine.

| state | meaning |
| --- | --- |
| QUEUED | the decision module has queued it |
| CLAIMING | its idempotency key waits for the decision which process may run it |
| COALESCED | it waits for the result of an earlier attempt |
| RUNNING | the executor has it |
| PAUSING | a pause was requested from the executor; it may end or request a call before that |
| PAUSED | the executor has suspended it until it is resumed |
| ENDED | it ended, or will never be started here |

| from | event | to |
| --- | --- | --- |
| QUEUED, CLAIMING | the module starts it and its key may run here | RUNNING |
| QUEUED | the module starts it and its key needs the other process's decision | CLAIMING |
| CLAIMING | another attempt runs or has run | COALESCED |
| QUEUED | the module coalesces it | COALESCED |
| QUEUED, CLAIMING | its key may not run and no attempt has a result | ENDED |
| RUNNING | the module cancels it while an answer is owed, and runs are cancelled by pausing | PAUSING |
| PAUSING | the module cancels it again, for nobody waits any more; or it requests a call | RUNNING |
| PAUSING | the executor reports it cancelled, and an answer is owed | PAUSED |
| PAUSED | the module starts it again | RUNNING |
| RUNNING, PAUSING, PAUSED | the executor reports its end, or it is given up as lost | ENDED |

Whether its final answer was given is independent of the state: a run may go on for later attempts, and a cancelled one
until the executor reports its end. An event that the table does not name for a state changes nothing.
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
    """Where a request is; see the table of this module."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    COALESCED = "coalesced"
    RUNNING = "running"
    PAUSING = "pausing"
    PAUSED = "paused"
    ENDED = "ended"


IN_EXECUTOR = (RunState.RUNNING, RunState.PAUSING, RunState.PAUSED)
AWAITING_END = (*IN_EXECUTOR, RunState.CLAIMING)  # the core waits for a report, even after the final answer


class InFlightRequest(msgspec.Struct, eq=False):
    """A request while this host has it."""

    id: int  # at the decision module
    request: Request
    record: IdempotencyRecord | None = None  # of its idempotency key, which it owns or repeats
    state: RunState = RunState.QUEUED
    answered: bool = False  # no answer is owed any more
    answered_at: float = 0.0  # Unix ms
    outcome_unknown: bool = False  # its start or the report of its end may be lost
    start_withheld: bool = False  # the module started it, and the executor was never notified
    call_notice: int = 0  # the executor's notice that requested its call
    call_body: str = ""
    store_call: StoreCall | None = None  # the call under way

    @property
    def in_executor(self) -> bool:
        """Tell whether the executor has it."""
        return self.state in IN_EXECUTOR

    @property
    def awaits_end(self) -> bool:
        """Tell whether a report is awaited that ends it."""
        return self.state in AWAITING_END

    def cancel_ordered(self, pause: bool) -> None:
        """Note that a cancellation or a pause was requested from the executor."""
        if self.state is not RunState.PAUSED:
            self.state = RunState.PAUSING if pause else RunState.RUNNING

    def call_requested(self, notice_index: int, body: str) -> None:
        """Note the call that the run waits for; what requests one is not paused."""
        self.call_notice = notice_index
        self.call_body = body
        if self.state is RunState.PAUSING:
            self.state = RunState.RUNNING

    def withhold_start(self, state: RunState) -> None:
        """Note that it is not started though the module ordered so."""
        self.start_withheld = True
        self.state = state
