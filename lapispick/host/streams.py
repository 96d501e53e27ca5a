"""Buffered non-blocking sockets for greenlets: reads wait, writes do not; and opening of connections."""

from __future__ import annotations

import errno
import logging
import select
import socket
import sys
import time
from contextlib import suppress
from fcntl import ioctl

from greenlet import greenlet

from lapispick.host.errors import HostError
from lapispick.host.logs import log
from lapispick.host.scheduler import READ, WRITE, EventLoop
from lapispick.host.timers import Timer

RECEIVE_BYTES = 65536  # the default of what one read takes, and of the longest line
MAX_UNSENT_BYTES = 1 << 20  # the default of what may wait for a slow reader; with more its connection is closed
GRACEFUL_CLOSE_S = 0.5  # how long input is read and discarded before a connection is closed
MAX_DISCARDED_BYTES = 256 * 1024  # with more input than this a connection is closed at once
SIOCOUTQ = 0x5411  # the ioctl for the number of bytes that the peer has not acknowledged


class StreamError(HostError):
    """A stream could not be read as asked."""


class LineTooLongError(StreamError):
    """A peer sent more without an end of line than is buffered for it."""


class StreamClosedError(StreamError):
    """The connection ended in the middle of what was to be read."""


class SendBuffer:
    """Bytes that wait for a slow peer, and for how long the peer has acknowledged none of what was sent."""

    __slots__ = ("_data", "_last_progress_at", "_loop", "_sock", "_unacknowledged_bytes")

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self._loop = loop
        self._sock = sock
        self._data = bytearray()
        self._last_progress_at = 0.0
        self._unacknowledged_bytes = 0  # when last checked

    def __len__(self) -> int:
        return len(self._data)

    def send(self, data: bytes) -> bool:
        """Send what the socket takes now and buffer the rest; False where some is buffered. Raises ``OSError``."""
        if not self._data:
            self._on_progress()
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                sent = 0
            if sent == len(data):
                return True
            data = data[sent:]
        self._data += data
        self._loop.unsent_bytes += len(data)
        return False

    def flush(self) -> None:
        """Send what the socket takes of the buffered bytes; raises ``OSError``."""
        sent = self._sock.send(self._data)
        del self._data[:sent]
        self._loop.unsent_bytes -= sent
        self._on_progress()

    def exceeds(self, max_bytes: int) -> bool:
        """Tell whether more is buffered than this, or more than the loop allows for all slow readers together."""
        return len(self._data) > max_bytes or self._loop.unsent_bytes > self._loop.max_unsent_bytes

    def clear(self) -> None:
        """Drop the buffered bytes."""
        self._loop.unsent_bytes -= len(self._data)
        self._data.clear()

    def _on_progress(self) -> None:
        self._last_progress_at = time.monotonic()
        self._unacknowledged_bytes = 0

    def stalled_s(self) -> float:
        """Return the seconds since the last sign of progress; 0 where nothing is buffered.

        Acknowledged bytes count as progress too: the kernel takes bytes by the megabyte and then none for many
        seconds, while the peer may be reading all the time.
        """
        if not self._data:
            return 0.0
        answer = bytes(4)
        with suppress(OSError):  # where the kernel can't tell, only what it takes counts
            answer = ioctl(self._sock.fileno(), SIOCOUTQ, answer)
        unacknowledged = int.from_bytes(answer, sys.byteorder)
        if unacknowledged < self._unacknowledged_bytes:
            self._last_progress_at = time.monotonic()
        self._unacknowledged_bytes = unacknowledged
        return time.monotonic() - self._last_progress_at


def _configure(sock: socket.socket) -> None:
    sock.setblocking(False)
    if sock.family != socket.AF_UNIX:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Stream:
    """A socket with buffers. One greenlet reads; ``write`` never blocks and its backlog is bounded."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        max_line_bytes: int = RECEIVE_BYTES,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
        receive_bytes: int = RECEIVE_BYTES,
        urgent: bool = False,
    ) -> None:
        _configure(sock)
        self.loop = loop
        self.sock = sock
        self.max_line_bytes = max_line_bytes
        self.max_unsent_bytes = max_unsent_bytes
        self.receive_bytes = receive_bytes
        self.urgent = urgent
        self.closed = False
        self.failed = False
        self.discarding = False  # input is read and dropped
        self.closing = False  # what was written is still sent, and nothing after it
        self.eof_received = False
        self.received_bytes = 0  # since the start, or since the owner reset it
        self.last_received_at = 0.0
        self.receive_count = 0
        self._input = bytearray()
        self._output = SendBuffer(loop, sock)
        self._flusher: greenlet | None = None
        self._discarded_bytes = 0
        self._close_timer: Timer | None = None

    @property
    def unsent_bytes(self) -> int:
        """How many written bytes wait for the peer."""
        return len(self._output)

    def stalled_s(self) -> float:
        """Return for how many seconds the peer has taken none of what waits for it."""
        return self._output.stalled_s()

    def _receive(self, timeout: float | None) -> bool:
        """Add input to the buffer; False at the end of the stream. Raises ``TimeoutError``."""
        waited = False
        while not self.closed:
            try:
                data = self.sock.recv(self.receive_bytes)
            except BlockingIOError:
                data = None  # waits outside of the handler, or each waiting greenlet would hold a traceback
            except OSError:
                self.failed = True
                if self.closing:
                    self.close()
                return False
            if data is None:
                ready = self.loop.wait_for_io(self.sock.fileno(), READ, timeout, self.urgent)
                if not (ready or self.closed or self.discarding):
                    raise TimeoutError("nothing was received in time")
                waited = True
                continue
            self.eof_received = not data
            if self.discarding:
                if not self._discard(len(data)):
                    return False
                if not waited:
                    self.loop.yield_control()
                waited = False
                continue
            self._input += data
            self.received_bytes += len(data)
            self.last_received_at = time.monotonic()
            self.receive_count += 1
            if not waited:  # a peer that sends without a pause must not starve the others
                self.loop.yield_control()
            return bool(data)
        return False

    def read_line(self, timeout: float | None = None) -> bytes | None:
        """Return the next line without its end, or None at the end of the stream."""
        start = 0
        while (end := self._input.find(b"\n", start)) < 0:
            start = len(self._input)
            if start > self.max_line_bytes:
                raise LineTooLongError(f"over {self.max_line_bytes} bytes without an end of line")
            if not self._receive(timeout):
                return None
        if end > self.max_line_bytes:
            raise LineTooLongError(f"a line of {end} bytes")
        line = bytes(self._input[:end])
        del self._input[: end + 1]
        return line

    def read_exactly(self, size: int, timeout: float | None = None) -> bytes:
        """Return this many bytes; raises ``StreamClosedError`` if the stream ends before."""
        while len(self._input) < size:
            if not self._receive(timeout):
                raise StreamClosedError(f"the stream ended {size - len(self._input)} bytes early")
        data = bytes(self._input[:size])
        del self._input[:size]
        return data

    def has_line(self) -> bool:
        """Tell whether a complete line can be read without waiting."""
        return b"\n" in self._input

    @property
    def unread_bytes(self) -> int:
        """How many bytes were received and not read by the owner so far."""
        return len(self._input)

    def has_pending_input(self) -> bool:
        """Tell whether input waits in the kernel's buffer."""
        return bool(peek(self.sock))

    def is_idle(self) -> bool:
        """Tell whether the peer has neither closed nor sent anything that is still unread."""
        return peek(self.sock) is None and not self._input

    def write(self, data: bytes) -> None:
        """Send now what the socket takes and buffer the rest; never waits."""
        if self.closed or self.closing:
            return
        try:
            if self._output.send(data):
                return
        except OSError:
            return self._fail()
        if self._output.exceeds(self.max_unsent_bytes):
            log("loop", logging.WARNING, "slow-reader-dropped", unsent=len(self._output))
            self._fail()
        elif self._flusher is None:
            self._flusher = self.loop.spawn(self._flush)

    def _flush(self) -> None:
        while self._output and not self.closed and self.loop.wait_for_io(self.sock.fileno(), WRITE):
            try:
                self._output.flush()
            except BlockingIOError:
                continue
            except OSError:
                self._fail()
        self._flusher = None
        if self.closing:
            self._half_close()

    def _fail(self) -> None:
        self.failed = True
        self.close()

    def discard_input(self) -> None:
        """Drop all further input; the greenlet that reads must go on reading."""
        self.discarding = True
        self._input.clear()

    def _discard(self, size: int) -> bool:
        """Count dropped input; False where no more is read."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES or (self.eof_received and self.closing and not self._output):
            self.close()
        return not (self.closed or self.eof_received)

    def close_gracefully(self, timeout: float = GRACEFUL_CLOSE_S) -> None:
        """Send what was written, half-close, and close once the peer has ended too, or after a timeout (s).

        A close over unread input becomes a reset, which may destroy answers that the peer has not read. So the greenlet
        that reads the stream must go on, and drops the input; without one call ``close_gracefully_and_wait``.
        """
        if self.closed or self.closing:
            return
        self.discard_input()
        self.closing = True
        if not self._output:
            self._half_close()
        if not self.closed:
            self._close_timer = self.loop.call_later(timeout, self.close)

    def _half_close(self) -> None:
        if not self.closed:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
            if self.eof_received:
                self.close()

    def close_gracefully_and_wait(self, timeout: float = GRACEFUL_CLOSE_S) -> None:
        """Close gracefully, reading in the calling greenlet, and wait until the stream is closed."""
        self.close_gracefully(timeout)
        if not self.eof_received:
            self._receive(None)

    def close(self) -> None:
        """Close the socket at once and wake all greenlets that wait for it."""
        if not self.closed:
            self.closed = True
            if self._close_timer is not None:  # a pending timer would keep the stream in memory
                self._close_timer.cancel()
            self._output.clear()
            self.loop.cancel_io_waits(self.sock.fileno())
            self.sock.close()


def peek(sock: socket.socket) -> bytes | None:
    """Return the next byte of input, ``b""`` if the connection is closed or failed, or None if nothing waits."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def is_readable(sock: socket.socket) -> bool:
    """Tell whether a socket can be read, or a listener accepted from, without waiting."""
    poll = select.poll()
    poll.register(sock.fileno(), READ)
    return bool(poll.poll(0))


def connect(
    loop: EventLoop,
    address: tuple[str, int],
    timeout: float,
    max_line_bytes: int = RECEIVE_BYTES,
    max_unsent_bytes: int = MAX_UNSENT_BYTES,
    receive_bytes: int = RECEIVE_BYTES,
) -> Stream:
    """Open a connection; raises ``OSError`` (``TimeoutError`` among them) with nothing sent."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            if not loop.wait_for_io(sock.fileno(), WRITE, timeout):
                raise TimeoutError("no connection in time")
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "error"))
        return Stream(loop, sock, max_line_bytes, max_unsent_bytes, receive_bytes)
    except BaseException:
        sock.close()
        raise
