"""Events that fronts, peers and timers report to the core through ``Core.post``.

Fields named ``*_ms`` are durations in milliseconds.
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

# From fronts and operators.


class RequestArrived(msgspec.Struct, frozen=True):
    """A front has read a request."""

    request: Request


class ClientCancelled(msgspec.Struct, frozen=True):
    """The client no longer waits for the answer to this request."""

    request: Request
    before_arrival: bool = False  # cancelled before the front posted its ``RequestArrived``


class HealthCheckReceived(msgspec.Struct, frozen=True):
    """A client sent a health check; ``reply`` takes whether the host is healthy, and the backpressure value."""

    deep: bool
    reply: Callable[[bool, float | None], None]


class ShutdownRequested(msgspec.Struct, frozen=True):
    """The host must shut down gracefully; it will be stopped after ``stop_ms``."""

    stop_ms: float
    handed_over: bool = False  # another process of this worker host continues to serve


class DrainChanged(msgspec.Struct, frozen=True):
    """An operator started or ended a drain; requests that arrive are answered in both cases.

    ``changed_at_ms`` is the time of the call on the machine's monotonic clock.
    """

    draining: bool
    changed_at_ms: float


# From the executor.


class ExecutorReady(msgspec.Struct, frozen=True):
    """The executor accepts runs; it has been up for ``uptime_ms``."""

    warming_up: bool
    uptime_ms: float


class RunCompleted(msgspec.Struct, frozen=True):
    """A run has ended."""

    request_id: str
    outcome: Outcome
    duration_ms: float
    result: str


class RunUnknown(msgspec.Struct, frozen=True):
    """The executor rejected the start of a run as unknown: nothing runs, and the client's request is invalid."""

    request_id: str


class RunOutcomeUnknown(msgspec.Struct, frozen=True):
    """The start of a run or the report of its end may be lost, and neither can be repeated."""

    request_id: str


class CallRequested(msgspec.Struct, frozen=True):
    """A run waits for the reply to a downstream call with this body."""

    request_id: str
    notice_index: int
    body: str


class CallReplyInDoubt(msgspec.Struct, frozen=True):
    """The reply to the call that this notice requested may be lost with a link, and can't be sent again."""

    request_id: str
    notice_index: int


class GaugesReported(msgspec.Struct, frozen=True):
    """The executor reported its gauges; they are in the order of the settings."""

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
    owns_keys: bool  # True if the other process decides which keys may run, False if this one does


class PeerMessage(msgspec.Struct, frozen=True):
    """The other process sent a message."""

    link: Link
    message: Message


class PeerDisconnected(msgspec.Struct, frozen=True):
    """The link to the other process is closed."""

    link: Link | None
    peer_ended: bool  # it is certain that the other process has ended
    ended_at_s: float = 0.0  # Unix s; the end of a process that sent no last message


class SnapshotDue(msgspec.Struct, frozen=True):
    """The next part of the idempotency snapshot can be sent; ``keys`` are those that remain to be sent."""

    link: Link
    keys: list[Hashable]


# From timers.


class TimerDue(msgspec.Struct, frozen=True):
    """A timer that the decision module set has expired."""

    token: int


# From the core to itself, for the next batch.


class ClaimDecided(msgspec.Struct, frozen=True):
    """The verdict on whether an attempt that waited may run its idempotency key in this process."""

    entry: InFlightRequest
    verdict: Verdict


class CoalescedRequestCompleted(msgspec.Struct, frozen=True):
    """A request that was coalesced, or whose start was withheld, has ended."""

    entry: InFlightRequest
    outcome: Outcome


class OwnerReleased(msgspec.Struct, frozen=True):
    """The owner attempt of an idempotency key has ended while other attempts wait for its result."""

    record: IdempotencyRecord
    owner_id: int


# For annotations only: the unions are not used at run time.
if TYPE_CHECKING:
    ExecutorEvent = (
        ExecutorReady
        | RunCompleted
        | RunUnknown
        | RunOutcomeUnknown
        | CallRequested
        | CallReplyInDoubt
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
