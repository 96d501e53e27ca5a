"""The listening socket that the older process passes to the newer one."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from lapispick.handover import messages

OnOpen = Callable[[socket.socket | None], None]


class ReceivedListener:
    """Keeps the first listening socket that arrives, and remembers on which one clients are accepted."""

    def __init__(self) -> None:
        self.accepting_on = messages.NO_LISTENER  # as in ``messages.Hello``
        self._socket: socket.socket | None = None

    def receive(self, descriptor: int) -> None:
        """Keep a descriptor, unless there is one already or clients are accepted on another."""
        if self._socket is None and self.accepting_on == messages.NO_LISTENER:
            self._socket = socket.socket(fileno=descriptor)
        else:
            os.close(descriptor)

    def open(self, on_open: OnOpen) -> None:
        """Begin to accept clients on the socket that was passed; ``on_open`` gets None where a new one is needed."""
        self.accepting_on = messages.OWN_LISTENER if self._socket is None else messages.PASSED_LISTENER
        on_open(self._socket)
