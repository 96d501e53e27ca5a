"""The idempotency keys of the last window: which attempt owns each, and whether one was executed."""

from __future__ import annotations

from collections import deque


class IdempotencyRecord:
    """What is known of one key; shared by all attempts that carry it."""

    __slots__ = ("executed", "owner_id")

    def __init__(self, owner_id: int) -> None:
        self.owner_id = owner_id  # the attempt that stands for the key now
        self.executed = False


class IdempotencyTable:
    """Records by the number of each attempt, kept for the class's window."""

    __slots__ = ("_by_attempt", "_expiry", "retained")

    def __init__(self) -> None:
        self._by_attempt: dict[int, IdempotencyRecord] = {}
        self._expiry: deque[tuple[float, int]] = deque()  # when, and which attempt
        self.retained = 0  # keys that take memory

    def get(self, attempt_id: int) -> IdempotencyRecord | None:
        """Return the record of an attempt's key."""
        return self._by_attempt.get(attempt_id)

    def retain(self, attempt_id: int, until: float, record: IdempotencyRecord | None) -> None:
        """Let an attempt own its key from now on; ``record`` is that of an earlier attempt."""
        if record is None:
            self.retained += 1
            record = IdempotencyRecord(attempt_id)
        record.owner_id = attempt_id
        self._by_attempt[attempt_id] = record
        self._expiry.append((until, attempt_id))

    def mark_executed(self, attempt_id: int) -> None:
        """Note that an attempt, if it carries a key, is started now."""
        record = self._by_attempt.get(attempt_id)
        if record is not None:
            record.executed = True

    def detach(self, attempt_id: int) -> None:
        """Take the record from the number of an attempt that never ran, without freeing the key."""
        del self._by_attempt[attempt_id]

    def attach(self, attempt_id: int, record: IdempotencyRecord) -> None:
        """Put a record under the number of an attempt."""
        self._by_attempt[attempt_id] = record

    def release(self, attempt_id: int) -> bool:
        """Forget the key of an attempt that never ran; False where it has none."""
        if self._by_attempt.pop(attempt_id, None) is None:
            return False
        self.retained -= 1
        return True

    def expire(self, now: float) -> None:
        """Drop records whose window is over."""
        while self._expiry and self._expiry[0][0] <= now:
            attempt_id = self._expiry.popleft()[1]
            record = self._by_attempt.pop(attempt_id, None)
            if record is not None and record.owner_id == attempt_id:
                self.retained -= 1
