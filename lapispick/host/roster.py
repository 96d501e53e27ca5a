"""Reports to the roster: one datagram about each second, and one at once when the state changes."""

from __future__ import annotations

import logging
import socket

from lapispick.host.logs import log
from lapispick.host.loop import Loop

LOG = "roster"
EVERY_S = 0.9  # s; an entry lapses after 3 s, so two datagrams may get lost


class Roster:
    """Says on or off for this worker host."""

    def __init__(self, loop: Loop, address: tuple[str, int], name: str) -> None:
        self._loop, self._address, self._name, self._on = loop, address, name, True
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.setblocking(False)

    def set(self, on: bool) -> None:
        """Report this state from now on."""
        if on != self._on:
            self._on = on
            self._report()

    def serve(self) -> None:
        """Report for ever."""
        while True:
            self._report()
            self._loop.sleep(EVERY_S)

    def _report(self) -> None:
        try:
            self._sock.sendto(f"HERE {self._name} {'on' if self._on else 'off'}".encode(), self._address)
        except OSError as err:  # the roster may be down: entries do not lapse meanwhile
            log(LOG, logging.DEBUG, "report-failed", error=err)
