"""The scheduler: greenlets over ``select.poll``, with timers, queues and buffered sockets."""

from __future__ import annotations

import errno
import logging
import select
import socket
import sys
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from fcntl import ioctl
from heapq import heappop, heappush
from ipaddress import ip_address
from math import ceil
from typing import Any

from greenlet import GreenletExit, getcurrent, greenlet

from lapispick.host.logs import log

READ, WRITE = select.POLLIN, select.POLLOUT
BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL
CHUNK = 65536  # bytes read at once
OUT_MOST = 1 << 20  # bytes that wait for a slow reader before its connection is given up
ROUND_S = 0.02  # s; after this the hub polls, so that urgent sockets wait for one call and no more
UNSENT_MOST = 4 << 20  # bytes that wait for all slow readers together, unless the limits say otherwise
LINGER_S = 0.5  # s; how long what a peer still sends is read and dropped before its connection is closed
LINGER_MOST = 256 * 1024  # bytes of that; who sends more at a closed door is cut off
SIOCOUTQ = 0x5411  # asks the system how many bytes of a connection its peer has not acknowledged


class Timer:
    """A call at a later time, which can be cancelled until then."""

    __slots__ = ("args", "fn")

    def __init__(self, fn: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.fn: Callable[..., Any] | None = fn
        self.args = args

    def cancel(self) -> None:
        """Make sure that the call does not happen."""
        self.fn = None


class Waiter:
    """One wait of one greenlet: the first wake counts and later ones do nothing."""

    __slots__ = ("done", "greenlet", "loop", "urgent")

    def __init__(self, loop: Loop, urgent: bool = False) -> None:
        self.loop, self.greenlet, self.done, self.urgent = loop, getcurrent(), False, urgent

    def wake(self, value: Any = None) -> None:
        """Let the greenlet go on with this value in the next round."""
        if not self.done:
            self.done = True
            self.loop.soon(self.greenlet.switch, value, urgent=self.urgent)


class Loop:
    """Runs greenlets until stopped. Its hub is the greenlet that made it; only the hub polls."""

    def __init__(self, unsent_most: int = UNSENT_MOST) -> None:
        self.unsent_most = unsent_most
        self._hub = getcurrent()
        self._poll = select.poll()
        self._ready: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self._urgent: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()  # these go first, in their order
        self._timers: list[tuple[float, int, Timer]] = []
        self._waits: dict[int, dict[int, Waiter]] = {}
        self._seq = 0
        self._stopped = False
        self.unsent = 0  # bytes that wait on all streams

    def soon(self, fn: Callable[..., Any], *args: Any, urgent: bool = False) -> None:
        """Call a function from the hub in the next round, or before all others in it."""
        (self._urgent if urgent else self._ready).append((fn, args))

    def later(self, seconds: float, fn: Callable[..., Any], *args: Any) -> Timer:
        """Call a function from the hub after a span."""
        timer = Timer(fn, args)
        self._seq += 1
        heappush(self._timers, (time.monotonic() + seconds, self._seq, timer))
        return timer

    def spawn(self, fn: Callable[..., Any], *args: Any, urgent: bool = False) -> greenlet:
        """Run a function in a greenlet of its own."""
        task = greenlet(self._guarded, self._hub)
        self.soon(task.switch, fn, *args, urgent=urgent)
        return task

    def kill(self, task: greenlet) -> None:
        """End a greenlet at its present wait."""
        self.soon(lambda: task.dead or task.throw(GreenletExit))

    def _guarded(self, fn: Callable[..., Any], *args: Any) -> None:
        # Guards the process: an uncaught exception of one greenlet would end the hub, and all others.
        try:
            fn(*args)
        except GreenletExit:
            pass
        except Exception:
            logging.getLogger("loop").exception("greenlet-failed", extra={"pairs": {"in": fn.__qualname__}})

    def sleep(self, seconds: float) -> None:
        """Wait for a span."""
        self.suspend(Waiter(self), seconds)

    def give_way(self) -> None:
        """Let all others that can go on have their turn first."""
        waiter = Waiter(self)
        waiter.wake()
        self.suspend(waiter)

    def suspend(self, waiter: Waiter, timeout: float | None = None) -> Any:
        """Wait until the waiter is woken; None after the timeout."""
        timer = None if timeout is None else self.later(timeout, waiter.wake)
        try:
            return self._hub.switch()
        finally:
            waiter.done = True
            if timer is not None:
                timer.cancel()

    def wait(self, fd: int, event: int, timeout: float | None = None, urgent: bool = False) -> bool:
        """Wait until a descriptor can be read or written; False after the timeout or when forgotten."""
        waits = self._waits.setdefault(fd, {})
        waits[event] = waiter = Waiter(self, urgent)
        self._poll.register(fd, sum(waits))
        try:
            return bool(self.suspend(waiter, timeout))
        finally:
            if self._waits.get(fd) is waits and waits.get(event) is waiter:
                del waits[event]
                if waits:
                    self._poll.register(fd, sum(waits))
                else:
                    self._drop(fd)

    def _drop(self, fd: int) -> None:
        del self._waits[fd]
        self._poll.unregister(fd)

    def forget(self, fd: int) -> None:
        """Wake whoever waits for a descriptor that is about to be closed."""
        if fd in self._waits:
            for waiter in self._waits[fd].values():
                waiter.wake(False)
            self._drop(fd)

    def stop(self) -> None:
        """End ``run`` after this round."""
        self._stopped = True

    def run(self) -> None:
        """Poll and switch until stopped."""
        while not self._stopped:
            for _ in range(len(self._urgent)):
                self._call(*self._urgent.popleft())
            until = time.monotonic() + ROUND_S
            for _ in range(len(self._ready)):
                self._call(*self._ready.popleft())
                if time.monotonic() > until:  # what is left comes before all that the poll finds, but the urgent
                    break
            for fd, events in self._poll.poll(self._pause()):
                for event, waiter in list(self._waits.get(fd, {}).items()):
                    if events & (event | BROKEN):
                        waiter.wake(True)
            now = time.monotonic()
            while self._timers and self._timers[0][0] <= now:
                timer = heappop(self._timers)[2]
                if timer.fn is not None:
                    self._call(timer.fn, timer.args)

    def _call(self, fn: Callable[..., Any], args: tuple[Any, ...]) -> None:
        try:
            fn(*args)
        except Exception:  # guards the process: a fault in one call from the hub would end all greenlets
            logging.getLogger("loop").exception("call-failed", extra={"pairs": {"in": str(fn)}})

    def _pause(self) -> int | None:
        """Return how many milliseconds the hub may sleep."""
        while self._timers and self._timers[0][2].fn is None:
            heappop(self._timers)
        if self._ready or self._urgent or self._stopped:
            return 0
        if not self._timers:
            return None
        return max(0, ceil((self._timers[0][0] - time.monotonic()) * 1000))


class Queue:
    """Items for one greenlet, which takes all that wait at once."""

    __slots__ = ("_items", "_loop", "_waiter")

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._items: list[Any] = []
        self._waiter: Waiter | None = None

    def put(self, item: Any) -> None:
        """Add an item; it never blocks."""
        self._items.append(item)
        if self._waiter is not None:
            self._waiter.wake()

    def take_all(self) -> list[Any]:
        """Wait for items and return them in order."""
        if not self._items:
            self._waiter = Waiter(self._loop)
            try:
                self._loop.suspend(self._waiter)
            finally:
                self._waiter = None
        items, self._items = self._items, []
        return items


class Overlong(Exception):
    """A peer sent more without an end of line than is kept for it."""


class Closed(Exception):
    """The connection ended in the middle of what was to be read."""


class Stream:
    """A socket with buffers. One greenlet reads; ``write`` never blocks and its backlog is bounded."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        longest: int = CHUNK,
        out_most: int = OUT_MOST,
        chunk: int = CHUNK,
        urgent: bool = False,
    ) -> None:
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.sock, self.longest, self.out_most, self.chunk = loop, sock, longest, out_most, chunk
        self.closed = self.failed = False
        self.deaf = False  # what comes is read and dropped
        self.ending = False  # what is written still goes out, and nothing after it
        self.ended = False  # the peer sends nothing more
        self._moved_at = 0.0  # when the peer last took bytes, as far as was seen, where some wait
        self._on_the_way = 0  # bytes; in the system's hands at the last look
        self.urgent = urgent
        self.received = 0  # bytes, ever or since the owner set it back
        self.heard_at, self.pieces = 0.0, 0  # when some came last, and how often
        self._in, self._out, self._flusher = bytearray(), bytearray(), None
        self._dropped = 0  # bytes
        self._ender: Timer | None = None

    @property
    def unsent(self) -> int:
        """How many bytes wait for the peer."""
        return len(self._out)

    def _moved(self) -> None:
        self._moved_at, self._on_the_way = time.monotonic(), 0

    def stalled(self) -> float:
        """Return for how long the peer has taken none of what waits for it, in s.

        Guards slow readers: the system takes bytes by the megabyte and then none for many seconds, all of which time
        the peer may be reading.
        """
        if not self._out:
            return 0.0
        left = bytes(4)
        with suppress(OSError):  # where the system can't tell, only what it takes counts
            left = ioctl(self.sock.fileno(), SIOCOUTQ, left)
        now = int.from_bytes(left, sys.byteorder)
        if now < self._on_the_way:
            self._moved_at = time.monotonic()
        self._on_the_way = now
        return time.monotonic() - self._moved_at

    def _receive(self, timeout: float | None) -> bool:
        """Add what the peer sent to the buffer; False at its end. Raises ``TimeoutError``."""
        waited = False
        while not self.closed:
            try:
                data = self.sock.recv(self.chunk)
            except BlockingIOError:
                data = None  # the wait stands outside, or each waiting greenlet would hold a traceback
            except OSError:
                self.failed = True
                if self.ending:
                    self.close()
                return False
            if data is None:
                came = self.loop.wait(self.sock.fileno(), READ, timeout, self.urgent)
                if not (came or self.closed or self.deaf):
                    raise TimeoutError("nothing was received in time")
                waited = True
                continue
            self.ended = not data
            if self.deaf:
                if not self._drop(len(data)):
                    return False
                if not waited:
                    self.loop.give_way()
                waited = False
                continue
            self._in += data
            self.received += len(data)
            self.heard_at, self.pieces = time.monotonic(), self.pieces + 1
            if not waited:  # a peer that sends without a pause must not keep the others waiting
                self.loop.give_way()
            return bool(data)
        return False

    def read_line(self, timeout: float | None = None) -> bytes | None:
        """Return the next line without its end, or None at the end of the stream."""
        start = 0
        while (end := self._in.find(b"\n", start)) < 0:
            start = len(self._in)
            if start > self.longest:
                raise Overlong(f"over {self.longest} bytes without an end of line")
            if not self._receive(timeout):
                return None
        if end > self.longest:
            raise Overlong(f"a line of {end} bytes")
        line = bytes(self._in[:end])
        del self._in[: end + 1]
        return line

    def read_exactly(self, size: int, timeout: float | None = None) -> bytes:
        """Return this many bytes; raises ``Closed`` where the stream ends before."""
        while len(self._in) < size:
            if not self._receive(timeout):
                raise Closed(f"the stream ended {size - len(self._in)} bytes early")
        data = bytes(self._in[:size])
        del self._in[:size]
        return data

    def holds_line(self) -> bool:
        """Tell whether a whole line can be read without waiting."""
        return b"\n" in self._in

    @property
    def unread(self) -> int:
        """How many bytes were received and not taken so far."""
        return len(self._in)

    def waiting(self) -> bool:
        """Tell whether bytes of the peer wait in the system."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def quiet(self) -> bool:
        """Tell whether the peer has neither closed nor sent anything that is still unread."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self._in
        except OSError:
            return False
        return False

    def write(self, data: bytes) -> None:
        """Send now what the socket takes and keep the rest for later."""
        if self.closed or self.ending:
            return
        if not self._out:
            self._moved()
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                return self._fail()
            if not data:
                return
        self._out += data
        self.loop.unsent += len(data)
        # Guards the memory: neither one slow reader nor hundreds of them may fill it.
        if len(self._out) > self.out_most or self.loop.unsent > self.loop.unsent_most:
            log("loop", logging.WARNING, "slow-reader-dropped", unsent=len(self._out))
            self._fail()
        elif self._flusher is None:
            self._flusher = self.loop.spawn(self._flush)

    def _flush(self) -> None:
        while self._out and not self.closed:
            if not self.loop.wait(self.sock.fileno(), WRITE):
                break
            try:
                sent = self.sock.send(self._out)
                del self._out[:sent]
                self.loop.unsent -= sent
                self._moved()
            except BlockingIOError:
                continue
            except OSError:
                self._fail()
        self._flusher = None
        if self.ending:
            self._half_close()

    def _fail(self) -> None:
        self.failed = True
        self.close()

    def deafen(self) -> None:
        """Hand out nothing that comes from now on; whoever reads here goes on reading, and drops it."""
        self.deaf = True
        self._in.clear()

    def _drop(self, size: int) -> bool:
        """Count bytes that are dropped; False where no more are read."""
        self._dropped += size
        if self._dropped > LINGER_MOST or (self.ended and self.ending and not self._out):
            self.close()
        return not (self.closed or self.ended)

    def finish(self, within: float = LINGER_S) -> None:
        """Send what was written, say that nothing follows, and close when the peer has ended too, or after a while.

        Guards what is on its way: the system turns a close over bytes that nobody read into a reset, which takes
        answers along that the peer has not read. What comes meanwhile reaches nobody here, so the peer may send it
        again elsewhere. Whoever reads the stream goes on; see ``linger`` where nobody would.
        """
        if self.closed or self.ending:
            return
        self.deafen()
        self.ending = True
        if not self._out:
            self._half_close()
        if not self.closed:
            self._ender = self.loop.later(within, self.close)

    def _half_close(self) -> None:
        if not self.closed:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
            if self.ended:
                self.close()

    def linger(self, within: float = LINGER_S) -> None:
        """Finish, and wait here until the stream is closed."""
        self.finish(within)
        if not self.ended:
            self._receive(None)

    def close(self) -> None:
        """Close the socket and wake whoever waits for it."""
        if not self.closed:
            self.closed = True
            if self._ender is not None:  # or it would hold the stream until its time
                self._ender.cancel()
            self.loop.unsent -= len(self._out)
            self._out.clear()
            self.loop.forget(self.sock.fileno())
            self.sock.close()


def readable(sock: socket.socket) -> bool:
    """Tell whether a socket can be read, or a listener accepted from, without waiting."""
    poll = select.poll()
    poll.register(sock.fileno(), READ)
    return bool(poll.poll(0))


def address(text: str, least: int = 1) -> tuple[str, int]:
    """Split ``IP:port``; raises ``ValueError``. A name would have to be looked up, which stops the loop."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or not least <= int(port) < 65536:
        raise ValueError(f"{text!r} is not IP:port")
    return str(ip_address(host.strip("[]"))), int(port)


def connect(loop: Loop, to: tuple[str, int], timeout: float, **limits: int) -> Stream:
    """Open a connection; raises ``OSError`` (``TimeoutError`` among them) with nothing sent."""
    sock = socket.socket(socket.AF_INET6 if ":" in to[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(to)
        if code == errno.EINPROGRESS:
            if not loop.wait(sock.fileno(), WRITE, timeout):
                raise TimeoutError("no connection in time")
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "error"))
        return Stream(loop, sock, **limits)
    except BaseException:
        sock.close()
        raise
