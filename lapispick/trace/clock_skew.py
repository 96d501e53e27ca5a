"""How far the clocks of boxes are apart, told from subjects that were tried at more than one. No I/O.

A try that was refused or failed at box A and whose subject was then served at box B came to B after it had ended at A:
by B's clock no earlier than that moment by A's clock plus what B's clock is ahead. Each such pair bounds the difference
from one side, a pair that went the other way from the other side, and between the two lies the truth. The shortest of
many pairs bound it closely.

What is not sound is left out or weighed: a pair whose order can't be told from its outcomes, the few pairs that a
caller made out of order (the least of many is a low quantile, not the minimum), and slices of time with too few pairs.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

import msgspec

LOW = 0.05  # quantile that stands for the shortest way; with 60 pairs three wrong ones are passed over
PAIRS_LEAST = 5  # pairs each way; with fewer a single odd one decides
SLICES = 6  # of the time in which two boxes met; each tells an offset of its own, and their line the drift
APART_MS = 60_000.0  # ms; what seems to take longer is no retry but a client that came again
# ms; slices may lie this much beside their line, and their own bounds more; then one clock was set in between
STEP_MS = 50.0


class Try(NamedTuple):
    """One try of a subject at one box, by that box's clock, ms."""

    subject: bytes
    box: str
    came: float
    ended: float
    served: bool


class Clock(msgspec.Struct, frozen=True):
    """A box's clock against the reference: ``offset`` ms ahead at ``at``, gaining ``drift`` ms a second."""

    offset: float
    drift: float
    at: float  # ms, by the reference's clock
    error: float  # ms; the offset lies within this, as long as most pairs are what they seem
    pairs: int
    drift_told: bool  # False: too few pairs over time, and the drift is taken for 0

    def ahead(self, now: float) -> float:
        """Return how far the clock is ahead at a time of the reference, ms."""
        return self.offset + self.drift * (now - self.at) / 1000


class Unknown(msgspec.Struct, frozen=True):
    """Nothing can be said of a box's clock, and why."""

    why: str


class _Link(NamedTuple):
    """What is known of box b's clock against box a's."""

    offset: float
    drift: float
    at: float
    error: float
    pairs: int
    drift_told: bool


Ways = list[tuple[float, float]]  # when by the first box's clock, and how long it seems to take; ms


def ways(tries: Iterable[Try]) -> dict[tuple[str, str], Ways]:
    """Return, for each ordered pair of boxes, the ways that subjects took from the first to the second."""
    by_subject: dict[bytes, list[Try]] = defaultdict(list)
    for one in tries:
        if one.subject:
            by_subject[one.subject].append(one)
    found: dict[tuple[str, str], Ways] = defaultdict(list)
    for met in by_subject.values():
        # Clocks that disagree tell no order; that only the last try is served does. Two that were served, or a subject
        # that came to one box several times, leave it open.
        boxes = [t.box for t in met]
        served = [t for t in met if t.served]
        if len(served) != 1 or len(set(boxes)) != len(boxes):
            continue
        for one in met:
            if not one.served and abs(served[0].came - one.ended) < APART_MS:
                found[one.box, served[0].box].append((one.ended, served[0].came - one.ended))
    return found


def _low(values: list[float]) -> float:
    return sorted(values)[int(len(values) * LOW)]


def _bounds(forth: Ways, back: Ways) -> tuple[float, float] | None:
    """Return the middle of what both ways allow, and half of its width; None where they allow nothing."""
    if len(forth) < PAIRS_LEAST or len(back) < PAIRS_LEAST:
        return None
    most, least = _low([d for _, d in forth]), -_low([d for _, d in back])
    # Where they cross a little, odd pairs outweigh the shortest way: the width then says by how much.
    return (most + least) / 2, abs(most - least) / 2


def compare(forth: Ways, back: Ways) -> _Link | Unknown:
    """Tell the second box's clock against the first's, from the ways between them."""
    count = len(forth) + len(back)
    if not count:
        return Unknown("cannot tell: no subject was tried at both")
    if not forth or not back:
        return Unknown("cannot tell: subjects went one way only, which bounds the clock from one side")
    middle = _bounds(forth, back)
    if middle is None:
        return Unknown(f"cannot tell: {len(forth)} and {len(back)} pairs, at least {PAIRS_LEAST} each way are needed")
    offset, error = middle
    # The ways back start by the other clock; near enough for slices that are far longer than the offset.
    back = [(at - offset, d) for at, d in back]
    first, last = min(at for at, _ in (*forth, *back)), max(at for at, _ in (*forth, *back))
    points = []
    for n in range(SLICES):
        begin, end = first + (last - first) * n / SLICES, first + (last - first) * (n + 1) / SLICES
        cut = [[w for w in way if begin <= w[0] < end or (n == SLICES - 1 and w[0] == end)] for way in (forth, back)]
        if (told := _bounds(*cut)) is not None:
            points.append(((begin + end) / 2, *told))
    if len(points) < 3:
        return _Link(offset, 0.0, (first + last) / 2, error, count, False)
    return _line(points, count)


def _line(points: list[tuple[float, float, float]], count: int) -> _Link | Unknown:
    """Lay a line through the slices' offsets; one that does not fit is no drift."""
    at = sum(t for t, _, _ in points) / len(points)
    offset = sum(o for _, o, _ in points) / len(points)
    spread = sum((t - at) ** 2 for t, _, _ in points)
    slope = sum((t - at) * (o - offset) for t, o, _ in points) / spread if spread else 0.0
    beside = [abs(o - offset - slope * (t - at)) for t, o, _ in points]
    if any(b > STEP_MS + width for b, (_, _, width) in zip(beside, points, strict=True)):
        return Unknown(f"cannot tell: the clock was set in between, up to {max(beside):.0f} ms beside a line")
    error = max(max(beside), max(width for _, _, width in points))
    return _Link(offset, slope * 1000, at, error, count, True)


def estimate(tries: Iterable[Try], boxes: Iterable[str]) -> tuple[str, dict[str, Clock | Unknown]]:
    """Return the reference, the box that met the others most, and every box's clock against it.

    A box that never met the reference is told over boxes that both met, along the way with the least error.
    """
    names, found = sorted(boxes), ways(tries)
    links: dict[str, dict[str, _Link]] = {name: {} for name in names}
    whys: dict[str, str] = {}
    met = dict.fromkeys(names, 0)
    for a in names:
        for b in names:
            forth, back = found.get((a, b), []), found.get((b, a), [])
            if a == b:
                continue
            met[a] += len(forth) + len(back)
            link = compare(forth, back)
            if isinstance(link, _Link):
                links[a][b] = link
            elif forth or back or b not in whys:
                whys[b] = link.why
    reference = max(names, key=lambda name: (len(links[name]), met[name]), default="")
    clocks: dict[str, Clock | Unknown] = {
        name: Unknown(whys.get(name, "cannot tell: no subject was tried at both")) for name in names
    }
    if not reference:
        return "", clocks
    queue: list[tuple[float, str, Clock]] = [(0.0, reference, Clock(0.0, 0.0, 0.0, 0.0, met[reference], True))]
    best: dict[str, float] = {}
    while queue:
        error, name, clock = heapq.heappop(queue)
        if error >= best.get(name, inf):
            continue
        best[name], clocks[name] = error, clock
        for other, link in links[name].items():
            if other not in best:
                heapq.heappush(queue, (error + link.error, other, _joined(clock, link)))
    return reference, clocks


def _joined(clock: Clock, link: _Link) -> Clock:
    """Return the clock of a box that is told over another one's."""
    at = link.at - clock.ahead(link.at)  # by the reference, near enough for a drift of some parts in a thousand
    return Clock(
        clock.ahead(at) + link.offset,
        clock.drift + link.drift,
        at,
        clock.error + link.error,
        min(clock.pairs, link.pairs) if clock.pairs else link.pairs,
        clock.drift_told and link.drift_told,
    )
