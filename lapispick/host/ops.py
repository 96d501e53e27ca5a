"""Server at the operators' address: a caller sends one line, receives one answer, and the connection is closed.

Its sockets have priority in every round of the event loop, so that an answer waits only for the current callback.
Callers that send nothing occupy a descriptor only for a short time; beyond the limit, the connection that has been
silent for longest is closed.
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
CALL_TIMEOUT_S = 2.0  # for receiving a complete call, and the same again for the caller to read the answer
ACCEPT_RETRY_S = 0.05
LISTEN_BACKLOG = 1024  # a connection beyond it is delayed by 1 s, until its SYN is sent again
MAX_LOGGED_CHARACTERS = 40  # of an unknown call
ANSWERED = 0.0  # replaces the time of connection once a call is answered, so that it counts as the oldest

CallHandler = Callable[[], list[str]]
LineHandler = Callable[[str], list[str]]  # takes the complete line of a call with arguments


class OperatorServer:
    """Server that answers each operators' call by its handler."""

    def __init__(
        self,
        loop: EventLoop,
        listen: tuple[str, int],
        max_connections: int,
        calls: dict[str, CallHandler],
        handle_line: LineHandler | None = None,
    ) -> None:
        """Open the listener; raises ``OSError``. ``handle_line`` answers all lines that are not in ``calls``."""
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
        """Answer these calls too, and all other lines by ``handle_line``."""
        self._calls = {**self._calls, **calls}
        self._handle_line = handle_line

    def serve(self) -> None:
        """Accept callers until the process ends."""
        while True:
            if self._loop.wait_for_io(self._sock.fileno(), READ, urgent=True):
                self._accept_callers()

    def _accept_callers(self) -> None:
        """Accept pending connections, at most as many as may be open at once."""
        for _ in range(self._max_connections):
            if len(self._connected_at) >= self._max_connections and not self._close_oldest():
                return  # all callers have sent something, which is read first
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as err:  # for example, no descriptor is free
                log(LOG, logging.ERROR, "ops-accept-failed", error=err)
                if not self._close_oldest():
                    self._loop.sleep(ACCEPT_RETRY_S)
                return
            stream = Stream(self._loop, sock, MAX_CALL_BYTES, MAX_ANSWER_BYTES, MAX_CALL_BYTES * 2, urgent=True)
            self._connected_at[stream] = time.monotonic()
            self._loop.spawn(self._serve_caller, stream, urgent=True)

    def _close_oldest(self) -> bool:
        """Close a caller that was answered, else the one silent for longest; return False if there is none.

        A caller stays open if it sent a call that is not answered yet, or input that is not read and may be a call.
        """
        for caller in sorted(self._connected_at, key=self._connected_at.__getitem__):
            is_answered = self._connected_at[caller] == ANSWERED
            if is_answered or not (caller.has_line() or caller.has_pending_input()):
                self._connected_at.pop(caller)
                caller.close()
                return True
        return False

    def _serve_caller(self, stream: Stream) -> None:
        timer = self._loop.call_later_active(CALL_TIMEOUT_S, stream.close)
        try:
            line = stream.read_line()
            if stream.closed:
                return
            stream.write("\n".join([*self._answer(line), ""]).encode())
        except LineTooLongError:
            stream.write(f"ERR expected a call of at most {MAX_CALL_BYTES} bytes, got more\n".encode())
        finally:
            timer.cancel()
            self._connected_at[stream] = ANSWERED
            stream.close_gracefully_and_wait(CALL_TIMEOUT_S)
            self._connected_at.pop(stream, None)

    def _answer(self, line: bytes | None) -> list[str]:
        if line is None:
            return ["ERR expected a call that ends with a line feed, got none"]
        try:
            call = line.decode("ascii").strip()
        except UnicodeDecodeError:
            return ["ERR expected a call in ASCII, got other bytes"]
        if (handler := self._calls.get(call)) is not None:
            return handler()
        if self._handle_line is not None:
            return self._handle_line(call)
        log(LOG, logging.WARNING, "ops-unknown", call=call[:MAX_LOGGED_CHARACTERS])
        return [f"ERR expected one of {', '.join(self._calls)}; got another call"]
