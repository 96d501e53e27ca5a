"""Versions of the host list: an immutable snapshot, its digest, and the difference between two snapshots. No I/O.

Snapshots share structure (a hash array mapped trie), so that another version costs only as much as its changes. The
digest of a list is the sum of its hosts' digests modulo 2**128: it doesn't depend on the order, and the change of one
host takes a subtraction and an addition. The digest distinguishes versions; it doesn't resist deliberate collisions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from immutables import Map

from lapispick.fleet.host_assembly import InventoryHost

_DIGEST_MODULUS = 1 << 128


class Snapshot(NamedTuple):
    """One version of the host list."""

    hosts: Map[str, InventoryHost]
    digest_sum: int  # sum of the hosts' digests modulo 2**128

    @property
    def digest(self) -> str:
        """Return the digest of the list as 32 hex digits."""
        return f"{self.digest_sum:032x}"

    def with_changes(self, updated: Iterable[InventoryHost], removed: Iterable[str]) -> Snapshot:
        """Return a snapshot with the ``updated`` hosts added or replaced by name, and the ``removed`` names deleted."""
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
    """Sorted names of the hosts that differ between two lists, by kind of change.

    The field names are stored and logged, so they must not change.
    """

    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    moved: tuple[str, ...] = ()  # to another address or port
    changed: tuple[str, ...] = ()  # in anything else

    def __bool__(self) -> bool:
        """Return True if anything differs."""
        return any((self.joined, self.left, self.moved, self.changed))

    def counts(self) -> dict[str, int]:
        """Return the number of hosts in each field, for log lines."""
        return {field: len(names) for field, names in zip(self._fields, self, strict=True)}


def difference(old: Snapshot, new: Snapshot) -> Difference:
    """Return what changed; hosts with equal digests are equal, even if they moved to another line or file."""
    if old.digest_sum == new.digest_sum and len(old.hosts) == len(new.hosts):
        return Difference()
    joined: list[str] = []
    left: list[str] = []
    moved: list[str] = []
    changed: list[str] = []
    get_old_host = old.hosts.get
    for name, host in new.hosts.items():
        old_host = get_old_host(name)
        if old_host is host:
            continue
        if old_host is None:
            joined.append(name)
        elif old_host.digest != host.digest:
            has_moved = (old_host.address, old_host.port) != (host.address, host.port)
            (moved if has_moved else changed).append(name)
    if len(old.hosts) + len(joined) != len(new.hosts):
        left = [name for name in old.hosts if name not in new.hosts]
    return Difference(*(tuple(sorted(names)) for names in (joined, left, moved, changed)))


class Version(NamedTuple):
    """Accepted list in the history."""

    at: float  # Unix seconds
    snapshot: Snapshot
    difference: Difference
    reason: str  # why it was accepted


class History:
    """Bounded history of accepted lists, the newest last."""

    def __init__(self, max_versions: int) -> None:
        self._versions: deque[Version] = deque(maxlen=max_versions)

    def add(self, version: Version) -> None:
        """Append a version; beyond the maximum, the oldest is dropped."""
        self._versions.append(version)

    def __iter__(self) -> Iterator[Version]:
        """Iterate over the versions, the oldest first."""
        return iter(self._versions)

    def __len__(self) -> int:
        """Return the number of versions."""
        return len(self._versions)

    def find(self, prefix: str) -> Version | None:
        """Return the newest version whose digest starts with ``prefix``, None if there is none."""
        return next((v for v in reversed(self._versions) if v.snapshot.digest.startswith(prefix)), None)
