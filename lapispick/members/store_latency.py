"""Latency of a store's calls relative to their usual latency, as this host observes it. No I/O, no clock.

The recent and the usual latency are means with exponentially decaying weights, with half-lives of
``recent_half_life_s`` and ``usual_half_life_s``. A call counts in the recent mean with at most ``max_latency_ratio``
times the usual latency, so that the mean returns to the usual one in the same time however slow the calls were. A
failed call counts with exactly that. The ratio of the means is gossiped with the number of calls behind it, so that
readers can weight the reports of the hosts. No host decides by its own ratio alone.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

# Limit of a call's latency in the usual mean, relative to it. A store that collapses must not soon look usual.
MAX_OUTLIER_RATIO = 2


class StoreLatencySettings(msgspec.Struct, frozen=True):
    """Settings of the latency means. Half-lives are in seconds."""

    recent_half_life_s: float = 3.0
    usual_half_life_s: float = 300.0
    max_latency_ratio: float = 10.0
    min_calls: int = 5


class RelativeLatency(NamedTuple):
    """Ratio of the recent to the usual mean latency, and the number of recent calls behind it."""

    ratio: float
    sample_count: int


class _DecayingMean(msgspec.Struct):
    """Mean of values whose weights halve with each half-life."""

    half_life_s: float
    total: float = 0.0
    weight: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, value: float) -> None:
        self.decay(now)
        self.total += value
        self.weight += 1.0

    def decay(self, now: float) -> None:
        fraction = 0.5 ** (max(0.0, now - self.updated_at) / self.half_life_s)
        self.total *= fraction
        self.weight *= fraction
        self.updated_at = now

    @property
    def value(self) -> float:
        return self.total / self.weight if self.weight > 0 else 0.0


class StoreLatency:
    """Latency of calls to one store address."""

    def __init__(self, settings: StoreLatencySettings | None = None) -> None:
        self.settings = settings or StoreLatencySettings()
        self._recent = _DecayingMean(self.settings.recent_half_life_s)
        self._usual = _DecayingMean(self.settings.usual_half_life_s)

    def record_call(self, now: float, duration_ms: float, succeeded: bool) -> None:
        """Record the end of a call."""
        usual = self._usual.value
        limit_ms = self.settings.max_latency_ratio * usual
        if not succeeded:
            duration_ms = max(duration_ms, limit_ms)
        if self._usual.weight < self.settings.min_calls:
            self._recent.add(now, duration_ms)
            self._usual.add(now, duration_ms)
        else:
            self._recent.add(now, min(duration_ms, limit_ms))
            self._usual.add(now, min(duration_ms, MAX_OUTLIER_RATIO * usual))

    def relative_latency(self, now: float) -> RelativeLatency | None:
        """Return the current latency relative to the usual one; None after too few calls."""
        self._recent.decay(now)
        self._usual.decay(now)
        if self._usual.weight < self.settings.min_calls or self._recent.weight < 1.0 or not self._usual.value:
            return None
        ratio = round(self._recent.value / self._usual.value, 2)
        return RelativeLatency(ratio, max(1, round(self._recent.weight)))
