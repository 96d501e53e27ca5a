"""The backpressure value that is sent with every answer: a level, a credit or a weight."""

from __future__ import annotations

from collections import deque

from lapispick.admission.settings import BackpressureSignal, Settings

MAX_READ_DELAY_FRACTION = 0.15  # of the latency objective; a request that lay unread longer shows late reading
SHED_READ_DELAY_FRACTION = 0.5  # of the latency objective; lying unread this long counts like a rejection
DECAY_RATIO = 0.75  # a window; of the counts behind the shed fraction
MAX_RANKS = 60  # requests; their ranks turn a shed fraction into a level
MIN_CHANGE = 0.01  # smaller changes of the value are not advertised
MAX_CREDIT_REQUESTS = 100.0  # for each caller; this credit holds nothing back
MAX_SHED_FRACTION = 0.05  # of the requests read; with less shed the value recovers
GAIN_FRACTION = 0.15  # of the shed fraction that the next value keeps from being sent
LEVEL_RECOVERY_STEP = 0.06  # rank a window
CREDIT_RECOVERY_RATIO = 1.12  # a window


class Backpressure:
    """Turns the fraction of requests that was shed into the value that callers obey."""

    __slots__ = (
        "_advertised",
        "_credit",
        "_in_flight",
        "_level",
        "_ranks",
        "_received",
        "_settings",
        "_shed",
        "shed_fraction",
    )

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._level = 0.0
        self._credit = MAX_CREDIT_REQUESTS
        self._advertised = -1.0
        self._received = 0.0
        self._ranks: deque[float] = deque(maxlen=MAX_RANKS)
        self._shed = 0.0  # of the requests received, both decay
        self.shed_fraction = 0.0  # of the last window
        self._in_flight: dict[int, int] = {}  # by caller, only those with a request in flight

    def record_received(self, rank: float, caller: int, read_delay: float) -> None:
        """Count a request that was read after it lay unread for ``read_delay``, a fraction of its objective."""
        self._received += 1
        self._ranks.append(rank)
        self._in_flight[caller] = self._in_flight.get(caller, 0) + 1
        if read_delay > MAX_READ_DELAY_FRACTION:  # reading is late, though the queue may be empty
            self._shed += min(1.0, read_delay / SHED_READ_DELAY_FRACTION)

    def record_answered(self, caller: int, overload: bool) -> None:
        """Count an answer to this caller, or its cancellation; with ``overload`` as a request that was shed."""
        left = self._in_flight.pop(caller) - 1
        if left > 0:
            self._in_flight[caller] = left
        if overload:
            self._shed += 1

    def close_window(self, draining: bool) -> float | None:
        """Return the next value to advertise, or None where it stays; a server that is ``draining`` accepts nothing."""
        self.shed_fraction = min(1.0, self._shed / self._received) if self._received >= 1 else 0.0
        self._received *= DECAY_RATIO
        self._shed *= DECAY_RATIO
        if self.shed_fraction > MAX_SHED_FRACTION:
            self._tighten()
        else:
            self._level = max(0.0, self._level - LEVEL_RECOVERY_STEP)
            self._credit = min(MAX_CREDIT_REQUESTS, self._credit * CREDIT_RECOVERY_RATIO)
        value = self._value(draining)
        if value is None or abs(value - self._advertised) < MIN_CHANGE:
            return None
        self._advertised = value
        return value

    def _tighten(self) -> None:
        """Raise the level and lower the credit by a part of the shed fraction."""
        passing = sorted(rank for rank in self._ranks if rank >= self._level)
        if passing:
            self._level = max(self._level, passing[int(len(passing) * self.shed_fraction * GAIN_FRACTION)])
        max_in_flight = min(self._credit, max(1.0, *self._in_flight.values(), 0.0))
        min_credit = self._settings.cores / max(1, self._settings.callers)  # with less the cores would idle
        self._credit = max(min_credit, max_in_flight * (1 - GAIN_FRACTION * self.shed_fraction))

    def _value(self, draining: bool) -> float | None:
        """Return the value in the terms of the signal that callers understand; None where they know none."""
        level = 1.0 if draining else self._level
        match self._settings.backpressure_signal:
            case BackpressureSignal.LEVEL:
                return level
            case BackpressureSignal.CREDIT:
                return 0.0 if draining else self._credit
            case BackpressureSignal.WEIGHT:
                return 1 - level
            case _:
                return None
