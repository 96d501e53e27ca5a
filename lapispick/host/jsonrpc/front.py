"""The platform's front: JSON-RPC 2.0 over TCP, one message a line. It decides nothing."""

from __future__ import annotations

import errno
import logging
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

from lapispick import admission
from lapispick.handover import budget
from lapispick.host import connection_eviction
from lapispick.host.jsonrpc.connection import Connection
from lapispick.host.logs import log
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.streams import Stream, is_readable
from lapispick.platform_settings import StartSettings

LOG = "clients"
MAX_MESSAGE_BYTES = 8 * 1024  # bytes of one message; with a body of 2 KiB it has about 3,200
RECEIVE_BYTES = 16 * 1024  # bytes read from a connection at once
MAX_UNSENT_BYTES = 256 * 1024  # bytes that wait for a slow reader; 32 full answers are under that
BACKLOG = 1024
MAX_ACCEPTS_PER_ROUND = 64  # in one round, so that a flood of connections leaves time for the rest
MAX_EVICTION_LOOKS = 8  # connections more than are accepted at once that are looked at when room is made
# s; for so long the order of who goes is used, of the kind that costs least and of the others: to find it takes some
# ms where hundreds are open
ORDER_S = (0.05, 0.01)
SWEEP_INTERVAL_S = 0.1  # s; between two looks for idle connections
GOAWAY_TIMEOUT_S = 1.0  # s; how long a peer may take to close after goaway


class Gateways:
    """Listens, and keeps the connections within the limit on descriptors."""

    def __init__(
        self,
        loop: EventLoop,
        listen: tuple[str, int],
        info: StartSettings,
        settings: admission.Settings,
        most: int,
        post: Callable[[Any], None],
        advice: Callable[[], float | None],
    ) -> None:
        self.loop, self.post, self.advice = loop, post, advice
        self.classes = {s.name: i for i, s in enumerate(info.request_classes)}
        self.settings = settings
        self.tenants = {party.name for party in info.tenants}
        self.needs_timeout = info.host.callers_send_deadline
        self.connections: set[Connection] = set()
        self._most, self._idle_s, self._leaving = most, settings.idle_timeout_ms / 1000, False
        self._listen = listen
        self._sock: socket.socket | None = None
        self.address = "{}:{}".format(*listen)
        self._going: Iterator[tuple[Connection, int]] | None = None  # who makes room, in their order, with their kind
        self._ordered_at, self._least = 0.0, 0  # when the order was found, and the kind that it began with
        self.others: int | None = None  # connections of another process of this worker host; None = there is none

    @property
    def listening(self) -> bool:
        """Tell whether connections are accepted."""
        return self._sock is not None

    def fileno(self) -> int:
        """Return the listening socket's descriptor."""
        assert self._sock is not None
        return self._sock.fileno()

    def listen(self, sock: socket.socket | None = None) -> None:
        """Listen at the address, or at the socket that the process before this one hands over."""
        if sock is None:
            family = socket.AF_INET6 if ":" in self._listen[0] else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)  # the next version may start beside this one
            sock.bind(self._listen)
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self._sock = sock
        self.address = "{}:{}".format(*sock.getsockname()[:2])

    def serve(self) -> None:
        """Accept connections until told to close."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        while (sock := self._sock) is not None:
            # The listener may be closed between its wake and our turn.
            if self.loop.wait_for_io(sock.fileno(), READ) and self._sock is sock and not self._accept(sock):
                self.loop.sleep(0.05)

    def _accept(self, listener: socket.socket) -> bool:
        """Accept what waits; False where there is no room just now."""
        for _ in range(MAX_ACCEPTS_PER_ROUND):
            if len(self.connections) >= budget.max_connections(self._most, self.others):
                if not is_readable(listener):  # nobody waits, so nobody has to go
                    break
                if not self._make_room():
                    return False
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                break
            except OSError as err:  # out of descriptors, say: those that are open go on
                if err.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                log(LOG, logging.ERROR, "accept-failed", error=err)
                return self._make_room()
            connection = Connection(self, Stream(self.loop, sock, MAX_MESSAGE_BYTES, MAX_UNSENT_BYTES, RECEIVE_BYTES))
            self.connections.add(connection)
            if self._leaving:
                connection.goaway()
            self.loop.spawn(connection.serve)
        return True

    def _make_room(self) -> bool:
        """Close the connection that is the least loss, unless bytes of it wait in the system."""
        now, fresh = time.monotonic(), False
        while not fresh:
            age = now - self._ordered_at
            if self._going is None or age > ORDER_S[0]:
                going = connection_eviction.order(((c, c.standing()) for c in self.connections), now)
                self._going, self._ordered_at, fresh = (
                    iter(going[: MAX_ACCEPTS_PER_ROUND + MAX_EVICTION_LOOKS]),
                    now,
                    True,
                )
                self._least = going[0][1] if going else 0
            for c, kind in self._going:
                if not fresh and kind > self._least and age > ORDER_S[1]:  # by now others may cost less
                    break
                # What came since the order was found may be a reason to keep a connection, and is looked at again.
                if c.stream.closed or not connection_eviction.still(kind, c.standing(), now):
                    continue
                if c.stream.closing or not c.stream.has_pending_input():
                    c.close()
                    return True
            self._going = None
        return False

    def closed(self, connection: Connection) -> None:
        """Forget a connection."""
        self.connections.discard(connection)

    def limit_idle(self, span_ms: float) -> None:
        """Let connections go that carried nothing for this long."""
        self._idle_s = span_ms / 1000

    def leave(self) -> None:
        """Tell all gateways that nothing new is wanted here."""
        self._leaving = True
        for connection in self.connections:
            connection.goaway()

    def close_listener(self, passed: bool = False) -> None:
        """Take in what has connected so far and refuse the rest; where it was passed on, the other process goes on."""
        if (sock := self._sock) is not None:
            rounds = (
                0 if passed else BACKLOG // MAX_ACCEPTS_PER_ROUND + 1
            )  # all that the system holds, which is the backlog at most
            while rounds and is_readable(sock) and self._accept(sock):
                rounds -= 1
            self._sock = None
            self.loop.cancel_io_waits(sock.fileno())
            sock.close()

    def quiet(self) -> bool:
        """Tell whether nothing is open, unread or half read on any connection that still takes something."""
        return not any(
            c.open or c.stream.unsent_bytes or not (c.stream.discarding or c.stream.eof_received or c.stream.is_idle())
            for c in self.connections
        )

    def finish(self) -> None:
        """End all connections; what was written on them is still on its way."""
        for c in list(self.connections):
            c.finish()

    def gone(self) -> bool:
        """Tell whether all connections are closed."""
        return all(c.stream.closed for c in self.connections)

    def flushed(self) -> bool:
        """Tell whether all answers were handed to the system."""
        return not any(c.stream.unsent_bytes for c in self.connections)

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = time.monotonic()
        while len(self.connections) > budget.max_connections(self._most, self.others) and self._make_room():
            pass  # another process of this worker host needs a part of the descriptors
        for c in list(self.connections):
            if c.stream.closed:
                c.close()
            elif c.stream.discarding or c.ended:
                pass  # it ends by itself
            elif c.overdue(now):
                log(LOG, logging.INFO, "silent-closed", unread=c.stream.unread_bytes, open=len(c.open))
                if c.open:  # what was asked before is still answered; the message that never ends has its word now
                    c.word("the message did not come whole in time")
                    c.shut_in()
                else:
                    c.finish()
            elif not (c.open or c.stream.unsent_bytes) and self._idle_s and now - c.used_at > self._idle_s:
                # First goaway, so that a request that crosses the close is not lost; then the gateway closes.
                c.goaway()
                if now - c.used_at > self._idle_s + GOAWAY_TIMEOUT_S and not (
                    c.stream.unread_bytes or c.stream.has_pending_input()
                ):
                    c.finish()
