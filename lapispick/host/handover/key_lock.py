"""Advisory locks on two shared files, which decide which process of a worker host owns the idempotency keys.

The holder of the first lock owns the keys. The kernel releases the lock when the process ends, in whatever way. The
second lock is held by the successor, the one process that may own the keys next. A process must hold it to acquire the
first lock. Otherwise a third process could acquire the keys before the second one, to which they were handed over.
"""

from __future__ import annotations

import fcntl
import os
import time

OPEN_FLAGS = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
FILE_MODE = 0o600
SERVING = b"serving"  # content of the lock file while its holder runs, or after the holder was killed
ENDED = b"ended"  # content of the lock file after an orderly end of its holder


class KeyLock:
    """Lock on the idempotency keys, with the lock of the successor."""

    def __init__(self, folder: str, stem: str) -> None:
        """Open both lock files; raises ``OSError`` if the folder can't hold them."""
        self._owner_file = os.open(os.path.join(folder, f"{stem}.lock"), OPEN_FLAGS, FILE_MODE)
        self._successor_file = os.open(os.path.join(folder, f"{stem}.next"), OPEN_FLAGS, FILE_MODE)
        self.acquired = False
        self.previous_end_s = 0.0  # latest time at which an earlier holder may have ended, in Unix s; 0 = no holder

    def try_become_successor(self) -> bool:
        """Acquire the successor's lock; return whether this process holds it."""
        return _try_lock(self._successor_file)

    def try_acquire(self) -> bool:
        """Acquire the lock on the keys, if this process can be the successor; return whether it holds the lock."""
        if not self.try_become_successor() or not _try_lock(self._owner_file):
            return False
        fcntl.flock(self._successor_file, fcntl.LOCK_UN)
        self.previous_end_s = self._read_previous_end()
        self._write(SERVING)
        self.acquired = True
        return True

    def release(self) -> None:
        """Release the lock on the keys before an orderly end of this process."""
        self._write(ENDED)
        fcntl.flock(self._owner_file, fcntl.LOCK_UN)

    def _read_previous_end(self) -> float:
        content = os.pread(self._owner_file, len(SERVING), 0)
        if content == SERVING:
            return time.time()  # the earlier holder was killed, at an unknown time
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
