"""The links of a fault proxy: named ends, the state of each direction, and the bytes on their way."""

import dataclasses
import socket


@dataclasses.dataclass
class Direction:
    """The state of one direction of a link; fractions are of datagrams."""

    is_paused: bool = False  # nothing passes, and nothing is lost
    delay_s: float = 0.0
    jitter_s: float = 0.0  # on top of the delay, drawn for each piece; the order of a stream stays
    bytes_per_s: float = 0.0  # 0 = unlimited
    reset_after_bytes: int = 0  # of a connection; 0 = never
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0  # arrive late, after others


class Link:
    """One link from a named end to another one; its address is where the first end connects."""

    def __init__(self, ends, target, kind, port=0):
        self.ends = ends
        self.target = target
        self.kind = kind
        self.reply_link = None  # by whose address the other end knows this one; datagrams leave there
        self.forward = Direction()
        self.backward = Direction()
        self.refuses_connections = False
        self.flows = set()
        self.sock = socket.socket(socket.AF_INET, kind)
        self.sock.bind(("127.0.0.1", port))
        if kind == socket.SOCK_STREAM:
            self.sock.listen(128)
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())

    @property
    def port(self):
        """The port of the address."""
        return self.sock.getsockname()[1]

    @property
    def target_address(self):
        """Host and port of the other end."""
        host, port = self.target.rsplit(":", 1)
        return host, int(port)

    def reset_state(self):
        """Let both directions be as they were made."""
        # Flows keep references to the directions, so these are changed in place.
        self.forward.__init__()
        self.backward.__init__()
        self.refuses_connections = False


class Flow:
    """One direction of one connection, and its bytes on their way."""

    def __init__(self, link, source, sink, direction):
        self.link = link
        self.source = source
        self.sink = sink
        self.direction = direction
        self.pending = []  # (due, data); no data is the end of the stream
        self.pending_bytes = 0
        self.passed_bytes = 0
        self.next_send_at = 0.0
        self.last_due = 0.0
        self.has_ended = False
        self.opposite = None

    def add(self, data, due):
        """Add bytes that are due at a time, or later where those before them are."""
        self.last_due = max(due, self.last_due)
        self.pending.append((self.last_due, data))
        self.pending_bytes += len(data)

    def next_piece(self, data, rate_interval_s):
        """Return what may be sent of these bytes now."""
        piece = data
        if self.direction.bytes_per_s:
            piece = data[: max(1, int(self.direction.bytes_per_s * rate_interval_s))]
        if self.direction.reset_after_bytes:
            piece = piece[: max(0, self.direction.reset_after_bytes - self.passed_bytes)]
        return piece

    def mark_sent(self, size, now):
        """Remove the first bytes, which were sent."""
        due, data = self.pending[0]
        self.passed_bytes += size
        self.pending_bytes -= size
        if self.direction.bytes_per_s:
            self.next_send_at = now + size / self.direction.bytes_per_s
        self.pending[0] = (due, data[size:])
        if not data[size:]:
            self.pending.pop(0)

    def reached_reset(self):
        """Tell whether the connection is to be reset."""
        limit = self.direction.reset_after_bytes
        return bool(limit) and self.passed_bytes >= limit
