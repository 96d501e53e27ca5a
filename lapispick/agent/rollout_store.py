"""The state of rollouts on disk: SQLite, as the store of keys has it; a later controller fences the one before.

Blocks on the disk, so it runs in a thread, never in the loop. It decides nothing but whose turn to write it is.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from lapispick.rollout.rollout_state import OVER, Course

VERSION = 1
BUSY_S = 2.0  # s; for another process that reads or writes
EVENTS_MOST, ROLLOUTS_MOST = 10_000, 1000  # the oldest go
_SCHEMA = """
create table meta (name text primary key, value) without rowid;
create table rollouts (name text primary key, began real not null, ended real, course blob not null) without rowid;
create table events (number integer primary key, rollout text not null, at real not null, text text not null);
create table explained (rollout text primary key, at real not null, told blob not null) without rowid;
create table looks (rollout text primary key, at real not null, told blob not null) without rowid;
create table orders (number integer primary key, rollout text not null, word text not null);
"""
_course = msgspec.json.Decoder(Course).decode


class Unusable(Exception):
    """The ledger can't be used; the text says why."""


class Fenced(Exception):
    """Another controller has taken over: this one must tell no agent anything any more."""


class Ledger:
    """The ledger of one folder."""

    def __init__(self, folder: Path) -> None:
        """Open it; raises ``Unusable``."""
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.epoch = folder / "rollouts.db", 0
        try:
            self._db = sqlite3.connect(self.path, timeout=BUSY_S, isolation_level=None, check_same_thread=False)
            self._db.execute("pragma journal_mode=wal")
            self._db.execute("pragma synchronous=full")
            self._begin()
        except sqlite3.DatabaseError as err:
            raise Unusable(f"{self.path}: {err}") from None

    def _begin(self) -> None:
        self._db.execute("begin immediate")
        try:
            if not self._db.execute("select 1 from sqlite_master where name = 'meta'").fetchone():
                for statement in _SCHEMA.split(";"):
                    self._db.execute(statement)
                self._db.executemany(
                    "insert into meta values (?, ?)", [("version", VERSION), ("epoch", 0), ("who", ""), ("seen", 0.0)]
                )
            (version,) = self._db.execute("select value from meta where name = 'version'").fetchone()
            if version > VERSION:
                raise Unusable(f"{self.path}: has version {version}; this program knows {VERSION}")
            self._db.execute("commit")
        except BaseException:
            if self._db.in_transaction:
                self._db.execute("rollback")
            raise

    def take_over(self, who: str, at_least: int) -> int:
        """Become the one that writes; returns the epoch, higher than any before and than ``at_least``."""
        with self._write(checked=False):
            (before,) = self._db.execute("select value from meta where name = 'epoch'").fetchone()
            self.epoch = max(before, at_least) + 1
            self._db.execute("update meta set value = ? where name = 'epoch'", (self.epoch,))
            self._db.execute("update meta set value = ? where name = 'who'", (who,))
        return self.epoch

    @contextmanager
    def _write(self, checked: bool = True) -> Iterator[None]:
        self._db.execute("begin immediate")
        try:
            if checked:
                (epoch,) = self._db.execute("select value from meta where name = 'epoch'").fetchone()
                if epoch != self.epoch:
                    raise Fenced(f"controller {epoch} has taken over from {self.epoch}")
            yield
            self._db.execute("commit")
        except BaseException:
            if self._db.in_transaction:
                self._db.execute("rollback")
            raise

    def keep(self, course: Course, now: float, notes: list[tuple[float, str]]) -> None:
        """Let this be the state of a rollout; raises ``Fenced`` and ``sqlite3.Error``."""
        with self._write():
            ended = now if course.phase in OVER else None
            self._db.execute(
                "insert into rollouts values (?, ?, ?, ?) on conflict (name) do update set "
                "ended = excluded.ended, course = excluded.course",
                (course.name, now, ended, msgspec.json.encode(course)),
            )
            self._db.executemany(
                "insert into events (rollout, at, text) values (?, ?, ?)",
                [(course.name, at, text) for at, text in notes],
            )
            self._db.execute("delete from events where number <= (select max(number) from events) - ?", (EVENTS_MOST,))
            self._db.execute(
                "delete from rollouts where name in (select name from rollouts where ended is not null "
                "order by began desc limit -1 offset ?)",
                (ROLLOUTS_MOST,),
            )
            for table in ("looks", "explained", "orders"):
                self._db.execute(f"delete from {table} where rollout not in (select name from rollouts)")

    def seen(self, now: float, rollout: str, boxes: Any) -> None:
        """Say that this controller steers still, and what it saw of the boxes; raises ``Fenced``."""
        with self._write():
            self._db.execute("update meta set value = ? where name = 'seen'", (now,))
            self._db.execute(
                "insert or replace into looks values (?, ?, ?)", (rollout, now, msgspec.json.encode(boxes))
            )

    def explain(self, rollout: str, now: float, told: Any) -> None:
        """Keep why the judge decides as it does."""
        with self._write():
            self._db.execute(
                "insert or replace into explained values (?, ?, ?)", (rollout, now, msgspec.json.encode(told))
            )

    def orders(self, rollout: str) -> list[str]:
        """Take the words that people left for the controller."""
        with self._write():
            found = self._db.execute("select word from orders where rollout = ? order by number", (rollout,)).fetchall()
            if found:
                self._db.execute("delete from orders where rollout = ?", (rollout,))
        return [word for (word,) in found]

    # For anybody, at any time.

    def order(self, rollout: str, word: str) -> None:
        """Leave a word for the controller."""
        with self._write(checked=False):
            self._db.execute("insert into orders (rollout, word) values (?, ?)", (rollout, word))

    def course(self, rollout: str = "") -> Course | None:
        """Return a rollout's state; by default that of the newest."""
        found = self._db.execute(
            "select course from rollouts where name = ?"
            if rollout
            else "select course from rollouts order by began desc, name desc limit 1",
            (rollout,) if rollout else (),
        ).fetchone()
        return _course(found[0]) if found else None

    def history(self) -> list[tuple[str, float, float | None, Course]]:
        """Return all rollouts, the newest last."""
        return [
            (name, began, ended, _course(course))
            for name, began, ended, course in self._db.execute(
                "select name, began, ended, course from rollouts order by began, name"
            )
        ]

    def events(self, rollout: str) -> list[tuple[float, str]]:
        """Return what happened in a rollout."""
        return list(self._db.execute("select at, text from events where rollout = ? order by number", (rollout,)))

    def explained(self, rollout: str) -> tuple[float, Any] | None:
        """Return the judge's last figures, and when they were told."""
        return self._told("explained", rollout)

    def looked(self, rollout: str) -> tuple[float, Any] | None:
        """Return what was last seen of the boxes, and when."""
        return self._told("looks", rollout)

    def _told(self, table: str, rollout: str) -> tuple[float, Any] | None:
        found = self._db.execute(f"select at, told from {table} where rollout = ?", (rollout,)).fetchone()
        return (found[0], msgspec.json.decode(found[1])) if found else None

    def steered(self) -> tuple[str, int, float]:
        """Return who steers, by which epoch, and when that one was last seen."""
        told = dict(self._db.execute("select name, value from meta"))
        return told["who"], told["epoch"], told["seen"]

    def close(self) -> None:
        """Close the file."""
        self._db.close()
