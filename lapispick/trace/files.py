"""Writes and reads trace files as streams; memory use does not grow with the size of the files."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from io import BytesIO
from pathlib import Path
from typing import TYPE_CHECKING, BinaryIO, NamedTuple

from lapispick.trace import layout
from lapispick.trace.block_reader import Block
from lapispick.trace.block_writer import encode_block
from lapispick.trace.byte_ranges import BlockLocation, check_locations, check_range
from lapispick.trace.layout import FRAME_HEADER_BYTES, FrameKind, TraceError
from lapispick.trace.record_types import Step
from lapispick.trace.schema import Header, Index, Source
from lapispick.trace.step_times import step_time

if TYPE_CHECKING:
    from lapispick.trace import message_types

STEPS_PER_BLOCK = 4000  # fewer if the block would exceed the maximum size of a frame
SEARCH_CHUNK_BYTES = 1 << 20  # read at once when searching for the next frame


class Damage(NamedTuple):
    """Bytes that are not a valid frame."""

    offset: int
    length: int
    reason: str


class _Frame(NamedTuple):
    """A frame with its decompressed body."""

    header: layout.FrameHeader
    body: bytes


class TraceWriter:
    """Writer of one file; blocks already written survive a kill of the process, and ``close`` adds the index."""

    def __init__(self, file: BinaryIO, header: message_types.Header) -> None:
        self._file = file
        self._sources = list(header.sources)
        self.size = file.write(layout.encode_prelude(header.SerializeToString()))
        self._locations: list[BlockLocation] = []

    def write_block(self, steps: list[Step]) -> None:
        """Write the steps as one block, or as several if they exceed the maximum size of a frame."""
        pieces = encode_block(steps)
        if sum(map(len, pieces)) > layout.MAX_BODY_BYTES and len(steps) > 1:
            half = len(steps) // 2
            self.write_block(steps[:half])
            self.write_block(steps[half:])
            return
        times = [step_time(self._sources, step) for step in steps]  # not in order if the clock was set back
        location = BlockLocation(self.size, min(times), max(times), len(steps))
        frame = layout.encode_frame(FrameKind.BLOCK, pieces, location.steps, location.first, location.last)
        self.size += self._file.write(frame)
        self._locations.append(location)

    def close(self, sync: bool = False) -> None:
        """Write the index and the trailer, and close the file."""
        index = Index()
        for location in self._locations:
            index.entries.add(**location._asdict())
        first = min((location.first for location in self._locations), default=0.0)
        last = max((location.last for location in self._locations), default=0.0)
        pieces = [index.SerializeToString()]
        frame = layout.encode_frame(FrameKind.INDEX, pieces, len(self._locations), first, last)
        self._file.write(frame + layout.encode_trailer(self.size, frame))
        self._file.flush()
        if sync:
            os.fsync(self._file.fileno())
        self._file.close()


class TraceReader:
    """Reader of one file; if it has no valid index, the blocks are found by scanning the file.

    ``index_error`` says why there is no valid index; it is empty if there is one.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self._file = open(path, "rb")  # noqa: SIM115  # closed by ``close``
        except OSError as err:
            raise TraceError(f"{path}: {err.strerror}") from None
        self._read_header()
        self.sources = list(self.header.sources) or [Source()]
        self.first_source = self.sources[0]  # the only one, unless the file was merged
        self._frames_offset = self._file.tell()
        self.size = os.fstat(self._file.fileno()).st_size
        self.bytes_read = self._frames_offset
        self.damage: list[Damage] = []
        self.index_error = ""
        try:
            self.blocks = self._read_index()
        except TraceError as err:
            self.index_error = f"{path}: {err}"
            self.blocks = list(self._scan())

    @property
    def indexed(self) -> bool:
        """Return True if the file has a valid index."""
        return not self.index_error

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def __enter__(self) -> TraceReader:
        """Return itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the file."""
        self.close()

    def read_block(self, location: BlockLocation) -> Block:
        """Return a block, whose columns are decoded on demand; raises ``TraceError`` if it is corrupt."""
        frame = self._read_frame(location.offset)
        if frame is None or frame.header.kind != FrameKind.BLOCK:
            raise TraceError(f"{self.path}: the block at byte {location.offset} is truncated or corrupt")
        try:
            return Block(frame.body)
        except ValueError as err:
            raise TraceError(f"{self.path}: the block at byte {location.offset} {err}") from None

    def read_steps(self, location: BlockLocation) -> list[Step]:
        """Return the steps of a block; raises ``TraceError`` if it is corrupt."""
        try:
            return self.read_block(location).steps()
        except ValueError as err:
            raise TraceError(f"{self.path}: the block at byte {location.offset} {err}") from None

    def steps(self, since: float = float("-inf"), until: float = float("inf")) -> Iterator[Step]:
        """Yield the steps with a ``step_time`` (ms) from ``since`` to before ``until``; other blocks are not read."""
        for location in self.blocks:
            if location.last < since or location.first >= until:
                continue
            includes_all = location.first >= since and location.last < until
            for step in self.read_steps(location):
                if includes_all or since <= step_time(self.sources, step) < until:
                    yield step

    def _read_header(self) -> None:
        try:
            prelude = layout.read_prelude(self._file.read)
            self.minor_version = prelude.minor_version
            self.header = Header.FromString(prelude.header)
        except TraceError as err:
            self._file.close()
            raise TraceError(f"{self.path}: {err}") from None
        except Exception as err:  # noqa: BLE001 - protobuf's DecodeError has no base class common to its versions
            self._file.close()
            raise TraceError(f"{self.path}: invalid header: {err}") from None

    def _read(self, offset: int, length: int) -> bytes:
        self._file.seek(offset)
        data = self._file.read(length)
        self.bytes_read += len(data)
        return data

    def _read_frame(self, offset: int) -> _Frame | None:
        """Return the frame at this offset, None if there is no valid one."""
        header = layout.decode_frame_header(self._read(offset, FRAME_HEADER_BYTES))
        if header is None:
            return None
        body_offset = offset + FRAME_HEADER_BYTES
        try:
            check_range("the frame", body_offset, header.compressed_size, body_offset, self.size)
        except TraceError:
            return None
        body = layout.decode_body(header, self._read(body_offset, header.compressed_size))
        return None if body is None else _Frame(header, body)

    def _read_index(self) -> list[BlockLocation]:
        """Return the blocks that the index lists; raises ``TraceError`` if the file has no valid index."""
        trailer_offset = self.size - layout.TRAILER.size
        check_range("the trailer", trailer_offset, layout.TRAILER.size, self._frames_offset, self.size)
        trailer = layout.decode_trailer(self._read(trailer_offset, layout.TRAILER.size))
        offset = trailer.index_offset
        check_range("the header of the index", offset, FRAME_HEADER_BYTES, self._frames_offset, trailer_offset)
        encoded_header = self._read(offset, FRAME_HEADER_BYTES)
        header = layout.decode_frame_header(encoded_header)
        if header is None or header.kind != FrameKind.INDEX:
            raise TraceError(f"the index: got no frame of an index at byte {offset}, expected one")
        body_offset = offset + FRAME_HEADER_BYTES
        check_range("the index", body_offset, header.compressed_size, body_offset, trailer_offset)
        encoded_body = self._read(body_offset, header.compressed_size)
        body = layout.decode_body(header, encoded_body)
        if body is None or layout.crc32c(encoded_header + encoded_body) != trailer.index_crc:
            raise TraceError(f"the index at byte {offset} does not match its checksums")
        locations = _decode_index(body)
        check_locations(locations, self._frames_offset, offset)
        return locations

    def _scan(self) -> Iterator[BlockLocation]:
        """Yield the valid blocks in order, and record the bytes between them as damage."""
        offset = self._frames_offset
        damage_offset: int | None = None
        while offset < self.size:
            frame = self._read_frame(offset)
            if frame is None:
                damage_offset = offset if damage_offset is None else damage_offset
                offset = self._find_frame_marker(offset + 1)
                continue
            if damage_offset is not None:
                self._add_damage(damage_offset, offset)
                damage_offset = None
            header = frame.header
            if header.kind == FrameKind.BLOCK:
                yield BlockLocation(offset, header.first, header.last, header.steps)
            offset += FRAME_HEADER_BYTES + header.compressed_size
            if header.kind == FrameKind.INDEX:
                break
        if damage_offset is not None:
            self._add_damage(damage_offset, self.size)

    def _add_damage(self, begin: int, end: int) -> None:
        self.damage.append(Damage(begin, end - begin, "truncated or corrupt block"))

    def _find_frame_marker(self, offset: int) -> int:
        """Return the offset of the next frame marker at or after ``offset``, the file's size if there is none."""
        while offset < self.size:
            data = self._read(offset, SEARCH_CHUNK_BYTES)
            position = data.find(layout.FRAME_MARKER)
            if position >= 0:
                return offset + position
            offset += max(1, len(data) - len(layout.FRAME_MARKER) + 1)
        return self.size


def _decode_index(body: bytes) -> list[BlockLocation]:
    """Return the blocks that the body of an index lists, unchecked; raises ``TraceError``."""
    try:
        entries = Index.FromString(body).entries
    except Exception as err:  # noqa: BLE001 - protobuf's DecodeError has no base class common to its versions
        raise TraceError(f"the index is invalid: {err}") from None
    return [BlockLocation(entry.offset, entry.first, entry.last, entry.steps) for entry in entries]


def write_trace(path: Path, header: message_types.Header, steps: Iterable[Step], sync: bool = False) -> int:
    """Write a file under a temporary name and rename it; return its number of steps."""
    temporary = path.with_name(f".{path.name}.part")
    count = 0
    block: list[Step] = []
    with open(temporary, "wb") as file:
        writer = TraceWriter(file, header)
        for step in steps:
            block.append(step)
            if len(block) == STEPS_PER_BLOCK:
                writer.write_block(block)
                count += len(block)
                block = []
        if block:
            writer.write_block(block)
            count += len(block)
        writer.close(sync)
    os.replace(temporary, path)
    return count


def make_header(**source_fields: object) -> message_types.Header:
    """Return the header of a file with one source."""
    return Header(sources=[Source(**source_fields)])


def encode_file(header: message_types.Header, blocks: list[list[Step]]) -> bytes:
    """Return the bytes of a file, for tests and tools."""
    buffer = BytesIO()
    buffer.close = lambda: None  # type: ignore[method-assign]
    writer = TraceWriter(buffer, header)
    for block in blocks:
        writer.write_block(block)
    writer.close()
    return buffer.getvalue()
