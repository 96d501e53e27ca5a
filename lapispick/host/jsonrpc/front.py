"""The platform's front: JSON-RPC 2.0 over TCP, one message a line. It decides nothing."""

from __future__ import annotations

import errno
import logging
import socket
import time
from collections.abc import Callable, Iterator

from lapispick import admission
from lapispick.handover import budget
from lapispick.host import connection_eviction, events
from lapispick.host.connection_eviction import EvictionClass
from lapispick.host.jsonrpc.connection import Connection, ConnectionContext
from lapispick.host.logs import log
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.streams import Stream, is_readable
from lapispick.platform_settings import StartSettings

LOG = "clients"
MAX_MESSAGE_BYTES = 8 * 1024  # one with a body of 2 KiB has about 3,200
RECEIVE_BYTES = 16 * 1024  # read from a connection at once
MAX_UNSENT_BYTES = 256 * 1024  # that wait for a slow reader; 32 full answers are under that
BACKLOG = 1024
MAX_ACCEPTS_PER_ROUND = 64  # so that a flood of connections leaves time for other greenlets
ACCEPT_PAUSE_S = 0.05  # after a connection could not be accepted
MAX_EVICTION_CHECKS = 8  # candidates for eviction beyond the number that may be accepted in one round
# How long the order of eviction is used, as computing it takes some ms with hundreds of connections: for the class that
# it began with, and for later classes.
MAX_ORDER_AGE_S = 0.05
MAX_LATER_ORDER_AGE_S = 0.01
SWEEP_INTERVAL_S = 0.1  # between two checks of all connections
GOAWAY_TIMEOUT_S = 1.0  # how long an idle peer may take to close after goaway


class Evictor:
    """Closes connections in the order of eviction, which is used for several of them."""

    def __init__(self, connections: set[Connection]) -> None:
        self._connections = connections
        self._candidates: Iterator[tuple[Connection, EvictionClass]] | None = None  # in their order
        self._ordered_at = 0.0
        self._first_class = EvictionClass.AT_FAULT  # that the order began with

    def evict(self) -> bool:
        """Close the first connection in the order of eviction; False where none may be closed."""
        now = time.monotonic()
        is_fresh = False
        while not is_fresh:
            age_s = now - self._ordered_at
            if self._candidates is None or age_s > MAX_ORDER_AGE_S:
                self._candidates = self._order_candidates(now)
                is_fresh = True
            for connection, eviction_class in self._candidates:
                if not is_fresh and eviction_class > self._first_class and age_s > MAX_LATER_ORDER_AGE_S:
                    break  # others may be in an earlier class by now
                if self._close_candidate(connection, eviction_class, now):
                    return True
            self._candidates = None
        return False

    def _order_candidates(self, now: float) -> Iterator[tuple[Connection, EvictionClass]]:
        states = ((connection, connection.eviction_state()) for connection in self._connections)
        order = connection_eviction.eviction_order(states, now)
        self._ordered_at = now
        self._first_class = order[0][1] if order else EvictionClass.AT_FAULT
        return iter(order[: MAX_ACCEPTS_PER_ROUND + MAX_EVICTION_CHECKS])

    def _close_candidate(self, connection: Connection, eviction_class: EvictionClass, now: float) -> bool:
        """Close a connection, unless what arrived since the order was computed is a reason not to evict it."""
        stream = connection.stream
        if stream.closed:
            return False
        if not connection_eviction.may_still_be_evicted(eviction_class, connection.eviction_state(), now):
            return False
        if not stream.closing and stream.has_pending_input():
            return False
        connection.close()
        return True


class JsonRpcFront:
    """Listens for gateways, and keeps their connections within the limit on descriptors."""

    def __init__(
        self,
        loop: EventLoop,
        listen: tuple[str, int],
        start_settings: StartSettings,
        settings: admission.Settings,
        max_connections: int,
        post: Callable[[events.Event], None],
        backpressure: Callable[[], float | None],
    ) -> None:
        self.loop = loop
        self.address = "{}:{}".format(*listen)
        self.connections: set[Connection] = set()
        self.peer_connections: int | None = None  # of another process of this worker host; None = there is none
        self._context = ConnectionContext(
            loop=loop,
            post=post,
            backpressure=backpressure,
            class_indexes={
                request_class.name: index for index, request_class in enumerate(start_settings.request_classes)
            },
            classes=settings.classes,
            tenants={tenant.name for tenant in start_settings.tenants},
            needs_timeout=start_settings.host.callers_send_deadline,
            on_closed=self.connections.discard,
        )
        self._max_connections = max_connections
        self._idle_timeout_s = settings.idle_timeout_ms / 1000
        self._is_shutting_down = False
        self._listen_address = listen
        self._listener: socket.socket | None = None
        self._evictor = Evictor(self.connections)

    # Listening.

    @property
    def is_listening(self) -> bool:
        """Tell whether connections are accepted."""
        return self._listener is not None

    def fileno(self) -> int:
        """Return the listener's descriptor."""
        assert self._listener is not None
        return self._listener.fileno()

    def listen(self, listener: socket.socket | None = None) -> None:
        """Listen at the address, or at the listener that the previous process hands over."""
        if listener is None:
            family = socket.AF_INET6 if ":" in self._listen_address[0] else socket.AF_INET
            listener = socket.socket(family, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)  # the next process may start beside this one
            listener.bind(self._listen_address)
        listener.setblocking(False)
        listener.listen(BACKLOG)
        self._listener = listener
        self.address = "{}:{}".format(*listener.getsockname()[:2])

    def serve(self) -> None:
        """Accept connections until the listener is closed."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        while (listener := self._listener) is not None:
            is_ready = self.loop.wait_for_io(listener.fileno(), READ)
            # The listener may be closed after this greenlet was woken and before it runs.
            if is_ready and self._listener is listener and not self._accept(listener):
                self.loop.sleep(ACCEPT_PAUSE_S)

    def _accept(self, listener: socket.socket) -> bool:
        """Accept the connections that wait; False where none can be accepted now."""
        for _ in range(MAX_ACCEPTS_PER_ROUND):
            if len(self.connections) >= budget.max_connections(self._max_connections, self.peer_connections):
                if not is_readable(listener):  # nobody waits, so none has to be evicted
                    break
                if not self._evictor.evict():
                    return False
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                break
            except OSError as err:
                if err.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                log(LOG, logging.ERROR, "accept-failed", error=err)  # there may be no descriptors left
                return self._evictor.evict()
            self._add_connection(sock)
        return True

    def _add_connection(self, sock: socket.socket) -> None:
        stream = Stream(self.loop, sock, MAX_MESSAGE_BYTES, MAX_UNSENT_BYTES, RECEIVE_BYTES)
        connection = Connection(self._context, stream)
        self.connections.add(connection)
        if self._is_shutting_down:
            connection.send_goaway()
        self.loop.spawn(connection.serve)

    def close_listener(self, is_shared: bool = False) -> None:
        """Accept what has connected so far, and close; a shared listener stays open in the other process."""
        listener = self._listener
        if listener is None:
            return
        rounds = 0 if is_shared else BACKLOG // MAX_ACCEPTS_PER_ROUND + 1  # all that the kernel queues
        while rounds and is_readable(listener) and self._accept(listener):
            rounds -= 1
        self._listener = None
        self.loop.cancel_io_waits(listener.fileno())
        listener.close()

    # Periodic checks.

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Close connections that carried nothing for this long."""
        self._idle_timeout_s = timeout_ms / 1000

    def _sweep(self) -> None:
        """Close connections that are over the limit, overdue or idle."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = time.monotonic()
        while len(self.connections) > budget.max_connections(self._max_connections, self.peer_connections):
            if not self._evictor.evict():
                break
        for connection in list(self.connections):
            self._check(connection, now)

    def _check(self, connection: Connection, now: float) -> None:
        stream = connection.stream
        if stream.closed:
            connection.close()
        elif stream.discarding or connection.input_ended:
            pass  # it is being closed
        elif connection.is_overdue(now):
            open_count = len(connection.requests.by_id)
            log(LOG, logging.INFO, "silent-closed", unread=stream.unread_bytes, open=open_count)
            if open_count:
                connection.close_after_answers()
            else:
                connection.close_gracefully()
        elif not (connection.requests.by_id or stream.unsent_bytes) and self._idle_timeout_s:
            self._check_idle(connection, now)

    def _check_idle(self, connection: Connection, now: float) -> None:
        """Ask an idle gateway to close, so that no request crosses the close, and close if it does not."""
        idle_s = now - connection.activity.last_used_at
        if idle_s <= self._idle_timeout_s:
            return
        connection.send_goaway()
        if idle_s <= self._idle_timeout_s + GOAWAY_TIMEOUT_S:
            return
        if not (connection.stream.unread_bytes or connection.stream.has_pending_input()):
            connection.close_gracefully()

    # Shutdown.

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown: ask all gateways to send nothing new."""
        self._is_shutting_down = True
        for connection in self.connections:
            connection.send_goaway()

    def is_idle(self) -> bool:
        """Tell whether nothing is open, unsent or unread on any connection that still reads."""
        return not any(
            connection.requests.by_id or connection.stream.unsent_bytes or _may_bring_requests(connection.stream)
            for connection in self.connections
        )

    def close_connections(self) -> None:
        """Close all connections once what was written on them is sent."""
        for connection in list(self.connections):
            connection.close_gracefully()

    def all_closed(self) -> bool:
        """Tell whether all connections are closed."""
        return all(connection.stream.closed for connection in self.connections)

    def is_flushed(self) -> bool:
        """Tell whether all answers were handed to the operating system."""
        return not any(connection.stream.unsent_bytes for connection in self.connections)


def _may_bring_requests(stream: Stream) -> bool:
    """Tell whether a stream is read and has input that is not processed, or has failed."""
    return not (stream.discarding or stream.eof_received or stream.is_idle())
