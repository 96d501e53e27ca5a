"""A second copy of a store's reply, which arrives late, reaches the run and the caller of another request."""

import os
import random
import socket
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path

import settings
import standins
from standins import Executor, Gateway, Programs, Record, Roster, Server, is_up, result_of, wait_until

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S = {"track": 0.05, "quote": 0.05, "rider-ping": 0.05, "book": 0.05}
REQUESTS = 60
INTERVAL_S = (0.08, 0.16)  # between two requests, drawn
SEED = 1
STORE_S = 0.08  # for each call
COPY_AFTER_S = STORE_S  # from a reply to its second copy, as if the call were served twice
COPIED = 5  # one reply in so many brings a second copy
PATIENCE_MS = 4800
BROKEN, HELD, NOT_RUN = 1, 0, 2


class Store(Server):
    """The shared store: a reply names the call that it is for."""

    def __init__(self, record):
        self._record = record
        self._calls = 0
        super().__init__()

    def serve(self, connection):
        """Serve one call after the other until the host closes the connection."""
        file = connection.makefile("rb")
        lock = threading.Lock()
        while line := file.readline():
            assert line.startswith(b"POST /query ")
            headers = {}
            while header := file.readline().strip():
                name, _, value = header.partition(b":")
                headers[name.strip().lower()] = value.strip()
            body = file.read(int(headers[b"content-length"]))
            self._calls += 1
            has_copy = TROUBLE and self._calls % COPIED == 0
            request = headers[b"x-for-request"].decode()
            self._record.add(f"store: call for {request}: {body.decode()}")
            time.sleep(STORE_S)
            row = b"row for " + body
            reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(row), row)
            with lock:
                connection.sendall(reply)
            self._record.add(f"store: reply to {request}: {row.decode()}")
            if has_copy:
                threading.Timer(COPY_AFTER_S, self._copy, (connection, lock, reply, request)).start()

    def _copy(self, connection, lock, reply, request):
        try:
            with lock:
                connection.sendall(reply)
            self._record.add(f"store: second copy of the reply to {request}")
        except OSError:
            self._record.add(f"store: no second copy of the reply to {request}: the host has closed the connection")


def main(folder, record, programs):
    """Play the case and return the exit status."""
    executor, store, roster = Executor(record, "executor", WORK_S, calls=("track",)), Store(record), Roster()
    listen, ops = (f"{standins.LOOPBACK}:{standins.free_port(socket.SOCK_STREAM)}" for _ in range(2))
    peers = {"executor": executor.address, "store": store.address, "roster": roster.address}
    config = settings.config(settings.DISPATCH, listen=listen, ops=ops, **peers)
    (folder / "tmp").mkdir()
    programs.start_host("host", config, {"TMPDIR": str(folder / "tmp")})
    if not wait_until(lambda: is_up(ops), 20):
        return not_run(record, "the worker host was not up in time")
    gateway = Gateway(record, listen, "gateway")
    generator = random.Random(SEED)
    sent = {}
    for number in range(REQUESTS):
        body = f"parcel {number}"
        customer = settings.DISPATCH_TENANTS[number % len(settings.DISPATCH_TENANTS)]
        request_id, _ = gateway.send("track", body, patience=PATIENCE_MS, customer=customer)
        sent[request_id] = body
        time.sleep(generator.uniform(*INTERVAL_S))
    wrong = []
    for request_id, body in sent.items():
        result = result_of(gateway.wait(request_id, 5))
        if result not in (None, "without the call", f"row for call of {body}"):
            wrong.append((body, result))
    foreign = [(call, reply) for _, call, reply in executor.replies if reply != f"row for {call}"]
    for call, reply in foreign:
        record.add(f"the run of {call!r} was given the reply {reply!r}")
    for body, result in wrong:
        record.add(f"the caller of {body!r} was served {result!r}")
    served = sum(reply == f"row for {call}" for _, call, reply in executor.replies)
    record.add(
        f"{len(sent)} requests, {served} right replies, {len(foreign)} foreign replies, {len(wrong)} foreign results"
    )
    if not executor.replies:
        return not_run(record, "no call was made")
    return BROKEN if foreign or wrong else HELD


def not_run(record, reason):
    """Record why the case couldn't run."""
    record.add(f"not run: {reason}")
    return NOT_RUN


if __name__ == "__main__":
    case_record = Record(Path(__file__).parent / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as folder_name:
        case_programs = Programs(Path(folder_name))
        try:
            status = main(Path(folder_name), case_record, case_programs)
        except Exception:  # noqa: BLE001 - a fault of the case itself is no verdict
            case_record.add(traceback.format_exc())
            status = NOT_RUN
        finally:
            case_programs.close()
    case_record.add({BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "the case couldn't run"}[status])
    sys.stdout.flush()
    os._exit(status)
