"""The helper process: reads and parses the files, and writes the state folder, away from the host's loop.

It is started by the host with a socket as its standard input, answers one message after the other and ends
with the socket. Whatever a file does to a parser, it does it here.
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
from lapispick.fleet import files, last_good, snapshot
from lapispick.fleet.host_assembly import Box
from lapispick.fleet.messages import PART, Begin, Keep, Kept, Listed, Look, Part, Status, ToHelper, Trouble
from lapispick.fleet.reading import Reader
from lapispick.fleet.snapshot import EMPTY, Snapshot

LISTS = 8  # sent lists that may still be accepted

_encode = msgspec.json.Encoder().encode


class Helper:
    """Answers the host."""

    def __init__(self, begin: Begin) -> None:
        self._begin = begin
        self._path = Path(begin.path)
        self._folder = Path(begin.state_folder) if begin.state_folder else None
        self._source = f"{begin.path} group {begin.options.group}"
        self.forget()
        self._sent = EMPTY
        self._lists: OrderedDict[str, Snapshot] = OrderedDict()
        self._signature: tuple[object, ...] | None = None
        self._last: Listed | None = None

    def forget(self) -> None:
        """Keep nothing of what was read so far; the next look reads all."""
        self._reader = Reader(self._begin.options, os.environ)

    def kept(self) -> Iterable[msgspec.Struct]:
        """Return the last good list."""
        if self._folder is None:
            return [Kept()]
        try:
            found = last_good.kept(self._folder, self._source)
        except last_good.StateFault as err:
            return [Kept(fault=str(err))]
        if found is None:
            return [Kept()]
        head, self._sent = found
        parts = _parts(list(self._sent.boxes.values()), [])
        return [Kept(len(parts), head.digest, head.at, head.ground), *parts]

    def look(self) -> Iterable[msgspec.Struct]:
        """Read what changed and return it."""
        began = time.perf_counter()
        accept = last_good.accepting(self._folder) if self._folder else ""
        mark = files.signature(self._path)
        if mark is not None and mark == self._signature and self._last is not None:
            return [
                msgspec.structs.replace(
                    self._last, parts=0, accept=accept, took_ms=(time.perf_counter() - began) * 1000
                )
            ]
        found = files.read(self._path, self._begin.size_most)
        self._signature = found.signature
        parts: list[Part] = []
        if found.faults:
            listed = Listed(faults=found.faults)
        else:
            reading = self._reader.read(found.files)
            listed = Listed(
                faults=reading.faults, left_out=reading.left_out, unfinished=found.unfinished or reading.unfinished
            )
            if not reading.faults:
                fresh = _next(self._sent, reading.boxes)
                diff = snapshot.difference(self._sent, fresh)
                parts = _parts([fresh.boxes[n] for n in (*diff.joined, *diff.moved, *diff.changed)], list(diff.left))
                listed.parts, listed.digest, self._sent = len(parts), fresh.digest, fresh
                self._lists[fresh.digest] = fresh
                while len(self._lists) > LISTS:
                    self._lists.popitem(last=False)
        listed.accept, listed.took_ms, self._last = accept, (time.perf_counter() - began) * 1000, listed
        return [listed, *parts]

    def keep(self, message: Keep) -> Iterable[msgspec.Struct]:
        """Write the list that was accepted and its line of the history."""
        if self._folder is None:
            return []
        try:
            known = self._lists.get(message.digest)
            if known is not None:
                last_good.keep(self._folder, self._source, known, message.at, message.ground)
            size = len(known.boxes) if known is not None else 0
            last_good.remember(
                self._folder,
                last_good.Entry(
                    message.at, message.digest, message.ground, size, counts=message.counts, **message.names
                ),
                self._begin.history,
            )
            if message.digest.startswith(last_good.accepting(self._folder) or "-"):
                last_good.accepted(self._folder)
        except OSError as err:
            return [Trouble(f"{self._folder}: {err}")]
        return []

    def status(self, message: Status) -> Iterable[msgspec.Struct]:
        """Write what operators see."""
        if self._folder is not None:
            try:
                last_good.write(self._folder / last_good.STATUS, _encode(message.told) + b"\n", sync=False)
            except OSError as err:
                return [Trouble(f"{self._folder}: {err}")]
        return []


def _next(base: Snapshot, boxes: dict[str, Box]) -> Snapshot:
    """Return a list as a change of the one before, so that both share what is the same."""
    known = base.boxes
    put = [
        box
        for name, box in boxes.items()
        if (old := known.get(name)) is not box and (old is None or old.digest != box.digest)
    ]
    gone = [name for name in known if name not in boxes] if put or len(boxes) != len(known) else []
    return base.changed(put, gone)


def _parts(put: list[Box], gone: list[str]) -> list[Part]:
    parts = [Part(put=put[at : at + PART]) for at in range(0, len(put), PART)]
    wide = PART * 16  # names are short
    return parts + [Part(gone=gone[at : at + wide]) for at in range(0, len(gone), wide)]


def main() -> int:
    """Serve the host until it closes the socket."""
    gc.disable()  # what is kept has no loops; a collection over many thousand boxes takes longer than a look
    link = socket.socket(fileno=os.dup(0))
    decode = msgspec.json.Decoder(ToHelper).decode
    helper: Helper | None = None
    with link, link.makefile("rb") as lines:
        for line in lines:
            message = decode(line)
            answer: Iterable[msgspec.Struct] = ()
            if isinstance(message, Begin):
                helper = Helper(message)
                answer = helper.kept()
            elif helper is not None:
                answer = _serve(helper, message)
            link.sendall(b"".join(_encode(part) + b"\n" for part in answer))
            gc.collect(0)
    return 0


def _serve(helper: Helper, message: ToHelper) -> Iterable[msgspec.Struct]:
    if isinstance(message, Look):
        try:
            return helper.look()
        except Exception as err:  # guards the host: a list that breaks a parser is a faulty list
            helper.forget()
            return [Listed(faults=(FileFault(SourceLocation("inventory"), "", f"breaks the reader: {err!r:.200}"),))]
    if isinstance(message, Keep):
        return helper.keep(message)
    if isinstance(message, Status):
        return helper.status(message)
    return ()


if __name__ == "__main__":
    sys.exit(main())
