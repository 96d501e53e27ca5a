"""Signals of the process as bytes on a socket, which the event loop waits for like any other descriptor."""

from __future__ import annotations

import signal
import socket

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MAX_READ_BYTES = 256


class SignalSocket:
    """Socket that receives one byte for each signal."""

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        for sock in (self._receiver, self._sender):
            sock.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda *_: None)

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when a signal is received."""
        return self._receiver.fileno()

    def read(self) -> bytes:
        """Return the numbers of the signals received since the last call, one byte for each."""
        try:
            return self._receiver.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return b""
