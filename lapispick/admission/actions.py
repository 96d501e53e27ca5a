"""The output actions of the decision module.

All times are in milliseconds.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RejectReason(StrEnum):
    """Reason for the rejection of a request; the values are stored in traces."""

    DRAIN = "drain"
    LATE = "late"
    LIMIT = "limit"
    MEMORY = "memory"
    PRICE = "price"
    REPEAT = "repeat"  # replaced by a newer attempt of the same request


class StartRun(NamedTuple):
    """Start a queued request, or resume a paused one."""

    id: int


class CancelRun(NamedTuple):
    """Cancel a run; with ``CancelMode.PAUSE`` it keeps the work done and can be resumed."""

    id: int


class Reject(NamedTuple):
    """Final answer: rejected; the request never ran."""

    id: int
    retry_after_ms: float
    no_retry: bool
    reason: str = ""  # the value of a ``RejectReason``; for logs and traces, not sent to clients


class Fail(NamedTuple):
    """Final answer: failed; the request may or may not have been executed."""

    id: int


class StartCall(NamedTuple):
    """Start the downstream call that a request waits for."""

    id: int
    timeout_ms: float


class SkipCall(NamedTuple):
    """Let a run continue without its downstream call."""

    id: int


class Coalesce(NamedTuple):
    """Answer a request with the result of the attempt that it repeats."""

    id: int


class RetainKey(NamedTuple):
    """Retain the idempotency key of a request for ``retention_ms``."""

    id: int
    retention_ms: float


class ReleaseKey(NamedTuple):
    """Release the idempotency key of a request that never ran."""

    id: int


class SetHealth(NamedTuple):
    """Set the answer to health checks; if ``cached`` is true, the host gives it without any work for each check."""

    healthy: bool
    cached: bool


class SetIdleTimeout(NamedTuple):
    """Set the timeout after which idle connections are closed; 0 = the idle timeout of the settings."""

    timeout_ms: float


class Advertise(NamedTuple):
    """Set the backpressure value that is sent with every answer from now on."""

    value: float


class SetTimer(NamedTuple):
    """Request a ``TimerFired`` event after a delay."""

    delay_ms: float
    token: int


class Log(NamedTuple):
    """Write a log line for on-call staff."""

    text: str


Action = (
    StartRun
    | CancelRun
    | Reject
    | Fail
    | StartCall
    | SkipCall
    | Coalesce
    | RetainKey
    | ReleaseKey
    | SetHealth
    | SetIdleTimeout
    | Advertise
    | SetTimer
    | Log
)
