"""The SQLite store of idempotency records: a write-ahead log, and one transaction and sync for a batch of writes.

Calls block on the disk, so they run in a thread or process of their own, never in the event loop. The caller decides
what is written (``records``); the store only checks that this incarnation of the host may still write.

Each start of the host raises the incarnation in the store, and each transaction verifies it: a fencing token, so that
an older process cannot write any more. Column and row names are those of schema version 1.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple

from lapispick.durable.records import DurableRecord
from lapispick.idempotency.states import KeyState

VERSION = 1  # of the schema
BUSY_TIMEOUT_S = 1.0  # for another process that reads
CHECKPOINT_PAGES = 1000  # of the write-ahead log before it is copied into the file
PRIMARY_ERROR_MASK = 0xFF  # extended error codes have the system call in their upper bytes
UNAVAILABLE_ERRORS = (
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_CORRUPT,
    sqlite3.SQLITE_NOTADB,
)

_SCHEMA = """
create table meta (name text primary key, value) without rowid;
create table keys (key blob primary key, state integer not null, life integer not null, born real not null,
                   until real not null, body blob not null, result blob) without rowid;
create index keys_until on keys (until);
"""
_SELECT = "select key, state, life, born, until, body, result from keys"
_UPSERT = "insert or replace into keys values (?, ?, ?, ?, ?, ?, ?)"
_DELETE = "delete from keys where key = ?"
_DELETE_EXPIRED = "delete from keys where key in (select key from keys where until <= ? limit ?)"
_SELECT_INCARNATION = "select value from meta where name = 'life'"
_UPDATE_INCARNATION = "update meta set value = ? where name = 'life'"
_STORED_STATES = {int(state): state for state in KeyState if state is not KeyState.RELEASED}


class StoreError(Exception):
    """Base of the store's errors."""


class StoreUnusableError(StoreError):
    """The file cannot be used as the store."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class StoreWriteError(StoreError):
    """A write failed, and what it wrote is unknown; ``unavailable``: the next one would fail too."""

    def __init__(self, reason: str, unavailable: bool) -> None:
        super().__init__(reason)
        self.unavailable = unavailable


class FencedError(StoreWriteError):
    """A later incarnation of the host has the store: this process must not write or execute keyed requests any more."""

    def __init__(self, incarnation: int) -> None:
        super().__init__(f"incarnation {incarnation} of this host has the store", unavailable=True)
        self.incarnation = incarnation


class StoreChange(NamedTuple):
    """A change of one key; a record of None deletes it."""

    key: bytes
    record: DurableRecord | None


class Database:
    """The store of one host, opened for one incarnation of it."""

    def __init__(self, path: Path, host: str) -> None:
        self.path = path
        try:
            self._db = sqlite3.connect(path, timeout=BUSY_TIMEOUT_S, isolation_level=None, check_same_thread=False)
            self._db.execute("pragma journal_mode=wal")
            self._db.execute("pragma synchronous=full")  # a commit is durable when it returns
            self._db.execute(f"pragma wal_autocheckpoint={CHECKPOINT_PAGES}")
            self.incarnation = self._begin_incarnation(host)
        except sqlite3.DatabaseError as err:
            raise StoreUnusableError(path, str(err)) from None

    def load(self) -> Iterator[tuple[bytes, DurableRecord]]:
        """Yield all keys with their records."""
        for key, state, *columns in self._db.execute(_SELECT):
            yield key, DurableRecord(_STORED_STATES[state], *columns)

    def write(self, changes: Iterable[StoreChange | tuple[bytes, DurableRecord | None]]) -> None:
        """Write changes durably, all or none; raises ``StoreWriteError``."""
        with self._transaction():
            for key, record in changes:
                if record is None:
                    self._db.execute(_DELETE, (key,))
                else:
                    self._db.execute(_UPSERT, _row(key, record))

    def expire(self, now_ms: float, limit: int) -> int:
        """Delete up to ``limit`` keys whose window has ended; return how many; raises ``StoreWriteError``."""
        with self._transaction():
            return self._db.execute(_DELETE_EXPIRED, (now_ms, limit)).rowcount

    def check(self) -> list[str]:
        """Return what SQLite's integrity check finds."""
        found = [row[0] for row in self._db.execute("pragma integrity_check")]
        return [] if found == ["ok"] else found

    def close(self) -> None:
        """Close the file."""
        self._db.close()

    def _begin_incarnation(self, host: str) -> int:
        """Create the schema where there is none, check whose store this is, and return the new incarnation."""
        self._db.execute("begin immediate")
        try:
            if not self._db.execute("select 1 from sqlite_master where name = 'meta'").fetchone():
                self._create_schema(host)
            incarnation = self._check_owner(host) + 1
            self._db.execute(_UPDATE_INCARNATION, (incarnation,))
            self._db.execute("commit")
        except BaseException:
            if self._db.in_transaction:
                self._db.execute("rollback")
            raise
        return incarnation

    def _create_schema(self, host: str) -> None:
        for statement in _SCHEMA.split(";"):
            self._db.execute(statement)
        rows = [("version", VERSION), ("box", host), ("life", 0)]
        self._db.executemany("insert into meta values (?, ?)", rows)

    def _check_owner(self, host: str) -> int:
        """Return the last incarnation; raises ``StoreUnusableError`` for a newer version or another host's store."""
        meta = dict(self._db.execute("select name, value from meta"))
        if meta["version"] > VERSION:
            raise StoreUnusableError(self.path, f"has version {meta['version']}; this program knows {VERSION}")
        if meta["box"] != host:
            raise StoreUnusableError(self.path, f"belongs to the host {meta['box']}, not {host}")
        return int(meta["life"])

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """Commit all or nothing; raises ``StoreWriteError``, ``FencedError`` where a later incarnation has begun."""
        try:
            self._db.execute("begin immediate")
            (incarnation,) = self._db.execute(_SELECT_INCARNATION).fetchone()
            if incarnation != self.incarnation:
                raise FencedError(incarnation)
            yield
            self._db.execute("commit")
        except sqlite3.Error as err:
            self._roll_back()
            code = getattr(err, "sqlite_errorcode", 0) & PRIMARY_ERROR_MASK
            raise StoreWriteError(f"{self.path}: {err}", unavailable=code in UNAVAILABLE_ERRORS) from None
        except FencedError:
            self._roll_back()
            raise

    def _roll_back(self) -> None:
        with suppress(sqlite3.Error):  # the disk that failed the write may fail this too; the next write begins anew
            if self._db.in_transaction:
                self._db.execute("rollback")


def _row(key: bytes, record: DurableRecord) -> tuple[object, ...]:
    return (
        key,
        int(record.state),
        record.incarnation,
        record.created_at_ms,
        record.expires_at_ms,
        record.request_digest,
        record.result,
    )
