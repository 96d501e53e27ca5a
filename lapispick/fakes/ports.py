"""Ports for processes that a test starts, and calls to the ops address of a process."""

import contextlib
import functools
import itertools
import os
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000  # all ranges lie below the ephemeral ports of the system
PORTS_PER_RANGE = 500
MAX_RANGES = 40
_port_numbers = itertools.count()
_range_claims = []  # sockets that stay bound until this process ends


def free_port():
    """Return a port that no other process of the tests binds; see ``bind_in_own_range``."""
    with socket.socket() as sock:
        return bind_in_own_range(sock)


def bind_in_own_range(sock):
    """Bind a socket to a loopback port that no other process of the tests uses, and return the port.

    An ephemeral port may have belonged to another test shortly before. A client of that test that has not yet noticed
    that its server has ended would then connect to the new server. Therefore each process that runs tests has its own
    range of ports and uses them in rotation.
    """
    first_port = _claim_range()
    for _ in range(PORTS_PER_RANGE):
        port = first_port + next(_port_numbers) % PORTS_PER_RANGE
        with contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port
    raise AssertionError(f"all {PORTS_PER_RANGE} ports from {first_port} on are in use")


@functools.cache
def _claim_range():
    """Claim a range of ports for this process by binding its first port, and return that port."""
    for number in range(MAX_RANGES):
        first_port = FIRST_PORT + PORTS_PER_RANGE * ((os.getpid() + number) % MAX_RANGES)
        claim = socket.socket()
        try:
            claim.bind((LOOPBACK, first_port))
        except OSError:
            claim.close()
        else:
            _range_claims.append(claim)
            return first_port
    raise AssertionError(f"all {MAX_RANGES} ranges of ports are in use")


@contextlib.contextmanager
def reserved_address():
    """Reserve a port that several processes can listen on, and yield its address."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((LOOPBACK, 0))
        yield f"{LOOPBACK}:{sock.getsockname()[1]}"


def call_ops(address, line, timeout=2.0):
    """Send a call to an ops address and return the lines of the answer, or None if the connection fails."""
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=timeout) as sock:
            sock.sendall(line.encode() + b"\n")
            return sock.makefile("rb").read().decode().splitlines()
    except OSError:
        return None
