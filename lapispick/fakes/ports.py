"""Ports for processes that a test starts, and calls to operators' addresses."""

import contextlib
import functools
import itertools
import os
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000  # all ranges lie below the ports that the system gives to whoever asks for any
PORTS_PER_RANGE = 500
MAX_RANGES = 40
_port_numbers = itertools.count()
_claims = []  # sockets that are bound as long as this process lives


def free_port():
    """Return a port that stays free until it is used; see ``bind_in_own_range``."""
    with socket.socket() as sock:
        return bind_in_own_range(sock)


def bind_in_own_range(sock):
    """Bind a socket to a loopback port that no other process of the tests uses, and return the port.

    A port that the system chooses may have been another test's a moment before, and a client that has not noticed the
    end of its server would connect to this one. Each process that runs tests therefore has a range of its own and goes
    through it in turn.
    """
    first = _claimed_range()
    for _ in range(PORTS_PER_RANGE):
        port = first + next(_port_numbers) % PORTS_PER_RANGE
        with contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port
    raise AssertionError("no port is free")


@functools.cache
def _claimed_range():
    """Claim a range for this process by binding its first port, and return that port."""
    for number in range(MAX_RANGES):
        first = FIRST_PORT + PORTS_PER_RANGE * ((os.getpid() + number) % MAX_RANGES)
        claim = socket.socket()
        try:
            claim.bind((LOOPBACK, first))
        except OSError:
            claim.close()
        else:
            _claims.append(claim)
            return first
    raise AssertionError("no range of ports is free")


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
