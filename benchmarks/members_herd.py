"""Measures a thundering herd: load peaks of 200 hosts that react to the same event, with and without jitter."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple

from lapispick import jitter
from lapispick.members.failure_detector import FailureDetector
from lapispick.members.membership_view import MembershipView
from lapispick.members.suspicion import SwimSettings
from lapispick.model.cluster import SimulatedCluster, host_names, member_factory

HOSTS = 200
LEASE_HOSTS = 14
INSTANTS = 200  # equal parts of the observed time
BUSY_RATIO = 1.5  # over the mean count of an instant
MAX_RUNS = 5
OUTAGE_S = 30.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 10.0
LOOKUP_INTERVAL_S = 30.0
HOUR_S = 3600.0
PROBES_SPAN_S = 20.0
TICKS_PER_SECOND = 100
ROLLBACK_AT_S = 60.0

Spread = Callable[[float, float], float]  # takes an interval and a random number from 0 to 1


class Concentration(NamedTuple):
    """Fraction of instants above ``BUSY_RATIO`` times the mean, and the busiest instant over the mean."""

    busy_fraction: float
    worst_ratio: float


class Activity(NamedTuple):
    """Activity of the hosts: its name, the observed time, and functions from a seed to the times at which it occurs."""

    name: str
    span_s: float
    before: Callable[[int], list[float]]  # with the former code, without jitter
    now: Callable[[int], list[float]]


def concentration(times: list[float], span_s: float) -> Concentration:
    """Return how unevenly the times are distributed over the instants of the span."""
    counts = [0] * INSTANTS
    for at in times:
        if 0 <= at < span_s:
            counts[int(at / span_s * INSTANTS)] += 1
    mean = sum(counts) / INSTANTS
    busy = sum(count > BUSY_RATIO * mean for count in counts)
    return Concentration(busy / INSTANTS, max(counts) / mean)


def _former_backoff(backoff_s: float, draw: float) -> float:
    return backoff_s * (0.7 + 0.3 * draw)


def _fixed_period(interval_s: float, _draw: float) -> float:
    return interval_s


def _reconnect_times(spread: Spread, seed: int) -> list[float]:
    """Return when hosts try to reconnect to a broker; it is down for 30 s, and all hosts lose the connection at 0."""
    return _repeated_times(spread, _backoffs, OUTAGE_S, seed)


def _backoffs() -> Iterator[float]:
    backoff_s = MIN_BACKOFF_S
    while True:
        yield backoff_s
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)


def _repeated_times(spread: Spread, intervals: Callable[[], Iterator[float]], span_s: float, seed: int) -> list[float]:
    """Return when each host's successive intervals from 0 on end, up to its first time past the span."""
    rng = random.Random(seed)
    times = []
    for _ in range(HOSTS):
        at = 0.0
        host_intervals = intervals()
        while at < span_s:
            at += spread(next(host_intervals), rng.random())
            times.append(at)
    return times


def _lookup_times(spread: Spread, seed: int) -> list[float]:
    """Return when hosts that start at 0 and resolve names every 30 s do so in the second hour."""
    intervals = partial(itertools.repeat, LOOKUP_INTERVAL_S)
    return [at - HOUR_S for at in _repeated_times(spread, intervals, 2 * HOUR_S, seed)]


def _probe_times(random_first_probe: bool, seed: int) -> list[float]:
    """Return when members that start at the same time send messages in their first 20 s."""
    names = frozenset(host_names(HOSTS))
    times: list[float] = []
    detectors = []
    for name in sorted(names):
        view = MembershipView(name, "f", 1, names, SwimSettings(), 0.0)
        detectors.append(FailureDetector(view, random.Random(f"{seed} {name}"), 0.0))
    if not random_first_probe:
        for detector in detectors:
            detector._next_probe_at = 0.0
    for step in range(int(PROBES_SPAN_S * TICKS_PER_SECOND)):
        now = step / TICKS_PER_SECOND
        for detector in detectors:
            detector._outstanding = None  # every probe is answered
            times += [now] * len(detector.tick(now))
    return times


def _rollback_times(with_lease: bool, seed: int) -> list[float]:
    """Return when each of 14 hosts rolls back, if the confirmation timeouts of all expire at the same time."""
    if not with_lease:
        return [ROLLBACK_AT_S] * LEASE_HOSTS
    names = host_names(LEASE_HOSTS)
    cluster = SimulatedCluster(seed, LEASE_HOSTS, member_factory(names, slot_counts={"restart": 1}))
    rolled_back_at: dict[str, float] = {}

    def poll(name: str) -> None:
        cluster.at(cluster.now + 0.2, partial(poll, name))
        if name in rolled_back_at:  # its process ends one second later, and its lease expires
            return
        status = cluster.members[name].leases.request(cluster.clock(name), "restart", "agent")
        if status is not None and status.fencing_token:
            rolled_back_at[name] = cluster.now
        cluster.tick_now(name)

    for name in names:
        cluster.at(ROLLBACK_AT_S, partial(poll, name))
    cluster.run(400.0)
    return sorted(rolled_back_at.values())


ACTIVITIES = (
    Activity(
        "reconnects", OUTAGE_S, partial(_reconnect_times, _former_backoff), partial(_reconnect_times, jitter.backoff)
    ),
    Activity("look-ups", HOUR_S, partial(_lookup_times, _fixed_period), partial(_lookup_times, jitter.period)),
    Activity("probes", PROBES_SPAN_S, partial(_probe_times, False), partial(_probe_times, True)),
)


def measure(run_count: int) -> list[dict[str, object]]:
    """Return two rows for each activity: with the former code and with the current one."""
    rows = []
    for activity in ACTIVITIES:
        for when, times in (("before", activity.before), ("now", activity.now)):
            seeds = range(1, min(run_count, MAX_RUNS) + 1)
            concentrations = [concentration(times(seed), activity.span_s) for seed in seeds]
            rows.append(
                {
                    "what": activity.name,
                    "when": when,
                    "instants": round(sum(result.busy_fraction for result in concentrations) / len(concentrations), 3),
                    "worst": round(sum(result.worst_ratio for result in concentrations) / len(concentrations), 1),
                }
            )
    rows += [_rollback_row("before", _rollback_times(False, 1)), _rollback_row("now", _rollback_times(True, 1))]
    return rows


def _rollback_row(when: str, times: list[float]) -> dict[str, object]:
    return {
        "what": "undoing",
        "when": when,
        "hosts": len(times),
        "at_once": max(sum(abs(at - other) < 1.0 for other in times) for at in times),
        "seconds": round(times[-1] - times[0], 1),
    }
