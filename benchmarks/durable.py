"""Compares stores for idempotency records: LMDB, SQLite and an append-only log with group commit.

    python -m benchmarks.durable

Measures the latency of a durable write and how long a store takes to open. Requires ``pip install lmdb==3.0.0``, which
the program itself does not use. A write is complete once it is on disk; all pending writes share one sync.
``LATENCY_S`` sets how long each write rate is measured, ``DURABLE_FOLDER`` the folder that the stores are written to.
"""

from __future__ import annotations

import os
import queue
import random
import statistics
import struct
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple, Protocol

import msgspec
from google_crc32c import value as crc32c

from benchmarks.common import show
from lapispick.durable import database
from lapispick.durable.records import DurableRecord
from lapispick.idempotency.states import KeyState

WRITE_RATES = (20, 130, 1000)  # a second
KEY_COUNTS = (1_000, 10_000, 100_000)
KEY_BYTES = 16
RESULT_BYTES = 300  # size of a booking's answer
WRITE_BATCH = 1000  # keys per write while a store is filled
EXPIRES_AT_MS = 1e15
LMDB_MAP_BYTES = 1 << 30
LATENCY_SEED = 5
RECOVERY_SEED = 6
DEFAULT_LATENCY_S = 4.0

Batch = list[tuple[bytes, bytes]]  # keys and results


class Store(Protocol):
    """A store under comparison; ``put`` returns once its batch is on disk."""

    def put(self, batch: Batch) -> None:
        """Write a batch and sync."""

    def count(self) -> int:
        """Read all records and return how many there are."""

    def close(self) -> None:
        """Close the store."""


class LmdbStore:
    """Store in an LMDB B-tree file, with one transaction per batch."""

    def __init__(self, folder: Path) -> None:
        import lmdb

        self._env = lmdb.open(str(folder), map_size=LMDB_MAP_BYTES)

    def put(self, batch: Batch) -> None:
        """Write a batch and sync."""
        with self._env.begin(write=True) as transaction:
            for key, value in batch:
                transaction.put(key, value)

    def count(self) -> int:
        """Read all records and return how many there are."""
        with self._env.begin() as transaction:
            return sum(1 for _ in transaction.cursor())

    def close(self) -> None:
        """Close the store."""
        self._env.close()


class SqliteStore:
    """The SQLite store of the program itself."""

    def __init__(self, folder: Path) -> None:
        self._database = database.Database(folder / "x.db", "n3")

    def put(self, batch: Batch) -> None:
        """Write a batch and sync."""
        self._database.write([(key, _record(result)) for key, result in batch])

    def count(self) -> int:
        """Read all records and return how many there are."""
        return sum(1 for _ in self._database.load())

    def close(self) -> None:
        """Close the store."""
        self._database.close()


def _record(result: bytes) -> DurableRecord:
    return DurableRecord(KeyState.COMPLETED, 1, 0.0, EXPIRES_AT_MS, b"", result)


RECORD_HEAD = struct.Struct("<II")  # length and checksum


class LogStore:
    """Append-only file of records, each with its length and checksum."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "x.log"
        self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115  # closed by ``close``

    def put(self, batch: Batch) -> None:
        """Write a batch and sync."""
        bodies = [msgspec.msgpack.encode((2, key, 1, 0.0, EXPIRES_AT_MS, result)) for key, result in batch]
        self._file.write(b"".join(RECORD_HEAD.pack(len(body), crc32c(body)) + body for body in bodies))
        os.fdatasync(self._file.fileno())

    def count(self) -> int:
        """Read all records and return how many there are."""
        data = self._path.read_bytes()
        offset = 0
        records = {}
        while offset < len(data):
            length, checksum = RECORD_HEAD.unpack_from(data, offset)
            offset += RECORD_HEAD.size
            body = data[offset : offset + length]
            assert crc32c(body) == checksum
            state, key, incarnation, created_at_ms, expires_at_ms, result = msgspec.msgpack.decode(body)
            records[key] = DurableRecord(KeyState(state), incarnation, created_at_ms, expires_at_ms, b"", result)
            offset += length
        return len(records)

    def close(self) -> None:
        """Close the store."""
        self._file.close()


OpenStore = Callable[[Path], Store]
STORES: dict[str, OpenStore] = {"LMDB": LmdbStore, "SQLite": SqliteStore, "own log": LogStore}


class PendingWrite(NamedTuple):
    """A write that waits for the next sync."""

    requested_at: float
    key: bytes
    result: bytes


class GroupCommit(threading.Thread):
    """Thread that writes all pending records as one batch; ``latencies_ms`` has the latency of each write."""

    def __init__(self, store: Store) -> None:
        super().__init__()
        self.latencies_ms: list[float] = []
        self.sync_count = 0
        self._store = store
        self._pending: queue.SimpleQueue[PendingWrite | None] = queue.SimpleQueue()  # None stops the thread

    def put(self, key: bytes, result: bytes) -> None:
        """Request a write."""
        self._pending.put(PendingWrite(time.perf_counter(), key, result))

    def finish(self) -> None:
        """Write the pending records and wait for the thread to end."""
        self._pending.put(None)
        self.join()

    def run(self) -> None:
        """Write batches until ``finish`` is called."""
        while (first := self._pending.get()) is not None:
            batch = [first]
            ended = False
            while not ended and not self._pending.empty():
                pending = self._pending.get()
                if pending is None:
                    ended = True
                else:
                    batch.append(pending)
            self._write(batch)
            if ended:
                return

    def _write(self, batch: list[PendingWrite]) -> None:
        self._store.put([(write.key, write.result) for write in batch])
        self.sync_count += 1
        now = time.perf_counter()
        self.latencies_ms += [(now - write.requested_at) * 1000 for write in batch]


@contextmanager
def _temporary_folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory(dir=os.environ.get("DURABLE_FOLDER", ".")) as folder:
        yield Path(folder)


def measure_latency(open_store: OpenStore, rate: float, seconds: float) -> GroupCommit:
    """Write at a mean rate with exponentially distributed gaps; return the finished group commit."""
    rng = random.Random(LATENCY_SEED)
    with _temporary_folder() as folder:
        store = open_store(folder)
        group_commit = GroupCommit(store)
        group_commit.start()
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            group_commit.put(rng.randbytes(KEY_BYTES), rng.randbytes(RESULT_BYTES))
            time.sleep(rng.expovariate(rate))
        group_commit.finish()
        store.close()
    return group_commit


class Recovery(NamedTuple):
    """Time to open a store and read all records, and the size of the store."""

    duration_ms: float
    bytes_per_key: float


def measure_recovery(open_store: OpenStore, count: int) -> Recovery:
    """Fill and close a store, then measure the time to open it and read all records."""
    rng = random.Random(RECOVERY_SEED)
    with _temporary_folder() as folder:
        store = open_store(folder)
        for _ in range(0, count, WRITE_BATCH):
            store.put([(rng.randbytes(KEY_BYTES), rng.randbytes(RESULT_BYTES)) for _ in range(WRITE_BATCH)])
        store.close()
        size = sum(path.stat().st_size for path in folder.iterdir())
        started_at = time.perf_counter()
        store = open_store(folder)
        assert store.count() == count
        duration_s = time.perf_counter() - started_at
        store.close()
    return Recovery(duration_s * 1000, size / count)


def latency_rows(seconds: float) -> Iterator[tuple[object, ...]]:
    """Yield a table row for each write rate and store."""
    for rate in WRITE_RATES:
        for name, open_store in STORES.items():
            group_commit = measure_latency(open_store, rate, seconds)
            latencies_ms = sorted(group_commit.latencies_ms)
            writes = len(latencies_ms)
            p99_ms = latencies_ms[int(writes * 0.99)]
            median_ms = statistics.median(latencies_ms)
            yield rate, name, writes, f"{group_commit.sync_count / writes:.2f}", f"{median_ms:.2f}", f"{p99_ms:.2f}"


def recovery_rows() -> Iterator[tuple[object, ...]]:
    """Yield a table row for each number of keys and store."""
    for count in KEY_COUNTS:
        for name, open_store in STORES.items():
            recovery = measure_recovery(open_store, count)
            yield count, name, f"{recovery.duration_ms:.0f}", f"{recovery.bytes_per_key:.0f}"


def main() -> None:
    """Print the tables of write latency and recovery time."""
    seconds = float(os.environ.get("LATENCY_S", DEFAULT_LATENCY_S))
    columns = ("a second", "store", "writes", "syncs a write", "p50, ms", "p99, ms")
    show("latency of a durable write", columns, list(latency_rows(seconds)))
    show("opening and reading all", ("keys", "store", "ms", "bytes a key"), list(recovery_rows()))


if __name__ == "__main__":
    main()
