"""Loopback proxy for the links between processes, with faults: partitions (also one-way), resets, delays and loss.

A link joins two named endpoints. Its faults apply to all its connections, current and future. A partition delays the
bytes of a stream, as TCP retransmission does; they arrive when it heals, unless an endpoint has closed the connection.
"""

import contextlib
import heapq
import itertools
import random
import selectors
import socket
import struct
import threading
import time

from lapispick.fakes.fault_links import Flow, Link

READ_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = 1 << 20  # per direction; reading stops beyond it, as with full socket buffers of the kernel
MAX_SELECT_S = 1.0
RATE_INTERVAL_S = 0.02  # a rate-limited direction sends at once what its rate allows in this time
BUSY_RETRY_S = 0.01  # after a send to a full socket buffer
REORDER_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 2
MAX_PORT_ATTEMPTS = 50


class LinkForwarder:
    """A thread that forwards the bytes and datagrams of all links."""

    def __init__(self, rng):
        self.random = rng
        self.links = []
        self.lock = threading.RLock()
        self._selector = selectors.DefaultSelector()
        self._timers = []  # (due, number, callback)
        self._timer_numbers = itertools.count()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ, self._on_wake)
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def add(self, link):
        """Start to forward a link."""
        with self.lock:
            self.links.append(link)
        callback = self._accept if link.kind == socket.SOCK_STREAM else self._forward_datagram
        self._selector.register(link.sock, selectors.EVENT_READ, lambda: callback(link))
        self.wake()

    def wake(self):
        """Make the thread check all flows, after a change of their directions."""
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"x")

    def reset(self, flow):
        """Reset a connection."""
        both_flows = (flow, flow.opposite)
        for either_flow in both_flows:
            flow.link.flows.discard(either_flow)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(either_flow.source)
            either_flow.pending = []
        for either_flow in both_flows:
            _close_with_reset(either_flow.source)

    def close(self):
        """Stop the thread and close the sockets of all links."""
        self._stopped = True
        self.wake()
        self._thread.join(5)
        for link in self.links:
            link.sock.close()

    def _run(self):
        while not self._stopped:
            for key, _ in self._selector.select(self._select_timeout_s()):
                with self.lock:
                    key.data()
            with self.lock:
                while self._timers and self._timers[0][0] <= time.monotonic():
                    _, _, callback = heapq.heappop(self._timers)
                    callback()

    def _select_timeout_s(self):
        if not self._timers:
            return MAX_SELECT_S
        return max(0.0, min(self._timers[0][0] - time.monotonic(), MAX_SELECT_S))

    def _call_at(self, due, callback):
        heapq.heappush(self._timers, (due, next(self._timer_numbers), callback))

    def _on_wake(self):
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(4096)
        with self.lock:
            for link in self.links:
                for flow in list(link.flows):
                    self._forward(flow)

    def _accept(self, link):
        try:
            client_sock, _ = link.sock.accept()
        except OSError:
            return
        if link.refuses_connections:
            _close_with_reset(client_sock)
            return
        target_sock = socket.socket()
        try:
            target_sock.settimeout(CONNECT_TIMEOUT_S)
            target_sock.connect(link.target_address)  # on loopback it is accepted or refused at once
        except OSError:
            target_sock.close()
            _close_with_reset(client_sock)
            return
        for sock in (client_sock, target_sock):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._add_flows(link, client_sock, target_sock)

    def _add_flows(self, link, client_sock, target_sock):
        forward = Flow(link, client_sock, target_sock, link.forward)
        backward = Flow(link, target_sock, client_sock, link.backward)
        forward.opposite = backward
        backward.opposite = forward
        for flow in (forward, backward):
            link.flows.add(flow)
            self._register(flow)

    def _register(self, flow):
        self._selector.register(flow.source, selectors.EVENT_READ, lambda: self._read(flow))

    def _read(self, flow):
        try:
            data = flow.source.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.reset(flow)
            return
        direction = flow.direction
        jitter_s = self.random.random() * direction.jitter_s if direction.jitter_s else 0.0
        flow.add(data, time.monotonic() + direction.delay_s + jitter_s)
        if not data or flow.pending_bytes > MAX_BUFFERED_BYTES:
            self._selector.unregister(flow.source)
            flow.has_ended = not data
        self._forward(flow)

    def _forward(self, flow):
        """Send the bytes of a flow that are due."""
        while flow.pending and not flow.direction.is_paused:
            due, data = flow.pending[0]
            now = time.monotonic()
            send_at = max(due, flow.next_send_at)
            if send_at > now:
                self._call_at(send_at, lambda: self._forward(flow))
                return
            if not data:
                self._forward_end(flow)
                return
            piece = flow.next_piece(data, RATE_INTERVAL_S)
            try:
                sent = flow.sink.send(piece) if piece else 0
            except BlockingIOError:
                self._call_at(now + BUSY_RETRY_S, lambda: self._forward(flow))
                return
            except OSError:
                self.reset(flow)
                return
            flow.mark_sent(sent, now)
            if flow.reached_reset():
                self.reset(flow)
                return
            self._resume_reading(flow)

    def _forward_end(self, flow):
        """Forward the end of a stream; close the connection if the other direction has ended too."""
        flow.pending.pop(0)
        with contextlib.suppress(OSError):
            flow.sink.shutdown(socket.SHUT_WR)
        if flow.opposite.has_ended and not flow.opposite.pending:
            self.reset(flow)

    def _resume_reading(self, flow):
        """Read from the source again if reading had stopped at the buffer limit."""
        if flow.pending_bytes > MAX_BUFFERED_BYTES or flow.has_ended or flow.source.fileno() < 0:
            return
        with contextlib.suppress(KeyError, ValueError):
            self._selector.get_key(flow.source)
            return
        with contextlib.suppress(ValueError):
            self._register(flow)

    def _forward_datagram(self, link):
        try:
            data, _ = link.sock.recvfrom(65536)
        except OSError:
            return
        direction = link.forward
        rng = self.random
        sender = (link.reply_link or link).sock
        for _ in range(2 if rng.random() < direction.duplicate else 1):
            if direction.is_paused or rng.random() < direction.loss:
                continue
            delay_s = direction.delay_s + rng.random() * direction.jitter_s
            if rng.random() < direction.reorder:
                delay_s += REORDER_DELAY_S
            self._call_at(time.monotonic() + delay_s, lambda: _send_datagram(sender, data, link.target_address))


class FaultProxy:
    """All links and their faults; ``seed`` determines jitter and the faults of datagrams."""

    def __init__(self, seed):
        self._forwarder = LinkForwarder(random.Random(seed))

    def tcp(self, client, server, target):
        """Add a TCP link between two endpoints; return the address at which the client reaches the target."""
        return self._add(Link((client, server), target, socket.SOCK_STREAM))

    def udp(self, client, server, target):
        """Add a UDP link between two endpoints; return the address at which the client reaches the target."""
        return self._add(Link((client, server), target, socket.SOCK_DGRAM))

    def pair(self, first, second, first_address, second_address):
        """Join two endpoints that each receive datagrams and streams at one address.

        Returns the address at which the first reaches the second, and that at which the second reaches the first. The
        datagrams that an endpoint receives also come from the address at which it reaches the sender.
        """
        for _ in range(MAX_PORT_ATTEMPTS):
            forward = Link((first, second), second_address, socket.SOCK_DGRAM)
            backward = Link((second, first), first_address, socket.SOCK_DGRAM)
            forward.reply_link = backward
            backward.reply_link = forward
            links = [forward, backward]
            try:
                for link in (forward, backward):
                    links.append(Link(link.ends, link.target, socket.SOCK_STREAM, link.port))
            except OSError:  # another process uses the TCP port
                for link in links:
                    link.sock.close()
                continue
            for link in links:
                self._add(link)
            return forward.address, backward.address
        raise AssertionError(f"no port free for both TCP and UDP in {MAX_PORT_ATTEMPTS} attempts")

    def partition(self, group, other_group, one_way=False):
        """Block the links between two groups in both directions, or only from the first to the second."""
        with self._forwarder.lock:
            for _, outbound, inbound in self._between(group, other_group):
                outbound.is_paused = True
                inbound.is_paused = inbound.is_paused or not one_way
        self._forwarder.wake()

    def impair(self, group, other_group, **changes):
        """Set fields of ``Direction`` in both directions between two groups."""
        with self._forwarder.lock:
            for _, *directions in self._between(group, other_group):
                for direction in directions:
                    for name, value in changes.items():
                        setattr(direction, name, value)
        self._forwarder.wake()

    def reset(self, group, other_group, refuse_connections=False):
        """Reset all connections between two groups; with ``refuse_connections`` refuse new ones too."""
        with self._forwarder.lock:
            for link, _, _ in self._between(group, other_group):
                link.refuses_connections = refuse_connections
                for flow in list(link.flows):
                    self._forwarder.reset(flow)
        self._forwarder.wake()

    def heal(self):
        """Remove all faults."""
        with self._forwarder.lock:
            for link in self._forwarder.links:
                link.reset_state()
        self._forwarder.wake()

    def close(self):
        """Close all links."""
        self._forwarder.close()

    def _add(self, link):
        self._forwarder.add(link)
        return link.address

    def _between(self, group, other_group):
        """Yield each link between two groups as (link, direction to the second group, direction to the first group)."""
        for link in self._forwarder.links:
            first, second = link.ends
            if first in group and second in other_group:
                yield link, link.forward, link.backward
            elif second in group and first in other_group:
                yield link, link.backward, link.forward


def _send_datagram(sock, data, address):
    with contextlib.suppress(OSError):
        sock.sendto(data, address)


def _close_with_reset(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
