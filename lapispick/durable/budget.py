"""Which results are evicted when storage runs short; records of keys never are. No I/O, no clock.

A popular or large result must not evict the record of another key: that key could then be executed twice. So records
have a part of the storage that results cannot take, and new keys are rejected once records fill all of it.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

RECORD_BYTES = 200  # of a record without its result, index included; docs/CAPACITY.md
MAX_RESULTS_FRACTION = 0.5  # of the storage


class StorageBudget(msgspec.Struct):
    """How much storage is used, and by what."""

    max_bytes: int
    records: int = 0
    result_bytes: int = 0
    result_sizes: OrderedDict[bytes, int] = msgspec.field(default_factory=OrderedDict)  # the oldest first

    def admits_record(self) -> bool:
        """Tell whether there is capacity for one more record."""
        return (self.records + 1) * RECORD_BYTES <= self.max_bytes

    def add_record(self) -> list[bytes]:
        """Account for a record; return the keys whose results are evicted for it."""
        self.records += 1
        return self._evict()

    def add_result(self, key: bytes, size: int) -> list[bytes] | None:
        """Account for a result of ``size`` bytes; return the keys whose results are evicted for it.

        None: the result is too large itself and is not accounted for.
        """
        if size > self.max_bytes * MAX_RESULTS_FRACTION:
            return None
        self.result_bytes += size - self.result_sizes.pop(key, 0)
        self.result_sizes[key] = size
        return self._evict()

    def remove_record(self, key: bytes) -> None:
        """Release the storage of a key whose window has ended."""
        self.records -= 1
        self.result_bytes -= self.result_sizes.pop(key, 0)

    def _evict(self) -> list[bytes]:
        evicted = []
        limit = min(self.max_bytes * MAX_RESULTS_FRACTION, self.max_bytes - self.records * RECORD_BYTES)
        while self.result_bytes > limit and self.result_sizes:
            key, size = self.result_sizes.popitem(last=False)
            self.result_bytes -= size
            evicted.append(key)
        return evicted
