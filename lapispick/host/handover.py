"""The link between two processes of one worker host while an upgrade lasts: a Unix socket beside a lock.

Both stand in the folder that the processes share. Whoever holds the lock owns the keys, and the system frees it
with the process, however that ends. A second lock is the seat of the one process that comes next: nobody asks for the
keys without it, or a third process could take them past the second, to which they were handed. The socket brings the
newer process the listening socket itself, so that no connection is lost that the system queued there, then what is
known of keys (``idempotency/ownership.py``).
"""

from __future__ import annotations

import fcntl
import logging
import os
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from lapispick.digests import blake2b
from lapispick.handover import messages
from lapispick.host import events
from lapispick.host.jsonrpc.front import Gateways
from lapispick.host.logs import log
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.streams import LineTooLongError, Stream

LOG = "handover"
LONGEST = 2 << 20  # bytes of one message; a result has at most one notice of the executor
BUFFER = 1 << 20  # bytes that the system may hold on the way; with room there no run waits for the other process
HELLO_S = 1.0  # s; for the first answer
RETRY_S = 0.05  # s; between two looks for the lock or the socket
# s; then clients are taken without the other process's word: an upgrade has 6 s to say yes. Keyed requests are
# refused at once until that word comes or the other process has ended
UNLINKED_S = 3.0
FLUSH_S = 0.2  # s; for the last words of a process that ends
PATH_MOST = 100  # bytes of a Unix socket's address
FLAGS = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
SERVING, ENDED = b"serving", b"ended"


Share = Callable[[int | None], None]  # told how many connections the other process has; None = it is gone


class Peer:
    """The link, as the core sees it."""

    def __init__(self, stream: Stream, gateways: Gateways, share: Share, owns: bool) -> None:
        self.stream, self.owns = stream, owns  # owns: the other process has the keys
        self.serves, self.complete, self._gateways, self._share = owns, False, gateways, share

    def send(self, message: messages.Message) -> None:
        """Send now what the socket takes; the rest waits, within bounds."""
        self.stream.write(messages.encode(message))

    def has_unsent(self) -> bool:
        """Tell whether something that was sent has not left this process."""
        return self.stream.unsent_bytes > 0 or self.stream.closed

    def connections(self) -> int:
        """Count the clients' connections here."""
        return len(self._gateways.connections)

    def on_peer_usage(self, told: messages.ResourceUsage) -> None:
        """Leave the other process its descriptors."""
        self._share(told.connections)

    def on_snapshot_complete(self) -> None:
        """Note that the snapshot is complete."""
        self.complete = True

    def close(self) -> None:
        """End the link."""
        self.stream.close()


def _locked(fd: int) -> bool:
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


class Handover:
    """Finds the other process, takes over from it, and hands over to the next."""

    def __init__(
        self,
        loop: EventLoop,
        folder: Path,
        name: str,
        listen: str,
        unsent: int,
        gateways: Gateways,
        post: Callable[[Any], None],
        share: Share,
    ) -> None:
        """Take the lock or leave it; raises ``OSError`` where the folder has no room for one."""
        self._loop, self._name, self._listen, self._unsent = loop, name, listen, unsent
        self._gateways, self._post, self._share = gateways, post, share
        stem = blake2b(f"{name} {listen}".encode(), digest_size=8).hexdigest()
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._path = str(folder / f"lapispick-{stem}.sock")
        if len(os.fsencode(self._path)) > PATH_MOST:
            self._path = f"/proc/self/fd/{self._folder}/lapispick-{stem}.sock"
        self._lock, self._seat = (
            os.open(folder / f"lapispick-{stem}.{part}", FLAGS, 0o600) for part in ("lock", "next")
        )
        socket.socket(socket.AF_UNIX, socket.SOCK_STREAM).close()  # where these are refused, it says so here
        self.last_end = 0.0  # Unix s; when an earlier life in this folder ended, at the latest
        self.peer: Peer | None = None
        self._linked = False  # ever
        self._listener: socket.socket | None = None  # from the process before
        self._listens = ""  # how this process takes clients beside the one before it, as in ``messages.Hello``
        self._passed = False  # the other process has the listening socket
        self.owns = self._try_lock()

    @property
    def served_elsewhere(self) -> bool:
        """Tell whether another process of this worker host takes clients and goes on to."""
        return self.peer is not None and self.peer.serves

    @property
    def passed(self) -> bool:
        """Tell whether what the system queues for the listening socket is read by the other process."""
        return self._passed and self.peer is not None

    def _sit(self) -> bool:
        """Take the seat of the next process, or find that this process has it; one that is next waits for the keys."""
        return _locked(self._seat)

    def _try_lock(self) -> bool:
        if not self._sit() or not _locked(self._lock):
            return False
        fcntl.flock(self._seat, fcntl.LOCK_UN)
        was = os.pread(self._lock, len(SERVING), 0)
        if was == SERVING:
            self.last_end = time.time()
        elif was:
            self.last_end = os.fstat(self._lock).st_mtime
        self._write(SERVING)
        return True

    def _write(self, word: bytes) -> None:
        os.ftruncate(self._lock, 0)
        os.pwrite(self._lock, word, 0)

    # The owner.

    def serve(self) -> None:
        """Wait for the next process, for ever; a link at a time."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            fresh = f"{self._path}.{os.getpid()}"
            with suppress(FileNotFoundError):
                os.unlink(fresh)
            sock.bind(fresh)
            sock.listen(4)
            os.rename(fresh, self._path)  # in one step over what a process before left
        except OSError as err:
            sock.close()
            return log(LOG, logging.WARNING, "handover-off", error=err)
        while True:
            if self._loop.wait_for_io(sock.fileno(), READ):
                try:
                    link, _ = sock.accept()
                except OSError as err:  # out of descriptors, say: it goes on waiting in the system
                    log(LOG, logging.WARNING, "link-refused", error=err)
                    self._loop.sleep(RETRY_S)
                    continue
                self._loop.spawn(self._greet, self._stream(link))

    def _stream(self, sock: socket.socket) -> Stream:
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, BUFFER)
        return Stream(self._loop, sock, LONGEST, self._unsent)

    def _greet(self, stream: Stream) -> None:
        try:
            line = stream.read_line(HELLO_S)
            hello = messages.decode(line) if line else None
            why = self._objection(hello)
            if why or not isinstance(hello, messages.Hello):
                log(LOG, logging.WARNING, "link-refused", why=why)
                stream.write(messages.encode(messages.LinkRejected(why)))
                return stream.close()
            socket.send_fds(stream.sock, [b"\n"], [self._gateways.fileno()])
        except (OSError, LineTooLongError, msgspec.DecodeError) as err:  # TimeoutError among them
            log(LOG, logging.WARNING, "link-refused", error=err)
            return stream.close()
        # A successor that had to open a socket of its own never accepts from ours: what waits there is ours to read.
        self._passed = hello.listener != "own"
        peer = Peer(stream, self._gateways, self._share, owns=False)
        peer.serves = bool(hello.listener)
        peer.send(messages.Welcome(messages.negotiate_version(hello) or messages.VERSION))
        self._begin(peer)
        self._read(peer)

    def _objection(self, hello: Any) -> str:
        if not isinstance(hello, messages.Hello):
            return "that is no hello"
        if messages.negotiate_version(hello) is None:
            return f"version {hello.version} is not {messages.VERSION}"
        if (hello.name, hello.listen) != (self._name, self._listen):
            return "another worker host"
        if self.peer is not None:
            return "linked already"
        if not self._gateways.listening:
            return "leaving"
        return ""

    def _begin(self, peer: Peer) -> None:
        self.peer, self._linked = peer, True
        self._share(0)
        log(LOG, logging.INFO, "linked", role="follower" if peer.owns else "owner")
        self._post(events.PeerConnected(peer, peer.owns))

    def _read(self, peer: Peer) -> bool:
        """Take in what the other process says until the link ends; True where that process said that it ends."""
        done = False
        try:
            while not done and (line := peer.stream.read_line()) is not None:
                message = messages.decode(line)
                if isinstance(message, messages.HandoverComplete):
                    done = True
                elif isinstance(message, messages.Serving):
                    peer.serves = True
                    log(LOG, logging.INFO, "successor-serves")
                else:
                    peer.serves &= not isinstance(message, messages.ShutdownStarted)
                    self._post(events.PeerMessage(peer, message))
        except (OSError, LineTooLongError, msgspec.DecodeError) as err:
            log(LOG, logging.WARNING, "link-faulty", error=err)
        peer.stream.close()
        self.peer = None
        self._share(None)
        log(
            LOG,
            logging.INFO if done else logging.WARNING,
            "link-ended",
            role="follower" if peer.owns else "owner",
            done=done,
        )
        self._post(events.PeerDisconnected(peer, done or not peer.owns))
        return done

    # The follower.

    def join(self, opened: Callable[[socket.socket | None], None], ready: Callable[[], bool]) -> None:
        """Take over from the process that serves: link, take clients beside it, and own the keys once it has ended."""
        late = time.monotonic() + UNLINKED_S
        self._loop.spawn(self._open, opened, ready, late)
        done = False
        if not self._sit():
            log(LOG, logging.INFO, "link-waits", why="another process comes first")
        while not self.owns:
            if self._try_lock():
                self.owns = True
                if not done:
                    log(LOG, logging.WARNING, "predecessor-ended-early", linked=self._linked)
                self._post(events.PeerDisconnected(None, True, 0.0 if done else self.last_end))
            elif self._sit() and (peer := self._connect()) is not None:
                self._begin(peer)
                done = self._read(peer)
            else:
                self._loop.sleep(RETRY_S)
        log(LOG, logging.INFO, "owns-keys", done=done)
        self.serve()

    def _open(self, opened: Callable[[socket.socket | None], None], ready: Callable[[], bool], late: float) -> None:
        while not (
            ready() and (self.owns or (self.peer is not None and self.peer.complete) or time.monotonic() > late)
        ):
            self._loop.sleep(RETRY_S / 5)
        if not self.owns and not (self.peer is not None and self.peer.complete):
            log(LOG, logging.WARNING, "serving-unlinked")
        self._listens = "own" if self._listener is None else "passed"
        opened(self._listener)
        if self.peer is not None:
            self.peer.send(messages.Serving())

    def _connect(self) -> Peer | None:
        """Ask the process that owns the keys to be linked; None where it does not answer or does not agree."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        stream = self._stream(sock)
        try:
            sock.connect(self._path)
            stream.write(
                messages.encode(
                    messages.Hello(messages.VERSION, self._name, self._listen, self._listens, messages.MIN_VERSION)
                )
            )
            if not self._loop.wait_for_io(sock.fileno(), READ, HELLO_S):
                raise TimeoutError("no answer")
            first, fds, _, _ = socket.recv_fds(sock, 1, 1)
            line = stream.read_line(HELLO_S)
            if not fds or line is None:
                why = messages.decode(first + line) if first and line else None
                raise ConnectionError(why.reason if isinstance(why, messages.LinkRejected) else "no answer")
            if self._listener is None and not self._listens:
                self._listener = socket.socket(fileno=fds[0])
            else:
                os.close(fds[0])
            messages.decode(line)
            return Peer(stream, self._gateways, self._share, owns=True)
        except (OSError, LineTooLongError, msgspec.DecodeError) as err:
            log(LOG, logging.WARNING, "link-failed", error=err)
            stream.close()
            return None

    # The end.

    def done(self) -> None:
        """Say that nothing more comes, and free the lock."""
        if (peer := self.peer) is not None:
            peer.send(messages.HandoverComplete())
            end = time.monotonic() + FLUSH_S
            while peer.has_unsent() and time.monotonic() < end:
                self._loop.sleep(0.01)
        if self.owns:
            self._write(ENDED)
            fcntl.flock(self._lock, fcntl.LOCK_UN)
