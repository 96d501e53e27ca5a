"""Jitter for periods and backoffs, so that processes that react to the same event do not act at the same time.

This module does no I/O, reads no clock and draws no random numbers: callers pass a draw from 0 to 1 from their own
generator. The mean is the requested time, so on average nothing runs more often.
"""

from __future__ import annotations

PERIOD_JITTER_FRACTION = 0.4  # the range of the end of a period, as a fraction of the period
MIN_BACKOFF_FRACTION = 0.1  # of the mean backoff; a first retry must not be immediate


def period(interval_s: float, draw: float) -> float:
    """Return the time (s) until the next run of a periodic job, within 20 % of ``interval_s``."""
    return interval_s * (1 + PERIOD_JITTER_FRACTION * (draw - 0.5))


def backoff(backoff_s: float, draw: float) -> float:
    """Return a backoff (s) with the mean ``backoff_s``, from a tenth of it to nearly twice."""
    return backoff_s * (MIN_BACKOFF_FRACTION + 2 * (1 - MIN_BACKOFF_FRACTION) * draw)
