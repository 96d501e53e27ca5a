"""Answers health checks and reports the host's health to the service registry."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lapispick import admission
from lapispick.host import events
from lapispick.host.core.answers import AnswerSender
from lapispick.host.core.peers import Peers
from lapispick.host.health import HealthState
from lapispick.host.logs import log

LOG = "core"
MAX_OPEN_CHECKS = 64  # deep checks that the executor has not answered; at this number the host counts as unhealthy


class HealthReporter:
    """The health state of the host, and the deep health checks that the executor has not answered."""

    def __init__(self, answers: AnswerSender, peers: Peers) -> None:
        self._answers = answers
        self._peers = peers
        self._open_checks: dict[str, events.HealthCheckReceived] = {}
        self._answer_from_state = True  # deep checks cause no work at the executor
        self.state = HealthState()
        self.drain_changed_at_ms = 0.0  # of the last drain call, on the monotonic clock; 0 = there was none
        # Called with whether the service registry should list this host.
        self.on_listed: Callable[[bool], None] = lambda listed: None

    def report(self) -> None:
        """Report to the service registry whether to list this host."""
        self.on_listed(self.state.listed)

    def set_health(self, action: admission.SetHealth) -> None:
        """Set the health, and how health checks are answered, as the decision module decided."""
        self.state.module_healthy = action.healthy
        self._answer_from_state = action.cached
        self.report()

    def set_draining(self, draining: bool, changed_at_ms: float) -> None:
        """Begin or end a drain, and record it; has no effect if a call after this time has been applied already."""
        if changed_at_ms < self.drain_changed_at_ms:
            return
        self.drain_changed_at_ms = changed_at_ms
        if draining == self.state.draining:
            return
        self.state.draining = draining
        event_name = "drain-on" if draining else "drain-off"
        if self._peers.recorder is not None:
            self._peers.recorder.record_external_event(event_name)
        log(LOG, logging.INFO, event_name, unanswered=self._answers.unanswered)
        self.report()

    def on_health_check_received(self, event: events.HealthCheckReceived, module_events: list[admission.Event]) -> None:
        """Answer a health check; a deep one is sent to the executor if the decision module requires it."""
        healthy = self.state.healthy and len(self._open_checks) < MAX_OPEN_CHECKS
        if event.deep and not self._answer_from_state and healthy:
            self._open_checks[self._peers.executor.start_health_check()] = event
        else:
            event.reply(healthy, self._answers.backpressure)

    def on_health_check_completed(
        self, event: events.HealthCheckCompleted, module_events: list[admission.Event]
    ) -> None:
        """Answer a deep health check with the executor's result."""
        if (check := self._open_checks.pop(event.nonce, None)) is not None:
            check.reply(event.healthy and self.state.healthy, self._answers.backpressure)
