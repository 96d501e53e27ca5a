"""Buffered non-blocking sockets for greenlets, where reads wait and writes do not, and a function to connect."""

from __future__ import annotations

import errno
import logging
import select
import socket
import struct
import sys
from contextlib import suppress
from fcntl import ioctl

from greenlet import greenlet

from lapispick.host.errors import HostError
from lapispick.host.logs import log
from lapispick.host.scheduler import READ, WRITE, ActiveTimer, EventLoop

DEFAULT_RECEIVE_BYTES = 65536  # the most that one read takes
DEFAULT_MAX_LINE_BYTES = 65536
DEFAULT_MAX_UNSENT_BYTES = 1 << 20  # of one stream; with more its connection is closed, as the peer reads too slowly
GRACEFUL_CLOSE_S = 0.5  # input is read and discarded for this time before a connection is closed
MAX_DISCARDED_BYTES = 256 * 1024  # after more discarded input a connection is closed at once
ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER with which a close sends a reset
SIOCOUTQ = 0x5411  # ioctl that returns the number of bytes that the peer has not acknowledged


class StreamError(HostError):
    """A read from a stream failed."""


class LineTooLongError(StreamError):
    """A peer sent a line that is longer than the limit of the stream."""


class StreamClosedError(StreamError):
    """The connection was closed before the requested data was complete."""


class SendBuffer:
    """Unsent bytes of one stream, and the time since the peer last made progress in reading."""

    __slots__ = ("_data", "_last_progress_at", "_loop", "_sock", "_unacknowledged_bytes")

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self._loop = loop
        self._sock = sock
        self._data = bytearray()
        self._last_progress_at = 0.0
        self._unacknowledged_bytes = 0  # at the last check

    def __len__(self) -> int:
        return len(self._data)

    def send(self, data: bytes) -> bool:
        """Send what the socket accepts now and buffer the rest; return False if any is buffered. Raises ``OSError``."""
        if not self._data:
            self._record_progress()
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
        """Send as many buffered bytes as the socket accepts; raises ``OSError``."""
        sent = self._sock.send(self._data)
        del self._data[:sent]
        self._loop.unsent_bytes -= sent
        self._record_progress()

    def exceeds(self, max_bytes: int) -> bool:
        """Return True if more bytes are buffered than this, or more in all streams than the loop allows."""
        return len(self._data) > max_bytes or self._loop.unsent_bytes > self._loop.max_unsent_bytes

    def clear(self) -> None:
        """Drop the buffered bytes."""
        self._loop.unsent_bytes -= len(self._data)
        self._data.clear()

    def _record_progress(self) -> None:
        self._last_progress_at = self._loop.active_time()
        self._unacknowledged_bytes = 0

    def stalled_s(self) -> float:
        """Return the seconds since the peer last made progress; 0 if nothing is buffered.

        Bytes that the peer acknowledges count as progress, as well as bytes that the kernel accepts. The kernel accepts
        a megabyte at once and then nothing for many seconds, although the peer may read all the time.
        """
        if not self._data:
            return 0.0
        queue_size = bytes(4)
        with suppress(OSError):  # without this ioctl only the bytes that the kernel accepts count as progress
            queue_size = ioctl(self._sock.fileno(), SIOCOUTQ, queue_size)
        unacknowledged = int.from_bytes(queue_size, sys.byteorder)
        if unacknowledged < self._unacknowledged_bytes:
            self._last_progress_at = self._loop.active_time()
        self._unacknowledged_bytes = unacknowledged
        return self._loop.active_time() - self._last_progress_at


def _configure(sock: socket.socket) -> None:
    sock.setblocking(False)
    if sock.family != socket.AF_UNIX:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Stream:
    """A socket with an input and an output buffer. One greenlet reads; ``write`` never blocks.

    If the unsent bytes exceed their limit, the connection is closed.
    """

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        max_line_bytes: int = DEFAULT_MAX_LINE_BYTES,
        max_unsent_bytes: int = DEFAULT_MAX_UNSENT_BYTES,
        max_receive_bytes: int = DEFAULT_RECEIVE_BYTES,
        urgent: bool = False,
    ) -> None:
        _configure(sock)
        self.loop = loop
        self.sock = sock
        self.max_line_bytes = max_line_bytes
        self.max_unsent_bytes = max_unsent_bytes
        self.max_receive_bytes = max_receive_bytes
        self.urgent = urgent
        self.closed = False
        self.failed = False
        self.discarding = False  # input is read and discarded
        self.closing = False  # written data is still sent; further writes are ignored
        self.eof_received = False
        self.last_received_at = 0.0  # by the active time of the loop
        self.receive_count = 0
        self._input = bytearray()
        self._output = SendBuffer(loop, sock)
        self._flusher: greenlet | None = None
        self._discarded_bytes = 0
        self._close_timer: ActiveTimer | None = None

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that are still buffered."""
        return len(self._output)

    def stalled_s(self) -> float:
        """Return for how many seconds the peer has made no progress in reading; 0 if nothing is buffered."""
        return self._output.stalled_s()

    def _receive(self, timeout: float | None, max_bytes: int | None = None) -> bool:
        """Add at most ``max_bytes`` to the buffer; return False at the end of the stream. Raises ``TimeoutError``."""
        receive_bytes = self.max_receive_bytes if max_bytes is None else min(max_bytes, self.max_receive_bytes)
        waited = False
        while not self.closed:
            try:
                data = self.sock.recv(receive_bytes)
            except BlockingIOError:
                data = None  # the wait is outside of this handler, or each waiting greenlet would keep a traceback
            except OSError:
                self.failed = True
                if self.closing:
                    self.close()
                return False
            if data is None:
                ready = self.loop.wait_for_io(self.sock.fileno(), READ, timeout, self.urgent)
                if not (ready or self.closed or self.discarding):
                    raise TimeoutError("no data was received before the timeout")
                waited = True
                continue
            self.eof_received = not data
            if self.discarding:
                if not self._count_discarded(len(data)):
                    return False
                if not waited:
                    self.loop.yield_control()
                waited = False
                continue
            self._input += data
            self.last_received_at = self.loop.active_time()
            self.receive_count += 1
            if not waited:  # a peer that sends without a pause must not starve other greenlets
                self.loop.yield_control()
            return bool(data)
        return False

    def read_line(self, timeout: float | None = None) -> bytes | None:
        """Return the next line without its line feed, or None at the end of the stream."""
        start = 0
        while (end := self._input.find(b"\n", start)) < 0:
            start = len(self._input)
            if start > self.max_line_bytes:
                raise LineTooLongError(
                    f"received a line of at least {start} bytes, expected at most {self.max_line_bytes}"
                )
            # With the line feed; a longer line takes no more memory than the longest valid one.
            if not self._receive(timeout, self.max_line_bytes + 1 - start):
                return None
        if end > self.max_line_bytes:
            raise LineTooLongError(f"received a line of {end} bytes, expected at most {self.max_line_bytes}")
        line = bytes(self._input[:end])
        del self._input[: end + 1]
        return line

    def read_exactly(self, size: int, timeout: float | None = None) -> bytes:
        """Return this many bytes; raises ``StreamClosedError`` if the stream ends earlier."""
        while len(self._input) < size:
            if not self._receive(timeout):
                raise StreamClosedError(f"the connection was closed after {len(self._input)} of {size} bytes")
        data = bytes(self._input[:size])
        del self._input[:size]
        return data

    def has_line(self) -> bool:
        """Return True if a complete line can be read without waiting."""
        return b"\n" in self._input

    @property
    def unread_bytes(self) -> int:
        """Number of received bytes that the owner has not read."""
        return len(self._input)

    def has_pending_input(self) -> bool:
        """Return True if the kernel's buffer contains input."""
        return bool(peek(self.sock))

    def is_idle(self) -> bool:
        """Return True if the peer has not closed the connection and no input is unread."""
        return peek(self.sock) is None and not self._input

    def write(self, data: bytes) -> None:
        """Send what the socket accepts now and buffer the rest, without waiting."""
        if self.closed or self.closing:
            return
        try:
            if self._output.send(data):
                return
        except OSError:
            return self._close_as_failed()
        if self._output.exceeds(self.max_unsent_bytes):
            log("loop", logging.WARNING, "slow-reader-dropped", unsent=len(self._output))
            self._close_as_failed()
        elif self._flusher is None:
            self._flusher = self.loop.spawn(self._flush)

    def _flush(self) -> None:
        while self._output and not self.closed and self.loop.wait_for_io(self.sock.fileno(), WRITE):
            try:
                self._output.flush()
            except BlockingIOError:
                continue
            except OSError:
                self._close_as_failed()
        self._flusher = None
        if self.closing:
            self._half_close()

    def _close_as_failed(self) -> None:
        self.failed = True
        self.close()

    def discard_input(self) -> None:
        """Discard all further input; the greenlet that reads must continue to read."""
        self.discarding = True
        self._input.clear()

    def _count_discarded(self, size: int) -> bool:
        """Count discarded input; return False if no more is to be read."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES or (self.eof_received and self.closing and not self._output):
            self.close()
        return not (self.closed or self.eof_received)

    def close_gracefully(self, timeout: float = GRACEFUL_CLOSE_S) -> None:
        """Send the written data, half-close, and close when the peer has closed too, or after a timeout (s).

        Closing a socket with unread input resets the connection, and the peer may lose answers that it has not read.
        The greenlet that reads the stream must therefore continue to read, which discards the input. Without such a
        greenlet call ``close_gracefully_and_wait``.
        """
        if self.closed or self.closing:
            return
        self.discard_input()
        self.closing = True
        if not self._output:
            self._half_close()
        if not self.closed:
            self._close_timer = self.loop.call_later_active(timeout, self.close)

    def _half_close(self) -> None:
        if not self.closed:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
            if self.eof_received:
                self.close()

    def close_gracefully_and_wait(self, timeout: float = GRACEFUL_CLOSE_S) -> None:
        """Close gracefully, read in the calling greenlet, and wait until the stream is closed."""
        self.close_gracefully(timeout)
        if not self.eof_received:
            self._receive(None)

    def reset(self) -> None:
        """Close the socket at once with a reset, which frees its port; unsent and unread bytes are discarded."""
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        self.close()

    def close(self) -> None:
        """Close the socket at once and wake the greenlets that wait for it."""
        if not self.closed:
            self.closed = True
            if self._close_timer is not None:  # a pending timer would keep a reference to the stream
                self._close_timer.cancel()
            self._output.clear()
            self.loop.cancel_io_waits(self.sock.fileno())
            self.sock.close()


def peek(sock: socket.socket) -> bytes | None:
    """Return the next byte of input without removing it, None if there is none, ``b""`` if the connection has ended."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def is_readable(sock: socket.socket) -> bool:
    """Return True if a read from a socket, or an accept from a listener, would not wait."""
    poll = select.poll()
    poll.register(sock.fileno(), READ)
    return bool(poll.poll(0))


def connect(
    loop: EventLoop,
    address: tuple[str, int],
    timeout: float,
    max_line_bytes: int = DEFAULT_MAX_LINE_BYTES,
    max_unsent_bytes: int = DEFAULT_MAX_UNSENT_BYTES,
    max_receive_bytes: int = DEFAULT_RECEIVE_BYTES,
) -> Stream:
    """Open a connection; raises ``OSError`` or its subclass ``TimeoutError``, in which case nothing was sent."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            if not loop.wait_for_io(sock.fileno(), WRITE, timeout):
                raise TimeoutError(f"the connection was not established within {timeout:g} s")
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "error"))
        return Stream(loop, sock, max_line_bytes, max_unsent_bytes, max_receive_bytes)
    except BaseException:
        sock.close()
        raise
