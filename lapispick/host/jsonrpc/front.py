"""The JSON-RPC 2.0 front for gateways: accepts their TCP connections, on which each line is one message.

The core decides which requests are served.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable, Iterator

from lapispick import admission
from lapispick.handover import budget
from lapispick.host import connection_eviction, events
from lapispick.host.connection_eviction import EvictionClass
from lapispick.host.jsonrpc import messages
from lapispick.host.jsonrpc.connection import Connection, ConnectionContext
from lapispick.host.logs import log
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.streams import Stream, is_readable
from lapispick.platform_settings import StartSettings

LOG = "clients"
RECEIVE_BYTES = 16 * 1024  # per read from a connection
MAX_UNSENT_BYTES = 256 * 1024  # buffered for a slow reader; 32 answers of full size take less
BACKLOG = 1024
MAX_ACCEPTS_PER_ROUND = 64  # leaves time for other greenlets during a flood of connections
ACCEPT_PAUSE_S = 0.05  # after a failure to accept a connection
MAX_EVICTION_CHECKS = 8  # eviction candidates in excess of the connections that may be accepted in one round
# The order of eviction is reused, because computing it takes some ms with hundreds of connections.
MAX_ORDER_AGE_S = 0.05  # for connections of the first eviction class in the order
MAX_LATER_CLASS_ORDER_AGE_S = 0.01  # for connections of the classes after it
SWEEP_INTERVAL_S = 0.1  # between checks of all connections
GOAWAY_TIMEOUT_S = 1.0  # for an idle peer to close its connection after goaway


class Evictor:
    """Closes connections in the order of eviction; the computed order is reused for several evictions."""

    def __init__(self, connections: set[Connection], clock: Callable[[], float]) -> None:
        self._connections = connections
        self._clock = clock  # that of the times in ``ConnectionState``
        self._candidates: Iterator[tuple[Connection, EvictionClass]] | None = None  # in the order of eviction
        self._ordered_at = 0.0
        self._first_class = EvictionClass.AT_FAULT  # of the first candidate in the order

    def evict(self) -> bool:
        """Close the first connection in the order of eviction; return False if no connection may be closed."""
        now = self._clock()
        is_fresh = False
        while not is_fresh:
            age_s = now - self._ordered_at
            if self._candidates is None or age_s > MAX_ORDER_AGE_S:
                self._candidates = self._order_candidates(now)
                is_fresh = True
            for connection, eviction_class in self._candidates:
                if not is_fresh and eviction_class > self._first_class and age_s > MAX_LATER_CLASS_ORDER_AGE_S:
                    break  # other connections may have moved to an earlier class
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
        """Close a connection and return True, unless input received since the order was computed protects it."""
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
    """Listens for gateways and keeps the number of their connections within the descriptor limit."""

    def __init__(
        self,
        loop: EventLoop,
        listen: tuple[str, int],
        start_settings: StartSettings,
        settings: admission.Settings,
        max_connections: int,
        max_input_bytes: int,
        post: Callable[[events.Event], None],
        backpressure: Callable[[], float | None],
    ) -> None:
        """``max_input_bytes`` is how much memory the messages that are received on all connections may take."""
        self.loop = loop
        self.address = "{}:{}".format(*listen)
        self.connections: set[Connection] = set()
        self.peer_connections: int | None = None  # of the other process of this worker host; None = there is no other
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
            retries_are_marked=start_settings.callers.retries_are_marked,
            on_closed=self.connections.discard,
        )
        self._max_message_bytes = messages.max_message_bytes(self._context.class_indexes, self._context.tenants)
        self._max_connections = min(max_connections, max_input_bytes // self._max_message_bytes)
        self._idle_timeout_s = settings.idle_timeout_ms / 1000
        self._is_shutting_down = False
        self._listen_address = listen
        self._listener: socket.socket | None = None
        self._evictor = Evictor(self.connections, loop.active_time)

    # Listening.

    @property
    def is_listening(self) -> bool:
        """Return True if connections are accepted."""
        return self._listener is not None

    def fileno(self) -> int:
        """Return the listener's descriptor."""
        assert self._listener is not None
        return self._listener.fileno()

    def listen(self, listener: socket.socket | None = None) -> None:
        """Listen on the configured address, or on a listener that the previous process handed over."""
        if listener is None:
            family = socket.AF_INET6 if ":" in self._listen_address[0] else socket.AF_INET
            listener = socket.socket(family, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # The successor process may start to listen while this process still runs.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
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
            # The listener may be closed between the wake-up of this greenlet and its next step.
            if is_ready and self._listener is listener and not self._accept(listener):
                self.loop.sleep(ACCEPT_PAUSE_S)

    def _accept(self, listener: socket.socket) -> bool:
        """Accept pending connections; return False if no connection can be accepted now."""
        for _ in range(MAX_ACCEPTS_PER_ROUND):
            if len(self.connections) >= budget.max_connections(self._max_connections, self.peer_connections):
                if not is_readable(listener):  # no connection is pending, so no eviction is needed
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
                log(LOG, logging.ERROR, "accept-failed", error=err)  # the process may have run out of descriptors
                return self._evictor.evict()
            self._add_connection(sock)
        return True

    def _add_connection(self, sock: socket.socket) -> None:
        stream = Stream(self.loop, sock, self._max_message_bytes, MAX_UNSENT_BYTES, RECEIVE_BYTES)
        connection = Connection(self._context, stream)
        self.connections.add(connection)
        if self._is_shutting_down:
            connection.send_goaway()
        self.loop.spawn(connection.serve)

    def close_listener(self, is_shared: bool = False) -> None:
        """Accept the pending connections and close the listener.

        A shared listener stays open in the other process, which accepts the pending connections.
        """
        listener = self._listener
        if listener is None:
            return
        remaining_rounds = 0 if is_shared else BACKLOG // MAX_ACCEPTS_PER_ROUND + 1  # covers the kernel's whole backlog
        while remaining_rounds and is_readable(listener) and self._accept(listener):
            remaining_rounds -= 1
        self._listener = None
        self.loop.cancel_io_waits(listener.fileno())
        listener.close()

    # Periodic checks.

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Set the time without messages after which connections are closed."""
        self._idle_timeout_s = timeout_ms / 1000

    def _sweep(self) -> None:
        """Close connections that exceed the limit, are overdue or are idle."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.active_time()
        while len(self.connections) > budget.max_connections(self._max_connections, self.peer_connections):
            if not self._evictor.evict():
                break
        for connection in list(self.connections):
            self._check(connection, now)

    def _check(self, connection: Connection, now: float) -> None:
        stream = connection.stream
        if stream.closed:
            connection.close()
        elif connection.closes_after_answers or stream.discarding or connection.input_ended:
            pass  # the connection is being closed
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
        """Ask an idle gateway to close its connection, and close it after ``GOAWAY_TIMEOUT_S``.

        Closing at once could lose a request that the gateway has already sent.
        """
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
        """Begin a graceful shutdown: ask all gateways to send no new requests."""
        self._is_shutting_down = True
        for connection in self.connections:
            connection.send_goaway()

    def is_idle(self) -> bool:
        """Return True if no connection has open requests, unsent answers or input that may contain requests."""
        return not any(
            connection.requests.by_id or connection.stream.unsent_bytes or _may_receive_requests(connection)
            for connection in self.connections
        )

    def close_connections(self) -> None:
        """Close all connections once the data written to them is sent."""
        for connection in list(self.connections):
            connection.close_gracefully()

    def all_closed(self) -> bool:
        """Return True if all connections are closed."""
        return all(connection.stream.closed for connection in self.connections)

    def is_flushed(self) -> bool:
        """Return True if all answers were passed to the operating system."""
        return not any(connection.stream.unsent_bytes for connection in self.connections)


def _may_receive_requests(connection: Connection) -> bool:
    """Return True if a connection that still accepts requests has unprocessed input or has failed."""
    stream = connection.stream
    return not (connection.closes_after_answers or stream.discarding or stream.eof_received or stream.is_idle())
