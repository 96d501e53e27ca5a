"""Runs blocking jobs (disk access, name look-ups, process starts) in threads while greenlets wait for the results.

A thread puts its result into a queue and wakes the event loop by a byte on a socket; nothing else is shared.
"""

from __future__ import annotations

import queue
import socket
import threading
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar, cast

from lapispick.host.errors import HostError
from lapispick.host.scheduler import READ, EventLoop, Waiter

MAX_WAITING_JOBS = 64
T = TypeVar("T")
if TYPE_CHECKING:
    from typing import TypeVarTuple

    Arguments = TypeVarTuple("Arguments")


class TooManyJobsError(HostError):
    """Too many jobs are waiting."""


class WorkerThreads:
    """A pool of threads. With one, the default, jobs are done in the order in which they were requested."""

    def __init__(self, loop: EventLoop, threads: int = 1, max_waiting: int = MAX_WAITING_JOBS) -> None:
        self._loop = loop
        self._last_job = 0
        self._jobs: queue.Queue[tuple[int, Callable[[], object]]] = queue.Queue(max_waiting)
        self._done: deque[tuple[int, object, BaseException | None]] = deque()
        self._waiters: dict[int, Waiter] = {}
        self._wake_receiver, self._wake_sender = socket.socketpair()
        for end in (self._wake_receiver, self._wake_sender):
            end.setblocking(False)
        for _ in range(threads):
            threading.Thread(target=self._work, daemon=True).start()
        loop.spawn(self._serve)

    def run(self, job: Callable[[*Arguments], T], *args: *Arguments, timeout: float | None = None) -> T:
        """Run a job and return its result, or raise its exception; other greenlets run meanwhile.

        Raises ``TooManyJobsError`` if too many wait, and ``TimeoutError`` after a timeout (s), which does not end the
        job.
        """
        self._last_job += 1
        number = self._last_job
        try:
            self._jobs.put_nowait((number, lambda: job(*args)))
        except queue.Full:
            raise TooManyJobsError(f"{self._jobs.maxsize} others wait") from None
        waiter = self._waiters[number] = Waiter(self._loop)
        try:
            outcome = cast("tuple[T, BaseException | None] | None", self._loop.suspend(waiter, timeout))
        finally:
            del self._waiters[number]
        if outcome is None:
            raise TimeoutError
        result, error = outcome
        if error is not None:
            raise error
        return result

    def _serve(self) -> None:
        while True:
            self._loop.wait_for_io(self._wake_receiver.fileno(), READ)
            try:
                self._wake_receiver.recv(4096)
            except BlockingIOError:
                continue
            while self._done:
                number, result, error = self._done.popleft()
                if (waiter := self._waiters.get(number)) is not None:
                    waiter.wake((result, error))

    # In the threads: only the two queues and the sending socket are used here.

    def _work(self) -> None:
        while True:
            number, job = self._jobs.get()
            try:
                self._done.append((number, job(), None))
            except BaseException as err:  # noqa: BLE001 - raised again where the result is awaited
                self._done.append((number, None, err))
            try:
                self._wake_sender.send(b"\0")
            except BlockingIOError:
                pass  # the socket is full, so that the loop is awake anyway
            except OSError:
                return
