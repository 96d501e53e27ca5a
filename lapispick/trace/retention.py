"""Decides which trace files to remove, and when to rotate. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class TraceFile(NamedTuple):
    """A file in the trace folder."""

    name: str
    size: int  # bytes
    modified_at: float  # seconds, of any clock


def expired_files(files: Iterable[TraceFile], now: float, max_total_bytes: int, retention_s: float) -> list[str]:
    """Return the names of the files to remove, oldest first: the expired, then as many as the total size requires.

    The newest file is never removed, because it covers the present, which may be an incident.
    """
    ordered = sorted(files, key=lambda file: (file.modified_at, file.name))
    total_bytes = sum(file.size for file in ordered)
    removed: list[str] = []
    for file in ordered[:-1]:
        if now - file.modified_at > retention_s or total_bytes > max_total_bytes:
            removed.append(file.name)
            total_bytes -= file.size
    return removed


def needs_rotation(size: int, opened_at: float, now: float, max_file_bytes: int, max_file_age_s: float) -> bool:
    """Return True if a file of ``size`` bytes must be rotated; both times are seconds of the same clock."""
    return size >= max_file_bytes or now - opened_at >= max_file_age_s
