"""The store of keys: SQLite with a write-ahead log, one transaction and one sync for all that waits.

Blocks on the disk, so it runs in a thread or process of its own, never in the loop. What it is handed was decided in
``keys``; it decides nothing but whether this file is ours to write.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

from lapispick.durable.keys import Known, State

VERSION = 1  # of the schema
BUSY_S = 1.0  # s; for another process that reads
PAGES = 1000  # of the write-ahead log before it goes into the file
GONE = (sqlite3.SQLITE_FULL, sqlite3.SQLITE_READONLY, sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)

_SCHEMA = """
create table meta (name text primary key, value) without rowid;
create table keys (key blob primary key, state integer not null, life integer not null, born real not null,
                   until real not null, body blob not null, result blob) without rowid;
create index keys_until on keys (until);
"""


class Unusable(Exception):
    """The file cannot be the store: the text says why and what to do."""


class DiskFault(Exception):
    """A write failed and counts as unknown; ``gone``: the next one will fail too."""

    def __init__(self, why: str, gone: bool) -> None:
        super().__init__(why)
        self.gone = gone


class Fenced(DiskFault):
    """Another life of the box has the store by now: this process must not write, nor run keyed work, any more."""

    def __init__(self, life: int) -> None:
        super().__init__(f"life {life} of this box has the store", True)


Change = tuple[bytes, Known | None]  # a key and what is known of it now; None: its intent was withdrawn or it is over


class Database:
    """One box's store, opened for one life of it."""

    def __init__(self, path: Path, box: str) -> None:
        self.path = path
        try:
            self._db = sqlite3.connect(path, timeout=BUSY_S, isolation_level=None, check_same_thread=False)
            self._db.execute("pragma journal_mode=wal")
            self._db.execute("pragma synchronous=full")  # a commit is on the disk when it returns
            self._db.execute(f"pragma wal_autocheckpoint={PAGES}")
            self.life = self._open(box)
        except sqlite3.DatabaseError as err:
            raise Unusable(f"{path}: {err}; `lapispick store check` tells more") from None

    def _open(self, box: str) -> int:
        """Make the schema where there is none, see whose this is, and begin a life."""
        self._db.execute("begin immediate")
        try:
            if not self._db.execute("select 1 from sqlite_master where name = 'meta'").fetchone():
                for statement in _SCHEMA.split(";"):
                    self._db.execute(statement)
                self._db.executemany(
                    "insert into meta values (?, ?)", [("version", VERSION), ("box", box), ("life", 0)]
                )
            told = dict(self._db.execute("select name, value from meta"))
            if told["version"] > VERSION:
                raise Unusable(f"{self.path}: has version {told['version']}; this program knows {VERSION}")
            if told["box"] != box:
                raise Unusable(f"{self.path}: belongs to the box {told['box']}, not {box}")
            life = told["life"] + 1
            self._db.execute("update meta set value = ? where name = 'life'", (life,))
            self._db.execute("commit")
        except BaseException:
            if self._db.in_transaction:
                self._db.execute("rollback")
            raise
        return int(life)

    def load(self) -> Iterator[tuple[bytes, Known]]:
        """Yield all keys."""
        states = {int(state): state for state in State}
        for key, state, life, born, until, body, result in self._db.execute(
            "select key, state, life, born, until, body, result from keys"
        ):
            yield key, Known(states[state], life, born, until, body, result)

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """Do all or nothing; raises ``DiskFault``, ``Fenced`` where a later life has begun."""
        try:
            self._db.execute("begin immediate")
            (life,) = self._db.execute("select value from meta where name = 'life'").fetchone()
            if life != self.life:
                raise Fenced(life)
            yield
            self._db.execute("commit")
        except sqlite3.Error as err:
            self._back()
            # The extended codes tell the system call in their upper bytes.
            gone = (getattr(err, "sqlite_errorcode", 0) & 0xFF) in GONE
            raise DiskFault(f"{self.path}: {err}", gone) from None
        except Fenced:
            self._back()
            raise

    def write(self, changes: Iterable[Change]) -> None:
        """Put changes on the disk, all or none."""
        with self._transaction():
            for key, known in changes:
                if known is None:
                    self._db.execute("delete from keys where key = ?", (key,))
                else:
                    self._db.execute(
                        "insert or replace into keys values (?, ?, ?, ?, ?, ?, ?)",
                        (key, int(known.state), known.life, known.born, known.until, known.body, known.result),
                    )

    def expire(self, now: float, most: int) -> int:
        """Remove up to so many keys whose window is over; return how many went."""
        with self._transaction():
            return self._db.execute(
                "delete from keys where key in (select key from keys where until <= ? limit ?)", (now, most)
            ).rowcount

    def _back(self) -> None:
        try:
            if self._db.in_transaction:
                self._db.execute("rollback")
        except sqlite3.Error:  # the disk that failed the write fails this too; the next write begins anew
            pass

    def check(self) -> list[str]:
        """Return what SQLite finds wrong with the file."""
        found = [row[0] for row in self._db.execute("pragma integrity_check")]
        return [] if found == ["ok"] else found

    def close(self) -> None:
        """Close the file."""
        self._db.close()
