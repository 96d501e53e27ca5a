"""Jitter for periods and backoffs, so that processes that share a cause do not act in step. No I/O, no clock, no draws.

Callers pass a draw from 0 to 1 of their own generator. The mean stays the requested time, so nothing runs more often.
"""

from __future__ import annotations

PERIOD_JITTER_FRACTION = 0.4  # of a period, over which its end is spread
MIN_BACKOFF_FRACTION = 0.1  # of a backoff; a first retry must not come at once


def period(interval_s: float, draw: float) -> float:
    """Return the time (s) to the next run of a periodic job, within 20 % of ``interval_s``."""
    return interval_s * (1 + PERIOD_JITTER_FRACTION * (draw - 0.5))


def pause(backoff_s: float, draw: float) -> float:
    """Return a backoff (s) with the mean ``backoff_s``, from a tenth of it to nearly twice."""
    return backoff_s * (MIN_BACKOFF_FRACTION + 2 * (1 - MIN_BACKOFF_FRACTION) * draw)
