"""The memory of requests and idempotency keys, reserved before it is used."""

from __future__ import annotations

from lapispick.admission.idempotency_keys import IdempotencyTable
from lapispick.admission.request_state import COALESCED, QUEUED, TrackedRequest
from lapispick.admission.settings import Settings

MAX_MEMORY_FRACTION = 0.92  # of the memory; the rest is for requests that are read in the meantime


class MemoryBudget:
    """Memory in KB of the requests in flight in this and another process of this server, and of retained keys."""

    __slots__ = ("_available_kb", "_key_kb", "_keys", "_run_factor", "peer_kb", "used_kb")

    def __init__(self, settings: Settings, keys: IdempotencyTable) -> None:
        self._keys = keys
        self._available_kb = MAX_MEMORY_FRACTION * settings.memory_kb
        self._key_kb = settings.key_memory_kb
        self._run_factor = settings.run_memory_factor
        self.used_kb = 0.0
        self.peer_kb = 0.0  # of the requests in another process of this server

    def fits(self, additional_kb: float) -> bool:
        """Return True if this much additional memory stays within the budget."""
        requests_kb = self.used_kb + self.peer_kb + additional_kb
        return (requests_kb + self._key_kb * self._keys.retained_count) / self._available_kb <= 1

    def reserve(self, request: TrackedRequest) -> None:
        """Reserve the memory of a request that was read, even beyond the budget."""
        self.used_kb += request.memory_kb

    def reserve_run(self, request: TrackedRequest) -> bool:
        """Reserve the additional memory that a queued request needs to run; return False if it does not fit."""
        run_kb = request.memory_kb * (self._run_factor - 1)
        if not self.fits(run_kb):
            return False
        self.used_kb += run_kb
        return True

    def release(self, request: TrackedRequest) -> None:
        """Release the memory that a request takes in its current state."""
        state = request.state
        never_ran = state is QUEUED or state is COALESCED
        self.used_kb -= request.memory_kb * (1.0 if never_ran else self._run_factor)
