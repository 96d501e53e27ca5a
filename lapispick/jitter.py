"""Keeps many processes from doing one thing at one instant because all saw one cause. No I/O, no clock, no draws.

What N boxes would do in step (a pause after a failure that all saw, a period from a start that they share) takes a draw
from 0 to 1 of the caller's own, by its seed. The mean stays what was asked for, so nothing is done more often.
"""

from __future__ import annotations

PERIOD_PART = 0.4  # of a period, over which its ends are spread
PAUSE_LEAST = 0.1  # of a pause; a first try again must not come at once


def period(every: float, draw: float) -> float:
    """Return the next period: boxes that began at one instant are out of step after a few."""
    return every * (1 + PERIOD_PART * (draw - 0.5))


def pause(span: float, draw: float) -> float:
    """Return a pause with the same mean, spread over nearly all of twice that: the next tries come evenly."""
    return span * (PAUSE_LEAST + 2 * (1 - PAUSE_LEAST) * draw)
