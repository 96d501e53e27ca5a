"""The state folder: the last accepted list, the history, what an operator accepts. I/O only.

``last-good.jsonl`` holds a head and then a box a line. It is written beside, synced and renamed, so that a
crash leaves the old or the new one; the head has a checksum over all, for disks that lie. It may hold
passwords and is readable for its owner only.
"""

from __future__ import annotations

import os
import re
import zlib
from pathlib import Path
from typing import Any

import msgspec

from lapispick.fleet.host_assembly import Box
from lapispick.fleet.snapshot import Snapshot, of

VERSION = 1
LAST_GOOD, HISTORY, STATUS, ACCEPT = "last-good.jsonl", "history.jsonl", "status.json", "accept"
SIZE_MOST = 256 << 20  # bytes
NAMES_MOST = 50  # names of one kind in a line of the history


class Head(msgspec.Struct):
    """The first line of the last good list."""

    version: int
    at: float  # Unix seconds when it was accepted
    source: str  # path and group that it came from
    ground: str
    boxes: int
    digest: str
    crc32: int


class Entry(msgspec.Struct):
    """One line of the history; of many names the first are kept."""

    at: float
    digest: str
    ground: str
    boxes: int
    joined: list[str] = []  # msgspec copies it
    left: list[str] = []
    moved: list[str] = []
    changed: list[str] = []
    counts: dict[str, int] = {}


class StateFault(Exception):
    """A file of the state folder can't be used; the text says why."""


def write(path: Path, data: bytes, sync: bool) -> None:
    """Replace a file whole; raises ``OSError`` and leaves the old one then."""
    path.parent.mkdir(parents=True, exist_ok=True)
    spare = path.with_name(f".{path.name}.{os.getpid()}")
    fd = os.open(spare, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        with os.fdopen(fd, "wb") as file:
            file.write(data)
            file.flush()
            if sync:
                os.fsync(file.fileno())
        os.replace(spare, path)
    except OSError:
        spare.unlink(missing_ok=True)
        raise
    if sync:  # the rename itself lasts only once its folder is synced
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def keep(folder: Path, source: str, snapshot: Snapshot, at: float, ground: str) -> None:
    """Write the last good list; raises ``OSError``."""
    rest = b"".join(msgspec.json.encode(snapshot.boxes[name]) + b"\n" for name in sorted(snapshot.boxes))
    head = Head(VERSION, at, source, ground, len(snapshot.boxes), snapshot.digest, 0)
    head.crc32 = _checksum(head, rest)
    write(folder / LAST_GOOD, msgspec.json.encode(head) + b"\n" + rest, sync=True)


def _checksum(head: Head, rest: bytes) -> int:
    """Return the checksum over the head, its own place left empty, and all that follows."""
    return zlib.crc32(rest, zlib.crc32(msgspec.json.encode(msgspec.structs.replace(head, crc32=0))))


def kept(folder: Path, source: str) -> tuple[Head, Snapshot] | None:
    """Return the last good list, None where there is none yet; raises ``StateFault``."""
    path = folder / LAST_GOOD
    try:
        if path.stat().st_size > SIZE_MOST:
            raise StateFault(f"{path}: over {SIZE_MOST} bytes")
        first, _, rest = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        return None
    except OSError as err:
        raise StateFault(f"{path}: {err}") from None
    try:
        head = msgspec.json.decode(first, type=Head)
        if head.version != VERSION:
            raise StateFault(f"{path}: version {head.version}; this program reads version {VERSION}")
        if head.crc32 != _checksum(head, rest):
            raise StateFault(f"{path}: its checksum is wrong")
        boxes = [msgspec.json.decode(line, type=Box) for line in rest.splitlines()]
    except msgspec.MsgspecError as err:
        raise StateFault(f"{path}: {err}") from None
    snapshot = of({box.name: box for box in boxes})
    if head.digest != snapshot.digest or head.boxes != len(snapshot.boxes):
        raise StateFault(f"{path}: its digest is wrong")
    if head.source != source:
        raise StateFault(f"{path}: is the list of {head.source}")
    return head, snapshot


def history(folder: Path) -> list[Entry]:
    """Return the history, the oldest first; what can't be read is left out."""
    made: list[Entry] = []
    try:
        lines = (folder / HISTORY).read_bytes().splitlines()
    except OSError:
        return made
    for line in lines:
        try:
            made.append(msgspec.json.decode(line, type=Entry))
        except msgspec.MsgspecError:
            continue
    return made


def remember(folder: Path, entry: Entry, most: int) -> None:
    """Add an entry to the history; raises ``OSError``."""
    entries = [*history(folder), entry][-most:]
    write(folder / HISTORY, b"".join(msgspec.json.encode(e) + b"\n" for e in entries), sync=False)


def status(folder: Path) -> dict[str, Any] | None:
    """Return what the host last said of itself, or None."""
    try:
        return msgspec.json.decode((folder / STATUS).read_bytes(), type=dict[str, Any])
    except (OSError, msgspec.MsgspecError):
        return None


def accepting(folder: Path) -> str:
    """Return the digest that an operator accepts, or nothing."""
    try:
        with open(folder / ACCEPT, encoding="ascii") as file:
            word = file.read(64).strip()
    except (OSError, UnicodeDecodeError):
        return ""
    return word if re.fullmatch(r"[0-9a-f]{8,32}", word) else ""


def accept(folder: Path, digest: str) -> None:
    """Let the host accept the list with this digest; raises ``OSError``."""
    write(folder / ACCEPT, digest.encode() + b"\n", sync=False)


def accepted(folder: Path) -> None:
    """Forget what an operator accepted, once it is done."""
    (folder / ACCEPT).unlink(missing_ok=True)
