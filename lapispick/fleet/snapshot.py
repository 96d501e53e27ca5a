"""Versions of the host list: an immutable snapshot, its digest, and the difference of two. No I/O.

Snapshots share structure (a hash array mapped trie), so that one more version costs what changed. The digest of a
list is the sum of its hosts' digests modulo 2**128: it doesn't depend on the order, and a change of a host is a
subtraction and an addition. It tells versions apart; it doesn't protect against lists that are made to collide.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from immutables import Map

from lapispick.fleet.host_assembly import InventoryHost

_DIGEST_MODULUS = 1 << 128


class Snapshot(NamedTuple):
    """One version of the list."""

    hosts: Map[str, InventoryHost]
    digest_sum: int  # of the hosts' digests

    @property
    def digest(self) -> str:
        """Return the digest of the list, 32 hex digits."""
        return f"{self.digest_sum:032x}"

    def with_changes(self, updated: Iterable[InventoryHost], removed: Iterable[str]) -> Snapshot:
        """Return the list with hosts added or replaced by name, and others removed."""
        digest_sum = self.digest_sum
        with self.hosts.mutate() as draft:
            for name in removed:
                digest_sum -= _digest_number(draft.pop(name, None))
            for host in updated:
                digest_sum += _digest_number(host) - _digest_number(draft.get(host.name))
                draft[host.name] = host
            return Snapshot(draft.finish(), digest_sum % _DIGEST_MODULUS)


def _digest_number(host: InventoryHost | None) -> int:
    return int.from_bytes(host.digest, "big") if host is not None else 0


EMPTY = Snapshot(Map(), 0)


def snapshot_of(hosts: Mapping[str, InventoryHost]) -> Snapshot:
    """Return the snapshot of these hosts."""
    return EMPTY.with_changes(hosts.values(), ())


class Difference(NamedTuple):
    """The names of hosts, sorted, by what distinguishes one list from another. Stored and logged by field name."""

    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    moved: tuple[str, ...] = ()  # with another address or port
    changed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Tell whether anything differs."""
        return any((self.joined, self.left, self.moved, self.changed))

    def counts(self) -> dict[str, int]:
        """Return how many hosts each field names, for log lines."""
        return {field: len(names) for field, names in zip(self._fields, self, strict=True)}


def difference(old: Snapshot, new: Snapshot) -> Difference:
    """Return what changed; hosts of equal digests are equal wherever they are written."""
    if old.digest_sum == new.digest_sum and len(old.hosts) == len(new.hosts):
        return Difference()
    joined: list[str] = []
    left: list[str] = []
    moved: list[str] = []
    changed: list[str] = []
    old_host = old.hosts.get
    for name, host in new.hosts.items():
        before = old_host(name)
        if before is host:
            continue
        if before is None:
            joined.append(name)
        elif before.digest != host.digest:
            has_moved = (before.address, before.port) != (host.address, host.port)
            (moved if has_moved else changed).append(name)
    if len(old.hosts) + len(joined) != len(new.hosts):
        left = [name for name in old.hosts if name not in new.hosts]
    return Difference(*(tuple(sorted(names)) for names in (joined, left, moved, changed)))


class Version(NamedTuple):
    """An accepted list in the history."""

    at: float  # Unix seconds
    snapshot: Snapshot
    difference: Difference
    reason: str  # why it was accepted


class History:
    """The last accepted lists, the newest last."""

    def __init__(self, max_versions: int) -> None:
        self._versions: deque[Version] = deque(maxlen=max_versions)

    def add(self, version: Version) -> None:
        """Append a version; the oldest is dropped beyond the bound."""
        self._versions.append(version)

    def __iter__(self) -> Iterator[Version]:
        """Iterate from the oldest on."""
        return iter(self._versions)

    def __len__(self) -> int:
        """Return the number of versions."""
        return len(self._versions)

    def find(self, prefix: str) -> Version | None:
        """Return the newest version whose digest begins so."""
        return next((v for v in reversed(self._versions) if v.snapshot.digest.startswith(prefix)), None)
