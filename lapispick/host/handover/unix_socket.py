"""The Unix socket in the folder that both processes share."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from pathlib import Path

from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import Stream

MAX_MESSAGE_BYTES = 2 << 20  # a result has at most one notice of the executor
KERNEL_BUFFER_BYTES = 1 << 20  # while it has capacity, no run waits for the other process
MAX_ADDRESS_BYTES = 100
LISTEN_BACKLOG = 4


class SocketAddress:
    """The address of the socket; a path that is too long is reached through a descriptor of its folder."""

    def __init__(self, folder: Path, file_name: str) -> None:
        """Open the folder; raises ``OSError`` where it can't be opened."""
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.path = str(folder / file_name)
        if len(os.fsencode(self.path)) > MAX_ADDRESS_BYTES:
            self.path = f"/proc/self/fd/{self._folder}/{file_name}"


def check_available() -> None:
    """Raise ``OSError`` where this system refuses Unix sockets."""
    socket.socket(socket.AF_UNIX, socket.SOCK_STREAM).close()


def listen(address: SocketAddress) -> socket.socket:
    """Listen, replacing the socket of an earlier process atomically; raises ``OSError``."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        temporary = f"{address.path}.{os.getpid()}"
        with suppress(FileNotFoundError):
            os.unlink(temporary)
        sock.bind(temporary)
        sock.listen(LISTEN_BACKLOG)
        os.rename(temporary, address.path)
    except OSError:
        sock.close()
        raise
    return sock


def stream_of(loop: EventLoop, sock: socket.socket, max_unsent_bytes: int) -> Stream:
    """Return the stream of messages on a socket."""
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
    return Stream(loop, sock, MAX_MESSAGE_BYTES, max_unsent_bytes)
