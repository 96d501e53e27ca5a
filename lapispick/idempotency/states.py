"""The state machine of an idempotency key, in memory and on disk. No I/O, no clock.

    (no record) --INTEND--> INTENDED
    INTENDED --START--> STARTED --COMPLETE--> COMPLETED
    INTENDED --WITHDRAW--> RELEASED
    INTENDED, STARTED --LOSE--> OUTCOME_UNKNOWN --RESOLVE--> COMPLETED
    STARTED --FAIL--> FAILED
    STARTED --NOT_EXECUTED--> RELEASED

| state | event | next state |
| --- | --- | --- |
| ``INTENDED`` | ``START``: the command leaves for the executor | ``STARTED`` |
| ``INTENDED`` | ``WITHDRAW``: the command will never leave | ``RELEASED`` |
| ``INTENDED``, ``STARTED`` | ``LOSE``: the process ended before it could record the outcome | ``OUTCOME_UNKNOWN`` |
| ``STARTED`` | ``COMPLETE``: the execution ended with a result | ``COMPLETED`` |
| ``STARTED`` | ``FAIL``: the execution failed, or its outcome is unknown | ``FAILED`` |
| ``STARTED`` | ``NOT_EXECUTED``: the executor reports that it never ran the command | ``RELEASED`` |
| ``OUTCOME_UNKNOWN`` | ``RESOLVE``: the result became known later | ``COMPLETED`` |

A record ends with its idempotency window, in any state; then its key may be intended again.
"""

from __future__ import annotations

from enum import Enum, IntEnum


class KeyState(IntEnum):
    """What is known of a key. The numbers are stored and never change."""

    INTENDED = 1  # an attempt owns the key; no command has left
    STARTED = 2  # the command has left, so the execution may take effect at any moment
    COMPLETED = 3  # executed, and the result was known
    FAILED = 4  # executed or possibly executed, without a result
    OUTCOME_UNKNOWN = 5  # a process ended without recording the outcome
    RELEASED = 6  # certainly not executed, and the record is removed; never stored


class KeyEvent(IntEnum):
    """What happens to a key."""

    INTEND = 1
    START = 2
    WITHDRAW = 3
    COMPLETE = 4
    FAIL = 5
    NOT_EXECUTED = 6
    LOSE = 7
    RESOLVE = 8


class Verdict(Enum):
    """What happens to an attempt of a key."""

    RUN = "run"
    WAIT = "wait"  # decided later, once the other process has replied
    COALESCE = "coalesce"  # another attempt was or is being executed: wait for its result
    REPLAY = "replay"  # answer with the stored result
    REJECT = "reject"  # certainly not executed, and whether it may be cannot be decided in time
    FAIL = "fail"  # executed or possibly executed, and there is no result
    MISMATCH = "mismatch"  # the key belongs to another request


class KeyLifecycleError(Exception):
    """A step that no order of events allows: a fault of this program, never of a peer."""


class InvalidTransitionError(KeyLifecycleError):
    """An event that a key's state does not allow."""

    def __init__(self, state: KeyState, event: KeyEvent) -> None:
        super().__init__(f"event {event.name} is not allowed for a key in state {state.name}")
        self.state = state
        self.event = event


TRANSITIONS: dict[tuple[KeyState, KeyEvent], KeyState] = {
    (KeyState.INTENDED, KeyEvent.START): KeyState.STARTED,
    (KeyState.INTENDED, KeyEvent.WITHDRAW): KeyState.RELEASED,
    (KeyState.INTENDED, KeyEvent.LOSE): KeyState.OUTCOME_UNKNOWN,
    (KeyState.STARTED, KeyEvent.COMPLETE): KeyState.COMPLETED,
    (KeyState.STARTED, KeyEvent.FAIL): KeyState.FAILED,
    (KeyState.STARTED, KeyEvent.NOT_EXECUTED): KeyState.RELEASED,
    (KeyState.STARTED, KeyEvent.LOSE): KeyState.OUTCOME_UNKNOWN,
    (KeyState.OUTCOME_UNKNOWN, KeyEvent.RESOLVE): KeyState.COMPLETED,
}


def next_state(state: KeyState, event: KeyEvent) -> KeyState:
    """Return the state after an event; raises ``InvalidTransitionError``."""
    try:
        return TRANSITIONS[state, event]
    except KeyError:
        raise InvalidTransitionError(state, event) from None
