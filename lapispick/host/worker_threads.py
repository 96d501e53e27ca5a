"""A thread pool for blocking jobs (disk access, name lookups, process starts); greenlets wait for the results.

Threads take jobs from a queue, put results into another queue, and wake the event loop by a byte on a socket. They
share nothing else with the loop.
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
    """A job was not accepted, as the queue of waiting jobs is full."""


class WorkerThreads:
    """A pool of threads. A single thread, which is the default, runs the jobs in the order in which they were added."""

    def __init__(self, loop: EventLoop, threads: int = 1, max_waiting: int = MAX_WAITING_JOBS) -> None:
        self._loop = loop
        self._last_job_number = 0
        self._jobs: queue.Queue[tuple[int, Callable[[], object]]] = queue.Queue(max_waiting)
        self._results: deque[tuple[int, object, BaseException | None]] = deque()
        self._waiters: dict[int, Waiter] = {}  # by job number
        self._wake_receiver, self._wake_sender = socket.socketpair()
        for sock in (self._wake_receiver, self._wake_sender):
            sock.setblocking(False)
        for _ in range(threads):
            threading.Thread(target=self._run_jobs, daemon=True).start()
        loop.spawn(self._deliver_results)

    def run(self, job: Callable[[*Arguments], T], *args: *Arguments, timeout: float | None = None) -> T:
        """Run a job in a thread and wait for it; return its result or raise its exception.

        Raises ``TooManyJobsError`` if the queue of waiting jobs is full, and ``TimeoutError`` after a timeout (s). A
        timeout does not end the job.
        """
        self._last_job_number += 1
        job_number = self._last_job_number
        try:
            self._jobs.put_nowait((job_number, lambda: job(*args)))
        except queue.Full:
            raise TooManyJobsError(f"the queue is full with {self._jobs.maxsize} waiting jobs") from None
        waiter = self._waiters[job_number] = Waiter(self._loop)
        try:
            outcome = cast("tuple[T, BaseException | None] | None", self._loop.suspend(waiter, timeout))
        finally:
            del self._waiters[job_number]
        if outcome is None:
            raise TimeoutError
        result, error = outcome
        if error is not None:
            raise error
        return result

    def _deliver_results(self) -> None:
        while True:
            self._loop.wait_for_io(self._wake_receiver.fileno(), READ)
            try:
                self._wake_receiver.recv(4096)
            except BlockingIOError:
                continue
            while self._results:
                job_number, result, error = self._results.popleft()
                if (waiter := self._waiters.get(job_number)) is not None:
                    waiter.wake((result, error))

    # Runs in the threads, and uses only the two queues and the sending socket.

    def _run_jobs(self) -> None:
        while True:
            job_number, job = self._jobs.get()
            try:
                self._results.append((job_number, job(), None))
            except BaseException as err:  # noqa: BLE001 - raised again in the greenlet that waits for the result
                self._results.append((job_number, None, err))
            try:
                self._wake_sender.send(b"\0")
            except BlockingIOError:
                pass  # the socket's buffer is full, so the loop will read it and see the result
            except OSError:
                return
