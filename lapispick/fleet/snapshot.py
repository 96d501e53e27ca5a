"""Versions of the list: an immutable snapshot, its digest, and the difference of two. No I/O.

Snapshots share structure (a hash trie), so that one more version costs what changed. The digest of a list is
the sum of its boxes' digests: order is no matter, and a change of a box is a subtraction and an addition. It
tells versions apart and is no seal against somebody who makes lists that collide.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from immutables import Map

from lapispick.fleet.host_assembly import Box

_MOD = 1 << 128


class Snapshot(NamedTuple):
    """One version of the list."""

    boxes: Map[str, Box]
    total: int  # the sum of the digests

    @property
    def digest(self) -> str:
        """Return the digest of the list, 32 hex digits."""
        return f"{self.total:032x}"

    def changed(self, put: Iterable[Box], gone: Iterable[str]) -> Snapshot:
        """Return the list with boxes put in, in place of those of the same names, and others gone."""
        total = self.total
        with self.boxes.mutate() as draft:
            for name in gone:
                old = draft.pop(name, None)
                total -= int.from_bytes(old.digest, "big") if old is not None else 0
            for box in put:
                old = draft.get(box.name)
                total += int.from_bytes(box.digest, "big")
                total -= int.from_bytes(old.digest, "big") if old is not None else 0
                draft[box.name] = box
            return Snapshot(draft.finish(), total % _MOD)


EMPTY = Snapshot(Map(), 0)


def of(boxes: Mapping[str, Box]) -> Snapshot:
    """Return the snapshot of these boxes."""
    return EMPTY.changed(boxes.values(), ())


class Difference(NamedTuple):
    """What makes one list of another; names are sorted."""

    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    moved: tuple[str, ...] = ()  # reached elsewhere
    changed: tuple[str, ...] = ()  # other variables or items

    def __bool__(self) -> bool:
        """Tell whether there is any."""
        return any((self.joined, self.left, self.moved, self.changed))

    def counts(self) -> dict[str, int]:
        """Return how many boxes each part names, for log lines."""
        return {key: len(value) for key, value in zip(self._fields, self, strict=True)}


def difference(old: Snapshot, new: Snapshot) -> Difference:
    """Return what changed; the same box (told by its digest) is no change wherever it stands."""
    if old.total == new.total and len(old.boxes) == len(new.boxes):
        return Difference()
    joined, moved, changed = [], [], []
    get = old.boxes.get
    for name, box in new.boxes.items():
        before = get(name)
        if before is box:
            continue
        if before is None:
            joined.append(name)
        elif before.digest != box.digest:
            elsewhere = (before.host, before.port) != (box.host, box.port)
            (moved if elsewhere else changed).append(name)
    left: list[str] = []
    if len(old.boxes) + len(joined) != len(new.boxes):
        left = [name for name in old.boxes if name not in new.boxes]
    return Difference(*(tuple(sorted(part)) for part in (joined, left, moved, changed)))


class Version(NamedTuple):
    """An accepted list in the history."""

    at: float  # Unix seconds
    snapshot: Snapshot
    difference: Difference
    ground: str  # why it was accepted


class History:
    """The last accepted lists, the newest last."""

    def __init__(self, most: int) -> None:
        self._versions: deque[Version] = deque(maxlen=most)

    def add(self, version: Version) -> None:
        """Remember a version; the oldest is forgotten where there are too many."""
        self._versions.append(version)

    def __iter__(self) -> Iterable[Version]:
        """Iterate from the oldest on."""
        return iter(self._versions)

    def __len__(self) -> int:
        """Return how many are remembered."""
        return len(self._versions)

    def find(self, prefix: str) -> Version | None:
        """Return the newest version whose digest begins so."""
        return next((v for v in reversed(self._versions) if v.snapshot.digest.startswith(prefix)), None)
