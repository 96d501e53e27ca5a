"""The established connection to the other process."""

from __future__ import annotations

from collections.abc import Callable

from lapispick.handover import messages
from lapispick.host.jsonrpc.front import JsonRpcFront
from lapispick.host.streams import Stream

# Called with the number of the other process's connections; None = there is no other process any more.
SetPeerConnections = Callable[[int | None], None]


class PeerLink:
    """Sends messages to the other process; implements ``interfaces.Link``."""

    def __init__(
        self, stream: Stream, gateways: JsonRpcFront, set_peer_connections: SetPeerConnections, peer_owns_keys: bool
    ) -> None:
        self.stream = stream
        self.peer_owns_keys = peer_owns_keys
        self.peer_serves = peer_owns_keys  # the other process accepts clients and continues to
        self.snapshot_complete = False
        self._gateways = gateways
        self._set_peer_connections = set_peer_connections

    @property
    def role(self) -> str:
        """Return the role of this process, for the log."""
        return "follower" if self.peer_owns_keys else "owner"

    def send(self, message: messages.Message) -> None:
        """Send what the socket takes at once; the rest is queued, within bounds."""
        self.stream.write(messages.encode(message))

    def has_unsent(self) -> bool:
        """Tell whether something that was sent has not left this process."""
        return self.stream.unsent_bytes > 0 or self.stream.closed

    def connections(self) -> int:
        """Count the clients' connections of this process."""
        return len(self._gateways.connections)

    def on_peer_usage(self, usage: messages.ResourceUsage) -> None:
        """Leave the other process its descriptors, unless the link has ended since the report was read."""
        if not self.stream.closed:
            self._set_peer_connections(usage.connections)

    def on_snapshot_complete(self) -> None:
        """Note that the snapshot is complete."""
        self.snapshot_complete = True

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
