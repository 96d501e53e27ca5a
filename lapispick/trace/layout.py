"""The bytes of a trace file: prelude, frames and trailer, each with its checksum. No I/O.

    prelude   magic 8, major u16, minor u16, length u32, crc32c u32, then the header (protobuf)
    frame     mark 4, kind u8, stored u32, raw u32, steps u32, first f64, last f64, crc32c of the body u32,
              crc32c of all before u32, then the body (zstd): a block, or the index as the last frame
    trailer   offset of the index frame u64, crc32c of it u32, end magic 8

All numbers are little-endian. docs/TRACE-FORMAT.md tells the whole.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from typing import NamedTuple

import zstandard
from google_crc32c import value as crc32c

MAGIC, END_MAGIC, MARK = b"\x89LPTRC\r\n", b"\x89LPEND\r\n", b"LPB\xa7"
MAJOR, MINOR = 1, 0
PRELUDE = struct.Struct("<8sHHII")
FRAME = struct.Struct("<4sBIIIddI")
CHECK = struct.Struct("<I")
TRAILER = struct.Struct("<QI8s")
HEAD = FRAME.size + CHECK.size
BLOCK, INDEX = 1, 2
HEADER_MOST = 1 << 20  # bytes
BODY_MOST = 16 << 20  # bytes of one frame, stored or not: what a reader will hold at once
LEVEL = 9  # of zstd
PIECE = 500  # bytes; what is shorter is not worth a table of its own


class TraceError(Exception):
    """A trace can't be read here; the text says where and why."""


class Frame(NamedTuple):
    """The head of one frame."""

    kind: int
    stored: int
    raw: int
    steps: int
    first: float
    last: float
    crc: int


def prelude(header: bytes) -> bytes:
    """Return the beginning of a file."""
    return PRELUDE.pack(MAGIC, MAJOR, MINOR, len(header), crc32c(header)) + header


def read_prelude(read: Callable[[int], bytes]) -> tuple[bytes, int]:
    """Return (header, minor version); raises ``TraceError``."""
    data = read(PRELUDE.size)
    if len(data) < PRELUDE.size or data[:8] != MAGIC:
        raise TraceError("is no trace: it does not begin with the mark of one")
    _, major, minor, length, crc = PRELUDE.unpack(data)
    if major != MAJOR:
        raise TraceError(f"has the version {major}.{minor}; this program reads versions {MAJOR}.x")
    if length > HEADER_MOST:
        raise TraceError(f"its header says that it has {length} bytes; {HEADER_MOST} are the most")
    header = read(length)
    if len(header) < length or crc32c(header) != crc:
        raise TraceError("its header is cut or spoilt")
    return header, minor


def frame(kind: int, raw: Sequence[bytes], steps: int, first: float, last: float) -> bytes:
    """Return a frame with this body; raises ``ValueError`` for one that is too long.

    Each piece of some size is coded by itself: bytes of one column differ from those of the next in what is frequent.
    """
    size = sum(map(len, raw))
    if size > BODY_MOST:
        raise ValueError(f"a body of {size} bytes")
    coder, made, waiting = zstandard.ZstdCompressor(level=LEVEL).compressobj(size=size), [], 0
    for piece in raw:
        made.append(coder.compress(piece))
        waiting += len(piece)
        if waiting >= PIECE:
            made.append(coder.flush(zstandard.COMPRESSOBJ_FLUSH_BLOCK))
            waiting = 0
    made.append(coder.flush())
    body = b"".join(made)
    head = FRAME.pack(MARK, kind, len(body), size, steps, first, last, crc32c(body))
    return head + CHECK.pack(crc32c(head)) + body


def read_head(data: bytes) -> Frame | None:
    """Return the frame that begins here, None where none does; its lengths are within bounds."""
    if len(data) < HEAD or data[:4] != MARK:
        return None
    head = data[: FRAME.size]
    if CHECK.unpack_from(data, FRAME.size)[0] != crc32c(head):
        return None
    made = Frame(*FRAME.unpack(head)[1:])
    return made if made.stored <= BODY_MOST and made.raw <= BODY_MOST else None


def body(head: Frame, data: bytes) -> bytes | None:
    """Return the raw body, None where it is cut or spoilt."""
    if len(data) < head.stored or crc32c(data[: head.stored]) != head.crc:
        return None
    try:
        made = zstandard.ZstdDecompressor().decompress(data[: head.stored], max_output_size=head.raw)
    except zstandard.ZstdError:
        return None
    return made if len(made) == head.raw else None


def trailer(offset: int, index: bytes) -> bytes:
    """Return the end of a file whose index frame is at this offset."""
    return TRAILER.pack(offset, crc32c(index), END_MAGIC)


def scan(data: bytes, at: int, size: int) -> int:
    """Return where a mark next may stand at or after ``at``, ``size`` where none does."""
    found = data.find(MARK, at)
    return size if found < 0 else found
