"""Starts the Controller, hands it the events and has its actions carried out."""

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
TIMER_RETRY_MS = 100.0  # until a timer goes off again that the module failed to handle

# Each handler takes the action type that it is registered for, which a table can't express.
ActionHandlers = dict[type, Callable[[Any], None]]


class DecisionModule:
    """Owns the Controller; there is none before the executor is ready."""

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
        self._adoptable: admission.LearnedEstimates | None = None

    def on_executor_ready(self, event: events.ExecutorReady, module_events: list[admission.Event]) -> None:
        """Start the module; a host that was asked to shut down before that never accepts a request."""
        if self.controller is not None or self._health.shutting_down:
            return
        gauges = (*admission.PEER_GAUGES, *self._settings.gauges)
        settings = msgspec.structs.replace(self._settings, warming_up=event.warming_up, gauges=gauges)
        started_at = self._clock.now - event.uptime_ms
        self.controller = Controller(settings, self._seed, started_at)
        if self._peers.recorder is not None:
            self._peers.recorder.begin(settings, self._seed, started_at)
        self._adopt()
        self._health.ready = True
        log(LOG, logging.INFO, "ready", cold=event.warming_up, uptime_ms=event.uptime_ms)
        self.step([])

    def step(self, module_events: list[admission.Event]) -> None:
        """Hand the module what happened and carry out what it orders."""
        assert self.controller is not None
        now = self._clock.now
        try:
            actions = self.controller.step(now, module_events)
        except Exception:  # guards all other requests against a fault of the module
            logging.getLogger(LOG).exception("decision-module-failed")
            return self._fail_batch(module_events)
        if self._peers.recorder is not None:
            self._peers.recorder.record_step(now, module_events, actions)
        handlers = self._action_handlers
        for action in actions:
            handlers[type(action)](action)

    def _fail_batch(self, module_events: list[admission.Event]) -> None:
        """Fail the requests of a batch that the module failed to handle, and set its timer again."""
        for event in module_events:
            if type(event) is admission.RequestReceived and event.id in self._requests:
                self._action_handlers[admission.Fail](admission.Fail(event.id))
            elif type(event) is admission.TimerFired:
                self._action_handlers[admission.SetTimer](admission.SetTimer(TIMER_RETRY_MS, event.token))

    def learned(self) -> admission.LearnedEstimates | None:
        """Return what the module has learned, for the process that takes over."""
        return self.controller.learned_estimates() if self.controller is not None else None

    def adopt(self, learned: admission.LearnedEstimates | None) -> None:
        """Begin with what the other process learned, as soon as the module has started."""
        self._adoptable = learned
        self._adopt()

    def _adopt(self) -> None:
        if self.controller is None or self._adoptable is None:
            return
        self.controller.adopt(self._adoptable)
        if self._peers.recorder is not None:  # or its trace would not replay
            self._peers.recorder.record_external_event("adopted", msgspec.json.encode(self._adoptable).decode())
        self._adoptable = None
