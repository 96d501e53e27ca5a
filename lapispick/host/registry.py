"""Load reports to the service registry: datagrams at an interval, and several at once after a change."""

from __future__ import annotations

import logging
import socket

from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop

LOG = "roster"
# A quarter of the datagrams are lost and an entry expires after 3 s; with twelve reports in that time none does.
REPORT_INTERVAL_S = 0.25
CHANGE_REPORT_DELAYS_S = (0.0, 0.03, 0.08)  # after a change, so that it is known at once although reports are lost


class RegistryClient:
    """Reports whether this worker host takes requests."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], name: str) -> None:
        self._loop = loop
        self._address = address
        self._name = name
        self._listed = True
        self._sock = self._open_socket()

    def _open_socket(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        sock.setblocking(False)
        return sock

    def set_listed(self, listed: bool) -> None:
        """Report from now on that this host takes requests, or that it does not."""
        if listed != self._listed:
            self._listed = listed
            self._report_change()

    def change_address(self, address: tuple[str, int]) -> None:
        """Report to a new address from now on."""
        if address != self._address:
            self._address = address
            previous = self._sock
            self._sock = self._open_socket()  # the address may be of the other family
            previous.close()
            self._report_change()

    def _report_change(self) -> None:
        for delay_s in CHANGE_REPORT_DELAYS_S:
            self._loop.call_later(delay_s, self._report)

    def serve(self) -> None:
        """Report at the interval, for ever."""
        self._report_change()
        while True:
            self._report()
            self._loop.sleep(REPORT_INTERVAL_S)

    def _report(self) -> None:
        report = f"HERE {self._name} {'on' if self._listed else 'off'}"
        try:
            self._sock.sendto(report.encode(), self._address)
        except OSError as err:  # the registry may be down; entries do not expire meanwhile
            log(LOG, logging.DEBUG, "report-failed", error=err)
