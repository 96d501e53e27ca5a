"""Unix socket in the folder that both processes share."""

from __future__ import annotations

import os
import socket
from contextlib import suppress

from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import Stream

MAX_MESSAGE_BYTES = 2 << 20  # enough for any result, which is at most one notice of the executor
KERNEL_BUFFER_BYTES = 1 << 20  # the owner's runs wait for the other process only while this buffer is full
MAX_ADDRESS_BYTES = 100
LISTEN_BACKLOG = 4


class SocketAddress:
    """Address of the socket. If its path is too long for an address, it goes through a descriptor of the folder."""

    def __init__(self, folder: str, file_name: str) -> None:
        """Open the folder; raises ``OSError`` if it can't be opened."""
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.path = os.path.join(folder, file_name)
        if len(os.fsencode(self.path)) > MAX_ADDRESS_BYTES:
            self.path = f"/proc/self/fd/{self._folder}/{file_name}"


def check_available() -> None:
    """Raise ``OSError`` if this system does not allow Unix sockets."""
    socket.socket(socket.AF_UNIX, socket.SOCK_STREAM).close()


def listen(address: SocketAddress) -> socket.socket:
    """Return a listening socket that atomically replaces the one of an earlier process; raises ``OSError``."""
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
    """Return the message stream of a socket."""
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
    return Stream(loop, sock, MAX_MESSAGE_BYTES, max_unsent_bytes)
