"""Listening socket that the older process passes to the newer one."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from lapispick.handover import messages

OnOpen = Callable[[socket.socket | None], None]


class ReceivedListener:
    """First listening socket that was received, and the listening socket on which clients are accepted."""

    def __init__(self) -> None:
        self.accepting_on = messages.NO_LISTENER  # a value of ``messages.Hello.listener``
        self._socket: socket.socket | None = None

    def receive(self, descriptor: int) -> None:
        """Keep a received descriptor, or close it if one was kept before or clients are already accepted."""
        if self._socket is None and self.accepting_on == messages.NO_LISTENER:
            self._socket = socket.socket(fileno=descriptor)
        else:
            os.close(descriptor)

    def open(self, on_open: OnOpen) -> None:
        """Call ``on_open`` with the received listening socket, or with None if a new one is needed."""
        self.accepting_on = messages.OWN_LISTENER if self._socket is None else messages.PASSED_LISTENER
        on_open(self._socket)
