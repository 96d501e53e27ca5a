"""Storage budget of idempotency records: evicts results when storage runs short, never records. No I/O, no clock.

Evicting the record of a key would allow a second execution of that key. So a part of the storage is reserved for
records, however many or large the results are, and new keys are rejected once records fill the whole storage.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

RECORD_BYTES = 200  # size of a record without its result, including the index; see docs/CAPACITY.md
MAX_RESULTS_FRACTION = 0.5  # share of the storage that results may use


class StorageBudget(msgspec.Struct):
    """Storage used by records and by results."""

    max_bytes: int
    record_count: int = 0
    result_bytes: int = 0
    result_sizes: OrderedDict[bytes, int] = msgspec.field(default_factory=OrderedDict)  # by key, oldest first

    def admits_record(self) -> bool:
        """Return True if there is space for one more record."""
        return (self.record_count + 1) * RECORD_BYTES <= self.max_bytes

    def add_record(self) -> list[bytes]:
        """Account for a new record; return the keys whose results are evicted to make space."""
        self.record_count += 1
        return self._evict()

    def add_result(self, key: bytes, size: int) -> list[bytes] | None:
        """Account for a result of ``size`` bytes; return the keys whose results are evicted to make space.

        Returns None if the result alone exceeds the limit of all results; it is then not accounted for.
        """
        if size > self.max_bytes * MAX_RESULTS_FRACTION:
            return None
        self.result_bytes += size - self.result_sizes.pop(key, 0)
        self.result_sizes[key] = size
        return self._evict()

    def remove_record(self, key: bytes) -> None:
        """Release the storage of a key whose idempotency window has ended."""
        self.record_count -= 1
        self.result_bytes -= self.result_sizes.pop(key, 0)

    def _evict(self) -> list[bytes]:
        evicted = []
        limit = min(self.max_bytes * MAX_RESULTS_FRACTION, self.max_bytes - self.record_count * RECORD_BYTES)
        while self.result_bytes > limit and self.result_sizes:
            key, size = self.result_sizes.popitem(last=False)
            self.result_bytes -= size
            evicted.append(key)
        return evicted
