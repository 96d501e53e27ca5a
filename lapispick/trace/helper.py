"""The process that writes trace files: it may wait for the disk as long as it likes.

The host starts it with a socket as standard input: a JSON message with the settings first, then steps in
msgpack, each with its length before it. With the end of the socket the file is closed whole, so that neither
SIGTERM nor SIGKILL of the host leaves half a file; a kill of this process loses the open block only.
"""

from __future__ import annotations

import os
import select
import socket
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec

from lapispick import admission
from lapispick.trace.files import STEPS, Writer, blank
from lapispick.trace.record_types import KINDS, Gap, Step
from lapispick.trace.retention import Kept, expired, rotate

BLOCK_S = 1.0  # s; an open block is written after this at the latest
NICE = 5  # the host goes first, and this process still gets a third of its share
RETRY_S = 1.0  # s; after a disk that failed
SUFFIX, OPEN = ".lptrace", ".lptrace.open"


class Begin(msgspec.Struct):
    """What the host says first."""

    folder: str
    box: str
    incarnation: str
    rotate_size: int
    rotate_age: float
    keep_size: int
    keep_age: float
    sync: str
    seed: int
    module_now: float
    started_ms: float
    settings: str
    classes: list[str]
    accounts: list[str]


def module_digest() -> str:
    """Return a digest of the module's text, which a replay with another one differs in."""
    made = sha256()
    for path in sorted(Path(admission.__file__).parent.glob("*.py")):
        made.update(path.read_bytes())
    return made.hexdigest()[:16]


def steps(data: bytes) -> list[Step]:
    """Return the steps of one hand-over, as the recorder encodes them."""
    kinds, found = msgspec.msgpack.decode(data)
    numbers = iter(kinds)
    return [
        Step(
            now,
            *(tuple(_record(next(numbers), values) for values in part) for part in (events, actions)),
            tuple(_record(number, values) for number, *values in notes),
        )
        for now, events, actions, notes in found
    ]


def _record(number: int, values: list[Any]) -> Any:
    kind = KINDS[number]
    if kind in (admission.RunCompleted, admission.CallCompleted):
        values[1] = admission.Outcome(values[1])
    elif kind is admission.TimerFired:
        values[1] = tuple(values[1])
    return kind(*values)


def _next(folder: Path, name: str) -> int:
    """Return the number of the next file of this life: another writer may have begun it and ended early."""
    with suppress(OSError):
        found = [
            entry.name.removeprefix(name).split(".")[0] for entry in os.scandir(folder) if entry.name.startswith(name)
        ]
        return max((int(number) + 1 for number in found if number.isdigit()), default=0)
    return 0


class Recording:
    """The files of one life of a host."""

    def __init__(self, begin: Begin, complain: Any, told: Any = lambda count: None) -> None:
        self._begin, self._folder, self._complain, self._told = begin, Path(begin.folder), complain, told
        self._module = module_digest()
        self._sequence = _next(self._folder, f"{begin.box}-{begin.incarnation}-")
        self._writer: Writer | None = None
        self._path = self._folder
        self._file: Any = None
        self._opened = self._wait_until = 0.0
        self._steps: list[Step] = []
        self._since = 0.0
        self._lost = 0

    def add(self, made: Step, now: float) -> None:
        """Take a step; ``now`` is a clock in seconds."""
        if not self._steps:
            self._since = now
        self._steps.append(made)
        if len(self._steps) >= STEPS:
            self.flush(now)

    def due(self, now: float) -> None:
        """Write the open block if it has waited long enough."""
        if self._steps and now - self._since >= BLOCK_S:
            self.flush(now)

    def flush(self, now: float) -> None:
        """Write the open block; where the disk fails its steps are counted as lost."""
        steps, self._steps = self._steps, []
        if not steps:
            return
        if now < self._wait_until:
            self._lost += len(steps)
            return
        try:
            writer = self._open(now)
            if self._lost:
                steps.insert(0, Step(steps[0].now, notes=(Gap(self._lost),)))
            writer.block(steps)
            self._file.flush()
            if self._begin.sync == "block":
                os.fsync(self._file.fileno())
            self._lost = 0
            self._told(sum(1 for s in steps if not any(type(n) is Gap for n in s.notes)))
            if rotate(writer.size, self._opened, now, self._begin.rotate_size, self._begin.rotate_age):
                self.close()
        except OSError as err:
            self._lost += sum(1 for s in steps if s.events or s.actions)
            self._wait_until = now + RETRY_S
            self._abandon()
            self._complain(str(err))

    def _open(self, now: float) -> Writer:
        if self._writer is None:
            begin = self._begin
            self._folder.mkdir(parents=True, exist_ok=True)
            name = f"{begin.box}-{begin.incarnation}-{self._sequence:06d}"
            self._path = self._folder / (name + OPEN)
            self._file = open(self._path, "wb")  # noqa: SIM115  # closed by ``close``
            self._opened = now
            self._writer = Writer(
                self._file,
                blank(
                    box=begin.box,
                    incarnation=begin.incarnation,
                    sequence=self._sequence,
                    seed=begin.seed,
                    started_ms=begin.started_ms,
                    module_now=begin.module_now,
                    settings=begin.settings.encode(),
                    module=self._module,
                    created_ms=time.time() * 1000,
                    classes=begin.classes,
                    accounts=begin.accounts,
                ),
            )
            self._file.flush()  # whoever looks finds a trace, not an empty file
            self._sequence += 1
        return self._writer

    def _abandon(self) -> None:
        """Leave a file that can't be written on as it is; its whole blocks can be read."""
        if self._file is not None:
            with suppress(OSError):  # what was buffered is lost with the block
                self._file.close()
        self._writer = self._file = None

    def close(self) -> None:
        """Close the file whole and remove those that the budget has no room for."""
        if self._writer is None:
            return
        self._writer.close(sync=self._begin.sync != "no")
        self._writer = self._file = None
        os.replace(self._path, self._path.with_name(self._path.name.removesuffix(OPEN) + SUFFIX))
        kept = []
        for entry in os.scandir(self._folder):
            if entry.name.endswith((SUFFIX, OPEN)):
                told = entry.stat()
                kept.append(Kept(entry.name, told.st_size, told.st_mtime))
        for name in expired(kept, time.time(), self._begin.keep_size, self._begin.keep_age):
            (self._folder / name).unlink(missing_ok=True)


def messages(link: socket.socket) -> Iterator[bytes | None]:
    """Yield whole messages, and None whenever nothing came for a while; ends with the socket."""
    waiting = bytearray()
    while True:
        if not select.select([link], [], [], BLOCK_S / 4)[0]:
            yield None
            continue
        try:
            data = link.recv(1 << 16)
        except ConnectionResetError:  # the end too: the host ended before it read our last word; all it sent came first
            return
        if not data:
            return
        waiting += data
        at = 0
        while len(waiting) - at >= 4:
            size = int.from_bytes(waiting[at : at + 4], "little")
            if len(waiting) - at - 4 < size:
                break
            yield bytes(waiting[at + 4 : at + 4 + size])
            at += 4 + size
        del waiting[:at]


def main() -> int:
    """Write until the host closes the socket."""
    os.nice(NICE)  # where they share a core the host goes first; it is the disk that this process is here to wait for
    link = socket.socket(fileno=os.dup(0))

    def complain(text: str) -> None:
        with suppress(OSError):  # the host has gone or does not listen; the gap says it too
            link.send(text.replace("\n", " ").encode() + b"\n", socket.MSG_DONTWAIT)

    def told(count: int) -> None:
        with suppress(OSError):  # the host then takes these steps for lost if this process ends, no more
            link.send(b"wrote %d\n" % count, socket.MSG_DONTWAIT)

    recording: Recording | None = None
    for data in messages(link):
        now = time.monotonic()
        if recording is None:
            if data is not None:
                recording = Recording(msgspec.json.decode(data, type=Begin), complain, told)
            continue
        if data is not None:
            for made in steps(data):
                recording.add(made, now)
        recording.due(now)
    if recording is not None:
        recording.flush(time.monotonic())
        try:
            recording.close()
        except OSError as err:
            complain(str(err))
    return 0


if __name__ == "__main__":
    sys.exit(main())
