"""Databases that several processes open at the same time."""

import contextlib
import sqlite3
import subprocess
import sys
import threading
import time

import pytest

from lapispick.agent.rollout_store import DATABASE_FILE, RolloutStore
from lapispick.durable.database import Database
from lapispick.fakes.fleet import ROOT
from lapispick.sqlite_files import open_database

LOCK_DURATION_S = 0.3
BUSY_TIMEOUT_S = 0.2
PROCESSES = 6
# Each process waits for a line, so that all open the store in the same instant.
OPEN_AT_A_SIGNAL = (
    "import sys; from pathlib import Path; from lapispick.agent.rollout_store import RolloutStore;"
    "print(flush=True); sys.stdin.readline(); RolloutStore(Path(sys.argv[1])).history()"
)


@contextlib.contextmanager
def write_lock(path):
    """Hold the write lock of a new database, as the connection does that creates its tables."""
    with contextlib.closing(sqlite3.connect(path, isolation_level=None, check_same_thread=False)) as db:
        db.execute("begin immediate")
        yield db


@pytest.mark.parametrize(
    ("open_store", "name"),
    [
        (lambda path: RolloutStore(path.parent), DATABASE_FILE),
        (lambda path: Database(path, "n3"), "x.db"),
    ],
    ids=["rollouts", "durable"],
)
def test_opening_a_new_store_waits_for_the_process_that_creates_it(tmp_path, open_store, name):
    with write_lock(tmp_path / name) as db:
        release = threading.Timer(LOCK_DURATION_S, db.execute, ["commit"])
        started_at = time.monotonic()
        release.start()
        open_store(tmp_path / name).close()
        assert time.monotonic() - started_at >= LOCK_DURATION_S
        release.join()


def test_a_database_that_remains_locked_is_an_error_after_the_busy_timeout(tmp_path):
    with write_lock(tmp_path / "x.db"):
        started_at = time.monotonic()
        with pytest.raises(sqlite3.OperationalError, match="locked"):
            open_database(tmp_path / "x.db", BUSY_TIMEOUT_S)
        assert time.monotonic() - started_at >= BUSY_TIMEOUT_S


def test_processes_that_create_the_same_store_at_once_all_open_it(tmp_path):
    command = [sys.executable, "-c", OPEN_AT_A_SIGNAL, str(tmp_path)]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "stderr": subprocess.PIPE}
    processes = [subprocess.Popen(command, cwd=ROOT, text=True, **pipes) for _ in range(PROCESSES)]
    for process in processes:
        process.stdout.readline()
    for process in processes:
        process.stdin.write("\n")
        process.stdin.flush()
    errors = [process.communicate(timeout=30)[1] for process in processes]
    assert errors == [""] * PROCESSES
