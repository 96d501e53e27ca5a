"""Calls over TCP in the operators' protocol: sends one line and reads lines until the peer closes."""

from __future__ import annotations

import time

from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import LineTooLongError, StreamClosedError, connect

_MIN_TIMEOUT_S = 0.001


def call(loop: EventLoop, address: tuple[str, int], line: str, timeout_s: float) -> list[str]:
    """Send a line and return the lines of the answer; raises ``OSError``, also on a timeout."""
    stream = connect(loop, address, timeout_s)
    deadline = time.monotonic() + timeout_s
    lines = []
    try:
        stream.write(line.encode() + b"\n")
        while (answer_line := stream.read_line(max(_MIN_TIMEOUT_S, deadline - time.monotonic()))) is not None:
            lines.append(answer_line.decode("utf-8", "replace"))
    except (LineTooLongError, StreamClosedError) as err:
        raise OSError(str(err)) from None
    finally:
        stream.close()
    return lines


def parse_address(text: str) -> tuple[str, int]:
    """Split ``HOST:PORT``; the host may be a name or an IPv6 address in brackets."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
