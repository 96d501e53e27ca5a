"""Storage for keyed requests: LMDB, SQLite and an append-only log under group commit, and how long each takes to open.

    python -m benchmarks.durable

Needs `pip install lmdb==3.0.0`, which the program does not use. Every write is on the disk before it counts; all
writes that wait share one sync. LATENCY_S sets how long each rate is played.
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
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec
from google_crc32c import value as crc32c

from benchmarks.common import show
from lapispick.durable import database
from lapispick.durable.records import DurableRecord
from lapispick.idempotency.states import KeyState

RATES = (20, 130, 1000)  # writes a second
KEYS = (1_000, 10_000, 100_000)
RESULT = 300  # bytes of a kept result, as a booking's answer takes


class Backend(Protocol):
    """What is compared: ``put`` is on the disk when it returns."""

    def put(self, batch: list[tuple[bytes, bytes]]) -> None: ...  # noqa: D102
    def all(self) -> int: ...  # noqa: D102
    def close(self) -> None: ...  # noqa: D102


class Lmdb:
    """One B-tree file, a transaction a batch."""

    def __init__(self, folder: Path) -> None:
        import lmdb

        self._env = lmdb.open(str(folder), map_size=1 << 30)

    def put(self, batch: list[tuple[bytes, bytes]]) -> None:
        """Write and sync."""
        with self._env.begin(write=True) as told:
            for key, value in batch:
                told.put(key, value)

    def all(self) -> int:
        """Read everything."""
        with self._env.begin() as told:
            return sum(1 for _ in told.cursor())

    def close(self) -> None:
        """Close."""
        self._env.close()


class Sqlite:
    """What the program uses."""

    def __init__(self, folder: Path) -> None:
        self._db = database.Database(folder / "x.db", "n3")

    def put(self, batch: list[tuple[bytes, bytes]]) -> None:
        """Write and sync."""
        self._db.write([(key, DurableRecord(KeyState.COMPLETED, 1, 0.0, 1e15, b"", value)) for key, value in batch])

    def all(self) -> int:
        """Read everything."""
        return sum(1 for _ in self._db.load())

    def close(self) -> None:
        """Close."""
        self._db.close()


HEAD = struct.Struct("<II")


class Log:
    """Records with a length and a checksum at the end of a file."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "x.log"
        self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115  # closed by ``close``

    def put(self, batch: list[tuple[bytes, bytes]]) -> None:
        """Write and sync."""
        bodies = [msgspec.msgpack.encode((2, key, 1, 0.0, 1e15, value)) for key, value in batch]
        self._file.write(b"".join(HEAD.pack(len(body), crc32c(body)) + body for body in bodies))
        os.fdatasync(self._file.fileno())

    def all(self) -> int:
        """Read everything."""
        data, at, found = self._path.read_bytes(), 0, {}
        while at < len(data):
            length, crc = HEAD.unpack_from(data, at)
            body = data[at + HEAD.size : at + HEAD.size + length]
            assert crc32c(body) == crc
            state, key, life, born, until, value = msgspec.msgpack.decode(body)
            found[key] = DurableRecord(KeyState(state), life, born, until, b"", value)
            at += HEAD.size + length
        return len(found)

    def close(self) -> None:
        """Close."""
        self._file.close()


BACKENDS: dict[str, Callable[[Path], Any]] = {"LMDB": Lmdb, "SQLite": Sqlite, "own log": Log}


def latency(make: Callable[[Path], Any], rate: float, seconds: float) -> tuple[list[float], int]:
    """Return the spans from a write's wish to its being on the disk, ms, and how many syncs there were."""
    rng, waiting, took, syncs = random.Random(5), queue.SimpleQueue(), [], 0  # type: ignore[var-annotated]
    with tempfile.TemporaryDirectory(dir=os.environ.get("DURABLE_FOLDER", ".")) as folder:
        store = make(Path(folder))

        def write() -> None:
            nonlocal syncs
            while (first := waiting.get()) is not None:
                batch = [first]
                while not waiting.empty() and batch[-1] is not None:
                    batch.append(waiting.get())
                kept = [one for one in batch if one is not None]
                store.put([(key, value) for _, key, value in kept])
                syncs += 1
                now = time.perf_counter()
                took.extend((now - since) * 1000 for since, _, _ in kept)
                if batch[-1] is None:
                    return

        thread = threading.Thread(target=write)
        thread.start()
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            waiting.put((time.perf_counter(), rng.randbytes(16), rng.randbytes(RESULT)))
            time.sleep(rng.expovariate(rate))
        waiting.put(None)
        thread.join()
        store.close()
    return took, syncs


def recovery(make: Callable[[Path], Any], count: int) -> tuple[float, float]:
    """Return how long it takes to open a store of so many keys and read all, ms, and its bytes for a key."""
    rng = random.Random(6)
    with tempfile.TemporaryDirectory(dir=os.environ.get("DURABLE_FOLDER", ".")) as folder:
        store = make(Path(folder))
        for _ in range(0, count, 1000):
            store.put([(rng.randbytes(16), rng.randbytes(RESULT)) for _ in range(1000)])
        store.close()
        size = sum(path.stat().st_size for path in Path(folder).iterdir())
        began = time.perf_counter()
        store = make(Path(folder))
        assert store.all() == count
        spent = time.perf_counter() - began
        store.close()
    return spent * 1000, size / count


def main() -> None:
    """Print both tables."""
    seconds = float(os.environ.get("LATENCY_S", "4"))
    rows = []
    for rate in RATES:
        for name, make in BACKENDS.items():
            took, syncs = latency(make, rate, seconds)
            took.sort()
            rows.append(
                (
                    rate,
                    name,
                    len(took),
                    f"{syncs / len(took):.2f}",
                    f"{statistics.median(took):.2f}",
                    f"{took[int(len(took) * 0.99)]:.2f}",
                )
            )
    show(
        "a write until it is on the disk", ("a second", "store", "writes", "syncs a write", "p50, ms", "p99, ms"), rows
    )
    show(
        "opening and reading all",
        ("keys", "store", "ms", "bytes a key"),
        (
            (count, name, f"{spent:.0f}", f"{size:.0f}")
            for count in KEYS
            for name, make in BACKENDS.items()
            for spent, size in [recovery(make, count)]
        ),
    )


if __name__ == "__main__":
    main()
