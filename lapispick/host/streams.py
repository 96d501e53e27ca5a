"""Buffered non-blocking sockets for greenlets: reads that wait, writes that don't, and connections that are opened."""

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

RECEIVE_BYTES = 65536  # read at once, and the max_line_bytes line, unless the owner says otherwise
MAX_UNSENT_BYTES = 1 << 20  # that wait for a slow reader before its connection is given up
GRACEFUL_CLOSE_S = 0.5  # how long what a peer still sends is read and discarded before its connection is closed
MAX_DISCARDED_BYTES = 256 * 1024  # a peer that sends more to a connection that is closing is cut off
SIOCOUTQ = 0x5411  # asks the system how many bytes of a connection its peer has not acknowledged


class StreamError(HostError):
    """A stream could not be read as asked."""


class LineTooLongError(StreamError):
    """A peer sent more without an end of line than is kept for it."""


class StreamClosedError(StreamError):
    """The connection ended in the middle of what was to be read."""


class SendProgress:
    """Tells for how long a peer has acknowledged none of the bytes that were written to it."""

    __slots__ = ("_last_progress_at", "_sock", "_unacknowledged_bytes")

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._last_progress_at = 0.0
        self._unacknowledged_bytes = 0  # at the last look

    def reset(self) -> None:
        """Take note that the system took bytes just now."""
        self._last_progress_at = time.monotonic()
        self._unacknowledged_bytes = 0

    def stalled_s(self) -> float:
        """Return the seconds since the last sign of progress.

        Guards slow readers: the system takes bytes by the megabyte and then none for many seconds, all of which time
        the peer may be reading.
        """
        answer = bytes(4)
        with suppress(OSError):  # where the system can't tell, only what it takes counts
            answer = ioctl(self._sock.fileno(), SIOCOUTQ, answer)
        unacknowledged = int.from_bytes(answer, sys.byteorder)
        if unacknowledged < self._unacknowledged_bytes:
            self._last_progress_at = time.monotonic()
        self._unacknowledged_bytes = unacknowledged
        return time.monotonic() - self._last_progress_at


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
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop = loop
        self.sock = sock
        self.max_line_bytes = max_line_bytes
        self.max_unsent_bytes = max_unsent_bytes
        self.receive_bytes = receive_bytes
        self.urgent = urgent
        self.closed = False
        self.failed = False
        self.discarding = False  # what comes is read and dropped
        self.closing = False  # what is written still goes out, and nothing after it
        self.eof_received = False  # the peer sends nothing more
        self.received_bytes = 0  # ever, or since the owner set it back
        self.last_received_at = 0.0
        self.receive_count = 0
        self._input = bytearray()
        self._output = bytearray()
        self._flusher: greenlet | None = None
        self._progress = SendProgress(sock)
        self._discarded_bytes = 0
        self._close_timer: Timer | None = None

    @property
    def unsent_bytes(self) -> int:
        """How many bytes wait for the peer."""
        return len(self._output)

    def stalled_s(self) -> float:
        """Return for how many seconds the peer has taken none of what waits for it."""
        return self._progress.stalled_s() if self._output else 0.0

    def _receive(self, timeout: float | None) -> bool:
        """Add what the peer sent to the buffer; False at its end. Raises ``TimeoutError``."""
        waited = False
        while not self.closed:
            try:
                data = self.sock.recv(self.receive_bytes)
            except BlockingIOError:
                data = None  # the wait stands outside, or each waiting greenlet would hold a traceback
            except OSError:
                self.failed = True
                if self.closing:
                    self.close()
                return False
            if data is None:
                came = self.loop.wait_for_io(self.sock.fileno(), READ, timeout, self.urgent)
                if not (came or self.closed or self.discarding):
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
            if not waited:  # a peer that sends without a pause must not keep the others waiting
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
        """Return this many bytes; raises ``StreamClosedError`` where the stream ends before."""
        while len(self._input) < size:
            if not self._receive(timeout):
                raise StreamClosedError(f"the stream ended {size - len(self._input)} bytes early")
        data = bytes(self._input[:size])
        del self._input[:size]
        return data

    def has_line(self) -> bool:
        """Tell whether a whole line can be read without waiting."""
        return b"\n" in self._input

    @property
    def unread_bytes(self) -> int:
        """How many bytes were received and not taken so far."""
        return len(self._input)

    def has_pending_input(self) -> bool:
        """Tell whether bytes of the peer wait in the system."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def is_idle(self) -> bool:
        """Tell whether the peer has neither closed nor sent anything that is still unread."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self._input
        except OSError:
            return False
        return False

    def write(self, data: bytes) -> None:
        """Send now what the socket takes and keep the rest for later."""
        if self.closed or self.closing:
            return
        if not self._output:
            self._progress.reset()
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                return self._fail()
            if not data:
                return
        self._output += data
        self.loop.unsent_bytes += len(data)
        # Guards the memory: neither one slow reader nor hundreds of them may fill it.
        if len(self._output) > self.max_unsent_bytes or self.loop.unsent_bytes > self.loop.max_unsent_bytes:
            log("loop", logging.WARNING, "slow-reader-dropped", unsent=len(self._output))
            self._fail()
        elif self._flusher is None:
            self._flusher = self.loop.spawn(self._flush)

    def _flush(self) -> None:
        while self._output and not self.closed:
            if not self.loop.wait_for_io(self.sock.fileno(), WRITE):
                break
            try:
                sent = self.sock.send(self._output)
                del self._output[:sent]
                self.loop.unsent_bytes -= sent
                self._progress.reset()
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
        """Hand out nothing that comes from now on; whoever reads here goes on reading, and drops it."""
        self.discarding = True
        self._input.clear()

    def _discard(self, size: int) -> bool:
        """Count bytes that are dropped; False where no more are read."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES or (self.eof_received and self.closing and not self._output):
            self.close()
        return not (self.closed or self.eof_received)

    def close_gracefully(self, timeout: float = GRACEFUL_CLOSE_S) -> None:
        """Send what was written, say that nothing follows, and close when the peer has ended too, or after a while.

        Guards what is on its way: the system turns a close over bytes that nobody read into a reset, which takes
        answers along that the peer has not read. What comes meanwhile reaches nobody here, so the peer may send it
        again elsewhere. Whoever reads the stream goes on; see ``close_gracefully_and_wait`` where nobody would.
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
        """Finish, and wait here until the stream is closed."""
        self.close_gracefully(timeout)
        if not self.eof_received:
            self._receive(None)

    def close(self) -> None:
        """Close the socket and wake whoever waits for it."""
        if not self.closed:
            self.closed = True
            if self._close_timer is not None:  # or it would hold the stream until its time
                self._close_timer.cancel()
            self.loop.unsent_bytes -= len(self._output)
            self._output.clear()
            self.loop.cancel_io_waits(self.sock.fileno())
            self.sock.close()


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
