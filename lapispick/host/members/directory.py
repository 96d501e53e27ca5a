"""Accepted list of members, with their addresses."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from lapispick.conf.sections import InventorySettings
from lapispick.digests import blake2b
from lapispick.fleet import hosts
from lapispick.fleet.hosts import WorkerHost
from lapispick.fleet.snapshot import Difference, Snapshot
from lapispick.host.dns_resolver import DnsResolver, NameNotResolvedError
from lapispick.host.inventory import Inventory
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop

LOG = "members"
MAX_LOGGED_FAULTS = 4
DIGEST_BYTES = 6


class Address(NamedTuple):
    """Address that a member sends from and receives at."""

    ip: str
    port: int


class AcceptedList(NamedTuple):
    """Sorted names of the members, and a digest that identifies them."""

    names: tuple[str, ...]
    digest: str


class MemberDirectory:
    """Tracks the members and their addresses in the inventory. Calls ``on_change`` with each accepted list."""

    def __init__(
        self, loop: EventLoop, settings: InventorySettings, name: str, on_change: Callable[[AcceptedList], None]
    ) -> None:
        self.name = name
        self.accepted: AcceptedList | None = None
        self.workers: dict[str, WorkerHost] = {}
        self.addresses: dict[str, Address] = {}
        self._loop = loop
        self._on_change = on_change
        self._resolver = DnsResolver(loop, settings.resolve_timeout_s, settings.hosts_file)
        self._inventory = Inventory(loop, settings, hosts.SCHEMA, self.accept)

    def serve(self) -> None:
        """Follow the inventory; never returns."""
        self._inventory.serve()

    def is_listed(self) -> bool:
        """Return True if the accepted list names this host."""
        return self.name in self.workers

    def accept(self, snapshot: Snapshot, _difference: Difference) -> None:
        """Use a list that the inventory accepted."""
        workers, faults = hosts.worker_hosts_of(snapshot.hosts.values())
        for fault in faults[:MAX_LOGGED_FAULTS]:
            log(LOG, logging.ERROR, "members-list-invalid", fault=fault)
        self.workers = {worker.name: worker for worker in workers if worker.members_address}
        names = tuple(sorted(self.workers))
        if not self.is_listed():
            log(LOG, logging.WARNING, "members-not-listed", host=self.name, hosts=len(names))
        # Quorums depend on the names only: two hosts may reach the same member by different addresses.
        digest = blake2b("\n".join(names).encode(), digest_size=DIGEST_BYTES).hexdigest()
        self.accepted = AcceptedList(names, digest)
        self._on_change(self.accepted)
        self._loop.spawn(self._resolve)

    def _resolve(self) -> None:
        """Resolve the members' addresses. A name that cannot be resolved affects only its own host."""
        for name, worker in list(self.workers.items()):
            host, _, port = worker.members_address.rpartition(":")
            try:
                self.addresses[name] = Address(self._resolver.lookup(host.strip("[]"))[0], int(port))
            except NameNotResolvedError as err:
                log(LOG, logging.WARNING, "member-address-unresolved", host=name, error=err)
        for unlisted_name in self.addresses.keys() - self.workers.keys():
            del self.addresses[unlisted_name]
