"""Durable idempotency records: verdicts, transitions and recovery after a restart. No I/O, no clock.

Records follow the state machine of ``lapispick/idempotency/states.py``. The intent is on disk before the command is
sent to the executor, and the result before the answer is sent. So after a restart there is a record of each execution,
and of each answer that was sent. Times are Unix ms.
"""

from __future__ import annotations

import msgspec

from lapispick.idempotency.states import (
    InvalidTransitionError,
    KeyEvent,
    KeyLifecycleError,
    KeyState,
    Verdict,
    next_state,
)


class DurableRecord(msgspec.Struct, frozen=True):
    """Stored record of one key."""

    state: KeyState
    incarnation: int  # of the host that wrote the record
    created_at_ms: float  # when the executed attempt reached the machine
    expires_at_ms: float  # end of the idempotency window, which starts at ``created_at_ms``
    request_digest: bytes
    result: bytes | None = None  # None if unknown or evicted


class IncarnationError(KeyLifecycleError):
    """An unfinished record was written by the incarnation that recovers it, or by a later one."""

    def __init__(self, recorded: int, recovering: int) -> None:
        super().__init__(f"unfinished record of incarnation {recorded}, expected one before {recovering}")
        self.recorded = recorded
        self.recovering = recovering


def decide(record: DurableRecord | None, request_digest: bytes, now_ms: float) -> Verdict:
    """Return the verdict for an attempt that arrives now; never ``WAIT`` or ``REJECT``."""
    if record is None or now_ms >= record.expires_at_ms:
        return Verdict.RUN
    if request_digest != record.request_digest:
        return Verdict.MISMATCH
    if record.state in (KeyState.INTENDED, KeyState.STARTED):
        return Verdict.COALESCE
    if record.state is KeyState.COMPLETED and record.result is not None:
        return Verdict.REPLAY
    return Verdict.FAIL


def intend(
    record: DurableRecord | None,
    incarnation: int,
    request_digest: bytes,
    arrived_at_ms: float,
    window_ms: float,
    now_ms: float,
) -> DurableRecord:
    """Return the record to store before the command of an attempt with the verdict ``RUN`` is sent.

    The window counts from ``arrived_at_ms``, when the attempt reached the machine, and not from an earlier time at
    which its client created it. A time in the future counts as now. Otherwise a client whose clock is an hour ahead
    would block the key for an additional hour. Raises ``InvalidTransitionError`` if the window of an existing
    record has not ended.
    """
    if record is not None and now_ms < record.expires_at_ms:
        raise InvalidTransitionError(record.state, KeyEvent.INTEND)
    arrived_at_ms = min(arrived_at_ms, now_ms)
    return DurableRecord(KeyState.INTENDED, incarnation, arrived_at_ms, arrived_at_ms + window_ms, request_digest)


def start(record: DurableRecord) -> DurableRecord:
    """Return the record after its command is sent. It need not be stored, as recovery treats both states alike."""
    return _apply_event(record, KeyEvent.START)


def withdraw(record: DurableRecord) -> None:
    """Check that a record may be deleted because its command will never be sent."""
    next_state(record.state, KeyEvent.WITHDRAW)


def complete(record: DurableRecord, result: bytes) -> DurableRecord:
    """Return the record with its result, to be stored before the answer is sent."""
    return msgspec.structs.replace(_apply_event(record, KeyEvent.COMPLETE), result=result)


def fail(record: DurableRecord) -> DurableRecord:
    """Return the record of an execution that failed or whose outcome is unknown."""
    return _apply_event(record, KeyEvent.FAIL)


def resolve(record: DurableRecord, result: bytes) -> DurableRecord:
    """Return a record of unknown outcome with its result, which became known later."""
    return msgspec.structs.replace(_apply_event(record, KeyEvent.RESOLVE), result=result)


def recover(record: DurableRecord, incarnation: int, now_ms: float) -> DurableRecord | None:
    """Return a stored record as a new incarnation of the host must treat it; None if its window has ended.

    The command of a stored intent may have been sent, so its outcome is unknown. A notice that was not read yet may
    still bring the result; until then attempts with this key fail. Raises ``IncarnationError`` for an unfinished record
    of this incarnation or a later one.
    """
    if now_ms >= record.expires_at_ms:
        return None
    if record.state not in (KeyState.INTENDED, KeyState.STARTED):
        return record
    if record.incarnation >= incarnation:
        raise IncarnationError(record.incarnation, incarnation)
    return _apply_event(record, KeyEvent.LOSE_OUTCOME)


def _apply_event(record: DurableRecord, event: KeyEvent) -> DurableRecord:
    return msgspec.structs.replace(record, state=next_state(record.state, event))
