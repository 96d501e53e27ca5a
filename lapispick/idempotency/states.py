"""State machine of an idempotency key, used for the records in memory and on disk. No I/O, no clock.

    (no record) --INTEND--> INTENDED
    INTENDED --START--> STARTED --COMPLETE--> COMPLETED
    INTENDED --WITHDRAW--> RELEASED
    INTENDED, STARTED --LOSE_OUTCOME--> OUTCOME_UNKNOWN --RESOLVE--> COMPLETED
    STARTED --FAIL--> FAILED
    STARTED --NOT_EXECUTED--> RELEASED

| state | event | next state |
| --- | --- | --- |
| ``INTENDED`` | ``START``: the command is sent to the executor | ``STARTED`` |
| ``INTENDED`` | ``WITHDRAW``: the command will not be sent | ``RELEASED`` |
| ``INTENDED``, ``STARTED`` | ``LOSE_OUTCOME``: the process ended before recording the outcome | ``OUTCOME_UNKNOWN`` |
| ``STARTED`` | ``COMPLETE``: the execution ended with a result | ``COMPLETED`` |
| ``STARTED`` | ``FAIL``: the execution failed, or its outcome is unknown | ``FAILED`` |
| ``STARTED`` | ``NOT_EXECUTED``: the executor reports that it did not run the command | ``RELEASED`` |
| ``OUTCOME_UNKNOWN`` | ``RESOLVE``: the result became known later | ``COMPLETED`` |

Whatever its state, a record is valid until the end of its idempotency window. After that, another attempt may own the
key.
"""

from __future__ import annotations

from enum import Enum, IntEnum


class KeyState(IntEnum):
    """State of an idempotency key. The numbers are stored and must not change."""

    INTENDED = 1  # an attempt owns the key; no command was sent
    STARTED = 2  # the command was sent, so the execution may take effect at any moment
    COMPLETED = 3  # executed, and the result is or was known
    FAILED = 4  # executed or possibly executed, without a result
    OUTCOME_UNKNOWN = 5  # a process ended without recording the outcome
    RELEASED = 6  # not executed, and the record was removed; never stored


class KeyEvent(IntEnum):
    """Event that changes the state of an idempotency key."""

    INTEND = 1
    START = 2
    WITHDRAW = 3
    COMPLETE = 4
    FAIL = 5
    NOT_EXECUTED = 6
    LOSE_OUTCOME = 7
    RESOLVE = 8


class Verdict(Enum):
    """Decision on an attempt that has an idempotency key."""

    RUN = "run"
    WAIT = "wait"  # decided later, after a reply of the other process
    COALESCE = "coalesce"  # another attempt was or is being executed: wait for its result
    REPLAY = "replay"  # answer with the stored result
    REJECT = "reject"  # not executed, because permission to execute it did not arrive in time
    FAIL = "fail"  # executed or possibly executed, and there is no result
    MISMATCH = "mismatch"  # the key was used for a different request


class KeyLifecycleError(Exception):
    """State change that no order of events allows: a bug in this program, never a fault of a peer."""


class InvalidTransitionError(KeyLifecycleError):
    """Event that the state of a key does not allow."""

    def __init__(self, state: KeyState, event: KeyEvent) -> None:
        super().__init__(f"event {event.name} is not allowed for a key in state {state.name}")
        self.state = state
        self.event = event


TRANSITIONS: dict[tuple[KeyState, KeyEvent], KeyState] = {
    (KeyState.INTENDED, KeyEvent.START): KeyState.STARTED,
    (KeyState.INTENDED, KeyEvent.WITHDRAW): KeyState.RELEASED,
    (KeyState.INTENDED, KeyEvent.LOSE_OUTCOME): KeyState.OUTCOME_UNKNOWN,
    (KeyState.STARTED, KeyEvent.COMPLETE): KeyState.COMPLETED,
    (KeyState.STARTED, KeyEvent.FAIL): KeyState.FAILED,
    (KeyState.STARTED, KeyEvent.NOT_EXECUTED): KeyState.RELEASED,
    (KeyState.STARTED, KeyEvent.LOSE_OUTCOME): KeyState.OUTCOME_UNKNOWN,
    (KeyState.OUTCOME_UNKNOWN, KeyEvent.RESOLVE): KeyState.COMPLETED,
}


def next_state(state: KeyState, event: KeyEvent) -> KeyState:
    """Return the state that follows an event; raises ``InvalidTransitionError`` if the event is not allowed."""
    try:
        return TRANSITIONS[state, event]
    except KeyError:
        raise InvalidTransitionError(state, event) from None
