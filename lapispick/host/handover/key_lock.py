"""Elects the process that owns the idempotency keys: advisory locks on two files that the processes share.

Whoever holds the lock owns the keys, and the kernel releases it with the process, however that ends. The second lock
belongs to the one process that comes next. Nobody requests the keys without it: a third process could otherwise take
them before the second one, to which they were handed over.
"""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path

OPEN_FLAGS = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
FILE_MODE = 0o600
SERVING = b"serving"  # content of the lock's file while its holder runs, or after it was killed
ENDED = b"ended"  # content after its holder ended in order


class KeyLock:
    """The lock on the keys, and the lock of the successor."""

    def __init__(self, folder: Path, stem: str) -> None:
        """Open both files; raises ``OSError`` where the folder cannot hold them."""
        self._owner_file = os.open(folder / f"{stem}.lock", OPEN_FLAGS, FILE_MODE)
        self._successor_file = os.open(folder / f"{stem}.next", OPEN_FLAGS, FILE_MODE)
        self.acquired = False
        self.previous_end_s = 0.0  # Unix s; the latest at which an earlier holder ended, 0 = there was none

    def try_become_successor(self) -> bool:
        """Take the successor's lock; return whether this process has it."""
        return _try_lock(self._successor_file)

    def try_acquire(self) -> bool:
        """Take the lock on the keys, as the successor only; return whether this process has it."""
        if not self.try_become_successor() or not _try_lock(self._owner_file):
            return False
        fcntl.flock(self._successor_file, fcntl.LOCK_UN)
        self.previous_end_s = self._read_previous_end()
        self._write(SERVING)
        self.acquired = True
        return True

    def release(self) -> None:
        """Release the lock on the keys at an orderly end of this process."""
        self._write(ENDED)
        fcntl.flock(self._owner_file, fcntl.LOCK_UN)

    def _read_previous_end(self) -> float:
        content = os.pread(self._owner_file, len(SERVING), 0)
        if content == SERVING:
            return time.time()  # it was killed, at an unknown time
        if content:
            return os.fstat(self._owner_file).st_mtime
        return 0.0

    def _write(self, content: bytes) -> None:
        os.ftruncate(self._owner_file, 0)
        os.pwrite(self._owner_file, content, 0)


def _try_lock(file: int) -> bool:
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
