"""Every link between two processes as a proxy on loopback that can be broken: reset, stalled, slowed, cut, one way.

A link joins two named ends. What a script says of a link counts for all its connections, those to come too. A partition
holds bytes back as a network does that TCP sends again on; they arrive when it heals, unless an end has given up.
"""

import contextlib
import dataclasses
import heapq
import itertools
import random
import selectors
import socket
import struct
import threading
import time

CHUNK = 64 * 1024
HELD_MOST = 1 << 20  # bytes of one direction; beyond it nothing more is read, as with full buffers of the system


@dataclasses.dataclass
class Way:
    """How one direction of a link is: seconds, bytes a second, shares of datagrams."""

    held: bool = False  # nothing passes, and nothing is lost
    delay: float = 0.0
    jitter: float = 0.0  # on top of the delay, drawn for each piece; the order of a stream stays
    rate: float = 0.0  # bytes a second; 0 = any
    cut_at: int = 0  # after so many bytes of a connection it is reset; 0 = never
    loss: float = 0.0  # of datagrams
    double: float = 0.0
    shuffle: float = 0.0  # of datagrams that arrive late, after others


class Link:
    """One link from a named end to another one; its address is where the first end connects."""

    def __init__(self, net, ends, target, kind, port=0):
        self.net, self.ends, self.target, self.kind = net, ends, target, kind
        self.out = None  # the link by whose address the other end knows this one; datagrams leave there
        self.there, self.back, self.refuses = Way(), Way(), False
        self.flows = set()
        self.sock = socket.socket(socket.AF_INET, kind)
        self.sock.bind(("127.0.0.1", port))
        if kind == socket.SOCK_STREAM:
            self.sock.listen(128)
        self.sock.setblocking(False)
        self.at = "{}:{}".format(*self.sock.getsockname())

    def ways(self):
        return self.there, self.back


class _Flow:
    """One direction of one connection."""

    def __init__(self, link, source, sink, way):
        self.link, self.source, self.sink, self.way = link, source, sink, way
        self.waiting, self.size, self.passed, self.free_at, self.ended, self.last = [], 0, 0, 0.0, False, 0.0
        self.other = None


class Net:
    """All links; one thread moves what they carry."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.links = []
        self._lock, self._selector, self._timers = threading.RLock(), selectors.DefaultSelector(), []
        self._numbers = itertools.count()
        self._wake, self._woken = socket.socketpair()
        self._woken.setblocking(False)
        self._selector.register(self._woken, selectors.EVENT_READ, self._drain)
        self._over = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    # What scripts say.

    def tcp(self, one, other, target):
        return self._link(one, other, target, socket.SOCK_STREAM)

    def udp(self, one, other, target):
        return self._link(one, other, target, socket.SOCK_DGRAM)

    def pair(self, one, other, at_one, at_other):
        """Join two ends that hear datagrams and streams at one address each.

        Returns the addresses by which the first knows the second and the second the first; datagrams come from there.
        """
        for _ in range(50):
            there, back = (
                Link(self, ends, target, socket.SOCK_DGRAM)
                for ends, target in (((one, other), at_other), ((other, one), at_one))
            )
            there.out, back.out = back, there
            made = [there, back]
            try:
                for link in (there, back):
                    made.append(Link(self, link.ends, link.target, socket.SOCK_STREAM, int(link.at.rsplit(":")[-1])))
            except OSError:  # the port is somebody's for streams
                for link in made:
                    link.sock.close()
                continue
            for link in made:
                self._add(link)
            return there.at, back.at
        raise AssertionError("no pair of ports is free")

    def between(self, ones, others):
        """Return (link, its way from the first ends to the others, the way back) for all links between two groups."""
        found = []
        for link in self.links:
            a, b = link.ends
            if a in ones and b in others:
                found.append((link, link.there, link.back))
            elif b in ones and a in others:
                found.append((link, link.back, link.there))
        return found

    def part(self, ones, others, one_way=False):
        """Let nothing pass between two groups, or only nothing from the first to the second."""
        with self._lock:
            for _, there, back in self.between(ones, others):
                there.held, back.held = True, back.held or not one_way
        self._touch()

    def slow(self, ones, others, **told):
        """Set delay, jitter, rate, loss, ... of both directions."""
        with self._lock:
            for _, *ways in self.between(ones, others):
                for way in ways:
                    for name, value in told.items():
                        setattr(way, name, value)
        self._touch()

    def reset(self, ones, others, refuse=False):
        """Break all connections between two groups, and perhaps refuse new ones."""
        with self._lock:
            for link, _, _ in self.between(ones, others):
                link.refuses = refuse
                for flow in list(link.flows):
                    self._kill(flow)
        self._touch()

    def heal(self):
        """Let all links be as they were made."""
        with self._lock:
            for link in self.links:
                link.there.__init__()
                link.back.__init__()
                link.refuses = False
        self._touch()

    def close(self):
        self._over = True
        self._touch()
        self._thread.join(5)
        for link in self.links:
            link.sock.close()

    # The thread.

    def _link(self, one, other, target, kind):
        return self._add(Link(self, (one, other), target, kind))

    def _add(self, link):
        with self._lock:
            self.links.append(link)
        take = self._accept if link.kind == socket.SOCK_STREAM else self._datagram
        self._selector.register(link.sock, selectors.EVENT_READ, lambda: take(link))
        self._touch()
        return link.at

    def _touch(self):
        with contextlib.suppress(OSError):
            self._wake.send(b"x")

    def _drain(self):
        with contextlib.suppress(BlockingIOError):
            self._woken.recv(4096)
        with self._lock:  # a way may have opened again
            for link in self.links:
                for flow in list(link.flows):
                    self._forward(flow)

    def _at(self, due, call):
        heapq.heappush(self._timers, (due, next(self._numbers), call))

    def _run(self):
        while not self._over:
            pause = max(0.0, min(self._timers[0][0] - time.monotonic(), 1.0)) if self._timers else 1.0
            for key, _ in self._selector.select(pause):
                with self._lock:
                    key.data()
            with self._lock:
                while self._timers and self._timers[0][0] <= time.monotonic():
                    heapq.heappop(self._timers)[2]()

    def _accept(self, link):
        try:
            near, _ = link.sock.accept()
        except OSError:
            return
        if link.refuses:
            return _reset(near)
        far = socket.socket()
        try:
            host, port = link.target.rsplit(":", 1)
            far.settimeout(2)
            far.connect((host, int(port)))  # of this machine: at once, or refused
        except OSError:
            far.close()
            return _reset(near)
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        there, back = _Flow(link, near, far, link.there), _Flow(link, far, near, link.back)
        there.other, back.other = back, there
        for flow in (there, back):
            link.flows.add(flow)
            self._selector.register(flow.source, selectors.EVENT_READ, lambda flow=flow: self._read(flow))
        return None

    def _read(self, flow):
        try:
            data = flow.source.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            return self._kill(flow)
        way, now = flow.way, time.monotonic()
        due = now + way.delay + (self.random.random() * way.jitter if way.jitter else 0.0)
        flow.last = due = max(due, flow.last)  # a stream keeps its order
        flow.waiting.append((due, data))
        flow.size += len(data)
        if not data or flow.size > HELD_MOST:
            self._selector.unregister(flow.source)
            flow.ended = not data
        self._forward(flow)

    def _forward(self, flow):
        while flow.waiting and not flow.way.held:
            due, data = flow.waiting[0]
            now = time.monotonic()
            if max(due, flow.free_at) > now:
                return self._at(max(due, flow.free_at), lambda: self._forward(flow))
            if not data:
                flow.waiting.pop(0)
                with contextlib.suppress(OSError):
                    flow.sink.shutdown(socket.SHUT_WR)
                if flow.other.ended and not flow.other.waiting:
                    self._kill(flow)
                return None
            part = data
            if flow.way.rate:
                part = data[: max(1, int(flow.way.rate * 0.02))]
            if flow.way.cut_at:
                part = part[: max(0, flow.way.cut_at - flow.passed)]
            try:
                sent = flow.sink.send(part) if part else 0
            except BlockingIOError:
                return self._at(now + 0.01, lambda: self._forward(flow))
            except OSError:
                return self._kill(flow)
            flow.passed += sent
            flow.size -= sent
            if flow.way.cut_at and flow.passed >= flow.way.cut_at:
                return self._kill(flow)
            if flow.way.rate:
                flow.free_at = now + sent / flow.way.rate
            rest = data[sent:]
            flow.waiting[0] = (due, rest)
            if not rest:
                flow.waiting.pop(0)
            if flow.size <= HELD_MOST and not flow.ended and flow.source.fileno() >= 0:
                with contextlib.suppress(KeyError, ValueError):
                    self._selector.get_key(flow.source)
                    continue
                with contextlib.suppress(ValueError):
                    self._selector.register(flow.source, selectors.EVENT_READ, lambda: self._read(flow))
        return None

    def _kill(self, flow):
        for each in (flow, flow.other):
            flow.link.flows.discard(each)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(each.source)
            each.waiting = []
        for each in (flow, flow.other):
            _reset(each.source)

    def _datagram(self, link):
        try:
            data, _ = link.sock.recvfrom(65536)
        except OSError:
            return
        way, rng = link.there, self.random
        host, port = link.target.rsplit(":", 1)
        for _ in range(2 if rng.random() < way.double else 1):
            if way.held or rng.random() < way.loss:
                continue
            late = way.delay + rng.random() * way.jitter + (0.05 if rng.random() < way.shuffle else 0.0)
            self._at(time.monotonic() + late, lambda: _sendto((link.out or link).sock, data, (host, int(port))))


def _sendto(sock, data, at):
    with contextlib.suppress(OSError):
        sock.sendto(data, at)


def _reset(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
