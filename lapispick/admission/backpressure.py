"""The backpressure value sent with every answer: a level, a credit or a weight."""

from __future__ import annotations

from collections import deque

from lapispick.admission.settings import BackpressureSignal, Settings

MAX_READ_DELAY_FRACTION = 0.15  # of the latency objective; a longer delay means that requests are read late
SHED_READ_DELAY_FRACTION = 0.5  # of the latency objective; a delay this long counts as one rejection
DECAY_RATIO = 0.75  # per window, of the request counts that the shed fraction is computed from
MAX_RANKS = 60  # ranks of the latest requests, which convert a shed fraction into a level
MIN_CHANGE = 0.01  # smaller changes of the value are not advertised
MAX_CREDIT_REQUESTS = 100.0  # for each caller; high enough not to restrict callers
MAX_SHED_FRACTION = 0.05  # of the requests read; up to this the value recovers
GAIN_FRACTION = 0.15  # of the shed fraction; the part of the requests that the next value stops
LEVEL_RECOVERY_STEP = 0.06  # rank per window
CREDIT_RECOVERY_RATIO = 1.12  # per window


class Backpressure:
    """Computes the value that callers obey from the fraction of requests that was shed."""

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
        self._received = 0.0  # requests; decays each window
        self._ranks: deque[float] = deque(maxlen=MAX_RANKS)
        self._shed = 0.0  # requests; decays each window
        self.shed_fraction = 0.0  # at the end of the last window
        self._in_flight: dict[int, int] = {}  # by caller, only callers with a request in flight

    def record_received(self, rank: float, caller: int, read_delay_fraction: float) -> None:
        """Count a request that was read; its delay before that is a fraction of its latency objective."""
        self._received += 1
        self._ranks.append(rank)
        self._in_flight[caller] = self._in_flight.get(caller, 0) + 1
        if read_delay_fraction > MAX_READ_DELAY_FRACTION:  # requests are read late, even if the queue is empty
            self._shed += min(1.0, read_delay_fraction / SHED_READ_DELAY_FRACTION)

    def record_answered(self, caller: int, overload: bool) -> None:
        """Count an answered or cancelled request of this caller; with ``overload`` it also counts as shed."""
        remaining = self._in_flight.pop(caller) - 1
        if remaining > 0:
            self._in_flight[caller] = remaining
        if overload:
            self._shed += 1

    def close_window(self, draining: bool) -> float | None:
        """Return the new value to advertise, or None if it stays; the value of a draining server stops all requests."""
        self.shed_fraction = min(1.0, self._shed / self._received) if self._received >= 1 else 0.0
        self._received *= DECAY_RATIO
        self._shed *= DECAY_RATIO
        if self.shed_fraction > MAX_SHED_FRACTION:
            self._tighten()
        else:
            self._level = max(0.0, self._level - LEVEL_RECOVERY_STEP)
            self._credit = min(MAX_CREDIT_REQUESTS, self._credit * CREDIT_RECOVERY_RATIO)
        value = self._signal_value(draining)
        if value is None or abs(value - self._advertised) < MIN_CHANGE:
            return None
        self._advertised = value
        return value

    def _tighten(self) -> None:
        """Raise the level and lower the credit in proportion to the shed fraction."""
        passing_ranks = sorted(rank for rank in self._ranks if rank >= self._level)
        if passing_ranks:
            self._level = max(self._level, passing_ranks[int(len(passing_ranks) * self.shed_fraction * GAIN_FRACTION)])
        max_in_flight = min(self._credit, max(1.0, *self._in_flight.values(), 0.0))
        min_credit = self._settings.cores / max(1, self._settings.callers)  # with less the cores would be idle
        self._credit = max(min_credit, max_in_flight * (1 - GAIN_FRACTION * self.shed_fraction))

    def _signal_value(self, draining: bool) -> float | None:
        """Return the value for the type of signal that callers support, or None if they support none."""
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
