"""Decides which of the two processes of a worker host may execute a keyed request. No I/O, no clock.

During an upgrade the older process owns the keys. It announces each request before executing it. The newer process asks
for permission before executing a request. So each process knows every request that either executed, and if one process
ends, the other can continue alone.

| role | what happens to a request that is not known to have been executed |
| --- | --- |
| ``STANDALONE`` | it is executed |
| ``OWNER`` | it is executed once the announcement was written to the other process's socket |
| ``FOLLOWER`` | it waits for the owner's reply |
| ``SUSPENDED`` | it waits: another process is running, and its executions are not known |

A request that waits for longer than ``CLAIM_TIMEOUT_MS`` is rejected, because it has not been executed. A request whose
execution the other process announced, but not its end, counts as executed and failed. If the other process ended
without ``HandoverComplete``, it may have continued without a link. The outcome of requests created before its end, and
of all retries, is then unknown for one idempotency window. Where retries are not marked, any request may be one. Times
are in Unix ms.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from enum import Enum
from typing import Any, cast

import msgspec

from lapispick.handover import messages
from lapispick.idempotency.states import Verdict
from lapispick.idempotency.table import EXECUTED_BY_PEER, NOT_EXECUTED, IdempotencyRecord, IdempotencyTable
from lapispick.idempotency.unknown_outcomes import UnknownOutcomes

CLAIM_TIMEOUT_MS = 300.0  # if the peer's event loop is blocked for longer, its reply comes too late to be useful


class Role(Enum):
    """Role of this process in the ownership of the keys."""

    STANDALONE = "standalone"
    OWNER = "owner"
    FOLLOWER = "follower"
    SUSPENDED = "suspended"


class PendingClaim(msgspec.Struct, frozen=True):
    """Attempt that waits for the other process, and the time at which it began to wait."""

    attempt: int
    record: IdempotencyRecord
    waiting_since_ms: float


class KeyOwnership:
    """Ownership of the keys, as seen by this process. The host sends the messages and applies the verdicts."""

    def __init__(self, table: IdempotencyTable, idempotency_window_ms: float, role: Role = Role.STANDALONE) -> None:
        self.table = table
        self.role = role
        self.send: Callable[[messages.Message], None] = lambda message: None
        self.has_unsent: Callable[[], bool] = lambda: False  # whether messages still wait to be written to the socket
        self.on_verdict: Callable[[Any, Verdict], None] = lambda attempt, verdict: None
        self.on_completed: Callable[[Any, str | None], None] = lambda waiter, result: None
        self.unknown_outcomes = UnknownOutcomes(idempotency_window_ms)
        self._pending: dict[Hashable, PendingClaim] = {}

    # Attempts that this process received.

    def claim(
        self,
        attempt: int,
        record: IdempotencyRecord,
        created_at_ms: float,
        expires_at_ms: float,
        is_retry: bool,
        now_ms: float,
        retries_are_marked: bool = True,
    ) -> Verdict:
        """Decide whether an attempt may be executed; ``record`` is the record of its key.

        The verdict is ``RUN``, ``COALESCE``, ``FAIL`` or ``WAIT``. After ``WAIT``, ``on_verdict`` is called with
        the final verdict.
        """
        if record.executed_attempt:
            return Verdict.COALESCE
        if self.unknown_outcomes.covers(created_at_ms, is_retry, retries_are_marked):
            return Verdict.FAIL
        if self.role is Role.STANDALONE:
            record.mark_started(attempt, expires_at_ms)
            return Verdict.RUN
        if record.key in self._pending:
            return Verdict.COALESCE
        if self.role is Role.OWNER:
            record.mark_started(attempt, expires_at_ms)
            self._send_to_peer(messages.KeyClaimed(_key(record), record.expires_at_ms, record.request_digest))
            if not self.has_unsent():
                return Verdict.RUN
        elif self.role is Role.FOLLOWER:
            self._send_to_peer(
                messages.ClaimRequest(
                    attempt,
                    _key(record),
                    created_at_ms,
                    expires_at_ms,
                    record.request_digest,
                    is_retry or not retries_are_marked,
                )
            )
        self._pending[record.key] = PendingClaim(attempt, record, now_ms)
        record.expires_at_ms = max(record.expires_at_ms, expires_at_ms)
        return Verdict.WAIT

    def complete(self, record: IdempotencyRecord, result: str | None) -> None:
        """Record the result of an execution by this process, or None if it failed."""
        if self.role is not Role.STANDALONE:
            self._send_to_peer(messages.KeyCompleted(_key(record), result))
        self._notify(self.table.complete(record, result), result)

    def release(self, record: IdempotencyRecord) -> None:
        """Release a key whose request was not executed."""
        pending = self._pending.get(record.key)
        if pending is not None and pending.record is record:
            return  # the reply to the pending claim needs the record
        if record.executed_attempt and record.executed_attempt != EXECUTED_BY_PEER:
            self._send_to_peer(messages.KeyReleased(_key(record), record.expires_at_ms))
        self._notify(self.table.remove(record), None)

    def on_flushed(self) -> None:
        """Run the owner's attempts that waited until their announcements were written to the socket."""
        if self.role is Role.OWNER:
            for key, pending in list(self._pending.items()):
                del self._pending[key]
                self.on_verdict(pending.attempt, Verdict.RUN)

    def expire_claims(self, now_ms: float) -> bool:
        """Reject attempts that waited too long.

        Return True if this process is the owner and the peer reads so slowly that the link must be closed.
        """
        expired = [
            key for key, pending in self._pending.items() if now_ms - pending.waiting_since_ms > CLAIM_TIMEOUT_MS
        ]
        if expired and self.role is Role.OWNER:
            return True
        for key in expired:
            pending = self._pending.pop(key)
            self.on_verdict(pending.attempt, Verdict.REJECT)
        return False

    def _notify(self, waiters: Iterable[Any], result: str | None) -> None:
        for waiter in waiters:
            self.on_completed(waiter, result)

    # Messages and state of the other process.

    def on_peer_connected(self, role: Role) -> None:
        """Begin to share the keys, as ``OWNER`` or ``FOLLOWER``."""
        self.role = role
        if role is Role.OWNER:
            self.send(messages.UnknownOutcomesUntil(self.unknown_outcomes.ended_at_ms))

    def snapshot(self, keys: list[Hashable]) -> list[messages.Message]:
        """Return messages with the records of those keys whose requests were executed."""
        records = [self.table.get(key) for key in keys]
        return [
            messages.RecordSnapshot(
                _key(record), record.expires_at_ms, record.request_digest, record.completed, record.result
            )
            for record in records
            if record is not None and record.executed_attempt
        ]

    def receive(self, message: messages.Message) -> None:
        """Apply a message of the other process about keys. Other messages are ignored."""
        match message:
            case messages.RecordSnapshot(key, expires_at_ms, request_digest, completed, result):
                self.table.mark_executed_by_peer(key, expires_at_ms, request_digest)
                if completed:
                    self._notify(self.table.complete_by_peer(key, result), result)
            case messages.UnknownOutcomesUntil(ended_at_ms):
                # That process may have ended in an upgrade, after which unmarked retries are to fail here too.
                self.unknown_outcomes.record_process_end(ended_at_ms, in_upgrade=True)
            case messages.KeyClaimed(key, expires_at_ms, request_digest):
                self.table.mark_executed_by_peer(key, expires_at_ms, request_digest)
            case messages.KeyCompleted(key, result):
                self._notify(self.table.complete_by_peer(key, result), result)
            case messages.KeyReleased(key, expires_at_ms):
                self._notify(self.table.release_by_peer(key, expires_at_ms), None)
            case messages.ClaimRequest():
                self._on_claim_request(message)
            case messages.ClaimGranted():
                self._on_claim_granted(message)
            case messages.ClaimDenied():
                self._on_claim_denied(message)

    def _on_claim_request(self, request: messages.ClaimRequest) -> None:
        record = self.table.find(request.key, request.created_at_ms)
        executed = record is not None and bool(record.executed_attempt)
        if executed or self.unknown_outcomes.covers(request.created_at_ms, request.is_retry):
            self.send(messages.ClaimDenied(request.claim_id, request.key))
            return
        self.table.mark_executed_by_peer(request.key, request.expires_at_ms, request.request_digest)
        self.send(messages.ClaimGranted(request.claim_id, request.key, request.expires_at_ms))

    def _on_claim_granted(self, granted: messages.ClaimGranted) -> None:
        pending = self._pending.get(granted.key)
        if pending is None or pending.attempt != granted.claim_id:  # the claim timed out
            self._send_to_peer(messages.KeyReleased(granted.key, granted.expires_at_ms))
            return
        del self._pending[granted.key]
        pending.record.mark_started(pending.attempt, pending.record.expires_at_ms)
        self.on_verdict(pending.attempt, Verdict.RUN)

    def _on_claim_denied(self, denied: messages.ClaimDenied) -> None:
        pending = self._pending.get(denied.key)
        if pending is None or pending.attempt != denied.claim_id:
            return
        del self._pending[denied.key]
        # The owner announces an execution before it denies a claim. Without an announcement, the claim was denied
        # because the outcome is unknown, so the record is completed as failed.
        if not pending.record.executed_attempt:
            pending.record.mark_started(EXECUTED_BY_PEER, pending.record.expires_at_ms)
            self.table.complete(pending.record, None)
        self.on_verdict(pending.attempt, Verdict.COALESCE)

    def on_peer_lost(self, peer_ended: bool, ended_at_ms: float = 0.0) -> None:
        """Continue without the other process, which may still execute requests unless ``peer_ended`` is set.

        ``ended_at_ms`` is set if it owned the keys and ended without ``HandoverComplete``.
        """
        if ended_at_ms:
            self.unknown_outcomes.record_process_end(ended_at_ms, in_upgrade=True)
        # The owner may continue even if the follower is running: without a link, a follower gets no permission to
        # execute anything.
        if not peer_ended and self.role is not Role.OWNER:
            if self.role is Role.FOLLOWER:
                self.role = Role.SUSPENDED
            return
        self.role = Role.STANDALONE
        for record in self.table:
            self._notify(self.table.complete_by_peer(record.key, None), None)  # their results cannot arrive any more
        self._settle_pending(owner_lost=bool(ended_at_ms))

    def _settle_pending(self, owner_lost: bool) -> None:
        for key, pending in list(self._pending.items()):
            del self._pending[key]
            executed_attempt = pending.record.executed_attempt
            if executed_attempt == NOT_EXECUTED and owner_lost:
                self.on_verdict(pending.attempt, Verdict.FAIL)
            elif executed_attempt in (NOT_EXECUTED, pending.attempt):
                pending.record.mark_started(pending.attempt, pending.record.expires_at_ms)
                self.on_verdict(pending.attempt, Verdict.RUN)
            else:
                self.on_verdict(pending.attempt, Verdict.COALESCE)

    def _send_to_peer(self, message: messages.Message) -> None:
        if self.role in (Role.OWNER, Role.FOLLOWER):
            self.send(message)


def _key(record: IdempotencyRecord) -> messages.Key:
    return cast(messages.Key, record.key)
