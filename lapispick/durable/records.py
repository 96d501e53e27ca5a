"""Idempotency records that survive a restart: verdicts, transitions and recovery. No I/O, no clock.

Records follow the state machine of ``lapispick/idempotency/states.py``. The intent is on disk before the command
leaves for the executor, and the result before the answer leaves. So after a restart no execution is unknown, and no
answer that was sent is forgotten. Times are Unix ms.
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
    """What is stored of one key."""

    state: KeyState
    incarnation: int  # of the host, in which this was written
    created_at_ms: float  # of the attempt that is executed
    expires_at_ms: float  # end of the window, which counts from ``created_at_ms``
    request_digest: bytes
    result: bytes | None = None  # None: not known, or evicted


class IncarnationError(KeyLifecycleError):
    """An unfinished record was written by the incarnation that recovers, or a later one."""

    def __init__(self, recorded: int, recovering: int) -> None:
        super().__init__(f"a record of incarnation {recorded} was found by incarnation {recovering}")
        self.recorded = recorded
        self.recovering = recovering


def decide(record: DurableRecord | None, request_digest: bytes, now_ms: float) -> Verdict:
    """Return the verdict for an attempt that arrives now: any but ``WAIT`` and ``REJECT``."""
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
    created_at_ms: float,
    window_ms: float,
    now_ms: float,
) -> DurableRecord:
    """Return the record to be stored before the command leaves, where the verdict was ``RUN``.

    A ``created_at_ms`` in the future counts as now: a client's clock that is an hour ahead would otherwise hold the key
    for an hour. Raises ``InvalidTransitionError`` where there is a record whose window has not ended.
    """
    if record is not None and now_ms < record.expires_at_ms:
        raise InvalidTransitionError(record.state, KeyEvent.INTEND)
    created_at_ms = min(created_at_ms, now_ms)
    return DurableRecord(KeyState.INTENDED, incarnation, created_at_ms, created_at_ms + window_ms, request_digest)


def start(record: DurableRecord) -> DurableRecord:
    """Return the record once its command leaves; it need not be stored, as recovery treats both states alike."""
    return _after(record, KeyEvent.START)


def withdraw(record: DurableRecord) -> None:
    """Check that a record may be deleted because its command will never leave."""
    next_state(record.state, KeyEvent.WITHDRAW)


def complete(record: DurableRecord, result: bytes) -> DurableRecord:
    """Return the record with its result, to be stored before the answer leaves."""
    return msgspec.structs.replace(_after(record, KeyEvent.COMPLETE), result=result)


def fail(record: DurableRecord) -> DurableRecord:
    """Return the record of an execution that failed or whose outcome is unknown."""
    return _after(record, KeyEvent.FAIL)


def resolve(record: DurableRecord, result: bytes) -> DurableRecord:
    """Return a record of unknown outcome whose result became known."""
    return msgspec.structs.replace(_after(record, KeyEvent.RESOLVE), result=result)


def recover(record: DurableRecord, incarnation: int, now_ms: float) -> DurableRecord | None:
    """Return what a new incarnation makes of a stored record; None where its window has ended.

    A stored intent may have been sent, so its outcome is unknown. The result may still become known from a notice that
    was not read; until then its attempts fail. Raises ``IncarnationError`` for an unfinished record of this incarnation
    or a later one.
    """
    if now_ms >= record.expires_at_ms:
        return None
    if record.state not in (KeyState.INTENDED, KeyState.STARTED):
        return record
    if record.incarnation >= incarnation:
        raise IncarnationError(record.incarnation, incarnation)
    return _after(record, KeyEvent.LOSE_OUTCOME)


def _after(record: DurableRecord, event: KeyEvent) -> DurableRecord:
    return msgspec.structs.replace(record, state=next_state(record.state, event))
