"""A client of the store over HTTP/1.1, with one call at a time on each connection and reuse of idle connections."""

from __future__ import annotations

import binascii
import logging
import time
from collections import deque
from collections.abc import Callable

import msgspec
from greenlet import greenlet

from lapispick.admission import Outcome
from lapispick.handover import budget
from lapispick.host import events
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.store_replies import (
    MAX_HEADER_LINE_BYTES,
    OK_STATUS,
    MalformedReplyError,
    Reply,
    ReplyReader,
    outcome_of_reply,
)
from lapispick.host.streams import LineTooLongError, Stream, StreamClosedError, connect

LOG = "store"
# The store closes idle connections after 10 s. A call that is sent while the store closes its connection has an unknown
# outcome.
MAX_IDLE_S = 4.0
# The fraction of the connections for calls that may be idle. A connection settles for SETTLE_S before it is reused: at
# 650 calls a second 20 are settling at any time, and with a lower limit each further call would open a connection.
MAX_IDLE_FRACTION = 0.5
SETTLE_S = 0.03  # by then surplus bytes after a reply have arrived, which would be read as the next reply
CONNECT_TIMEOUT_S = 1.0
MAX_RECEIVE_BYTES = 16 * 1024  # of one read
MAX_CALLS_PER_CONNECTION = 100  # bounds the memory for the replies that a connection brought
EQUAL_REPLIES_PAUSE_S = 600.0  # after equal replies to two calls, each call gets a connection of its own for so long


class StoreConnection:
    """Connection to the store, with the replies that it brought.

    HTTP/1.1 has no number that ties a reply to its call, so a copy of an earlier reply that arrives during a call looks
    like the call's reply. A reply that this connection brought before is therefore not trusted.
    """

    __slots__ = ("_reply_digests", "stream")

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self._reply_digests: set[int] = set()

    def add_reply(self, reply: Reply) -> bool:
        """Remember a reply; return False if the connection brought an equal one before."""
        digest = reply.digest()
        if digest in self._reply_digests:
            return False
        self._reply_digests.add(digest)
        return True

    def is_reusable(self, reply: Reply) -> bool:
        """Return True if another call may be made after this reply.

        Replies without a result are alike, so that copies of them could not be told.
        """
        return (
            reply.status == OK_STATUS
            and reply.keeps_connection()
            and len(self._reply_digests) < MAX_CALLS_PER_CONNECTION
            and self.stream.is_idle()  # surplus bytes would be read as the next reply
        )


class StoreCall:
    """One downstream call."""

    __slots__ = (
        "address",
        "body",
        "connection",
        "ended",
        "idempotent",
        "request_id",
        "reuses_connection",
        "started_at",
        "task",
        "timeout_s",
    )

    def __init__(self, request_id: str, body: str, timeout_s: float, idempotent: bool) -> None:
        self.request_id = request_id
        self.body = body  # base64
        self.timeout_s = timeout_s
        self.idempotent = idempotent  # the call may be made twice
        self.reuses_connection = False  # an earlier call was made on its connection
        self.started_at = time.monotonic()
        self.ended = False
        self.connection: StoreConnection | None = None
        self.address: tuple[str, int] | None = None  # of the store that the call was sent to
        self.task: greenlet | None = None


class CallResult(msgspec.Struct):
    """The outcome of a call, and whether its connection may be reused."""

    outcome: Outcome
    body: bytes = b""
    connection_reusable: bool = False


class IdleConnections:
    """Connections without a call; the most recently used one is taken first."""

    __slots__ = ("_connections", "_loop", "_sweep_scheduled")

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._connections: deque[tuple[float, StoreConnection]] = (
            deque()
        )  # with the start of their idle time, oldest first
        self._sweep_scheduled = False

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: StoreConnection) -> None:
        """Add a connection whose call has just ended."""
        self._connections.append((time.monotonic(), connection))
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            self._loop.call_later(MAX_IDLE_S / 2, self._sweep)

    def take(self) -> StoreConnection | None:
        """Remove and return a settled, usable connection, or None; close the unusable ones that are found first."""
        now, settling, usable = time.monotonic(), [], None
        while self._connections and usable is None:
            idle_since, connection = self._connections.pop()
            if now - idle_since < SETTLE_S:
                settling.append((idle_since, connection))
            elif now - idle_since < MAX_IDLE_S and connection.stream.is_idle():
                usable = connection
            else:
                connection.stream.close()
        self._connections.extend(reversed(settling))
        return usable

    def close_oldest(self) -> None:
        """Close the connection that has been idle for the longest time."""
        self._connections.popleft()[1].stream.close()

    def close_all(self) -> None:
        """Close all connections."""
        while self._connections:
            self._connections.pop()[1].stream.close()

    def _sweep(self) -> None:
        min_idle_since = time.monotonic() - MAX_IDLE_S
        while self._connections and self._connections[0][0] < min_idle_since:
            self.close_oldest()
        self._sweep_scheduled = bool(self._connections)
        if self._sweep_scheduled:
            self._loop.call_later(MAX_IDLE_S / 2, self._sweep)


class StoreClient:
    """Makes downstream calls and posts the end of each call that was not cancelled."""

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int] | None,
        post: Callable[[events.CallCompleted], None],
        max_calls: int,
    ) -> None:
        self._loop = loop
        self._address = address
        self.post = post
        self._max_calls = max_calls
        self.peer_connected = False  # to another process of this worker host, which shares the connection limit
        self._idle = IdleConnections(loop)
        self._active_calls = 0
        self._reuses_connections_from = 0.0  # monotonic s

    @property
    def _max_connections(self) -> int:
        return budget.max_calls(self._max_calls, self.peer_connected)

    def start_call(self, request_id: str, body: str, timeout_ms: float, idempotent: bool) -> StoreCall:
        """Start a call with a base64 body; a call that is not idempotent is sent at most once."""
        call = StoreCall(request_id, body, timeout_ms / 1000, idempotent)
        call.task = self._loop.spawn(self._run, call)
        return call

    def cancel_call(self, call: StoreCall) -> None:
        """Abandon a call: close its connection and post nothing."""
        if call.ended:
            return
        call.ended = True
        if call.connection is not None:
            call.connection.stream.close()
        if call.task is not None:
            self._loop.kill(call.task)

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Send new calls to a new address, or fail them if it is None; started calls keep their connection."""
        if address != self._address:
            self._address = address
            self._idle.close_all()

    def _run(self, call: StoreCall) -> None:
        if call.ended:
            return
        result = CallResult(Outcome.ERROR)
        self._active_calls += 1
        try:
            result = self._exchange(call)
        finally:
            self._active_calls -= 1
            if call.connection is not None and not (result.connection_reusable and not call.ended):
                call.connection.stream.close()
        if call.ended:
            return
        call.ended = True
        if call.connection is not None and result.connection_reusable:
            self._keep_idle(call.connection, call.address)
        # Rounded to the microsecond, as further digits are noise.
        duration_ms = round((time.monotonic() - call.started_at) * 1000, 3)
        body = binascii.b2a_base64(result.body, newline=False).decode()
        self.post(events.CallCompleted(call, result.outcome, duration_ms, body))

    def _exchange(self, call: StoreCall, new_connection: bool = False) -> CallResult:
        deadline = call.started_at + call.timeout_s
        try:
            body = binascii.a2b_base64(call.body, strict_mode=True)
        except binascii.Error:
            return CallResult(Outcome.ERROR)
        try:
            call.connection = connection = self._connection_for(call, new_connection)
        except OSError as err:  # nothing was sent, so no call ran
            log(LOG, logging.WARNING, "connect-failed", error=err)
            return CallResult(Outcome.CONNECT_FAILED)
        stream = connection.stream
        stream.write(self._request_head(call, len(body), deadline) + body)
        try:
            reply = ReplyReader(stream, deadline).read()
        except TimeoutError:
            return CallResult(Outcome.TIMEOUT)
        except StreamClosedError:
            if call.reuses_connection and not stream.received_bytes:
                # The store closed the idle connection before or while the call was written. Only idempotent calls
                # reuse a connection, so the call may be repeated.
                call.reuses_connection, call.connection = False, None
                return self._exchange(call, new_connection=True)
            return CallResult(Outcome.RESET)
        except (MalformedReplyError, LineTooLongError) as err:
            log(LOG, logging.WARNING, "reply-malformed", error=err)
            return CallResult(Outcome.ERROR)
        if not connection.add_reply(reply):
            return self._on_equal_reply(call, reply)
        return CallResult(outcome_of_reply(reply.status, reply.headers), reply.body, connection.is_reusable(reply))

    def _on_equal_reply(self, call: StoreCall, reply: Reply) -> CallResult:
        """End a call whose reply equals an earlier one of its connection, and may be a copy of that one.

        The call has been made, so it is the decision module that decides whether it is made again. It is idempotent, as
        are all calls that reuse a connection.
        """
        log(LOG, logging.WARNING, "reply-equal", request=call.request_id, status=reply.status)
        self._idle.close_all()
        self._reuses_connections_from = time.monotonic() + EQUAL_REPLIES_PAUSE_S
        return CallResult(Outcome.RESET)

    @staticmethod
    def _request_head(call: StoreCall, body_bytes: int, deadline: float) -> bytes:
        assert call.address is not None
        host, port = call.address
        wait_ms = max(1, int((deadline - time.monotonic()) * 1000))
        head = (
            f"POST /query HTTP/1.1\r\nHost: {host}:{port}\r\nX-For-Request: {call.request_id}\r\n"
            f"X-Wait-Ms: {wait_ms}\r\nContent-Length: {body_bytes}\r\n\r\n"
        )
        return head.encode()

    def _connection_for(self, call: StoreCall, new_connection: bool) -> StoreConnection:
        """Take an idle connection or open one; raises ``OSError``, in which case nothing was sent."""
        call.address = self._address
        if call.address is None:
            raise OSError("no address of a store is configured")
        # The store may reset a connection because it was idle, or in place of a reply. A call that is not idempotent
        # gets a new connection, so that a reset means that the call may have run.
        if not new_connection and call.idempotent and (connection := self._idle.take()) is not None:
            call.reuses_connection, connection.stream.received_bytes = True, 0
            return connection
        if self._active_calls > self._max_connections:
            raise OSError(f"all {self._max_connections} connections for calls are in use")
        while self._idle and len(self._idle) + self._active_calls > self._max_connections:
            self._idle.close_oldest()
        try:
            stream = connect(
                self._loop,
                call.address,
                min(CONNECT_TIMEOUT_S, call.timeout_s),
                max_line_bytes=MAX_HEADER_LINE_BYTES,
                max_receive_bytes=MAX_RECEIVE_BYTES,
            )
        except OSError:
            if call.address == self._address:
                raise
            return self._connection_for(call, new_connection)  # the address changed; nothing was sent to the former one
        return StoreConnection(stream)

    def _keep_idle(self, connection: StoreConnection, address: tuple[str, int] | None) -> None:
        is_full = len(self._idle) + self._active_calls >= self._max_connections
        if address != self._address or is_full or time.monotonic() < self._reuses_connections_from:
            connection.stream.close()
            return
        if len(self._idle) >= self._max_connections * MAX_IDLE_FRACTION:
            self._idle.close_oldest()
        self._idle.add(connection)
