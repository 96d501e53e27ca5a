"""The end of the process: it serves until shortly before it is stopped, then closes what is open."""

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
LISTENER_CLOSE_MARGIN_S = 0.4  # before the stop; until then connections are accepted, to be notified of the shutdown
ANSWER_MARGIN_S = 0.05  # before the stop; by then all is answered and handed over
CLIENT_CLOSE_MARGIN_S = 0.12  # before the stop; until then clients may close their side of a connection
ANSWER_POLL_S = 0.01
HANDOVER_POLL_S = 0.02
CLIENT_CLOSE_POLL_S = 0.005
# With a successor, the process ends this long after the longest deadline, of which no more than the maximum counts.
MAX_HANDOVER_DEADLINE_MS = 3000.0
HANDOVER_MARGIN_MS = 700.0
GOAWAY_CROSSING_S = 0.4  # requests that crossed the goaway of this process have been read by then


class GracefulShutdown:
    """Ends the event loop once all that was read is answered, or shortly before the process is stopped."""

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
        """Shut down; returns once the event loop was stopped."""
        if self._members is not None:
            self._members.leave()
        if self._handover is not None and self._handover.peer_serves:
            self._finish_beside_successor(self._handover)
        else:
            self._serve_until_stop()

    def _serve_until_stop(self) -> None:
        """Accept connections until shortly before the stop, and end once all that was read is answered."""
        stop_ms = self._config.stop_ms
        self._core.post(events.ShutdownRequested(stop_ms))
        stop_at = time.monotonic() + stop_ms / 1000
        self._loop.sleep(max(0.0, stop_at - LISTENER_CLOSE_MARGIN_S - time.monotonic()))
        self._gateways.close_listener()
        self._loop.sleep(LISTENER_CLOSE_MARGIN_S / 2)  # what the last connections sent is read meanwhile
        while True:
            self._loop.sleep(ANSWER_POLL_S)  # once at least, even after a delay: what is unread by now is still read
            if time.monotonic() >= stop_at - ANSWER_MARGIN_S or self._all_answered():
                break
        self._end(stop_at)

    def _finish_beside_successor(self, handover: Handover) -> None:
        """End once all that was read here is answered; the other process of this worker host continues."""
        longest_deadline_ms = max(c.deadline_ms for c in self._config.admission_settings.classes)
        handover_ms = min(longest_deadline_ms, MAX_HANDOVER_DEADLINE_MS) + HANDOVER_MARGIN_MS
        stop_ms = min(self._config.stop_ms, handover_ms)
        self._core.post(events.ShutdownRequested(stop_ms, handed_over=True))
        self._gateways.close_listener(handover.listener_shared)
        began = time.monotonic()
        stop_at = began + stop_ms / 1000
        while time.monotonic() < stop_at - ANSWER_MARGIN_S:
            self._loop.sleep(HANDOVER_POLL_S)
            if time.monotonic() > began + GOAWAY_CROSSING_S and self._all_answered():
                break
        self._end(stop_at)

    def _all_answered(self) -> bool:
        """Tell whether all that was received is read and answered, and the answers handed to the operating system."""
        return (
            self._core.unanswered == 0
            and self._gateways.is_idle()
            and all(front.is_flushed() for front in self._core.peers.fronts)
        )

    def _end(self, stop_at: float) -> None:
        """Close connections, the link to the other process and the trace, in this order, and stop the loop."""
        # Nothing is read from here on: it would be lost, or run after the last message to the other process. Clients
        # still receive what is on its way, which a process that ends with unread bytes would reset.
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
