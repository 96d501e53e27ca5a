"""The operators' address: one line in, one answer out, and a close. It decides nothing.

Its sockets go first in every round of the loop, so an answer waits for the turn that is under way and no more.
Callers that say nothing cost a descriptor for a short while; past the bound the longest silent one makes room.
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
LONGEST = 128  # bytes of one call
CALL_S = 2.0  # s; for a whole call to come and for its answer to be read
OUT_MOST = 64 * 1024  # bytes of one answer
BACKLOG = 64

Call = Callable[[], list[str]]
Worded = Callable[[str], list[str]]  # takes the whole line of a call that has words behind it


class Operators:
    """Listens for operators and answers each call from the table that it is given."""

    def __init__(
        self, loop: EventLoop, listen: tuple[str, int], most: int, calls: dict[str, Call], worded: Worded | None = None
    ) -> None:
        self._loop, self._most, self._calls, self._worded = loop, most, calls, worded
        self._open: dict[Stream, float] = {}  # with the time when each came; 0 = it has its answer
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(listen)
        self._sock.listen(BACKLOG)
        self.address = "{}:{}".format(*self._sock.getsockname()[:2])

    def answers(self, calls: dict[str, Call], worded: Worded) -> None:
        """Answer further calls."""
        self._calls, self._worded = {**self._calls, **calls}, worded

    def serve(self) -> None:
        """Accept callers for ever."""
        while True:
            if not self._loop.wait_for_io(self._sock.fileno(), READ, urgent=True):
                continue
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                continue
            except OSError as err:  # out of descriptors, say
                log(LOG, logging.ERROR, "ops-accept-failed", error=err)
                if not self._make_room():
                    self._loop.sleep(0.05)
                continue
            if len(self._open) >= self._most:
                self._make_room()
            stream = Stream(self._loop, sock, LONGEST, OUT_MOST, LONGEST * 2, urgent=True)
            self._open[stream] = time.monotonic()
            self._loop.spawn(self._talk, stream, urgent=True)

    def _make_room(self) -> bool:
        """Close whoever has had an answer, or has been silent for longest."""
        if not self._open:
            return False
        oldest = min(self._open, key=self._open.__getitem__)
        self._open.pop(oldest)
        oldest.close()
        return True

    def _talk(self, stream: Stream) -> None:
        watch = self._loop.call_later(CALL_S, stream.close)
        try:
            line = stream.read_line()
            if stream.closed:
                return
            stream.write("\n".join([*self._answer(line), ""]).encode())
        except LineTooLongError:
            stream.write(f"ERR a call has at most {LONGEST} bytes\n".encode())
        finally:
            watch.cancel()
            self._open[stream] = 0.0  # it has its answer, and makes room before all who have none
            stream.close_gracefully_and_wait(CALL_S)
            self._open.pop(stream, None)

    def _answer(self, line: bytes | None) -> list[str]:
        if line is None:
            return ["ERR the call has no end of line"]
        try:
            word = line.decode("ascii").strip()
        except UnicodeDecodeError:
            return ["ERR the call is not text"]
        if (call := self._calls.get(word)) is None and self._worded is not None:
            return self._worded(word)
        if call is None:
            log(LOG, logging.WARNING, "ops-unknown", call=word[:40])
            return [f"ERR unknown call; there are {', '.join(self._calls)}"]
        return call()
