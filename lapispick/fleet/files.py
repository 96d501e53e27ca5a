"""Finds and reads the files of a list. Runs in the helper process, because its I/O blocks."""

from __future__ import annotations

import os
import stat
import time
from pathlib import Path
from typing import NamedTuple

from lapispick.file_errors import FileFault, SourceLocation
from lapispick.fleet.reading import GROUP_VARS, HOST_VARS, InventoryFile, belongs_to_list

MAX_FILES = 5_000
MAX_READ_ATTEMPTS = 3  # of a file that changes while it is read
RACY_WINDOW_S = 2.0  # a file modified within the clock's resolution may change again with the same timestamp


class FileVersion(NamedTuple):
    """Attributes of a file in the file system that identify its version."""

    device: int
    inode: int
    size: int
    modified_ns: int


class FileSet(NamedTuple):
    """The files of a list at one time; ``signature`` is None if only the contents can show a change."""

    files: list[InventoryFile]
    faults: tuple[FileFault, ...]
    incomplete_reason: str
    signature: tuple[object, ...] | None


class _Contents(NamedTuple):
    data: bytes
    is_stable: bool  # the file did not change while it was read


def signature(path: Path) -> tuple[object, ...] | None:
    """Return a value that changes with the files, without reading them; None if only contents can show a change."""
    try:
        versions = [(name, _file_version(os.stat(file))) for name, file in _list_files(path)]
    except OSError:
        return None
    newest_s = max((version.modified_ns for _, version in versions), default=0) / 1e9
    return tuple(versions) if versions and time.time() - newest_s > RACY_WINDOW_S else None


def read(path: Path, max_bytes: int) -> FileSet:
    """Read all files of a list, up to ``max_bytes`` in total; each unreadable file is a fault."""
    files: list[InventoryFile] = []
    faults: list[FileFault] = []
    incomplete_reason = ""
    signature_before = signature(path)
    try:
        list_files = _list_files(path)
    except OSError as err:
        return FileSet([], (_unreadable_fault(path.name, err),), "", None)
    if len(list_files) > MAX_FILES:
        faults.append(FileFault(SourceLocation(path.name), "", f"has more than {MAX_FILES} files"))
        list_files = []
    bytes_left = max_bytes
    for name, file in list_files:
        try:
            contents = _read_file(file, bytes_left)
        except OSError as err:
            faults.append(_unreadable_fault(name, err))
            continue
        if not contents.is_stable:
            incomplete_reason = incomplete_reason or f"{name} changes while it is read"
        bytes_left -= len(contents.data)
        files.append(InventoryFile(name, contents.data))
    is_unchanged = signature_before is not None and signature(path) == signature_before
    return FileSet(files, tuple(faults), incomplete_reason, signature_before if is_unchanged else None)


def _unreadable_fault(name: str, err: OSError) -> FileFault:
    return FileFault(SourceLocation(name), "", f"can't be read: {err.strerror or err}")


def _visible_entries(folder: Path, prefix: str) -> list[tuple[str, Path]]:
    """Return (relative name, path) of the visible entries of a folder in the order of their names."""
    names = sorted(entry for entry in os.listdir(folder) if not entry.startswith("."))
    return [(f"{prefix}{name}", folder / name) for name in names]


def _list_files(path: Path) -> list[tuple[str, Path]]:
    """Return (relative name, path) of all files that belong to the list."""
    files: list[tuple[str, Path]] = []
    if path.is_dir():
        root = path
        files += [(name, file) for name, file in _visible_entries(path, "") if not file.is_dir()]
    else:
        root = path.parent
        files.append((path.name, path))
    for kind in (GROUP_VARS, HOST_VARS):
        if not (root / kind).is_dir():
            continue
        for name, file in _visible_entries(root / kind, f"{kind}/"):
            files += _visible_entries(file, f"{name}/") if file.is_dir() else [(name, file)]
    return [(name, file) for name, file in files if belongs_to_list(name) or file == path]


def _file_version(status: os.stat_result) -> FileVersion:
    return FileVersion(status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns)


def _read_file(file: Path, max_bytes: int) -> _Contents:
    """Read a file, and retry if it changes while it is read."""
    data = b""
    for _ in range(MAX_READ_ATTEMPTS):
        # Without O_NONBLOCK, opening a named pipe blocks until another process opens it for writing.
        fd = os.open(file, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            before = os.fstat(fd)
            if not stat.S_ISREG(before.st_mode):
                raise OSError(f"{file.name} is not a regular file")
            if before.st_size > max_bytes:
                raise OSError(f"{file.name} has {before.st_size} bytes, expected at most {max_bytes}")
            with os.fdopen(os.dup(fd), "rb") as opened:
                data = opened.read(max_bytes + 1)
            after = os.fstat(fd)
        finally:
            os.close(fd)
        if before.st_size == after.st_size == len(data) and before.st_mtime_ns == after.st_mtime_ns:
            return _Contents(data, True)
    return _Contents(data[:max_bytes], False)
