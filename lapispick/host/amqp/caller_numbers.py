"""Caller numbers of queues, from a range that gateways do not use."""

from __future__ import annotations

from heapq import heappop, heappush

FIRST_QUEUE_NUMBER = 1_000_000  # above the numbers that gateways use


class CallerNumbers:
    """Allocator of caller numbers: a queue keeps its number while its broker is listed, then the number is reused."""

    def __init__(self) -> None:
        self._numbers: dict[tuple[str, str], int] = {}  # by (broker key, queue name)
        self._free_numbers: list[int] = []  # a heap

    def get(self, broker_key: str, queue_name: str) -> int:
        """Return the number of a queue; allocate one at the first call."""
        number = self._numbers.get((broker_key, queue_name))
        if number is None:
            number = heappop(self._free_numbers) if self._free_numbers else FIRST_QUEUE_NUMBER + len(self._numbers)
            self._numbers[broker_key, queue_name] = number
        return number

    def release(self, broker_key: str) -> None:
        """Free the numbers of a broker's queues for reuse."""
        for queue_key in [queue_key for queue_key in self._numbers if queue_key[0] == broker_key]:
            heappush(self._free_numbers, self._numbers.pop(queue_key))
