"""A fake service registry: collects the load reports of worker hosts."""

import socket
import threading
import time
from typing import NamedTuple

from lapispick.fakes.ports import LOOPBACK, bind_in_own_range

MAX_REPORT_BYTES = 200


class LoadReport(NamedTuple):
    """A load report, with the monotonic time of its arrival."""

    received_at: float
    text: str


class ServiceRegistry:
    """A fake service registry that collects the reports sent to its UDP address."""

    def __init__(self):
        self.reports = []
        self.relocate()

    def relocate(self):
        """Receive reports at a new address; later ones at the old address are ignored."""
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
        """Stop receiving."""
        self.sock.close()
