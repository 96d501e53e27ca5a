"""A fake store: answers the calls that runs of requests make."""

import itertools
import socket
import struct
import threading
import time
from contextlib import suppress
from typing import Any, NamedTuple

from lapispick.fakes.fake_server import FakeServer

LATE_REPLY_AFTER_S = 0.5
COPY_PAUSE_S = 0.005  # after each piece of a copied reply
OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
UNUSABLE_REPLIES = {  # call body -> pieces of the reply; the store does not close the connection after them
    "noise": [b"\x00\xff\x17 nothing\r\n\r\n"],
    "bare": [OK_STATUS_LINE + b"\r\n"],
    "minus": [OK_STATUS_LINE + b"Content-Length: -4\r\n\r\n"],
    "both": [OK_STATUS_LINE + b"Content-Length: 4\r\nContent-Length: 7\r\n\r\nfour"],
    "odd": [OK_STATUS_LINE + b"no header\r\n\r\n"],
    "endless": itertools.repeat(b"X-More: of it\r\n" * 99),
    "interim": itertools.repeat(b"HTTP/1.1 102 Wait\r\n\r\n"),
    "huge": itertools.chain([OK_STATUS_LINE + b"Content-Length: 3000000000\r\n\r\n"], itertools.repeat(b"x" * 65536)),
}


class ExtraBytes(NamedTuple):
    """Bytes that are sent before and after a valid reply."""

    before: bytes = b""
    after: bytes = b""


REPLIES_WITH_EXTRA_BYTES = {  # by call body
    "early": ExtraBytes(before=b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "double": ExtraBytes(after=OK_STATUS_LINE + b"Content-Length: 5\r\n\r\nwrong"),
    "trail": ExtraBytes(after=b"noise\r\n"),
}
BODIES_WITH_STATUS_200 = {"late", "forget", "hang up", *REPLIES_WITH_EXTRA_BYTES}


class LateNoise(NamedTuple):
    """Bytes after each valid reply: a copy of the reply without its last bytes."""

    delay_s: float
    missing_bytes: int


class StoreCall(NamedTuple):
    """A call that the store received."""

    request: str
    wait_ms: float
    body: str
    connection: Any
    store_address: str


class Store(FakeServer):
    """A fake store that answers each call as its body says.

    - ``STATUS`` or ``STATUS n``: a reply with this status, with the header ``X-Not-Run`` if ``n`` is given; a suffix
      ``#name`` is ignored, so that calls with the same status can have different bodies;
    - ``late``: 200 after ``LATE_REPLY_AFTER_S``;
    - ``hang``: no reply;
    - ``break``: a close without a reply;
    - ``forget`` and ``hang up``: a reset or a close if the connection was used before, otherwise 200;
    - ``cut N``: the first N bytes of a valid reply, then a close;
    - the keys of ``UNUSABLE_REPLIES`` and ``REPLIES_WITH_EXTRA_BYTES``: these replies.
    """

    def __init__(self):
        self.calls = []
        self.ended_requests = []  # requests whose connection was closed during a ``hang``
        self._used_connections = set()
        self.copied_reply_pieces = 0  # into how many pieces a copy of the last reply is cut that precedes the next one
        self.equal_replies = False  # whether all replies are equal
        self.late_noise = None  # the ``LateNoise`` that follows each reply
        self.noise_count = 0
        self._last_replies = {}  # by connection
        super().__init__()

    @staticmethod
    def read_calls(file):
        """Yield the headers and the body of each call on a connection, until one is incomplete."""
        while file.readline():
            headers = {}
            while (line := file.readline()).strip():
                name, _, value = line.decode().strip().partition(": ")
                headers[name] = value
            if not line:  # closed before the end of the headers
                return
            size = int(headers["Content-Length"])
            body = file.read(size)
            if len(body) < size:
                return
            yield headers, body.decode()

    def serve(self, connection):
        file = connection.makefile("rb")
        for headers, body in self.read_calls(file):
            address = "{}:{}".format(*connection.getsockname())
            call = StoreCall(headers["X-For-Request"], float(headers["X-Wait-Ms"]), body, connection, address)
            self.calls.append(call)
            if not self._reply(call, file):
                return

    def _reply(self, call, file):
        """Reply to a call; return False if the connection is to be closed afterwards."""
        body = call.body
        if body == "hang":
            file.read(1)
            self.ended_requests.append(call.request)
            return False
        if body == "break":
            return False
        if body == "forget" and call.connection in self._used_connections:
            zero_linger = struct.pack("ii", 1, 0)
            call.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)  # the close sends a reset
            return False
        if body == "hang up" and call.connection in self._used_connections:
            return False
        if body.startswith("cut "):
            size = int(body.removeprefix("cut "))
            call.connection.sendall((OK_STATUS_LINE + b"Content-Length: 5\r\n\r\nreply")[:size])
            return False
        if body == "late":
            time.sleep(LATE_REPLY_AFTER_S)
        self._used_connections.add(call.connection)
        if body in UNUSABLE_REPLIES:
            for piece in UNUSABLE_REPLIES[body]:
                call.connection.sendall(piece)
            file.read(1)
            return False
        self._send_reply(call)
        return True

    def _send_reply(self, call):
        """Send a reply with the status in the call's body, without its suffix ``#name``."""
        extra_bytes = REPLIES_WITH_EXTRA_BYTES.get(call.body, ExtraBytes())
        requested_status = "200" if call.body in BODIES_WITH_STATUS_200 else call.body
        status, _, not_run = requested_status.partition("#")[0].partition(" ")
        extra_header = "X-Not-Run: 1\r\n" if not_run else ""
        body = "equal" if self.equal_replies else f"reply {self.calls.index(call) + 1}"
        head = f"HTTP/1.1 {status} Said\r\n{extra_header}Content-Length: {len(body)}\r\n\r\n"
        reply = head.encode() + body.encode()
        self._send_copy(call.connection)
        call.connection.sendall(extra_bytes.before + reply + extra_bytes.after)
        self._last_replies[call.connection] = reply
        if self.late_noise is not None:
            self._schedule_noise(call.connection, reply, self.late_noise)

    def _schedule_noise(self, connection, reply, noise):
        copied = reply[: len(reply) - noise.missing_bytes]
        threading.Timer(noise.delay_s, self._send_noise, (connection, copied)).start()

    def _send_noise(self, connection, noise):
        self.noise_count += 1
        with suppress(OSError):  # the host has closed the connection
            connection.sendall(noise)

    def _send_copy(self, connection):
        """Send a copy of the connection's last reply, as a store or a link does that repeats it late."""
        copied = self._last_replies.get(connection, b"") if self.copied_reply_pieces else b""
        size = len(copied) // max(1, self.copied_reply_pieces) + 1
        for start in range(0, len(copied), size):
            connection.sendall(copied[start : start + size])
            time.sleep(COPY_PAUSE_S)
