"""Ports of the emulated fleet, and calls to operators' addresses."""

import contextlib
import itertools
import os
import socket
import zlib

FIRST_PORT = 10_000  # below those that the system gives to whoever asks for any
PORTS_PER_WORKER = 500
MAX_WORKERS = 40
_port_numbers = itertools.count()


def free_port():
    """Return a port that stays free until it is used.

    Each worker of a test run has a range of its own, or a port that is not bound yet could be another test's meanwhile.
    Runs side by side begin at different ranges.
    """
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")[2:]
    run = os.environ.get("PYTEST_XDIST_TESTRUNUID", "")
    number = int(worker) + zlib.crc32(run.encode()) if worker.isdecimal() else os.getpid()
    base = FIRST_PORT + PORTS_PER_WORKER * (number % MAX_WORKERS)
    for _ in range(PORTS_PER_WORKER):
        port = base + next(_port_numbers) % PORTS_PER_WORKER
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise AssertionError("no port is free")


def call_operators(address, line, timeout=2.0):
    """Make a call as operators do; None where nobody answers."""
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=timeout) as sock:
            sock.sendall(line.encode() + b"\n")
            return sock.makefile("rb").read().decode().splitlines()
    except OSError:
        return None
