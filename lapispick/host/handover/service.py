"""Links to the older process of this worker host, takes over from it, and later hands over to a newer process."""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable
from typing import Any

from lapispick.digests import blake2b
from lapispick.handover import messages
from lapispick.host import events
from lapispick.host.handover import handshake, unix_socket
from lapispick.host.handover.handshake import LINK_ERRORS, HostIdentity
from lapispick.host.handover.key_lock import KeyLock
from lapispick.host.handover.peer_link import PeerLink, SetPeerConnections
from lapispick.host.handover.received_listener import OnOpen, ReceivedListener
from lapispick.host.jsonrpc.front import JsonRpcFront
from lapispick.host.logs import log
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.streams import Stream

LOG = "handover"
STEM_DIGEST_BYTES = 8
RETRY_INTERVAL_S = 0.05  # between attempts to acquire the lock or to link
OPEN_POLL_INTERVAL_S = RETRY_INTERVAL_S / 5
# Time after which clients are accepted without a link, as an upgrade allows 6 s until the new process must be ready.
# Keyed requests are rejected at once until there is a link or the other process has ended.
UNLINKED_AFTER_S = 3.0
FLUSH_TIMEOUT_S = 0.2  # for the last message before this process exits
FLUSH_POLL_INTERVAL_S = 0.01


class Handover:
    """Hand-over between processes: this process joins as the follower and later serves its successor as the owner."""

    def __init__(
        self,
        loop: EventLoop,
        folder: str,
        identity: HostIdentity,
        max_unsent_bytes: int,
        gateways: JsonRpcFront,
        post: Callable[[Any], None],
        set_peer_connections: SetPeerConnections,
    ) -> None:
        """Acquire the lock on the keys if it is free; raises ``OSError`` if the folder can't hold locks and socket."""
        self._loop = loop
        self._identity = identity
        self._max_unsent_bytes = max_unsent_bytes
        self._gateways = gateways
        self._post = post
        self._set_peer_connections = set_peer_connections
        digest = blake2b(f"{identity.name} {identity.listen}".encode(), digest_size=STEM_DIGEST_BYTES).hexdigest()
        stem = f"lapispick-{digest}"
        self.address = unix_socket.SocketAddress(folder, f"{stem}.sock")
        self.lock = KeyLock(folder, stem)
        unix_socket.check_available()
        self._peer: PeerLink | None = None
        self._was_linked = False
        self._listener = ReceivedListener()
        self._peer_has_listener = False
        self.lock.try_acquire()

    @property
    def linked(self) -> bool:
        """Return True if another process of this worker host is linked to this one."""
        return self._peer is not None

    @property
    def peer_serves(self) -> bool:
        """Return True if the other process accepts clients and is not shutting down."""
        return self._peer is not None and self._peer.peer_serves

    @property
    def listener_shared(self) -> bool:
        """Return True if the other process accepts connections from the same listening socket."""
        return self._peer_has_listener and self._peer is not None

    # As the owner of the keys.

    def serve(self) -> None:
        """Accept links from newer processes, one at a time, until this process exits."""
        try:
            sock = unix_socket.listen(self.address)
        except OSError as err:
            log(LOG, logging.WARNING, "handover-off", error=err)
            return
        while True:
            if not self._loop.wait_for_io(sock.fileno(), READ):
                continue
            try:
                accepted, _ = sock.accept()
            except OSError as err:  # for example no free descriptor: the connection stays in the kernel's queue
                log(LOG, logging.WARNING, "link-rejected", error=err)
                self._loop.sleep(RETRY_INTERVAL_S)
                continue
            self._loop.spawn(self._accept, self._stream(accepted))

    def _stream(self, sock: socket.socket) -> Stream:
        return unix_socket.stream_of(self._loop, sock, self._max_unsent_bytes)

    def _accept(self, stream: Stream) -> None:
        try:
            hello = handshake.read_hello(stream)
            reason = self._rejection_reason(hello)
            if reason or not isinstance(hello, messages.Hello):
                log(LOG, logging.WARNING, "link-rejected", reason=reason)
                handshake.reject(stream, reason)
                return
            handshake.pass_listener(stream, self._gateways.fileno())
        except LINK_ERRORS as err:
            log(LOG, logging.WARNING, "link-rejected", error=err)
            stream.close()
            return
        # A successor with its own listening socket never accepts from this one, so this process serves its queue.
        self._peer_has_listener = hello.listener != messages.OWN_LISTENER
        link = PeerLink(stream, self._gateways, self._set_peer_connections, peer_owns_keys=False)
        link.peer_serves = hello.listener != messages.NO_LISTENER
        link.send(messages.Welcome(messages.negotiate_version(hello) or messages.VERSION))
        self._on_connected(link)
        self._receive(link)

    def _rejection_reason(self, hello: messages.Message | None) -> str:
        if not isinstance(hello, messages.Hello):
            return "that is no hello"
        return handshake.rejection_reason(
            hello, self._identity, linked=self._peer is not None, listening=self._gateways.is_listening
        )

    # While the link is established.

    def _on_connected(self, link: PeerLink) -> None:
        self._peer = link
        self._was_linked = True
        self._set_peer_connections(0)
        log(LOG, logging.INFO, "linked", role=link.role)
        self._post(events.PeerConnected(link, link.peer_owns_keys))

    def _receive(self, link: PeerLink) -> bool:
        """Handle messages until the link ends; return whether the other process completed its hand-over."""
        completed = False
        try:
            while not completed and (line := link.stream.read_line()) is not None:
                completed = self._on_message(link, messages.decode(line))
        except LINK_ERRORS as err:
            log(LOG, logging.WARNING, "link-error", error=err)
        link.close()
        self._peer = None
        self._set_peer_connections(None)
        log(LOG, logging.INFO if completed else logging.WARNING, "link-ended", role=link.role, done=completed)
        self._post(events.PeerDisconnected(link, completed or not link.peer_owns_keys))
        return completed

    def _on_message(self, link: PeerLink, message: messages.Message) -> bool:
        """Apply or post a message; return whether it is the last one."""
        if isinstance(message, messages.HandoverComplete):
            return True
        if isinstance(message, messages.Serving):
            link.peer_serves = True
            log(LOG, logging.INFO, "successor-serving")
            return False
        if isinstance(message, messages.ShutdownStarted):
            link.peer_serves = False
        self._post(events.PeerMessage(link, message))
        return False

    # As the follower.

    def join(self, on_open: OnOpen, is_ready: Callable[[], bool]) -> None:
        """Take over: link to the owner, accept clients beside it, and own the keys once it has ended.

        ``on_open`` is called once, with the listening socket that was passed or None if a new one is needed.
        """
        unlinked_at = time.monotonic() + UNLINKED_AFTER_S
        self._loop.spawn(self._open, on_open, is_ready, unlinked_at)
        if not self.lock.try_become_successor():
            log(LOG, logging.INFO, "link-waiting", reason="another process is already the successor")
        completed = False
        while not self.lock.acquired:
            if self.lock.try_acquire():
                if not completed:
                    log(LOG, logging.WARNING, "predecessor-ended-early", linked=self._was_linked)
                ended_at_s = 0.0 if completed else self.lock.previous_end_s
                self._post(events.PeerDisconnected(None, True, ended_at_s))
            elif self.lock.try_become_successor() and (link := self._connect()) is not None:
                self._on_connected(link)
                completed = self._receive(link)
            else:
                self._loop.sleep(RETRY_INTERVAL_S)
        log(LOG, logging.INFO, "owns-keys", done=completed)
        self.serve()

    def _has_records(self) -> bool:
        return self.lock.acquired or (self._peer is not None and self._peer.snapshot_complete)

    def _open(self, on_open: OnOpen, is_ready: Callable[[], bool], unlinked_at: float) -> None:
        while not (is_ready() and (self._has_records() or time.monotonic() > unlinked_at)):
            self._loop.sleep(OPEN_POLL_INTERVAL_S)
        if not self._has_records():
            log(LOG, logging.WARNING, "serving-unlinked")
        self._listener.open(on_open)
        if self._peer is not None:
            self._peer.send(messages.Serving())

    def _connect(self) -> PeerLink | None:
        """Request a link from the owner of the keys; return None if the owner rejects it or does not reply."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        stream = self._stream(sock)
        identity = self._identity
        try:
            sock.connect(self.address.path)
            hello = messages.Hello(
                messages.VERSION,
                identity.name,
                identity.listen,
                self._listener.accepting_on,
                messages.MIN_VERSION,
            )
            reply = handshake.request_link(self._loop, stream, hello)
            self._listener.receive(reply.listener)
            messages.decode(reply.line)
        except LINK_ERRORS as err:
            log(LOG, logging.WARNING, "link-failed", error=err)
            stream.close()
            return None
        return PeerLink(stream, self._gateways, self._set_peer_connections, peer_owns_keys=True)

    # Shutdown.

    def finish(self) -> None:
        """Send the last message to the other process, and release the lock on the keys."""
        if (link := self._peer) is not None:
            link.send(messages.HandoverComplete())
            flush_end = time.monotonic() + FLUSH_TIMEOUT_S
            while link.has_unsent() and time.monotonic() < flush_end:
                self._loop.sleep(FLUSH_POLL_INTERVAL_S)
        if self.lock.acquired:
            self.lock.release()
