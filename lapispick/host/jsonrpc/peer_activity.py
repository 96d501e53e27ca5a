"""Activity of the peer of a connection, by which the connection may be closed."""

from __future__ import annotations

from lapispick.host.connection_eviction import ConnectionState, is_overdue
from lapispick.host.streams import Stream

STALLED_READER_S = 3.0  # a reader that has acknowledged no data for this long may be evicted


class PeerActivity:
    """Times at which the peer of a connection sent data, by the active time of the loop, and whether it was valid."""

    __slots__ = (
        "_stream",
        "_was_overdue",
        "accepted_at",
        "has_sent_valid_message",
        "last_used_at",
        "message_started_at",
        "protocol_error_count",
    )

    def __init__(self, stream: Stream) -> None:
        self.accepted_at = self.last_used_at = stream.loop.active_time()
        self.message_started_at = 0.0  # when an incomplete message started; 0 = there is none
        self.has_sent_valid_message = False
        self.protocol_error_count = 0  # since the last served request
        self._stream = stream
        self._was_overdue = False  # at an earlier check

    def state(self, has_requests: bool) -> ConnectionState:
        """Return the state that decides on eviction.

        ``has_requests`` is True if some requests are not answered yet.
        """
        stream = self._stream
        has_line = stream.has_line()
        has_incomplete_message = stream.unread_bytes > 0 and not has_line
        is_stalled = stream.stalled_s() > STALLED_READER_S
        message_started_at = 0.0
        if has_incomplete_message:
            message_started_at = self.message_started_at or stream.last_received_at
        return ConnectionState(
            self.accepted_at,
            self.last_used_at,
            stream.last_received_at,
            stream.receive_count,
            message_started_at,
            # A complete message that is not processed yet counts as a request.
            has_requests or has_line or (stream.unsent_bytes > 0 and not is_stalled),
            self.has_sent_valid_message,
            self.protocol_error_count > 0 or stream.closing or is_stalled,
        )

    def is_overdue(self, has_requests: bool, now: float) -> bool:
        """Return True if the peer has sent nothing, or has left a message incomplete, for too long."""
        stream = self._stream
        if self.message_started_at and not stream.unread_bytes:
            self.message_started_at = 0.0
        elif not self.message_started_at and stream.unread_bytes and not stream.has_line():
            self.message_started_at = now
        if self.has_sent_valid_message and not (self.message_started_at or stream.unsent_bytes):
            return False
        if not is_overdue(self.state(has_requests), now):  # ``state`` also samples the progress of a slow reader
            return False
        # Input in the kernel's buffer may be unread because this host was delayed: the peer gets one more check.
        has_input = not self._was_overdue and stream.has_pending_input()
        self._was_overdue = True
        return not has_input
