"""Encodes and decodes the parts of a trace file: prelude, frames and trailer, each with its checksum. No I/O.

    prelude   magic 8, major u16, minor u16, length u32, crc32c u32, then the header (protobuf)
    frame     marker 4, kind u8, compressed size u32, uncompressed size u32, steps u32, first f64, last f64,
              crc32c of the body u32, crc32c of the preceding fields u32, then the body (zstd): a block, or the
              index as the last frame
    trailer   offset of the index frame u64, crc32c of the index frame u32, end magic 8

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
FRAME_MARKER = b"LPB\xa7"
MAJOR_VERSION = 1
MINOR_VERSION = 0
PRELUDE = struct.Struct("<8sHHII")
FRAME = struct.Struct("<4sBIIIddI")
CHECKSUM = struct.Struct("<I")
TRAILER = struct.Struct("<QI8s")
FRAME_HEADER_BYTES = FRAME.size + CHECKSUM.size
MAX_HEADER_BYTES = 1 << 20
MAX_BODY_BYTES = 16 << 20  # per frame, compressed or not; limits the memory that a reader allocates at once
ZSTD_LEVEL = 9
MIN_ZSTD_BLOCK_BYTES = 500  # shorter pieces share a zstd block, because each block has its own tables


class TraceError(Exception):
    """A trace can't be read; the message gives the position and the reason."""


class FrameKind(enum.IntEnum):
    """Kind of a frame's body; readers skip unknown kinds."""

    BLOCK = 1
    INDEX = 2


class FrameHeader(NamedTuple):
    """Header of one frame."""

    kind: int
    compressed_size: int  # of the body, in bytes
    uncompressed_size: int  # of the body, in bytes
    steps: int
    first: float  # time of the earliest step, ms
    last: float  # time of the latest step, ms
    body_crc: int  # of the compressed body


class Trailer(NamedTuple):
    """Content of a file's trailer: the offset of the index frame, which is not checked, and the frame's checksum."""

    index_offset: int
    index_crc: int


class Prelude(NamedTuple):
    """Content of a file's prelude: the encoded header, and the minor version of the format."""

    header: bytes
    minor_version: int


def encode_prelude(header: bytes) -> bytes:
    """Return the prelude of a file with this header."""
    return PRELUDE.pack(MAGIC, MAJOR_VERSION, MINOR_VERSION, len(header), crc32c(header)) + header


def read_prelude(read: Callable[[int], bytes]) -> Prelude:
    """Read the prelude of a file; raises ``TraceError`` if it is invalid."""
    data = read(PRELUDE.size)
    if len(data) < PRELUDE.size or data[: len(MAGIC)] != MAGIC:
        raise TraceError(f"not a trace file: expected at least {PRELUDE.size} bytes that begin with {MAGIC!r}")
    _, major, minor, length, crc = PRELUDE.unpack(data)
    if major != MAJOR_VERSION:
        raise TraceError(f"unsupported version {major}.{minor}, expected {MAJOR_VERSION}.x")
    if length > MAX_HEADER_BYTES:
        raise TraceError(f"invalid header size {length} bytes, expected at most {MAX_HEADER_BYTES}")
    header = read(length)
    if len(header) < length or crc32c(header) != crc:
        raise TraceError("the header is truncated or corrupt")
    return Prelude(header, minor)


def encode_frame(kind: FrameKind, pieces: Sequence[bytes], steps: int, first: float, last: float) -> bytes:
    """Return a frame with this body; raises ``ValueError`` if the body is too long.

    The body is passed in pieces. Unless a piece is short, it is compressed as a zstd block with its own tables, because
    the distribution of the bytes differs from column to column.
    """
    uncompressed_size = sum(map(len, pieces))
    if uncompressed_size > MAX_BODY_BYTES:
        raise ValueError(f"invalid frame body size {uncompressed_size} bytes, expected at most {MAX_BODY_BYTES}")
    body = _compress(pieces, uncompressed_size)
    header = FRAME.pack(FRAME_MARKER, kind, len(body), uncompressed_size, steps, first, last, crc32c(body))
    return header + CHECKSUM.pack(crc32c(header)) + body


def _compress(pieces: Sequence[bytes], uncompressed_size: int) -> bytes:
    compressor = zstandard.ZstdCompressor(level=ZSTD_LEVEL).compressobj(size=uncompressed_size)
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
    if len(data) < FRAME_HEADER_BYTES or data[: len(FRAME_MARKER)] != FRAME_MARKER:
        return None
    packed = data[: FRAME.size]
    if CHECKSUM.unpack_from(data, FRAME.size)[0] != crc32c(packed):
        return None
    header = FrameHeader(*FRAME.unpack(packed)[1:])
    return header if header.compressed_size <= MAX_BODY_BYTES and header.uncompressed_size <= MAX_BODY_BYTES else None


def decode_body(header: FrameHeader, data: bytes) -> bytes | None:
    """Return the decompressed body of a frame, None if it is truncated or corrupt."""
    if len(data) < header.compressed_size or crc32c(data[: header.compressed_size]) != header.body_crc:
        return None
    try:
        body = zstandard.ZstdDecompressor().decompress(
            data[: header.compressed_size], max_output_size=header.uncompressed_size
        )
    except zstandard.ZstdError:
        return None
    return body if len(body) == header.uncompressed_size else None


def encode_trailer(index_offset: int, index_frame: bytes) -> bytes:
    """Return the trailer of a file whose index frame is at this offset."""
    return TRAILER.pack(index_offset, crc32c(index_frame), END_MAGIC)


def decode_trailer(data: bytes) -> Trailer:
    """Return the trailer; raises ``TraceError`` if these bytes are not one."""
    if len(data) < TRAILER.size or not data.endswith(END_MAGIC):
        raise TraceError("no index: the file was not closed")
    index_offset, index_crc, _ = TRAILER.unpack(data)
    return Trailer(index_offset, index_crc)
