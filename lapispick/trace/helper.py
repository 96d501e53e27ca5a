"""The process that writes trace files, so that the host never waits for the disk.

The host starts it with a socket as standard input: ``Begin`` as JSON first, then batches of steps in msgpack, each
with its length before it. At the end of the socket the file is closed properly, so that neither SIGTERM nor SIGKILL of
the host leaves an incomplete file; a kill of this process loses only the open block.
"""

from __future__ import annotations

import os
import select
import socket
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec

from lapispick import admission
from lapispick.trace.files import STEPS_PER_BLOCK, TraceWriter, make_header
from lapispick.trace.messages import Begin
from lapispick.trace.record_types import RECORD_TYPES, Gap, Step
from lapispick.trace.retention import TraceFile, expired, rotate

MAX_BLOCK_AGE_S = 1.0  # an open block is written after this at the latest
POLL_S = MAX_BLOCK_AGE_S / 4  # how often an open block's age is checked
NICENESS = 5  # the host goes first where they share a core, and this process still gets a third of its share
RETRY_S = 1.0  # after a failure of the disk
SUFFIX = ".lptrace"
MODULE_DIGEST_CHARACTERS = 16
OPEN_SUFFIX = ".lptrace.open"
LENGTH_BYTES = 4  # in front of each message
RECEIVE_BYTES = 1 << 16


def module_digest() -> str:
    """Return a digest of the decision module's source; a replay compares it with its own."""
    digest = sha256()
    for path in sorted(Path(admission.__file__).parent.glob("*.py")):
        digest.update(path.read_bytes())
    return digest.hexdigest()[:MODULE_DIGEST_CHARACTERS]


def decode_steps(data: bytes) -> list[Step]:
    """Return the steps of one batch, as the recorder encodes them."""
    # The numbers of all events and actions come first; notes carry their own.
    record_numbers, steps = msgspec.msgpack.decode(data)
    numbers = iter(record_numbers)
    return [
        Step(
            now,
            tuple(_decode_record(next(numbers), values) for values in events),
            tuple(_decode_record(next(numbers), values) for values in actions),
            tuple(_decode_record(number, values) for number, *values in notes),
        )
        for now, events, actions, notes in steps
    ]


def _decode_record(number: int, values: list[Any]) -> Any:
    record_type = RECORD_TYPES[number]
    if record_type in (admission.RunCompleted, admission.CallCompleted):
        values[1] = admission.Outcome(values[1])
    elif record_type is admission.TimerFired:
        values[1] = tuple(values[1])
    return record_type(*values)


def _next_sequence(folder: Path, prefix: str) -> int:
    """Return the number of the next file of this incarnation: another writer may have ended before this one."""
    with suppress(OSError):
        names = [entry.name for entry in os.scandir(folder) if entry.name.startswith(prefix)]
        numbers = [name.removeprefix(prefix).split(".")[0] for name in names]
        return max((int(number) + 1 for number in numbers if number.isdigit()), default=0)
    return 0


class Recording:
    """The files of one incarnation of a host.

    ``report_error`` gets the text of each failure, ``report_written`` the number of steps in each written block.
    """

    def __init__(
        self,
        begin: Begin,
        report_error: Callable[[str], None],
        report_written: Callable[[int], None] = lambda count: None,
    ) -> None:
        self._begin = begin
        self._folder = Path(begin.folder)
        self._report_error = report_error
        self._report_written = report_written
        self._module = module_digest()
        self._sequence = _next_sequence(self._folder, f"{begin.host}-{begin.incarnation}-")
        self._writer: TraceWriter | None = None
        self._path = self._folder
        self._file: Any = None
        self._opened_at = 0.0
        self._retry_at = 0.0
        self._steps: list[Step] = []
        self._block_began_at = 0.0
        self._lost = 0

    def add(self, step: Step, now: float) -> None:
        """Add a step; ``now`` is a clock in seconds."""
        if not self._steps:
            self._block_began_at = now
        self._steps.append(step)
        if len(self._steps) >= STEPS_PER_BLOCK:
            self.flush(now)

    def flush_due(self, now: float) -> None:
        """Write the open block if it has waited long enough."""
        if self._steps and now - self._block_began_at >= MAX_BLOCK_AGE_S:
            self.flush(now)

    def flush(self, now: float) -> None:
        """Write the open block; where the disk fails its steps are counted as lost."""
        steps = self._steps
        self._steps = []
        if not steps:
            return
        if now < self._retry_at:
            self._lost += len(steps)
            return
        try:
            self._write(steps, now)
        except OSError as err:
            self._lost += sum(1 for step in steps if step.events or step.actions)
            self._retry_at = now + RETRY_S
            self._abandon()
            self._report_error(str(err))

    def close(self) -> None:
        """Close the file and remove those that are beyond the retention."""
        if self._writer is None:
            return
        self._writer.close(sync=self._begin.sync != "no")
        self._writer = None
        self._file = None
        os.replace(self._path, self._path.with_name(self._path.name.removesuffix(OPEN_SUFFIX) + SUFFIX))
        self._remove_expired()

    def _write(self, steps: list[Step], now: float) -> None:
        """Write a block, and close the file if it is large or old enough; raises ``OSError``."""
        writer = self._open(now)
        if self._lost:
            steps.insert(0, Step(steps[0].now, notes=(Gap(self._lost),)))
        writer.write_block(steps)
        self._file.flush()
        if self._begin.sync == "block":
            os.fsync(self._file.fileno())
        self._lost = 0
        self._report_written(sum(1 for step in steps if not any(type(note) is Gap for note in step.notes)))
        if rotate(writer.size, self._opened_at, now, self._begin.max_file_bytes, self._begin.max_file_age_s):
            self.close()

    def _open(self, now: float) -> TraceWriter:
        """Return the writer of the open file, a new one where there is none."""
        if self._writer is not None:
            return self._writer
        begin = self._begin
        self._folder.mkdir(parents=True, exist_ok=True)
        name = f"{begin.host}-{begin.incarnation}-{self._sequence:06d}"
        self._path = self._folder / (name + OPEN_SUFFIX)
        self._file = open(self._path, "wb")  # noqa: SIM115  # closed by ``close``
        self._opened_at = now
        header = make_header(
            box=begin.host,
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
        )
        self._writer = TraceWriter(self._file, header)
        self._file.flush()  # a reader finds a trace, not an empty file
        self._sequence += 1
        return self._writer

    def _abandon(self) -> None:
        """Leave a file that can't be written as it is; its complete blocks can be read."""
        if self._file is not None:
            with suppress(OSError):  # what was buffered is lost with the block
                self._file.close()
        self._writer = None
        self._file = None

    def _remove_expired(self) -> None:
        files = []
        for entry in os.scandir(self._folder):
            if entry.name.endswith((SUFFIX, OPEN_SUFFIX)):
                status = entry.stat()
                files.append(TraceFile(entry.name, status.st_size, status.st_mtime))
        for name in expired(files, time.time(), self._begin.max_total_bytes, self._begin.retention_s):
            (self._folder / name).unlink(missing_ok=True)


def messages(connection: socket.socket) -> Iterator[bytes | None]:
    """Yield complete messages, and None whenever nothing arrived for a while; ends with the socket."""
    buffer = bytearray()
    while True:
        if not select.select([connection], [], [], POLL_S)[0]:
            yield None
            continue
        try:
            data = connection.recv(RECEIVE_BYTES)
        except ConnectionResetError:  # the host ended with an unread message of ours; all that it sent came first
            return
        if not data:
            return
        buffer += data
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            size = int.from_bytes(buffer[start:body], "little")
            if len(buffer) - body < size:
                break
            yield bytes(buffer[body : body + size])
            start = body + size
        del buffer[:start]


def main() -> int:
    """Write until the host closes the socket."""
    os.nice(NICENESS)
    connection = socket.socket(fileno=os.dup(0))

    def report_error(text: str) -> None:
        with suppress(OSError):  # the host has ended or does not read; the gap in the trace shows it too
            connection.send(text.replace("\n", " ").encode() + b"\n", socket.MSG_DONTWAIT)

    def report_written(count: int) -> None:
        with suppress(OSError):  # the host then counts these steps as lost if this process ends, no more
            connection.send(b"wrote %d\n" % count, socket.MSG_DONTWAIT)

    recording: Recording | None = None
    for data in messages(connection):
        now = time.monotonic()
        if recording is None:
            if data is not None:
                recording = Recording(msgspec.json.decode(data, type=Begin), report_error, report_written)
            continue
        if data is not None:
            for step in decode_steps(data):
                recording.add(step, now)
        recording.flush_due(now)
    if recording is not None:
        recording.flush(time.monotonic())
        try:
            recording.close()
        except OSError as err:
            report_error(str(err))
    return 0


if __name__ == "__main__":
    sys.exit(main())
