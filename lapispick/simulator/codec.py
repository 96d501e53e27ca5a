"""The binary codec of the simulator's wire: batches of events in, replies with actions out.

All numbers are big-endian. A frame begins with its length, which counts itself.
"""

from __future__ import annotations

import struct
from typing import Any, BinaryIO, NamedTuple

BATCH_HEAD = struct.Struct(">IdI")  # length, clock in ms, number of the batch
REPLY_HEAD = struct.Struct(">III")  # length, count of records, number of the batch
TEXT_HEAD = struct.Struct(">BIH")  # code, instance, length of the text
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1 << 30
MAX_TEXT_BYTES = 65_535
GAUGE_BYTES = 4

# Codes of events. These, and the codes of actions below, have the names of the wire's description; ``adapter.py`` maps
# them to the events and actions of the decision module.
RUN_OVER = 1
BORN = 2
BLOCKED = 3
HANGUP = 4
KNOCK = 5
CAME_BACK = 6
KILL = 7
DEADLINE_HIT = 8
TERMINATE_SOON = 9

# The fixed part of each event after its code. BORN ends in the length of its settings, DEADLINE_HIT in the count of
# its gauges; these follow.
EVENTS: dict[int, struct.Struct] = {
    RUN_OVER: struct.Struct(">IQBd"),
    BORN: struct.Struct(">IQI"),
    BLOCKED: struct.Struct(">IQ"),
    HANGUP: struct.Struct(">IQ"),
    KNOCK: struct.Struct(">IQdQfdQBIfdHI"),
    CAME_BACK: struct.Struct(">IQdB"),
    KILL: struct.Struct(">I"),
    DEADLINE_HIT: struct.Struct(">IQB"),
    TERMINATE_SOON: struct.Struct(">Id"),
}

# Codes of actions.
DISPATCH = 1
PIN = 2
INVOKE = 3
SAY = 4
FATAL = 5
JOIN = 6
EMIT = 7
YANK = 8
IDLE_LIMIT = 9
SAY_NO = 10
GO_ON = 11
RELEASE_KEY = 12
MARK_HEALTH = 13
ARM = 14
REPORT_FAILURE = 15

ACTIONS: dict[int, struct.Struct] = {
    DISPATCH: struct.Struct(">BIQ"),
    PIN: struct.Struct(">BIQd"),
    INVOKE: struct.Struct(">BIQd"),
    SAY: struct.Struct(">BIf"),
    JOIN: struct.Struct(">BIQ"),
    YANK: struct.Struct(">BIQ"),
    IDLE_LIMIT: struct.Struct(">BId"),
    SAY_NO: struct.Struct(">BIQdB"),
    GO_ON: struct.Struct(">BIQ"),
    RELEASE_KEY: struct.Struct(">BIQ"),
    MARK_HEALTH: struct.Struct(">BIBB"),
    ARM: struct.Struct(">BIdQ"),
    REPORT_FAILURE: struct.Struct(">BIQ"),
}


class WireError(Exception):
    """What came in does not follow the wire's description; the text says which part of which batch."""


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read one frame with its length; None at a clean end of input. Raises ``WireError``."""
    head = _read_up_to(stream, LENGTH_BYTES)
    if not head:
        return None
    if len(head) < LENGTH_BYTES:
        raise WireError(f"truncated frame: input ended after {len(head)} of the {LENGTH_BYTES} bytes of its length")
    size = int.from_bytes(head, "big")
    if size < BATCH_HEAD.size:
        raise WireError(f"frame length {size} is shorter than the {BATCH_HEAD.size} bytes of a batch header")
    if size > MAX_FRAME_BYTES:
        raise WireError(f"over-long frame: {size} bytes")
    body = _read_up_to(stream, size - LENGTH_BYTES)
    if len(body) < size - LENGTH_BYTES:
        raise WireError(f"truncated frame: {len(body) + LENGTH_BYTES} of {size} bytes")
    return head + body


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    """Read this many bytes, fewer at the end of input."""
    chunks = []
    while size:
        chunk = stream.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


class Batch(NamedTuple):
    """One batch: the clock in ms, its number, and its events as ``(code, instance, fields...)``."""

    clock: float
    number: int
    records: list[tuple[Any, ...]]


def decode_batch(frame: bytes) -> Batch:
    """Split a frame into its events. Raises ``WireError``."""
    _, clock, number = BATCH_HEAD.unpack_from(frame)
    position = BATCH_HEAD.size
    end = len(frame)
    records: list[tuple[Any, ...]] = []
    while position < end:
        code = frame[position]
        layout = EVENTS.get(code)
        if layout is None:
            raise WireError(f"unknown event code {code} at byte {position} of batch {number}")
        start = position + 1
        position = start + layout.size
        if position > end:
            raise WireError(f"truncated record of event code {code} in batch {number}")
        fields = layout.unpack_from(frame, start)
        if code in (BORN, DEADLINE_HIT):
            *others, count = fields
            size = count if code == BORN else count * GAUGE_BYTES
            if position + size > end:
                raise WireError(f"the counted part of event code {code} passes the end of batch {number}")
            tail = frame[position : position + size]
            fields = (*others, tail if code == BORN else struct.unpack(f">{count}f", tail))
            position += size
        records.append((code, *fields))
    return Batch(clock, number, records)


def encode_text(code: int, instance: int, text: str) -> bytes:
    """Encode an ``Emit`` or a ``Fatal``; a text that is too long is cut between two characters."""
    raw = text.encode()[:MAX_TEXT_BYTES].decode(errors="ignore").encode()
    return TEXT_HEAD.pack(code, instance, len(raw)) + raw


def encode_reply(number: int, records: list[bytes]) -> bytes:
    """Put the records of a reply into one frame."""
    body = b"".join(records)
    return REPLY_HEAD.pack(REPLY_HEAD.size + len(body), len(records), number) + body
