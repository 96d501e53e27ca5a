"""Every link between two processes as a proxy on loopback with faults: partitions, resets, delays, loss, one-way.

A link joins two named ends. A fault of a link applies to all its connections, those to come too. A partition holds
bytes back as a network does over which TCP sends again; they arrive when it heals, unless an end has given up.
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
MAX_BUFFERED_BYTES = 1 << 20  # of one direction; beyond it nothing more is read, as with full buffers of the system
MAX_SELECT_S = 1.0
RATE_INTERVAL_S = 0.02  # a rate-limited direction sends as much at once as this takes
BUSY_RETRY_S = 0.01
REORDER_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 2
MAX_PORT_ATTEMPTS = 50


class LinkMover:
    """One thread that moves what the links carry."""

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
        """Serve a link."""
        with self.lock:
            self.links.append(link)
        callback = self._accept if link.kind == socket.SOCK_STREAM else self._take_datagram
        self._selector.register(link.sock, selectors.EVENT_READ, lambda: callback(link))
        self.wake()

    def wake(self):
        """Let the thread look at all flows, after a change of their directions."""
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"x")

    def reset(self, flow):
        """Reset a connection."""
        for each in (flow, flow.opposite):
            flow.link.flows.discard(each)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(each.source)
            each.pending = []
        for each in (flow, flow.opposite):
            _close_with_reset(each.source)

    def close(self):
        """End the thread and close all listeners."""
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
            near, _ = link.sock.accept()
        except OSError:
            return
        if link.refuses_connections:
            _close_with_reset(near)
            return
        far = socket.socket()
        try:
            far.settimeout(CONNECT_TIMEOUT_S)
            far.connect(link.target_address)  # on this machine: at once, or refused
        except OSError:
            far.close()
            _close_with_reset(near)
            return
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._add_flows(link, near, far)

    def _add_flows(self, link, near, far):
        forward = Flow(link, near, far, link.forward)
        backward = Flow(link, far, near, link.backward)
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
        """Send what is due of a flow."""
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
        """Pass on the end of a stream; the connection is closed where the other direction has ended too."""
        flow.pending.pop(0)
        with contextlib.suppress(OSError):
            flow.sink.shutdown(socket.SHUT_WR)
        if flow.opposite.has_ended and not flow.opposite.pending:
            self.reset(flow)

    def _resume_reading(self, flow):
        """Read from the source again where it was too far ahead."""
        if flow.pending_bytes > MAX_BUFFERED_BYTES or flow.has_ended or flow.source.fileno() < 0:
            return
        with contextlib.suppress(KeyError, ValueError):
            self._selector.get_key(flow.source)
            return
        with contextlib.suppress(ValueError):
            self._register(flow)

    def _take_datagram(self, link):
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
    """All links, and their faults; ``seed`` draws delays and lost datagrams."""

    def __init__(self, seed):
        self._mover = LinkMover(random.Random(seed))

    def tcp(self, one, other, target):
        """Join two ends by streams; returns the address at which the first reaches the target."""
        return self._add(Link((one, other), target, socket.SOCK_STREAM))

    def udp(self, one, other, target):
        """Join two ends by datagrams; returns the address at which the first reaches the target."""
        return self._add(Link((one, other), target, socket.SOCK_DGRAM))

    def pair(self, one, other, address_of_one, address_of_other):
        """Join two ends that receive datagrams and streams at one address each.

        Returns the addresses by which the first knows the second and the second the first; datagrams come from there.
        """
        for _ in range(MAX_PORT_ATTEMPTS):
            forward = Link((one, other), address_of_other, socket.SOCK_DGRAM)
            backward = Link((other, one), address_of_one, socket.SOCK_DGRAM)
            forward.reply_link = backward
            backward.reply_link = forward
            links = [forward, backward]
            try:
                for link in (forward, backward):
                    links.append(Link(link.ends, link.target, socket.SOCK_STREAM, link.port))
            except OSError:  # another process uses the port for streams
                for link in links:
                    link.sock.close()
                continue
            for link in links:
                self._add(link)
            return forward.address, backward.address
        raise AssertionError("no pair of ports is free")

    def partition(self, ones, others, one_way=False):
        """Let nothing pass between two groups, or only nothing from the first to the second."""
        with self._mover.lock:
            for _, towards_others, towards_ones in self._between(ones, others):
                towards_others.is_paused = True
                towards_ones.is_paused = towards_ones.is_paused or not one_way
        self._mover.wake()

    def impair(self, ones, others, **changes):
        """Set fields of ``Direction`` in both directions between two groups."""
        with self._mover.lock:
            for _, *directions in self._between(ones, others):
                for direction in directions:
                    for name, value in changes.items():
                        setattr(direction, name, value)
        self._mover.wake()

    def reset(self, ones, others, refuse_connections=False):
        """Reset all connections between two groups, and perhaps refuse new ones."""
        with self._mover.lock:
            for link, _, _ in self._between(ones, others):
                link.refuses_connections = refuse_connections
                for flow in list(link.flows):
                    self._mover.reset(flow)
        self._mover.wake()

    def heal(self):
        """End all faults."""
        with self._mover.lock:
            for link in self._mover.links:
                link.reset_state()
        self._mover.wake()

    def close(self):
        """Close all links."""
        self._mover.close()

    def _add(self, link):
        self._mover.add(link)
        return link.address

    def _between(self, ones, others):
        """Yield (link, direction from the first group to the second, direction back)."""
        for link in self._mover.links:
            first, second = link.ends
            if first in ones and second in others:
                yield link, link.forward, link.backward
            elif second in ones and first in others:
                yield link, link.backward, link.forward


def _send_datagram(sock, data, address):
    with contextlib.suppress(OSError):
        sock.sendto(data, address)


def _close_with_reset(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
