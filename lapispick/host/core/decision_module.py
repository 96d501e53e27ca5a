"""Starts the Controller, passes it events and carries out the actions that it returns."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from lapispick import admission
from lapispick.admission.controller import Controller
from lapispick.host import events
from lapispick.host.core.clock import Clock
from lapispick.host.core.peers import Peers
from lapispick.host.core.request_table import RequestTable
from lapispick.host.health import HealthState
from lapispick.host.logs import log

LOG = "core"
TIMER_RETRY_MS = 100.0  # delay until a timer fires again after the Controller failed to handle it

# Each handler accepts only the action type that it is registered for. The type of a table can't express this.
ActionHandlers = dict[type, Callable[[Any], None]]


class DecisionModule:
    """Owner of the Controller, which is created when the executor becomes ready."""

    def __init__(
        self,
        clock: Clock,
        settings: admission.Settings,
        seed: int,
        requests: RequestTable,
        health: HealthState,
        peers: Peers,
        action_handlers: ActionHandlers,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._seed = seed
        self._requests = requests
        self._health = health
        self._peers = peers
        self._action_handlers = action_handlers
        self.controller: Controller | None = None
        self._pending_estimates: admission.LearnedEstimates | None = None

    def on_executor_ready(self, event: events.ExecutorReady, module_events: list[admission.Event]) -> None:
        """Create the Controller, unless a shutdown was requested before; such a host never accepts a request."""
        if self.controller is not None or self._health.shutting_down:
            return
        gauges = (*admission.PEER_GAUGES, *self._settings.gauges)
        settings = msgspec.structs.replace(self._settings, warming_up=event.warming_up, gauges=gauges)
        started_at = self._clock.now - event.uptime_ms
        self.controller = Controller(settings, self._seed, started_at)
        if self._peers.recorder is not None:
            self._peers.recorder.begin(settings, self._seed, started_at)
        self._adopt_pending()
        self._health.ready = True
        log(LOG, logging.INFO, "ready", cold=event.warming_up, uptime_ms=event.uptime_ms)
        self.step([])

    def step(self, module_events: list[admission.Event]) -> None:
        """Pass events to the Controller and carry out the actions that it returns."""
        assert self.controller is not None
        now = self._clock.now
        try:
            actions = self.controller.step(now, module_events)
        except Exception:  # a fault of the Controller must not affect other requests
            logging.getLogger(LOG).exception("decision-module-failed")
            return self._fail_batch(module_events)
        if self._peers.recorder is not None:
            self._peers.recorder.record_step(now, module_events, actions)
        handlers = self._action_handlers
        for action in actions:
            handlers[type(action)](action)

    def _fail_batch(self, module_events: list[admission.Event]) -> None:
        """Fail the requests of a batch that the Controller failed to handle, and set the timers of the batch again."""
        for event in module_events:
            if type(event) is admission.RequestReceived and event.id in self._requests:
                self._action_handlers[admission.Fail](admission.Fail(event.id))
            elif type(event) is admission.TimerFired:
                self._action_handlers[admission.SetTimer](admission.SetTimer(TIMER_RETRY_MS, event.token))

    def learned(self) -> admission.LearnedEstimates | None:
        """Return the estimates that the Controller has learned, for the process that takes over."""
        return self.controller.learned_estimates() if self.controller is not None else None

    def adopt(self, learned: admission.LearnedEstimates | None) -> None:
        """Adopt the estimates of the other process, now or when the Controller is created."""
        self._pending_estimates = learned
        self._adopt_pending()

    def _adopt_pending(self) -> None:
        if self.controller is None or self._pending_estimates is None:
            return
        self.controller.adopt(self._pending_estimates)
        if self._peers.recorder is not None:  # a replay of the trace needs the estimates
            self._peers.recorder.record_external_event("adopted", msgspec.json.encode(self._pending_estimates).decode())
        self._pending_estimates = None
