"""Graceful shutdown: serves until shortly before the process is stopped, then closes what is open."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from lapispick.host import events
from lapispick.host.logs import log
from lapispick.host.streams import GRACEFUL_CLOSE_S

if TYPE_CHECKING:
    from lapispick.host.config import Config
    from lapispick.host.core import Core
    from lapispick.host.handover.service import Handover
    from lapispick.host.jsonrpc.front import JsonRpcFront
    from lapispick.host.members.service import MembersService
    from lapispick.host.recorder import Recorder
    from lapispick.host.scheduler import EventLoop

LOG = "host"
LISTENER_CLOSE_MARGIN_S = 0.4  # before the stop; until then new connections are accepted and sent a goaway
ANSWER_MARGIN_S = 0.05  # before the stop; all requests are answered and handed over by then
CLIENT_CLOSE_MARGIN_S = 0.12  # before the stop; until then clients may close their side of a connection
ANSWER_POLL_S = 0.01
HANDOVER_POLL_S = 0.02
CLIENT_CLOSE_POLL_S = 0.005
# In an upgrade, the process ends at the latest HANDOVER_MARGIN_MS after the longest deadline of a class, of which at
# most MAX_HANDOVER_DEADLINE_MS count.
MAX_HANDOVER_DEADLINE_MS = 3000.0
HANDOVER_MARGIN_MS = 700.0
GOAWAY_CROSSING_S = 0.4  # requests that clients sent before they received the goaway have been read by then


class GracefulShutdown:
    """Ends the event loop once all received requests are answered, or shortly before the process is stopped."""

    def __init__(
        self,
        loop: EventLoop,
        config: Config,
        core: Core,
        gateways: JsonRpcFront,
        members: MembersService | None,
        handover: Handover | None,
        recorder: Recorder | None,
    ) -> None:
        self._loop = loop
        self._config = config
        self._core = core
        self._gateways = gateways
        self._members = members
        self._handover = handover
        self._recorder = recorder

    def run(self) -> None:
        """Shut down; returns when the event loop is told to stop."""
        if self._members is not None:
            self._members.leave()
        if self._handover is not None and self._handover.peer_serves:
            self._finish_beside_successor(self._handover)
        else:
            self._serve_until_stop()

    def _stop_ms(self) -> float:
        """Return the time until the platform kills this process, in ms; it is shorter in an upgrade."""
        if self._handover is None or not self._handover.linked:
            return self._config.stop_ms
        longest_deadline_ms = max(c.deadline_ms for c in self._config.admission_settings.classes)
        return min(self._config.stop_ms, min(longest_deadline_ms, MAX_HANDOVER_DEADLINE_MS) + HANDOVER_MARGIN_MS)

    def _serve_until_stop(self) -> None:
        """Accept connections until shortly before the stop, and end once all received requests are answered."""
        stop_ms = self._stop_ms()
        self._core.post(events.ShutdownRequested(stop_ms))
        stop_at = time.monotonic() + stop_ms / 1000
        self._loop.sleep(max(0.0, stop_at - LISTENER_CLOSE_MARGIN_S - time.monotonic()))
        self._gateways.close_listener()
        self._loop.sleep(LISTENER_CLOSE_MARGIN_S / 2)  # meanwhile the requests of the last connections are read
        while True:
            # Sleep at least once, even if the shutdown is late, so that requests not yet read are read.
            self._loop.sleep(ANSWER_POLL_S)
            if time.monotonic() >= stop_at - ANSWER_MARGIN_S or self._all_answered():
                break
        self._close_and_stop(stop_at)

    def _finish_beside_successor(self, handover: Handover) -> None:
        """End once all requests received here are answered; the other process of this worker host continues."""
        stop_ms = self._stop_ms()
        self._core.post(events.ShutdownRequested(stop_ms, handed_over=True))
        self._gateways.close_listener(handover.listener_shared)
        began = time.monotonic()
        stop_at = began + stop_ms / 1000
        while time.monotonic() < stop_at - ANSWER_MARGIN_S:
            self._loop.sleep(HANDOVER_POLL_S)
            if time.monotonic() > began + GOAWAY_CROSSING_S and self._all_answered():
                break
        self._close_and_stop(stop_at)

    def _all_answered(self) -> bool:
        """Return True if all received input is read and answered, and the operating system has the answers."""
        return (
            self._core.unanswered == 0
            and self._gateways.is_idle()
            and all(front.is_flushed() for front in self._core.peers.fronts)
        )

    def _close_and_stop(self, stop_at: float) -> None:
        """Close connections, the link to the other process and the trace, in this order, and stop the loop."""
        # No request is read from here on: it would be lost, or run after the last message to the other process. The
        # wait lets clients receive answers in transit; if the process ended with unread input, a reset would drop them.
        self._gateways.close_connections()
        close_by = min(stop_at - CLIENT_CLOSE_MARGIN_S, time.monotonic() + GRACEFUL_CLOSE_S)
        while time.monotonic() < close_by and not self._gateways.all_closed():
            self._loop.sleep(CLIENT_CLOSE_POLL_S)
        if self._handover is not None:
            self._handover.finish()
        if self._recorder is not None:
            self._recorder.close(stop_at - time.monotonic())
        log(LOG, logging.INFO, "ended", unanswered=self._core.unanswered)
        self._loop.stop()
