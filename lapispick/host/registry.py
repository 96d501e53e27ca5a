"""Load reports to the service registry: a datagram at each interval, and several in quick succession after a change."""

from __future__ import annotations

import logging
import socket

from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop

LOG = "roster"
# A quarter of the datagrams are lost, and an entry expires after 3 s without a report. With twelve reports in that time
# entries do not expire.
REPORT_INTERVAL_S = 0.25
CHANGE_REPORT_DELAYS_S = (0.0, 0.03, 0.08)  # several reports, so that a lost datagram does not delay a change


class RegistryClient:
    """Reports to the service registry whether this worker host accepts requests."""

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
        """Set whether this host accepts requests, and report a change at once."""
        if listed != self._listed:
            self._listed = listed
            self._report_change()

    def change_address(self, address: tuple[str, int]) -> None:
        """Report to a new address from now on."""
        if address != self._address:
            self._address = address
            previous_sock = self._sock
            self._sock = self._open_socket()  # the address family may have changed
            previous_sock.close()
            self._report_change()

    def _report_change(self) -> None:
        for delay_s in CHANGE_REPORT_DELAYS_S:
            self._loop.call_later(delay_s, self._report)

    def serve(self) -> None:
        """Report at each interval; never returns."""
        self._report_change()
        while True:
            self._report()
            self._loop.sleep(REPORT_INTERVAL_S)

    def _report(self) -> None:
        report = f"HERE {self._name} {'on' if self._listed else 'off'}"
        try:
            self._sock.sendto(report.encode(), self._address)
        except OSError as err:  # the registry may be down; its entries do not expire during that time
            log(LOG, logging.DEBUG, "report-failed", error=err)
