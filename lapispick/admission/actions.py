"""The actions that the decision module orders.

All times are milliseconds.
"""

from __future__ import annotations

from typing import NamedTuple


class StartRun(NamedTuple):
    """Start a held request."""

    id: int


class CancelRun(NamedTuple):
    """Stop a running request."""

    id: int


class Reject(NamedTuple):
    """Final answer: turned away, never ran."""

    id: int
    retry_after_ms: float
    no_retry: bool
    reason: str = ""  # the bound that it met, for those who look; no caller is told


class Fail(NamedTuple):
    """Final answer: failed; promises nothing."""

    id: int


class StartCall(NamedTuple):
    """Make the call that a request waits for."""

    id: int
    timeout_ms: float


class SkipCall(NamedTuple):
    """Go on without the call."""

    id: int


class Coalesce(NamedTuple):
    """Answer a held request with the result of the one it repeats."""

    id: int


class RetainKey(NamedTuple):
    """Put a request in the table of keys for this long."""

    id: int
    retention_ms: float


class ReleaseKey(NamedTuple):
    """Take a request's entry out of the table of keys."""

    id: int


class SetHealth(NamedTuple):
    """Answer health checks so from now on; cached: without work for each check."""

    healthy: bool
    cached: bool


class SetIdleTimeout(NamedTuple):
    """Close connections that carried nothing for this long; 0 = as late as can be."""

    timeout_ms: float


class Advertise(NamedTuple):
    """The value that goes out with every answer from now on."""

    value: float


class SetTimer(NamedTuple):
    """Ask for a ``TimerFired`` after a delay."""

    delay_ms: float
    token: int


class Log(NamedTuple):
    """A line for those on call."""

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
