"""Encodes and decodes the parts of a trace file: prelude, frames and trailer, each with its checksum. No I/O.

    prelude   magic 8, major u16, minor u16, length u32, crc32c u32, then the header (protobuf)
    frame     mark 4, kind u8, stored u32, raw u32, steps u32, first f64, last f64, crc32c of the body u32,
              crc32c of all before u32, then the body (zstd): a block, or the index as the last frame
    trailer   offset of the index frame u64, crc32c of it u32, end magic 8

All numbers are little-endian. ``docs/TRACE-FORMAT.md`` specifies the format.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Callable, Sequence
from typing import NamedTuple

import zstandard
from google_crc32c import value as crc32c

MAGIC = b"\x89LPTRC\r\n"
END_MAGIC = b"\x89LPEND\r\n"
FRAME_MARK = b"LPB\xa7"
MAJOR_VERSION = 1
MINOR_VERSION = 0
PRELUDE = struct.Struct("<8sHHII")
FRAME = struct.Struct("<4sBIIIddI")
CHECKSUM = struct.Struct("<I")
TRAILER = struct.Struct("<QI8s")
FRAME_HEADER_BYTES = FRAME.size + CHECKSUM.size
MAX_HEADER_BYTES = 1 << 20
MAX_BODY_BYTES = 16 << 20  # of one frame, compressed or not: what a reader allocates at once
ZSTD_LEVEL = 9
MIN_ZSTD_BLOCK_BYTES = 500  # shorter pieces share a block, as each block carries tables of its own


class TraceError(Exception):
    """A trace can't be read; the text says where and why."""


class FrameKind(enum.IntEnum):
    """What the body of a frame contains; readers skip other kinds."""

    BLOCK = 1
    INDEX = 2


class FrameHeader(NamedTuple):
    """The header of one frame."""

    kind: int
    stored: int  # bytes of the compressed body
    raw: int  # bytes of the body
    steps: int
    first: float  # time of the earliest step, ms
    last: float
    crc: int  # of the compressed body


class Prelude(NamedTuple):
    """What a file begins with."""

    header: bytes
    minor_version: int


def encode_prelude(header: bytes) -> bytes:
    """Return the beginning of a file."""
    return PRELUDE.pack(MAGIC, MAJOR_VERSION, MINOR_VERSION, len(header), crc32c(header)) + header


def read_prelude(read: Callable[[int], bytes]) -> Prelude:
    """Read the beginning of a file; raises ``TraceError``."""
    data = read(PRELUDE.size)
    if len(data) < PRELUDE.size or data[: len(MAGIC)] != MAGIC:
        raise TraceError("is no trace: it does not begin with the mark of one")
    _, major, minor, length, crc = PRELUDE.unpack(data)
    if major != MAJOR_VERSION:
        raise TraceError(f"has the version {major}.{minor}; this program reads versions {MAJOR_VERSION}.x")
    if length > MAX_HEADER_BYTES:
        raise TraceError(f"its header says that it has {length} bytes; {MAX_HEADER_BYTES} are the most")
    header = read(length)
    if len(header) < length or crc32c(header) != crc:
        raise TraceError("its header is cut or spoilt")
    return Prelude(header, minor)


def encode_frame(kind: FrameKind, pieces: Sequence[bytes], steps: int, first: float, last: float) -> bytes:
    """Return a frame with this body; raises ``ValueError`` if the body is too long.

    The body is given in pieces, each of which is compressed with tables of its own unless it is short: the bytes of
    one column are distributed differently from those of the next.
    """
    raw_size = sum(map(len, pieces))
    if raw_size > MAX_BODY_BYTES:
        raise ValueError(f"a body of {raw_size} bytes")
    body = _compress(pieces, raw_size)
    header = FRAME.pack(FRAME_MARK, kind, len(body), raw_size, steps, first, last, crc32c(body))
    return header + CHECKSUM.pack(crc32c(header)) + body


def _compress(pieces: Sequence[bytes], raw_size: int) -> bytes:
    compressor = zstandard.ZstdCompressor(level=ZSTD_LEVEL).compressobj(size=raw_size)
    compressed: list[bytes] = []
    unflushed_bytes = 0
    for piece in pieces:
        compressed.append(compressor.compress(piece))
        unflushed_bytes += len(piece)
        if unflushed_bytes >= MIN_ZSTD_BLOCK_BYTES:
            compressed.append(compressor.flush(zstandard.COMPRESSOBJ_FLUSH_BLOCK))
            unflushed_bytes = 0
    compressed.append(compressor.flush())
    return b"".join(compressed)


def decode_frame_header(data: bytes) -> FrameHeader | None:
    """Return the header of the frame at the beginning of ``data``, None if there is no valid one."""
    if len(data) < FRAME_HEADER_BYTES or data[: len(FRAME_MARK)] != FRAME_MARK:
        return None
    packed = data[: FRAME.size]
    if CHECKSUM.unpack_from(data, FRAME.size)[0] != crc32c(packed):
        return None
    header = FrameHeader(*FRAME.unpack(packed)[1:])
    return header if header.stored <= MAX_BODY_BYTES and header.raw <= MAX_BODY_BYTES else None


def decode_body(header: FrameHeader, data: bytes) -> bytes | None:
    """Return the decompressed body of a frame, None if it is truncated or corrupt."""
    if len(data) < header.stored or crc32c(data[: header.stored]) != header.crc:
        return None
    try:
        body = zstandard.ZstdDecompressor().decompress(data[: header.stored], max_output_size=header.raw)
    except zstandard.ZstdError:
        return None
    return body if len(body) == header.raw else None


def encode_trailer(index_offset: int, index_frame: bytes) -> bytes:
    """Return the end of a file whose index frame is at this offset."""
    return TRAILER.pack(index_offset, crc32c(index_frame), END_MAGIC)
