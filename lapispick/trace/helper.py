"""The process that writes trace files, so that the host never waits for the disk.

The host starts it with a socket as standard input, and sends ``WriterOptions`` as JSON, then batches of steps in
msgpack; each message is preceded by its length. When the host closes the socket, this process closes the file properly,
so that neither SIGTERM nor SIGKILL of the host leaves an incomplete file. A kill of this process loses only the open
block.
"""

from __future__ import annotations

import os
import select
import socket
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import msgspec

from lapispick import admission
from lapispick.trace.messages import WriterOptions
from lapispick.trace.record_types import RECORD_TYPES, Step
from lapispick.trace.recording import MAX_BLOCK_AGE_S, Recording

POLL_S = MAX_BLOCK_AGE_S / 4  # how often an open block's age is checked
NICENESS = 5  # on a shared core the host has priority, and this process still gets a third of the host's share
LENGTH_BYTES = 4  # size of the length prefix of each message
RECEIVE_BYTES = 1 << 16


def decode_steps(data: bytes) -> list[Step]:
    """Return the steps of one batch, as the recorder encodes them."""
    # The batch begins with the record numbers of all events and actions; each note begins with its own.
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
    """Return the record of the type with this number."""
    record_type = RECORD_TYPES[number]
    if record_type in (admission.RunCompleted, admission.CallCompleted):
        values[1] = admission.Outcome(values[1])
    elif record_type is admission.TimerFired:
        values[1] = tuple(values[1])
    return record_type(*values)


def receive_messages(connection: socket.socket) -> Iterator[bytes | None]:
    """Yield complete messages until the host closes the socket, and None if nothing arrived for ``POLL_S``."""
    buffer = bytearray()
    while True:
        if not select.select([connection], [], [], POLL_S)[0]:
            yield None
            continue
        try:
            data = connection.recv(RECEIVE_BYTES)
        except ConnectionResetError:  # the host ended with our messages unread; all its data was received before
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
    """Write steps to files until the host closes the socket."""
    os.nice(NICENESS)
    connection = socket.socket(fileno=os.dup(0))

    def report_error(text: str) -> None:
        with suppress(OSError):  # the host has ended or does not read; the trace also shows the error as a gap
            connection.send(text.replace("\n", " ").encode() + b"\n", socket.MSG_DONTWAIT)

    def report_written(count: int) -> None:
        with suppress(OSError):  # only effect: if this process ends, the host counts these steps as lost
            connection.send(b"wrote %d\n" % count, socket.MSG_DONTWAIT)

    recording: Recording | None = None
    for data in receive_messages(connection):
        now = time.monotonic()
        if recording is None:
            if data is not None:
                recording = Recording(msgspec.json.decode(data, type=WriterOptions), report_error, report_written)
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
