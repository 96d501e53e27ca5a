"""Estimates how far the clocks of hosts are apart, from subjects that were attempted at more than one. No I/O.

An attempt that was rejected or failed at host A and whose subject was then served at host B arrived at B after it had
ended at A: by B's clock no earlier than that moment by A's clock plus what B's clock is ahead. Each such pair bounds
the difference of the clocks from one side, and a pair in the other direction from the other side. The pairs with the
shortest transit bound it closely.

Pairs whose order can't be derived from their outcomes are left out. A few pairs in the wrong order do little harm, as
a low quantile is taken instead of the minimum. Time slices with too few pairs are left out.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

import msgspec

SHORTEST_TRANSIT_QUANTILE = 0.05  # with 60 pairs three wrong ones are passed over
MIN_PAIRS = 5  # in each direction; with fewer a single wrong one decides
SLICES = 6  # of the time that the pairs cover; each gives an offset, and the line through them the drift
MIN_SLICES = 3  # with pairs; with fewer the drift is unknown
MAX_TRANSIT_MS = 60_000.0  # what seems to take longer is no retry but a new request
MAX_LINE_DISTANCE_MS = 50.0  # of a slice, beyond its own error; if it is further off, the clock was set in between
NO_SHARED_SUBJECT = "cannot tell: no subject was tried at both"


class Attempt(NamedTuple):
    """One attempt of a subject at one host, by that host's clock, ms."""

    subject: bytes
    host: str
    arrived_at: float
    ended_at: float
    served: bool


class Clock(msgspec.Struct, frozen=True):
    """A host's clock against the reference: ``offset`` ms ahead at ``at``, gaining ``drift`` ms per second."""

    offset: float
    drift: float
    at: float  # ms, by the reference's clock
    error: float  # ms; the offset lies within this, as long as most pairs are in the order that they seem to be
    pairs: int
    drift_known: bool = msgspec.field(name="drift_told")  # False: too few pairs over time; the drift counts as 0

    def ahead(self, now: float) -> float:
        """Return how far the clock is ahead at a time of the reference, ms."""
        return self.offset + self.drift * (now - self.at) / 1000


class UnknownClock(msgspec.Struct, frozen=True):
    """Nothing is known of a host's clock, for a reason."""

    reason: str


class ClockEstimates(NamedTuple):
    """The reference host, and the clock of every host against it."""

    reference: str
    clocks: dict[str, Clock | UnknownClock]


class Transit(NamedTuple):
    """What a pair of attempts says of the way from one host to another."""

    ended_at: float  # ms, by the first host's clock
    duration: float  # ms, by both clocks: what it took, and what the second clock is ahead


class _Bounds(NamedTuple):
    """What the pairs of both directions allow for the difference of two clocks, ms."""

    offset: float
    error: float


class _SliceOffset(NamedTuple):
    """The difference of two clocks in a slice of time."""

    at: float
    offset: float
    error: float


class _Link(NamedTuple):
    """What is known of one host's clock against another one's."""

    offset: float
    drift: float
    at: float
    error: float
    pairs: int
    drift_known: bool


class _Comparisons(NamedTuple):
    """What is known of each pair of hosts."""

    links: dict[str, dict[str, _Link]]  # of the second host's clock against the first one's
    unknown_reasons: dict[str, str]  # why a host's clock is not known against another one's
    pair_counts: dict[str, int]


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

    Clocks that disagree don't give the order, but only the last attempt is served. Several that were served, or
    several at one host, leave it open.
    """
    served = [attempt for attempt in attempts if attempt.served]
    hosts = {attempt.host for attempt in attempts}
    return served[0] if len(served) == 1 and len(hosts) == len(attempts) else None


def _shortest(transits: list[Transit]) -> float:
    durations = sorted(transit.duration for transit in transits)
    return durations[int(len(durations) * SHORTEST_TRANSIT_QUANTILE)]


def _bounds(forth: list[Transit], back: list[Transit]) -> _Bounds | None:
    """Return what both directions allow, None if there are too few pairs."""
    if len(forth) < MIN_PAIRS or len(back) < MIN_PAIRS:
        return None
    upper = _shortest(forth)
    lower = -_shortest(back)
    # If they cross a little, because of pairs in the wrong order, the distance is still the size of the error.
    return _Bounds((upper + lower) / 2, abs(upper - lower) / 2)


def _compare(forth: list[Transit], back: list[Transit]) -> _Link | UnknownClock:
    """Estimate the second host's clock against the first one's, from the transits between them."""
    pairs = len(forth) + len(back)
    if not pairs:
        return UnknownClock(NO_SHARED_SUBJECT)
    if not forth or not back:
        return UnknownClock("cannot tell: subjects went one way only, which bounds the clock from one side")
    bounds = _bounds(forth, back)
    if bounds is None:
        return UnknownClock(
            f"cannot tell: {len(forth)} and {len(back)} pairs, at least {MIN_PAIRS} each way are needed"
        )
    # Transits back begin by the other clock; the offset brings them close enough for slices that are far longer.
    back = [transit._replace(ended_at=transit.ended_at - bounds.offset) for transit in back]
    first = min(transit.ended_at for transit in (*forth, *back))
    last = max(transit.ended_at for transit in (*forth, *back))
    slices = _slice_offsets(forth, back, first, last)
    if len(slices) < MIN_SLICES:
        return _Link(bounds.offset, 0.0, (first + last) / 2, bounds.error, pairs, drift_known=False)
    return _fit_line(slices, pairs)


def _slice_offsets(forth: list[Transit], back: list[Transit], first: float, last: float) -> list[_SliceOffset]:
    """Return the offset in each slice of time that has enough pairs."""
    offsets: list[_SliceOffset] = []
    for number in range(SLICES):
        begin = first + (last - first) * number / SLICES
        end = first + (last - first) * (number + 1) / SLICES
        is_last = number == SLICES - 1
        bounds = _bounds(_within(forth, begin, end, is_last), _within(back, begin, end, is_last))
        if bounds is not None:
            offsets.append(_SliceOffset((begin + end) / 2, bounds.offset, bounds.error))
    return offsets


def _within(transits: list[Transit], begin: float, end: float, with_end: bool) -> list[Transit]:
    return [
        transit for transit in transits if begin <= transit.ended_at < end or (with_end and transit.ended_at == end)
    ]


def _fit_line(slices: list[_SliceOffset], pairs: int) -> _Link | UnknownClock:
    """Fit a line through the slices' offsets by least squares; one that does not fit is no drift."""
    at = sum(each.at for each in slices) / len(slices)
    offset = sum(each.offset for each in slices) / len(slices)
    variance = sum((each.at - at) ** 2 for each in slices)
    covariance = sum((each.at - at) * (each.offset - offset) for each in slices)
    slope = covariance / variance if variance else 0.0
    distances = [abs(each.offset - offset - slope * (each.at - at)) for each in slices]
    if any(distance > MAX_LINE_DISTANCE_MS + each.error for distance, each in zip(distances, slices, strict=True)):
        furthest = max(distances)
        return UnknownClock(f"cannot tell: the clock was set in between, up to {furthest:.0f} ms beside a line")
    error = max(*distances, *(each.error for each in slices))
    return _Link(offset, slope * 1000, at, error, pairs, drift_known=True)


def estimate_clocks(attempts: Iterable[Attempt], hosts: Iterable[str]) -> ClockEstimates:
    """Estimate the clock of every host; the reference is the host that shares subjects with most others.

    A host that shares no subjects with the reference is compared by way of others, along the path with the least
    error.
    """
    names = sorted(hosts)
    links, unknown_reasons, pair_counts = _compare_all(names, transits_by_hosts(attempts))
    clocks: dict[str, Clock | UnknownClock] = {
        name: UnknownClock(unknown_reasons.get(name, NO_SHARED_SUBJECT)) for name in names
    }
    reference = max(names, key=lambda name: (len(links[name]), pair_counts[name]), default="")
    if reference:
        own_clock = Clock(0.0, 0.0, 0.0, 0.0, pair_counts[reference], drift_known=True)
        clocks.update(_chain_links(reference, own_clock, links))
    return ClockEstimates(reference, clocks)


def _compare_all(names: list[str], transits: dict[HostPair, list[Transit]]) -> _Comparisons:
    links: dict[str, dict[str, _Link]] = {name: {} for name in names}
    unknown_reasons: dict[str, str] = {}
    pair_counts = dict.fromkeys(names, 0)
    for first in names:
        for second in names:
            if first == second:
                continue
            forth = transits.get((first, second), [])
            back = transits.get((second, first), [])
            pair_counts[first] += len(forth) + len(back)
            link = _compare(forth, back)
            if isinstance(link, _Link):
                links[first][second] = link
            elif forth or back or second not in unknown_reasons:
                unknown_reasons[second] = link.reason
    return _Comparisons(links, unknown_reasons, pair_counts)


def _chain_links(reference: str, own_clock: Clock, links: dict[str, dict[str, _Link]]) -> dict[str, Clock]:
    """Return the clocks of all hosts that are linked to the reference, by Dijkstra's algorithm on the errors."""
    clocks: dict[str, Clock] = {}
    lowest_errors: dict[str, float] = {}
    queue: list[tuple[float, str, Clock]] = [(0.0, reference, own_clock)]
    while queue:
        error, name, clock = heapq.heappop(queue)
        if error >= lowest_errors.get(name, inf):
            continue
        lowest_errors[name] = error
        clocks[name] = clock
        for other, link in links[name].items():
            if other not in lowest_errors:
                heapq.heappush(queue, (error + link.error, other, _extend(clock, link)))
    return clocks


def _extend(clock: Clock, link: _Link) -> Clock:
    """Return the clock of a host that is known against another one's."""
    # By the reference; close enough, as clocks drift by a few parts in a thousand at most.
    at = link.at - clock.ahead(link.at)
    return Clock(
        offset=clock.ahead(at) + link.offset,
        drift=clock.drift + link.drift,
        at=at,
        error=clock.error + link.error,
        pairs=min(clock.pairs, link.pairs) if clock.pairs else link.pairs,
        drift_known=clock.drift_known and link.drift_known,
    )
