"""Takes events from the queue, and passes each event and each action of the decision module to its handler."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import Any

from lapispick import admission
from lapispick.host import events
from lapispick.host.core.answers import AnswerSender
from lapispick.host.core.arrivals import MAX_OPEN_REQUESTS, ArrivalHandler
from lapispick.host.core.clock import Clock
from lapispick.host.core.completion import RequestCompletion
from lapispick.host.core.decision_module import ActionHandlers, DecisionModule
from lapispick.host.core.health_checks import HealthReporter
from lapispick.host.core.housekeeping import Housekeeper
from lapispick.host.core.idempotency import IdempotencyCoordinator
from lapispick.host.core.peer_sync import PeerSynchronizer
from lapispick.host.core.peers import Peers
from lapispick.host.core.request_table import RequestTable
from lapispick.host.core.runs import RunCoordinator
from lapispick.host.core.shutdown import ShutdownHandler
from lapispick.host.core.timers import GaugeCollector, ModuleTimers
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop, Queue
from lapispick.idempotency.table import DEFAULT_MAX_KEYS, DEFAULT_MAX_RESULT_BYTES

LOG = "core"

# Each handler accepts only the event type that it is registered for. The type of a table can't express this.
EventHandler = Callable[[Any, list[admission.Event]], None]


class Core:
    """The core of the worker host, which connects its parts; all events enter through ``post``."""

    def __init__(
        self,
        loop: EventLoop,
        settings: admission.Settings,
        seed: int,
        max_result_bytes: int = DEFAULT_MAX_RESULT_BYTES,
        max_open_requests: int = MAX_OPEN_REQUESTS,
        max_keys: int = DEFAULT_MAX_KEYS,
        class_names: Sequence[str] = (),
    ) -> None:
        self._settings = settings
        self._queue: Queue[events.Event] = Queue(loop)
        self._clock = clock = Clock()
        self.peers = peers = Peers()
        post = self.post
        self.requests = requests = RequestTable()
        class_names = class_names or [str(i) for i in range(len(settings.classes))]
        self.answers = answers = AnswerSender(clock, settings, class_names)
        self._completion = completion = RequestCompletion(clock, requests, answers, peers, post)
        self.idempotency = idempotency = IdempotencyCoordinator(
            clock, settings, requests, completion, post, max_result_bytes, max_keys
        )
        self.health = health = HealthReporter(answers, peers)
        self._runs = RunCoordinator(settings, requests, answers, completion, idempotency, peers, post)
        self.timers = ModuleTimers(loop, post)
        self.module = module = DecisionModule(
            clock, settings, seed, requests, health.state, peers, self._build_action_handlers()
        )
        self._arrivals = arrivals = ArrivalHandler(
            clock, settings, requests, answers, completion, idempotency, module, peers, max_open_requests
        )
        self._peer_sync = peer_sync = PeerSynchronizer(loop, clock, module, arrivals, idempotency, health, post)
        self._shutdown = ShutdownHandler(clock, answers, health, peer_sync, peers)
        self._gauges = GaugeCollector(peer_sync, peers)
        self._housekeeper = Housekeeper(loop, clock, requests, answers, completion, idempotency)
        self._event_handlers = self._build_event_handlers()

    def _build_action_handlers(self) -> ActionHandlers:
        return {
            admission.StartRun: self._runs.start,
            admission.CancelRun: self._runs.cancel,
            admission.Reject: self._completion.reject,
            admission.Fail: self._completion.fail,
            admission.StartCall: self._runs.start_call,
            admission.SkipCall: self._runs.skip_call,
            admission.Coalesce: self.idempotency.coalesce,
            admission.RetainKey: self.idempotency.retain,
            admission.ReleaseKey: self.idempotency.release,
            admission.SetHealth: self.health.set_health,
            admission.SetIdleTimeout: self._set_idle_timeout,
            admission.Advertise: self.answers.advertise,
            admission.SetTimer: self.timers.set_timer,
            admission.Log: lambda action: log("admission", logging.INFO, "admission-state", text=action.text),
        }

    def _build_event_handlers(self) -> dict[type, EventHandler]:
        return {
            events.RequestArrived: self._arrivals.on_request_arrived,
            events.ClientCancelled: self._arrivals.on_client_cancelled,
            events.HealthCheckReceived: self.health.on_health_check_received,
            events.HealthCheckCompleted: self.health.on_health_check_completed,
            events.ExecutorReady: self.module.on_executor_ready,
            events.RunCompleted: self._runs.on_run_completed,
            events.RunUnknown: self._runs.on_run_unknown,
            events.RunOutcomeUnknown: self._runs.on_run_outcome_unknown,
            events.CallRequested: self._runs.on_call_requested,
            events.CallReplyInDoubt: self._runs.on_call_reply_in_doubt,
            events.CallCompleted: self._runs.on_call_completed,
            events.ClaimDecided: self._runs.on_claim_decided,
            events.CoalescedRequestCompleted: self.idempotency.on_coalesced_completed,
            events.OwnerReleased: self.idempotency.on_owner_released,
            events.GaugesReported: self._gauges.on_gauges_reported,
            events.TimerDue: self._gauges.on_timer_due,
            events.PeerConnected: self._peer_sync.on_peer_connected,
            events.PeerMessage: self._peer_sync.on_peer_message,
            events.PeerDisconnected: self._peer_sync.on_peer_disconnected,
            events.SnapshotDue: self._peer_sync.on_snapshot_due,
            events.ShutdownRequested: self._shutdown.on_shutdown_requested,
            events.DrainChanged: self._shutdown.on_drain_changed,
        }

    @property
    def unanswered(self) -> int:
        """The number of requests that wait for their answer."""
        return self.answers.unanswered

    def post(self, event: events.Event) -> None:
        """Add an event to the queue."""
        self._queue.put(event)

    def serve(self) -> None:
        """Handle events in an endless loop; only the greenlet that runs this loop uses the Controller."""
        self._housekeeper.start()
        while True:
            batch = self._queue.take_all()
            self._clock.advance()
            module_events: list[admission.Event] = []
            for event in batch:
                try:
                    self._event_handlers[type(event)](event, module_events)
                except Exception:  # a fault in the handling of one event must not affect other requests
                    logging.getLogger(LOG).exception("event-handler-failed")
            if module_events and self.module.controller is not None:
                self.module.step(module_events)

    def _set_idle_timeout(self, action: admission.SetIdleTimeout) -> None:
        for front in self.peers.fronts:
            front.set_idle_timeout(action.timeout_ms or self._settings.idle_timeout_ms)
