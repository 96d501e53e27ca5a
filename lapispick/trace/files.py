"""Writing and reading trace files as streams; memory does not grow with their length."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from io import BytesIO
from pathlib import Path
from typing import Any, BinaryIO, NamedTuple

import numpy as np

from lapispick.trace import layout
from lapispick.trace.layout import BLOCK, HEAD, INDEX, TraceError
from lapispick.trace.record_types import Step
from lapispick.trace.records import Block, Header, Index, Source, pack

STEPS = 4000  # of a block, unless its bytes come first
CHUNK = 1 << 20  # bytes that a search for the next frame reads at once


class Place(NamedTuple):
    """One block: where it stands and which steps it holds (module clock, ms)."""

    offset: int
    first: float
    last: float
    steps: int


class Damage(NamedTuple):
    """Bytes that are no whole frame."""

    offset: int
    length: int
    what: str


def when(sources: Any, step: Step) -> float:
    """Return when a step was, by the clock that the file's sources are told against; ms."""
    if step.box >= len(sources):
        return step.now
    source = sources[step.box]
    return step.now - source.offset - source.drift * (step.now - source.at) / 1000


def times(sources: Any, block: Block) -> Any:
    """Return ``when`` of all steps of a block, as an array."""
    offset, drift, at = (np.array([getattr(s, name) for s in sources])[block.box] for name in ("offset", "drift", "at"))
    return block.now - offset - drift * (block.now - at) / 1000


class Writer:
    """Writes one file; whole blocks survive a kill, and ``close`` adds the index."""

    def __init__(self, file: BinaryIO, header: Any) -> None:
        self._file, self._sources = file, header.sources
        self.size = file.write(layout.prelude(header.SerializeToString()))
        self._places: list[Place] = []

    def block(self, steps: list[Step]) -> None:
        """Add a block; a step that brings it over the bound on bytes is put in the next."""
        raw = pack(steps)
        if sum(map(len, raw)) > layout.BODY_MOST and len(steps) > 1:
            half = len(steps) // 2
            self.block(steps[:half])
            return self.block(steps[half:])
        times = [when(self._sources, step) for step in steps]  # a clock may have stepped back in between
        place = Place(self.size, min(times), max(times), len(steps))
        self.size += self._file.write(layout.frame(BLOCK, raw, *place[3:], *place[1:3]))
        self._places.append(place)
        return None

    def close(self, sync: bool = False) -> None:
        """Write the index and the trailer."""
        index = Index()
        for place in self._places:
            index.entries.add(**place._asdict())
        first = min((place.first for place in self._places), default=0.0)
        last = max((place.last for place in self._places), default=0.0)
        frame = layout.frame(INDEX, [index.SerializeToString()], len(self._places), first, last)
        self._file.write(frame + layout.trailer(self.size, frame))
        self._file.flush()
        if sync:
            os.fsync(self._file.fileno())
        self._file.close()


class Reader:
    """Reads one file; without its index the blocks are found by looking for them."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self._file = open(path, "rb")  # noqa: SIM115  # closed by ``close``
        except OSError as err:
            raise TraceError(f"{path}: {err.strerror}") from None
        try:
            header, self.minor = layout.read_prelude(self._file.read)
            self.whole_header = Header.FromString(header)
        except TraceError as err:
            self._file.close()
            raise TraceError(f"{path}: {err}") from None
        except Exception as err:  # noqa: BLE001 - the library's DecodeError has no common base across its versions
            self._file.close()
            raise TraceError(f"{path}: its header is no header: {err}") from None
        self.sources = list(self.whole_header.sources) or [Source()]
        self.header = self.sources[0]  # of a file that is not merged, its one box
        self._begin = self._file.tell()
        self.size = os.fstat(self._file.fileno()).st_size
        self.read_bytes = self._begin
        self.damage: list[Damage] = []
        self.indexed = True
        found = self._index()
        if found is None:
            self.indexed = False
            found = list(self._scan())
        self.places: list[Place] = found

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def __enter__(self) -> Reader:
        """Return itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the file."""
        self.close()

    def _at(self, offset: int, length: int) -> bytes:
        self._file.seek(offset)
        data = self._file.read(length)
        self.read_bytes += len(data)
        return data

    def _index(self) -> list[Place] | None:
        size = layout.TRAILER.size
        data = self._at(max(0, self.size - size), size)
        if len(data) < size or data[-8:] != layout.END_MAGIC:
            return None
        offset, crc, _ = layout.TRAILER.unpack(data)
        frame = self._at(offset, self.size - size - offset) if self._begin <= offset < self.size else b""
        head = layout.read_head(frame)
        if head is None or head.kind != INDEX or layout.crc32c(frame) != crc:
            return None
        raw = layout.body(head, frame[HEAD:])
        try:
            entries = Index.FromString(raw or b"").entries
        except Exception:  # noqa: BLE001 - the library's DecodeError has no common base across its versions
            return None
        if raw is None or any(not self._begin <= e.offset < offset for e in entries):
            return None
        return [Place(e.offset, e.first, e.last, e.steps) for e in entries]

    def _scan(self) -> Iterator[Place]:
        """Find whole blocks one after the other; what lies between is damage."""
        at, lost = self._begin, -1
        while at < self.size:
            head = layout.read_head(self._at(at, HEAD))
            whole = head is not None and layout.body(head, self._at(at + HEAD, head.stored)) is not None
            if head is not None and whole:
                if lost >= 0:
                    self.damage.append(Damage(lost, at - lost, "no whole block"))
                    lost = -1
                if head.kind == BLOCK:
                    yield Place(at, head.first, head.last, head.steps)
                at += HEAD + head.stored
                if head.kind == INDEX:
                    break
                continue
            lost = at if lost < 0 else lost
            at = self._next_mark(at + 1)
        if lost >= 0:
            self.damage.append(Damage(lost, self.size - lost, "no whole block"))

    def _next_mark(self, at: int) -> int:
        while at < self.size:
            data = self._at(at, CHUNK)
            found = data.find(layout.MARK)
            if found >= 0:
                return at + found
            at += max(1, len(data) - len(layout.MARK) + 1)
        return self.size

    def columns(self, place: Place) -> Block:
        """Return a block by its columns; raises ``TraceError`` where it is spoilt."""
        head = layout.read_head(self._at(place.offset, HEAD))
        raw = layout.body(head, self._at(place.offset + HEAD, head.stored)) if head else None
        if raw is None:
            raise TraceError(f"{self.path}: the block at byte {place.offset} is spoilt")
        try:
            return Block(raw)
        except ValueError as err:
            raise TraceError(f"{self.path}: the block at byte {place.offset} {err}") from None

    def block(self, place: Place) -> list[Step]:
        """Return the steps of a block; raises ``TraceError`` where it is spoilt."""
        try:
            return self.columns(place).steps()
        except ValueError as err:
            raise TraceError(f"{self.path}: the block at byte {place.offset} {err}") from None

    def steps(self, since: float = float("-inf"), until: float = float("inf")) -> Iterator[Step]:
        """Yield the steps from ``since`` to before ``until`` (ms, as ``when`` tells), reading only their blocks."""
        for place in self.places:
            if place.last >= since and place.first < until:
                whole = place.first >= since and place.last < until
                for step in self.block(place):
                    if whole or since <= when(self.sources, step) < until:
                        yield step


def write(path: Path, header: Any, steps: Iterable[Step], sync: bool = False) -> int:
    """Write a whole file beside and rename it; return how many steps it holds."""
    spare, count, block = path.with_name(f".{path.name}.part"), 0, []
    with open(spare, "wb") as file:
        writer = Writer(file, header)
        for step in steps:
            block.append(step)
            if len(block) == STEPS:
                writer.block(block)
                count, block = count + len(block), []
        if block:
            writer.block(block)
        writer.close(sync)
    os.replace(spare, path)
    return count + len(block)


def blank(**told: Any) -> Any:
    """Return the header of a file of one box."""
    return Header(sources=[Source(**told)])


def in_memory(header: Any, blocks: list[list[Step]]) -> bytes:
    """Return the bytes of a whole file, for tests and tools."""
    kept = BytesIO()
    kept.close = lambda: None  # type: ignore[method-assign]
    writer = Writer(kept, header)
    for block in blocks:
        writer.block(block)
    writer.close()
    return kept.getvalue()
