"""Idempotency records of the keys seen within the window: the owner attempt, and whether the key was executed."""

from __future__ import annotations

from collections import deque


class IdempotencyRecord:
    """State of one idempotency key, shared by all attempts that carry the key."""

    __slots__ = ("executed", "owner_id")

    def __init__(self, owner_id: int) -> None:
        self.owner_id = owner_id  # id of the attempt that may run for this key
        self.executed = False


class IdempotencyTable:
    """Idempotency records by attempt id, kept for the idempotency window of the class."""

    __slots__ = ("_by_attempt", "_expiry", "retained_count")

    def __init__(self) -> None:
        self._by_attempt: dict[int, IdempotencyRecord] = {}
        self._expiry: deque[tuple[float, int]] = deque()  # expiry time and attempt id
        self.retained_count = 0  # number of keys that take memory

    def get(self, attempt_id: int) -> IdempotencyRecord | None:
        """Return the record of an attempt's key, or None if there is none."""
        return self._by_attempt.get(attempt_id)

    def retain(self, attempt_id: int, until: float, record: IdempotencyRecord | None) -> None:
        """Make an attempt the owner of its key; ``record`` is the record of an earlier attempt, if there is one."""
        if record is None:
            self.retained_count += 1
            record = IdempotencyRecord(attempt_id)
        record.owner_id = attempt_id
        self._by_attempt[attempt_id] = record
        self._expiry.append((until, attempt_id))

    def mark_executed(self, attempt_id: int) -> None:
        """Record that an attempt starts to run; without a key this has no effect."""
        record = self._by_attempt.get(attempt_id)
        if record is not None:
            record.executed = True

    def detach(self, attempt_id: int) -> None:
        """Remove the entry of an attempt that never ran, without releasing the key."""
        del self._by_attempt[attempt_id]

    def attach(self, attempt_id: int, record: IdempotencyRecord) -> None:
        """Store a record for an attempt."""
        self._by_attempt[attempt_id] = record

    def release(self, attempt_id: int) -> bool:
        """Release the key of an attempt that never ran; return False if it has none."""
        if self._by_attempt.pop(attempt_id, None) is None:
            return False
        self.retained_count -= 1
        return True

    def expire(self, now: float) -> None:
        """Remove the entries whose idempotency window has ended."""
        while self._expiry and self._expiry[0][0] <= now:
            attempt_id = self._expiry.popleft()[1]
            record = self._by_attempt.pop(attempt_id, None)
            if record is not None and record.owner_id == attempt_id:
                self.retained_count -= 1
