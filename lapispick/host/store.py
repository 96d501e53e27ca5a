"""A client of the store over HTTP/1.1, with a connection of its own for each call.

HTTP/1.1 has no number that ties a reply to its call; only the order of replies on a connection does. Bytes that follow
a reply, late or cut, would be read as a part of the next reply, which may be that of another tenant's call. So no
connection is used for a second call.
"""

from __future__ import annotations

import binascii
import logging
import time
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
    MalformedReplyError,
    ReplyReader,
    outcome_of_reply,
)
from lapispick.host.streams import LineTooLongError, Stream, StreamClosedError, connect

LOG = "store"
CONNECT_TIMEOUT_S = 1.0
MAX_RECEIVE_BYTES = 16 * 1024  # of one read


class StoreCall:
    """One downstream call."""

    __slots__ = ("address", "body", "ended", "request_id", "started_at", "stream", "task", "timeout_s")

    def __init__(self, request_id: str, body: str, timeout_s: float) -> None:
        self.request_id = request_id
        self.body = body  # base64
        self.timeout_s = timeout_s
        self.started_at = time.monotonic()
        self.ended = False
        self.stream: Stream | None = None
        self.address: tuple[str, int] | None = None  # of the store that the call was sent to
        self.task: greenlet | None = None


class CallResult(msgspec.Struct):
    """The outcome of a call, with the body of the reply."""

    outcome: Outcome
    body: bytes = b""


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
        self._active_calls = 0

    @property
    def _max_connections(self) -> int:
        return budget.max_calls(self._max_calls, self.peer_connected)

    def start_call(self, request_id: str, body: str, timeout_ms: float) -> StoreCall:
        """Start a call with a base64 body; it is sent at most once."""
        call = StoreCall(request_id, body, timeout_ms / 1000)
        call.task = self._loop.spawn(self._run, call)
        return call

    def cancel_call(self, call: StoreCall) -> None:
        """Abandon a call: close its connection and post nothing."""
        if call.ended:
            return
        call.ended = True
        if call.stream is not None:
            call.stream.close()
        if call.task is not None:
            self._loop.kill(call.task)

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Send new calls to a new address, or fail them if it is None; started calls keep their connection."""
        self._address = address

    def _run(self, call: StoreCall) -> None:
        if call.ended:
            return
        result = CallResult(Outcome.ERROR)
        self._active_calls += 1
        try:
            result = self._exchange(call)
        finally:
            self._active_calls -= 1
            if call.stream is not None:
                call.stream.close()
        if call.ended:
            return
        call.ended = True
        # Rounded to the microsecond, as further digits are noise.
        duration_ms = round((time.monotonic() - call.started_at) * 1000, 3)
        body = binascii.b2a_base64(result.body, newline=False).decode()
        self.post(events.CallCompleted(call, result.outcome, duration_ms, body))

    def _exchange(self, call: StoreCall) -> CallResult:
        deadline = call.started_at + call.timeout_s
        try:
            body = binascii.a2b_base64(call.body, strict_mode=True)
        except binascii.Error:
            return CallResult(Outcome.ERROR)
        try:
            call.stream = stream = self._connect(call)
        except OSError as err:  # nothing was sent, so no call ran
            log(LOG, logging.WARNING, "connect-failed", error=err)
            return CallResult(Outcome.CONNECT_FAILED)
        stream.write(self._request_head(call, len(body), deadline) + body)
        try:
            reply = ReplyReader(stream, deadline).read()
        except TimeoutError:
            return CallResult(Outcome.TIMEOUT)
        except StreamClosedError:
            return CallResult(Outcome.RESET)
        except (MalformedReplyError, LineTooLongError) as err:
            log(LOG, logging.WARNING, "reply-malformed", error=err)
            return CallResult(Outcome.ERROR)
        stream.reset()  # a usual close would keep the port in use for a minute; there are 28,000 for all calls
        return CallResult(outcome_of_reply(reply.status, reply.headers), reply.body)

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

    def _connect(self, call: StoreCall) -> Stream:
        """Open a connection for a call; raises ``OSError``, in which case nothing was sent."""
        if self._active_calls > self._max_connections:
            raise OSError(f"all {self._max_connections} connections for calls are in use")
        while (address := self._address) is not None:
            call.address = address
            try:
                return connect(
                    self._loop,
                    address,
                    min(CONNECT_TIMEOUT_S, call.timeout_s),
                    max_line_bytes=MAX_HEADER_LINE_BYTES,
                    max_receive_bytes=MAX_RECEIVE_BYTES,
                )
            except OSError:
                if address == self._address:
                    raise
        raise OSError("no address of a store is configured")
