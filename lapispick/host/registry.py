"""Reports to the service registry: four datagrams a second, and several at once when something changes."""

from __future__ import annotations

import logging
import socket

from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop

LOG = "roster"
# s; a quarter of the datagrams are lost and an entry lapses after 3 s: with twelve in that time none does
REPORT_INTERVAL_S = 0.25
CHANGE_REPORT_DELAYS_S = (0.0, 0.03, 0.08)  # s; when a change is reported, so that it is heard at once


class RegistryClient:
    """Says on or off for this worker host."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], name: str) -> None:
        self._loop = loop
        self._address = address
        self._name = name
        self._on = True
        self._sock = self._opened()

    def _opened(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        sock.setblocking(False)
        return sock

    def set(self, on: bool) -> None:
        """Report this state from now on."""
        if on != self._on:
            self._on = on
            self._report_change()

    def change_address(self, address: tuple[str, int]) -> None:
        """Report to a new address from now on."""
        if address != self._address:
            self._address = address
            old, self._sock = self._sock, self._opened()  # the new one may be of the other family
            old.close()
            self._report_change()

    def _report_change(self) -> None:
        for after in CHANGE_REPORT_DELAYS_S:
            self._loop.call_later(after, self._report)

    def serve(self) -> None:
        """Report for ever."""
        self._report_change()
        while True:
            self._report()
            self._loop.sleep(REPORT_INTERVAL_S)

    def _report(self) -> None:
        try:
            self._sock.sendto(f"HERE {self._name} {'on' if self._on else 'off'}".encode(), self._address)
        except OSError as err:  # the registry may be down: entries do not lapse meanwhile
            log(LOG, logging.DEBUG, "report-failed", error=err)
