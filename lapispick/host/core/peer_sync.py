"""Synchronises this process with the other process of the same worker host during an upgrade."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from lapispick import admission
from lapispick.handover import messages
from lapispick.host import events
from lapispick.host.core.arrivals import ArrivalHandler
from lapispick.host.core.clock import Clock
from lapispick.host.core.decision_module import DecisionModule
from lapispick.host.core.health_checks import HealthReporter
from lapispick.host.core.idempotency import IdempotencyCoordinator
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.idempotency.ownership import Role

if TYPE_CHECKING:
    from lapispick.host.interfaces import Link

LOG = "core"
SHARED_LIMIT_FRACTION = 0.5  # of each limit that bounds memory, while two processes share one worker host
SNAPSHOT_PART_KEYS = 100  # keys sent at once
SNAPSHOT_PAUSE_S = 0.005  # between two parts
NO_USAGE = messages.ResourceUsage(0, 0.0, 0, 0)


class PeerSynchronizer:
    """Exchange of keys, resource usage and learned estimates with the other process, over a link."""

    def __init__(
        self,
        loop: EventLoop,
        clock: Clock,
        module: DecisionModule,
        arrivals: ArrivalHandler,
        idempotency: IdempotencyCoordinator,
        health: HealthReporter,
        post: Callable[[events.Event], None],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._module = module
        self._arrivals = arrivals
        self._idempotency = idempotency
        self._health = health
        self._post = post
        self._link: Link | None = None
        self._sent_usage: messages.ResourceUsage | None = None
        self.peer_usage = NO_USAGE  # last reported by the other process

    def _set_limit_fraction(self, fraction: float) -> None:
        """Set the limits that bound memory to this fraction of their maximum."""
        self._arrivals.set_limit_fraction(fraction)
        self._idempotency.set_limit_fraction(fraction)

    def announce_drain(self) -> None:
        """Notify the other process of the last drain call that this one knows."""
        if self._link is not None:
            self._link.send(messages.DrainChanged(self._health.state.draining, self._health.drain_changed_at_ms))

    def announce_shutdown(self) -> None:
        """Notify the other process that this one shuts down, and send it the learned estimates."""
        if self._link is not None:
            self._link.send(messages.ShutdownStarted(self._module.learned()))

    def exchange_usage(self) -> None:
        """Send the other process the resource usage of this one, and end claims that have waited too long."""
        ownership = self._idempotency.ownership
        controller = self._module.controller
        if self._link is not None and controller is not None:
            if not self._link.has_unsent():
                ownership.on_flushed()
            running, memory_kb, calls_in_flight = controller.usage()
            usage = messages.ResourceUsage(running, round(memory_kb), calls_in_flight, self._link.connections())
            if usage != self._sent_usage:
                self._sent_usage = usage
                self._link.send(usage)
        if ownership.expire_claims(self._clock.now) and self._link is not None:
            log(LOG, logging.WARNING, "peer-unresponsive")
            self._link.close()

    # Events.

    def on_peer_connected(self, event: events.PeerConnected, module_events: list[admission.Event]) -> None:
        """Share the keys and limits with the other process; the owner of the keys sends a snapshot of them."""
        self._link = event.link
        self._sent_usage = None
        ownership = self._idempotency.ownership
        ownership.send = event.link.send
        ownership.has_unsent = event.link.has_unsent
        ownership.on_peer_connected(Role.FOLLOWER if event.owns_keys else Role.OWNER)
        self._set_limit_fraction(SHARED_LIMIT_FRACTION)
        if self._health.drain_changed_at_ms:
            self.announce_drain()
        if not event.owns_keys:
            keys = [record.key for record in self._idempotency.table]
            self.on_snapshot_due(events.SnapshotDue(event.link, keys), module_events)

    def on_snapshot_due(self, event: events.SnapshotDue, module_events: list[admission.Event]) -> None:
        """Send the next part of the snapshot, if the previous one has left this process, and schedule the rest."""
        if event.link is not self._link:
            return
        keys = event.keys
        if not event.link.has_unsent():
            for message in self._idempotency.ownership.snapshot(keys[:SNAPSHOT_PART_KEYS]):
                event.link.send(message)
            keys = keys[SNAPSHOT_PART_KEYS:]
        if keys:
            self._loop.call_later(SNAPSHOT_PAUSE_S, self._post, events.SnapshotDue(event.link, keys))
        else:
            event.link.send(messages.SnapshotComplete(self._module.learned()))

    def on_peer_message(self, event: events.PeerMessage, module_events: list[admission.Event]) -> None:
        """Handle a message of the other process."""
        if event.link is not self._link:
            return
        match event.message:
            case messages.ResourceUsage():
                self.peer_usage = event.message
                event.link.on_peer_usage(event.message)
            case messages.DrainChanged(draining, changed_at_ms):
                self._health.set_draining(draining, changed_at_ms or self._health.drain_changed_at_ms)
            case messages.SnapshotComplete(learned):
                self._module.adopt(learned)
                event.link.on_snapshot_complete()
            case messages.ShutdownStarted(learned):
                self._module.adopt(learned)
            case _:
                self._idempotency.ownership.receive(event.message)

    def on_peer_disconnected(self, event: events.PeerDisconnected, module_events: list[admission.Event]) -> None:
        """Continue without the other process."""
        if event.link is not self._link:
            return
        self._link = None
        self.peer_usage = NO_USAGE
        self._idempotency.ownership.on_peer_lost(event.peer_ended, event.ended_at_s * 1000)
        self._set_limit_fraction(1.0)
