"""The binary codec of the bench's wire: batches in, replies out. It translates frames and decides nothing."""

from __future__ import annotations

import struct
from typing import Any, BinaryIO

BATCH_HEAD = struct.Struct(">IdI")
REPLY_HEAD = struct.Struct(">III")
LONGEST_FRAME = 1 << 30

# Event codes and the fixed part after the code; those in TAIL_COUNT carry a counted tail.
RUN_OVER, BORN, BLOCKED, HANGUP, KNOCK, CAME_BACK, KILL, DEADLINE_HIT, TERMINATE_SOON = range(1, 10)
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

(
    DISPATCH,
    PIN,
    INVOKE,
    SAY,
    FATAL,
    JOIN,
    EMIT,
    YANK,
    IDLE_LIMIT,
    SAY_NO,
    GO_ON,
    RELEASE_KEY,
    MARK_HEALTH,
    ARM,
    REPORT_FAILURE,
) = range(1, 16)
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
TEXT_HEAD = struct.Struct(">BIH")


class WireError(Exception):
    """What came in does not follow the wire's description."""


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read one frame; None at a clean end of input."""
    head = _read_up_to(stream, 4)
    if not head:
        return None
    if len(head) < 4:
        raise WireError(f"truncated frame: input ended after {len(head)} of the 4 bytes of its length")
    size = int.from_bytes(head, "big")
    if size < BATCH_HEAD.size:
        raise WireError(f"frame length {size} is shorter than the {BATCH_HEAD.size} bytes of a batch header")
    if size > LONGEST_FRAME:
        raise WireError(f"over-long frame: {size} bytes")
    body = _read_up_to(stream, size - 4)
    if len(body) < size - 4:
        raise WireError(f"truncated frame: {len(body) + 4} of {size} bytes")
    return head + body


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    parts = []
    while size:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def decode_batch(frame: bytes) -> tuple[float, int, list[tuple[Any, ...]]]:
    """Split a frame into clock, batch number and records ``(code, instance, fields...)``."""
    _, clock, number = BATCH_HEAD.unpack_from(frame)
    at, end = BATCH_HEAD.size, len(frame)
    records: list[tuple[Any, ...]] = []
    while at < end:
        code = frame[at]
        layout = EVENTS.get(code)
        if layout is None:
            raise WireError(f"unknown event code {code} at byte {at} of batch {number}")
        start = at + 1
        at = start + layout.size
        if at > end:
            raise WireError(f"truncated record of event code {code} in batch {number}")
        fields = layout.unpack_from(frame, start)
        if code in (BORN, DEADLINE_HIT):
            count = fields[-1] * (1 if code == BORN else 4)
            if at + count > end:
                raise WireError(f"the counted part of event code {code} passes the end of batch {number}")
            raw = frame[at : at + count]
            tail = raw if code == BORN else struct.unpack(f">{fields[-1]}f", raw)
            fields = (*fields[:-1], tail)
            at += count
        records.append((code, *fields))
    return clock, number, records


def encode_text(code: int, instance: int, text: str) -> bytes:
    """Encode an ``Emit`` or a ``Fatal``."""
    raw = text.encode()[:65535].decode(errors="ignore").encode()
    return TEXT_HEAD.pack(code, instance, len(raw)) + raw


def encode_reply(number: int, records: list[bytes]) -> bytes:
    """Put the records of a reply into one frame."""
    body = b"".join(records)
    return REPLY_HEAD.pack(REPLY_HEAD.size + len(body), len(records), number) + body
