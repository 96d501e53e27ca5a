"""Runs what blocks (disks, look-ups, starts of processes) in threads and hands results to the greenlets that wait.

A thread puts what it made into a queue of its own and wakes the loop by a byte; nothing else is shared.
"""

from __future__ import annotations

import queue
import socket
import threading
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

from lapispick.host.scheduler import READ, EventLoop, Waiter

WAITING_MOST = 64  # jobs
T = TypeVar("T")


class Busy(Exception):
    """Too many jobs wait already."""


class Work:
    """Threads, by default one: then jobs are done in the order in which they were asked for."""

    def __init__(self, loop: EventLoop, threads: int = 1, most: int = WAITING_MOST) -> None:
        self._loop, self._last = loop, 0
        self._jobs: queue.Queue[tuple[int, Callable[[], Any]]] = queue.Queue(most)
        self._done: deque[tuple[int, Any, BaseException | None]] = deque()
        self._waiters: dict[int, Waiter] = {}
        self._told, self._tell = socket.socketpair()
        for end in (self._told, self._tell):
            end.setblocking(False)
        for _ in range(threads):
            threading.Thread(target=self._work, daemon=True).start()
        loop.spawn(self._serve)

    def do(self, job: Callable[..., T], *args: Any, timeout: float | None = None) -> T:
        """Do a job and return what it does, or raise what it raises; others have their turn meanwhile.

        Raises ``Busy`` where too many wait, and ``TimeoutError`` after a timeout in s; the job itself goes on.
        """
        self._last += 1
        number = self._last
        try:
            self._jobs.put_nowait((number, lambda: job(*args)))
        except queue.Full:
            raise Busy(f"{self._jobs.maxsize} others wait") from None
        waiter = self._waiters[number] = Waiter(self._loop)
        try:
            answer = self._loop.suspend(waiter, timeout)
        finally:
            del self._waiters[number]
        if answer is None:
            raise TimeoutError
        made, fault = answer
        if fault is not None:
            raise fault
        return made

    def _serve(self) -> None:
        while True:
            self._loop.wait_for_io(self._told.fileno(), READ)
            try:
                self._told.recv(4096)
            except BlockingIOError:
                continue
            while self._done:
                number, made, fault = self._done.popleft()
                if (waiter := self._waiters.get(number)) is not None:
                    waiter.wake((made, fault))

    # In the thread: only the two queues and the wake-up are touched from here.

    def _work(self) -> None:
        while True:
            number, job = self._jobs.get()
            try:
                self._done.append((number, job(), None))
            except BaseException as err:
                self._done.append((number, None, err))
            try:
                self._tell.send(b"\0")
            except BlockingIOError:
                pass  # full: the loop is awake anyway
            except OSError:
                return
