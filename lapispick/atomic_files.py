"""Small files that must be whole and on the disk: written beside, synced, renamed."""

from __future__ import annotations

import os
from pathlib import Path


def put(path: Path, data: bytes) -> None:
    """Replace a file so that after any end it is the old one or the new one; raises ``OSError``."""
    fresh = path.with_name(path.name + ".new")
    fd = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        with open(fd, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.rename(fresh, path)
        sync(path.parent)
    except OSError:
        fresh.unlink(missing_ok=True)
        raise


def sync(folder: Path) -> None:
    """Let names of a folder be on the disk."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
