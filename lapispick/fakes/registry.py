"""A fake service registry: collects the load reports of worker hosts."""

import socket
import threading
import time
from typing import NamedTuple

from lapispick.fakes.ports import LOOPBACK, bind_in_own_range

MAX_REPORT_BYTES = 200


class LoadReport(NamedTuple):
    """One report, with the monotonic time of its arrival."""

    received_at: float
    text: str


class ServiceRegistry:
    """Collects the reports that come to its UDP address."""

    def __init__(self):
        self.reports = []
        self.relocate()

    def relocate(self):
        """Listen at a new address only."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.address = f"{LOOPBACK}:{bind_in_own_range(self.sock)}"
        threading.Thread(target=self._read, args=(self.sock,), daemon=True).start()

    def _read(self, sock):
        while True:
            try:
                text = sock.recv(MAX_REPORT_BYTES).decode()
            except OSError:
                return
            if sock is self.sock:
                self.reports.append(LoadReport(time.monotonic(), text))

    def close(self):
        self.sock.close()
