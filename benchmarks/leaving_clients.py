"""Counts what a worker host still runs for clients that closed their connections, and whether a key runs twice.

python -m benchmarks.leaving_clients [--rounds 20] [--seed 1]

Closes: the client closes its connection with many requests unread, while all slots are taken. The runs that are
started for it after the slots were freed are counted. A ``reset`` loses what the host has not read, a ``close`` leads
to a reset once the host writes. The ``half-close`` is for comparison, as its requests are owed an answer.

Keys: a keyed request is sent, its connection is closed after a random time, and the request is sent again, to the same
process or to either one of an upgrade. The executors' runs of each request are counted. The exit code is 1 if a key ran
twice, or if a run was started for a client that had left.
"""

from __future__ import annotations

import argparse
import collections
import json
import os
import random
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.common import show
from lapispick.fakes.gateway import GatewayConnection
from lapispick.fakes.host_process import HostProcess
from lapispick.fakes.messages import make_idempotency_key, request_params
from lapispick.fakes.ports import reserved_address
from lapispick.fakes.start_settings import make_platform_info
from lapispick.fakes.waiting import wait_until

MAX_RUNS = 8  # at once, with the settings of the emulated platform
UNREAD_REQUESTS = 300
OPEN_REQUESTS = 32  # the most that a connection may have open
SETTLE_S = 0.3
MAX_DELAY_S = 0.02
RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, without a time to linger

Leave = Callable[[socket.socket], None]


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def close(sock: socket.socket) -> None:
    """Close a connection in both directions."""
    sock.close()


def half_close(sock: socket.socket) -> None:
    """Close the sending side of a connection."""
    sock.shutdown(socket.SHUT_WR)


LEAVES: dict[str, Leave] = {"reset": reset, "close": close, "half-close": half_close}


def runs_after_leave(folder: Path, leave: Leave, count: int) -> tuple[int, int]:
    """Return how many requests were started after their client left, and how many before."""
    worker = HostProcess(folder, limits={"sockets": 512})
    holder = worker.gateway()
    for number in range(MAX_RUNS):
        holder.request("track", "hold")
        wait_until(lambda number=number: len(worker.executor.runs) == number + 1, "the start")
    leaver = socket.create_connection(tuple(worker.address.split(":")))
    lines = []
    for number in range(1, count + 1):
        message = {"jsonrpc": "2.0", "id": number, "method": "book"}
        params = request_params(f"left-{number}", nonce=make_idempotency_key())
        lines.append(json.dumps({**message, "params": params}).encode() + b"\n")
    leaver.sendall(b"".join(lines))
    leave(leaver)
    time.sleep(SETTLE_S)
    started = started_runs(worker, "left-")
    for run in list(worker.executor.runs):
        if run.body == "hold":
            worker.executor.end_run(run.task)
    time.sleep(SETTLE_S)
    after = started_runs(worker, "left-")
    if leave is not half_close:
        leaver.close()
    worker.close()
    return after - started, started


def started_runs(worker: HostProcess, prefix: str) -> int:
    """Return how many runs with this prefix of the body were started."""
    return sum(run.body.startswith(prefix) for run in list(worker.executor.runs))


def most_runs_of_a_key(
    folder: Path, leave: Leave, rng: random.Random, rounds: int, is_upgrade: bool
) -> collections.Counter:
    """Return how many keys ran how often, when each is sent again after its client left."""
    info = make_platform_info(({}, {"Window": 60_000.0}))
    with reserved_address() as address:
        old = HostProcess(folder, listen=address, info=info, limits={"sockets": 512})
        processes = [old]
        if is_upgrade:
            new = old.start_successor()
            processes.append(new)
            wait_until(lambda: new.call_ops() == ["OK"], "readiness of the new process")
        bodies = []
        for number in range(rounds):
            key = make_idempotency_key(rng)
            body = rng.choice([f"call:{number}", f"key-{number}"])
            bodies.append(body)
            for _ in range(3):
                first = GatewayConnection.connect(address)
                first.request("book", body, key)
                time.sleep(rng.uniform(0, MAX_DELAY_S))
                leave(first.sock)
            last = GatewayConnection.connect(address)
            last.answer(last.request("book", body, key))
        time.sleep(SETTLE_S)
        runs = collections.Counter(run.body for process in processes for run in process.executor.runs)
        for process in processes:
            process.close()
        return collections.Counter(runs[body] for body in bodies)


def main() -> int:
    """Run all trials, print tables and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    is_good = True
    rows = []
    for count in (OPEN_REQUESTS, UNREAD_REQUESTS):
        for name, leave in LEAVES.items():
            with tempfile.TemporaryDirectory() as folder:
                os.environ["TMPDIR"] = folder
                after, before = runs_after_leave(Path(folder), leave, count)
            rows.append((name, count, before, after))
            is_good = is_good and (name == "half-close" or not after)
    show("closes", ("leave", "requests", "started before", "started after"), rows)
    rows = []
    for is_upgrade in (False, True):
        for name, leave in LEAVES.items():
            with tempfile.TemporaryDirectory() as folder:
                os.environ["TMPDIR"] = folder
                runs = most_runs_of_a_key(Path(folder), leave, rng, arguments.rounds, is_upgrade)
            rows.append(
                (name, "upgrade" if is_upgrade else "one process", runs[0], runs[1], runs.total() - runs[0] - runs[1])
            )
            is_good = is_good and max(runs) <= 1
    show(f"keys, seed {arguments.seed}", ("leave", "processes", "never run", "run once", "run more often"), rows)
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
