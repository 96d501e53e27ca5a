"""Stores the state of rollouts in SQLite; a controller that takes over fences off the previous one.

The methods block on disk access, so a controller runs them in a thread, never in the event loop. The store only decides
which controller may write.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from lapispick.agent.errors import FencedError, RolloutStoreError
from lapispick.agent.rollout_records import (
    Event,
    Explanation,
    FleetSummary,
    Leadership,
    RolloutRecord,
    StoredExplanation,
)
from lapispick.json_decoding import json_decoder
from lapispick.rollout.rollout_state import RolloutState
from lapispick.sqlite_files import open_database

VERSION = 1
DATABASE_FILE = "rollouts.db"
BUSY_TIMEOUT_S = 2.0
MAX_EVENTS = 10_000
MAX_ROLLOUTS = 1000
READ_ERRORS = (sqlite3.DatabaseError, UnicodeDecodeError)  # the latter for text that is not UTF-8
_SCHEMA = """
create table meta (name text primary key, value) without rowid;
create table rollouts (name text primary key, began real not null, ended real, course blob not null) without rowid;
create table events (number integer primary key, rollout text not null, at real not null, text text not null);
create table explained (rollout text primary key, at real not null, told blob not null) without rowid;
create table looks (rollout text primary key, at real not null, told blob not null) without rowid;
create table orders (number integer primary key, rollout text not null, word text not null);
"""
_decode_state = json_decoder(RolloutState)
_decode_explanation = json_decoder(Explanation)
_decode_summary = json_decoder(FleetSummary)


class _Meta(msgspec.Struct):
    """The rows of the table ``meta``."""

    version: int
    epoch: int
    who: str
    seen: float


class RolloutStore:
    """Store of the rollouts in one folder."""

    def __init__(self, folder: Path) -> None:
        """Open or create the database; raises ``RolloutStoreError``."""
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / DATABASE_FILE
        self.epoch = 0
        try:
            self._db = open_database(self.path, BUSY_TIMEOUT_S)
            with self._transaction():
                self._create_or_check_schema()
        except READ_ERRORS as err:
            raise RolloutStoreError(self.path, err) from None

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        self._db.execute("begin immediate")
        try:
            yield
            self._db.execute("commit")
        except BaseException:
            if self._db.in_transaction:
                self._db.execute("rollback")
            raise

    def _create_or_check_schema(self) -> None:
        if not self._db.execute("select 1 from sqlite_master where name = 'meta'").fetchone():
            for statement in _SCHEMA.split(";"):
                self._db.execute(statement)
            values = [("version", VERSION), ("epoch", 0), ("who", ""), ("seen", 0.0)]
            self._db.executemany("insert into meta values (?, ?)", values)
        version = self._meta().version
        if version > VERSION:
            raise RolloutStoreError(self.path, f"unsupported version {version}, expected at most {VERSION}")

    @contextmanager
    def _fenced_write(self) -> Iterator[None]:
        """Write as the controller in charge; raises ``FencedError`` if another one has taken over."""
        with self._transaction():
            epoch = self._meta().epoch
            if epoch != self.epoch:
                raise FencedError(epoch, self.epoch)
            yield

    # Methods for the controller in charge.

    def take_over(self, controller: str, min_epoch: int) -> int:
        """Make a controller the only one that may write; returns an epoch above ``min_epoch`` and all earlier ones."""
        with self._transaction():
            self.epoch = max(self._meta().epoch, min_epoch) + 1
            self._db.execute("update meta set value = ? where name = 'epoch'", (self.epoch,))
            self._db.execute("update meta set value = ? where name = 'who'", (controller,))
        return self.epoch

    def save(self, state: RolloutState, now: float, notes: list[tuple[float, str]]) -> None:
        """Store the state of a rollout and new notes; raises ``FencedError`` and ``sqlite3.Error``."""
        ended = now if state.is_over else None
        with self._fenced_write():
            self._db.execute(
                "insert into rollouts values (?, ?, ?, ?) on conflict (name) do update set "
                "ended = excluded.ended, course = excluded.course",
                (state.name, now, ended, msgspec.json.encode(state)),
            )
            self._db.executemany(
                "insert into events (rollout, at, text) values (?, ?, ?)",
                [(state.name, at, text) for at, text in notes],
            )
            self._remove_oldest()

    def _remove_oldest(self) -> None:
        self._db.execute("delete from events where number <= (select max(number) from events) - ?", (MAX_EVENTS,))
        self._db.execute(
            "delete from rollouts where name in (select name from rollouts where ended is not null "
            "order by began desc limit -1 offset ?)",
            (MAX_ROLLOUTS,),
        )
        for table in ("looks", "explained", "orders"):
            self._db.execute(f"delete from {table} where rollout not in (select name from rollouts)")

    def record_heartbeat(self, rollout: str, now: float, summary: FleetSummary) -> None:
        """Record that this controller is running and how it sees the fleet; raises ``FencedError``."""
        with self._fenced_write():
            self._db.execute("update meta set value = ? where name = 'seen'", (now,))
            self._db.execute(
                "insert or replace into looks values (?, ?, ?)", (rollout, now, msgspec.json.encode(summary))
            )

    def save_explanation(self, rollout: str, now: float, explanation: Explanation) -> None:
        """Store the explanation of a verdict of the canary analysis; raises ``FencedError``."""
        with self._fenced_write():
            self._db.execute(
                "insert or replace into explained values (?, ?, ?)", (rollout, now, msgspec.json.encode(explanation))
            )

    def take_orders(self, rollout: str) -> list[str]:
        """Return and remove the orders of operators; raises ``FencedError``."""
        with self._fenced_write():
            rows = self._db.execute("select word from orders where rollout = ? order by number", (rollout,)).fetchall()
            if rows:
                self._db.execute("delete from orders where rollout = ?", (rollout,))
        return [order for (order,) in rows]

    # Methods for all controllers and commands, at any time.

    def add_order(self, rollout: str, order: str) -> None:
        """Store an operator's order for the controller."""
        with self._transaction():
            self._db.execute("insert into orders (rollout, word) values (?, ?)", (rollout, order))

    @contextmanager
    def _read(self) -> Iterator[None]:
        """Read from the database; raises ``RolloutStoreError`` if it can't be read or is corrupt."""
        try:
            yield
        except (*READ_ERRORS, msgspec.MsgspecError) as err:
            raise RolloutStoreError(self.path, err) from None

    def get(self, rollout: str = "") -> RolloutState | None:
        """Return the state of a rollout, by default of the newest; None if there is none."""
        with self._read():
            if rollout:
                cursor = self._db.execute("select course from rollouts where name = ?", (rollout,))
            else:
                cursor = self._db.execute("select course from rollouts order by began desc, name desc limit 1")
            row = cursor.fetchone()
            return _decode_state(*msgspec.convert(row, tuple[bytes])) if row else None

    def history(self) -> list[RolloutRecord]:
        """Return all rollouts, the newest last."""
        with self._read():
            rows = self._db.execute("select name, began, ended, course from rollouts order by began, name").fetchall()
            return [
                RolloutRecord(name, began, ended, _decode_state(state))
                for name, began, ended, state in msgspec.convert(rows, list[tuple[str, float, float | None, bytes]])
            ]

    def events(self, rollout: str) -> list[Event]:
        """Return the events of a rollout, the oldest first."""
        with self._read():
            rows = self._db.execute("select at, text from events where rollout = ? order by number", (rollout,))
            return msgspec.convert(rows.fetchall(), list[Event])

    def explanation(self, rollout: str) -> StoredExplanation | None:
        """Return the newest explanation of the canary analysis; None if there is none."""
        with self._read():
            row = self._db.execute("select at, told from explained where rollout = ?", (rollout,)).fetchone()
            if row is None:
                return None
            at, explanation = msgspec.convert(row, tuple[float, bytes])
            return StoredExplanation(at, _decode_explanation(explanation))

    def fleet_summary(self, rollout: str) -> FleetSummary | None:
        """Return the last summary of the fleet; None if there is none."""
        with self._read():
            row = self._db.execute("select told from looks where rollout = ?", (rollout,)).fetchone()
            return _decode_summary(*msgspec.convert(row, tuple[bytes])) if row else None

    def leadership(self) -> Leadership:
        """Return the controller in charge."""
        with self._read():
            meta = self._meta()
            return Leadership(meta.who, meta.epoch, meta.seen)

    def _meta(self) -> _Meta:
        """Return the rows of the table ``meta``; raises ``RolloutStoreError`` if one is missing or invalid."""
        try:
            return msgspec.convert(dict(self._db.execute("select name, value from meta")), _Meta)
        except (TypeError, msgspec.ValidationError) as err:  # a name that is no text is a TypeError
            raise RolloutStoreError(self.path, f"corrupt: {err}") from None

    def close(self) -> None:
        """Close the database."""
        self._db.close()
