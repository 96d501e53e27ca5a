"""The time that attempts have left when they arrive, to distinguish a client's first attempt from a retry."""

from __future__ import annotations

MAX_ATTEMPTS = 200.0  # the counts are halved when they add up to this
BINS = 100  # of the deadline; jitter stays within two of them
MIN_FIRST_ATTEMPT_FRACTION = 0.1  # of the attempts; a time left that fewer come with is a retry's


class AttemptHistory:
    """The times left of first attempts, as fractions of the deadline: clients of one kind state the same ones.

    Any other time is what is left after an earlier attempt, so the client's first attempt was made when all of the
    deadline was left. All callers and classes are counted together, as a pair of them may occur once only. Requests of
    clients that state varying times are taken for retries, and so for older than they are.
    """

    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        self._counts = [0.0] * (BINS + 2)
        self._total = 0.0

    def time_since_first_attempt(self, left_ms: float, deadline_ms: float) -> float:
        """Note the time left that an attempt came with; return the ms since the client's first one, 0 if it is this."""
        bin_index = min(BINS, max(1, round(left_ms / deadline_ms * BINS)))
        self._counts[bin_index] += 1
        self._total += 1
        if self._total >= MAX_ATTEMPTS:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        if sum(self._counts[bin_index - 1 : bin_index + 2]) >= MIN_FIRST_ATTEMPT_FRACTION * self._total:
            return 0.0
        return max(0.0, deadline_ms - left_ms)
