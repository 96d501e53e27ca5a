"""The helper process: reads and parses the files, and writes the state folder, away from the host's event loop.

The host starts it with a socket as its standard input. It answers one message after the other and ends with the
socket. Input that crashes a parser ends this process and not the host.
"""

from __future__ import annotations

import gc
import os
import socket
import sys
import time
from collections import OrderedDict
from collections.abc import Iterable
from pathlib import Path

import msgspec

from lapispick.file_errors import FileFault, SourceLocation
from lapispick.fleet import files, last_good
from lapispick.fleet.errors import StateFolderError
from lapispick.fleet.host_assembly import InventoryHost
from lapispick.fleet.messages import (
    MAX_CHUNK_HOSTS,
    Begin,
    Chunk,
    FromHelper,
    LastGoodLoaded,
    Poll,
    Polled,
    SaveAccepted,
    SaveStatus,
    StateFolderFailed,
    ToHelper,
)
from lapispick.fleet.reading import InventoryReader
from lapispick.fleet.snapshot import EMPTY, Snapshot, difference

MAX_SENT_LISTS = 8  # that may still be accepted
MAX_CHUNK_NAMES = MAX_CHUNK_HOSTS * 16  # names are short

_encode = msgspec.json.Encoder().encode


class Helper:
    """Answers the messages of the host."""

    def __init__(self, begin: Begin) -> None:
        self._begin = begin
        self._path = Path(begin.path)
        self._folder = Path(begin.state_folder) if begin.state_folder else None
        self._source = f"{begin.path} group {begin.options.group}"
        self.reset()
        self._sent = EMPTY
        self._lists: OrderedDict[str, Snapshot] = OrderedDict()  # by digest, the oldest first
        self._signature: tuple[object, ...] | None = None
        self._last: Polled | None = None

    def reset(self) -> None:
        """Drop the reader's cache; the next poll reads all files."""
        self._reader = InventoryReader(self._begin.options, os.environ)

    def load_last_good(self) -> list[FromHelper]:
        """Return the last good list."""
        if self._folder is None:
            return [LastGoodLoaded()]
        try:
            found = last_good.load(self._folder, self._source)
        except StateFolderError as err:
            return [LastGoodLoaded(fault=str(err))]
        if found is None:
            return [LastGoodLoaded()]
        head = found.head
        self._sent = found.snapshot
        chunks = _chunks(list(self._sent.hosts.values()), [])
        return [LastGoodLoaded(len(chunks), head.digest, head.at, head.reason), *chunks]

    def poll(self) -> list[FromHelper]:
        """Read what changed and return it."""
        began = time.perf_counter()
        operator_digest = last_good.load_operator_digest(self._folder) if self._folder else ""
        chunks: list[Chunk] = []
        signature = files.signature(self._path)
        if signature is not None and signature == self._signature and self._last is not None:
            polled = msgspec.structs.replace(self._last, chunk_count=0)
        else:
            polled, chunks = self._read()
        polled.operator_digest = operator_digest
        polled.duration_ms = (time.perf_counter() - began) * 1000
        self._last = polled
        return [polled, *chunks]

    def save_accepted(self, message: SaveAccepted) -> list[FromHelper]:
        """Write the list that was accepted and its line of the history."""
        if self._folder is None:
            return []
        try:
            self._save_accepted(self._folder, message)
        except OSError as err:
            return [StateFolderFailed(f"{self._folder}: {err}")]
        return []

    def save_status(self, message: SaveStatus) -> list[FromHelper]:
        """Write the status that the commands show."""
        if self._folder is None:
            return []
        try:
            last_good.write_file(self._folder / last_good.STATUS_FILE, _encode(message.status) + b"\n", sync=False)
        except OSError as err:
            return [StateFolderFailed(f"{self._folder}: {err}")]
        return []

    def _read(self) -> tuple[Polled, list[Chunk]]:
        """Read the files; return what they hold and the changes since the last list."""
        found = files.read(self._path, self._begin.max_bytes)
        self._signature = found.signature
        if found.faults:
            return Polled(faults=found.faults), []
        reading = self._reader.read(found.files)
        polled = Polled(
            faults=reading.faults,
            omitted_faults=reading.omitted_faults,
            incomplete_reason=found.incomplete_reason or reading.incomplete_reason,
        )
        if reading.faults:
            return polled, []
        snapshot = _next_snapshot(self._sent, reading.hosts)
        changes = difference(self._sent, snapshot)
        updated = [snapshot.hosts[name] for name in (*changes.joined, *changes.moved, *changes.changed)]
        chunks = _chunks(updated, list(changes.left))
        polled.chunk_count = len(chunks)
        polled.digest = snapshot.digest
        self._sent = snapshot
        self._lists[snapshot.digest] = snapshot
        while len(self._lists) > MAX_SENT_LISTS:
            self._lists.popitem(last=False)
        return polled, chunks

    def _save_accepted(self, folder: Path, message: SaveAccepted) -> None:
        host_count = 0
        snapshot = self._lists.get(message.digest)
        if snapshot is not None:
            host_count = len(snapshot.hosts)
            last_good.save(folder, self._source, snapshot, message.at, message.reason)
        entry = last_good.HistoryEntry(
            message.at, message.digest, message.reason, host_count, counts=message.counts, **message.names
        )
        last_good.append_history(folder, entry, self._begin.max_history)
        operator_digest = last_good.load_operator_digest(folder)
        if operator_digest and message.digest.startswith(operator_digest):
            last_good.clear_operator_digest(folder)


def _next_snapshot(base: Snapshot, hosts: dict[str, InventoryHost]) -> Snapshot:
    """Return a list as a change of the one before, so that both share what is equal."""
    known = base.hosts
    updated = [
        host
        for name, host in hosts.items()
        if (old := known.get(name)) is not host and (old is None or old.digest != host.digest)
    ]
    removed = [name for name in known if name not in hosts] if updated or len(hosts) != len(known) else []
    return base.with_changes(updated, removed)


def _chunks(updated: list[InventoryHost], removed: list[str]) -> list[Chunk]:
    chunks = [
        Chunk(updated=updated[start : start + MAX_CHUNK_HOSTS]) for start in range(0, len(updated), MAX_CHUNK_HOSTS)
    ]
    chunks += [
        Chunk(removed=removed[start : start + MAX_CHUNK_NAMES]) for start in range(0, len(removed), MAX_CHUNK_NAMES)
    ]
    return chunks


def answer(helper: Helper, message: ToHelper) -> list[FromHelper]:
    """Return the answer to one message."""
    if isinstance(message, Poll):
        try:
            return helper.poll()
        except Exception as err:  # noqa: BLE001 - a list that breaks a parser is a list with a fault and must not end the helper
            helper.reset()
            return [Polled(faults=(FileFault(SourceLocation("inventory"), "", f"breaks the reader: {err!r:.200}"),))]
    if isinstance(message, SaveAccepted):
        return helper.save_accepted(message)
    if isinstance(message, SaveStatus):
        return helper.save_status(message)
    return []


def main() -> int:
    """Serve the host until it closes the socket."""
    gc.disable()  # the cached objects form no cycles, and a full collection over them takes longer than a poll
    connection = socket.socket(fileno=os.dup(0))
    decode = msgspec.json.Decoder(ToHelper).decode
    helper: Helper | None = None
    with connection, connection.makefile("rb") as lines:
        for line in lines:
            message = decode(line)
            messages: Iterable[FromHelper] = ()
            if isinstance(message, Begin):
                helper = Helper(message)
                messages = helper.load_last_good()
            elif helper is not None:
                messages = answer(helper, message)
            connection.sendall(b"".join(_encode(each) + b"\n" for each in messages))
            gc.collect(0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
