"""Distinguishes a client's first attempt from a retry by the time left until its deadline on arrival."""

from __future__ import annotations

MAX_ATTEMPTS = 200.0  # the counts are halved when their sum reaches this
BINS = 100  # equal parts of the deadline; jitter stays within two of them
MIN_FIRST_ATTEMPT_FRACTION = 0.1  # of the attempts; a less frequent time left indicates a retry


class AttemptHistory:
    """Frequencies of the time left on arrival, as a fraction of the deadline.

    Clients of one kind send the same time left with their first attempts, so frequent times belong to first attempts.
    Any other time is the rest after an earlier attempt, so the first attempt was made when the whole deadline was left.
    All callers and classes are counted together, as a combination of both may occur only once. Requests of clients that
    send varying times are mistaken for retries, and thus for older than they are.
    """

    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        self._counts = [0.0] * (BINS + 2)
        self._total = 0.0

    def time_since_first_attempt(self, remaining_ms: float, deadline_ms: float) -> float:
        """Record the time left of an attempt; return the ms since the client's first attempt, 0 for a first attempt."""
        bin_index = min(BINS, max(1, round(remaining_ms / deadline_ms * BINS)))
        self._counts[bin_index] += 1
        self._total += 1
        if self._total >= MAX_ATTEMPTS:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        if sum(self._counts[bin_index - 1 : bin_index + 2]) >= MIN_FIRST_ATTEMPT_FRACTION * self._total:
            return 0.0
        return max(0.0, deadline_ms - remaining_ms)
