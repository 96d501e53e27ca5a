"""Resolves names in threads, as the system's resolver may block for a long time."""

from __future__ import annotations

import logging
import socket
from typing import NamedTuple

from lapispick.fleet import identity
from lapispick.fleet.errors import HostNameError
from lapispick.host.errors import HostError
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.worker_threads import TooManyJobsError, WorkerThreads

LOG = "names"
LOOKUP_THREADS = 2  # a lookup that hangs must not stop the others
MAX_WAITING_LOOKUPS = 256
MAX_ADDRESSES_PER_NAME = 16
MAX_HOSTS_FILE_BYTES = 1 << 20


class LookupResult(NamedTuple):
    """The addresses of a name, or the error of its lookup."""

    addresses: list[str]
    error: str = ""


class NameNotResolvedError(HostError, OSError):
    """A name has no address, or its lookup was rejected or timed out."""


def parse_hosts(text: str) -> dict[str, list[str]]:
    """Return the addresses of each name from a text in the format of /etc/hosts; invalid lines are left out."""
    addresses: dict[str, list[str]] = {}
    for line in text.splitlines():
        fields = line.partition("#")[0].split()
        try:
            address = identity.canonical_address(fields[0]) if len(fields) > 1 else None
            names = [identity.canonical_name(field) for field in fields[1:]]
        except HostNameError:
            continue
        if address is None:
            continue
        for name in names:
            addresses.setdefault(name, []).append(address)
    return addresses


class DnsResolver:
    """Resolves names for greenlets, first from an optional hosts file and then by the system's resolver.

    Its threads end with the process.
    """

    def __init__(self, loop: EventLoop, timeout_s: float, hosts_file: str | None) -> None:
        self._threads = WorkerThreads(loop, LOOKUP_THREADS, MAX_WAITING_LOOKUPS)
        self._timeout_s = timeout_s
        self._hosts_file = hosts_file

    def lookup(self, name: str) -> list[str]:
        """Return the addresses of a name, or the name itself if it is an address; raises ``NameNotResolvedError``."""
        if identity.canonical_address(name) is not None:
            return [name]
        try:
            result = self._threads.run(self._resolve, name, timeout=self._timeout_s)
        except TooManyJobsError as err:
            raise NameNotResolvedError(f"the lookup of {name} was not started: {err}") from None
        except TimeoutError:
            raise NameNotResolvedError(f"the lookup of {name} did not end within {self._timeout_s:g} s") from None
        if not result.addresses:
            raise NameNotResolvedError(f"{name} has no address: {result.error}")
        return result.addresses

    # Runs in the threads.

    def _resolve(self, name: str) -> LookupResult:
        try:
            if self._hosts_file is not None and (listed := self._read_hosts_file(self._hosts_file).get(name)):
                return LookupResult(listed[:MAX_ADDRESSES_PER_NAME])
            entries = socket.getaddrinfo(name, None, type=socket.SOCK_STREAM)
        except (OSError, UnicodeError) as err:
            return LookupResult([], str(err))
        addresses = dict.fromkeys(str(socket_address[0]) for *_, socket_address in entries)
        return LookupResult(list(addresses)[:MAX_ADDRESSES_PER_NAME])

    @staticmethod
    def _read_hosts_file(file: str) -> dict[str, list[str]]:
        try:
            with open(file, encoding="utf-8", errors="replace") as stream:
                return parse_hosts(stream.read(MAX_HOSTS_FILE_BYTES))
        except OSError as err:
            log(LOG, logging.WARNING, "names-file-failed", file=file, error=err)
            return {}
