"""The timers of the decision module, and the gauges that it gets when a timer fires."""

from __future__ import annotations

from collections.abc import Callable

from lapispick import admission
from lapispick.host import events
from lapispick.host.core.peer_sync import PeerSynchronizer
from lapispick.host.core.peers import Peers
from lapispick.host.scheduler import EventLoop


class ModuleTimers:
    """The timers of the decision module."""

    def __init__(self, loop: EventLoop, post: Callable[[events.Event], None]) -> None:
        self._loop = loop
        self._post = post

    def set_timer(self, action: admission.SetTimer) -> None:
        """Set a timer; when it fires, ``TimerDue`` is posted."""
        self._loop.call_later(action.delay_ms / 1000, self._post, events.TimerDue(action.token))


class GaugeCollector:
    """The latest gauges of the executor, which the decision module gets when a timer fires."""

    def __init__(self, peer_sync: PeerSynchronizer, peers: Peers) -> None:
        self._peer_sync = peer_sync
        self._peers = peers
        self._gauges: tuple[float, ...] = ()

    def on_gauges_reported(self, event: events.GaugesReported, module_events: list[admission.Event]) -> None:
        """Store the gauges for the next timer."""
        self._gauges = event.gauges

    def on_timer_due(self, event: events.TimerDue, module_events: list[admission.Event]) -> None:
        """Notify the decision module that a timer fired, with the gauges of the other process and of the executor."""
        usage = self._peer_sync.peer_usage
        gauges = (usage.runs, usage.memory_kb, usage.calls, *self._gauges)
        module_events.append(admission.TimerFired(event.token, gauges))
        self._peer_sync.exchange_usage()
        self._peers.executor.request_gauges()  # for the next timer; waiting here would delay answers that are due
