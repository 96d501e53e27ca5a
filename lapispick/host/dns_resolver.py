"""Addresses of names, looked up in threads: the system's look-up blocks, and may block for long."""

from __future__ import annotations

import logging
import socket
from pathlib import Path

from lapispick.fleet import identity
from lapispick.fleet.errors import HostNameError
from lapispick.host.errors import HostError
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.worker_threads import TooManyJobsError, WorkerThreads

LOG = "names"
THREADS = 2  # one that hangs must not stop the other look-ups
MAX_WAITING_LOOKUPS = 256
MAX_ADDRESSES_PER_NAME = 16
MAX_FILE_BYTES = 1 << 20


class NameNotResolvedError(HostError, OSError):
    """A name has no address, or it was not found in time."""


def parse(text: str) -> dict[str, list[str]]:
    """Read lines of an address and its names, as in /etc/hosts; lines that can't be read are left out."""
    found: dict[str, list[str]] = {}
    for line in text.splitlines():
        words = line.partition("#")[0].split()
        try:
            address = identity.address(words[0]) if len(words) > 1 else None
            names = [identity.name(word) for word in words[1:]]
        except HostNameError:
            continue
        for name in names if address else ():
            found.setdefault(name, []).append(address)
    return found


class DnsResolver:
    """Resolves names for greenlets, in threads."""

    def __init__(self, loop: EventLoop, timeout: float, file: Path | None) -> None:
        """Look up by threads, which end with the process."""
        self._work = WorkerThreads(loop, THREADS, MAX_WAITING_LOOKUPS)
        self._timeout = timeout
        self._file = file

    def lookup(self, name: str) -> list[str]:
        """Return the addresses of a name, or itself where it is one; raises ``NameNotResolvedError``."""
        if identity.address(name) is not None:
            return [name]
        try:
            addresses, fault = self._work.run(self._find, name, timeout=self._timeout)
        except TooManyJobsError as err:
            raise NameNotResolvedError(f"{name} is not looked up: {err}") from None
        except TimeoutError:
            raise NameNotResolvedError(f"{name} was not found within {self._timeout:g} s") from None
        if not addresses:
            raise NameNotResolvedError(f"{name} has no address: {fault}")
        return addresses

    # In the threads.

    def _find(self, name: str) -> tuple[list[str], str]:
        try:
            if self._file is not None and (known := self._in_file().get(name)):
                return known[:MAX_ADDRESSES_PER_NAME], ""
            told = socket.getaddrinfo(name, None, type=socket.SOCK_STREAM)
        except (OSError, UnicodeError) as err:
            return [], str(err)
        return list(dict.fromkeys(str(part[4][0]) for part in told))[:MAX_ADDRESSES_PER_NAME], ""

    def _in_file(self) -> dict[str, list[str]]:
        assert self._file is not None
        try:
            with open(self._file, encoding="utf-8", errors="replace") as opened:
                return parse(opened.read(MAX_FILE_BYTES))
        except OSError as err:
            log(LOG, logging.WARNING, "names-file-failed", file=self._file, error=err)
            return {}
