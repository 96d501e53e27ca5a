"""Established connection to the other process of this worker host."""

from __future__ import annotations

from collections.abc import Callable

from lapispick.handover import messages
from lapispick.host.jsonrpc.front import JsonRpcFront
from lapispick.host.streams import Stream

# Called with the number of the other process's client connections, or None once the link has ended.
SetPeerConnections = Callable[[int | None], None]


class PeerLink:
    """Link to the other process; implements ``interfaces.Link``."""

    def __init__(
        self, stream: Stream, gateways: JsonRpcFront, set_peer_connections: SetPeerConnections, peer_owns_keys: bool
    ) -> None:
        self.stream = stream
        self.peer_owns_keys = peer_owns_keys
        self.peer_serves = peer_owns_keys  # the other process accepts clients and is not shutting down
        self.snapshot_complete = False
        self._gateways = gateways
        self._set_peer_connections = set_peer_connections

    @property
    def role(self) -> str:
        """Return the role of this process, as it is logged."""
        return "follower" if self.peer_owns_keys else "owner"

    def send(self, message: messages.Message) -> None:
        """Send a message. What the socket does not take at once is queued, up to a limit."""
        self.stream.write(messages.encode(message))

    def has_unsent(self) -> bool:
        """Return True if a message is still queued in this process or the connection is closed."""
        return self.stream.unsent_bytes > 0 or self.stream.closed

    def connections(self) -> int:
        """Return the number of client connections of this process."""
        return len(self._gateways.connections)

    def on_peer_usage(self, usage: messages.ResourceUsage) -> None:
        """Reserve descriptors for the other process, unless the link has ended since the report was read."""
        if not self.stream.closed:
            self._set_peer_connections(usage.connections)

    def on_snapshot_complete(self) -> None:
        """Record that the snapshot is complete."""
        self.snapshot_complete = True

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
