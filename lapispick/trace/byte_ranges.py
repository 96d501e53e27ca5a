"""Checks of the offsets and lengths that a trace file states, before they are used. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from lapispick.trace.layout import FRAME_HEADER_BYTES, TraceError


class BlockLocation(NamedTuple):
    """Position of a block in the file, and the earliest and latest time of its steps (ms)."""

    offset: int
    first: float
    last: float
    steps: int


def check_range(what: str, offset: int, length: int, begin: int, end: int) -> None:
    """Raise ``TraceError`` unless the bytes from ``offset`` on, ``length`` of them, lie between ``begin`` and ``end``.

    All arguments are in bytes from the beginning of the file; the message names the part ``what``.
    """
    if length < 0 or offset < begin or offset + length > end:
        raise TraceError(f"{what}: got {length} bytes at byte {offset}, expected them within bytes {begin} to {end}")


def check_locations(locations: Sequence[BlockLocation], begin: int, end: int) -> None:
    """Raise ``TraceError`` unless the blocks are in the order of the file, apart, and between ``begin`` and ``end``."""
    for number, location in enumerate(locations):
        check_range(f"block {number} of the index", location.offset, FRAME_HEADER_BYTES, begin, end)
        begin = location.offset + FRAME_HEADER_BYTES
