"""Listens at the operators' address: a caller sends one line, gets one answer, and the connection is closed.

Its sockets go first in every round of the event loop, so that an answer waits for the present callback and no more.
Callers that send nothing hold a descriptor only for a short time; beyond the limit the one that has been silent for
longest is closed.
"""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable

from lapispick.host.logs import log
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.streams import LineTooLongError, Stream

LOG = "ops"
MAX_CALL_BYTES = 128
MAX_ANSWER_BYTES = 64 * 1024
CALL_TIMEOUT_S = 2.0  # to receive a complete call, and again until its answer is read
ACCEPT_RETRY_S = 0.05
LISTEN_BACKLOG = 64
MAX_LOGGED_CHARACTERS = 40  # of an unknown call
ANSWERED = 0.0  # in place of the time when a caller connected

CallHandler = Callable[[], list[str]]
LineHandler = Callable[[str], list[str]]  # takes the complete line of a call that has arguments


class OperatorServer:
    """Listens for operators and answers each call by its handler."""

    def __init__(
        self,
        loop: EventLoop,
        listen: tuple[str, int],
        max_connections: int,
        calls: dict[str, CallHandler],
        handle_line: LineHandler | None = None,
    ) -> None:
        """``handle_line`` answers all lines that are not in ``calls``. Raises ``OSError``."""
        self._loop = loop
        self._max_connections = max_connections
        self._calls = calls
        self._handle_line = handle_line
        self._connected_at: dict[Stream, float] = {}
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(listen)
        self._sock.listen(LISTEN_BACKLOG)
        self.address = "{}:{}".format(*self._sock.getsockname()[:2])

    def add_calls(self, calls: dict[str, CallHandler], handle_line: LineHandler) -> None:
        """Answer further calls."""
        self._calls = {**self._calls, **calls}
        self._handle_line = handle_line

    def serve(self) -> None:
        """Accept callers for ever."""
        while True:
            if not self._loop.wait_for_io(self._sock.fileno(), READ, urgent=True):
                continue
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                continue
            except OSError as err:  # such as no free descriptor
                log(LOG, logging.ERROR, "ops-accept-failed", error=err)
                if not self._close_oldest():
                    self._loop.sleep(ACCEPT_RETRY_S)
                continue
            if len(self._connected_at) >= self._max_connections:
                self._close_oldest()
            stream = Stream(self._loop, sock, MAX_CALL_BYTES, MAX_ANSWER_BYTES, MAX_CALL_BYTES * 2, urgent=True)
            self._connected_at[stream] = time.monotonic()
            self._loop.spawn(self._serve_caller, stream, urgent=True)

    def _close_oldest(self) -> bool:
        """Close a caller that has its answer, else the one that has been silent for longest; False without any."""
        if not self._connected_at:
            return False
        oldest = min(self._connected_at, key=self._connected_at.__getitem__)
        self._connected_at.pop(oldest)
        oldest.close()
        return True

    def _serve_caller(self, stream: Stream) -> None:
        timer = self._loop.call_later(CALL_TIMEOUT_S, stream.close)
        try:
            line = stream.read_line()
            if stream.closed:
                return
            stream.write("\n".join([*self._answer(line), ""]).encode())
        except LineTooLongError:
            stream.write(f"ERR a call has at most {MAX_CALL_BYTES} bytes\n".encode())
        finally:
            timer.cancel()
            self._connected_at[stream] = ANSWERED
            stream.close_gracefully_and_wait(CALL_TIMEOUT_S)
            self._connected_at.pop(stream, None)

    def _answer(self, line: bytes | None) -> list[str]:
        if line is None:
            return ["ERR the call has no end of line"]
        try:
            call = line.decode("ascii").strip()
        except UnicodeDecodeError:
            return ["ERR the call is not text"]
        if (handler := self._calls.get(call)) is not None:
            return handler()
        if self._handle_line is not None:
            return self._handle_line(call)
        log(LOG, logging.WARNING, "ops-unknown", call=call[:MAX_LOGGED_CHARACTERS])
        return [f"ERR unknown call; there are {', '.join(self._calls)}"]
