"""Timers in a binary heap, ordered by due time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush


class Timer:
    """A call that is due at a later time and can be cancelled until then."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., object], args: tuple[object, ...]) -> None:
        self.callback: Callable[..., object] | None = callback  # None = cancelled
        self.args = args

    def cancel(self) -> None:
        """Prevent the call; no effect once it was made."""
        self.callback = None


class TimerQueue:
    """The pending timers; timers that are due at the same time fire in the order in which they were added."""

    __slots__ = ("_heap", "_sequence")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = 0

    def add(self, due_at: float, callback: Callable[..., object], args: tuple[object, ...]) -> Timer:
        """Add a call that is due at a time of the monotonic clock (s)."""
        timer = Timer(callback, args)
        self._sequence += 1
        heappush(self._heap, (due_at, self._sequence, timer))
        return timer

    def next_due_at(self) -> float | None:
        """Return when the next timer is due, or None; remove the cancelled timers before it."""
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heappop(heap)
        return heap[0][0] if heap else None

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the next timer that is due and not cancelled, or None."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            timer = heappop(heap)[2]
            if timer.callback is not None:
                return timer
        return None
