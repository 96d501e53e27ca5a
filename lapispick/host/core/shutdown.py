"""Handles drains by operators and the graceful shutdown."""

from __future__ import annotations

import logging

from lapispick import admission
from lapispick.host import events
from lapispick.host.core.answers import AnswerSender
from lapispick.host.core.clock import Clock
from lapispick.host.core.health_checks import HealthReporter
from lapispick.host.core.peer_sync import PeerSynchronizer
from lapispick.host.core.peers import Peers
from lapispick.host.logs import log

LOG = "core"


class ShutdownHandler:
    """Handler of drains and shutdowns: notifies decision module, other process, service registry and fronts."""

    def __init__(
        self,
        clock: Clock,
        answers: AnswerSender,
        health: HealthReporter,
        peer_sync: PeerSynchronizer,
        peers: Peers,
    ) -> None:
        self._clock = clock
        self._answers = answers
        self._health = health
        self._peer_sync = peer_sync
        self._peers = peers

    def on_drain_changed(self, event: events.DrainChanged, module_events: list[admission.Event]) -> None:
        """Begin or end a drain in this process and in the other one."""
        self._health.set_draining(event.draining, event.changed_at_ms)
        self._peer_sync.announce_drain()

    def on_shutdown_requested(self, event: events.ShutdownRequested, module_events: list[admission.Event]) -> None:
        """Begin the graceful shutdown; a second request has no effect."""
        state = self._health.state
        if state.shutting_down:
            return
        state.shutting_down = True
        state.handed_over = event.handed_over
        log(
            LOG,
            logging.INFO,
            "shutdown-started",
            stop_ms=event.stop_ms,
            unanswered=self._answers.unanswered,
            handed_over=event.handed_over,
        )
        module_events.append(admission.ShutdownRequested(self._clock.now + event.stop_ms, event.handed_over))
        self._peer_sync.announce_shutdown()
        self._health.report()
        for front in self._peers.fronts:
            front.begin_shutdown()
