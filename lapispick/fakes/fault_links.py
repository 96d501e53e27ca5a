"""Links of a fault proxy: named endpoints, the faults of each direction, and the buffered bytes."""

import dataclasses
import socket


@dataclasses.dataclass
class Direction:
    """Faults of one direction of a link; ``loss``, ``duplicate`` and ``reorder`` are fractions of its datagrams."""

    is_paused: bool = False  # streams are buffered until it ends; datagrams are dropped
    delay_s: float = 0.0
    jitter_s: float = 0.0  # added to the delay, drawn for each read; the order within a stream is kept
    bytes_per_s: float = 0.0  # 0 = unlimited
    reset_after_bytes: int = 0  # per connection; 0 = never
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0  # delivered late, after others


class Link:
    """A link from one named endpoint to another; the first endpoint connects or sends to its address."""

    def __init__(self, ends, target, kind, port=0):
        self.ends = ends
        self.target = target
        self.kind = kind
        # The link back, if there is one: its address is that of the first endpoint for the second one, so datagrams are
        # forwarded from it.
        self.reply_link = None
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
        """Port of the link's address."""
        return self.sock.getsockname()[1]

    @property
    def target_address(self):
        """Host and port of the second endpoint."""
        host, port = self.target.rsplit(":", 1)
        return host, int(port)

    def reset_state(self):
        """Remove all faults of both directions."""
        # Flows keep references to the directions, so these are changed in place.
        self.forward.__init__()
        self.backward.__init__()
        self.refuses_connections = False


class Flow:
    """One direction of one connection, with the bytes that are read but not sent yet."""

    def __init__(self, link, source, sink, direction):
        self.link = link
        self.source = source
        self.sink = sink
        self.direction = direction
        self.pending = []  # (due, data); empty data marks the end of the stream
        self.pending_bytes = 0
        self.passed_bytes = 0
        self.next_send_at = 0.0
        self.last_due = 0.0
        self.has_ended = False
        self.opposite = None

    def add(self, data, due):
        """Queue bytes for a time, or for that of the bytes before them if it is later."""
        self.last_due = max(due, self.last_due)
        self.pending.append((self.last_due, data))
        self.pending_bytes += len(data)

    def next_piece(self, data, rate_interval_s):
        """Return the part of these bytes that the rate and the reset limit let pass now."""
        piece = data
        if self.direction.bytes_per_s:
            piece = data[: max(1, int(self.direction.bytes_per_s * rate_interval_s))]
        if self.direction.reset_after_bytes:
            piece = piece[: max(0, self.direction.reset_after_bytes - self.passed_bytes)]
        return piece

    def mark_sent(self, size, now):
        """Remove the first ``size`` bytes, which were sent."""
        due, data = self.pending[0]
        self.passed_bytes += size
        self.pending_bytes -= size
        if self.direction.bytes_per_s:
            self.next_send_at = now + size / self.direction.bytes_per_s
        self.pending[0] = (due, data[size:])
        if not data[size:]:
            self.pending.pop(0)

    def reached_reset(self):
        """Return True if the connection has passed as many bytes as it may before its reset."""
        limit = self.direction.reset_after_bytes
        return bool(limit) and self.passed_bytes >= limit
