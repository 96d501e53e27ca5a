"""The accepted list of members, with their addresses."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from lapispick.conf.sections import InventorySettings
from lapispick.digests import blake2b
from lapispick.fleet import hosts
from lapispick.fleet.hosts import Worker
from lapispick.fleet.snapshot import Difference, Snapshot
from lapispick.host.dns_resolver import DnsResolver, NameNotResolvedError
from lapispick.host.inventory import Inventory
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop

LOG = "members"
MAX_LOGGED_FAULTS = 4
DIGEST_BYTES = 6


class Address(NamedTuple):
    """Where a member sends from and receives."""

    ip: str
    port: int


class AcceptedList(NamedTuple):
    """The members' names in order, and what identifies them."""

    names: tuple[str, ...]
    digest: str


class MemberDirectory:
    """Follows the inventory: who the members are, and where. ``on_change`` is called with each accepted list."""

    def __init__(
        self, loop: EventLoop, settings: InventorySettings, name: str, on_change: Callable[[AcceptedList], None]
    ) -> None:
        self.name = name
        self.accepted: AcceptedList | None = None
        self.workers: dict[str, Worker] = {}
        self.addresses: dict[str, Address] = {}
        self._loop = loop
        self._on_change = on_change
        hosts_file = Path(settings.hosts_file) if settings.hosts_file else None
        self._resolver = DnsResolver(loop, settings.resolve_timeout_s, hosts_file)
        self._inventory = Inventory(loop, settings, hosts.SCHEMA, self.accept)

    def serve(self) -> None:
        """Follow the list for ever."""
        self._inventory.serve()

    def is_listed(self) -> bool:
        """Tell whether the accepted list names this host."""
        return self.name in self.workers

    def accept(self, snapshot: Snapshot, _difference: Difference) -> None:
        """Take a list that the inventory accepted."""
        found, faults = hosts.workers(snapshot.hosts.values())
        for fault in faults[:MAX_LOGGED_FAULTS]:
            log(LOG, logging.ERROR, "members-list-invalid", fault=fault)
        self.workers = {each.name: each for each in found if each.members}
        names = tuple(sorted(self.workers))
        if not self.is_listed():
            log(LOG, logging.WARNING, "members-not-listed", host=self.name, hosts=len(names))
        # Quorums depend on who the members are, not where: hosts may reach each other by different addresses.
        digest = blake2b("\n".join(names).encode(), digest_size=DIGEST_BYTES).hexdigest()
        self.accepted = AcceptedList(names, digest)
        self._on_change(self.accepted)
        self._loop.spawn(self._resolve)

    def _resolve(self) -> None:
        """Resolve the members' addresses; a name without an address affects its own host only."""
        for name, worker in list(self.workers.items()):
            host, _, port = worker.members.rpartition(":")
            try:
                self.addresses[name] = Address(self._resolver.lookup(host.strip("[]"))[0], int(port))
            except NameNotResolvedError as err:
                log(LOG, logging.WARNING, "member-address-unresolved", host=name, error=err)
        for removed in self.addresses.keys() - self.workers.keys():
            del self.addresses[removed]
