"""Opens SQLite databases with a write-ahead log that several processes may open at the same time."""

from __future__ import annotations

import sqlite3
import time
from pathlib import Path

RETRY_INTERVAL_S = 0.01


def open_database(path: Path, busy_timeout_s: float) -> sqlite3.Connection:
    """Open or create a database in autocommit mode, with a write-ahead log and durable commits.

    Waits at most ``busy_timeout_s`` for a lock of another connection, here and in later statements. Raises
    ``sqlite3.Error`` if the file is no database or remains locked.
    """
    db = sqlite3.connect(path, timeout=busy_timeout_s, isolation_level=None, check_same_thread=False)
    try:
        _enable_write_ahead_log(db, busy_timeout_s)
        db.execute("pragma synchronous=full")  # a commit is durable when it returns
    except BaseException:
        db.close()
        raise
    return db


def _enable_write_ahead_log(db: sqlite3.Connection, busy_timeout_s: float) -> None:
    """Change the journal mode, which is stored in the file.

    SQLite does not apply the busy timeout to this change: while another connection writes to a new database, it fails
    at once.
    """
    deadline = time.monotonic() + busy_timeout_s
    while True:
        try:
            db.execute("pragma journal_mode=wal")
        except sqlite3.OperationalError as err:
            if err.sqlite_errorcode != sqlite3.SQLITE_BUSY or time.monotonic() >= deadline:
                raise
        else:
            return
        time.sleep(RETRY_INTERVAL_S)
