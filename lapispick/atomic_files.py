"""Replaces small files atomically and durably: the new file is written beside the old one, synced and renamed."""

from __future__ import annotations

import os
from pathlib import Path


def replace(path: Path, data: bytes) -> None:
    """Replace a file so that after a crash it has either the old or the new content; raises ``OSError``."""
    temporary = path.with_name(path.name + ".new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        with open(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.rename(temporary, path)
        sync_directory(path.parent)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise


def sync_directory(directory: Path) -> None:
    """Make the entries of a directory durable."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
