"""Finds and reads the files of a list. I/O only; it runs where blocking does no harm."""

from __future__ import annotations

import os
import stat
import time
from pathlib import Path
from typing import NamedTuple

from lapispick.file_errors import FileFault, SourceLocation
from lapispick.fleet.reading import GROUP_VARS, HOST_VARS, File, wanted

FILES_MOST = 5_000
TRIES = 3  # of reading a file that changes meanwhile
RACY_S = 2.0  # s; a file that changed within the clock's grain may have changed again unseen


class Found(NamedTuple):
    """What stands on the disk now. ``signature`` is None where only the contents can tell of a change."""

    files: list[File]
    faults: tuple[FileFault, ...]
    unfinished: str
    signature: tuple[object, ...] | None


def _listed(folder: Path, below: str) -> list[tuple[str, Path]]:
    """Return the files of a folder in the order of their names, with their names relative to the list."""
    found = sorted(entry for entry in os.listdir(folder) if not entry.startswith("."))
    return [(f"{below}{name}", folder / name) for name in found]


def _candidates(path: Path) -> list[tuple[str, Path]]:
    """Return (relative name, path) of all files that may belong to the list."""
    made: list[tuple[str, Path]] = []
    if path.is_dir():
        home = path
        made += [(name, file) for name, file in _listed(path, "") if not file.is_dir()]
    else:
        home = path.parent
        made.append((path.name, path))
    for kind in (GROUP_VARS, HOST_VARS):
        if not (home / kind).is_dir():
            continue
        for name, file in _listed(home / kind, f"{kind}/"):
            made += _listed(file, f"{name}/") if file.is_dir() else [(name, file)]
    return [(name, file) for name, file in made if wanted(name) or file == path]


def _stat(file: Path) -> tuple[int, ...]:
    told = os.stat(file)
    return (told.st_dev, told.st_ino, told.st_size, told.st_mtime_ns)


def _read(file: Path, most: int) -> tuple[bytes, tuple[int, ...], bool]:
    """Return (bytes, what the system says of the file, whether it stood still while it was read)."""
    for _ in range(TRIES):
        # A pipe in the place of the file would otherwise block the open until somebody writes.
        fd = os.open(file, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            before = os.fstat(fd)
            if not stat.S_ISREG(before.st_mode):
                raise OSError(f"{file.name} is no regular file")
            if before.st_size > most:
                raise OSError(f"{file.name} is over {most} bytes")
            with os.fdopen(os.dup(fd), "rb") as opened:
                data = opened.read(most + 1)
            after = os.fstat(fd)
        finally:
            os.close(fd)
        mark = (after.st_dev, after.st_ino, after.st_size, after.st_mtime_ns)
        still = (
            (before.st_size, before.st_mtime_ns) == (after.st_size, after.st_mtime_ns) == (len(data), after.st_mtime_ns)
        )
        if still:
            return data, mark, True
    return data[:most], mark, False


def signature(path: Path) -> tuple[object, ...] | None:
    """Return what tells these files from changed ones without reading them; None where it can't."""
    try:
        told = [(name, *_stat(file)) for name, file in _candidates(path)]
    except OSError:
        return None
    newest = max((part[-1] for part in told), default=0) / 1e9
    return tuple(told) if told and time.time() - newest > RACY_S else None


def read(path: Path, most: int) -> Found:
    """Read all files of a list, ``most`` bytes together; what can't be read is a fault."""
    files: list[File] = []
    faults: list[FileFault] = []
    unfinished = ""
    mark = signature(path)
    try:
        found = _candidates(path)
    except OSError as err:
        return Found([], (FileFault(SourceLocation(path.name), "", f"can't be read: {err.strerror or err}"),), "", None)
    if len(found) > FILES_MOST:
        faults.append(FileFault(SourceLocation(path.name), "", f"holds more than {FILES_MOST} files"))
        found = []
    left = most
    for name, file in found:
        try:
            data, _, still = _read(file, left)
        except OSError as err:
            faults.append(FileFault(SourceLocation(name), "", f"can't be read: {err.strerror or err}"))
            continue
        if not still:
            unfinished = unfinished or f"{name} changes while it is read"
        left -= len(data)
        files.append(File(name, data))
    if mark is not None and signature(path) != mark:
        mark = None
    return Found(files, tuple(faults), unfinished, mark)
