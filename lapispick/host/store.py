"""The store's client: HTTP/1.1, one call at a time on a connection, connections kept for a short while."""

from __future__ import annotations

import base64
import binascii
import logging
import re
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import greenlet

from lapispick.admission import Outcome
from lapispick.handover import budget
from lapispick.host import events
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import LineTooLongError, Stream, StreamClosedError, connect

LOG = "store"
# s; the store closes idle connections at 10 s, and a call that meets such a close has proved nothing
KEEP_S = 4.0
# of the connections; so many may lie idle. One is used again SETTLE_S after its last reply: at 650 calls a second 20
# are settling at any time, and where fewer are kept each further call pays for a new one
KEEP_PART = 0.5
SETTLE_S = 0.03  # s; what may still follow a good reply, and would pass for the next one, has come by then
CONNECT_S = 1.0  # s; the most for opening a connection
LONGEST_HEAD = 8192  # bytes of one header line
HEADERS_MOST = 64
LONGEST_BODY = 64 * 1024  # bytes; results hold up to 4 KiB
CHUNK = 16 * 1024  # bytes read at once
INTERIM_MOST = 16  # 1xx heads before a reply
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # what a header's name is made of


class MalformedReplyError(Exception):
    """The reply does not follow HTTP/1.1."""


class Ticket:
    """One call."""

    __slots__ = ("address", "began", "body", "done", "once", "reused", "stream", "tag", "timeout", "worker")

    def __init__(self, tag: str, body: str, timeout_ms: float, once: bool) -> None:
        self.tag, self.body, self.timeout, self.once = tag, body, timeout_ms / 1000, once
        self.reused = False  # on a connection that carried a call before
        self.began, self.done = time.monotonic(), False
        self.stream: Stream | None = None
        self.address: tuple[str, int] | None = None  # where it was made
        self.worker: greenlet | None = None


def read_reply(stream: Stream, deadline: float) -> tuple[int, dict[bytes, bytes], bytes]:
    """Read status, headers and body; raises ``MalformedReplyError``, ``StreamError`` or ``TimeoutError``."""

    def line() -> bytes:
        left = deadline - time.monotonic()
        if left <= 0:  # a reply that never ends comes without a pause, and no wait would run out
            raise TimeoutError("the reply took too long")
        got = stream.read_line(left)
        if got is None:
            raise StreamClosedError("the connection ended in a reply")
        return got.rstrip(b"\r")

    for _ in range(INTERIM_MOST):
        version, _, rest = line().partition(b" ")
        status = rest[:3]
        if version not in (b"HTTP/1.1", b"HTTP/1.0") or not status.isdigit() or rest[3:4] not in (b"", b" "):
            raise MalformedReplyError("no status line")
        headers = _read_head(line)
        if not 100 <= int(status) < 200:
            break
    else:
        raise MalformedReplyError("no end of 1xx heads")
    if version == b"HTTP/1.0" and headers.get(b"connection", b"").lower() != b"keep-alive":
        headers[b"connection"] = b"close"
    length, coding = headers.get(b"content-length"), headers.get(b"transfer-encoding", b"").lower()
    if coding == b"chunked" and length is None:
        return int(status), headers, _read_chunks(stream, line, deadline)
    if coding or length is None or not length.isdigit() or len(length) > 9 or int(length) > LONGEST_BODY:
        raise MalformedReplyError("no usable content-length")
    return int(status), headers, stream.read_exactly(int(length), max(0.0, deadline - time.monotonic()))


def _read_head(line: Callable[[], bytes]) -> dict[bytes, bytes]:
    headers: dict[bytes, bytes] = {}
    lines = 0
    while head := line():
        lines += 1  # of one name too: a head that never ends would keep us busy for as long as the call may last
        name, colon, value = head.partition(b":")
        name, value = name.lower(), value.strip()
        if not colon or not TOKEN.fullmatch(name) or lines > HEADERS_MOST:
            raise MalformedReplyError("bad or too many headers")
        if headers.setdefault(name, value) != value and name in (b"content-length", b"transfer-encoding"):
            raise MalformedReplyError("two lengths")
    return headers


def _read_chunks(stream: Stream, line: Callable[[], bytes], deadline: float) -> bytes:
    body = bytearray()
    while True:
        size = line().partition(b";")[0].strip()
        if not re.fullmatch(rb"[0-9a-fA-F]{1,8}", size):
            raise MalformedReplyError("bad chunk size")
        count = int(size, 16)
        if len(body) + count > LONGEST_BODY:
            raise MalformedReplyError("bad chunk size")
        if not count:
            _read_head(line)  # trailers, bounded like the head
            return bytes(body)
        body += stream.read_exactly(count, max(0.0, deadline - time.monotonic()))
        if line():
            raise MalformedReplyError("a chunk without its end")


def outcome_of(status: int, headers: dict[bytes, bytes]) -> Outcome:
    """Tell what a reply proves."""
    not_run = headers.get(b"x-not-run") == b"1"
    if status == 200:
        return Outcome.OK
    if status == 503 and not_run:
        return Outcome.FULL
    if status == 409 and not_run:
        return Outcome.ABANDONED
    return Outcome.TIMEOUT if status == 504 else Outcome.ERROR


class StoreClient:
    """Makes calls and reports each one's end, unless the call was dropped before."""

    def __init__(
        self, loop: EventLoop, address: tuple[str, int] | None, post: Callable[[Any], None], most: int
    ) -> None:
        self._loop, self._address, self.post, self._most = loop, address, post, most
        self.shared = False  # with another process of this worker host
        self._idle: deque[tuple[float, Stream]] = deque()  # by the time they went idle
        self._busy = 0
        self._sweeping = False

    @property
    def _bound(self) -> int:
        return budget.max_calls(self._most, self.shared)

    def call(self, tag: str, body: str, timeout_ms: float, once: bool) -> Ticket:
        """Begin a call with a base64 body; ``once``: it must not be made again unless it never ran."""
        ticket = Ticket(tag, body, timeout_ms, once)
        ticket.worker = self._loop.spawn(self._run, ticket)
        return ticket

    def move(self, address: tuple[str, int] | None) -> None:
        """Make new calls at a new address, or nowhere; those that are out end where they began."""
        if address != self._address:
            self._address = address
            while self._idle:
                self._idle.pop()[1].close()

    def drop(self, ticket: Ticket) -> None:
        """Give a call up: its connection is closed and nothing is reported."""
        if not ticket.done:
            ticket.done = True
            if ticket.stream is not None:
                ticket.stream.close()
            if ticket.worker is not None:
                self._loop.kill(ticket.worker)

    def _run(self, ticket: Ticket) -> None:
        if ticket.done:
            return
        outcome, reply, reusable = Outcome.ERROR, b"", False
        self._busy += 1
        try:
            outcome, reply, reusable = self._exchange(ticket)
        finally:
            self._busy -= 1
            if ticket.stream is not None and not (reusable and not ticket.done):
                ticket.stream.close()
        if ticket.done:
            return
        ticket.done = True
        if ticket.stream is not None and reusable:
            self._keep(ticket.stream, ticket.address)
        took = round((time.monotonic() - ticket.began) * 1000, 3)  # to the us; more is noise
        self.post(events.CallCompleted(ticket, outcome, took, base64.b64encode(reply).decode()))

    def _exchange(self, ticket: Ticket, fresh: bool = False) -> tuple[Outcome, bytes, bool]:
        """Return the outcome, the reply's body, and whether the connection can be used again."""
        deadline = ticket.began + ticket.timeout
        try:
            body = base64.b64decode(ticket.body, validate=True)
        except binascii.Error:
            return Outcome.ERROR, b"", False
        try:
            ticket.stream = self._open(ticket, fresh)
        except OSError as err:  # nothing was sent, so no call ran
            log(LOG, logging.WARNING, "connect-failed", error=err)
            return Outcome.CONNECT_FAILED, b"", False
        wait = max(1, int((deadline - time.monotonic()) * 1000))
        assert ticket.address is not None
        host, port = ticket.address
        head = (
            f"POST /query HTTP/1.1\r\nHost: {host}:{port}\r\nX-For-Request: {ticket.tag}\r\n"
            f"X-Wait-Ms: {wait}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        stream = ticket.stream
        stream.write(head.encode() + body)
        try:
            status, headers, reply = read_reply(stream, deadline)
        except TimeoutError:
            return Outcome.TIMEOUT, b"", False
        except StreamClosedError:
            if ticket.reused and not stream.received_bytes:
                # The store had forgotten the idle connection, or closed it as the call was written. Only calls that may
                # be made twice go out on a connection that was used before.
                ticket.reused, ticket.stream = False, None
                return self._exchange(ticket, fresh=True)
            return Outcome.RESET, b"", False
        except (MalformedReplyError, LineTooLongError) as err:
            log(LOG, logging.WARNING, "reply-malformed", error=err)
            return Outcome.ERROR, b"", False
        # Surplus behind a good reply would be read as the next one.
        reusable = headers.get(b"connection", b"").lower() != b"close" and stream.is_idle()
        return outcome_of(status, headers), reply, reusable

    def _open(self, ticket: Ticket, fresh: bool) -> Stream:
        """Take the freshest idle connection that has settled and is still good, or open one."""
        ticket.address = self._address
        if ticket.address is None:
            raise OSError("there is no store")
        # A reset on a connection that was idle may come instead of the reply as well: where the call must not
        # be made twice, the two are kept apart by a connection of its own.
        if not fresh and not ticket.once and (stream := self._settled()) is not None:
            ticket.reused, stream.received_bytes = True, 0
            return stream
        if self._busy > self._bound:
            raise OSError("too many calls are out")
        while self._idle and len(self._idle) + self._busy > self._bound:
            self._idle.popleft()[1].close()
        try:
            return connect(
                self._loop,
                ticket.address,
                min(CONNECT_S, ticket.timeout),
                max_line_bytes=LONGEST_HEAD,
                receive_bytes=CHUNK,
            )
        except OSError:
            if ticket.address == self._address:
                raise
            return self._open(ticket, fresh)  # the store has a new address since; nothing was sent to the old

    def _settled(self) -> Stream | None:
        now, young, found = time.monotonic(), [], None
        while self._idle and found is None:
            since, stream = self._idle.pop()
            if now - since < SETTLE_S:
                young.append((since, stream))
            elif now - since < KEEP_S and stream.is_idle():
                found = stream
            else:
                stream.close()
        self._idle.extend(reversed(young))
        return found

    def _keep(self, stream: Stream, address: tuple[str, int] | None) -> None:
        if address != self._address or len(self._idle) + self._busy >= self._bound:
            return stream.close()
        if len(self._idle) >= self._bound * KEEP_PART:
            self._idle.popleft()[1].close()
        self._idle.append((time.monotonic(), stream))
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_later(KEEP_S / 2, self._sweep)

    def _sweep(self) -> None:
        limit = time.monotonic() - KEEP_S
        while self._idle and self._idle[0][0] < limit:
            self._idle.popleft()[1].close()
        self._sweeping = bool(self._idle)
        if self._sweeping:
            self._loop.call_later(KEEP_S / 2, self._sweep)
