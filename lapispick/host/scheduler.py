"""An event loop that runs greenlets over ``select.poll``, with timers and queues between greenlets."""

from __future__ import annotations

import logging
import select
import time
from collections import deque
from collections.abc import Callable
from math import ceil
from typing import TYPE_CHECKING, Generic, TypeVar

from greenlet import GreenletExit, getcurrent, greenlet

from lapispick.host.timers import Timer, TimerQueue

READ = select.POLLIN
WRITE = select.POLLOUT
ERROR_EVENTS = select.POLLERR | select.POLLHUP | select.POLLNVAL
MAX_ROUND_S = 0.02  # then the hub polls, even with calls left, so that urgent sockets wait for at most one more call
MIN_STALL_S = 0.05  # shorter delays of the loop are part of its usual operation
DEFAULT_MAX_TOTAL_UNSENT_BYTES = 4 << 20  # of all streams together

if TYPE_CHECKING:
    from typing import TypeVarTuple

    Arguments = TypeVarTuple("Arguments")
    Call = tuple[Callable[..., object], tuple[object, ...]]  # a function and its arguments

Item = TypeVar("Item")


class Waiter:
    """A single wait of one greenlet; only the first ``wake`` has an effect."""

    __slots__ = ("done", "greenlet", "loop", "urgent")

    def __init__(self, loop: EventLoop, urgent: bool = False) -> None:
        self.loop = loop
        self.greenlet = getcurrent()
        self.done = False
        self.urgent = urgent

    def wake(self, value: object = None) -> None:
        """Resume the greenlet in the next round; ``EventLoop.suspend`` returns the value."""
        if not self.done:
            self.done = True
            self.loop.call_soon(self.greenlet.switch, value, urgent=self.urgent)


class ActiveTimer:
    """A call that is due once the active time of a loop has advanced by a duration, and can be cancelled until then."""

    __slots__ = ("_args", "_callback", "_due_at", "_loop", "_timer")

    def __init__(
        self, loop: EventLoop, seconds: float, callback: Callable[..., object], args: tuple[object, ...]
    ) -> None:
        self._loop = loop
        self._callback = callback
        self._args = args
        self._due_at = loop.active_time() + seconds
        self._timer = loop.call_later(seconds, self._check)

    def cancel(self) -> None:
        """Prevent the call; no effect once it was made."""
        self._timer.cancel()

    def _check(self) -> None:
        remaining_s = self._due_at - self._loop.active_time()
        if remaining_s > 0:  # the loop was stalled meanwhile
            self._timer = self._loop.call_later(remaining_s, self._check)
        else:
            self._timer.cancel()  # it refers to this object
            self._callback(*self._args)


class EventLoop:
    """Runs greenlets until it is stopped. The greenlet that creates the loop is its hub; only the hub polls."""

    def __init__(self, max_unsent_bytes: int = DEFAULT_MAX_TOTAL_UNSENT_BYTES) -> None:
        self.max_unsent_bytes = max_unsent_bytes  # of all streams together
        self._hub = getcurrent()
        self._poll = select.poll()
        self._ready_calls: deque[Call] = deque()
        self._urgent_calls: deque[Call] = deque()  # made before the ready calls, in the order in which they were added
        self._timers = TimerQueue()
        self._io_waiters: dict[int, dict[int, Waiter]] = {}  # by file descriptor, then by poll event
        self._stopped = False
        self.unsent_bytes = 0  # of all streams together
        self._active_time = self._polled_at = time.monotonic()

    def active_time(self) -> float:
        """Return the time (s) of the last poll, on a clock that stands still while this process can't read.

        That is while the process or its machine is paused, and while one step keeps the loop from polling. A limit on
        how long a peer may take is measured on this clock. Of a pause that begins while the loop waits, the part up to
        the next due timer is not noticed.
        """
        return self._active_time

    def call_soon(self, callback: Callable[[*Arguments], object], *args: *Arguments, urgent: bool = False) -> None:
        """Call a function from the hub in the next round; urgent calls are made before all others."""
        calls = self._urgent_calls if urgent else self._ready_calls
        calls.append((callback, args))

    def call_later(self, seconds: float, callback: Callable[[*Arguments], object], *args: *Arguments) -> Timer:
        """Call a function from the hub after a delay (s)."""
        return self._timers.add(time.monotonic() + seconds, callback, args)

    def call_later_active(
        self, seconds: float, callback: Callable[[*Arguments], object], *args: *Arguments
    ) -> ActiveTimer:
        """Call a function from the hub once the active time has advanced by a duration (s)."""
        return ActiveTimer(self, seconds, callback, args)

    def spawn(self, callback: Callable[[*Arguments], object], *args: *Arguments, urgent: bool = False) -> greenlet:
        """Run a function in a new greenlet."""
        task = greenlet(self._run_greenlet, self._hub)
        self.call_soon(task.switch, callback, *args, urgent=urgent)
        return task

    def kill(self, task: greenlet) -> None:
        """End a greenlet by raising ``GreenletExit`` at the point where it waits."""
        self.call_soon(lambda: task.dead or task.throw(GreenletExit))

    def _run_greenlet(self, callback: Callable[[*Arguments], object], *args: *Arguments) -> None:
        # An exception that is not caught here would be raised in the hub and end all other greenlets.
        try:
            callback(*args)
        except GreenletExit:
            pass
        except Exception:
            logging.getLogger("loop").exception("greenlet-failed", extra={"pairs": {"in": callback.__qualname__}})

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet for a time (s)."""
        self.suspend(Waiter(self), seconds)

    def yield_control(self) -> None:
        """Let all other greenlets that are ready run before the calling one continues."""
        waiter = Waiter(self)
        waiter.wake()
        self.suspend(waiter)

    def suspend(self, waiter: Waiter, timeout: float | None = None) -> object:
        """Wait until the waiter is woken and return the value passed to ``wake``, or None after the timeout (s)."""
        return self._suspend(None if timeout is None else self.call_later(timeout, waiter.wake), waiter)

    def _suspend(self, timer: Timer | ActiveTimer | None, waiter: Waiter) -> object:
        try:
            return self._hub.switch()
        finally:
            waiter.done = True
            if timer is not None:
                timer.cancel()

    def wait_for_io(self, fd: int, event: int, timeout: float | None = None, urgent: bool = False) -> bool:
        """Wait until a descriptor can be read or written; return False after the timeout or a cancellation.

        The timeout (s) is measured on the clock of ``active_time``.
        """
        waiters = self._io_waiters.setdefault(fd, {})
        waiters[event] = waiter = Waiter(self, urgent)
        self._poll.register(fd, sum(waiters))
        try:
            timer = None if timeout is None else self.call_later_active(timeout, waiter.wake)
            return bool(self._suspend(timer, waiter))
        finally:
            if self._io_waiters.get(fd) is waiters and waiters.get(event) is waiter:
                del waiters[event]
                if waiters:
                    self._poll.register(fd, sum(waiters))
                else:
                    self._unregister(fd)

    def _unregister(self, fd: int) -> None:
        del self._io_waiters[fd]
        self._poll.unregister(fd)

    def cancel_io_waits(self, fd: int) -> None:
        """Wake all greenlets that wait for a descriptor; must be called before the descriptor is closed."""
        if fd in self._io_waiters:
            for waiter in self._io_waiters[fd].values():
                waiter.wake(False)
            self._unregister(fd)

    def stop(self) -> None:
        """Make ``run`` return after the present round."""
        self._stopped = True

    def run(self) -> None:
        """Poll for events and switch to greenlets until the loop is stopped."""
        self._polled_at = time.monotonic()
        while not self._stopped:
            for _ in range(len(self._urgent_calls)):
                self._call(*self._urgent_calls.popleft())
            round_end = time.monotonic() + MAX_ROUND_S
            for _ in range(len(self._ready_calls)):
                self._call(*self._ready_calls.popleft())
                if time.monotonic() > round_end:  # the remaining calls precede what the poll adds, except urgent calls
                    break
            timeout_ms = self._poll_timeout_ms()
            ready = self._poll.poll(timeout_ms)
            now = time.monotonic()
            self._advance_active_time(now, timeout_ms)
            for fd, events in ready:
                for event, waiter in list(self._io_waiters.get(fd, {}).items()):
                    if events & (event | ERROR_EVENTS):
                        waiter.wake(True)
            while (timer := self._timers.pop_due(now)) is not None:
                self._call(timer.callback, timer.args)

    def _advance_active_time(self, now: float, timeout_ms: int | None) -> None:
        """Add the time since the last poll, or only the wait that was asked for if the loop was stalled."""
        elapsed_s = now - self._polled_at
        self._polled_at = now
        if timeout_ms is not None and elapsed_s > timeout_ms / 1000 + MIN_STALL_S:
            elapsed_s = timeout_ms / 1000
        self._active_time += elapsed_s

    def _call(self, callback: Callable[..., object], args: tuple[object, ...]) -> None:
        try:
            callback(*args)
        except Exception:  # an exception that is not caught here would end all greenlets
            logging.getLogger("loop").exception("call-failed", extra={"pairs": {"in": str(callback)}})

    def _poll_timeout_ms(self) -> int | None:
        """Return how long the hub may wait in the poll (ms), or None for no limit."""
        if self._ready_calls or self._urgent_calls or self._stopped:
            return 0
        due_at = self._timers.next_due_at()
        if due_at is None:
            return None
        return max(0, ceil((due_at - time.monotonic()) * 1000))


class Queue(Generic[Item]):
    """An unbounded queue with one consumer greenlet, which takes all queued items at once."""

    __slots__ = ("_items", "_loop", "_waiter")

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._items: list[Item] = []
        self._waiter: Waiter | None = None

    def put(self, item: Item) -> None:
        """Add an item without blocking."""
        self._items.append(item)
        if self._waiter is not None:
            self._waiter.wake()

    def take_all(self) -> list[Item]:
        """Wait until the queue is not empty, then remove and return all items in order."""
        if not self._items:
            self._waiter = Waiter(self._loop)
            try:
                self._loop.suspend(self._waiter)
            finally:
                self._waiter = None
        items, self._items = self._items, []
        return items
