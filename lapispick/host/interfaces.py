"""The interfaces of the core's peers: executor, store, fronts, recorder and the link to another process."""

from __future__ import annotations

from typing import Protocol

from lapispick import admission
from lapispick.handover import messages
from lapispick.host.requests import Request
from lapispick.host.store import StoreCall


class Executor(Protocol):
    """Runs requests; every method only queues a command."""

    def start_run(self, request_id: str, class_name: str, body: str, idempotent: bool) -> None:
        """Start a run; one that is not idempotent is never started again where its start may have arrived."""

    def cancel_run(self, request_id: str) -> None:
        """Cancel a run, or pause it where the settings say so."""

    def resume_run(self, request_id: str) -> None:
        """Resume a paused run."""

    def send_call_reply(self, request_id: str, body: str) -> None:
        """Hand a run the reply to its call."""

    def skip_call(self, request_id: str, notice_index: int) -> None:
        """Let a run go on without the call that this notice requested."""

    def request_gauges(self) -> None:
        """Request the gauges; they arrive as ``GaugesReported``."""

    def forget_run(self, request_id: str) -> None:
        """Expect no end of this run any more."""

    def start_health_check(self) -> str:
        """Request a deep health check; return the nonce of its ``HealthCheckCompleted``."""


class Store(Protocol):
    """Carries out downstream calls."""

    def start_call(self, request_id: str, body: str, timeout_ms: float, idempotent: bool) -> StoreCall:
        """Start a call, which ends with a ``CallCompleted``; one that is not idempotent is never repeated if it ran."""

    def cancel_call(self, call: StoreCall) -> None:
        """Abandon a call; nothing is reported of it."""


class Link(Protocol):
    """The connection to the other process of this worker host."""

    def send(self, message: messages.Message) -> None:
        """Queue a message."""

    def has_unsent(self) -> bool:
        """Tell whether something that was sent has not left this process."""

    def connections(self) -> int:
        """Count the clients' connections of this process."""

    def on_peer_usage(self, usage: messages.ResourceUsage) -> None:
        """Take note of the other process's resource usage."""

    def on_snapshot_complete(self) -> None:
        """Take note that the snapshot is complete."""

    def close(self) -> None:
        """Close the connection."""


class Recorder(Protocol):
    """Records the decision module's steps; no method waits for a disk."""

    def begin(self, settings: admission.Settings, seed: int, now: float) -> None:
        """Start recording with the module's settings, seed and clock (ms)."""

    def record_step(self, now: float, events: list[admission.Event], actions: list[admission.Action]) -> None:
        """Record one step."""

    def record_arrival(self, number: int, request: Request) -> None:
        """Record a request's attributes that the module does not see."""

    def record_answer(self, number: int, kind: str, age: float) -> None:
        """Record a final answer, ``age`` ms after the request reached the machine."""

    def record_occurrence(self, what: str, details: str = "") -> None:
        """Record an operator's action, or what the module took over."""


class Front(Protocol):
    """Accepts clients and passes their requests to the core."""

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Close connections that carried nothing for this long."""

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown."""

    def is_flushed(self) -> bool:
        """Tell whether all answers were handed to the operating system."""
