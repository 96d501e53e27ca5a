"""The interfaces of the core's peers: executor, store, fronts, recorder and the link to another process."""

from __future__ import annotations

from typing import Protocol

from lapispick import admission
from lapispick.handover import messages
from lapispick.host.requests import Request
from lapispick.host.store import StoreCall


class Executor(Protocol):
    """Executor that runs requests; every method only queues a command."""

    def start_run(self, request_id: str, class_name: str, body: str, idempotent: bool) -> None:
        """Start a run; a run that is not idempotent is never started again if its start may have arrived."""

    def cancel_run(self, request_id: str) -> None:
        """Cancel a run, or pause it if the settings say so."""

    def resume_run(self, request_id: str) -> None:
        """Resume a paused run."""

    def send_call_reply(self, request_id: str, notice_index: int, body: str) -> None:
        """Send a run the reply to the call that this notice requested; it may be lost, and is never sent again."""

    def skip_call(self, request_id: str, notice_index: int) -> None:
        """Let a run continue without the call that this notice requested."""

    def request_gauges(self) -> None:
        """Request the gauges; the answer is a ``GaugesReported`` event."""

    def forget_run(self, request_id: str) -> None:
        """Stop waiting for the end of this run."""

    def start_health_check(self) -> str:
        """Request a deep health check; return the nonce of its ``HealthCheckCompleted``."""


class Store(Protocol):
    """Client of the store for downstream calls."""

    def start_call(self, request_id: str, body: str, timeout_ms: float) -> StoreCall:
        """Start a call, which is sent at most once and ends with a ``CallCompleted``."""

    def cancel_call(self, call: StoreCall) -> None:
        """Cancel a call; no ``CallCompleted`` follows."""


class Link(Protocol):
    """The connection to the other process of this worker host."""

    def send(self, message: messages.Message) -> None:
        """Queue a message."""

    def has_unsent(self) -> bool:
        """Return True if messages that were sent have not left this process."""

    def connections(self) -> int:
        """Return the number of clients' connections of this process."""

    def on_peer_usage(self, usage: messages.ResourceUsage) -> None:
        """Handle a report of the other process's resource usage."""

    def on_snapshot_complete(self) -> None:
        """Record that the snapshot is complete."""

    def close(self) -> None:
        """Close the connection."""


class Recorder(Protocol):
    """Recorder of the decision module's steps; no method waits for a disk."""

    def begin(self, settings: admission.Settings, seed: int, now: float) -> None:
        """Start recording with the module's settings, seed and clock (ms)."""

    def record_step(self, now: float, events: list[admission.Event], actions: list[admission.Action]) -> None:
        """Record one step."""

    def record_arrival(self, number: int, request: Request) -> None:
        """Record the attributes of a request that the module does not receive."""

    def record_answer(self, number: int, kind: str, age_ms: float) -> None:
        """Record a final answer, ``age_ms`` after the request reached the machine."""

    def record_external_event(self, name: str, details: str = "") -> None:
        """Record an external event: an operator's action, or the adoption of learned estimates by the module."""


class Front(Protocol):
    """Front that accepts clients and passes their requests to the core."""

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Close connections that are idle for this long."""

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown."""

    def is_flushed(self) -> bool:
        """Return True if all answers were passed to the operating system."""
