"""Does a stage do worse than the rest, at the same time, on like boxes? No I/O and no clock.

In each slice of time the changed boxes of a kind (zone and machine) are held against those of the same kind that stay
in the old generation and are as warm. One difference a figure and slice goes into a sequential test
(``evidence.py``); its mean before the change is taken off. Three outcomes:

- worse: some figure's evidence is past ``figures / alarm``. Corrected for their number, so that all figures of
  all stages together stop a good change with a chance of at most ``alarm``.
- good: for every figure there is evidence that it is worse by less than twice the margin, and the old boxes did not
  get worse meanwhile. Where they did, the change may take from what all share, and side by side it looks better.
- can't tell: everything else, also for want of data.

Only a difference counts, and only upwards: a store that collapses for all, a surge and cold caches condemn nothing
and acquit nothing, and old boxes that do worse than changed ones never lead to going back.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Sequence
from math import exp
from typing import NamedTuple

import msgspec

from lapispick.rollout import metrics
from lapispick.rollout.evidence import Series, inflation, log_evidence, radius, variance
from lapispick.rollout.metrics import Class, Slice

ASKED_LEAST = 5  # requests of a class that a group has to be asked; fewer make no share
NOTHING = Class(0, 0, 0, 0, 0.0, {})
SLICES_LEAST = 8  # of a figure; fewer are no ground to go on
FLOOR = 4.0  # parts of a margin; figures are not known more closely than that by one slice
OLD_DRIFT = 4.0  # times the spread of independent slices: load and stores come in waves
BEFORE_MOST = 200  # slices before the change that are kept
OVER_USUAL, OVER_MOST = 4.0, 16.0  # times the spread that old boxes show among themselves: beyond the first it counts


class Outcome(enum.Enum):
    """What a stage's figures say."""

    WORSE = "worse"
    GOOD = "good"
    UNSURE = "can't tell"


class Bounds(msgspec.Struct, frozen=True):
    """What counts as worse; ``stages`` share the chance of a false stop."""

    alarm: float = 0.05
    stages: int = 4
    worse: float = 0.02  # of a share of requests
    slower: float = 0.1  # of the answers, beyond the old boxes' median
    memory: float = 0.05  # of the limit
    runs: float = 0.05  # executor runs a request
    sure: float = 0.1  # chance that something worse by twice the margin passes as good, a figure
    limit_kb: float = 192 * 1024.0


class Row(NamedTuple):
    """One figure, for ``explain``."""

    figure: str
    slices: int
    mean: float  # how much worse the changed boxes were; below 0 they were better
    low: float
    high: float
    margin: float
    evidence: float  # that it is worse
    needed: float
    cleared: float  # evidence that it is worse by less than twice the margin
    old_change: float  # how much worse the old boxes became since before


class Verdict(NamedTuple):
    """An outcome and its ground."""

    outcome: Outcome
    ground: str
    rows: tuple[Row, ...] = ()


class _Figure:
    """One figure's differences, before and after the change."""

    def __init__(self, margin: float) -> None:
        self.margin = margin
        self.before, self.after = Series(), Series()
        self.old_before, self.old_after = Series(), Series()
        self.peers_before, self.peers = Series(), Series()  # old boxes against old boxes: how groups drift

    @property
    def one(self) -> float:
        """Return the variance of one difference; equal figures all the time are no proof of none."""
        return variance(self.before, self.after, floor=(self.margin / FLOOR) ** 2)

    @property
    def spread(self) -> float:
        """Return the variance of the sum of the differences, with what the offset and lasting drifts add."""
        over = 1.0
        if min(self.peers.n, self.peers_before.n) >= SLICES_LEAST:
            one = variance(self.peers, self.peers_before, floor=(self.margin / FLOOR) ** 2)
            drift = self.peers.total - self.peers.n * self.peers_before.mean
            # Without a drift of its own this is the square of a standard normal variable, over 4 once in twenty.
            seen = drift**2 / (self.peers.n * one * inflation(self.peers.n, self.peers_before.n))
            over = min(OVER_MOST, max(1.0, seen / OVER_USUAL))
        return self.after.n * self.one * inflation(self.after.n, self.before.n) * over

    @property
    def total(self) -> float:
        """Return the sum of the differences less what told the groups apart before."""
        return self.after.total - self.after.n * self.before.mean

    @property
    def old_change(self) -> float:
        """Return by how much the old boxes got worse, as far as it is more than chance."""
        n, before = self.old_after.n, self.old_before.n
        if min(n, before) < SLICES_LEAST:
            return 0.0
        one = variance(self.old_after, self.old_before)
        reach = 2 * (one * OLD_DRIFT * (1 / n + 1 / before)) ** 0.5
        return max(0.0, self.old_after.mean - self.old_before.mean - reach)


class Judge:
    """Watches one stage. ``kinds`` tells what each box may be compared with."""

    def __init__(self, bounds: Bounds, kinds: Mapping[str, object]) -> None:
        self.bounds, self._kinds = bounds, dict(kinds)
        self._figures: dict[str, _Figure] = {}
        self._reference: dict[str, tuple[float, float]] = {}  # class -> the old boxes' median and 99th time before
        self._times: dict[str, dict[float, int]] = {}
        self._waiting: dict[tuple[object, str, bool], dict[str, tuple[Class, Class]]] = {}

    # Slices.

    def before(self, changed: Iterable[str], old: Iterable[str], slices: Mapping[str, Slice]) -> None:
        """Take a slice of time in which nothing had changed: what tells the two groups apart by themselves."""
        for each in slices.values():
            for name, cls in each.classes.items():
                held = self._times.setdefault(name, {})
                for bound, count in cls.times.items():
                    held[bound] = held.get(bound, 0) + count
        self._refer()
        self._take(changed, old, slices, before=True)

    def after(self, changed: Iterable[str], old: Iterable[str], slices: Mapping[str, Slice]) -> None:
        """Take a slice of time with the change; only warm boxes may be in either group."""
        if not self._reference:
            for each in (slices[name] for name in old if name in slices):
                for name, cls in each.classes.items():
                    self._times.setdefault(name, {}).update(cls.times)
            self._refer()
        self._take(changed, old, slices, before=False)

    def _refer(self) -> None:
        self._reference = {
            name: (metrics.quantile(times, 0.5), metrics.quantile(times, 0.99)) for name, times in self._times.items()
        }

    def _take(self, changed: Iterable[str], old: Iterable[str], slices: Mapping[str, Slice], before: bool) -> None:
        ours, theirs = ([n for n in group if n in slices] for group in (changed, old))
        shares: dict[str, list[tuple[float, float, float]]] = {}  # figure -> (weight, changed, old) by kind
        for kind in {self._kinds.get(n) for n in ours} & {self._kinds.get(n) for n in theirs}:
            groups = [[slices[n] for n in group if self._kinds.get(n) == kind] for group in (ours, theirs)]
            for figure, (one, two) in self._held((kind, "changed", before), *groups).items():
                shares.setdefault(figure, []).append((float(len(groups[0])), one, two))
            if len(groups[1]) >= 2:  # halves of the old boxes, always the same ones: how groups drift
                ordered = sorted(groups[1], key=lambda each: each.box)
                for figure, (one, two) in self._held((kind, "old", before), ordered[::2], ordered[1::2]).items():
                    held = self._figures.setdefault(figure, _Figure(self._margin(figure)))
                    (held.peers_before if before else held.peers).add(one - two)
        for figure, parts in shares.items():
            weight = sum(w for w, _, _ in parts)
            a, b = (sum(p[0] * p[at] for p in parts) / weight for at in (1, 2))
            held = self._figures.setdefault(figure, _Figure(self._margin(figure)))
            if before and held.before.n >= BEFORE_MOST:
                continue
            (held.before if before else held.after).add(a - b)
            (held.old_before if before else held.old_after).add(b)

    def _held(
        self, pair: tuple[object, str, bool], one: list[Slice], two: list[Slice]
    ) -> dict[str, tuple[float, float]]:
        """Return the figures of two groups side by side, of those classes that were asked often enough for shares.

        A class that is asked seldom waits until both groups were asked often enough. Were its thin slices left out
        instead, only those in which chance sent many would be judged, and most of what was seen would be lost.
        """
        wholes = [metrics.merged(group) for group in (one, two)]
        found = [self._wholes(group) for group in (one, two)]
        waiting = self._waiting.setdefault(pair, {})
        for name in {name for whole in wholes if whole for name in whole.classes}:
            now = [whole.classes.get(name, NOTHING) if whole else NOTHING for whole in wholes]
            held = [metrics.joined(parts) for parts in zip(waiting.pop(name, (NOTHING, NOTHING)), now, strict=True)]
            if min(cls.asked for cls in held) < ASKED_LEAST:
                waiting[name] = (held[0], held[1])
                continue
            for shares, cls in zip(found, held, strict=True):
                shares |= self._shares(name, cls)
        return {figure: (found[0][figure], found[1][figure]) for figure in found[0].keys() & found[1].keys()}

    def _margin(self, figure: str) -> float:
        what, bounds = figure.partition(" ")[0], self.bounds
        return {"slow": bounds.slower, "memory": bounds.memory, "runs": bounds.runs}.get(what, bounds.worse)

    def _shares(self, name: str, cls: Class) -> dict[str, float]:
        """Return the figures of one class of a group of boxes, all so that more is worse."""
        found = {
            f"unserved {name}": (cls.refused + cls.failed) / cls.asked,
            f"failed {name}": cls.failed / cls.asked,
            f"late {name}": cls.late / cls.asked,
        }
        median, far = self._reference.get(name, (0.0, 0.0))
        if cls.times and median:
            found[f"slow {name}"] = metrics.slower(cls.times, median)
            found[f"tail {name}"] = metrics.slower(cls.times, far)
        return found

    def _wholes(self, group: Sequence[Slice]) -> dict[str, float]:
        """Return the figures of a group of boxes that know no class."""
        whole = metrics.merged(group)
        if whole is None:
            return {}
        found: dict[str, float] = {}
        served = sum(c.asked - c.refused - c.failed for c in whole.classes.values())
        if served >= ASKED_LEAST:  # a box that turns less away runs more, and no more a request that it serves
            found["runs"] = whole.runs / served
        if whole.memory_kb:
            found["memory"] = sum(each.memory_kb for each in group) / len(group) / self.bounds.limit_kb
        return found

    # The verdict.

    def rows(self) -> tuple[Row, ...]:
        """Return all figures with what they say."""
        needed = self._needed()
        made = []
        for name, held in sorted(self._figures.items()):
            if not held.after.n:
                continue
            n, total, spread, one = held.after.n, held.total, held.spread, held.one
            mean, reach = total / n, radius(n, spread, one, self.bounds.alarm)
            worse = log_evidence(total - n * held.margin, spread, one)
            fine = log_evidence(2 * n * held.margin - total, spread, one)
            made.append(
                Row(
                    name,
                    n,
                    mean,
                    mean - reach,
                    mean + reach,
                    held.margin,
                    exp(min(worse, 300.0)),
                    needed,
                    exp(min(fine, 300.0)),
                    held.old_change,
                )
            )
        return tuple(made)

    def _needed(self) -> float:
        """Return the evidence that one of so many figures needs, over so many stages."""
        return max(1, len(self._figures)) * self.bounds.stages / self.bounds.alarm

    def verdict(self) -> Verdict:
        """Return what the figures say so far; it may be asked at any time."""
        rows = self.rows()
        for row in sorted(rows, key=lambda r: -r.evidence):
            if row.evidence >= row.needed and row.slices >= SLICES_LEAST:
                return Verdict(
                    Outcome.WORSE,
                    f"{row.figure}: worse by {row.mean:.1%} over {row.slices} slices, "
                    f"evidence {row.evidence:.3g} of {row.needed:.3g}",
                    rows,
                )
        if not rows:
            return Verdict(Outcome.UNSURE, "there is nothing to compare with", rows)
        for row in rows:
            if row.old_change > row.margin:
                return Verdict(
                    Outcome.UNSURE,
                    f"{row.figure}: the boxes that stay as they are got worse by {row.old_change:.1%} meanwhile",
                    rows,
                )
        open_ = [row for row in rows if row.slices < SLICES_LEAST or row.cleared < 1 / self.bounds.sure]
        if open_:
            row = open_[0]
            return Verdict(
                Outcome.UNSURE,
                f"{row.figure}: {row.slices} slices, between {row.low:+.1%} and "
                f"{row.high:+.1%}; {len(open_)} of {len(rows)} figures can't be told",
                rows,
            )
        return Verdict(Outcome.GOOD, f"none of {len(rows)} figures is worse by more than twice its margin", rows)
