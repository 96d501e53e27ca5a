"""Replies of the store: HTTP/1.1 messages, read from a connection within limits."""

from __future__ import annotations

import re
import time

import msgspec

from lapispick.admission import Outcome
from lapispick.host.streams import Stream, StreamClosedError

OK_STATUS = 200
MAX_HEADER_LINE_BYTES = 8192
MAX_HEADER_LINES = 64
MAX_BODY_BYTES = 64 * 1024  # results have up to 4 KiB
MAX_LENGTH_DIGITS = 9
MAX_INTERIM_REPLIES = 16  # replies with a 1xx status before the final one
HEADER_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CHUNK_SIZE_PATTERN = rb"[0-9a-fA-F]{1,8}"  # compiled on first use, as few stores send chunks

Headers = dict[bytes, bytes]  # by name in lower case


class MalformedReplyError(Exception):
    """A reply does not conform to HTTP/1.1 or exceeds a limit."""


class Reply(msgspec.Struct):
    """A complete reply of the store."""

    status: int
    headers: Headers
    body: bytes


class ReplyReader:
    """Reads one reply from a connection until a deadline (monotonic s)."""

    __slots__ = ("_deadline", "_stream")

    def __init__(self, stream: Stream, deadline: float) -> None:
        self._stream = stream
        self._deadline = deadline

    def read(self) -> Reply:
        """Read the reply; raises ``MalformedReplyError``, ``StreamError`` or ``TimeoutError``."""
        for _ in range(MAX_INTERIM_REPLIES):
            status = self._read_status_line()
            headers = self.read_headers()
            if not 100 <= status < 200:
                break
        else:
            raise MalformedReplyError(f"no final reply after {MAX_INTERIM_REPLIES} interim replies (1xx)")
        return Reply(status, headers, self._read_body(headers))

    def _read_status_line(self) -> int:
        version, _, rest = self._read_line().partition(b" ")
        status = rest[:3]
        if version not in (b"HTTP/1.1", b"HTTP/1.0") or not status.isdigit() or rest[3:4] not in (b"", b" "):
            raise MalformedReplyError("malformed status line, expected HTTP/1.1 or HTTP/1.0 and a three-digit status")
        return int(status)

    def read_headers(self) -> Headers:
        """Read headers or trailers, up to the empty line that ends them."""
        headers: Headers = {}
        line_count = 0
        while line := self._read_line():
            line_count += 1  # repeated names count too, or endless headers would keep the host busy until the deadline
            name, colon, value = line.partition(b":")
            name, value = name.lower(), value.strip()
            if not colon or not HEADER_NAME_PATTERN.fullmatch(name) or line_count > MAX_HEADER_LINES:
                raise MalformedReplyError(f"malformed header, or more than {MAX_HEADER_LINES} header lines")
            if headers.setdefault(name, value) != value and name in (b"content-length", b"transfer-encoding"):
                raise MalformedReplyError(f"conflicting values of the header {name.decode()}")
        return headers

    def _read_body(self, headers: Headers) -> bytes:
        length = headers.get(b"content-length")
        coding = headers.get(b"transfer-encoding", b"").lower()
        if coding == b"chunked" and length is None:
            return self._read_chunks()
        if coding or length is None or not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
            raise MalformedReplyError(f"expected either chunks or a content-length of up to {MAX_LENGTH_DIGITS} digits")
        if int(length) > MAX_BODY_BYTES:
            raise MalformedReplyError(f"expected a body of at most {MAX_BODY_BYTES} bytes, got {int(length)}")
        return self._read_exactly(int(length))

    def _read_chunks(self) -> bytes:
        body = bytearray()
        while True:
            size = self._read_line().partition(b";")[0].strip()
            if not re.fullmatch(CHUNK_SIZE_PATTERN, size):
                raise MalformedReplyError("malformed chunk size, expected up to 8 hexadecimal digits")
            count = int(size, 16)
            if len(body) + count > MAX_BODY_BYTES:
                raise MalformedReplyError(f"expected a body of at most {MAX_BODY_BYTES} bytes, got {len(body) + count}")
            if not count:
                self.read_headers()  # trailers
                return bytes(body)
            body += self._read_exactly(count)
            if self._read_line():
                raise MalformedReplyError(f"expected an end of line after a chunk of {count} bytes")

    def _read_line(self) -> bytes:
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:  # an endless reply may arrive without a pause, so that no wait would time out
            raise TimeoutError("the reply was not complete at the deadline")
        line = self._stream.read_line(remaining_s)
        if line is None:
            raise StreamClosedError("the connection was closed before the reply was complete")
        return line.rstrip(b"\r")

    def _read_exactly(self, size: int) -> bytes:
        return self._stream.read_exactly(size, max(0.0, self._deadline - time.monotonic()))


def outcome_of_reply(status: int, headers: Headers) -> Outcome:
    """Return the outcome of a call from the status and headers of its reply."""
    not_run = headers.get(b"x-not-run") == b"1"
    if status == OK_STATUS:
        return Outcome.OK
    if status == 503 and not_run:
        return Outcome.FULL
    if status == 409 and not_run:
        return Outcome.ABANDONED
    return Outcome.TIMEOUT if status == 504 else Outcome.ERROR
