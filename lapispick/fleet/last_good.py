"""The state folder: the last accepted list, the history, the status, what an operator accepts. I/O only.

``last-good.jsonl`` holds a head and then a host a line. It is written beside, synced and renamed, so that a crash
leaves the old or the new one; the head has a checksum over all, for disks that lose writes. The list may hold
passwords and is readable for its owner only.
"""

from __future__ import annotations

import os
import re
import zlib
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from lapispick.fleet.errors import StateFolderError
from lapispick.fleet.host_assembly import InventoryHost
from lapispick.fleet.snapshot import Snapshot, snapshot_of

VERSION = 1
LAST_GOOD_FILE = "last-good.jsonl"
HISTORY_FILE = "history.jsonl"
STATUS_FILE = "status.json"
ACCEPT_FILE = "accept"
MAX_FILE_BYTES = 256 << 20
MAX_ACCEPT_CHARACTERS = 64
MAX_HISTORY_NAMES = 50  # of each kind of change in a line of the history


class Head(msgspec.Struct):
    """The first line of the last good list."""

    version: int
    at: float  # Unix seconds when it was accepted
    source: str  # path and group that it came from
    reason: str = msgspec.field(name="ground")
    host_count: int = msgspec.field(name="boxes")
    digest: str
    crc32: int


class HistoryEntry(msgspec.Struct):
    """One line of the history; of many names the first are stored."""

    at: float  # Unix seconds
    digest: str
    reason: str = msgspec.field(name="ground")
    host_count: int = msgspec.field(name="boxes")
    joined: list[str] = []  # msgspec copies it
    left: list[str] = []
    moved: list[str] = []
    changed: list[str] = []
    counts: dict[str, int] = {}


class LastGood(NamedTuple):
    """The last accepted list."""

    head: Head
    snapshot: Snapshot


def write_file(path: Path, data: bytes, sync: bool) -> None:
    """Replace a file atomically; raises ``OSError`` and leaves the old one then."""
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        with os.fdopen(fd, "wb") as file:
            file.write(data)
            file.flush()
            if sync:
                os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    if sync:  # the rename itself is durable only once its folder is synced
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def save(folder: Path, source: str, snapshot: Snapshot, at: float, reason: str) -> None:
    """Write the last good list; raises ``OSError``."""
    body = b"".join(msgspec.json.encode(snapshot.hosts[name]) + b"\n" for name in sorted(snapshot.hosts))
    head = Head(VERSION, at, source, reason, len(snapshot.hosts), snapshot.digest, crc32=0)
    head.crc32 = _checksum(head, body)
    write_file(folder / LAST_GOOD_FILE, msgspec.json.encode(head) + b"\n" + body, sync=True)


def load(folder: Path, source: str) -> LastGood | None:
    """Return the last good list, None where there is none yet; raises ``StateFolderError``."""
    path = folder / LAST_GOOD_FILE
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise StateFolderError(path, f"over {MAX_FILE_BYTES} bytes")
        first_line, _, body = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        return None
    except OSError as err:
        raise StateFolderError(path, str(err)) from None
    try:
        head = msgspec.json.decode(first_line, type=Head)
        if head.version != VERSION:
            raise StateFolderError(path, f"version {head.version}; this program reads version {VERSION}")
        if head.crc32 != _checksum(head, body):
            raise StateFolderError(path, "its checksum is wrong")
        hosts = [msgspec.json.decode(line, type=InventoryHost) for line in body.splitlines()]
    except msgspec.MsgspecError as err:
        raise StateFolderError(path, str(err)) from None
    snapshot = snapshot_of({host.name: host for host in hosts})
    if head.digest != snapshot.digest or head.host_count != len(snapshot.hosts):
        raise StateFolderError(path, "its digest is wrong")
    if head.source != source:
        raise StateFolderError(path, f"is the list of {head.source}")
    return LastGood(head, snapshot)


def _checksum(head: Head, body: bytes) -> int:
    """Return the checksum over the head, its own field set to zero, and all that follows."""
    return zlib.crc32(body, zlib.crc32(msgspec.json.encode(msgspec.structs.replace(head, crc32=0))))


def load_history(folder: Path) -> list[HistoryEntry]:
    """Return the history, the oldest first; what can't be read is omitted."""
    entries: list[HistoryEntry] = []
    try:
        lines = (folder / HISTORY_FILE).read_bytes().splitlines()
    except OSError:
        return entries
    for line in lines:
        try:
            entries.append(msgspec.json.decode(line, type=HistoryEntry))
        except msgspec.MsgspecError:
            continue
    return entries


def append_history(folder: Path, entry: HistoryEntry, max_entries: int) -> None:
    """Add an entry to the history; raises ``OSError``."""
    entries = [*load_history(folder), entry][-max_entries:]
    write_file(folder / HISTORY_FILE, b"".join(msgspec.json.encode(e) + b"\n" for e in entries), sync=False)


def load_status(folder: Path) -> dict[str, Any] | None:
    """Return the status that the host wrote last, or None."""
    try:
        return msgspec.json.decode((folder / STATUS_FILE).read_bytes(), type=dict[str, Any])
    except (OSError, msgspec.MsgspecError):
        return None


def load_operator_digest(folder: Path) -> str:
    """Return the digest that an operator accepts, or nothing."""
    try:
        with open(folder / ACCEPT_FILE, encoding="ascii") as file:
            digest = file.read(MAX_ACCEPT_CHARACTERS).strip()
    except (OSError, UnicodeDecodeError):
        return ""
    return digest if re.fullmatch(r"[0-9a-f]{8,32}", digest) else ""


def save_operator_digest(folder: Path, digest: str) -> None:
    """Let the host accept the list with this digest; raises ``OSError``."""
    write_file(folder / ACCEPT_FILE, digest.encode() + b"\n", sync=False)


def clear_operator_digest(folder: Path) -> None:
    """Remove what an operator accepted, once the list is in force."""
    (folder / ACCEPT_FILE).unlink(missing_ok=True)
