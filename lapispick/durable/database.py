"""SQLite store of idempotency records, with a write-ahead log. Each batch of writes is one transaction and one sync.

Calls block on the disk, so they must run in a separate thread or process, never in the event loop. The caller decides
what is written (see ``records``); the store only checks that this incarnation of the host may still write.

Each start of the host increments the incarnation in the store, and each transaction checks it. The incarnation is a
fencing token: an older process of the host can no longer write. Column and row names are those of schema version 1.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple

import msgspec

from lapispick.durable.records import DurableRecord
from lapispick.idempotency.states import KeyState
from lapispick.sqlite_files import open_database

SCHEMA_VERSION = 1
BUSY_TIMEOUT_S = 1.0  # longest wait for a lock of another process that reads the database
CHECKPOINT_PAGES = 1000  # pages in the write-ahead log before they are copied into the database file
PRIMARY_ERROR_MASK = 0xFF  # the upper bytes of an extended error code name the system call
UNAVAILABLE_ERRORS = (
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_CORRUPT,
    sqlite3.SQLITE_NOTADB,
)
READ_ERRORS = (sqlite3.DatabaseError, UnicodeDecodeError)  # the latter for text that is not UTF-8

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
_Row = tuple[bytes, int, int, float, float, bytes, bytes | None]  # the columns of ``_SELECT``
_STORED_STATES = {int(state): state for state in KeyState if state is not KeyState.RELEASED}


class StoreError(Exception):
    """Base class of the store's errors."""


class StoreUnusableError(StoreError):
    """The file cannot be used as this host's store."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class StoreWriteError(StoreError):
    """A write failed, and it is unknown what was written. If ``unavailable``, the next write would fail too."""

    def __init__(self, reason: str, unavailable: bool) -> None:
        super().__init__(reason)
        self.unavailable = unavailable


class FencedError(StoreWriteError):
    """A later incarnation of the host owns the store. This process must no longer write or execute keyed requests."""

    def __init__(self, incarnation: int) -> None:
        super().__init__(f"incarnation {incarnation} of this host owns the store", unavailable=True)
        self.incarnation = incarnation


class _Meta(msgspec.Struct):
    """The rows of the table ``meta``."""

    version: int
    box: str
    life: int


class StoreChange(NamedTuple):
    """Change of one key. If ``record`` is None, the key is deleted."""

    key: bytes
    record: DurableRecord | None


class Database:
    """Store of one host, opened by one incarnation of the host."""

    def __init__(self, path: Path, host: str) -> None:
        self.path = path
        try:
            self._db = open_database(path, BUSY_TIMEOUT_S)
            self._db.execute(f"pragma wal_autocheckpoint={CHECKPOINT_PAGES}")
            self.incarnation = self._begin_incarnation(host)
        except READ_ERRORS as err:
            raise StoreUnusableError(path, str(err)) from None

    def load(self) -> Iterator[tuple[bytes, DurableRecord]]:
        """Yield each key with its record; raises ``StoreUnusableError`` if the file is corrupt."""
        try:
            for row in self._db.execute(_SELECT):
                key, state, *columns = msgspec.convert(row, _Row)
                yield key, DurableRecord(_STORED_STATES[state], *columns)
        except (*READ_ERRORS, msgspec.ValidationError) as err:
            raise StoreUnusableError(self.path, f"corrupt: {err}") from None
        except KeyError as err:
            raise StoreUnusableError(self.path, f"corrupt: unknown state {err}") from None

    def write(self, changes: Iterable[StoreChange | tuple[bytes, DurableRecord | None]]) -> None:
        """Write all changes durably, or none of them; raises ``StoreWriteError``."""
        with self._transaction():
            for key, record in changes:
                if record is None:
                    self._db.execute(_DELETE, (key,))
                else:
                    self._db.execute(_UPSERT, _row(key, record))

    def expire(self, now_ms: float, limit: int) -> int:
        """Delete up to ``limit`` keys whose window has ended, and return their number; raises ``StoreWriteError``."""
        with self._transaction():
            return self._db.execute(_DELETE_EXPIRED, (now_ms, limit)).rowcount

    def check_integrity(self) -> list[str]:
        """Return the faults that SQLite's integrity check reports."""
        messages = [row[0] for row in self._db.execute("pragma integrity_check")]
        return [] if messages == ["ok"] else messages

    def close(self) -> None:
        """Close the database file."""
        self._db.close()

    def _begin_incarnation(self, host: str) -> int:
        """Create the schema if it is missing, check the owner, and return the new incarnation."""
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
        rows = [("version", SCHEMA_VERSION), ("box", host), ("life", 0)]
        self._db.executemany("insert into meta values (?, ?)", rows)

    def _check_owner(self, host: str) -> int:
        """Return the last incarnation; raises ``StoreUnusableError`` for a newer schema or another host's store."""
        try:
            meta = msgspec.convert(dict(self._db.execute("select name, value from meta")), _Meta)
        except (TypeError, msgspec.ValidationError) as err:  # a name that is no text is a TypeError
            raise StoreUnusableError(self.path, f"corrupt: {err}") from None
        if meta.version > SCHEMA_VERSION:
            raise StoreUnusableError(
                self.path, f"unsupported version {meta.version}, expected at most {SCHEMA_VERSION}"
            )
        if meta.box != host:
            raise StoreUnusableError(self.path, f"belongs to host {meta.box}, expected {host}")
        return meta.life

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """Commit all writes or none; raises ``StoreWriteError``, or ``FencedError`` after a later start of the host."""
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
        # The rollback may fail on the same disk error as the write. The next write starts a new transaction.
        with suppress(sqlite3.Error):
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
