"""Ports for processes that a test starts, and calls to operators' addresses."""

import contextlib
import itertools
import os
import socket
import zlib

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000  # below those that the system gives to whoever asks for any
PORTS_PER_WORKER = 500
MAX_WORKERS = 40
_port_numbers = itertools.count()


def free_port():
    """Return a port that stays free until it is used; see ``bind_in_own_range``."""
    with socket.socket() as sock:
        return bind_in_own_range(sock)


def bind_in_own_range(sock):
    """Bind a socket to a loopback port that no other worker of a test run uses, and return the port.

    A port that the system chooses may have been another test's a moment before, and a client that has not noticed the
    end of its server would connect to this one. Each worker therefore has a range of its own and goes through it in
    turn; runs side by side begin at different ranges.
    """
    first = FIRST_PORT + PORTS_PER_WORKER * (_worker_number() % MAX_WORKERS)
    for _ in range(PORTS_PER_WORKER):
        port = first + next(_port_numbers) % PORTS_PER_WORKER
        with contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port
    raise AssertionError("no port is free")


def _worker_number():
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")[2:]
    if not worker.isdecimal():
        return os.getpid()
    run = os.environ.get("PYTEST_XDIST_TESTRUNUID", "")
    return int(worker) + zlib.crc32(run.encode())


@contextlib.contextmanager
def reserved_address():
    """Reserve a port that several processes can listen on, and return its address."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((LOOPBACK, 0))
        yield f"{LOOPBACK}:{sock.getsockname()[1]}"


def call_operators(address, line, timeout=2.0):
    """Make a call as operators do; None where nobody answers."""
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=timeout) as sock:
            sock.sendall(line.encode() + b"\n")
            return sock.makefile("rb").read().decode().splitlines()
    except OSError:
        return None
