"""Numbers of queues as callers, apart from the numbers of gateways."""

from __future__ import annotations

from heapq import heappop, heappush

FIRST_NUMBER = 1_000_000  # above the numbers that gateways use


class CallerNumbers:
    """Gives each queue a number that stays the same while its broker is listed, and is used again afterwards."""

    def __init__(self) -> None:
        self._numbers: dict[tuple[str, str], int] = {}  # by the key of the broker and the name of the queue
        self._free: list[int] = []  # a heap

    def get(self, broker_key: str, queue_name: str) -> int:
        """Return the number of a queue."""
        number = self._numbers.get((broker_key, queue_name))
        if number is None:
            number = heappop(self._free) if self._free else FIRST_NUMBER + len(self._numbers)
            self._numbers[broker_key, queue_name] = number
        return number

    def release(self, broker_key: str) -> None:
        """Let the numbers of a broker's queues be used again."""
        for pair in [pair for pair in self._numbers if pair[0] == broker_key]:
            heappush(self._free, self._numbers.pop(pair))
