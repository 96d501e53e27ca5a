"""The state folder: the last accepted list, the history, the status and the digest that an operator accepted. I/O only.

``last-good.jsonl`` contains a header line, then one host per line. It is written to a temporary file, synced and
renamed, so that a crash leaves either the old or the new file. The header has a checksum over header and hosts, since
some disks lose writes. The list may contain passwords, so only its owner can read the file.
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
from lapispick.json_decoding import json_decoder

VERSION = 1
LAST_GOOD_FILE = "last-good.jsonl"
HISTORY_FILE = "history.jsonl"
STATUS_FILE = "status.json"
ACCEPT_FILE = "accept"
MAX_FILE_BYTES = 256 << 20
MAX_ACCEPT_CHARACTERS = 64


class Header(msgspec.Struct):
    """Header line of the last good list."""

    version: int
    at: float  # Unix seconds when it was accepted
    source: str  # path and group from which the list was read
    reason: str = msgspec.field(name="ground")
    host_count: int = msgspec.field(name="boxes")
    digest: str
    crc32: int


class HistoryEntry(msgspec.Struct):
    """One line of the history; it lists the first names of each kind of change, and ``counts`` has the full number."""

    at: float  # Unix seconds
    digest: str
    reason: str = msgspec.field(name="ground")
    host_count: int = msgspec.field(name="boxes")
    joined: list[str] = []  # msgspec copies the default for each instance
    left: list[str] = []
    moved: list[str] = []
    changed: list[str] = []
    counts: dict[str, int] = {}


_decode_header = json_decoder(Header)
_decode_host = json_decoder(InventoryHost)
_decode_history_entry = json_decoder(HistoryEntry)
_decode_status = json_decoder(dict[str, Any])


class LastGood(NamedTuple):
    """The last accepted list with its header."""

    header: Header
    snapshot: Snapshot


def write_file(path: Path, data: bytes, sync: bool) -> None:
    """Replace a file atomically; raises ``OSError`` and then leaves the old file in place."""
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
    if sync:  # the rename is durable only once the folder is synced
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def save(folder: Path, source: str, snapshot: Snapshot, at: float, reason: str) -> None:
    """Write the last good list; raises ``OSError``."""
    body = b"".join(msgspec.json.encode(snapshot.hosts[name]) + b"\n" for name in sorted(snapshot.hosts))
    header = Header(VERSION, at, source, reason, len(snapshot.hosts), snapshot.digest, crc32=0)
    header.crc32 = _checksum(header, body)
    write_file(folder / LAST_GOOD_FILE, msgspec.json.encode(header) + b"\n" + body, sync=True)


def load(folder: Path, source: str) -> LastGood | None:
    """Return the last good list, None if none has been saved yet; raises ``StateFolderError``."""
    path = folder / LAST_GOOD_FILE
    try:
        if (size := path.stat().st_size) > MAX_FILE_BYTES:
            raise StateFolderError(path, f"expected at most {MAX_FILE_BYTES} bytes, got {size}")
        first_line, _, body = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        return None
    except OSError as err:
        raise StateFolderError(path, str(err)) from None
    try:
        header = _decode_header(first_line)
        if header.version != VERSION:
            raise StateFolderError(path, f"unsupported version {header.version}, expected {VERSION}")
        if header.crc32 != _checksum(header, body):
            raise StateFolderError(path, "truncated or corrupt: the contents do not match the checksum in the header")
        hosts = [_decode_host(line) for line in body.splitlines()]
    except msgspec.MsgspecError as err:
        raise StateFolderError(path, str(err)) from None
    snapshot = snapshot_of({host.name: host for host in hosts})
    if header.digest != snapshot.digest or header.host_count != len(snapshot.hosts):
        problem = (
            f"expected {header.host_count} hosts with digest {header.digest}, "
            f"got {len(snapshot.hosts)} with digest {snapshot.digest}"
        )
        raise StateFolderError(path, problem)
    if header.source != source:
        raise StateFolderError(path, f"expected the list of {source!r}, got the list of {header.source!r}")
    return LastGood(header, snapshot)


def _checksum(header: Header, body: bytes) -> int:
    """Return the checksum over the header, with its checksum field set to zero, and the lines after it."""
    return zlib.crc32(body, zlib.crc32(msgspec.json.encode(msgspec.structs.replace(header, crc32=0))))


def load_history(folder: Path) -> list[HistoryEntry]:
    """Return the history, the oldest entry first; lines that can't be decoded are skipped."""
    entries: list[HistoryEntry] = []
    try:
        lines = (folder / HISTORY_FILE).read_bytes().splitlines()
    except OSError:
        return entries
    for line in lines:
        try:
            entries.append(_decode_history_entry(line))
        except msgspec.MsgspecError:
            continue
    return entries


def append_history(folder: Path, entry: HistoryEntry, max_entries: int) -> None:
    """Append an entry to the history and keep the last ``max_entries``; raises ``OSError``."""
    entries = [*load_history(folder), entry][-max_entries:]
    write_file(folder / HISTORY_FILE, b"".join(msgspec.json.encode(e) + b"\n" for e in entries), sync=False)


def load_status(folder: Path) -> dict[str, Any] | None:
    """Return the status that the host wrote last, None if it can't be read."""
    try:
        return _decode_status((folder / STATUS_FILE).read_bytes())
    except (OSError, msgspec.MsgspecError):
        return None


def load_operator_digest(folder: Path) -> str:
    """Return the digest that an operator accepted, an empty string if there is none."""
    try:
        with open(folder / ACCEPT_FILE, encoding="ascii") as file:
            digest = file.read(MAX_ACCEPT_CHARACTERS).strip()
    except (OSError, UnicodeDecodeError):
        return ""
    return digest if re.fullmatch(r"[0-9a-f]{8,32}", digest) else ""


def save_operator_digest(folder: Path, digest: str) -> None:
    """Save the digest of the list that the host shall accept; raises ``OSError``."""
    write_file(folder / ACCEPT_FILE, digest.encode() + b"\n", sync=False)


def clear_operator_digest(folder: Path) -> None:
    """Delete the digest that an operator accepted, once the list is in force."""
    (folder / ACCEPT_FILE).unlink(missing_ok=True)
