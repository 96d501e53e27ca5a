"""The binary codec of the simulator's wire protocol: decodes batches of events, encodes replies with actions.

All numbers are big-endian. A frame begins with its length, which includes the length field itself.
"""

from __future__ import annotations

import struct
from typing import Any, BinaryIO, NamedTuple

BATCH_HEAD = struct.Struct(">IdI")  # length of the frame, clock in ms, batch number
REPLY_HEAD = struct.Struct(">III")  # length of the frame, number of records, batch number
TEXT_HEAD = struct.Struct(">BIH")  # code, instance, length of the text
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1 << 30
MAX_TEXT_BYTES = 65_535
GAUGE_BYTES = 4

# Event codes. The names of event and action codes are those of the protocol description; ``adapter.py`` maps them to
# the events and actions of the decision module.
RUN_OVER = 1
BORN = 2
BLOCKED = 3
HANGUP = 4
KNOCK = 5
CAME_BACK = 6
KILL = 7
DEADLINE_HIT = 8
TERMINATE_SOON = 9

# The fixed-size part of each event after its code. Its last field is the length of the settings for BORN and the number
# of gauges for DEADLINE_HIT; the settings or gauges follow as the variable part.
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

# Action codes.
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
    """Input that does not follow the protocol description; the message names the faulty part."""


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read one frame including its length, or return None if the input ends before it. Raises ``WireError``."""
    head = _read_up_to(stream, LENGTH_BYTES)
    if not head:
        return None
    if len(head) < LENGTH_BYTES:
        raise WireError(f"truncated frame: input ended after {len(head)} of the {LENGTH_BYTES} bytes of its length")
    size = int.from_bytes(head, "big")
    if size < BATCH_HEAD.size:
        raise WireError(f"expected a frame length of at least {BATCH_HEAD.size} bytes for the batch header, got {size}")
    if size > MAX_FRAME_BYTES:
        raise WireError(f"expected a frame length of at most {MAX_FRAME_BYTES} bytes, got {size}")
    body = _read_up_to(stream, size - LENGTH_BYTES)
    if len(body) < size - LENGTH_BYTES:
        raise WireError(f"truncated frame: input ended after {len(body) + LENGTH_BYTES} of {size} bytes")
    return head + body


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    """Read this many bytes, or fewer if the input ends."""
    chunks = []
    while size:
        chunk = stream.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


class Batch(NamedTuple):
    """One batch: the clock in ms, the batch number, and the events as ``(code, instance, fields...)``."""

    clock: float
    number: int
    records: list[tuple[Any, ...]]


def decode_batch(frame: bytes) -> Batch:
    """Decode the events of a frame. Raises ``WireError``."""
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
            raise WireError(f"truncated record of event code {code} in batch {number}: expected {layout.size} bytes")
        fields = layout.unpack_from(frame, start)
        if code in (BORN, DEADLINE_HIT):
            *leading_fields, count = fields
            size = count if code == BORN else count * GAUGE_BYTES
            if position + size > end:
                raise WireError(
                    f"truncated variable part of event code {code} in batch {number}: expected {size} bytes"
                )
            tail = frame[position : position + size]
            fields = (*leading_fields, tail if code == BORN else struct.unpack(f">{count}f", tail))
            position += size
        records.append((code, *fields))
    return Batch(clock, number, records)


def encode_text(code: int, instance: int, text: str) -> bytes:
    """Encode an EMIT or FATAL action; a text that is too long is truncated at a character boundary."""
    raw = text.encode()[:MAX_TEXT_BYTES].decode(errors="ignore").encode()
    return TEXT_HEAD.pack(code, instance, len(raw)) + raw


def encode_reply(number: int, records: list[bytes]) -> bytes:
    """Encode the records of a reply as one frame."""
    body = b"".join(records)
    return REPLY_HEAD.pack(REPLY_HEAD.size + len(body), len(records), number) + body
