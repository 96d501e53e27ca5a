"""Table of idempotency records: which attempt owns a key, which attempt was executed, and its result.

Records follow the state machine in ``states.py``. No I/O, no clock. Times are in Unix ms.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable, Iterator
from math import inf
from typing import Any

import msgspec

from lapispick.digests import blake2b
from lapispick.idempotency.states import TRANSITIONS, KeyEvent, KeyState

DEFAULT_MAX_RESULT_BYTES = 16 << 20
DEFAULT_MAX_KEYS = 16_384
NOT_EXECUTED = 0  # used as the executed attempt of a record: no attempt was executed
EXECUTED_BY_PEER = -1  # used as the executed attempt of a record: the host's other process executes it
DIGEST_BYTES = 7


class IdempotencyRecord(msgspec.Struct, eq=False):
    """Record of one idempotency key: its owner attempt, state and result."""

    key: Hashable
    owner_attempt: int  # the attempt that would be executed
    expires_at_ms: float  # end of the window: attempts created until then match, whenever they are read
    request_digest: int  # of handler and body, which are the same in all attempts
    # The number of an attempt and not the attempt itself: that would make a reference cycle, which the garbage
    # collector may free only minutes later.
    executed_attempt: int = NOT_EXECUTED
    # End of the window that the peer counts for its claim. The window of this record may end later, if an attempt
    # reached this process later.
    peer_claim_expires_at_ms: float = 0.0
    state: KeyState = KeyState.INTENDED
    result: str | None = None  # None in a completed record: the execution failed, or its result was evicted
    waiters: list[Any] = []  # attempts to notify when the record is completed

    @property
    def completed(self) -> bool:
        """Return True if the outcome is final: no execution of this record is pending."""
        return self.state > KeyState.STARTED

    def apply(self, event: KeyEvent) -> None:
        """Change the state by an event.

        An event that the state does not allow is ignored, because messages of both processes may cross.
        """
        self.state = TRANSITIONS.get((self.state, event), self.state)

    def mark_started(self, attempt: int, expires_at_ms: float) -> None:
        """Record the attempt that is executed, or ``EXECUTED_BY_PEER``; extend the window, but never shorten it."""
        self.executed_attempt = attempt
        self.expires_at_ms = max(self.expires_at_ms, expires_at_ms)
        self.apply(KeyEvent.START)

    def take_waiters(self) -> list[Any]:
        """Return the waiters and clear the list, so that each is notified only once."""
        waiters = self.waiters
        self.waiters = []
        return waiters


def digest_request(handler: str, body: str) -> int:
    """Return a short digest of handler and body, which are the same in all attempts and in both processes."""
    return int.from_bytes(blake2b(f"{handler} {body}".encode(), digest_size=DIGEST_BYTES).digest())


class IdempotencyTable:
    """All unexpired idempotency records of this worker host. Results are evicted beyond a bound; records never are."""

    def __init__(self, max_result_bytes: int = DEFAULT_MAX_RESULT_BYTES) -> None:
        self.max_result_bytes = max_result_bytes
        self.result_bytes = 0
        self._records: dict[Hashable, IdempotencyRecord] = {}
        self._records_with_result: deque[IdempotencyRecord] = deque()  # oldest result first

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[IdempotencyRecord]:
        return iter(list(self._records.values()))

    def get(self, key: Hashable) -> IdempotencyRecord | None:
        """Return the record of a key, even if its window has ended."""
        return self._records.get(key)

    def find(self, key: Hashable, created_at_ms: float) -> IdempotencyRecord | None:
        """Return the record of a key if an attempt created at this time is within its window, otherwise None."""
        record = self._records.get(key)
        if record is None or created_at_ms > record.expires_at_ms:
            return None
        return record

    def retain(
        self, key: Hashable, attempt: int, created_at_ms: float, expires_at_ms: float, request_digest: int
    ) -> IdempotencyRecord:
        """Make an attempt the owner of its key.

        A record whose window has not ended is kept: replacing it could lead to a second execution.
        """
        record = self.find(key, created_at_ms)
        if record is None:
            self._evict_result_of(key)
            record = IdempotencyRecord(key, attempt, expires_at_ms, request_digest)
            self._records[key] = record
        record.owner_attempt = attempt
        record.expires_at_ms = max(record.expires_at_ms, expires_at_ms)
        return record

    def remove(self, record: IdempotencyRecord) -> list[Any]:
        """Remove a record and return its waiters."""
        if self._records.get(record.key) is record:
            del self._records[record.key]
        self._evict_result(record)
        record.apply(KeyEvent.NOT_EXECUTED if record.state is KeyState.STARTED else KeyEvent.WITHDRAW)
        return record.take_waiters()

    def complete(self, record: IdempotencyRecord, result: str | None) -> list[Any]:
        """Record the result of an execution, or None if it failed; return the waiters."""
        record.apply(KeyEvent.FAIL if result is None else KeyEvent.COMPLETE)
        if result is not None and record.result is None and self._records.get(record.key) is record:
            record.result = result
            self._records_with_result.append(record)
            self.result_bytes += len(result)
            self.trim()
        return record.take_waiters()

    # Executions of the host's other process.

    def mark_executed_by_peer(self, key: Hashable, expires_at_ms: float, request_digest: int) -> None:
        """Record that the peer executes a request; an attempt that waits in this process will coalesce with it."""
        record = self._records.get(key)
        if record is not None and record.executed_attempt and expires_at_ms <= record.expires_at_ms:
            return  # this execution is known already, or a newer one was executed here
        if record is None or record.executed_attempt:  # supersedes an execution of an earlier window
            record = self.retain(key, EXECUTED_BY_PEER, inf, expires_at_ms, request_digest)
        record.mark_started(EXECUTED_BY_PEER, expires_at_ms)
        record.peer_claim_expires_at_ms = expires_at_ms
        record.request_digest = request_digest

    def complete_by_peer(self, key: Hashable, result: str | None) -> list[Any]:
        """Record the result of the peer's execution if that is pending; return the waiters."""
        record = self._records.get(key)
        if record is None or record.executed_attempt != EXECUTED_BY_PEER or record.completed:
            return []
        return self.complete(record, result)

    def release_by_peer(self, key: Hashable, expires_at_ms: float) -> list[Any]:
        """Remove the record of a key that the peer claimed but did not execute; return the waiters.

        ``expires_at_ms`` identifies the claim: a later claim of the peer stays.
        """
        record = self._records.get(key)
        if record is None or record.executed_attempt != EXECUTED_BY_PEER:
            return []
        if record.peer_claim_expires_at_ms > expires_at_ms:
            return []
        return self.remove(record)

    # Results and expiry.

    def trim(self) -> None:
        """Evict the oldest results beyond ``max_result_bytes``; their records stay, to prevent second executions."""
        while self.result_bytes > self.max_result_bytes and self._records_with_result:
            self._evict_result(self._records_with_result[0])

    def expired(self, before_ms: float) -> Iterable[IdempotencyRecord]:
        """Return the records whose window ended before this time and that are not being executed."""
        return [
            record
            for record in self._records.values()
            if record.expires_at_ms < before_ms and record.state is not KeyState.STARTED
        ]

    def _evict_result_of(self, key: Hashable) -> None:
        record = self._records.get(key)
        if record is not None:
            self._evict_result(record)

    def _evict_result(self, record: IdempotencyRecord) -> None:
        if record.result is not None:
            self.result_bytes -= len(record.result)
            record.result = None
        while self._records_with_result and self._records_with_result[0].result is None:
            self._records_with_result.popleft()
