"""The helper process: reads and parses the files, and writes the state folder, outside the host's event loop.

The host starts it with a socket as its standard input. It answers messages in order and exits when the socket is
closed. Input that crashes a parser ends this process instead of the host.
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
from lapispick.json_decoding import json_decoder

MAX_SENT_LISTS = 8  # kept to be saved when the host accepts one of them
MAX_CHUNK_NAMES = MAX_CHUNK_HOSTS * 16  # a name is much shorter than a host with its variables

_encode = msgspec.json.Encoder().encode


class Helper:
    """Answers the host's messages; keeps the lists that it sent."""

    def __init__(self, begin: Begin) -> None:
        self._begin = begin
        self._path = Path(begin.path)
        self._folder = Path(begin.state_folder) if begin.state_folder else None
        self._source = f"{begin.path} group {begin.options.group}"
        self.reset()
        self._last_sent = EMPTY
        self._sent_lists: OrderedDict[str, Snapshot] = OrderedDict()  # by digest, the oldest first
        self._signature: tuple[object, ...] | None = None
        self._last_polled: Polled | None = None

    def reset(self) -> None:
        """Replace the reader and with it its cache; the next poll reads all files."""
        self._reader = InventoryReader(self._begin.options, os.environ)

    def load_last_good(self) -> list[FromHelper]:
        """Return the last good list as messages; they state the fault if it can't be used."""
        if self._folder is None:
            return [LastGoodLoaded()]
        try:
            loaded = last_good.load(self._folder, self._source)
        except StateFolderError as err:
            return [LastGoodLoaded(fault=str(err))]
        if loaded is None:
            return [LastGoodLoaded()]
        header = loaded.header
        self._last_sent = loaded.snapshot
        chunks = _chunks(list(self._last_sent.hosts.values()), [])
        return [LastGoodLoaded(len(chunks), header.digest, header.at, header.reason), *chunks]

    def poll(self) -> list[FromHelper]:
        """Read the files if they changed, and return the changes of the list as messages."""
        started_at = time.perf_counter()
        operator_digest = last_good.load_operator_digest(self._folder) if self._folder else ""
        chunks: list[Chunk] = []
        signature = files.signature(self._path)
        if signature is not None and signature == self._signature and self._last_polled is not None:
            polled = msgspec.structs.replace(self._last_polled, chunk_count=0)
        else:
            polled, chunks = self._read()
        polled.operator_digest = operator_digest
        polled.duration_ms = (time.perf_counter() - started_at) * 1000
        self._last_polled = polled
        return [polled, *chunks]

    def save_accepted(self, message: SaveAccepted) -> list[FromHelper]:
        """Write an accepted list, and append its entry to the history."""
        if self._folder is None:
            return []
        try:
            self._save_accepted(self._folder, message)
        except OSError as err:
            return [StateFolderFailed(f"{self._folder}: {err}")]
        return []

    def save_status(self, message: SaveStatus) -> list[FromHelper]:
        """Write the status that commands show to operators."""
        if self._folder is None:
            return []
        try:
            last_good.write_file(self._folder / last_good.STATUS_FILE, _encode(message.status) + b"\n", sync=False)
        except OSError as err:
            return [StateFolderFailed(f"{self._folder}: {err}")]
        return []

    def _read(self) -> tuple[Polled, list[Chunk]]:
        """Read the files; return the result and the changes since the list that was sent last."""
        file_set = files.read(self._path, self._begin.max_bytes)
        self._signature = file_set.signature
        if file_set.faults:
            return Polled(faults=file_set.faults), []
        reading = self._reader.read(file_set.files)
        polled = Polled(
            faults=reading.faults,
            omitted_faults=reading.omitted_faults,
            incomplete_reason=file_set.incomplete_reason or reading.incomplete_reason,
        )
        if reading.faults:
            return polled, []
        snapshot = _next_snapshot(self._last_sent, reading.hosts)
        changes = difference(self._last_sent, snapshot)
        updated = [snapshot.hosts[name] for name in (*changes.joined, *changes.moved, *changes.changed)]
        chunks = _chunks(updated, list(changes.left))
        polled.chunk_count = len(chunks)
        polled.digest = snapshot.digest
        self._last_sent = snapshot
        self._sent_lists[snapshot.digest] = snapshot
        while len(self._sent_lists) > MAX_SENT_LISTS:
            self._sent_lists.popitem(last=False)
        return polled, chunks

    def _save_accepted(self, folder: Path, message: SaveAccepted) -> None:
        host_count = 0
        snapshot = self._sent_lists.get(message.digest)
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
    """Return the snapshot of ``hosts``, built from ``base`` so that both share the memory of equal hosts."""
    base_hosts = base.hosts
    updated = [
        host
        for name, host in hosts.items()
        if (old := base_hosts.get(name)) is not host and (old is None or old.digest != host.digest)
    ]
    removed = [name for name in base_hosts if name not in hosts] if updated or len(hosts) != len(base_hosts) else []
    return base.with_changes(updated, removed)


def _chunks(updated: list[InventoryHost], removed: list[str]) -> list[Chunk]:
    chunks = [
        Chunk(updated=updated[start : start + MAX_CHUNK_HOSTS]) for start in range(0, len(updated), MAX_CHUNK_HOSTS)
    ]
    chunks += [
        Chunk(removed=removed[start : start + MAX_CHUNK_NAMES]) for start in range(0, len(removed), MAX_CHUNK_NAMES)
    ]
    return chunks


def handle_message(helper: Helper, message: ToHelper) -> list[FromHelper]:
    """Carry out a message of the host and return the replies."""
    if isinstance(message, Poll):
        try:
            return helper.poll()
        except Exception as err:  # noqa: BLE001 - an exception of the reader is reported as a fault of the list and must not end the helper
            helper.reset()
            return [Polled(faults=(FileFault(SourceLocation("inventory"), "", f"the reader raised {err!r:.200}"),))]
    if isinstance(message, SaveAccepted):
        return helper.save_accepted(message)
    if isinstance(message, SaveStatus):
        return helper.save_status(message)
    return []


def main() -> int:
    """Serve the host until it closes the socket; return the exit code."""
    gc.disable()  # the cached objects form no reference cycles, and a full collection of them takes longer than a poll
    connection = socket.socket(fileno=os.dup(0))
    decode = json_decoder(ToHelper)
    helper: Helper | None = None
    with connection, connection.makefile("rb") as lines:
        for line in lines:
            message = decode(line)
            replies: Iterable[FromHelper] = ()
            if isinstance(message, Begin):
                helper = Helper(message)
                replies = helper.load_last_good()
            elif helper is not None:
                replies = handle_message(helper, message)
            connection.sendall(b"".join(_encode(reply) + b"\n" for reply in replies))
            gc.collect(0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
