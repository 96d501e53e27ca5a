"""Measures what clients that misbehave on their connections cost a running worker host and its other clients.

python -m benchmarks.misbehaving_clients [--seconds 6] [--connections 400] [--seed 1] [--only NAME ...]

Each scenario starts a worker host with emulated peers and a client process that misbehaves. Meanwhile four others send
one small request after the other. The table shows how many of these were answered and served, the slowest answer,
how many got no answer within their patience, and the host's resident memory. The exit code is 1 if an answer is missing
or the memory limit is exceeded.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import multiprocessing
import os
import random
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

from benchmarks.common import peak_memory_mb, resident_mb, show
from lapispick.fakes.gateway import GatewayConnection
from lapispick.fakes.host_process import HostProcess
from lapispick.fakes.messages import request_params

OTHER_CLIENTS = 4
PAUSE_S = 0.02  # of another client between an answer and its next request
PATIENCE_MS = 4000
LINES_PER_SEND = 64
LIMITS = {"memory_mb": 192, "sockets": 1024}
SLOW_BYTES_PER_S = 4000.0
FULL_BODY_CHARACTERS = 2728  # of base64, for a body of 2,046 bytes
LARGE_LINE_BYTES = 7800  # a line that was valid in all versions

Lines = Callable[[random.Random], Iterator[bytes]]


class Outcome(NamedTuple):
    """Result of one scenario."""

    name: str
    sent: int  # lines or connections of the misbehaving clients
    answered: int
    served: int
    slowest_ms: float
    unanswered: int
    memory_before_mb: float
    memory_peak_mb: float
    memory_after_mb: float

    def is_good(self) -> bool:
        """Return True if the other clients got all their answers and the memory limit was kept."""
        return not self.unanswered and self.answered > 0 and self.memory_peak_mb < LIMITS["memory_mb"]


# The misbehaving clients; each function runs in a process of its own.


def _connect(address: str) -> socket.socket:
    host, port = address.split(":")
    return socket.create_connection((host, int(port)))


def write_slowly(address: str, connections: int, end: float, seed: int, sent: multiprocessing.Value) -> None:
    """Write large messages on many connections, a few bytes at a time, and replace the connections that are closed."""
    rng = random.Random(seed)
    line = _large_line(rng)
    open_sockets: list[tuple[socket.socket, float]] = []
    while time.time() < end:
        while len(open_sockets) < connections:
            with contextlib.suppress(OSError):
                open_sockets.append((_connect(address), 0.0))
            sent.value += 1
        for place, (sock, position) in enumerate(open_sockets):
            position += SLOW_BYTES_PER_S / 10
            try:
                sock.sendall(line[int(position - SLOW_BYTES_PER_S / 10) : int(position)])
                open_sockets[place] = (sock, position)
            except OSError:
                sock.close()
                open_sockets[place] = (_connect(address), 0.0)
                sent.value += 1
        time.sleep(0.1)


def stop_half_way(address: str, connections: int, end: float, seed: int, sent: multiprocessing.Value) -> None:
    """Write half of a large message on many connections, and open a connection for each that is closed."""
    _hold_begun_messages(address, connections, end, sent, _large_line(random.Random(seed))[: LARGE_LINE_BYTES // 2])


def many_fields(address: str, connections: int, end: float, seed: int, sent: multiprocessing.Value) -> None:
    """Begin messages with very many short parameters on many connections."""
    fields = b",".join(b'"%x":%d' % (number, number % 10) for number in range(LARGE_LINE_BYTES // 8))
    begun = (b'{"jsonrpc":"2.0","id":1,"method":"track","params":{' + fields)[:LARGE_LINE_BYTES]
    _hold_begun_messages(address, connections, end, sent, begun)


def _hold_begun_messages(address: str, connections: int, end: float, sent: multiprocessing.Value, begun: bytes) -> None:
    open_sockets: list[socket.socket] = []
    while time.time() < end:
        for sock in open_sockets:
            sock.setblocking(False)
        open_sockets = [sock for sock in open_sockets if _is_open(sock)]
        while len(open_sockets) < connections:
            with contextlib.suppress(OSError):
                open_sockets.append(_connect(address))
                open_sockets[-1].sendall(begun)
            sent.value += 1
        time.sleep(0.05)


def _is_open(sock: socket.socket) -> bool:
    try:
        while data := sock.recv(65536):
            del data
    except BlockingIOError:
        return True
    except OSError:
        pass
    sock.close()
    return False


def _large_line(rng: random.Random) -> bytes:
    body = "A" * FULL_BODY_CHARACTERS
    params = {**request_params(), "doc": body, "trace": f"{rng.getrandbits(64):016x}"}
    line = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "track", "params": params}).encode()
    return line + b" " * (LARGE_LINE_BYTES - len(line)) + b"\n"


def flood(address: str, lines: Lines, reads: bool, end: float, seed: int, sent: multiprocessing.Value) -> None:
    """Send lines on one connection at full speed, and open another one whenever it is closed."""
    rng = random.Random(seed)
    while time.time() < end:
        with contextlib.suppress(OSError), _connect(address) as sock:
            if reads:
                threading.Thread(target=_drain, args=(sock,), daemon=True).start()
            source = lines(rng)
            sock.settimeout(1.0)
            while time.time() < end:
                block = [next(source) for _ in range(LINES_PER_SEND)]
                sock.sendall(b"".join(block))
                sent.value += len(block)


def _drain(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(1 << 20):
            pass


# Lines of one client at full speed.


def _request(number: int, method: bytes, rng: random.Random, extra: bytes = b"", customer: bytes = b"shop") -> bytes:
    born = int(time.time() * 1000)
    return (
        b'{"jsonrpc":"2.0","id":%d,"method":"%b","params":{"trace":"%016x","born":%d,"client":1,"customer":"%b",'
        b'"patience":4000,"size":20,"order":0.5,"doc":"eA=="%b}}\n'
        % (number, method, rng.getrandbits(64), born, customer, extra)
    )


def valid_requests(rng: random.Random) -> Iterator[bytes]:
    """Yield valid requests, without waiting for answers."""
    for number in range(1, 1 << 30):
        yield _request(number, b"track", rng)


def cancelled_requests(rng: random.Random) -> Iterator[bytes]:
    """Yield valid requests, each of which is cancelled at once."""
    for number in range(1, 1 << 30):
        yield _request(number, b"track", rng)
        yield b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":%d}}\n' % number


def cancelled_bookings(rng: random.Random) -> Iterator[bytes]:
    """Yield keyed requests under ever new keys, each of which is cancelled at once."""
    for number in range(1, 1 << 30):
        yield _request(number, b"book", rng, b',"nonce":"%032x"' % rng.getrandbits(128))
        yield b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":%d}}\n' % number


def late_cancelled_bookings(rng: random.Random) -> Iterator[bytes]:
    """Yield keyed requests under ever new keys, each of which is cancelled 16 requests later."""
    for number in range(1, 1 << 30):
        yield _request(number, b"book", rng, b',"nonce":"%032x"' % rng.getrandbits(128))
        if number > 16:
            yield b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":%d}}\n' % (number - 16)


def health_checks(rng: random.Random) -> Iterator[bytes]:
    """Yield health checks."""
    for number in range(1, 1 << 30):
        yield b'{"jsonrpc":"2.0","id":%d,"method":"probe"}\n' % number


def deep_health_checks(rng: random.Random) -> Iterator[bytes]:
    """Yield health checks that ask the executor to do work."""
    for number in range(1, 1 << 30):
        yield b'{"jsonrpc":"2.0","id":%d,"method":"probe","params":{"thorough":true}}\n' % number


def blank_lines(rng: random.Random) -> Iterator[bytes]:
    """Yield lines without a message."""
    while True:
        yield b"\n" * 100


def cancellations(rng: random.Random) -> Iterator[bytes]:
    """Yield cancellations of one request that was answered long ago."""
    yield _request(1, b"track", rng)
    while True:
        yield b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":1}}\n'


def new_classes(rng: random.Random) -> Iterator[bytes]:
    """Yield requests of classes that do not exist, each with a new name."""
    for number in range(1, 1 << 30):
        yield _request(number, b"class-%x" % rng.getrandbits(64), rng)


def new_customers(rng: random.Random) -> Iterator[bytes]:
    """Yield requests of customers that do not exist, each with a new name."""
    for number in range(1, 1 << 30):
        yield _request(number, b"track", rng, customer=b"customer-%x" % rng.getrandbits(64))


def unsound_and_valid(rng: random.Random) -> Iterator[bytes]:
    """Yield two invalid messages between two valid ones that are cancelled, which keeps a connection open for long."""
    for number in range(1, 1 << 28, 3):
        yield _request(number, b"track", rng)
        yield b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":%d}}\n' % number
        yield _request(number + 1, b"nothing", rng)
        yield b"{}\n"


def longest_requests(rng: random.Random) -> Iterator[bytes]:
    """Yield valid requests with a full body, all written with escapes, each of which is cancelled at once."""
    escaped_body = b"\\u0041" * FULL_BODY_CHARACTERS
    for number in range(1, 1 << 30):
        yield _request(number, b"track", rng).replace(b"eA==", escaped_body)
        yield b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":%d}}\n' % number


def longest_unsound_messages(rng: random.Random) -> Iterator[bytes]:
    """Yield long messages of very many short parameters, without what a request needs."""
    fields = b",".join(b'"%x":%d' % (number, number % 10) for number in range(2000))
    for number in range(1, 1 << 30):
        yield b'{"jsonrpc":"2.0","id":%d,"method":"track","params":{%b}}\n' % (number, fields)


def garbage(rng: random.Random) -> Iterator[bytes]:
    """Yield lines that are not JSON."""
    while True:
        yield b"%x\xff\n" % rng.getrandbits(64)


# The other clients.


class OtherClient(threading.Thread):
    """Client that sends one request at a time, until it is stopped."""

    def __init__(self, worker: HostProcess, stop: threading.Event) -> None:
        super().__init__(daemon=True)
        self._worker = worker
        self._stopping = stop
        self.latencies_ms: list[float] = []
        self.served = 0
        self.unanswered = 0

    def run(self) -> None:
        """Send requests; a connection that was closed while idle is replaced."""
        connection = None
        while not self._stopping.is_set():
            began = time.monotonic()
            try:
                if connection is None:
                    connection = GatewayConnection.connect(self._worker.address)
                    connection.sock.settimeout(PATIENCE_MS / 1000)
                answer = connection.answer(connection.request("track", "x", patience=PATIENCE_MS))
                self.served += "result" in answer
                self.latencies_ms.append((time.monotonic() - began) * 1000)
            except (OSError, AssertionError, ValueError):
                self.unanswered += 1
                connection = None
            self._stopping.wait(PAUSE_S)


Misbehave = Callable[[str, int, float, int, "multiprocessing.Value"], None]
HOLDERS: dict[str, Misbehave] = {
    "writes slowly": write_slowly,
    "stops half way": stop_half_way,
    "many short fields": many_fields,
}
FLOODS: dict[str, Lines] = {
    "valid requests": valid_requests,
    "cancelled requests": cancelled_requests,
    "cancelled bookings, new keys": cancelled_bookings,
    "bookings cancelled later, new keys": late_cancelled_bookings,
    "health checks": health_checks,
    "deep health checks": deep_health_checks,
    "blank lines": blank_lines,
    "cancellations": cancellations,
    "new classes": new_classes,
    "new customers": new_customers,
    "unsound beside valid": unsound_and_valid,
    "not JSON": garbage,
    "longest requests": longest_requests,
    "longest unsound messages": longest_unsound_messages,
}


def play(name: str, seconds: float, connections: int, seed: int) -> Outcome:
    """Run one scenario."""
    context = multiprocessing.get_context("spawn")
    sent = context.Value("q", 0)
    with tempfile.TemporaryDirectory() as folder:
        os.environ["TMPDIR"] = folder
        worker = HostProcess(Path(folder), limits=LIMITS)
        stop = threading.Event()
        others = [OtherClient(worker, stop) for _ in range(OTHER_CLIENTS)]
        try:
            before_mb = resident_mb(worker.process.pid)
            end = time.time() + seconds + 1
            if name in HOLDERS:
                target, arguments = HOLDERS[name], (worker.address, connections, end, seed, sent)
            else:
                lines, _, silent = name.partition(", reads no answers")
                target, arguments = flood, (worker.address, FLOODS[lines], not (_ or silent), end, seed, sent)
            client = context.Process(target=target, args=arguments, daemon=True)
            client.start()
            for other in others:
                other.start()
            client.join(seconds + 10)
            client.kill()
            stop.set()
            for other in others:
                other.join(10)
            latencies = [latency for other in others for latency in other.latencies_ms]
            return Outcome(
                name,
                sent.value,
                len(latencies),
                sum(other.served for other in others),
                max(latencies, default=0.0),
                sum(other.unanswered for other in others),
                before_mb,
                peak_memory_mb(worker.process.pid),
                resident_mb(worker.process.pid),
            )
        finally:
            worker.close()


def show_outcomes(title: str, outcomes: list[Outcome]) -> None:
    """Print a table of outcomes."""
    columns = ("scenario", "sent", "answered", "served", "slowest ms", "no answer", "MB before", "MB peak", "MB after")
    rows = [
        (*outcome[:4], f"{outcome.slowest_ms:.0f}", outcome.unanswered, *(f"{value:.0f}" for value in outcome[6:]))
        for outcome in outcomes
    ]
    show(title, columns, rows)


def main() -> int:
    """Run the scenarios and print a table; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", nargs="*", default=[])
    arguments = parser.parse_args()
    names = [*HOLDERS, *FLOODS, *(f"{name}, reads no answers" for name in FLOODS)]
    outcomes = []
    for name in names:
        if not arguments.only or name in arguments.only:
            outcomes.append(play(name, arguments.seconds, arguments.connections, arguments.seed))
            print(outcomes[-1], file=sys.stderr, flush=True)
    show_outcomes(f"seed {arguments.seed}, {arguments.seconds:g} s, {arguments.connections} connections", outcomes)
    return 0 if all(outcome.is_good() for outcome in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
