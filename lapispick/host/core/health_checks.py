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
MAX_OPEN_CHECKS = 64  # deep checks that the executor has not answered; with more the host is unhealthy


class HealthReporter:
    """Owns the state of health and the deep health checks under way."""

    def __init__(self, answers: AnswerSender, peers: Peers) -> None:
        self._answers = answers
        self._peers = peers
        self._open_checks: dict[str, events.HealthCheckReceived] = {}
        self._answer_from_state = True  # no work for each check
        self.state = HealthState()
        # Is notified of whether the service registry should list this host.
        self.on_listed: Callable[[bool], None] = lambda listed: None

    def report(self) -> None:
        """Report to the service registry."""
        self.on_listed(self.state.listed)

    def set_health(self, action: admission.SetHealth) -> None:
        """Answer health checks as the module orders."""
        self.state.module_healthy = action.healthy
        self._answer_from_state = action.cached
        self.report()

    def set_draining(self, draining: bool) -> None:
        """Begin or end a drain."""
        if draining == self.state.draining:
            return
        self.state.draining = draining
        name = "drain-on" if draining else "drain-off"
        if self._peers.recorder is not None:
            self._peers.recorder.record_external_event(name)
        log(LOG, logging.INFO, name, unanswered=self._answers.owed)
        self.report()

    def on_health_check_received(self, event: events.HealthCheckReceived, module_events: list[admission.Event]) -> None:
        """Answer a health check, a deep one by the executor's result where the module orders so."""
        healthy = self.state.healthy and len(self._open_checks) < MAX_OPEN_CHECKS
        if event.deep and not self._answer_from_state and healthy:
            self._open_checks[self._peers.executor.start_health_check()] = event
        else:
            event.reply(healthy, self._answers.backpressure)

    def on_health_check_completed(
        self, event: events.HealthCheckCompleted, module_events: list[admission.Event]
    ) -> None:
        """Answer a deep health check."""
        if (check := self._open_checks.pop(event.nonce, None)) is not None:
            check.reply(event.healthy and self.state.healthy, self._answers.backpressure)
