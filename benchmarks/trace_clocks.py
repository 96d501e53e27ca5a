"""Compares clock estimates with the mean of both directions, by the number of retries shared in an hour."""

from __future__ import annotations

import random
import statistics
from typing import Any, NamedTuple

from benchmarks.common import show
from lapispick.trace.clock_skew import Attempt, Clock, estimate_clocks, transits_by_hosts

HOUR_MS = 3_600_000
SEEDS = 50
OFFSET_MS = 1000.0
DRIFT = 50e-6
RETRY_COUNTS = (20, 50, 200, 1000)
SLOW_FRACTION = 0.2  # of the retries; the gateway paused or tried another host before these
MAX_PAUSE_MS = 2000


class _Errors(NamedTuple):
    """Errors of the estimates for one seed, in ms, and the error bound that the estimate states."""

    estimate: float | None  # None: the clock is unknown
    stated_bound: float
    mean: float


def _clock_time(host: str, true_ms: float) -> float:
    """Return the time on a host's clock."""
    return true_ms if host == "a" else true_ms * (1 + DRIFT) + OFFSET_MS


def _make_attempts(rng: random.Random, count: int) -> list[Attempt]:
    attempts: list[Attempt] = []
    for number in range(count):
        at = rng.uniform(0, HOUR_MS)
        transit = 1 + rng.expovariate(1 / 4) + (rng.uniform(0, MAX_PAUSE_MS) if rng.random() < SLOW_FRACTION else 0)
        first, last = rng.sample(["a", "b"], 2)
        subject = b"%06d" % number
        arrived_at = at + transit
        attempts.append(Attempt(subject, first, _clock_time(first, at - 20), _clock_time(first, at), False))
        attempts.append(Attempt(subject, last, _clock_time(last, arrived_at), _clock_time(last, arrived_at + 30), True))
    return attempts


def _errors(seed: int, count: int) -> _Errors:
    attempts = _make_attempts(random.Random(seed), count)
    reference, clocks = estimate_clocks(attempts, ["a", "b"])
    other = "b" if reference == "a" else "a"
    middle = HOUR_MS / 2
    true_offset = _clock_time(other, middle) - _clock_time(reference, middle)
    transits = transits_by_hosts(attempts)
    forth, back = (
        statistics.mean(transit.duration for transit in transits[pair])
        for pair in ((reference, other), (other, reference))
    )
    mean_error = abs((forth - back) / 2 - true_offset)
    clock = clocks[other]
    if not isinstance(clock, Clock):
        return _Errors(None, 0.0, mean_error)
    return _Errors(abs(clock.offset_at(_clock_time(reference, middle)) - true_offset), clock.error, mean_error)


def _row(count: int) -> tuple[Any, ...]:
    errors = [_errors(seed, count) for seed in range(SEEDS)]
    estimates = [error.estimate for error in errors if error.estimate is not None]
    within = sum(1 for error in errors if error.estimate is not None and error.estimate <= error.stated_bound + 1)
    mean = statistics.median(error.mean for error in errors)
    median = statistics.median(estimates)
    return (
        count,
        f"{len(estimates)} of {SEEDS}",
        f"{median:.1f}",
        f"{max(estimates):.1f}",
        f"{within} of {len(estimates)}",
        f"{mean:.1f}",
        f"{median / mean:.3f}",
    )


def measure_clocks() -> None:
    """Print the errors of both estimates by the number of retries."""
    show(
        "clocks a second apart that drift by 50 parts in a million: how far the estimate is off, ms",
        ("retries", "estimated", "median", "worst", "within its error", "mean of both directions", "ratio"),
        map(_row, RETRY_COUNTS),
    )
