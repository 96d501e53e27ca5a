"""The actions that the decision module orders.

All times are milliseconds.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RejectReason(StrEnum):
    """The bound that a rejected request met; the values are stored in traces."""

    DRAIN = "drain"
    LATE = "late"
    LIMIT = "limit"
    MEMORY = "memory"
    PRICE = "price"
    REPEAT = "repeat"  # a newer attempt of the same request took its place


class StartRun(NamedTuple):
    """Start a queued request, or resume a paused one."""

    id: int


class CancelRun(NamedTuple):
    """Cancel a run; with ``CancelMode.PAUSE`` it keeps its work."""

    id: int


class Reject(NamedTuple):
    """Final answer: rejected, never ran."""

    id: int
    retry_after_ms: float
    no_retry: bool
    reason: str = ""  # a ``RejectReason``, for logs and traces; it is not sent to clients


class Fail(NamedTuple):
    """Final answer: failed; it may have been executed or not."""

    id: int


class StartCall(NamedTuple):
    """Make the downstream call that a request waits for."""

    id: int
    timeout_ms: float


class SkipCall(NamedTuple):
    """Let a run continue without its downstream call."""

    id: int


class Coalesce(NamedTuple):
    """Answer a queued request with the result of the one it repeats."""

    id: int


class RetainKey(NamedTuple):
    """Retain the idempotency key of a request for this long."""

    id: int
    retention_ms: float


class ReleaseKey(NamedTuple):
    """Forget the idempotency key of a request that never ran."""

    id: int


class SetHealth(NamedTuple):
    """Answer health checks so from now on; ``cached``: without work for each check."""

    healthy: bool
    cached: bool


class SetIdleTimeout(NamedTuple):
    """Close connections that carried nothing for this long; 0 = the idle timeout of the settings."""

    timeout_ms: float


class Advertise(NamedTuple):
    """Send this backpressure value with every answer from now on."""

    value: float


class SetTimer(NamedTuple):
    """Request a ``TimerFired`` after a delay."""

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
