"""The scheduler: greenlets over ``select.poll``, with timers and queues between greenlets."""

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
MAX_ROUND_S = 0.02  # after this the hub polls again, so that urgent sockets wait for one call at most
DEFAULT_MAX_UNSENT_BYTES = 4 << 20  # for all slow readers together

if TYPE_CHECKING:
    from typing import TypeVarTuple

    Arguments = TypeVarTuple("Arguments")
    Call = tuple[Callable[..., object], tuple[object, ...]]  # a function and its arguments

Item = TypeVar("Item")


class Waiter:
    """One wait of one greenlet; only the first ``wake`` has an effect."""

    __slots__ = ("done", "greenlet", "loop", "urgent")

    def __init__(self, loop: EventLoop, urgent: bool = False) -> None:
        self.loop = loop
        self.greenlet = getcurrent()
        self.done = False
        self.urgent = urgent

    def wake(self, value: object = None) -> None:
        """Resume the greenlet with this value in the next round."""
        if not self.done:
            self.done = True
            self.loop.call_soon(self.greenlet.switch, value, urgent=self.urgent)


class EventLoop:
    """Runs greenlets until stopped. Its hub is the greenlet that created it; only the hub polls."""

    def __init__(self, max_unsent_bytes: int = DEFAULT_MAX_UNSENT_BYTES) -> None:
        self.max_unsent_bytes = max_unsent_bytes
        self._hub = getcurrent()
        self._poll = select.poll()
        self._ready: deque[Call] = deque()
        self._urgent: deque[Call] = deque()  # called before all others, in their order
        self._timers = TimerQueue()
        self._waits: dict[int, dict[int, Waiter]] = {}  # by descriptor and event
        self._stopped = False
        self.unsent_bytes = 0  # of all streams together

    def call_soon(self, callback: Callable[[*Arguments], object], *args: *Arguments, urgent: bool = False) -> None:
        """Call a function from the hub in the next round; urgent ones come before all others in it."""
        calls = self._urgent if urgent else self._ready
        calls.append((callback, args))

    def call_later(self, seconds: float, callback: Callable[[*Arguments], object], *args: *Arguments) -> Timer:
        """Call a function from the hub after a time (s)."""
        return self._timers.add(time.monotonic() + seconds, callback, args)

    def spawn(self, callback: Callable[[*Arguments], object], *args: *Arguments, urgent: bool = False) -> greenlet:
        """Run a function in a greenlet of its own."""
        task = greenlet(self._guarded, self._hub)
        self.call_soon(task.switch, callback, *args, urgent=urgent)
        return task

    def kill(self, task: greenlet) -> None:
        """Raise ``GreenletExit`` in a greenlet where it waits."""
        self.call_soon(lambda: task.dead or task.throw(GreenletExit))

    def _guarded(self, callback: Callable[[*Arguments], object], *args: *Arguments) -> None:
        # An exception that is not caught here would end the hub, and with it all other greenlets.
        try:
            callback(*args)
        except GreenletExit:
            pass
        except Exception:
            logging.getLogger("loop").exception("greenlet-failed", extra={"pairs": {"in": callback.__qualname__}})

    def sleep(self, seconds: float) -> None:
        """Wait for a time (s)."""
        self.suspend(Waiter(self), seconds)

    def yield_control(self) -> None:
        """Let all other greenlets that are ready run first."""
        waiter = Waiter(self)
        waiter.wake()
        self.suspend(waiter)

    def suspend(self, waiter: Waiter, timeout: float | None = None) -> object:
        """Wait until the waiter is woken and return its value; None after the timeout (s)."""
        timer = None if timeout is None else self.call_later(timeout, waiter.wake)
        try:
            return self._hub.switch()
        finally:
            waiter.done = True
            if timer is not None:
                timer.cancel()

    def wait_for_io(self, fd: int, event: int, timeout: float | None = None, urgent: bool = False) -> bool:
        """Wait until a descriptor can be read or written; False after the timeout (s) or when cancelled."""
        waits = self._waits.setdefault(fd, {})
        waits[event] = waiter = Waiter(self, urgent)
        self._poll.register(fd, sum(waits))
        try:
            return bool(self.suspend(waiter, timeout))
        finally:
            if self._waits.get(fd) is waits and waits.get(event) is waiter:
                del waits[event]
                if waits:
                    self._poll.register(fd, sum(waits))
                else:
                    self._unregister(fd)

    def _unregister(self, fd: int) -> None:
        del self._waits[fd]
        self._poll.unregister(fd)

    def cancel_io_waits(self, fd: int) -> None:
        """Wake all greenlets that wait for a descriptor, which is about to be closed."""
        if fd in self._waits:
            for waiter in self._waits[fd].values():
                waiter.wake(False)
            self._unregister(fd)

    def stop(self) -> None:
        """Make ``run`` return after this round."""
        self._stopped = True

    def run(self) -> None:
        """Poll and switch to greenlets until stopped."""
        while not self._stopped:
            for _ in range(len(self._urgent)):
                self._call(*self._urgent.popleft())
            round_end = time.monotonic() + MAX_ROUND_S
            for _ in range(len(self._ready)):
                self._call(*self._ready.popleft())
                if time.monotonic() > round_end:  # the rest stays ahead of what the poll adds, except urgent calls
                    break
            for fd, events in self._poll.poll(self._poll_timeout_ms()):
                for event, waiter in list(self._waits.get(fd, {}).items()):
                    if events & (event | ERROR_EVENTS):
                        waiter.wake(True)
            now = time.monotonic()
            while (timer := self._timers.pop_due(now)) is not None:
                self._call(timer.callback, timer.args)

    def _call(self, callback: Callable[..., object], args: tuple[object, ...]) -> None:
        try:
            callback(*args)
        except Exception:  # one that is not caught here would end all greenlets
            logging.getLogger("loop").exception("call-failed", extra={"pairs": {"in": str(callback)}})

    def _poll_timeout_ms(self) -> int | None:
        """Return how many milliseconds the hub may sleep."""
        if self._ready or self._urgent or self._stopped:
            return 0
        due_at = self._timers.next_due_at()
        if due_at is None:
            return None
        return max(0, ceil((due_at - time.monotonic()) * 1000))


class Queue(Generic[Item]):
    """An unbounded queue for one consumer greenlet, which takes all waiting items at once."""

    __slots__ = ("_items", "_loop", "_waiter")

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._items: list[Item] = []
        self._waiter: Waiter | None = None

    def put(self, item: Item) -> None:
        """Add an item; it never blocks."""
        self._items.append(item)
        if self._waiter is not None:
            self._waiter.wake()

    def take_all(self) -> list[Item]:
        """Wait for items and return them in order."""
        if not self._items:
            self._waiter = Waiter(self._loop)
            try:
                self._loop.suspend(self._waiter)
            finally:
                self._waiter = None
        items, self._items = self._items, []
        return items
