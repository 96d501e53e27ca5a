"""Decides which trace files to remove, and when a file is closed for the next one. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class TraceFile(NamedTuple):
    """One file of the folder."""

    name: str
    size: int
    modified_at: float  # seconds of any clock


def expired(files: Iterable[TraceFile], now: float, max_total_bytes: int, retention_s: float) -> list[str]:
    """Return the files to remove, the oldest first: those too old, then as many as the total size requires.

    The newest is never removed: an incident of this moment is in it.
    """
    ordered = sorted(files, key=lambda file: (file.modified_at, file.name))
    total_bytes = sum(file.size for file in ordered)
    removed: list[str] = []
    for file in ordered[:-1]:
        if now - file.modified_at > retention_s or total_bytes > max_total_bytes:
            removed.append(file.name)
            total_bytes -= file.size
    return removed


def rotate(size: int, opened_at: float, now: float, max_file_bytes: int, max_file_age_s: float) -> bool:
    """Tell whether a file of ``size`` bytes is to be closed and the next one begun; times are seconds of one clock."""
    return size >= max_file_bytes or now - opened_at >= max_file_age_s
