"""What fronts, peers and timers report to the core, each posted through ``Core.post``.

Spans called ``*_ms`` are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import TYPE_CHECKING

import msgspec

from lapispick.admission import Outcome
from lapispick.handover.messages import Message
from lapispick.host.requests import Request

if TYPE_CHECKING:
    from lapispick.host.core.in_flight import InFlightRequest
    from lapispick.host.interfaces import Link
    from lapispick.host.store import StoreCall
    from lapispick.idempotency.states import Verdict
    from lapispick.idempotency.table import IdempotencyRecord

# From the fronts and the operators.


class RequestArrived(msgspec.Struct, frozen=True):
    """A front has read a request."""

    request: Request


class ClientCancelled(msgspec.Struct, frozen=True):
    """Nobody waits for this request any more."""

    request: Request
    before_arrival: bool = False  # it was cancelled before the front posted its ``RequestArrived``


class HealthCheckReceived(msgspec.Struct, frozen=True):
    """A health check; the reply takes whether the host is healthy, and the backpressure value."""

    deep: bool
    reply: Callable[[bool, float | None], None]


class ShutdownRequested(msgspec.Struct, frozen=True):
    """The host shall shut down gracefully and will be stopped after ``stop_ms``."""

    stop_ms: float
    handed_over: bool = False  # another process of this worker host continues


class DrainChanged(msgspec.Struct, frozen=True):
    """Operators drain the host or end a drain; requests that arrive are answered either way."""

    draining: bool


# From the executor.


class ExecutorReady(msgspec.Struct, frozen=True):
    """The executor accepts runs and has been up for ``uptime_ms``."""

    warming_up: bool
    uptime_ms: float


class RunCompleted(msgspec.Struct, frozen=True):
    """A run has ended."""

    request_id: str
    outcome: Outcome
    duration_ms: float
    result: str


class RunUnknown(msgspec.Struct, frozen=True):
    """The executor does not know this request: it started nothing, and the client's request is invalid."""

    request_id: str


class RunOutcomeUnknown(msgspec.Struct, frozen=True):
    """A run's start or the report of its end may be lost, and neither can be requested again."""

    request_id: str


class CallRequested(msgspec.Struct, frozen=True):
    """A run waits for a downstream call with this body."""

    request_id: str
    notice_index: int
    body: str


class GaugesReported(msgspec.Struct, frozen=True):
    """The executor's gauges, in the order of the settings."""

    gauges: tuple[float, ...]


class HealthCheckCompleted(msgspec.Struct, frozen=True):
    """A deep health check has ended."""

    nonce: str
    healthy: bool


# From the store.


class CallCompleted(msgspec.Struct, frozen=True):
    """A downstream call has ended; the body is base64."""

    call: StoreCall
    outcome: Outcome
    duration_ms: float
    body: str


# From the link to the other process of this worker host.


class PeerConnected(msgspec.Struct, frozen=True):
    """Another process of this worker host is connected."""

    link: Link
    owns_keys: bool  # the other process decides which keys may run; else this one does


class PeerMessage(msgspec.Struct, frozen=True):
    """The other process sent a message."""

    link: Link
    message: Message


class PeerDisconnected(msgspec.Struct, frozen=True):
    """The link to the other process is closed."""

    link: Link | None
    peer_ended: bool  # that process has ended for certain
    ended_at_s: float = 0.0  # Unix s; when it ended, for one that ended without a last message


class SnapshotDue(msgspec.Struct, frozen=True):
    """The next part of the idempotency snapshot can be sent: these keys remain."""

    link: Link
    keys: list[Hashable]


# From timers.


class TimerDue(msgspec.Struct, frozen=True):
    """A timer that the decision module set has run out."""

    token: int


# From the core to itself, for the next batch.


class ClaimDecided(msgspec.Struct, frozen=True):
    """It is decided whether an attempt that waited may run its idempotency key here."""

    entry: InFlightRequest
    verdict: Verdict


class CoalescedRequestCompleted(msgspec.Struct, frozen=True):
    """A request that was coalesced, or whose start was withheld, is over."""

    entry: InFlightRequest
    outcome: Outcome


class OwnerReleased(msgspec.Struct, frozen=True):
    """The attempt that owned an idempotency key is gone, and others wait for its result."""

    record: IdempotencyRecord
    owner_id: int


# For annotations only: nothing reads the unions at run time.
if TYPE_CHECKING:
    ExecutorEvent = (
        ExecutorReady
        | RunCompleted
        | RunUnknown
        | RunOutcomeUnknown
        | CallRequested
        | GaugesReported
        | HealthCheckCompleted
    )
    Event = (
        ExecutorEvent
        | RequestArrived
        | ClientCancelled
        | HealthCheckReceived
        | ShutdownRequested
        | DrainChanged
        | CallCompleted
        | PeerConnected
        | PeerMessage
        | PeerDisconnected
        | SnapshotDue
        | TimerDue
        | ClaimDecided
        | CoalescedRequestCompleted
        | OwnerReleased
    )
