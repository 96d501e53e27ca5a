"""After a break of the executor's link, a run's second call is answered with the reply to its first one."""

import contextlib
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
from standins import Executor, Gateway, Programs, Record, Roster, Server, is_up, wait_until

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLASS = "proof-render"
CALLS = 2  # of each run; the site's page says 1 to 2 on average
WORK_S = (0.02, 0.08)  # before, between and after the calls, drawn
STORE_S = (0.005, 0.015)  # of each call, drawn
SEED = 1
DURATION_S = 90.0
ENOUGH = 3  # replies to another call, after which the load ends
BREAK_INTERVAL_S = (0.7, 1.3)  # between two breaks of the link, drawn
REQUEST_INTERVAL_S = 0.015
GIVE_UP_S = 7.2  # Services[].GiveUp of the class
BROKEN, HELD, NOT_RUN = 1, 0, 2
draw = random.Random(SEED).uniform


class CallingExecutor(Executor):
    """An executor whose runs wait for calls back to back, and whose link can break."""

    def __init__(self, record):
        self.breaks = 0
        self.foreign = []  # (task, the call that it waited for, the reply that it was given)
        self.answered_calls = 0
        super().__init__(record, "executor", {CLASS: draw(*WORK_S)})

    def _work_done(self, task, kind, body, number):
        self._after_work(task, body, 1)

    def _after_work(self, task, body, number):
        with self._lock:
            if number <= CALLS:
                self._open[task] = f"call {number} of {body}"
                self._notice(verb="CALLOUT", task=task, bytes=standins.encode(self._open[task]))
            else:
                self._end(task, "complete", f"all calls of {body}")

    def _on_return(self, connection, command):
        task, call = command["task"], self._open.get(command["task"])
        if call is None:
            return  # no call waits for a reply
        reply = standins.decode(command["bytes"])
        self.answered_calls += 1
        if reply != f"row for {call}":
            self.foreign.append((task, call, reply))
            self._record.add(f"executor: the run {task} waits for {call!r} and is given {reply!r}")
        self._open[task] = None
        number, body = int(call.split()[1]), call.split(" of ", 1)[1]
        threading.Timer(draw(*WORK_S), self._after_work, (task, body, number + 1)).start()

    def break_link(self):
        """Break the link; runs continue, and all notices are kept."""
        with self._lock:
            link, self._link = self._link, None
            if link is not None:
                self.breaks += 1
                with contextlib.suppress(OSError):
                    link.shutdown(socket.SHUT_RDWR)


class Store(Server):
    """The shared store: each reply names its call."""

    def serve(self, connection):
        """Serve one call after the other until the host closes the connection."""
        file = connection.makefile("rb")
        while file.readline():
            headers = {}
            while header := file.readline().strip():
                name, _, value = header.partition(b":")
                headers[name.strip().lower()] = value.strip()
            row = b"row for " + file.read(int(headers[b"content-length"]))
            time.sleep(draw(*STORE_S))
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(row), row))


def main(folder, record, programs):
    """Play the case and return the exit status."""
    executor, store, roster = CallingExecutor(record), Store(), Roster()
    listen, ops = (f"{standins.LOOPBACK}:{standins.free_port()}" for _ in range(2))
    peers = {"executor": executor.address, "store": store.address, "roster": roster.address}
    config = settings.config(settings.DAR, listen=listen, ops=ops, **peers)
    (folder / "tmp").mkdir()
    programs.start_host("host", config, {"TMPDIR": str(folder / "tmp")})
    if not wait_until(lambda: is_up(ops), 20):
        return not_run(record, "the worker host was not up in time")
    gateways = [Gateway(record, listen, f"gateway-{number}") for number in range(8)]
    sent = []
    began = time.monotonic()
    next_break = began + draw(*BREAK_INTERVAL_S)
    while time.monotonic() < began + DURATION_S and len(executor.foreign) < ENOUGH:
        gateway = gateways[len(sent) % len(gateways)]
        if gateway.open_count() < 30:
            request_id, _ = gateway.send(CLASS, f"proof {len(sent)}")
            sent.append((gateway, request_id))
        time.sleep(REQUEST_INTERVAL_S)
        if TROUBLE and time.monotonic() > next_break:
            next_break = time.monotonic() + draw(*BREAK_INTERVAL_S)
            executor.break_link()
            record.add(f"executor: the link breaks ({executor.breaks})")
    for gateway, request_id in sent:
        gateway.wait(request_id, max(0.0, began + DURATION_S + GIVE_UP_S + 1 - time.monotonic()))
    record.add(
        f"{len(sent)} requests, {len(executor.runs)} runs, {executor.breaks} breaks of the link, "
        f"{executor.answered_calls} replies to calls, {len(executor.foreign)} of them to another call"
    )
    if not executor.answered_calls:
        return not_run(record, "no call was made")
    return BROKEN if executor.foreign else HELD


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
