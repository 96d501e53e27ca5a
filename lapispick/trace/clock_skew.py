"""Estimates the clock offsets between hosts, from subjects that were attempted at more than one host. No I/O.

If an attempt was rejected or failed at host A and its subject was then served at host B, the attempt at B arrived after
the one at A had ended. So the arrival time by B's clock, minus the end time by A's clock, is an upper bound of the
offset of B's clock relative to A's. A pair in the other direction gives a lower bound. The pairs with the shortest
transit give the tightest bounds.

Pairs whose order can't be derived from their outcomes are left out. A few pairs in the wrong order have little effect,
because a low quantile is used instead of the minimum. Time slices with too few pairs are left out.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

import msgspec

SHORTEST_TRANSIT_QUANTILE = 0.05  # with 60 pairs, up to three in the wrong order are ignored
MIN_PAIRS = 5  # in each direction; with fewer, a single pair in the wrong order determines the result
SLICES = 6  # of the time that the pairs cover; each gives an offset, and a line fitted to the offsets the drift
MIN_SLICES = 3  # with enough pairs; with fewer slices the drift is unknown
MAX_TRANSIT_MS = 60_000.0  # a longer transit indicates a new request instead of a retry
MAX_LINE_DISTANCE_MS = 50.0  # of a slice's offset, beyond its own error; if it is larger, the clock was set meanwhile
NO_SHARED_SUBJECT = "cannot tell: no subject was attempted at both hosts"


class Attempt(NamedTuple):
    """One attempt of a subject at one host; times in ms by that host's clock."""

    subject: bytes
    host: str
    arrived_at: float
    ended_at: float
    served: bool


class Clock(msgspec.Struct, frozen=True):
    """Estimate of a host's clock relative to the reference: ``offset`` ms ahead at ``at``, gaining ``drift`` ms/s."""

    offset: float
    drift: float
    at: float  # ms, by the reference's clock
    error: float  # ms; bound of the offset's error if most pairs are in the order that their outcomes indicate
    pairs: int
    drift_known: bool = msgspec.field(name="drift_told")  # False: too few slices with pairs; ``drift`` is 0

    def offset_at(self, now: float) -> float:
        """Return the offset in ms at a time by the reference's clock."""
        return self.offset + self.drift * (now - self.at) / 1000


class UnknownClock(msgspec.Struct, frozen=True):
    """Reason why a host's clock could not be estimated."""

    reason: str


class ClockEstimates(NamedTuple):
    """The reference host, and the clock of every host relative to it."""

    reference: str
    clocks: dict[str, Clock | UnknownClock]


class Transit(NamedTuple):
    """Transit of a subject from an unserved attempt at one host to the served one at another."""

    ended_at: float  # end of the first attempt, ms by the first host's clock
    duration: float  # ms, by both clocks: the true duration plus the offset of the second clock


class _Bounds(NamedTuple):
    """Offset between two clocks that follows from the pairs in both directions, ms."""

    offset: float
    error: float


class _SliceOffset(NamedTuple):
    """Offset between two clocks in a slice of time, ms."""

    at: float
    offset: float
    error: float


class _RelativeClock(NamedTuple):
    """Estimate of one host's clock relative to another host's."""

    offset: float
    drift: float
    at: float
    error: float
    pairs: int
    drift_known: bool


class _Comparisons(NamedTuple):
    """Results of the comparisons of all pairs of hosts."""

    # By host, then by the host whose clock is estimated relative to it.
    relative_clocks: dict[str, dict[str, _RelativeClock]]
    unknown_reasons: dict[str, str]  # by host: why its clock could not be estimated relative to another host's
    pair_counts: dict[str, int]  # by host


HostPair = tuple[str, str]


def transits_by_hosts(attempts: Iterable[Attempt]) -> dict[HostPair, list[Transit]]:
    """Return, for each ordered pair of hosts, the transits of subjects from the first to the second."""
    by_subject: dict[bytes, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.subject:
            by_subject[attempt.subject].append(attempt)
    transits: dict[HostPair, list[Transit]] = defaultdict(list)
    for same_subject in by_subject.values():
        last = _last_attempt(same_subject)
        if last is None:
            continue
        for attempt in same_subject:
            duration = last.arrived_at - attempt.ended_at
            if not attempt.served and abs(duration) < MAX_TRANSIT_MS:
                transits[attempt.host, last.host].append(Transit(attempt.ended_at, duration))
    return transits


def _last_attempt(attempts: list[Attempt]) -> Attempt | None:
    """Return the last attempt of a subject, None if the order is unknown.

    The order can't be taken from clocks that disagree, but only the last attempt is served. The order is unknown if
    several attempts were served, or if there are several at one host.
    """
    served = [attempt for attempt in attempts if attempt.served]
    hosts = {attempt.host for attempt in attempts}
    return served[0] if len(served) == 1 and len(hosts) == len(attempts) else None


def _shortest_duration(transits: list[Transit]) -> float:
    durations = sorted(transit.duration for transit in transits)
    return durations[int(len(durations) * SHORTEST_TRANSIT_QUANTILE)]


def _bounds(forward: list[Transit], backward: list[Transit]) -> _Bounds | None:
    """Return the offset between two clocks, None if there are too few pairs in either direction."""
    if len(forward) < MIN_PAIRS or len(backward) < MIN_PAIRS:
        return None
    upper = _shortest_duration(forward)
    lower = -_shortest_duration(backward)
    # Pairs in the wrong order may put the lower bound above the upper one; the error is half the distance then too.
    return _Bounds((upper + lower) / 2, abs(upper - lower) / 2)


def _compare(forward: list[Transit], backward: list[Transit]) -> _RelativeClock | UnknownClock:
    """Estimate the second host's clock relative to the first one's, from the transits in both directions."""
    pairs = len(forward) + len(backward)
    if not pairs:
        return UnknownClock(NO_SHARED_SUBJECT)
    if not forward or not backward:
        return UnknownClock("cannot tell: all retries went one way, so the offset is bounded on one side only")
    bounds = _bounds(forward, backward)
    if bounds is None:
        return UnknownClock(
            f"cannot tell: expected at least {MIN_PAIRS} pairs in each direction, "
            f"got {len(forward)} and {len(backward)}"
        )
    # The start times of the backward transits are by the second host's clock. Subtracting the offset converts them
    # closely enough, because slices are far longer than its error.
    backward = [transit._replace(ended_at=transit.ended_at - bounds.offset) for transit in backward]
    first = min(transit.ended_at for transit in (*forward, *backward))
    last = max(transit.ended_at for transit in (*forward, *backward))
    slices = _slice_offsets(forward, backward, first, last)
    if len(slices) < MIN_SLICES:
        return _RelativeClock(bounds.offset, 0.0, (first + last) / 2, bounds.error, pairs, drift_known=False)
    return _fit_line(slices, pairs)


def _slice_offsets(forward: list[Transit], backward: list[Transit], first: float, last: float) -> list[_SliceOffset]:
    """Return the offset in each slice of time that has enough pairs."""
    offsets: list[_SliceOffset] = []
    for number in range(SLICES):
        begin = first + (last - first) * number / SLICES
        end = first + (last - first) * (number + 1) / SLICES
        is_last = number == SLICES - 1
        bounds = _bounds(_in_slice(forward, begin, end, is_last), _in_slice(backward, begin, end, is_last))
        if bounds is not None:
            offsets.append(_SliceOffset((begin + end) / 2, bounds.offset, bounds.error))
    return offsets


def _in_slice(transits: list[Transit], begin: float, end: float, with_end: bool) -> list[Transit]:
    return [
        transit for transit in transits if begin <= transit.ended_at < end or (with_end and transit.ended_at == end)
    ]


def _fit_line(slices: list[_SliceOffset], pairs: int) -> _RelativeClock | UnknownClock:
    """Fit a line to the slices' offsets by least squares; the clock is unknown if the offsets are too far from it."""
    at = sum(slice_.at for slice_ in slices) / len(slices)
    offset = sum(slice_.offset for slice_ in slices) / len(slices)
    variance = sum((slice_.at - at) ** 2 for slice_ in slices)
    covariance = sum((slice_.at - at) * (slice_.offset - offset) for slice_ in slices)
    slope = covariance / variance if variance else 0.0
    distances = [abs(slice_.offset - offset - slope * (slice_.at - at)) for slice_ in slices]
    if any(distance > MAX_LINE_DISTANCE_MS + slice_.error for distance, slice_ in zip(distances, slices, strict=True)):
        max_distance = max(distances)
        return UnknownClock(
            f"cannot tell: the clock was set during the trace; offsets are up to {max_distance:.0f} ms off a line"
        )
    error = max(*distances, *(slice_.error for slice_ in slices))
    return _RelativeClock(offset, slope * 1000, at, error, pairs, drift_known=True)


def estimate_clocks(attempts: Iterable[Attempt], hosts: Iterable[str]) -> ClockEstimates:
    """Estimate the clock of every host; the reference is the host that can be compared directly with most others.

    A host that shares no subjects with the reference is compared through other hosts, along the path with the smallest
    error.
    """
    names = sorted(hosts)
    relative_clocks, unknown_reasons, pair_counts = _compare_all(names, transits_by_hosts(attempts))
    clocks: dict[str, Clock | UnknownClock] = {
        name: UnknownClock(unknown_reasons.get(name, NO_SHARED_SUBJECT)) for name in names
    }
    reference = max(names, key=lambda name: (len(relative_clocks[name]), pair_counts[name]), default="")
    if reference:
        own_clock = Clock(0.0, 0.0, 0.0, 0.0, pair_counts[reference], drift_known=True)
        clocks.update(_chain_clocks(reference, own_clock, relative_clocks))
    return ClockEstimates(reference, clocks)


def _compare_all(names: list[str], transits: dict[HostPair, list[Transit]]) -> _Comparisons:
    relative_clocks: dict[str, dict[str, _RelativeClock]] = {name: {} for name in names}
    unknown_reasons: dict[str, str] = {}
    pair_counts = dict.fromkeys(names, 0)
    for first in names:
        for second in names:
            if first == second:
                continue
            forward = transits.get((first, second), [])
            backward = transits.get((second, first), [])
            pair_counts[first] += len(forward) + len(backward)
            estimate = _compare(forward, backward)
            if isinstance(estimate, _RelativeClock):
                relative_clocks[first][second] = estimate
            elif forward or backward or second not in unknown_reasons:
                unknown_reasons[second] = estimate.reason
    return _Comparisons(relative_clocks, unknown_reasons, pair_counts)


def _chain_clocks(
    reference: str, own_clock: Clock, relative_clocks: dict[str, dict[str, _RelativeClock]]
) -> dict[str, Clock]:
    """Return the clocks of all hosts that are comparable with the reference, by Dijkstra's algorithm on the errors."""
    clocks: dict[str, Clock] = {}
    lowest_errors: dict[str, float] = {}
    queue: list[tuple[float, str, Clock]] = [(0.0, reference, own_clock)]
    while queue:
        error, name, clock = heapq.heappop(queue)
        if error >= lowest_errors.get(name, inf):
            continue
        lowest_errors[name] = error
        clocks[name] = clock
        for other, relative in relative_clocks[name].items():
            if other not in lowest_errors:
                heapq.heappush(queue, (error + relative.error, other, _combine(clock, relative)))
    return clocks


def _combine(clock: Clock, relative: _RelativeClock) -> Clock:
    """Return the clock of a host, given another host's clock and the host's clock relative to that one."""
    # By the reference's clock; accurate enough, because clocks drift by a few parts in a thousand at most.
    at = relative.at - clock.offset_at(relative.at)
    return Clock(
        offset=clock.offset_at(at) + relative.offset,
        drift=clock.drift + relative.drift,
        at=at,
        error=clock.error + relative.error,
        pairs=min(clock.pairs, relative.pairs) if clock.pairs else relative.pairs,
        drift_known=clock.drift_known and relative.drift_known,
    )
