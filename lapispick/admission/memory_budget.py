"""The memory that requests and idempotency keys take, counted before it is used."""

from __future__ import annotations

from lapispick.admission.idempotency_keys import IdempotencyTable
from lapispick.admission.request_state import COALESCED, QUEUED, TrackedRequest
from lapispick.admission.settings import Settings

MAX_MEMORY_FRACTION = 0.92  # the rest is for what is read meanwhile


class MemoryBudget:
    """Memory in KB by requests in flight here, with another process's and that of retained keys."""

    __slots__ = ("_available_kb", "_key_kb", "_keys", "_run_factor", "peer_kb", "used_kb")

    def __init__(self, settings: Settings, keys: IdempotencyTable) -> None:
        self._keys = keys
        self._available_kb = MAX_MEMORY_FRACTION * settings.memory_kb
        self._key_kb = settings.key_memory_kb
        self._run_factor = settings.run_memory_factor
        self.used_kb = 0.0
        self.peer_kb = 0.0  # of another process of this server

    def fits(self, more_kb: float) -> bool:
        """Tell whether this much more stays within the budget."""
        requests_kb = self.used_kb + self.peer_kb + more_kb
        return (requests_kb + self._key_kb * self._keys.retained_count) / self._available_kb <= 1

    def reserve(self, request: TrackedRequest) -> None:
        """Reserve the memory of a request that was read, also beyond the budget."""
        self.used_kb += request.memory_kb

    def reserve_run(self, request: TrackedRequest) -> bool:
        """Reserve what a queued request takes in addition once it runs; False where that does not fit."""
        run_kb = request.memory_kb * (self._run_factor - 1)
        if not self.fits(run_kb):
            return False
        self.used_kb += run_kb
        return True

    def release(self, request: TrackedRequest) -> None:
        """Give back what a request takes in its present state."""
        state = request.state
        never_ran = state is QUEUED or state is COALESCED
        self.used_kb -= request.memory_kb * (1.0 if never_ran else self._run_factor)
